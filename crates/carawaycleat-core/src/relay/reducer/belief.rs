//! What the host believes of the configuration, the upstreams and the other hosts.

use std::time;

use crate::clock;
use crate::name;
use crate::relay::allowance;
use crate::relay::config;
use crate::relay::effect;
use crate::relay::registration;
use crate::relay::upstream;
use crate::relay::view;
use crate::timeline;

/// One in this many upstreams of a service is avoided at most because of what other hosts say.
const MAX_DOUBT_PART: usize = 4;

/// The gap between confirmations that counts as a loss of the store, if a call failed in it. A host that heard nothing
/// from the coordinator, or that was suspended, has a gap as well, but knows of no outage.
const OUTAGE_GAP: time::Duration = time::Duration::from_millis(2_000);

/// The longest time after a loss of the store in which a removed entry may come back.
const OUTAGE_MEMORY: time::Duration = time::Duration::from_millis(2_500);

impl super::Reducer {
    pub(super) fn configure(
        &mut self,
        now: clock::Instant,
        config: config::Config,
        effects: &mut Vec<effect::Effect>,
    ) {
        let current = self.config.as_ref().map(config::Config::version);
        if current.is_some_and(|current| current >= config.version()) {
            return;
        }
        let decision = timeline::Decision::new("configured").with("version", config.version());
        effects.push(super::record(decision));
        // Allowances fill from the moment at which they are known, not from the first request.
        for workspace in config.workspaces() {
            let share = self.share(now, &workspace.name);
            let (rate, burst) = (workspace.rate, workspace.burst);
            self.allowances
                .entry(workspace.name.clone())
                .or_insert_with(|| allowance::Allowance::new(now, rate, burst, share))
                .update(now, rate, burst, share);
        }
        self.allowances
            .retain(|name, _| config.workspace(name).is_some());
        self.config = Some(config);
        self.serve_waiting(now, effects);
    }

    pub(super) fn confirm(
        &mut self,
        now: clock::Instant,
        sent: clock::Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(before) = self.confirmed else {
            self.confirmed = Some(sent);
            return;
        };
        if sent <= before {
            return;
        }
        if self.store_failed && sent.since(before) > OUTAGE_GAP {
            self.regained = Some(now);
            let gap = timeline::Value::millis(sent.since(before));
            let decision = timeline::Decision::new("store_regained").with("gap_ms", gap);
            effects.push(super::record(decision));
        }
        self.store_failed = false;
        self.confirmed = Some(sent);
    }

    pub(super) fn see(
        &mut self,
        now: clock::Instant,
        registration: registration::Registration,
        effects: &mut Vec<effect::Effect>,
    ) {
        let id = registration.id.clone();
        match self.table.get_mut(&id) {
            Some(entry) => {
                if entry.registration.state != registration.state || entry.removed.is_some() {
                    let decision = timeline::Decision::new("upstream")
                        .at(id)
                        .with("state", registration.state.as_str());
                    effects.push(super::record(decision));
                }
                entry.update(now, registration);
            }
            None => {
                let decision = timeline::Decision::new("upstream")
                    .at(id.clone())
                    .with("state", registration.state.as_str())
                    .with("service", &registration.service);
                effects.push(super::record(decision));
                self.table.insert(id, upstream::Upstream::new(registration));
            }
        }
        self.serve_waiting(now, effects);
    }

    /// Follows the removal of an entry. While the store is away and shortly after, entries of live upstreams may be
    /// missing.
    pub(super) fn remove(
        &mut self,
        now: clock::Instant,
        id: &name::Name,
        effects: &mut Vec<effect::Effect>,
    ) {
        let recent = self
            .regained
            .is_some_and(|regained| now.since(regained) < OUTAGE_MEMORY);
        let away = self.store_failed && !self.is_current(now, OUTAGE_GAP);
        let lapse = self.options.removal_grace;
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        if entry.removed.is_some() {
            return;
        }
        // A removal that no outage explains takes effect at once.
        entry.removed = Some(if recent || away {
            now
        } else {
            clock::Instant::from_micros(now.as_micros().saturating_sub(lapse.as_micros() as u64))
        });
        let decision = timeline::Decision::new("upstream")
            .at(id.clone())
            .with("state", "removed")
            .with("after_outage", recent || away);
        effects.push(super::record(decision));
    }

    pub(super) fn look(
        &mut self,
        now: clock::Instant,
        mut view: view::View,
        effects: &mut Vec<effect::Effect>,
    ) {
        let is_older = self
            .view
            .as_ref()
            .is_some_and(|(_, current)| view.epoch < current.epoch);
        if is_older {
            return;
        }
        self.doubt(now, &view.suspects);
        for placed in view.engines.drain(..) {
            if let Some(entry) = self.table.get_mut(&placed.upstream) {
                entry.place(now, placed);
            }
        }
        let (number, grants) = (view.report_number, std::mem::take(&mut view.grants));
        self.view = Some((now, view));
        self.lend(now, number, grants, effects);
        self.serve_waiting(now, effects);
    }

    /// Takes over the doubt of other hosts, as long as most upstreams of a service are left.
    pub(super) fn doubt(&mut self, now: clock::Instant, suspects: &[name::Name]) {
        for suspect in suspects {
            let Some(entry) = self.table.get(suspect) else {
                continue;
            };
            let service = &entry.registration.service;
            let peers = || {
                self.table
                    .values()
                    .filter(|peer| peer.registration.service == *service)
            };
            let avoided = peers().filter(|peer| peer.is_avoided(now)).count();
            if (avoided + 1) * MAX_DOUBT_PART <= peers().count()
                && let Some(entry) = self.table.get_mut(suspect)
            {
                entry.doubt(now);
            }
        }
    }

    pub(super) fn set_hosts(&mut self, _now: clock::Instant, hosts: usize) {
        self.hosts = hosts.max(1);
    }
}
