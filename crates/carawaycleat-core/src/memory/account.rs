use std::collections;
use std::time;

use super::barrier;
use crate::clock;
use crate::name;
use crate::resource;

/// The number of orders that one incarnation of a sidecar can number, as a power of two.
const ORDER_BITS: u32 = 20;

/// The time limits of an [`Account`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The longest time between the sending of an order and its arrival.
    pub max_order_delay: time::Duration,
    /// The time after which an order without an answer is sent again.
    pub resend_after: time::Duration,
    /// The longest time between the taking of a report and its reading.
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
/// Bytes of a load are counted before its order is returned. They stay counted until a report shows the item, until
/// the engine rejects the order, or until the engine restarted and a report taken after the order could last arrive
/// shows the item absent. Bytes of a resident item are released only by a newer report without it.
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
    mode: resource::Fencing,
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
    /// Orders of a predecessor may still land.
    Settling(barrier::Barrier),
    /// The engine has not yet reported the fencing number.
    Claiming,
    Ready,
}

#[derive(Clone, Debug)]
struct Tracked {
    order: super::Order,
    sent_at: clock::Instant,
    barrier: barrier::Barrier,
    state: TrackedState,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TrackedState {
    /// Sent, without an answer.
    Sent,
    /// Accepted, but no report shows the effect.
    Accepted,
    /// Not sent again, but a copy may still land: counted.
    Held,
    /// Rejected for lack of memory; a copy may still land: counted.
    Rejected,
    /// Applied or refused for good by this incarnation; a copy may still land in a next one, whose reports have not
    /// arrived: counted.
    Settled,
}

impl Tracked {
    fn is_open(&self) -> bool {
        matches!(self.state, TrackedState::Sent | TrackedState::Accepted)
    }

    fn is_counted(&self) -> bool {
        self.order.kind == super::Kind::Load
    }
}

impl Account {
    /// Returns the account of a sidecar that started at `now` and does not know what its predecessor sent.
    ///
    /// `incarnation` numbers the sidecar's process: larger than that of every predecessor on this upstream and below
    /// 2^43, such as the wall-clock time of the start in milliseconds. Order identifiers and the fencing number are
    /// derived from it, because two incarnations must not use the same.
    pub fn recover(now: clock::Instant, mode: resource::Fencing, incarnation: u64) -> Self {
        Self::with_options(now, mode, incarnation, Options::default())
    }

