use std::collections;
use std::time;

use super::barrier;
use crate::clock;
use crate::name;
use crate::resource;

/// The number of low bits of an order identifier that count the orders of one incarnation of a sidecar.
const ORDER_BITS: u32 = 20;

/// The time limits of an [`Account`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The longest time between sending an order and its arrival at the engine.
    pub max_order_delay: time::Duration,
    /// The time after which an order without a response is sent again.
    pub resend_after: time::Duration,
    /// The longest time between the engine taking a report and the sidecar reading it.
    pub report_lag: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_order_delay: time::Duration::from_secs(10),
            resend_after: time::Duration::from_secs(1),
            report_lag: time::Duration::from_secs(2),
        }
    }
}

/// The memory account of one accelerator.
///
/// The memory of a load is reserved before its order is returned. It stays reserved until a report lists the item, or
/// until the engine has rejected the order or has restarted and a report without the item was taken after the latest
/// time at which the order could arrive. The memory of a resident item is released only by a newer report that does not
/// list it.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::clock;
/// use carawaycleat_core::memory;
/// use carawaycleat_core::resource;
///
/// let now = clock::Instant::from_millis(0);
/// let account = memory::Account::recover(now, resource::Fencing::Ignored, 1);
/// assert!(!account.is_ready());
/// ```
#[derive(Clone, Debug)]
pub struct Account {
    options: Options,
    fencing_mode: resource::Fencing,
    incarnation: u64,
    fencing: u64,
    next_order: u64,
    phase: Phase,
    claimed_at: Option<clock::Instant>,
    latest: Option<super::Report>,
    orders: collections::BTreeMap<u64, Tracked>,
    changes: Vec<super::Change>,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Orders of a predecessor may still arrive at the engine.
    Draining(barrier::Barrier),
    /// The engine has not yet reported the fencing number.
    Claiming,
    Ready,
}

#[derive(Clone, Debug)]
struct Tracked {
    order: super::Order,
    sent_at: clock::Instant,
    /// Passes with a report that was taken after the latest time at which the order could arrive.
    barrier: barrier::Barrier,
    state: TrackedState,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TrackedState {
    /// Sent, without a response.
    Sent,
    /// Accepted, but no report shows the effect.
    Accepted,
    /// Not confirmed when the engine restarted or when another order loaded the item. [`Account::resend`] does not send
    /// it again, but an earlier transmission may still arrive, so the memory stays reserved.
    Unconfirmed,
    /// Rejected by the engine; an earlier transmission may still arrive, so the memory stays reserved.
    Rejected,
    /// Applied or finally rejected by this incarnation of the engine. An earlier transmission may still arrive at a
    /// later incarnation that has not reported yet, so the memory stays reserved.
    Resolved,
}

impl Tracked {
    fn is_pending(&self) -> bool {
        matches!(self.state, TrackedState::Sent | TrackedState::Accepted)
    }

    fn reserves_memory(&self) -> bool {
        self.order.kind == super::Kind::Load
    }
}

impl Account {
    /// Returns the account of a sidecar that started at `now` and does not know which orders its predecessor sent.
    ///
    /// `incarnation` identifies the sidecar process. It is larger than that of every predecessor on this upstream and
    /// below 2^43, such as the wall-clock time of the start in milliseconds. Order identifiers and the fencing number
    /// are derived from it, because two incarnations must not use the same ones.
    pub fn recover(now: clock::Instant, fencing_mode: resource::Fencing, incarnation: u64) -> Self {
        Self::with_options(now, fencing_mode, incarnation, Options::default())
    }

