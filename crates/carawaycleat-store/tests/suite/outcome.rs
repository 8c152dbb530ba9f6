//! Whether an error says correctly that a write may have run.

use std::sync::atomic;

use carawaycleat_store as store;
use futures_lite::future;

use crate::fake;

const DONE: &[u8] = br#"{"header":{"revision":"7"},"succeeded":true}"#;

fn body(status: u16, text: &[u8]) -> fake::Answer {
    fake::Answer::Body(status, text.to_vec())
}

/// Guards against a write that took effect and is called not run, and against one that never left and blocks a request.
#[yare::parameterized(
    silent = { fake::Answer::Hang, true },
    cut = { fake::Answer::Cut, true },
    short = { body(200, br#"{"header":{"revision":"7"},"succ"#), true },
    empty = { body(200, b""), true },
    other = { body(200, br#"{"succeeded":"perhaps"}"#), true },
    proxy_failed = { body(502, b"bad gateway"), true },
    unavailable = { body(503, br#"{"message":"no leader"}"#), true },
    refused = { body(400, br#"{"message":"duplicate key"}"#), false },
    unknown_path = { body(404, b""), false },
)]
fn an_error_says_whether_a_write_may_have_run(answer: fake::Answer, may_have_run: bool) {
    let fake = fake::start(move |_| answer.clone());
    let client = fake::client(&[fake.address]);
    let error = future::block_on(client.commit(&fake::write())).expect_err("no success");
    assert_eq!(fake.calls.load(atomic::Ordering::Relaxed), 1, "sent once");
    assert_eq!(error.may_have_run(), may_have_run, "{error}");
}

/// Guards against an answer without a verdict that passes as one: the client must not report a refused comparison.
#[test]
fn an_answer_without_a_header_is_no_answer() {
    let fake = fake::start(|_| body(200, b"{}"));
    let client = fake::client(&[fake.address]);
    let found = future::block_on(client.commit(&fake::write()));
    let error = found.expect_err("an answer without a revision");
    assert!(error.may_have_run(), "{error}");
    let found = future::block_on(client.list("/"));
    found.expect_err("a listing without a revision");
}

/// Guards against a lease that does not exist, with which keys would stay for good.
#[test]
fn a_lease_without_an_identifier_is_no_lease() {
    let fake = fake::start(|_| body(200, b"{}"));
    let client = fake::client(&[fake.address]);
    let found = future::block_on(client.grant(fake::TIMEOUT));
    found.expect_err("a lease without an identifier");
}

/// Guards against a store that is not there making every request's outcome unknown.
#[test]
fn a_write_that_never_left_has_not_run() {
    let client = fake::client(&[fake::closed()]);
    let error = future::block_on(client.commit(&fake::write())).expect_err("no store");
    assert!(!error.may_have_run(), "{error}");
}

/// Guards against a write that is sent to a second endpoint although the first may have performed it.
#[test]
fn a_write_moves_on_only_when_it_never_left() {
    let second = fake::start(|_| body(200, DONE));
    let client = fake::client(&[fake::closed(), second.address]);
    let answer = future::block_on(client.commit(&fake::write())).expect("the second endpoint");
    assert_eq!((answer.succeeded, answer.revision), (true, 7));

    let hung = fake::start(|_| fake::Answer::Hang);
    let second = fake::start(|_| body(200, DONE));
    let client = fake::client(&[hung.address, second.address]);
    let error = future::block_on(client.commit(&fake::write())).expect_err("no answer");
    assert!(error.may_have_run(), "{error}");
    assert_eq!(second.calls.load(atomic::Ordering::Relaxed), 0);
    // The next call begins at the endpoint that may answer.
    let answer = future::block_on(client.commit(&fake::write())).expect("the second endpoint");
    assert!(answer.succeeded);
}

/// Guards against a read that fails although another endpoint answers.
#[test]
fn a_read_moves_on() {
    let hung = fake::start(|_| fake::Answer::Hang);
    let second = fake::start(|_| body(200, br#"{"header":{"revision":"9"}}"#));
    let client = fake::client(&[hung.address, second.address]);
    let listing = future::block_on(client.list("/")).expect("the second endpoint");
    let expected = store::Listing {
        revision: 9,
        pairs: Vec::new(),
    };
    assert_eq!(listing, expected);
}
