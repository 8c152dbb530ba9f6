//! The orders for services that are balanced by work.

use super::plan;
use crate::clock;
use crate::coordinator::effect;
use crate::name;
use crate::relay;

impl super::Reducer {
    /// Sends the orders about models that the current demand calls for, at most `max` of them.
    pub(super) fn place_by_work(
        &mut self,
        now: clock::Instant,
        max: usize,
        effects: &mut Vec<effect::Effect>,
    ) {
        let services = self.services.iter();
        let services = services.filter(|(_, spec)| plan::Planner::follows_spikes(self, spec));
        let placements = services.flat_map(|(service, spec)| {
            plan::Planner::new(now, self, service, spec).placements(max)
        });
        let placements: Vec<_> = placements.take(max).collect();
        for placement in placements {
            effects.push(effect::Effect::Record(placement.decision));
            self.send(now, placement.step, effects);
        }
    }

    /// Returns the number of loads that may begin from the weight store now when it allows `per_second` loads per second.
    pub(in crate::coordinator) fn available_store_loads(&self, per_second: f64) -> i64 {
        let max_loads = (per_second * self.options.load_window.as_secs_f64()).max(1.0);
        max_loads.min(super::MAX_STORE_LOADS as f64).floor() as i64 - self.store_loads.len() as i64
    }

    /// Returns the demands of recent reports for the models of a service.
    pub(in crate::coordinator) fn recent_demands<'a>(
        &'a self,
        now: clock::Instant,
        service: &'a name::Name,
    ) -> impl Iterator<Item = &'a relay::Demand> {
        self.hosts
            .values()
            .filter(move |host| now.since(host.received_at) < super::MAX_REPORT_AGE)
            .flat_map(|host| &host.report.demands)
            .filter(move |demand| demand.service == *service)
    }
}
