use std::time;

use crate::clock;

/// The fraction of the lease, counted from its last renewal, in which orders are sent. The sooner a coordinator stops
/// sending orders, the shorter its successor waits after its election.
const ORDER_FRACTION: f64 = 0.5;
/// The time since the last renewal for which a coordinator stays active without its lease. While the store is
/// unreachable, no other host can be elected, and the hosts still need the view of the coordinator that they know.
const MAX_TERM_WITHOUT_RENEWAL: time::Duration = time::Duration::from_secs(10);

/// The time for which this host is the coordinator.
///
/// The lease is counted from before the call that granted or renewed it was sent. Orders are sent only in the first
/// part of the lease. Views and shares are sent beyond its end, until another coordinator is known: each host follows
/// one coordinator, and a coordinator divides only what the hosts that report to it may use.
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
    duration: time::Duration,
    lease: Option<Lease>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    /// When the call that granted or renewed the lease was sent.
    requested_at: clock::Instant,
    epoch: u64,
    /// When the first order may be sent.
    orders_from: clock::Instant,
    /// Whether orders wait until the store has a record of this host's term.
    is_suspended: bool,
}

impl Term {
    /// Returns the term of a host that is not the coordinator. The coordinator's lease has length `duration`.
    #[must_use]
    pub const fn new(duration: time::Duration) -> Self {
        Self {
            duration,
            lease: None,
        }
    }

    /// Records that the lease was granted by a call sent at `requested_at`, with the fencing token `epoch`. The first
    /// order may be sent at `orders_from`.
    pub fn begin(&mut self, requested_at: clock::Instant, epoch: u64, orders_from: clock::Instant) {
        self.lease = Some(Lease {
            requested_at,
            epoch,
            orders_from,
            is_suspended: false,
        });
    }

    /// Allows no order until [`permit_orders`](Self::permit_orders) is called.
    pub fn suspend_orders(&mut self) {
        if let Some(lease) = &mut self.lease {
            lease.is_suspended = true;
        }
    }

    /// Allows orders, once their time has come.
    pub fn permit_orders(&mut self) {
        if let Some(lease) = &mut self.lease {
            lease.is_suspended = false;
        }
    }

    /// Returns when the last order can have been sent, which may be later than now; none while this host is not the
    /// coordinator.
    #[must_use]
    pub fn orders_until(&self) -> Option<clock::Instant> {
        let lease = self.lease?;
        Some(lease.requested_at + self.duration.mul_f64(ORDER_FRACTION))
    }

    /// Records that the lease was renewed by a call sent at `requested_at`, unless the term has ended meanwhile.
    pub fn renew(&mut self, requested_at: clock::Instant) {
        if let Some(lease) = &mut self.lease {
            lease.requested_at = requested_at;
        }
    }

    /// Ends the term.
    pub fn end(&mut self) {
        self.lease = None;
    }

    /// Returns the fencing token while this host is the coordinator.
    #[must_use]
    pub fn epoch(&self, now: clock::Instant) -> Option<u64> {
        let lease = self.lease?;
        (now.since(lease.requested_at) < MAX_TERM_WITHOUT_RENEWAL).then_some(lease.epoch)
    }

    /// Returns whether this host may send orders.
    #[must_use]
    pub fn may_order(&self, now: clock::Instant) -> bool {
        self.lease.is_some_and(|lease| {
            now >= lease.orders_from
                && !lease.is_suspended
                && now.since(lease.requested_at) < self.duration.mul_f64(ORDER_FRACTION)
        })
    }

    /// Returns how long a new coordinator waits, after a predecessor's lease of length `lease` has expired, until the
    /// predecessor's last order is `gap` ago.
    #[must_use]
    pub fn order_delay(lease: time::Duration, gap: time::Duration) -> time::Duration {
        gap.saturating_sub(lease.mul_f64(1.0 - ORDER_FRACTION))
    }
}
