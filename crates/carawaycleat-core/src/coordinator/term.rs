use std::time;

use crate::clock;

/// The time for which this host is the coordinator.
///
/// The lease is counted from before the call that granted or renewed it was sent. Orders stop `margin` before its
/// end: the next coordinator may begin as soon as the lease ends, and engines that do not check fencing tokens must
/// not get orders of two coordinators close together.
///
/// # Examples
///
/// ```
/// use std::time;
///
/// use carawaycleat_core::clock;
/// use carawaycleat_core::coordinator;
///
/// let second = time::Duration::from_secs(1);
/// let mut term = coordinator::Term::new(8 * second, 3 * second);
/// term.renew(clock::Instant::from_millis(0), 7);
/// assert!(term.may_order(clock::Instant::from_millis(4_900)));
/// assert!(!term.may_order(clock::Instant::from_millis(5_100)));
/// ```
#[derive(Clone, Debug)]
pub struct Term {
    lease: time::Duration,
    margin: time::Duration,
    held: Option<(clock::Instant, u64)>,
}

impl Term {
    /// Returns the term of a host that is not the coordinator.
    #[must_use]
    pub const fn new(lease: time::Duration, margin: time::Duration) -> Self {
        Self {
            lease,
            margin,
            held: None,
        }
    }

    /// Notes that the lease was granted or renewed by a call sent at `sent`, with the fencing token `epoch`.
    pub fn renew(&mut self, sent: clock::Instant, epoch: u64) {
        self.held = Some((sent, epoch));
    }

    /// Notes that the lease is over.
    pub fn end(&mut self) {
        self.held = None;
    }

    /// Returns the fencing token while this host is the coordinator.
    #[must_use]
    pub fn epoch(&self, now: clock::Instant) -> Option<u64> {
        let (sent, epoch) = self.held?;
        (now.since(sent) < self.lease).then_some(epoch)
    }

    /// Returns whether this host may send orders.
    #[must_use]
    pub fn may_order(&self, now: clock::Instant) -> bool {
        self.held
            .is_some_and(|(sent, _)| now.since(sent) + self.margin < self.lease)
    }
}
