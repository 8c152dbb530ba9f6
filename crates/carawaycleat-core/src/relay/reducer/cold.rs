//! Cold upstreams and evacuated availability zones.

use std::collections;
use std::time;

use crate::clock;
use crate::name;
use crate::relay::cold;
use crate::relay::effect;
use crate::relay::registration;
use crate::relay::report;
use crate::relay::upstream;
use crate::relay::view;
use crate::timeline;

/// The longest time from the decision on an attempt at a cold upstream until it leaves. Requests that a host decided on before
/// it was frozen would otherwise leave in a later second, together with those that others are permitted then.
const MAX_DEPARTURE_DELAY: time::Duration = time::Duration::from_millis(400);

impl super::Reducer {
    /// Returns the number of evacuated availability zones and the number of cold upstreams.
    #[must_use]
    pub fn cold_counts(&self, now: clock::Instant) -> (usize, usize) {
        (self.evacuated.len(), self.cold.starts.cold(now).count())
    }

    /// Applies the entry of an upstream, which is known already.
    pub(super) fn record_start(
        &mut self,
        now: clock::Instant,
        registration: &registration::Registration,
    ) {
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.service(&registration.service));
        let limit = service.and_then(|service| service.cold_start);
        let is_first_read = self.confirmed.is_none();
        self.cold
            .starts
            .record_entry(now, registration, limit, is_first_read);
        if let Some(entry) = self.upstreams.get_mut(&registration.id) {
            entry.is_evacuated = self.evacuated.contains(&entry.registration.zone);
        }
    }

    /// Brings what may be sent to upstreams in line with what is known of their starts: to all, or to the one with the
    /// identifier `only`.
    pub(super) fn update_gates(
        &mut self,
        now: clock::Instant,
        only: Option<&name::Name>,
        effects: &mut Vec<effect::Effect>,
    ) {
        if self.cold.starts.is_empty() {
            return;
        }
        let circumstances = cold::Circumstances {
            host: &self.host,
            hosts: self.host_count,
            from: self.cold.fallback_from(now, self.host_count),
            // The store may have entries by now that say that more upstreams are cold.
            until: self.confirmed.unwrap_or_default() + self.options.max_config_age,
        };
        let starts = &self.cold.starts;
        let mut update = |id: &name::Name, entry: &mut upstream::Upstream| {
            if let Some((end, rate)) = circumstances.update(now, starts, id, &mut entry.cold) {
                let decision = timeline::Decision::new("upstream_cold")
                    .with_subject(id.clone())
                    .with("ms", timeline::Value::millis(end.since(now)))
                    .with("per_second", format!("{rate:.2}"));
                effects.push(super::record(decision));
            }
        };
        match only {
            Some(id) => {
                if let Some(entry) = self.upstreams.get_mut(id) {
                    update(id, entry);
                }
            }
            None => {
                for (id, entry) in &mut self.upstreams {
                    update(id, entry);
                }
            }
        }
    }

    /// Applies the time for which an upstream is still cold, as a response of its process says.
    pub(super) fn record_cold(
        &mut self,
        now: clock::Instant,
        id: &name::Name,
        started: Option<u64>,
        remaining: time::Duration,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.cold
            .starts
            .record_response(now, id, started, remaining);
        self.update_gates(now, Some(id), effects);
    }

    /// Applies the coordinator's permits for cold upstreams.
    pub(super) fn apply_cold_permits(
        &mut self,
        now: clock::Instant,
        view: &view::View,
        effects: &mut Vec<effect::Effect>,
    ) {
        let permits = &view.cold;
        if permits.process == 0 || permits.process != self.cold.process {
            return;
        }
        let exclusive = time::Duration::from_millis(permits.exclusive_ms);
        let (epoch, number) = (view.epoch, view.report_number);
        let Some(until) = self.cold.record_view(now, epoch, number, exclusive) else {
            return;
        };
        let known: collections::HashSet<_> = self.cold_ids(now).into_iter().cloned().collect();
        let mut ceilings = collections::HashMap::new();
        for permit in &permits.permits {
            let id = &permit.upstream;
            ceilings.insert(id, permit.ceiling);
            if !known.contains(id) {
                let remaining = time::Duration::from_millis(permit.remaining_ms);
                self.cold.starts.record_view(now, id, remaining);
            }
        }
        for (id, entry) in &mut self.upstreams {
            let ceiling = ceilings.get(id).copied().unwrap_or(0);
            entry.cold.permit(ceiling, until);
        }
        self.update_gates(now, None, effects);
    }

    fn cold_ids(&self, now: clock::Instant) -> collections::HashSet<&name::Name> {
        self.cold.starts.cold(now).map(|(id, ..)| id).collect()
    }

    /// Returns what this host reports of cold upstreams with the report `number`.
    pub(super) fn cold_report(&mut self, now: clock::Instant, number: u64) -> report::Colds {
        if self.cold.starts.is_empty() {
            return report::Colds::default();
        }
        self.cold.record_report(now, number);
        let (epoch, held) = self.cold.held;
        let cold = self.cold_ids(now);
        let waiting = self.waiting_at_limits(now);
        let entries = self.upstreams.iter().filter(|(id, _)| cold.contains(id));
        let upstreams = entries.map(|(id, entry)| {
            let named = self.cold.starts.named(now, id).unwrap_or_default();
            report::ColdUpstream {
                upstream: id.clone(),
                sent: entry.cold.sent,
                waiting: waiting
                    .get(&entry.registration.service)
                    .copied()
                    .unwrap_or(0),
                named_ms: u64::try_from(named.as_millis()).unwrap_or(u64::MAX),
            }
        });
        report::Colds {
            process: self.cold.process,
            epoch,
            held,
            upstreams: upstreams.collect(),
        }
    }

    /// Returns the requests that wait for each service without models, divided among its upstreams that limit requests.
    pub(super) fn waiting_at_limits(
        &self,
        now: clock::Instant,
    ) -> collections::HashMap<name::Name, u32> {
        let mut limited = collections::HashMap::<&name::Name, u32>::new();
        for entry in self.upstreams.values() {
            if entry.limits_requests(now) && !entry.is_evacuated {
                *limited.entry(&entry.registration.service).or_default() += 1;
            }
        }
        let mut waiting = collections::HashMap::<name::Name, u32>::new();
        for (_, id) in self.waiting.iter().filter(|_| !limited.is_empty()) {
            let request = self.requests.get(id);
            if let Some(request) = request.filter(|request| request.model.is_none()) {
                *waiting.entry(request.service.clone()).or_default() += 1;
            }
        }
        for (service, count) in &mut waiting {
            *count = count.div_ceil(limited.get(service).copied().unwrap_or(1));
        }
        waiting
    }

    /// Sends nothing more to the upstreams of an availability zone.
    pub(super) fn evacuate(
        &mut self,
        now: clock::Instant,
        zone: name::Name,
        effects: &mut Vec<effect::Effect>,
    ) {
        if !self.evacuated.insert(now, zone.clone()) {
            return;
        }
        let running = self.set_evacuated(&zone, true);
        let decision = timeline::Decision::new("evacuated")
            .with_subject(zone)
            .with("running", running);
        effects.push(super::record(decision));
        effects.push(effect::Effect::Report);
    }

    /// Sends requests to the upstreams of an availability zone again.
    pub(super) fn end_evacuation(
        &mut self,
        now: clock::Instant,
        zone: &name::Name,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(since) = self.evacuated.remove(zone) else {
            return;
        };
        self.set_evacuated(zone, false);
        self.cold.starts.record_evacuation_end(now, zone);
        let decision = timeline::Decision::new("readmitted")
            .with_subject(zone.clone())
            .with("ms", timeline::Value::millis(now.since(since)));
        effects.push(super::record(decision));
        self.update_gates(now, None, effects);
        self.dispatch_waiting(now, effects);
    }

    /// Sets whether the upstreams of an availability zone are evacuated, and returns the requests in progress there.
    fn set_evacuated(&mut self, zone: &name::Name, is_evacuated: bool) -> u32 {
        let in_zone = |entry: &&mut upstream::Upstream| entry.registration.zone == *zone;
        let mut running: u32 = 0;
        for entry in self.upstreams.values_mut().filter(in_zone) {
            entry.is_evacuated = is_evacuated;
            running = running.saturating_add(entry.own_requests);
        }
        running
    }

    /// Returns the end of the time in which a request that was decided on now may leave for an upstream; none for any time.
    pub(super) fn latest_departure(
        &self,
        now: clock::Instant,
        upstream: &name::Name,
    ) -> Option<clock::Instant> {
        let entry = self.upstreams.get(upstream)?;
        entry.cold.is_cold(now).then(|| now + MAX_DEPARTURE_DELAY)
    }
}
