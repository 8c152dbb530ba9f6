use std::collections;

use carawaycleat_core::config;
use carawaycleat_core::name;
use carawaycleat_core::resource;
use proptest::prelude::*;
use proptest::test_runner;

const REVISIONS: u64 = 40;

fn id(kind: resource::Kind, text: &str) -> resource::Id {
    resource::Id::new(kind, name::Name::parse(text).expect("a valid name"))
}

/// Returns the changes in the store. Every fifth revision has two changes, as in one transaction.
fn store_changes(choices: &[u8]) -> Vec<config::Change> {
    let change = |(position, choice): (usize, &u8)| {
        let value = match choice % 5 {
            0 => None,
            1 => Some(b"not JSON".to_vec()),
            weight => Some(format!(r#"{{"operation":"o{position}","resource":{{"kind":"workspace","weight":{weight}}}}}"#).into_bytes()),
        };
        config::Change {
            key: format!("{}workspace/w{}", config::RESOURCE_PREFIX, choice / 5 % 4),
            value,
            revision: position as u64 * 5 / 6 + 1,
        }
    };
    choices.iter().enumerate().map(change).collect()
}

/// Returns the contents of the store at `revision`.
fn state_at(store: &[config::Change], revision: u64) -> Vec<config::Change> {
    let mut state = collections::BTreeMap::new();
    for change in store.iter().filter(|c| c.revision <= revision) {
        state.insert(change.key.clone(), change.clone());
    }
    state.into_values().filter(|c| c.value.is_some()).collect()
}

/// Delivers changes by `(kind, from, length)`: a range that may skip or repeat changes, the next changes, a listing
/// that may be old, a range in reverse order, or a restart with a listing that may be old.
fn deliver(store: &[config::Change], op: (u8, u64, u64), cache: &mut config::Cache) {
    let (kind, from, length) = op;
    let through = (from + length).min(REVISIONS);
    let since = if kind == 1 {
        cache.revision().min(through)
    } else {
        from.min(through)
    };
    let is_within = |c: &&config::Change| c.revision > since && c.revision <= through;
    let batch: Vec<_> = store.iter().filter(is_within).cloned().collect();
    match kind {
        0 | 1 => drop(cache.apply(since, through, batch)),
        2 => drop(cache.replace(from, state_at(store, from))),
        3 => drop(cache.apply(since, through, batch.into_iter().rev().collect())),
        _ => {
            *cache = config::Cache::new();
            cache.replace(from, state_at(store, from));
        }
    }
}

fn check(store: &[config::Change], cache: &config::Cache) -> Result<(), TestCaseError> {
    let expected = state_at(store, cache.revision());
    prop_assert_eq!(cache.listing(), expected.clone());
    let is_decodable = |c: &&config::Change| c.value.as_deref() != Some(b"not JSON");
    prop_assert_eq!(
        cache.snapshot().iter().count(),
        expected.iter().filter(is_decodable).count()
    );
    prop_assert_eq!(
        cache.problems().count(),
        expected.iter().filter(|c| !is_decodable(c)).count()
    );
    for since in 0..=cache.revision() {
        let mut peer = config::Cache::new();
        peer.replace(since, state_at(store, since));
        if let Some(changes) = cache.changes_since(since) {
            peer.apply(since, cache.revision(), changes);
            prop_assert_eq!(peer.listing(), expected.clone());
        }
    }
    Ok(())
}

type Case = (Vec<u8>, Vec<(u8, u64, u64)>);

fn run(test: impl Fn(Case) -> Result<(), TestCaseError>) -> Result<(), String> {
    let choices = proptest::collection::vec(any::<u8>(), 48);
    let ops = proptest::collection::vec((0..5_u8, 0..REVISIONS, 0..15_u64), 30);
    let settings = test_runner::Config {
        cases: 200,
        failure_persistence: None,
        ..Default::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(settings, rng);
    runner.run(&(choices, ops), test).map_err(|e| e.to_string())
}

/// Guards against a cache that goes back to an earlier state, or differs from the store at its revision.
#[test]
fn a_cache_always_equals_the_store_at_its_revision() {
    let result = run(|(choices, ops)| {
        let store = store_changes(&choices);
        let mut cache = config::Cache::new();
        for op in ops {
            let before = cache.revision();
            deliver(&store, op, &mut cache);
            prop_assert!(op.0 == 4 || cache.revision() >= before);
            check(&store, &cache)?;
        }
        Ok(())
    });
    assert_eq!(result, Ok(()));
}

/// Guards against deliveries that do not exercise the rules: applying every change on arrival must give a wrong state.
#[test]
fn applying_each_change_on_arrival_gives_a_wrong_state() {
    let result = run(|(choices, ops)| {
        let store = store_changes(&choices);
        let mut state = collections::BTreeMap::new();
        let mut revision = 0;
        for (_, from, length) in ops {
            for change in store
                .iter()
                .filter(|c| c.revision > from && c.revision <= from + length)
            {
                revision = revision.max(change.revision);
                state.insert(change.key.clone(), change.clone());
            }
            let listing: Vec<_> = state
                .values()
                .filter(|c| c.value.is_some())
                .cloned()
                .collect();
            prop_assert_eq!(listing, state_at(&store, revision));
        }
        Ok(())
    });
    assert!(result.is_err());
}

/// Guards against unbounded memory, and against sending a peer an incomplete log instead of a listing.
#[test]
fn a_peer_too_far_behind_needs_a_listing() {
    let mut cache = config::Cache::new();
    let last = config::LOG_CHANGES as u64 + 10;
    for revision in 1..=last {
        let key = format!("{}share/1", config::PREFIX);
        let change = config::Change {
            key,
            value: Some(Vec::new()),
            revision,
        };
        assert_eq!(
            cache.apply(revision - 1, revision, vec![change]),
            config::Applied::Advanced
        );
    }
    assert_eq!(cache.changes_since(9), None);
    assert_eq!(
        cache.changes_since(10).map(|c| c.len()),
        Some(config::LOG_CHANGES)
    );
    assert_eq!(cache.with_prefix("/carawaycleat/v1/share/").count(), 1);
    let foreign = config::Change {
        key: "/other".to_owned(),
        value: None,
        revision: last + 1,
    };
    assert_eq!(
        cache.apply(last, last + 1, vec![foreign]),
        config::Applied::Malformed
    );
}

fn resource(json: &str) -> resource::Resource {
    serde_json::from_str(json).expect("well formed")
}

/// Returns a configuration with one resource of each kind.
fn site() -> config::Snapshot {
    let resources = [
        ("team", r#"{"kind":"workspace"}"#.to_owned()),
        ("v1", r#"{"kind":"version","model":"m","bytes":1}"#.to_owned()),
        ("m", r#"{"kind":"model","version":"v1","group":"g"}"#.to_owned()),
        ("a", r#"{"kind":"adapter","model":"m","bytes":1}"#.to_owned()),
        ("k", format!(r#"{{"kind":"key","workspace":"team","digest":"{}"}}"#, "0".repeat(64))),
        ("r", r#"{"kind":"rate","workspace":"team","tokens_per_second":1,"burst_tokens":1}"#.to_owned()),
        ("jobs", r#"{"kind":"route","prefix":"/jobs","target":"models","workspaces":["team"]}"#.to_owned()),
        ("u", r#"{"kind":"upstream","group":"g","address":"127.0.0.1:1","side_address":"127.0.0.1:2","availability_zone":"z"}"#.to_owned()),
    ];
    resources
        .iter()
        .fold(config::Snapshot::new(1), |snapshot, (text, json)| {
            let name = name::Name::parse(text).expect("a valid name");
            snapshot.with(
                name,
                config::Entry {
                    revision: 1,
                    resource: resource(json),
                },
            )
        })
}

#[yare::parameterized(
    unchanged = { "m", r#"{"kind":"model","version":"v1","group":"g"}"#, 0 },
    missing_version = { "n", r#"{"kind":"model","version":"v2","group":"g"}"#, 1 },
    version_of_another_model = { "n", r#"{"kind":"model","version":"v1","group":"g"}"#, 1 },
    version_leaves_its_model = { "v1", r#"{"kind":"version","model":"n","bytes":1}"#, 1 },
    version_before_its_model = { "v2", r#"{"kind":"version","model":"n","bytes":1}"#, 0 },
    missing_model = { "b", r#"{"kind":"adapter","model":"n","bytes":1}"#, 1 },
    same_digest_and_missing_workspace = { "l", r#"{"kind":"key","workspace":"x","digest":"0000000000000000000000000000000000000000000000000000000000000000"}"#, 2 },
    second_rate = { "s", r#"{"kind":"rate","workspace":"team","tokens_per_second":1,"burst_tokens":1}"#, 1 },
    same_prefix = { "other", r#"{"kind":"route","prefix":"/jobs","target":"models"}"#, 1 },
    three_problems = { "other", r#"{"kind":"route","prefix":"/jobs","target":"service","workspaces":["x"]}"#, 3 },
    address_of_a_sidecar = { "w", r#"{"kind":"upstream","group":"g","address":"127.0.0.1:2","availability_zone":"z"}"#, 1 },
    own_address_twice = { "w", r#"{"kind":"upstream","group":"g","address":"127.0.0.1:3","side_address":"127.0.0.1:3","availability_zone":"z"}"#, 1 },
)]
fn an_invalid_write_reports_all_problems(text: &str, json: &str, problems: usize) {
    let resource = resource(json);
    let result = site().check_put(&id(resource.kind(), text), &resource);
    assert_eq!(result.map_or_else(|e| e.problems().len(), |()| 0), problems);
}

#[yare::parameterized(
    workspace = { resource::Kind::Workspace, "team", 3 },
    model = { resource::Kind::Model, "m", 1 },
    version = { resource::Kind::Version, "v1", 1 },
    adapter = { resource::Kind::Adapter, "a", 0 },
)]
fn a_resource_in_use_cannot_be_deleted(kind: resource::Kind, text: &str, users: usize) {
    let result = site().check_delete(&id(kind, text));
    assert_eq!(result.map_or_else(|e| e.problems().len(), |()| 0), users);
}
