use std::net;
use std::time;

use crate::name;

/// What the task of a request is to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send the request to an upstream, in place of the attempt in progress.
    Send(Box<Dispatch>),
    /// Pass the upstream's answer on.
    Deliver,
    /// Answer with a refusal, or cut the answer if a part of it has been delivered.
    Refuse(super::Refusal),
}

/// An attempt at a request.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The number of the attempt, counted from 1.
    pub attempt: u32,
    /// The upstream.
    pub upstream: name::Name,
    /// Its address.
    pub address: net::SocketAddr,
    /// The workspace that the request runs for.
    pub workspace: Option<name::Name>,
    /// The rank at the upstream; 0 is the most urgent.
    pub priority: u8,
    /// The time that is left for the request.
    pub remaining: time::Duration,
    /// The longest time to wait for the head of the answer.
    pub response_timeout: time::Duration,
    /// Whether the request may run again, so that a connection that the upstream may have closed can be used.
    pub repeatable: bool,
    /// The last event that the caller has received; none when the stream begins.
    pub last_event: Option<u64>,
}
