use std::net;
use std::time;

use crate::clock;
use crate::name;
use crate::resource;

/// The cost of one request in flight or waiting at the upstream; the unit of the other costs.
const COST_PER_REQUEST: i64 = 4;
/// An upstream in another zone costs as much as two requests; the zones of a site are about 1 ms apart.
const ZONE_COST: i64 = 2 * COST_PER_REQUEST;
/// A cached prefix saves at most the cost of three requests, so that a popular prefix does not overload the upstream
/// that has it.
const MAX_PREFIX_GAIN: i64 = 3 * COST_PER_REQUEST;

/// The state of one upstream, as known to this host.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    group: name::Name,
    zone: name::Name,
    address: net::SocketAddr,
    has_sidecar: bool,
    /// Whether the resource says that the upstream is leaving.
    configured_leaving: bool,
    /// Whether the platform's list of live and leaving hosts says that the upstream's host is leaving.
    pub(super) listed_leaving: bool,
    /// When the upstream last refused a request because it is leaving.
    refused_leaving_at: Option<clock::Instant>,
    /// The last report and the time of its receipt.
    report: Option<(clock::Instant, super::Report)>,
    /// The number of requests of this host in flight.
    pub(super) local_in_flight: u32,
    /// The number of requests sent less the number ended since the last report.
    in_flight_change: i64,
    /// The number of ejections since the last success.
    ejections: u32,
    ejected_until: clock::Instant,
    /// Whether it is ejected because it was silent, which its next progress refutes.
    is_ejected_silent: bool,
}

impl Upstream {
    pub(super) fn new(resource: &resource::Upstream) -> Self {
        Self {
            group: resource.group.clone(),
            zone: resource.availability_zone.clone(),
            address: resource.address,
            has_sidecar: resource.side_address.is_some(),
            configured_leaving: resource.leaving,
            listed_leaving: false,
            refused_leaving_at: None,
            report: None,
            local_in_flight: 0,
            in_flight_change: 0,
            ejections: 0,
            ejected_until: clock::Instant::default(),
            is_ejected_silent: false,
        }
    }

    /// Applies the configuration when it is of the same upstream, and returns whether it is.
    ///
    /// Another address, or a sidecar that was added or removed, makes it another upstream.
    pub(super) fn configure(&mut self, resource: &resource::Upstream) -> bool {
        let is_same =
            self.address == resource.address && self.has_sidecar == resource.side_address.is_some();
        if is_same {
            self.group = resource.group.clone();
            self.zone = resource.availability_zone.clone();
            self.configured_leaving = resource.leaving;
        }
        is_same
    }

    /// Applies a report, and returns whether it is from a new incarnation, or none when it is not newer than the last.
    ///
    /// A refusal for leaving remains in force until a report that comes at least `refusal_hold` after it.
    pub(super) fn apply_report(
        &mut self,
        now: clock::Instant,
        report: super::Report,
        refusal_hold: time::Duration,
    ) -> Option<bool> {
        let last = self
            .report
            .as_ref()
            .map(|(_, last)| (last.incarnation, last.sequence));
        if last.is_some_and(|last| (report.incarnation, report.sequence) <= last) {
            return None;
        }
        let is_new_incarnation =
            last.is_some_and(|(incarnation, _)| incarnation < report.incarnation);
        // A report may have been sent before the refusal, so only one that is received well after it clears it.
        if is_new_incarnation
            || self
                .refused_leaving_at
                .is_some_and(|refused_at| now.since(refused_at) >= refusal_hold)
        {
            self.refused_leaving_at = None;
        }
        self.in_flight_change = 0;
        self.report = Some((now, report));
        Some(is_new_incarnation)
    }

    pub(super) fn record_leaving_refusal(&mut self, now: clock::Instant) {
        self.refused_leaving_at = Some(now);
    }

    pub(super) fn record_start(&mut self) {
        self.local_in_flight += 1;
        self.in_flight_change += 1;
    }

    pub(super) fn record_end(&mut self) {
        self.local_in_flight = self.local_in_flight.saturating_sub(1);
        self.in_flight_change -= 1;
    }

    /// Returns whether the upstream can run the request, without regard to ejections and load.
    pub(super) fn can_serve(
        &self,
        now: clock::Instant,
        criteria: &super::Criteria<'_>,
        max_report_age: time::Duration,
    ) -> bool {
        let is_leaving =
            self.configured_leaving || self.listed_leaving || self.refused_leaving_at.is_some();
        if is_leaving || self.group != *criteria.group {
            return false;
        }
        match &self.report {
            None => !self.has_sidecar,
            Some((_, report)) if report.leaving || !report.reachable => false,
            Some((received_at, report)) => {
                now.since(*received_at) < max_report_age && is_resident(report, criteria)
            }
        }
    }

