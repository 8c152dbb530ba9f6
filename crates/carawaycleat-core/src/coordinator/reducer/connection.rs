//! The division of the connections to upstreams among the hosts.

use std::collections;

use crate::clock;
use crate::connection;
use crate::coordinator::effect;
use crate::name;
use crate::relay;
use crate::timeline;

/// What the coordinator knows of the hosts' connections.
#[derive(Debug, Default)]
pub(super) struct Connections {
    pub(super) ledger: connection::Ledger,
    /// The services whose connections are shared out.
    specs: collections::BTreeMap<name::Name, connection::Spec>,
    /// The state that was logged last.
    logged: String,
}

impl Connections {
    pub(super) fn configure(&mut self, specs: Vec<connection::Spec>) {
        let specs = specs.into_iter();
        self.specs = specs.map(|spec| (spec.service.clone(), spec)).collect();
    }

    pub(super) fn record_report(&mut self, now: clock::Instant, report: &relay::Report) {
        if !self.specs.is_empty() {
            let uses = &report.connections;
            self.ledger
                .record_report(now, &report.host, report.number, uses);
        }
    }
}

impl super::Reducer {
    /// Returns what `host` may use of the upstreams that its last report names.
    pub(super) fn connection_grants(
        &mut self,
        now: clock::Instant,
        host: &name::Name,
    ) -> Vec<connection::Grant> {
        let (engines, specs) = (&self.engines, &self.connections.specs);
        let capacity = |id: &name::Name| {
            let registration = &engines.get(id)?.registration;
            let spec = specs.get(&registration.service)?;
            Some(connection::Capacity {
                usable: connection::usable(spec.max_connections),
                slots: (!spec.has_models).then_some(registration.slots),
            })
        };
        self.connections.ledger.grant(now, host, capacity)
    }

    /// Logs how many connections the hosts may hold of each upstream without models, if that has changed.
    pub(super) fn log_connections(
        &mut self,
        now: clock::Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        let summaries = self.engines.iter().filter_map(|(id, engine)| {
            let spec = self.connections.specs.get(&engine.registration.service)?;
            let usable = connection::usable(spec.max_connections);
            let held = self.connections.ledger.committed(now, id, usable);
            (!spec.has_models).then(|| format!("{id}={held}/{usable}"))
        });
        let summary = summaries.collect::<Vec<_>>().join(" ");
        if summary != self.connections.logged {
            let decision = timeline::Decision::new("connection_shares");
            let decision = decision.with("upstreams", summary.clone());
            effects.push(effect::Effect::Record(decision));
            self.connections.logged = summary;
        }
    }
}
