use carawaycleat_core::clock;
use carawaycleat_core::config;
use carawaycleat_core::entry;
use carawaycleat_core::name;
use carawaycleat_core::rate;

const SHARDS: u32 = 4;

/// Performs the writes of one tick as a store without faults would, and returns their operations.
fn tick(holder: &mut rate::Holder, millis: u64, revision: &mut u64) -> Vec<rate::Operation> {
    let now = clock::Instant::from_millis(millis);
    let mut operations = Vec::new();
    for effect in holder.tick(now) {
        if let rate::Effect::Write(write) = effect {
            *revision += 1;
            operations.push(write.operation);
            holder.record_outcome(now, &write.id, rate::Outcome::Written(*revision));
        }
    }
    operations
}

/// Guards against a stopping host that claims its released shards again because it is still in the roster.
#[test]
fn a_stopping_host_claims_nothing() {
    let host = name::Name::parse("entry-1").expect("a valid name");
    let owner = rate::Owner {
        host: host.clone(),
        address: ([127, 0, 0, 1], 8082).into(),
        incarnation: 1,
    };
    let mut holder = rate::Holder::new(owner, SHARDS);
    holder.set_roster(&[host]);
    holder.record_listing(clock::Instant::from_millis(1), &[]);
    let mut revision = 0;
    assert_eq!(
        tick(&mut holder, 1, &mut revision),
        [rate::Operation::Claim]
    );
    holder.stop();
    assert_eq!(
        tick(&mut holder, 1_000, &mut revision),
        [rate::Operation::Release]
    );
    assert!(holder.is_released());
    for millis in [2_000, 3_000] {
        assert_eq!(tick(&mut holder, millis, &mut revision), []);
        assert!(holder.is_released());
    }
}

/// Guards against a replaced process that releases the shards of its successor on the same address.
#[test]
fn a_replaced_process_does_not_release_the_shards_of_its_successor() {
    let owner = |incarnation| rate::Owner {
        host: name::Name::parse("entry-1").expect("a valid name"),
        address: ([127, 0, 0, 1], 8082).into(),
        incarnation,
    };
    let mut holder = rate::Holder::new(owner(1), SHARDS);
    holder.set_roster(&[owner(1).host]);
    let held = |number| rate::Observation {
        number,
        shard: Some(rate::Shard {
            owner: Some(owner(2)),
            sequence: 1,
            validity_ms: 60_000,
            operation: "other".to_owned(),
        }),
        revision: 5,
    };
    let records: Vec<_> = (0..SHARDS).map(held).collect();
    holder.record_listing(clock::Instant::from_millis(1), &records);
    let mut revision = 5;
    assert_eq!(tick(&mut holder, 1_000, &mut revision), []);
    holder.stop();
    assert_eq!(tick(&mut holder, 2_000, &mut revision), []);
    assert!(holder.is_released());
}

/// Returns the number of shards that a host claims first if the roster also has a peer with the record `peer`.
fn claimed_with_peer(peer: &str) -> usize {
    let host = name::Name::parse("entry-1").expect("a valid name");
    let zone = name::Name::parse("zone-1").expect("a valid name");
    let owner = rate::Owner {
        host,
        address: ([127, 0, 0, 1], 8082).into(),
        incarnation: 1,
    };
    let mut reducer = entry::Reducer::new(owner, zone, entry::Options::default());
    let record = |host: &str, value: &str| config::Change {
        key: format!("/carawaycleat/v1/roster/{host}"),
        value: Some(value.as_bytes().to_vec()),
        revision: 1,
    };
    let pairs = vec![record("entry-1", "{}"), record("entry-2", peer)];
    let now = clock::Instant::from_millis(1_000);
    reducer.step(now, entry::Event::Listing { revision: 1, pairs });
    let effects = reducer.step(now, entry::Event::Tick);
    let claimed = effects.iter().find_map(|effect| match effect {
        entry::Effect::Shards(rate::Effect::Write(write)) => Some(write.puts.len()),
        _ => None,
    });
    claimed.unwrap_or(0)
}

/// Guards against a share of the rates that no host can spend while a stopping host waits for its running requests.
#[test]
fn a_leaving_host_has_no_share_of_the_rates() {
    let shards = usize::try_from(rate::DEFAULT_SHARDS).expect("a small number");
    assert_eq!(claimed_with_peer("{}"), shards / 2);
    assert_eq!(claimed_with_peer(r#"{"leaving":true}"#), shards);
}
