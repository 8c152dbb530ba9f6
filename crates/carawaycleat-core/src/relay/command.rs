use std::net;
use std::time;

use crate::clock;
use crate::name;

/// A command to the task that serves a request.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send the request to an upstream, beside the attempt in progress if [`Dispatch::keeps_previous`] is set, or in place
    /// of it.
    Send(Box<Dispatch>),
    /// End the attempt with this number; the other one goes on.
    End(u32),
    /// Pass the upstream's response on to the caller.
    Deliver,
    /// Respond with a refusal, or cut the response if a part of it has been passed on.
    Refuse(super::Refusal),
}

/// An attempt to run a request at an upstream.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The number of the attempt, counted from 1.
    pub attempt: u32,
    /// The upstream.
    pub upstream: name::Name,
    /// The start of its process, as in [`super::Registration::started`].
    pub started: u64,
    /// Whether an earlier attempt was sent to it. A connection that carried that attempt is not used again, because a
    /// second copy of the response there looks like the response to this one.
    pub was_tried: bool,
    /// Its address.
    pub address: net::SocketAddr,
    /// The workspace that the request runs for.
    pub workspace: Option<name::Name>,
    /// The priority at the upstream; 0 is the most urgent, 9 the least.
    pub priority: u8,
    /// The time that the upstream has for the request from [`Self::decided`] on.
    pub remaining: time::Duration,
    /// When the attempt was decided on.
    pub decided: clock::Instant,
    /// The end of the time in which it may leave; none for any time. Later the request is not sent, as one that this host
    /// could not send.
    pub latest_departure: Option<clock::Instant>,
    /// The time limit for the head of the response.
    pub response_timeout: time::Duration,
    /// Whether the attempt in progress goes on beside this one.
    pub keeps_previous: bool,
    /// Whether the request may run again. Then it may use a connection that the upstream may have closed meanwhile.
    pub repeatable: bool,
    /// The identifier of the last event that the caller has received; none when the stream starts from its beginning.
    pub last_event: Option<u64>,
}
