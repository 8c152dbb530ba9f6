use std::time;

use crate::clock;
use crate::name;

/// A time during which a host took no new connections.
#[derive(Clone, Debug)]
pub(super) struct Absence {
    /// The host.
    pub(super) host: name::Name,
    /// The earliest time at which it may have left; the origin of the clock when it was not known before.
    pub(super) from: clock::Instant,
    /// When it registered; none while it is away.
    pub(super) until: Option<clock::Instant>,
}

impl Absence {
    /// Returns whether a connection accepted at `accepted` may have been meant for the host, which takes connections
    /// `take_up_time` after its registration.
    pub(super) fn covers(&self, accepted: clock::Instant, take_up_time: time::Duration) -> bool {
        let is_over = |until| accepted >= until + take_up_time;
        self.from <= accepted && !self.until.is_some_and(is_over)
    }

    /// Returns the latest time that is known of it.
    pub(super) fn last(&self) -> clock::Instant {
        self.until.unwrap_or(self.from)
    }
}
