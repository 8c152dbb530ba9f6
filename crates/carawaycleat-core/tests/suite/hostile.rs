use std::cell;

use carawaycleat_core::clock;
use carawaycleat_core::config;
use carawaycleat_core::resource;
use proptest::prelude::*;
use proptest::test_runner;

use super::routing as support;

const CASES: u32 = 100_000;

/// Text fragments with a meaning in JSON records.
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
    "18446744073709551616",
    "null",
    "\\ud800",
    "route",
];

/// Applies edits to valid bytes. Each edit has a position, the number of bytes to remove, and the bytes to insert.
fn apply_edits(valid: &[u8], edits: &[(usize, usize, Vec<u8>)]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for (at, removed, added) in edits {
        let at = at % (bytes.len() + 1);
        let end = (at + removed).min(bytes.len());
        bytes.splice(at..end, added.iter().copied());
    }
    bytes
}

/// Generates damaged variants of `valid` with up to three edits, and random bytes.
fn malformed(valid: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let added = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..4),
        prop::sample::select(TOKENS).prop_map(|token| token.as_bytes().to_vec()),
    ];
    let edits = prop::collection::vec((any::<usize>(), 0_usize..6, added), 0..4);
    let damaged = edits.prop_map(move |edits| apply_edits(&valid, &edits));
    prop_oneof![4 => damaged, 1 => prop::collection::vec(any::<u8>(), 0..80)]
}

/// Runs `check` on each generated case, and requires that it accepts some cases and rejects others.
fn run(valid: &[u8], check: impl Fn(&[u8]) -> bool) {
    let config = test_runner::Config {
        cases: CASES,
        rng_seed: test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let accepted = cell::Cell::new(0_u32);
    let outcome = test_runner::TestRunner::new(config).run(&malformed(valid.to_vec()), |bytes| {
        accepted.set(accepted.get() + u32::from(check(&bytes)));
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("seed 7: {error}"));
    let accepted = accepted.get();
    println!("hostile: {CASES} cases, {accepted} accepted");
    assert!((1..CASES).contains(&accepted), "{accepted} accepted");
}

/// Guards against a value in the store that crashes every process, or that takes effect although it is invalid.
#[test]
fn damaged_records_are_absent_and_reported() {
    let record = config::Record {
        operation: "o".to_owned(),
        resource: resource::Resource::Rate(resource::Rate {
            workspace: support::name("city"),
            tokens_per_second: 10,
            burst_tokens: 20,
        }),
    };
    let valid = serde_json::to_vec(&record).expect("a valid record");
    let id = resource::Id::new(resource::Kind::Rate, support::name("city"));
    let key = config::key(&id);
    run(&valid, |bytes| {
        let change = config::Change {
            key: key.clone(),
            value: Some(bytes.to_vec()),
            revision: 1,
        };
        let mut history = config::Cache::new();
        let applied = history.apply(0, 1, vec![change.clone()]);
        assert_eq!(applied, config::Applied::Advanced);
        let mut listed = config::Cache::new();
        listed.replace(1, vec![change]);
        assert_eq!(history.snapshot(), listed.snapshot());
        let found: Vec<_> = history.snapshot().iter().collect();
        for (_, entry) in &found {
            let checked = entry.resource.validate();
            checked.expect("only valid resources are in force");
        }
        // An invalid value is reported as a problem, and kept unchanged for peers.
        assert_eq!(found.is_empty(), history.problems().count() == 1);
        assert_eq!(history.value(&key), Some((bytes, 1)));
        !found.is_empty()
    });
}

fn changes() -> impl Strategy<Value = Vec<(u8, bool, u64)>> {
    prop::collection::vec((0_u8..6, any::<bool>(), 0_u64..12), 0..6)
}

/// Generates small numbers, arbitrary numbers, and numbers near the maximum.
fn extreme() -> impl Strategy<Value = u64> {
    prop_oneof![0_u64..9, any::<u64>(), u64::MAX - 3..=u64::MAX]
}

proptest! {
    #![proptest_config(support::seeded(CASES))]

    /// Guards against batches of a faulty peer that revert the cached configuration to an earlier revision, or that are
    /// applied in part.
    #[test]
    fn a_cached_configuration_never_reverts(
        batches in prop::collection::vec((0_u64..12, 0_u64..12, any::<bool>(), changes()), 1..6),
        high in extreme(),
    ) {
        let mut history = config::Cache::new();
        for (since, through, is_listing, changes) in batches {
            let before = history.clone();
            let changes: Vec<_> = changes
                .into_iter()
                .map(|(number, is_put, revision)| config::Change {
                    key: match number {
                        0 => "/foreign".to_owned(),
                        1 => format!("{}a b", config::RESOURCE_PREFIX),
                        _ => format!("{}x/{number}", config::PREFIX),
                    },
                    value: is_put.then(|| vec![number]),
                    revision,
                })
                .collect();
            let applied = if is_listing {
                history.replace(through, changes)
            } else {
                history.apply(since, through, changes)
            };
            if applied == config::Applied::Advanced {
                prop_assert_eq!(history.revision(), through);
                prop_assert!(through > before.revision());
            } else {
                prop_assert_eq!(history.listing(), before.listing());
                prop_assert_eq!(history.revision(), before.revision());
            }
        }
        history.apply(history.revision(), high, Vec::new());
        prop_assert!(history.changes_since(high).is_none_or(|changes| changes.iter().all(|c| c.revision > high)));
    }

    /// Guards against a timestamp of a faulty peer that crashes the process, or that makes later timestamps earlier.
    #[test]
    fn timestamps_never_decrease(
        remotes in prop::collection::vec((extreme(), extreme()), 1..6),
        wall in 0_u64..9,
    ) {
        let mut clock = clock::Hybrid::new(support::name("e1"));
        let mut last = clock.tick(wall);
        for (wall_ms, counter) in remotes {
            let remote = clock::Stamp { wall_ms, counter, host: support::name("e2") };
            for _ in 0..2 {
                let stamp = clock.receive(wall, &remote);
                prop_assert!(stamp > last, "{:?} after {:?}", stamp, last);
                last = clock.tick(wall);
                prop_assert!(last > stamp, "{:?} after {:?}", last, stamp);
            }
        }
    }
}
