//! Updates of the configuration, the upstreams and the coordinator's view.

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

/// The number of upstreams of a service for each one that may be ejected because other hosts suspect it.
const MIN_UPSTREAMS_PER_EJECTION: usize = 4;

/// The gap between confirmations that counts as an outage of the store, if a call to it failed meanwhile. A gap without
/// a failed call means that the coordinator was silent or that this host was suspended.
const OUTAGE_GAP: time::Duration = time::Duration::from_millis(2_000);

impl super::Reducer {
    /// Replaces the configuration, unless it is older than the current one.
    pub(super) fn configure(
        &mut self,
        now: clock::Instant,
        config: config::Config,
        effects: &mut Vec<effect::Effect>,
    ) {
        let current = self.config.as_ref().map(config::Config::version);
        if let Some(current) = current.filter(|current| *current >= config.version()) {
            if config.version() < current {
                let decision = timeline::Decision::new("config_ignored")
                    .with("version", config.version())
                    .with("current", current);
                effects.push(super::record(decision));
            }
            return;
        }
        let decision = timeline::Decision::new("configured").with("version", config.version());
        effects.push(super::record(decision));
        // Allowances refill from now on, not from the first request: otherwise they would be short in the first second.
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
        self.set_lifetime(&config);
        self.config = Some(config);
        self.update_recorded();
        self.dispatch_waiting(now, effects);
    }

    /// Records that the store was read in an era. After a restoration, the entries of live upstreams may be missing.
    pub(super) fn record_store_read(
        &mut self,
        now: clock::Instant,
        era: u64,
        required_version: Option<u64>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let is_first_start = self.options.is_first_start;
        let restored = self
            .restoration
            .record_read(now, era, required_version, is_first_start);
        if restored {
            self.origins.invalidate_stored();
            self.store_regained = Some(now);
            self.store_failed = false;
            let decision = timeline::Decision::new("store_restored")
                .with("era", era)
                .with("config", self.config_version())
                .with_some("config_age_ms", self.config_age_field(now))
                .with_some("required", required_version);
            effects.push(super::record(decision));
        }
    }

    /// Records that the store has a record that the versions are complete again after the restoration to `era`.
    pub(super) fn record_settlement(
        &mut self,
        now: clock::Instant,
        era: u64,
        effects: &mut Vec<effect::Effect>,
    ) {
        if self.restoration.record_settlement(era) {
            let decision = timeline::Decision::new("restoration_settled")
                .with("era", era)
                .with("may_lack_versions", self.restoration.may_lack_versions(now));
            effects.push(super::record(decision));
        }
    }

    /// Records that all changes of the store were read by a call sent at `sent`, which confirms the configuration as
    /// current unless the store may lack a later one.
    pub(super) fn confirm(
        &mut self,
        now: clock::Instant,
        sent: clock::Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        if !self.restoration.confirms(now, self.config_version()) {
            let (stored, required) = self.restoration.versions();
            let decision = timeline::Decision::new("config_unconfirmed")
                .with("config", self.config_version())
                .with("stored", stored)
                .with("required", required)
                .with_some("config_age_ms", self.config_age_field(now));
            effects.push(super::record(decision));
            return;
        }
        let Some(before) = self.confirmed else {
            self.confirmed = Some(sent);
            return;
        };
        if sent <= before {
            return;
        }
        if self.store_failed && sent.since(before) > OUTAGE_GAP {
            self.store_regained = Some(now);
            let gap = timeline::Value::millis(sent.since(before));
            let decision = timeline::Decision::new("store_regained").with("gap_ms", gap);
            effects.push(super::record(decision));
        }
        self.store_failed = false;
        self.confirmed = Some(sent);
    }

    /// Adds an upstream or updates its registration.
    pub(super) fn update_upstream(
        &mut self,
        now: clock::Instant,
        mut registration: registration::Registration,
        effects: &mut Vec<effect::Effect>,
    ) {
        let id = registration.id.clone();
        let started = registration.started;
        if self.departures.is_leaving(&id, started) {
            registration.state = registration::State::Draining;
        }
        if let Some(entry) = self.upstreams.get(&id)
            && entry.has_left(now, self.options.removal_grace)
        {
            self.restoration
                .record_departure(&id, entry.registration.started);
        }
        let distrusted_until = self.restoration.distrusted_until(now, &id, started);
        match self.upstreams.get_mut(&id) {
            Some(entry) => {
                if entry.registration.state != registration.state || entry.removed.is_some() {
                    let decision = timeline::Decision::new("upstream")
                        .with_subject(id.clone())
                        .with("state", registration.state.as_str());
                    effects.push(super::record(decision));
                }
                let restarted = registration.started > entry.registration.started;
                entry.update(now, registration);
                if restarted {
                    self.confirm_crash(&id);
                }
            }
            None => {
                let decision = timeline::Decision::new("upstream")
                    .with_subject(id.clone())
                    .with("state", registration.state.as_str())
                    .with("service", &registration.service);
                effects.push(super::record(decision));
                let mut entry = upstream::Upstream::new(registration);
                if let Some(until) = self.pauses.take(&id, started) {
                    entry.pause_until(until);
                }
                self.upstreams.insert(id.clone(), entry);
            }
        }
        if let Some(entry) = self.upstreams.get_mut(&id) {
            entry.distrusted_until = distrusted_until;
        }
        self.record_origin(now, &id, effects);
        self.dispatch_waiting(now, effects);
    }

