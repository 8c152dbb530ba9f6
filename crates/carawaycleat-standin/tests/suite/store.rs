use carawaycleat_core::clock;
use carawaycleat_standin::store;

fn put(key: &str, value: &str) -> store::Put {
    store::Put {
        key: key.into(),
        value: value.into(),
        ..Default::default()
    }
}

fn one(key: &str) -> store::Range {
    store::Range {
        key: key.into(),
        ..Default::default()
    }
}

fn seconds(s: u64) -> clock::Instant {
    clock::Instant::from_millis(s * 1_000)
}

/// Returns the answer to a call with a JSON body.
fn call(state: &mut store::State, now: clock::Instant, path: &str, body: &str) -> store::Reply {
    state.call(now, path, body.as_bytes())
}

/// Guards against a comparison that holds on the wrong side, which would let two writers win.
#[yare::parameterized(
    absent_is_version_zero = { "b", store::Target::Version, store::Relation::Equal, 0, true },
    present_is_not_zero = { "a", store::Target::Version, store::Relation::Equal, 0, false },
    create_stays = { "a", store::Target::Create, store::Relation::Equal, 2, true },
    modified_moves = { "a", store::Target::Mod, store::Relation::Equal, 3, true },
    modified_greater = { "a", store::Target::Mod, store::Relation::Greater, 2, true },
    modified_not_less = { "a", store::Target::Mod, store::Relation::Less, 3, false },
    modified_not_equal = { "a", store::Target::Mod, store::Relation::NotEqual, 2, true },
    lease_none = { "a", store::Target::Lease, store::Relation::Equal, 0, true },
)]
fn compare(key: &str, target: store::Target, result: store::Relation, operand: i64, holds: bool) {
    let mut space = store::Space::default();
    space.put(&put("a", "1")).expect("a valid put");
    space.put(&put("a", "2")).expect("a valid put");
    let transaction = store::Transaction {
        compare: vec![store::Compare {
            result,
            target,
            key: key.into(),
            version: operand,
            create_revision: operand,
            mod_revision: operand,
            lease: operand,
            ..Default::default()
        }],
        success: vec![
            store::Operation::Put(put("x", "")),
            store::Operation::Put(put("y", "")),
        ],
        failure: vec![store::Operation::Range(one("a"))],
    };
    let answer = space.transact(&transaction).expect("a valid transaction");
    assert_eq!(answer.succeeded, holds);
    // Both writes have one revision, and a transaction that only reads has none of its own.
    assert_eq!(space.revision(), if holds { 4 } else { 3 });
}

/// Guards against a refused transaction that has written half of its keys.
#[test]
fn a_refused_transaction_changes_nothing() {
    let mut space = store::Space::default();
    let mut bad = put("b", "");
    bad.lease = 99;
    let transaction = store::Transaction {
        success: vec![
            store::Operation::Put(put("a", "")),
            store::Operation::Put(bad),
        ],
        ..Default::default()
    };
    assert_eq!(
        space.transact(&transaction),
        Err(store::Error::UnknownLease)
    );
    assert_eq!(space.revision(), 1);
}

/// Guards against a watch that misses, repeats or invents changes when it starts in the past.
#[test]
fn a_watch_delivers_each_change_of_its_range_once() {
    let mut space = store::Space::default();
    for key in ["a/1", "b/1", "a/2"] {
        space.put(&put(key, "v")).expect("a valid put");
    }
    let create = store::Create {
        range: store::Range {
            range_end: "a0".into(),
            ..one("a/")
        },
        start_revision: 3,
    };
    let (mut watcher, first) = store::Watcher::open(&space, &create);
    assert!(first.created);
    let revisions = |notice: store::Notice| -> Vec<_> {
        notice.events.iter().map(|e| e.kv.mod_revision).collect()
    };
    assert_eq!(watcher.poll(&space).map(revisions), Some(vec![4]));
    assert_eq!(watcher.poll(&space), None);
    space.put(&put("b/2", "v")).expect("a valid put");
    assert_eq!(watcher.poll(&space), None, "outside of the range");
    space.delete(&one("a/1"));
    let deletion = watcher.poll(&space).expect("a change");
    assert_eq!(deletion.events[0].kind, Some(store::Deletion::Delete));
    assert_eq!(revisions(deletion), vec![6]);
}

/// Guards against a watch that starts before the compaction and silently misses changes.
#[test]
fn a_watch_from_a_compacted_revision_is_ended() {
    let mut space = store::Space::default();
    for value in ["1", "2", "3"] {
        space.put(&put("a", value)).expect("a valid put");
    }
    space.compact(3).expect("a known revision");
    assert_eq!(space.compact(3), Err(store::Error::Compacted(3)));
    let create = |start_revision| store::Create {
        range: one("a"),
        start_revision,
    };
    let (mut late, _) = store::Watcher::open(&space, &create(3));
    let notice = late.poll(&space).expect("the end of the watch");
    assert!(notice.canceled);
    assert_eq!(notice.compact_revision, 3);
    let (mut recent, _) = store::Watcher::open(&space, &create(4));
    assert_eq!(recent.poll(&space).map(|n| n.events.len()), Some(1));
}