    /// Returns the same as [`Account::recover`], with other time limits.
    pub fn with_options(
        now: clock::Instant,
        mode: resource::Fencing,
        incarnation: u64,
        options: Options,
    ) -> Self {
        let phase = match mode {
            resource::Fencing::Checked => Phase::Claiming,
            resource::Fencing::Ignored => {
                Phase::Settling(barrier::Barrier::new(now + options.max_order_delay))
            }
        };
        Self {
            options,
            mode,
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

    /// Returns the report that was last taken up.
    pub fn latest(&self) -> Option<&super::Report> {
        self.latest.as_ref()
    }

    /// Returns the memory of the accelerator, in bytes; 0 before the first report.
    pub fn total(&self) -> u64 {
        self.latest.as_ref().map_or(0, |report| report.total_bytes)
    }

    /// Returns the bytes taken by resident items and by loads that may still land.
    pub fn committed(&self) -> u64 {
        let resident = self.latest.as_ref().map_or(0, |report| {
            let entries: u64 = report.entries.iter().map(|e| e.item.bytes).sum();
            entries.max(report.used_bytes)
        });
        let mut ordered = collections::BTreeMap::new();
        for tracked in self.orders.values().filter(|t| t.is_counted()) {
            let item = &tracked.order.item;
            if self.entry(&item.id).is_none() {
                let bytes = ordered.entry(&item.id).or_insert(0);
                *bytes = item.bytes.max(*bytes);
            }
        }
        resident.saturating_add(ordered.values().sum())
    }

    /// Returns the bytes that a load may take.
    pub fn free(&self) -> u64 {
        self.total().saturating_sub(self.committed())
    }

    /// Returns the items that can be used and are not being unloaded.
    pub fn usable(&self) -> impl Iterator<Item = &super::Item> {
        self.latest
            .iter()
            .flat_map(|report| &report.entries)
            .filter(|e| e.state == super::State::Ready && !self.is_unloading(&e.item.id))
            .map(|e| &e.item)
    }

    /// Returns the number of loads that are sent and not settled.
    pub fn pending_loads(&self) -> usize {
        let is_load = |t: &&Tracked| t.is_open() && t.order.kind == super::Kind::Load;
        self.orders.values().filter(is_load).count()
    }

    /// Counts `item` and returns the order that loads it.
    ///
    /// When an earlier order for the item may still land after an engine restart, that order is returned again.
    ///
    /// # Errors
    ///
    /// Returns an error when the item does not fit, is resident or already ordered, or lacks its model.
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
        let same = |t: &&Tracked| t.order.item.id == item.id;
        let earlier = self.orders.values().rev().filter(same);
        if let Some(t) = earlier.clone().find(|t| t.state != TrackedState::Settled) {
            let (order, state) = (t.order.clone(), t.state);
            // After a restart the orders that are counted may need more than there is; sending one again would let it
            // land beside the others.
            if state == TrackedState::Held
                && order.item == *item
                && self.committed() <= self.total()
            {
                return Ok(self.send(now, order.id));
            }
            return Err(super::Error::Unresolved(order.id));
        }
        let counted = earlier.map(|t| t.order.item.bytes).max().unwrap_or(0);
        let needed = item.bytes.saturating_sub(counted);
        if needed > self.free() || self.committed() > self.total() {
            return Err(super::Error::InsufficientMemory(needed, self.free()));
        }
        Ok(self.create(now, super::Kind::Load, item.clone()))
    }

    /// Returns the order that unloads the item `id`; its bytes stay counted until a report shows it gone.
    ///
    /// # Errors
    ///
    /// Returns an error when the item is not resident, has an open order, or has adapters on top of it.
    pub fn unload(&mut self, now: clock::Instant, id: &super::Id) -> super::Result<super::Order> {
        self.check_ready()?;
        let Some(entry) = self.entry(id) else {
            return Err(super::Error::Absent);
        };
        let item = entry.item.clone();
        let open = |t: &&Tracked| t.is_open() && t.order.item.id == *id;
        if let Some(tracked) = self.orders.values().find(open) {
            return Err(super::Error::Unresolved(tracked.order.id));
        }
        if self.has_adapter(id) {
            return Err(super::Error::AdapterPresent);
        }
        Ok(self.create(now, super::Kind::Unload, item))
    }

    /// Takes up the engine's answer to the order `id`.
    pub fn record_response(&mut self, _now: clock::Instant, id: u64, answer: super::Response) {
        let Some(tracked) = self.orders.get_mut(&id).filter(|t| t.is_open()) else {
            return;
        };
        match answer {
            super::Response::NoResponse => {}
            super::Response::Accepted => tracked.state = TrackedState::Accepted,
            super::Response::OutOfMemory | super::Response::StaleFencing => {
                // A refused unload is sent again after a pause, so that a refusal cannot cause an endless exchange.
                let change = super::Change::of(&tracked.order, super::Transition::Rejected);
                self.changes.push(change);
                if tracked.order.kind == super::Kind::Load {
                    tracked.state = TrackedState::Rejected;
                }
                let is_current = tracked.order.fencing >= self.fencing;
                if answer == super::Response::StaleFencing && is_current {
                    self.claim_again();
                }
            }
        }
    }

    /// Takes up a report and returns whether it is newer than the last.
    pub fn observe(&mut self, now: clock::Instant, report: &super::Report) -> bool {
        let order = |r: &super::Report| (r.incarnation, r.taken_at_ms);
        let last = self.latest.as_ref().map(order);
        if last.is_some_and(|last| order(report) <= last) {
            return false;
        }
        if last.is_some_and(|(incarnation, _)| incarnation < report.incarnation) {
            self.restart(report);
        }
        self.latest = Some(report.clone());
        self.advance(now, report);
        self.settle(now, report);
        true
    }

    /// Returns the orders that are due to be sent again, with their earlier identifiers.
    ///
    /// Until the fencing number is claimed this is the order that claims it.
    pub fn resend(&mut self, now: clock::Instant) -> Vec<super::Order> {
        if matches!(self.phase, Phase::Claiming) {
            return self.claim(now).into_iter().collect();
        }
        // An accepted order is sent again too: the answer may have come from an incarnation that has ended.
        let due = |t: &&Tracked| match t.state {
            TrackedState::Sent => now.since(t.sent_at) >= self.options.resend_after,
            TrackedState::Accepted => now.since(t.sent_at) >= self.options.max_order_delay,
            _ => false,
        };
        let ids: Vec<u64> = self
            .orders
            .values()
            .filter(due)
            .map(|t| t.order.id)
            .collect();
        ids.into_iter().map(|id| self.send(now, id)).collect()
    }

    /// Returns what became of orders since the last call.
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
        self.orders
            .values()
            .any(|t| t.order.kind == super::Kind::Unload && t.is_open() && t.order.item.id == *id)
    }

    fn has_adapter(&self, model: &super::Id) -> bool {
        let resident = self.latest.iter().flat_map(|report| &report.entries);
        let ordered = self.orders.values().filter(|t| t.is_counted());
        resident
            .map(|e| &e.item)
            .chain(ordered.map(|t| &t.order.item))
            .any(|i| i.id.is_adapter_of(model))
    }

