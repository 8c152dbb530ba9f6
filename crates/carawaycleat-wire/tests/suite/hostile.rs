//! Damaged messages and frames.

use carawaycleat_core::clock;
use carawaycleat_core::name;
use carawaycleat_core::outcome;
use carawaycleat_wire as wire;
use proptest::prelude::*;
use proptest::test_runner;

const CASES: u32 = 100_000;

/// The maximum length of a decoded message that is encoded again, as a multiple of the received bytes. A larger result
/// would mean that a declared length creates content.
const MAX_GROWTH: usize = 64;

fn name(text: &str) -> name::Name {
    name::Name::parse(text).expect("a valid name")
}

fn stamp() -> clock::Stamp {
    clock::Hybrid::new(name("e1")).tick(7)
}

/// A random modification of a valid encoding.
#[derive(Clone, Debug)]
enum Damage {
    Byte(usize, u8),
    Truncate(usize),
    Insert(usize, Vec<u8>),
    Remove(usize, usize),
}

fn damage() -> impl Strategy<Value = Damage> {
    prop_oneof![
        (any::<usize>(), any::<u8>()).prop_map(|(at, byte)| Damage::Byte(at, byte)),
        any::<usize>().prop_map(Damage::Truncate),
        (any::<usize>(), prop::collection::vec(any::<u8>(), 1..6))
            .prop_map(|(at, bytes)| Damage::Insert(at, bytes)),
        (any::<usize>(), 1_usize..6).prop_map(|(at, count)| Damage::Remove(at, count)),
    ]
}

fn apply(damage: &Damage, bytes: &mut Vec<u8>) {
    if bytes.is_empty() {
        return;
    }
    match damage {
        Damage::Byte(at, byte) => {
            let at = at % bytes.len();
            bytes[at] = *byte;
        }
        Damage::Truncate(at) => bytes.truncate(at % bytes.len()),
        Damage::Insert(at, added) => {
            let at = at % bytes.len();
            bytes.splice(at..at, added.iter().copied());
        }
        Damage::Remove(at, count) => {
            let at = at % bytes.len();
            bytes.drain(at..(at + count).min(bytes.len()));
        }
    }
}

/// Generates valid bytes with up to three modifications, or random bytes.
fn hostile(valid: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let damaged = prop::collection::vec(damage(), 0..4).prop_map(move |damages| {
        let mut bytes = valid.clone();
        damages.iter().for_each(|damage| apply(damage, &mut bytes));
        bytes
    });
    prop_oneof![4 => damaged, 1 => prop::collection::vec(any::<u8>(), 0..80)]
}

