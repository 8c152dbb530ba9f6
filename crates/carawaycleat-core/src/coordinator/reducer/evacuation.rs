//! Evacuated availability zones and cold upstreams.

use crate::clock;
use crate::coordinator::effect;
use crate::coordinator::engine;
use crate::coordinator::event;
use crate::name;

impl super::Reducer {
    /// Applies what the configuration, entries and responses say of cold upstreams, and the operators' evacuations. Ignores
    /// other events.
    pub(super) fn record_notice(&mut self, now: clock::Instant, event: event::Event) {
        match event {
            event::Event::ColdStartsConfigured(services) => self.cold.configure(services),
            event::Event::Listed => self.cold.record_listing(),
            event::Event::UpstreamCold {
                upstream,
                remaining,
            } => self
                .cold
                .starts
                .record_response(now, &upstream, None, remaining),
            event::Event::ZoneEvacuated(zone) => self.evacuations.begin(now, zone),
            event::Event::EvacuationEnded(zone) => {
                let has_ended = self.evacuations.end(&zone);
                if has_ended {
                    self.cold.starts.record_evacuation_end(now, &zone);
                }
            }
            _ => {}
        }
    }

    /// Logs evacuations that have ended, and those that all registered hosts have reported to apply.
    pub(super) fn record_evacuations(
        &mut self,
        now: clock::Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        let hosts = &self.hosts;
        let applies = |host: &name::Name, zone: &name::Name| {
            let host = hosts.get(host);
            host.is_some_and(|host| host.report.evacuated.contains(zone))
        };
        let shares = &self.shares;
        let records = self.evacuations.records(now, |zone| {
            shares.host_count() > 0 && shares.hosts().all(|host| applies(host, zone))
        });
        effects.extend(records.into_iter().map(effect::Effect::Record));
    }

    /// Returns whether an engine is in an evacuated availability zone, so that it gets no requests.
    pub(in crate::coordinator) fn is_evacuated(&self, engine: &engine::Engine) -> bool {
        self.evacuations.contains(&engine.registration.zone)
    }
}