    fn create(
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

    fn send(&mut self, now: clock::Instant, id: u64) -> super::Order {
        let tracked = self.orders.get_mut(&id).expect("a tracked order");
        tracked.sent_at = now;
        tracked.barrier = barrier::Barrier::new(now + self.options.max_order_delay);
        tracked.state = TrackedState::Sent;
        tracked.order.fencing = self.fencing;
        let change = super::Change::of(&tracked.order, super::Transition::Resent);
        self.changes.push(change);
        tracked.order.clone()
    }

    fn claim(&mut self, now: clock::Instant) -> Option<super::Order> {
        let reported = self.latest.as_ref()?.fencing;
        let fence = |t: &&Tracked| t.order.kind == super::Kind::Fence && t.is_open();
        let open = self
            .orders
            .values()
            .find(fence)
            .map(|t| (t.order.id, t.sent_at));
        if let Some((id, sent_at)) = open {
            let is_due = now.since(sent_at) >= self.options.resend_after;
            return is_due.then(|| self.send(now, id));
        }
        let is_early = |at| now.since(at) < self.options.resend_after;
        if self.claimed_at.is_some_and(is_early) {
            return None;
        }
        self.claimed_at = Some(now);
        self.fencing = self.incarnation.max(reported + 1).max(self.fencing + 1);
        Some(self.create(now, super::Kind::Fence, fence_item()))
    }

    fn claim_again(&mut self) {
        if self.mode == resource::Fencing::Checked {
            self.phase = Phase::Claiming;
        }
        self.orders
            .retain(|_, t| t.order.kind != super::Kind::Fence);
    }

    /// Resident entries end with the incarnation. The new one does not know the identifiers of earlier orders, so a
    /// copy of any of them that arrives late is applied.
    fn restart(&mut self, report: &super::Report) {
        self.orders.retain(|_, t| match t.order.kind {
            super::Kind::Load => true,
            super::Kind::Unload => t.is_open() && report.entry(&t.order.item.id).is_some(),
            super::Kind::Fence => true,
        });
        for tracked in self.orders.values_mut() {
            match tracked.order.kind {
                super::Kind::Load if tracked.state != TrackedState::Rejected => {
                    tracked.state = TrackedState::Held;
                }
                super::Kind::Unload => tracked.state = TrackedState::Sent,
                _ => {}
            }
        }
        self.claim_again();
    }

    fn advance(&mut self, now: clock::Instant, report: &super::Report) {
        match &mut self.phase {
            Phase::Settling(barrier) => {
                if barrier.passes(now, report, self.options.report_lag) {
                    self.phase = Phase::Ready;
                }
            }
            Phase::Claiming => self.confirm(report),
            Phase::Ready => {}
        }
    }

    /// A report that lists the claiming order was taken after the engine began to refuse older numbers, so loads with
    /// an older number are in it or can no longer land in this incarnation.
    fn confirm(&mut self, report: &super::Report) {
        let fence = self
            .orders
            .values()
            .find(|t| t.order.kind == super::Kind::Fence && report.progress(t.order.id).is_some());
        let Some(tracked) = fence else {
            return;
        };
        let fencing = tracked.order.fencing;
        let change = super::Change::of(&tracked.order, super::Transition::Landed);
        self.changes.push(change);
        self.orders
            .retain(|_, t| t.order.kind != super::Kind::Fence);
        if report.fencing > fencing {
            return;
        }
        for tracked in self.orders.values_mut() {
            if tracked.order.kind == super::Kind::Load && tracked.order.fencing < fencing {
                tracked.state = TrackedState::Settled;
            }
        }
        self.phase = Phase::Ready;
    }

    fn settle(&mut self, now: clock::Instant, report: &super::Report) {
        let lag = self.options.report_lag;
        let changes = &mut self.changes;
        let mut note = |t: &Tracked, state| changes.push(super::Change::of(&t.order, state));
        self.orders.retain(|_, t| {
            let is_resident = report.entry(&t.order.item.id).is_some();
            match t.order.kind {
                super::Kind::Fence => return true,
                super::Kind::Unload if is_resident => return true,
                super::Kind::Unload => {
                    note(t, super::Transition::Landed);
                    return false;
                }
                super::Kind::Load => {}
            }
            let is_noted = matches!(t.state, TrackedState::Rejected | TrackedState::Settled);
            if !is_noted {
                t.state = load_state(t, report);
                match report.progress(t.order.id) {
                    Some(super::Progress::Done) => note(t, super::Transition::Landed),
                    Some(super::Progress::Failed) => note(t, super::Transition::Rejected),
                    _ => {}
                }
            }
            let is_kept = t.is_open() || !t.barrier.passes(now, report, lag);
            if !is_kept && t.state == TrackedState::Held {
                note(t, super::Transition::Expired);
            }
            is_kept
        });
    }
}

fn load_state(tracked: &Tracked, report: &super::Report) -> TrackedState {
    let is_ready = |e: &super::Entry| e.state == super::State::Ready;
    let entry = report.entry(&tracked.order.item.id);
    match report.progress(tracked.order.id) {
        Some(super::Progress::Done | super::Progress::Failed) => TrackedState::Settled,
        Some(super::Progress::Running) => TrackedState::Accepted,
        // The item was loaded by another order; this one may still land.
        None if entry.is_some_and(is_ready) => TrackedState::Held,
        None => tracked.state,
    }
}

fn fence_item() -> super::Item {
    let name = name::Name::parse("fence").expect("a valid name");
    super::Item::new(super::Id::model(name.clone(), name), 0)
}
