use std::collections;

use carawaycleat_core::memory;

const LOAD_STEPS: u64 = 2;
/// Maximum delay of a report in steps.
pub(crate) const MAX_LAG_STEPS: usize = 4;

/// A fault of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    DropOrders,
    DelayOrders,
    DuplicateOrders,
    LoseResponses,
    RefuseOrders,
    RestartEngine,
    RestartSidecar,
    LagReports,
}

impl Fault {
    pub(crate) const ALL: [Self; 8] = [
        Self::DropOrders,
        Self::DelayOrders,
        Self::DuplicateOrders,
        Self::LoseResponses,
        Self::RefuseOrders,
        Self::RestartEngine,
        Self::RestartSidecar,
        Self::LagReports,
    ];
}

/// A fake engine and the network in front of it. One step takes a second.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    pub(crate) checks_fencing: bool,
    pub(crate) total: u64,
    /// Number of loads that arrived without enough free memory.
    pub(crate) overcommits: usize,
    step: u64,
    incarnation: u64,
    fencing: u64,
    items: Vec<(memory::Item, u64)>,
    orders: collections::BTreeMap<u64, memory::Progress>,
    in_transit: Vec<(u64, memory::Order)>,
    history: Vec<memory::Report>,
    lag_steps: usize,
    lag_until: u64,
}

impl Engine {
    pub(crate) fn new(checks_fencing: bool, total: u64, lag_steps: usize) -> Self {
        Self {
            checks_fencing,
            total,
            incarnation: 1,
            lag_steps,
            ..Self::default()
        }
    }

    pub(crate) fn step(&mut self) {
        self.step += 1;
        let due: Vec<_> = self
            .in_transit
            .extract_if(.., |(at, _)| *at <= self.step)
            .collect();
        for (_, order) in due {
            self.apply(&order);
        }
        for progress in self.orders.values_mut() {
            *progress = memory::Progress::Done;
        }
        let report = self.state();
        self.history.push(report);
    }

    pub(crate) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::RestartEngine => {
                self.incarnation += 1;
                self.fencing = 0;
                self.items.clear();
                self.orders.clear();
            }
            Fault::LagReports => self.lag_until = self.step + 6,
            _ => {}
        }
    }

    /// Sends an order to the engine under the faults of the step, and returns the response.
    pub(crate) fn send(&mut self, order: &memory::Order, faults: &[Fault]) -> memory::Response {
        if faults.contains(&Fault::DropOrders) {
            return memory::Response::NoResponse;
        }
        if faults.contains(&Fault::RefuseOrders) {
            return memory::Response::OutOfMemory;
        }
        if faults.contains(&Fault::DelayOrders) {
            self.in_transit.push((self.step + 9, order.clone()));
            return memory::Response::NoResponse;
        }
        if faults.contains(&Fault::DuplicateOrders) {
            self.in_transit.push((self.step + 9, order.clone()));
        }
        let response = self.apply(order);
        if faults.contains(&Fault::LoseResponses) {
            return memory::Response::NoResponse;
        }
        response
    }

    /// Returns the state as reported, which lags behind by some steps; none if there is no such report yet.
    pub(crate) fn report(&self) -> Option<&memory::Report> {
        let lag = if self.step < self.lag_until {
            MAX_LAG_STEPS
        } else {
            self.lag_steps
        };
        self.history
            .len()
            .checked_sub(lag + 1)
            .map(|i| &self.history[i])
    }

    pub(crate) fn holds(&self, id: &memory::Id) -> bool {
        self.items.iter().any(|(item, _)| item.id == *id)
    }

    fn apply(&mut self, order: &memory::Order) -> memory::Response {
        if self.checks_fencing && order.fencing < self.fencing {
            return memory::Response::StaleFencing;
        }
        self.fencing = self.fencing.max(order.fencing);
        if self.orders.contains_key(&order.id) {
            return memory::Response::Accepted;
        }
        match order.kind {
            memory::Kind::Load if !self.holds(&order.item.id) => {
                let used: u64 = self.items.iter().map(|(item, _)| item.bytes).sum();
                if used + order.item.bytes > self.total {
                    self.overcommits += 1;
                    return memory::Response::OutOfMemory;
                }
                self.items
                    .push((order.item.clone(), self.step + LOAD_STEPS));
            }
            memory::Kind::Unload => self.items.retain(|(item, _)| item.id != order.item.id),
            _ => {}
        }
        self.orders.insert(order.id, memory::Progress::Running);
        memory::Response::Accepted
    }

    fn state(&self) -> memory::Report {
        let entry = |(item, ready_at): &(memory::Item, u64)| memory::Entry {
            item: item.clone(),
            state: if *ready_at <= self.step {
                memory::State::Ready
            } else {
                memory::State::Loading
            },
        };
        memory::Report {
            incarnation: self.incarnation,
            fencing: self.fencing,
            taken_at_ms: self.step * 1_000,
            entries: self.items.iter().map(entry).collect(),
            orders: self
                .orders
                .iter()
                .map(|(&id, &progress)| memory::Status { id, progress })
                .collect(),
            total_bytes: self.total,
            used_bytes: self.items.iter().map(|(item, _)| item.bytes).sum(),
        }
    }
}
