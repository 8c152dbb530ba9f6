use std::time;

use crate::clock;

/// The part of the lease, counted from its last renewal, in which orders are sent. The next coordinator waits the less
/// after its election, the sooner this one stops.
const ORDER_PART: f64 = 0.5;
/// The time since the last renewal for which a coordinator goes on without its lease. When the store is away, nobody can
/// take its place, and the hosts that know no other coordinator still need its view.
const ACTING_TIME: time::Duration = time::Duration::from_secs(10);

/// The time for which this host is the coordinator.
///
/// The lease is counted from before the call that granted or renewed it was sent. Orders are sent while it lasts. Views
/// and shares are given beyond its end, until another coordinator is known: each host listens to one coordinator, and a
/// coordinator divides only what the hosts that it hears may use.
///
/// # Examples
///
/// ```
/// use std::time;
///
/// use carawaycleat_core::clock;
/// use carawaycleat_core::coordinator;
///
/// let millis = clock::Instant::from_millis;
/// let mut term = coordinator::Term::new(time::Duration::from_secs(3));
/// term.begin(millis(0), 7, millis(1_000));
/// assert!(!term.may_order(millis(900)));
/// assert!(term.may_order(millis(1_400)));
/// assert!(!term.may_order(millis(1_600)));
/// assert_eq!(term.epoch(millis(4_000)), Some(7));
/// ```
#[derive(Clone, Debug)]
pub struct Term {
    lease: time::Duration,
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    /// When the call that granted or renewed the lease was sent.
    sent: clock::Instant,
    epoch: u64,
    /// When the first order may be sent.
    orders: clock::Instant,
}

impl Term {
    /// Returns the term of a host that is not the coordinator.
    #[must_use]
    pub const fn new(lease: time::Duration) -> Self {
        Self { lease, held: None }
    }

    /// Notes that the lease was granted by a call sent at `sent`, with the fencing token `epoch`. The first order may be
    /// sent at `orders`.
    pub fn begin(&mut self, sent: clock::Instant, epoch: u64, orders: clock::Instant) {
        self.held = Some(Held {
            sent,
            epoch,
            orders,
        });
    }

    /// Notes that the lease was renewed by a call sent at `sent`, unless it was given up meanwhile.
    pub fn renew(&mut self, sent: clock::Instant) {
        if let Some(held) = &mut self.held {
            held.sent = sent;
        }
    }

    /// Notes that the term is over.
    pub fn end(&mut self) {
        self.held = None;
    }

    /// Returns the fencing token while this host is the coordinator.
    #[must_use]
    pub fn epoch(&self, now: clock::Instant) -> Option<u64> {
        let held = self.held?;
        (now.since(held.sent) < ACTING_TIME).then_some(held.epoch)
    }

    /// Returns whether this host may send orders.
    #[must_use]
    pub fn may_order(&self, now: clock::Instant) -> bool {
        self.held.is_some_and(|held| {
            now >= held.orders && now.since(held.sent) < self.lease.mul_f64(ORDER_PART)
        })
    }

    /// Returns the time from the end of a predecessor's lease of this length until its last order is `gap` ago.
    #[must_use]
    pub fn order_delay(lease: time::Duration, gap: time::Duration) -> time::Duration {
        gap.saturating_sub(lease.mul_f64(1.0 - ORDER_PART))
    }
}
