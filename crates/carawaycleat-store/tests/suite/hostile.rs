//! Damaged responses of the store.

use std::cell;
use std::sync;
use std::time;

use carawaycleat_store as store;
use futures_lite::future;
use proptest::prelude::*;
use proptest::strategy::ValueTree as _;
use proptest::test_runner;

use crate::fake;

const CASES: usize = 100_000;

/// Tokens that are significant in a response.
const TOKENS: &[&str] = &[
    "\"",
    "[",
    "]",
    "{",
    "}",
    ":",
    ",",
    "-1",
    "0",
    "1e400",
    "\"18446744073709551616\"",
    "null",
    "\"9\"",
    "\"/w==\"",
];

/// Applies edits to valid text. An edit is a position, the number of bytes to remove there and the bytes to insert.
fn damage(valid: &[u8], edits: &[(usize, usize, Vec<u8>)]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for (at, removed, added) in edits {
        let at = at % (bytes.len() + 1);
        let end = (at + removed).min(bytes.len());
        bytes.splice(at..end, added.iter().copied());
    }
    bytes
}

fn hostile(valid: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let added = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..4),
        prop::sample::select(TOKENS).prop_map(|token| token.as_bytes().to_vec()),
    ];
    let edits = prop::collection::vec((any::<usize>(), 0_usize..6, added), 0..4);
    let damaged = edits.prop_map(move |edits| damage(&valid, &edits));
    prop_oneof![4 => damaged, 1 => prop::collection::vec(any::<u8>(), 0..80)]
}

/// Generates the test cases, which are the same in every run.
fn cases(valid: &[u8]) -> Vec<Vec<u8>> {
    let config = test_runner::Config {
        rng_seed: test_runner::RngSeed::Fixed(7),
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    let strategy = hostile(valid.to_vec());
    let case = |_| strategy.new_tree(&mut runner).expect("a case").current();
    (0..CASES).map(case).collect()
}

fn check_pairs(pairs: &[store::Pair], bytes: usize) {
    let length: usize = pairs.iter().map(|p| p.key.len() + p.value.len()).sum();
    assert!(length <= bytes);
}

/// Returns each case as the response to a call, and requires that some cases are accepted and some are refused.
fn run<T>(
    valid: &[u8],
    call: impl AsyncFn(&store::Client) -> store::Result<T>,
    check: impl Fn(T, &[u8]),
) {
    let cases = sync::Arc::new(cases(valid));
    let served = cases.clone();
    let fake = fake::start(move |number| fake::Behavior::Respond(200, served[number].clone()));
    let client = fake::client(&[fake.address]);
    let accepted = cell::Cell::new(0);
    for case in cases.iter() {
        match future::block_on(call(&client)) {
            Ok(found) => {
                accepted.set(accepted.get() + 1);
                check(found, case);
            }
            Err(error) => {
                assert!(!error.to_string().is_empty());
                let is_definite = matches!(
                    error,
                    store::Error::Refused(..) | store::Error::LeaseNotFound
                );
                assert!(is_definite || error.may_have_run(), "{error}");
            }
        }
    }
    println!("hostile: {CASES} cases, {} accepted", accepted.get());
    assert!((1..CASES).contains(&accepted.get()));
}

/// Guards against a damaged listing that crashes the process, or that yields more data than was received.
#[test]
fn damaged_listings_are_refused() {
    let valid = br#"{"header":{"revision":"7"},"kvs":[{"key":"L2E=","value":"MQ==","create_revision":"2","mod_revision":"3","lease":"-4"}]}"#;
    run(
        valid,
        async |client| client.list("/").await,
        |listing, case| check_pairs(&listing.pairs, case.len()),
    );
}

/// Guards against a damaged response to a write that crashes the process or is reported as not run.
#[test]
fn damaged_responses_to_writes_are_refused() {
    let valid = br#"{"header":{"revision":"7"},"succeeded":false,"responses":[{"response_range":{"kvs":[{"key":"L2E=","value":"MQ==","mod_revision":"3"}]}}]}"#;
    let write = fake::write();
    run(
        valid,
        async |client| client.commit(&write).await,
        |response, case| check_pairs(&response.found, case.len()),
    );
}

/// Guards against a damaged line of a watch that crashes the process or hides the lines after it.
#[test]
fn damaged_lines_of_a_watch_are_refused() {
    let valid = br#"{"result":{"header":{"revision":"7"},"events":[{"kv":{"key":"L2E=","value":"MQ==","mod_revision":"7"}},{"type":"DELETE","kv":{"key":"L2I=","mod_revision":"7"}}]}}"#;
    let mut lines = cases(valid);
    for line in &mut lines {
        line.retain(|byte| *byte != b'\n');
    }
    lines.retain(|line| !line.trim_ascii().is_empty());
    let body = lines.join(&b'\n');
    let fake = fake::start(move |_| fake::Behavior::Respond(200, body.clone()));
    let client = fake::client(&[fake.address]);
    let mut watch = future::block_on(client.watch("/", 1)).expect("a watch");
    let (mut accepted, mut refused) = (0, 0);
    // The last line has no line feed, so the watch ends before it is complete.
    for line in &lines[..lines.len() - 1] {
        match future::block_on(watch.next(time::Duration::from_secs(10))) {
            Ok((_, changes)) => {
                accepted += 1;
                let length: usize = changes.iter().map(|change| change.key.len()).sum();
                assert!(length <= line.len());
            }
            Err(error) => {
                refused += 1;
                assert!(!error.to_string().is_empty());
            }
        }
    }
    println!("hostile: {} lines, {accepted} accepted", lines.len());
    assert!(accepted > 0 && refused > 0);
    let end = future::block_on(watch.next(time::Duration::from_secs(10)));
    assert!(end.is_err(), "an incomplete line is not a message");
}