    pub(super) fn has_capacity(&self) -> bool {
        let capacity = self
            .report
            .as_ref()
            .map_or(0, |(_, report)| report.capacity);
        capacity == 0 || self.load() < i64::from(capacity)
    }

    /// Returns whether the upstream may get a request after an ejection: it has completed one since, or none of this
    /// host is in flight there.
    pub(super) fn permits_request(&self) -> bool {
        self.ejections == 0 || self.local_in_flight == 0
    }

    /// Returns the number of requests in flight: the reported number, corrected by what was sent and ended since.
    pub(super) fn load(&self) -> i64 {
        let local = i64::from(self.local_in_flight);
        let reported = self
            .report
            .as_ref()
            .map_or(0, |(_, report)| i64::from(report.in_flight));
        local.max(reported + self.in_flight_change)
    }

    pub(super) fn reported_load(&self) -> u64 {
        let report = self.report.as_ref().map(|(_, report)| report);
        report.map_or(0, |report| {
            u64::from(report.in_flight) + u64::from(report.waiting)
        })
    }

    /// Returns the cost of one more request with the first `prefix_depth` prefixes in the upstream's cache.
    pub(super) fn cost(&self, zone: &name::Name, prefix_depth: usize) -> i64 {
        let waiting = self
            .report
            .as_ref()
            .map_or(0, |(_, report)| i64::from(report.waiting));
        let zone_cost = if self.zone == *zone { 0 } else { ZONE_COST };
        let gain = i64::try_from(prefix_depth)
            .unwrap_or(MAX_PREFIX_GAIN)
            .min(MAX_PREFIX_GAIN);
        (self.load() + waiting) * COST_PER_REQUEST + zone_cost - gain
    }

    pub(super) fn ejected_until(&self) -> clock::Instant {
        self.ejected_until
    }

    /// Ejects the upstream, unless it is ejected already, and returns whether it was.
    ///
    /// A fault during an ejection does not extend it, because it concerns a request sent before the ejection.
    pub(super) fn eject(
        &mut self,
        now: clock::Instant,
        base: time::Duration,
        max: time::Duration,
    ) -> bool {
        if self.ejected_until > now {
            return false;
        }
        let factor = 1_u32.checked_shl(self.ejections).unwrap_or(u32::MAX);
        self.ejected_until = now + base.saturating_mul(factor).min(max);
        self.ejections = (self.ejections + 1).min(31);
        self.is_ejected_silent = false;
        true
    }

    /// Ejects the upstream like [`eject`](Self::eject), until it makes progress.
    pub(super) fn eject_silent(
        &mut self,
        now: clock::Instant,
        base: time::Duration,
        max: time::Duration,
    ) -> bool {
        let is_ejected = self.eject(now, base, max);
        self.is_ejected_silent |= is_ejected;
        is_ejected
    }

    /// Ejects the upstream, unless it is ejected already, without making later ejections longer.
    pub(super) fn eject_briefly(&mut self, now: clock::Instant, span: time::Duration) -> bool {
        let is_ejected = self.ejected_until <= now;
        if is_ejected {
            self.ejected_until = now + span;
            self.is_ejected_silent = false;
        }
        is_ejected
    }

    /// Ends an ejection for silence.
    pub(super) fn record_progress(&mut self, now: clock::Instant) {
        if std::mem::take(&mut self.is_ejected_silent) {
            self.ejected_until = self.ejected_until.min(now);
            self.ejections = self.ejections.saturating_sub(1);
        }
    }

    pub(super) fn record_success(&mut self, now: clock::Instant) {
        if self.ejected_until <= now {
            self.ejections = 0;
        }
    }
}

/// Returns whether the model, and the adapter if there is one, are resident. A plain service has neither.
fn is_resident(report: &super::Report, criteria: &super::Criteria<'_>) -> bool {
    let has_item = |adapter: Option<&name::Name>| {
        let mut resident = report.resident.iter();
        resident
            .any(|found| Some(&found.model) == criteria.model && found.adapter.as_ref() == adapter)
    };
    criteria.model.is_none()
        || has_item(None) && (criteria.adapter.is_none() || has_item(criteria.adapter))
}
