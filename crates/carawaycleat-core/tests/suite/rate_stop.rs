use carawaycleat_core::clock;
use carawaycleat_core::name;
use carawaycleat_core::rate;

const SHARDS: u32 = 4;

/// Performs the writes of one tick as a store without faults does, and returns their purposes.
fn tick(holder: &mut rate::Holder, millis: u64, revision: &mut u64) -> Vec<rate::Operation> {
    let now = clock::Instant::from_millis(millis);
    let mut operations = Vec::new();
    for effect in holder.tick(now) {
        if let rate::Effect::Write(write) = effect {
            *revision += 1;
            operations.push(write.operation);
            holder.answer(now, &write.id, rate::Answer::Written(*revision));
        }
    }
    operations
}

/// Guards against a stopping host that claims again what it has released, because it is still in the roster.
#[test]
fn a_stopping_host_claims_nothing() {
    let host = name::Name::parse("entry-1").expect("a valid name");
    let owner = rate::Owner {
        host: host.clone(),
        address: ([127, 0, 0, 1], 8082).into(),
        incarnation: 1,
    };
    let mut holder = rate::Holder::new(owner, SHARDS);
    holder.roster(&[host]);
    holder.list(clock::Instant::from_millis(1), &[]);
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