    /// Returns an account as [`Account::recover`] does, with time limits other than the default.
    pub fn with_options(
        now: clock::Instant,
        fencing_mode: resource::Fencing,
        incarnation: u64,
        options: Options,
    ) -> Self {
        let phase = match fencing_mode {
            resource::Fencing::Checked => Phase::Claiming,
            resource::Fencing::Ignored => {
                Phase::Draining(barrier::Barrier::new(now + options.max_order_delay))
            }
        };
        Self {
            options,
            fencing_mode,
            incarnation,
            fencing: 0,
            next_order: (incarnation << ORDER_BITS) + 1,
            phase,
            claimed_at: None,
            latest: None,
            orders: collections::BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Returns whether loads and unloads may be ordered.
    pub fn is_ready(&self) -> bool {
        matches!(self.phase, Phase::Ready)
    }

    /// Returns the fencing number of the next order.
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Raises the fencing number of later orders to `fencing`, such as the revision of a plan.
    ///
    /// It has no effect before the account is ready, and never lowers the number.
    pub fn raise_fencing(&mut self, fencing: u64) {
        if self.is_ready() {
            self.fencing = self.fencing.max(fencing);
        }
    }

    /// Returns the newest report, or none before the first.
    pub fn latest(&self) -> Option<&super::Report> {
        self.latest.as_ref()
    }

    /// Returns the memory of the accelerator, in bytes; 0 before the first report.
    pub fn total(&self) -> u64 {
        self.latest.as_ref().map_or(0, |report| report.total_bytes)
    }

    /// Returns the bytes that are in use or reserved for loads that may still take effect.
    pub fn committed(&self) -> u64 {
        let resident = self.latest.as_ref().map_or(0, |report| {
            let entries: u64 = report.entries.iter().map(|e| e.item.bytes).sum();
            entries.max(report.used_bytes)
        });
        let mut ordered = collections::BTreeMap::new();
        for tracked in self.orders.values().filter(|t| t.reserves_memory()) {
            let item = &tracked.order.item;
            if self.entry(&item.id).is_none() {
                let bytes = ordered.entry(&item.id).or_insert(0);
                *bytes = item.bytes.max(*bytes);
            }
        }
        resident.saturating_add(ordered.values().sum())
    }

    /// Returns the bytes that are neither in use nor reserved.
    pub fn free(&self) -> u64 {
        self.total().saturating_sub(self.committed())
    }

    /// Returns the items that are ready and for which no unload is pending.
    pub fn usable(&self) -> impl Iterator<Item = &super::Item> {
        self.latest
            .iter()
            .flat_map(|report| &report.entries)
            .filter(|e| e.state == super::State::Ready && !self.is_unloading(&e.item.id))
            .map(|e| &e.item)
    }

    /// Returns the number of load orders that were sent or accepted and whose outcome is not known.
    pub fn pending_loads(&self) -> usize {
        let is_load = |t: &&Tracked| t.is_pending() && t.order.kind == super::Kind::Load;
        self.orders.values().filter(is_load).count()
    }

    /// Reserves memory for `item` and returns the order that loads it.
    ///
    /// When an earlier order for the item may still arrive after an engine restart, that order is returned again.
    ///
    /// # Errors
    ///
    /// Returns an error when the account is not ready, when the item does not fit, is resident or already ordered, or
    /// when it is an adapter whose model is not ready.
    pub fn load(&mut self, now: clock::Instant, item: &super::Item) -> super::Result<super::Order> {
        self.check_ready()?;
        if self.entry(&item.id).is_some() {
            return Err(super::Error::Resident);
        }
        if item.id.adapter.is_some() {
            let model = item.id.base();
            let is_ready = |e: &super::Entry| e.state == super::State::Ready;
            if !self.entry(&model).is_some_and(is_ready) || self.is_unloading(&model) {
                return Err(super::Error::ModelAbsent);
            }
        }
        let is_same_item = |t: &&Tracked| t.order.item.id == item.id;
        let earlier = self.orders.values().rev().filter(is_same_item);
        if let Some(t) = earlier.clone().find(|t| t.state != TrackedState::Resolved) {
            let (order, state) = (t.order.clone(), t.state);
            // After an engine restart, the orders with reserved memory may together need more than the accelerator has.
            // An order that is sent again then could be applied together with the others and overcommit the memory.
            if state == TrackedState::Unconfirmed
                && order.item == *item
                && self.committed() <= self.total()
            {
                return Ok(self.resend_order(now, order.id));
            }
            return Err(super::Error::Unresolved(order.id));
        }
        let reserved = earlier.map(|t| t.order.item.bytes).max().unwrap_or(0);
        let needed = item.bytes.saturating_sub(reserved);
        if needed > self.free() || self.committed() > self.total() {
            return Err(super::Error::InsufficientMemory(needed, self.free()));
        }
        Ok(self.create_order(now, super::Kind::Load, item.clone()))
    }

    /// Returns the order that unloads the item `id`.
    ///
    /// The memory of the item is released when a report no longer lists it.
    ///
    /// # Errors
    ///
    /// Returns an error when the account is not ready, or when the item is not resident, has a pending order, or has
    /// adapters that are resident or may still be loaded.
    pub fn unload(&mut self, now: clock::Instant, id: &super::Id) -> super::Result<super::Order> {
        self.check_ready()?;
        let Some(entry) = self.entry(id) else {
            return Err(super::Error::Absent);
        };
        let item = entry.item.clone();
        let is_pending_for_item = |t: &&Tracked| t.is_pending() && t.order.item.id == *id;
        if let Some(tracked) = self.orders.values().find(is_pending_for_item) {
            return Err(super::Error::Unresolved(tracked.order.id));
        }
        if self.has_adapter(id) {
            return Err(super::Error::AdapterPresent);
        }
        Ok(self.create_order(now, super::Kind::Unload, item))
    }

    /// Records the engine's response to the order `id`.
    pub fn record_response(&mut self, _now: clock::Instant, id: u64, response: super::Response) {
        let Some(tracked) = self.orders.get_mut(&id).filter(|t| t.is_pending()) else {
            return;
        };
        match response {
            super::Response::NoResponse => {}
            super::Response::Accepted => tracked.state = TrackedState::Accepted,
            super::Response::OutOfMemory | super::Response::StaleFencing => {
                // A rejected unload stays pending and is sent again only after a delay, so that an engine that keeps
                // rejecting it is not sent orders in a tight loop.
                let change = super::Change::of(&tracked.order, super::Transition::Rejected);
                self.changes.push(change);
                if tracked.order.kind == super::Kind::Load {
                    tracked.state = TrackedState::Rejected;
                }
                let is_current = tracked.order.fencing >= self.fencing;
                if response == super::Response::StaleFencing && is_current {
                    self.restart_claim();
                }
            }
        }
    }

    /// Records a report and returns whether it is newer than the last one; an older report is ignored.
    pub fn observe(&mut self, now: clock::Instant, report: &super::Report) -> bool {
        let position = |r: &super::Report| (r.incarnation, r.taken_at_ms);
        let last = self.latest.as_ref().map(position);
        if last.is_some_and(|last| position(report) <= last) {
            return false;
        }
        if last.is_some_and(|(incarnation, _)| incarnation < report.incarnation) {
            self.restart(report);
        }
        self.latest = Some(report.clone());
        self.advance(now, report);
        self.resolve(now, report);
        true
    }

    /// Returns the orders that are due to be sent again, with their original identifiers.
    ///
    /// While the fencing number is being claimed, returns only the order that claims it.
    pub fn resend(&mut self, now: clock::Instant) -> Vec<super::Order> {
        if matches!(self.phase, Phase::Claiming) {
            return self.claim_fencing(now).into_iter().collect();
        }
        // An accepted order is sent again too, because the incarnation that accepted it may have ended since.
        let is_due = |t: &&Tracked| match t.state {
            TrackedState::Sent => now.since(t.sent_at) >= self.options.resend_after,
            TrackedState::Accepted => now.since(t.sent_at) >= self.options.max_order_delay,
            _ => false,
        };
        let ids: Vec<u64> = self
            .orders
            .values()
            .filter(is_due)
            .map(|t| t.order.id)
            .collect();
        ids.into_iter()
            .map(|id| self.resend_order(now, id))
            .collect()
    }

    /// Returns the changes of orders since the last call, and clears them.
    pub fn take_changes(&mut self) -> Vec<super::Change> {
        std::mem::take(&mut self.changes)
    }

    fn check_ready(&self) -> super::Result<()> {
        if self.is_ready() {
            Ok(())
        } else {
            Err(super::Error::NotReady)
        }
    }

    fn entry(&self, id: &super::Id) -> Option<&super::Entry> {
        self.latest.as_ref().and_then(|report| report.entry(id))
    }

    fn is_unloading(&self, id: &super::Id) -> bool {
        self.orders.values().any(|t| {
            t.order.kind == super::Kind::Unload && t.is_pending() && t.order.item.id == *id
        })
    }

    fn has_adapter(&self, model: &super::Id) -> bool {
        let resident = self.latest.iter().flat_map(|report| &report.entries);
        let ordered = self.orders.values().filter(|t| t.reserves_memory());
        resident
            .map(|e| &e.item)
            .chain(ordered.map(|t| &t.order.item))
            .any(|i| i.id.is_adapter_of(model))
    }

    fn create_order(
        &mut self,
        now: clock::Instant,
        kind: super::Kind,
        item: super::Item,
    ) -> super::Order {
        let order = super::Order {
            id: self.next_order,
            fencing: self.fencing,
            kind,
            item,
        };
        self.next_order += 1;
        let tracked = Tracked {
            order: order.clone(),
            sent_at: now,
            barrier: barrier::Barrier::new(now + self.options.max_order_delay),
            state: TrackedState::Sent,
        };
        self.orders.insert(order.id, tracked);
        let change = super::Change::of(&order, super::Transition::Sent);
        self.changes.push(change);
        order
    }

    fn resend_order(&mut self, now: clock::Instant, id: u64) -> super::Order {
        let tracked = self.orders.get_mut(&id).expect("a tracked order");
        tracked.sent_at = now;
        tracked.barrier = barrier::Barrier::new(now + self.options.max_order_delay);
        tracked.state = TrackedState::Sent;
        tracked.order.fencing = self.fencing;
        let change = super::Change::of(&tracked.order, super::Transition::Resent);
        self.changes.push(change);
        tracked.order.clone()
    }

    /// Returns the order that claims a fencing number, if it is due to be sent.
    fn claim_fencing(&mut self, now: clock::Instant) -> Option<super::Order> {
        let reported = self.latest.as_ref()?.fencing;
        let is_pending_fence = |t: &&Tracked| t.order.kind == super::Kind::Fence && t.is_pending();
        let pending = self
            .orders
            .values()
            .find(is_pending_fence)
            .map(|t| (t.order.id, t.sent_at));
        if let Some((id, sent_at)) = pending {
            let is_due = now.since(sent_at) >= self.options.resend_after;
            return is_due.then(|| self.resend_order(now, id));
        }
        let is_early = |at| now.since(at) < self.options.resend_after;
        if self.claimed_at.is_some_and(is_early) {
            return None;
        }
        self.claimed_at = Some(now);
        self.fencing = self.incarnation.max(reported + 1).max(self.fencing + 1);
        Some(self.create_order(now, super::Kind::Fence, fence_item()))
    }

    /// Discards the orders that claim a fencing number, and begins a new claim if the engine checks the number.
    fn restart_claim(&mut self) {
        if self.fencing_mode == resource::Fencing::Checked {
            self.phase = Phase::Claiming;
        }
        self.orders
            .retain(|_, t| t.order.kind != super::Kind::Fence);
    }

    /// Handles the first report of a new incarnation of the engine.
    ///
    /// No item stays resident over a restart. The new incarnation does not know the identifiers of earlier orders, so
    /// it applies any of them that arrives late.
    fn restart(&mut self, report: &super::Report) {
        self.orders.retain(|_, t| match t.order.kind {
            super::Kind::Load => true,
            super::Kind::Unload => t.is_pending() && report.entry(&t.order.item.id).is_some(),
            super::Kind::Fence => true,
        });
        for tracked in self.orders.values_mut() {
            match tracked.order.kind {
                super::Kind::Load if tracked.state != TrackedState::Rejected => {
                    tracked.state = TrackedState::Unconfirmed;
                }
                super::Kind::Unload => tracked.state = TrackedState::Sent,
                _ => {}
            }
        }
        self.restart_claim();
    }

    /// Moves to the next phase when `report` shows that the current one is over.
    fn advance(&mut self, now: clock::Instant, report: &super::Report) {
        match &mut self.phase {
            Phase::Draining(barrier) => {
                if barrier.passes(now, report, self.options.report_lag) {
                    self.phase = Phase::Ready;
                }
            }
            Phase::Claiming => self.confirm_claim(report),
            Phase::Ready => {}
        }
    }

    /// Ends the claim of the fencing number when `report` lists the claiming order.
    ///
    /// Such a report was taken after the engine began to reject older numbers. Loads with an older number are listed in
    /// it or can no longer be applied by this incarnation.
    fn confirm_claim(&mut self, report: &super::Report) {
        let fence = self
            .orders
            .values()
            .find(|t| t.order.kind == super::Kind::Fence && report.progress(t.order.id).is_some());
        let Some(tracked) = fence else {
            return;
        };
        let fencing = tracked.order.fencing;
        let change = super::Change::of(&tracked.order, super::Transition::Applied);
        self.changes.push(change);
        self.orders
            .retain(|_, t| t.order.kind != super::Kind::Fence);
        if report.fencing > fencing {
            return;
        }
        for tracked in self.orders.values_mut() {
            if tracked.order.kind == super::Kind::Load && tracked.order.fencing < fencing {
                tracked.state = TrackedState::Resolved;
            }
        }
        self.phase = Phase::Ready;
    }

    /// Updates the pending orders from `report` and removes those that can no longer take effect.
    fn resolve(&mut self, now: clock::Instant, report: &super::Report) {
        let lag = self.options.report_lag;
        let changes = &mut self.changes;
        let mut record = |t: &Tracked, transition| {
            changes.push(super::Change::of(&t.order, transition));
        };
        self.orders.retain(|_, t| {
            let is_resident = report.entry(&t.order.item.id).is_some();
            match t.order.kind {
                super::Kind::Fence => return true,
                super::Kind::Unload if is_resident => return true,
                super::Kind::Unload => {
                    record(t, super::Transition::Applied);
                    return false;
                }
                super::Kind::Load => {}
            }
            let is_recorded = matches!(t.state, TrackedState::Rejected | TrackedState::Resolved);
            if !is_recorded {
                t.state = state_of_load(t, report);
                match report.progress(t.order.id) {
                    Some(super::Progress::Done) => record(t, super::Transition::Applied),
                    Some(super::Progress::Failed) => record(t, super::Transition::Rejected),
                    _ => {}
                }
            }
            let is_kept = t.is_pending() || !t.barrier.passes(now, report, lag);
            if !is_kept && t.state == TrackedState::Unconfirmed {
                record(t, super::Transition::Expired);
            }
            is_kept
        });
    }
}

fn state_of_load(tracked: &Tracked, report: &super::Report) -> TrackedState {
    let is_ready = |e: &super::Entry| e.state == super::State::Ready;
    let entry = report.entry(&tracked.order.item.id);
    match report.progress(tracked.order.id) {
        Some(super::Progress::Done | super::Progress::Failed) => TrackedState::Resolved,
        Some(super::Progress::Running) => TrackedState::Accepted,
        // Another order loaded the item; this one may still arrive.
        None if entry.is_some_and(is_ready) => TrackedState::Unconfirmed,
        None => tracked.state,
    }
}

/// Returns the item that fencing orders name; it is never resident.
fn fence_item() -> super::Item {
    let name = name::Name::parse("fence").expect("a valid name");
    super::Item::new(super::Id::model(name.clone(), name), 0)
}
