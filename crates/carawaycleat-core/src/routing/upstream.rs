use std::net;
use std::time;

use crate::clock;
use crate::name;
use crate::resource;

const COST_PER_REQUEST: i64 = 4;
/// Another zone costs as much as two requests more; the zones of a site are about 1 ms apart.
const ZONE_COST: i64 = 2 * COST_PER_REQUEST;
/// A cached prefix saves at most the cost of three requests, so that a popular prefix does not overload its holder.
const MAX_PREFIX_GAIN: i64 = 3 * COST_PER_REQUEST;

/// What is known about one upstream.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    group: name::Name,
    zone: name::Name,
    address: net::SocketAddr,
    has_sidecar: bool,
    configured_leaving: bool,
    pub(super) listed_leaving: bool,
    refused_leaving: Option<clock::Instant>,
    report: Option<(clock::Instant, super::Report)>,
    /// The requests of this host in flight.
    pub(super) local: u32,
    /// What was sent less what ended since the last report.
    since_report: i64,
    strikes: u32,
    ejected_until: clock::Instant,
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
            refused_leaving: None,
            report: None,
            local: 0,
            since_report: 0,
            strikes: 0,
            ejected_until: clock::Instant::default(),
        }
    }

    /// Takes over a new configuration, and returns whether it is still the same upstream.
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

    /// Takes a report, and returns whether it is of a new incarnation, or none when it is not newer than the last one.
    pub(super) fn report(
        &mut self,
        now: clock::Instant,
        load: super::Report,
        settle: time::Duration,
    ) -> Option<bool> {
        let last = self
            .report
            .as_ref()
            .map(|(_, last)| (last.incarnation, last.sequence));
        if last.is_some_and(|last| (load.incarnation, load.sequence) <= last) {
            return None;
        }
        let is_new = last.is_some_and(|(incarnation, _)| incarnation < load.incarnation);
        // A report may have left before the refusal, so only one that comes well after it takes the refusal back.
        if is_new
            || self
                .refused_leaving
                .is_some_and(|at| now.since(at) >= settle)
        {
            self.refused_leaving = None;
        }
        self.since_report = 0;
        self.report = Some((now, load));
        Some(is_new)
    }

    pub(super) fn refuse_leaving(&mut self, now: clock::Instant) {
        self.refused_leaving = Some(now);
    }

    pub(super) fn start(&mut self) {
        self.local += 1;
        self.since_report += 1;
    }

    pub(super) fn end(&mut self) {
        self.local = self.local.saturating_sub(1);
        self.since_report -= 1;
    }

    /// Returns whether the upstream may run the request, ejection and load aside.
    pub(super) fn can_serve(
        &self,
        now: clock::Instant,
        criteria: &super::Criteria<'_>,
        age: time::Duration,
    ) -> bool {
        let is_leaving =
            self.configured_leaving || self.listed_leaving || self.refused_leaving.is_some();
        if is_leaving || self.group != *criteria.group {
            return false;
        }
        match &self.report {
            None => !self.has_sidecar,
            Some((_, load)) if load.leaving || !load.reachable => false,
            Some((at, load)) => now.since(*at) < age && holds(load, criteria),
        }
    }

    pub(super) fn has_capacity(&self) -> bool {
        let capacity = self.report.as_ref().map_or(0, |(_, load)| load.capacity);
        capacity == 0 || self.load() < i64::from(capacity)
    }

    /// Returns whether the upstream has answered since its last ejection, or no request tests it at present.
    pub(super) fn is_open(&self) -> bool {
        self.strikes == 0 || self.local == 0
    }

    /// Returns the requests in flight: the reported ones with what was sent and ended since.
    pub(super) fn load(&self) -> i64 {
        let local = i64::from(self.local);
        let reported = self
            .report
            .as_ref()
            .map_or(0, |(_, load)| i64::from(load.in_flight));
        local.max(reported + self.since_report)
    }

    pub(super) fn reported_load(&self) -> u64 {
        let load = self.report.as_ref().map(|(_, load)| load);
        load.map_or(0, |load| {
            u64::from(load.in_flight) + u64::from(load.waiting)
        })
    }

    pub(super) fn cost(&self, zone: &name::Name, prefix_depth: usize) -> i64 {
        let waiting = self
            .report
            .as_ref()
            .map_or(0, |(_, load)| i64::from(load.waiting));
        let zone_cost = if self.zone == *zone { 0 } else { ZONE_COST };
        let gain = i64::try_from(prefix_depth)
            .unwrap_or(MAX_PREFIX_GAIN)
            .min(MAX_PREFIX_GAIN);
        (self.load() + waiting) * COST_PER_REQUEST + zone_cost - gain
    }

    pub(super) fn ejected_until(&self) -> clock::Instant {
        self.ejected_until
    }

    /// Ejects the upstream; a fault during an ejection does not prolong it, since it is of a request sent before.
    pub(super) fn strike(
        &mut self,
        now: clock::Instant,
        first: time::Duration,
        longest: time::Duration,
    ) -> bool {
        if self.ejected_until > now {
            return false;
        }
        let factor = 1_u32.checked_shl(self.strikes).unwrap_or(u32::MAX);
        self.ejected_until = now + first.saturating_mul(factor).min(longest);
        self.strikes = (self.strikes + 1).min(31);
        true
    }

    pub(super) fn succeed(&mut self, now: clock::Instant) {
        if self.ejected_until <= now {
            self.strikes = 0;
        }
    }
}

fn holds(load: &super::Report, criteria: &super::Criteria<'_>) -> bool {
    let is_resident = |adapter: Option<&name::Name>| {
        let mut resident = load.resident.iter();
        resident
            .any(|found| Some(&found.model) == criteria.model && found.adapter.as_ref() == adapter)
    };
    criteria.model.is_none()
        || is_resident(None) && (criteria.adapter.is_none() || is_resident(criteria.adapter))
}
