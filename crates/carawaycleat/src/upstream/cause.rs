use carawaycleat_core::outcome;
use carawaycleat_net as net;

/// Returns the reason of an attempt that got no response.
///
/// Only a failure that says something about the upstream is [`outcome::Reason::UpstreamFailed`]. A connection that is not
/// accepted in time may be one to a busy upstream, and one that this process cannot open says nothing about it.
#[must_use]
pub const fn reason(cause: net::Cause) -> outcome::Reason {
    match cause {
        net::Cause::Sent | net::Cause::Refused => outcome::Reason::UpstreamFailed,
        net::Cause::Unconnected => outcome::Reason::UpstreamTimeout,
        net::Cause::Local | net::Cause::Limited => outcome::Reason::NoUpstream,
    }
}
