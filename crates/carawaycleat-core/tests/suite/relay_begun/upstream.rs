//! Upstreams that follow a script.

use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::relay;

use crate::relay_fake;

/// How an upstream treats the requests that it gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Behavior {
    /// Streams the events.
    Sound,
    /// Accepts requests, and is silent for this time after the first one.
    Slow(time::Duration),
    /// As [`Self::Slow`], and its entry is removed at the first one.
    Unregistered(time::Duration),
    /// Accepts no connection, which the host gives up after this time.
    Unaccepting(time::Duration),
    /// Refuses connections.
    Refusing,
    /// Responds with this status, and says whether it ran the request.
    Responding { status: u16, not_run: bool },
    /// Says that it leaves and runs no request.
    Leaving,
    /// Closes the connection before the response.
    Closing,
}

/// What the host sees of an attempt next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Reply {
    Head,
    Event,
    Response { status: u16, not_run: bool },
    Failure(relay::Failure),
}

/// The interval of ticks, and of what sound upstreams send.
pub(super) const INTERVAL: time::Duration = time::Duration::from_millis(25);
/// The time after which the host gives up a connection that is not accepted.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(350);

/// An upstream.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) id: &'static str,
    /// How it treats requests until the given time, if any. Later it is sound.
    pub(super) behavior: (Behavior, Option<clock::Instant>),
    /// When it sends nothing, and accepts no connections unless it is [`Behavior::Slow`].
    pub(super) silence: Option<(clock::Instant, clock::Instant)>,
    /// When the attempts in progress break off.
    pub(super) breaks_at: Option<clock::Instant>,
    /// The time between the acceptance of a request and the response.
    pub(super) response_time: time::Duration,
    /// The time between two events.
    pub(super) gap: time::Duration,
}

impl Behavior {
    /// Returns whether requests are accepted and then rejected or fail.
    pub(super) const fn accepts_and_fails(self) -> bool {
        matches!(
            self,
            Self::Responding { .. } | Self::Leaving | Self::Closing
        )
    }
}

impl Upstream {
    pub(super) fn new(id: &'static str, behavior: Behavior) -> Self {
        Self {
            id,
            behavior: (behavior, None),
            silence: None,
            breaks_at: None,
            response_time: INTERVAL,
            gap: INTERVAL,
        }
    }

    pub(super) fn behavior(&self, now: clock::Instant) -> Behavior {
        match self.behavior {
            (_, Some(until)) if now >= until => Behavior::Sound,
            (behavior, _) => behavior,
        }
    }

    /// Returns when something that is due at `due` leaves.
    pub(super) fn after_silence(&self, due: clock::Instant) -> clock::Instant {
        match self.silence {
            Some((start, end)) if due >= start && due < end => end,
            _ => due,
        }
    }

    /// Returns the result of a probe.
    pub(super) fn probe(&self, now: clock::Instant) -> relay::Probe {
        match self.behavior(now) {
            Behavior::Refusing => relay::Probe::Gone,
            _ if self.after_silence(now) > now => relay::Probe::Silent,
            _ => relay::Probe::Alive,
        }
    }

    /// Returns when a request sent at `now` is accepted, if it is, and what follows at which time.
    pub(super) fn accept(
        &mut self,
        now: clock::Instant,
    ) -> (Option<clock::Instant>, Reply, clock::Instant) {
        let failure = |failure, after| (None, Reply::Failure(failure), now + after);
        let behavior = self.behavior(now);
        match behavior {
            Behavior::Unaccepting(timeout) => {
                return failure(relay::Failure::Unconnected, timeout);
            }
            Behavior::Refusing => return failure(relay::Failure::Refused, INTERVAL),
            Behavior::Slow(length) | Behavior::Unregistered(length) => {
                self.silence.get_or_insert((now, now + length));
                return (Some(now), Reply::Head, now + INTERVAL);
            }
            _ => {}
        }
        let accepted = self.after_silence(now);
        if accepted >= now + CONNECT_TIMEOUT {
            return failure(relay::Failure::Unconnected, CONNECT_TIMEOUT);
        }
        let reply = match behavior {
            Behavior::Responding { status, not_run } => Reply::Response { status, not_run },
            Behavior::Leaving => Reply::Response {
                status: 503,
                not_run: true,
            },
            Behavior::Closing => Reply::Failure(relay::Failure::BrokenOff),
            _ => Reply::Head,
        };
        (Some(accepted), reply, accepted + self.response_time)
    }
}

/// An attempt as its upstream sees it.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) number: u32,
    /// The index of the upstream.
    pub(super) upstream: usize,
    pub(super) sent: clock::Instant,
    /// When the upstream accepts the request; none if it does not.
    pub(super) accepted: Option<clock::Instant>,
    /// Whether its departure has yet to be reported, as it was sent beside another one.
    pub(super) reports_departure: bool,
    /// The time for which the host had run when the request reached the upstream.
    pub(super) left: Option<time::Duration>,
    /// What follows, and when.
    pub(super) next: (Reply, clock::Instant),
    pub(super) next_event: u64,
    /// Whether the connection is open.
    pub(super) is_open: bool,
    pub(super) is_rejected: bool,
    pub(super) has_failed: bool,
}

impl Attempt {
    /// Returns whether it may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.left.is_some() && !self.is_rejected
    }
}

/// Returns the registration of an upstream that holds the model.
pub(super) fn registration(id: &str) -> relay::Registration {
    relay_fake::registration(id, "models", &["small"])
}