    /// Records that the process of an upstream that started at `started`, or the current one, leaves: it gets no further
    /// requests, whatever its entry in the store says. The coordinator hears of it with the next report.
    pub(super) fn record_leaving(
        &mut self,
        now: clock::Instant,
        id: &name::Name,
        started: Option<u64>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(entry) = self.upstreams.get_mut(id) else {
            return;
        };
        let current = entry.registration.started;
        let is_earlier = started.is_some_and(|started| started != current);
        if is_earlier || entry.registration.state == registration::State::Draining {
            return;
        }
        self.departures.record(id, current);
        entry.registration.state = registration::State::Draining;
        let decision = timeline::Decision::new("upstream")
            .with_subject(id.clone())
            .with("state", "leaving")
            .with("running", entry.own_requests);
        effects.push(super::record(decision));
        effects.push(effect::Effect::Report);
        self.dispatch_waiting(now, effects);
    }

    /// Remembers the upstreams that have left, and drops those without requests in progress.
    pub(super) fn record_departures(&mut self, now: clock::Instant) {
        let removal_grace = self.options.removal_grace;
        self.pauses.forget(now);
        let before = self.upstreams.len();
        self.upstreams.retain(|id, entry| {
            let has_left = entry.has_left(now, removal_grace);
            if has_left {
                self.restoration
                    .record_departure(id, entry.registration.started);
            }
            let is_kept = entry.own_requests > 0 || !has_left;
            if let Some(until) = entry.paused_until(now).filter(|_| !is_kept) {
                self.pauses.record(id, entry.registration.started, until);
            }
            is_kept
        });
        if self.upstreams.len() < before {
            self.forget_work();
        }
    }

    /// Marks an upstream as removed. During an outage of the store, the entries of live upstreams may have lapsed, so it
    /// stays in use until the removal grace period after the outage is over.
    pub(super) fn remove_upstream(
        &mut self,
        now: clock::Instant,
        id: &name::Name,
        effects: &mut Vec<effect::Effect>,
    ) {
        let removal_grace = self.options.removal_grace;
        let regained = self
            .store_regained
            .filter(|regained| now.since(*regained) < removal_grace);
        let in_outage = self.store_failed && !self.is_current(now, OUTAGE_GAP);
        let outage_end = if in_outage { Some(now) } else { regained };
        let Some(entry) = self.upstreams.get_mut(id) else {
            return;
        };
        if entry.removed.is_some() {
            return;
        }
        // A removal without an outage takes effect at once: it is dated back by the grace period.
        entry.removed = Some(outage_end.unwrap_or_else(|| {
            clock::Instant::from_micros(
                now.as_micros()
                    .saturating_sub(removal_grace.as_micros() as u64),
            )
        }));
        let decision = timeline::Decision::new("upstream")
            .with_subject(id.clone())
            .with("state", "removed")
            .with("after_outage", outage_end.is_some());
        effects.push(super::record(decision));
        self.confirm_crash(id);
    }

    /// Applies a view of the coordinator, unless a later coordinator has sent one.
    pub(super) fn update_view(
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
        self.apply_suspects(now, &view.suspects);
        self.balance
            .record_loads(now, std::mem::take(&mut view.loads));
        for (upstream, started) in view.leaving.drain(..) {
            self.record_leaving(now, &upstream, Some(started), effects);
        }
        let is_by_work = self.balances_by_work();
        for engine in view.engines.drain(..) {
            if is_by_work && self.upstreams.contains_key(&engine.upstream) {
                self.track_view(now, &engine);
            }
            if let Some(entry) = self.upstreams.get_mut(&engine.upstream) {
                entry.update_view(now, engine);
            }
        }
        for permit in view.permits.drain(..) {
            if let Some(entry) = self.upstreams.get_mut(&permit.upstream) {
                entry.apply_permit(now, &permit);
            }
        }
        let (number, grants) = (view.report_number, std::mem::take(&mut view.grants));
        self.view = Some((now, view));
        self.apply_grants(now, number, grants, effects);
        self.dispatch_waiting(now, effects);
    }

    /// Ejects upstreams that other hosts suspect, as long as most upstreams of the service are left.
    pub(super) fn apply_suspects(&mut self, now: clock::Instant, suspects: &[name::Name]) {
        for suspect in suspects {
            let Some(entry) = self.upstreams.get(suspect) else {
                continue;
            };
            let service = &entry.registration.service;
            let peers = || {
                self.upstreams
                    .values()
                    .filter(|peer| peer.registration.service == *service)
            };
            let ejected = peers().filter(|peer| peer.is_ejected(now)).count();
            if (ejected + 1) * MIN_UPSTREAMS_PER_EJECTION <= peers().count()
                && let Some(entry) = self.upstreams.get_mut(suspect)
            {
                entry.record_suspicion(now);
            }
        }
    }

    /// Sets the number of entry hosts.
    pub(super) fn set_hosts(&mut self, _now: clock::Instant, hosts: usize) {
        self.host_count = hosts.max(1);
    }
}