/// Runs `check` on each case, and requires that some cases are accepted and some are refused.
fn run(valid: Vec<u8>, check: impl Fn(&[u8]) -> bool) {
    let config = test_runner::Config {
        cases: CASES,
        rng_seed: test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let accepted = std::cell::Cell::new(0_u32);
    let mut runner = test_runner::TestRunner::new(config);
    let outcome = runner.run(&hostile(valid), |bytes| {
        accepted.set(accepted.get() + u32::from(check(&bytes)));
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("seed 7: {error}"));
    let accepted = accepted.get();
    println!("hostile: {CASES} cases, {accepted} accepted");
    assert!((1..CASES).contains(&accepted), "{accepted} accepted");
}

fn check_message<T>(message: &T)
where
    T: serde::Serialize + serde::de::DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let valid = wire::encode(message).expect("a valid message");
    run(valid, |bytes| match wire::decode::<T>(bytes) {
        Ok(found) => {
            let again = wire::encode(&found).expect("what was decoded can be encoded");
            assert!(again.len() <= 1_024 + bytes.len() * MAX_GROWTH);
            assert_eq!(wire::decode::<T>(&again).expect("its own encoding"), found);
            true
        }
        Err(error) => {
            assert!(!error.to_string().is_empty());
            false
        }
    });
}

fn job() -> wire::Job {
    wire::Job {
        id: wire::Id::from_u128(u128::MAX),
        request: wire::Id::from_u128(u128::MAX - 1),
        stamp: stamp(),
        host: name("e1"),
        incarnation: u64::MAX,
        sent_us: 1,
        workspace: Some(name("city")),
        model: Some(name("small")),
        adapter: None,
        priority: 2,
        idempotent: true,
        claim: Some("city/1".to_owned()),
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        headers: vec![("accept".to_owned(), "*/*".to_owned())],
        body: vec![0, 255],
        resume_at: 3,
        resume_text: "one".to_owned(),
        timeout_ms: 30_000,
    }
}

fn holding() -> wire::Holding {
    wire::Holding {
        model: name("small"),
        version: name("small-1"),
        adapter: Some(name("tone")),
        bytes: 7,
    }
}

fn report() -> wire::Report {
    wire::Report {
        stamp: stamp(),
        upstream: name("u1"),
        incarnation: 1,
        sequence: u64::MAX,
        leaving: false,
        reachable: true,
        resident: vec![wire::Residence {
            model: name("small"),
            version: name("small-1"),
            adapter: None,
            answered: true,
        }],
        account: wire::Account::default(),
        in_flight: 1,
        waiting: 2,
        capacity: 3,
        tokens: 4,
        plan_revision: 5,
    }
}

fn directive() -> wire::Directive {
    wire::Directive {
        stamp: stamp(),
        host: name("e1"),
        incarnation: 1,
        sent_us: u64::MAX,
        revision: 9,
        known: true,
        leaving: false,
        plan_revision: 8,
        holdings: vec![holding()],
        members: vec![wire::Member {
            host: name("e1"),
            peer_address: ([127, 0, 0, 1], 9_000).into(),
            availability_zone: name("a"),
            incarnation: 3,
            leaving: false,
        }],
    }
}

fn digest() -> wire::Digest {
    wire::Digest {
        stamp: stamp(),
        host: name("e1"),
        incarnation: 4,
        revision: 5,
        store_age_ms: Some(u64::MAX),
        leaving: true,
        offers: vec![wire::Offer {
            workspace: name("city"),
            tokens: 6,
        }],
        demand: vec![wire::Demand {
            model: name("small"),
            adapter: Some(name("a1")),
            tokens_per_second: 2.5,
            age_ms: 7,
        }],
    }
}

fn update() -> wire::Update {
    wire::Update {
        revision: 5,
        whole: true,
        pairs: vec![wire::Pair {
            key: "/carawaycleat/v1/roster/e1".to_owned(),
            value: Some(vec![1, 2].into()),
            revision: 4,
        }],
    }
}

/// Guards against a damaged message from a peer that crashes the process or uses unbounded memory.
#[test]
fn damaged_messages_are_refused_or_read_back() {
    check_message(&job());
    check_message(&wire::Cancel { id: job().id });
    check_message(&report());
    check_message(&directive());
    check_message(&digest());
    check_message(&wire::Fetch { since: 9 });
    check_message(&update());
    check_message(&wire::Borrow {
        host: name("e1"),
        workspace: name("city"),
        tokens: 10,
    });
    check_message(&wire::Transfer {
        id: wire::Id::from_u128(1),
        workspace: name("city"),
        tokens: 10,
    });
}

/// Guards against a damaged stream from a sidecar that crashes the process or of which a damaged frame is forwarded.
#[test]
fn damaged_frames_are_refused_or_read_back() {
    let mut valid = Vec::new();
    let parts = [
        wire::Part::Started { stamp: stamp() },
        wire::Part::Token {
            position: 0,
            text: "word".to_owned(),
        },
        wire::Part::Head {
            status: 200,
            headers: vec![("content-length".to_owned(), "2".to_owned())],
        },
        wire::Part::Body(vec![1, 2]),
        wire::Part::End { count: 2 },
        wire::Part::Fail {
            outcome: outcome::Outcome::Unknown,
            reason: outcome::Reason::UpstreamFailed,
            message: "broken".to_owned(),
        },
    ];
    for part in parts {
        let frame = wire::Frame::new(wire::Id::from_u128(7), part);
        wire::encode_frame(&frame, &mut valid).expect("a short frame");
    }
    run(valid, |bytes| {
        let mut decoder = wire::Decoder::default();
        decoder.push(bytes);
        let mut found = 0;
        loop {
            match decoder.next_frame() {
                Ok(Some(frame)) => {
                    found += 1;
                    let mut again = Vec::new();
                    wire::encode_frame(&frame, &mut again).expect("what was decoded");
                    let mut second = wire::Decoder::default();
                    second.push(&again);
                    assert_eq!(second.next_frame().expect("its own encoding"), Some(frame));
                }
                Ok(None) => break,
                Err(error) => {
                    assert!(!error.to_string().is_empty());
                    // The error persists: the bytes that follow must not be read as a frame.
                    assert!(decoder.next_frame().is_err());
                    return false;
                }
            }
        }
        found > 0
    });
}

/// Guards against a stack overflow by deeply nested values in an unknown field.
#[test]
fn deep_nesting_is_refused() {
    // A map with one field, "x", whose value is an array in an array and so on.
    let mut bytes = vec![0x81, 0xa1, b'x'];
    bytes.extend(std::iter::repeat_n(0x91, 1 << 20));
    assert!(wire::decode::<wire::Fetch>(&bytes).is_err());
    assert!(wire::decode::<wire::Job>(&bytes).is_err());
}