/// Guards against a lease that outlives its time or ends although it was renewed.
#[test]
fn a_lease_expires_unless_renewed() {
    let mut state = store::State::default();
    let granted = call(&mut state, seconds(0), "/v3/lease/grant", r#"{"TTL":"10"}"#);
    let lease: store::Lease = serde_json::from_slice(&granted.body).expect("a lease");
    let body = format!(r#"{{"key":"YQ==","lease":"{}"}}"#, lease.id);
    assert_eq!(
        call(&mut state, seconds(1), "/v3/kv/put", &body).status,
        200
    );
    let renewal = format!(r#"{{"ID":"{}"}}"#, lease.id);
    let renewed = call(&mut state, seconds(9), "/v3/lease/keepalive", &renewal);
    assert!(String::from_utf8_lossy(&renewed.body).contains(r#""TTL":"10""#));
    let count = |state: &store::State| state.space().range(&one("a")).map(|a| a.count);
    state.expire(seconds(18));
    assert_eq!(count(&state), Ok(1));
    state.expire(seconds(19));
    assert_eq!(count(&state), Ok(0));
    let gone = call(&mut state, seconds(20), "/v3/lease/keepalive", &renewal);
    assert!(!String::from_utf8_lossy(&gone.body).contains("TTL"));
    let refused = call(&mut state, seconds(20), "/v3/lease/revoke", &renewal);
    assert_eq!(refused.status, 404);
}

/// Guards against a lost answer that also loses the write, or that hits reads.
#[test]
fn a_lost_answer_leaves_the_write_in_force() {
    let mut state = store::State::new(store::Faults {
        lose_answers: 1,
        ..Default::default()
    });
    let body = r#"{"key":"YQ==","value":"MQ=="}"#;
    assert!(call(&mut state, seconds(0), "/v3/kv/range", r#"{"key":"YQ=="}"#).delivered);
    assert!(!call(&mut state, seconds(0), "/v3/kv/put", body).delivered);
    assert!(call(&mut state, seconds(0), "/v3/kv/put", body).delivered);
    let found = state.space().range(&one("a")).expect("a valid range");
    assert_eq!(found.kvs[0].version, 2);
    assert_eq!(state.counts().lost_answers, 1);
}

/// Guards against a probability that differs between two runs with the same seed.
#[test]
fn lost_answers_repeat_with_the_seed() {
    let run = |seed| {
        let mut state = store::State::new(store::Faults {
            lose_probability: 0.5,
            seed,
            ..Default::default()
        });
        let body = r#"{"key":"YQ=="}"#;
        (0..64)
            .map(|_| call(&mut state, seconds(0), "/v3/kv/put", body).delivered)
            .collect::<Vec<_>>()
    };
    assert_eq!(run(7), run(7));
    assert_ne!(run(7), run(8));
}

/// Guards against a rate limit that forgets the waiting watches or never refills.
#[test]
fn waiting_watches_use_the_read_rate() {
    let mut state = store::State::new(store::Faults {
        reads_per_second: 3,
        ..Default::default()
    });
    let watch = br#"{"create_request":{"key":"YQ=="}}"#;
    assert!(state.open_watch(seconds(0), watch).is_ok());
    let read =
        |state: &mut store::State, s| call(state, seconds(s), "/v3/kv/range", r#"{"key":"YQ=="}"#);
    // The opening of the watch is one of the three reads of the first second, its waiting one of each later second.
    for second in [0, 5] {
        let statuses = [(); 3].map(|()| read(&mut state, second).status);
        assert_eq!(statuses, [200, 200, 429], "second {second}");
    }
    assert_eq!(state.counts().limited, 2);
}

/// Guards against field names and number forms that a client of the gateway does not understand.
#[test]
fn answers_have_the_form_of_the_gateway() {
    let mut state = store::State::default();
    let put = call(
        &mut state,
        seconds(0),
        "/v3/kv/put",
        r#"{"key":"YQ==","value":"MQ=="}"#,
    );
    assert_eq!(put.body, br#"{"header":{"revision":"2"}}"#);
    let txn = r#"{"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"2"}],
        "success":[{"request_put":{"key":"YQ==","value":"Mg=="}}],"failure":[]}"#;
    let txn = call(&mut state, seconds(0), "/v3/kv/txn", txn);
    let text = r#"{"header":{"revision":"3"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"3"}}}]}"#;
    assert_eq!(String::from_utf8_lossy(&txn.body), text);
    let range = call(&mut state, seconds(0), "/v3/kv/range", r#"{"key":"YQ=="}"#);
    let text = r#"{"header":{"revision":"3"},"kvs":[{"key":"YQ==","create_revision":"2","mod_revision":"3","version":"2","value":"Mg=="}],"count":"1"}"#;
    assert_eq!(String::from_utf8_lossy(&range.body), text);
    let bad = call(
        &mut state,
        seconds(0),
        "/v3/kv/put",
        r#"{"key":"YQ==","lease":"5"}"#,
    );
    assert_eq!(bad.status, 404);
    let text = r#"{"error":"etcdserver: requested lease not found","code":5,"message":"etcdserver: requested lease not found"}"#;
    assert_eq!(String::from_utf8_lossy(&bad.body), text);
}
