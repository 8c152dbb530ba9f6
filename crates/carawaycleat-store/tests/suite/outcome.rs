//! Errors say correctly whether a write may have run, and calls fail over between endpoints accordingly.

use std::sync::atomic;
use std::time;

use carawaycleat_net as net;
use carawaycleat_store as store;
use futures_lite::future;

use crate::fake;

const DONE: &[u8] = br#"{"header":{"revision":"7"},"succeeded":true}"#;

fn body(status: u16, text: &[u8]) -> fake::Behavior {
    fake::Behavior::Respond(status, text.to_vec())
}

/// Guards against a write that took effect but is reported as not run, and against a refused write that is reported as
/// possibly run and blocks a request.
#[yare::parameterized(
    silent = { fake::Behavior::Hang, true },
    disconnected = { fake::Behavior::Disconnect, true },
    truncated = { body(200, br#"{"header":{"revision":"7"},"succ"#), true },
    empty = { body(200, b""), true },
    wrong_type = { body(200, br#"{"succeeded":"perhaps"}"#), true },
    proxy_failed = { body(502, b"bad gateway"), true },
    unavailable = { body(503, br#"{"message":"no leader"}"#), true },
    refused = { body(400, br#"{"message":"duplicate key"}"#), false },
    unknown_path = { body(404, b""), false },
)]
fn an_error_says_whether_a_write_may_have_run(behavior: fake::Behavior, may_have_run: bool) {
    let fake = fake::start(move |_| behavior.clone());
    let client = fake::client(&[fake.address]);
    let error = future::block_on(client.commit(&fake::write())).expect_err("no success");
    assert_eq!(fake.calls.load(atomic::Ordering::Relaxed), 1, "sent once");
    assert_eq!(error.may_have_run(), may_have_run, "{error}");
}

/// Guards against an empty response that is reported as a transaction whose conditions did not hold.
#[test]
fn a_response_without_a_header_is_refused() {
    let fake = fake::start(|_| body(200, b"{}"));
    let client = fake::client(&[fake.address]);
    let found = future::block_on(client.commit(&fake::write()));
    let error = found.expect_err("a response without a revision");
    assert!(error.may_have_run(), "{error}");
    let found = future::block_on(client.list("/"));
    found.expect_err("a listing without a revision");
}

/// Guards against accepting a lease without an identifier: keys bound to it would never expire.
#[test]
fn a_lease_without_an_identifier_is_refused() {
    let fake = fake::start(|_| body(200, b"{}"));
    let client = fake::client(&[fake.address]);
    let found = future::block_on(client.grant(fake::TIMEOUT));
    found.expect_err("a lease without an identifier");
}

/// Guards against an unreachable store that makes the outcome of every request unknown.
#[test]
fn a_write_that_was_never_sent_has_not_run() {
    let client = fake::client(&[fake::closed()]);
    let error = future::block_on(client.commit(&fake::write())).expect_err("no store");
    assert!(!error.may_have_run(), "{error}");
}

/// Guards against a write that is sent to a second endpoint although the first may have applied it.
#[test]
fn a_write_fails_over_only_if_it_was_never_sent() {
    let second = fake::start(|_| body(200, DONE));
    let client = fake::client(&[fake::closed(), second.address]);
    let response = future::block_on(client.commit(&fake::write())).expect("the second endpoint");
    assert_eq!((response.succeeded, response.revision), (true, 7));

    let hung = fake::start(|_| fake::Behavior::Hang);
    let second = fake::start(|_| body(200, DONE));
    let client = fake::client(&[hung.address, second.address]);
    let error = future::block_on(client.commit(&fake::write())).expect_err("no response");
    assert!(error.may_have_run(), "{error}");
    assert_eq!(second.calls.load(atomic::Ordering::Relaxed), 0);
    // The next call starts with the other endpoint.
    let response = future::block_on(client.commit(&fake::write())).expect("the second endpoint");
    assert!(response.succeeded);
}

/// Guards against a read that fails although another endpoint responds.
#[test]
fn a_read_fails_over() {
    let hung = fake::start(|_| fake::Behavior::Hang);
    let second = fake::start(|_| body(200, br#"{"header":{"revision":"9"}}"#));
    let client = fake::client(&[hung.address, second.address]);
    let listing = future::block_on(client.list("/")).expect("the second endpoint");
    let expected = store::Listing {
        revision: 9,
        pairs: Vec::new(),
    };
    assert_eq!(listing, expected);
}

/// Guards against a large listing that fails whenever its transfer takes longer than a call may.
#[test]
fn a_large_listing_on_a_slow_link_is_read() {
    let timeout = time::Duration::from_secs(1);
    let value = "YWFh".repeat(500_000);
    let pair = format!(r#"{{"key":"YQ==","value":"{value}","mod_revision":"7","version":"1"}}"#);
    let listing = format!(r#"{{"header":{{"revision":"7"}},"kvs":[{pair}]}}"#);
    let fake = fake::start(move |_| fake::Behavior::Slow(listing.clone().into_bytes()));
    let client = store::Client::new(net::Pool::default(), &[fake.address], timeout);
    let found = future::block_on(client.list("/")).expect("a listing");
    assert_eq!(found.pairs[0].value.len(), 1_500_000);
}
