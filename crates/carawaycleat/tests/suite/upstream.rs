use carawaycleat::upstream;
use carawaycleat_core::outcome;
use carawaycleat_net as net;

/// Guards against a connect timeout, or a process without descriptors, that counts as a fault of the upstream.
#[yare::parameterized(
    sent = { net::Cause::Sent, outcome::Reason::UpstreamFailed },
    refused = { net::Cause::Refused, outcome::Reason::UpstreamFailed },
    unconnected = { net::Cause::Unconnected, outcome::Reason::UpstreamTimeout },
    local = { net::Cause::Local, outcome::Reason::NoUpstream },
)]
fn failure_has_the_reason_of_its_cause(cause: net::Cause, expected: outcome::Reason) {
    assert_eq!(upstream::reason(cause), expected);
}
