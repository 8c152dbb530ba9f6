use std::sync;
use std::time;

use carawaycleat_core::membership;
use carawaycleat_core::resource;
use carawaycleat_net as net;
use carawaycleat_standin::setup;

/// A limit that only a failing test reaches.
const LIMIT: time::Duration = time::Duration::from_secs(60);

/// The time within which a revoked key must stop working on each host.
const REVOKED_WITHIN: time::Duration = time::Duration::from_secs(5);

fn run<F: Future<Output = ()>>(plan: setup::Plan, test: impl FnOnce(setup::Setup) -> F) {
    let executor = sync::Arc::new(net::Executor::new());
    let expired = async {
        async_io::Timer::after(LIMIT).await;
        panic!("no result within the limit");
    };
    let test = async {
        let setup = setup::Setup::start(&executor, plan)
            .await
            .expect("the path starts");
        test(setup).await;
    };
    async_io::block_on(executor.run(futures_lite::future::or(test, expired)));
}

async fn status(setup: &setup::Setup, entry: usize) -> u16 {
    let request = setup.chat(0, 0, "a prompt", 1, false);
    setup.send(entry, request).await.expect("an answer").status
}

/// Guards against a host that does not watch the store and misses what has changed, and against each host watching.
#[test]
fn three_of_five_hosts_watch_and_all_hear_of_a_revoked_key() {
    let plan = setup::Plan {
        entries: 5,
        engines: 1,
        models: 1,
        adapters: 0,
        services: 0,
        ..Default::default()
    };
    run(plan, |setup| async move {
        setup.wait_for_models().await.expect("the model is loaded");
        let watching = |setup: &setup::Setup| setup.store.with(|state, _| state.counts().watches);
        let is_few = |setup: &setup::Setup| watching(setup) == membership::WATCHER_COUNT as u64;
        setup
            .wait("three hosts watch", is_few)
            .await
            .expect("three watches");
        for entry in 0..5 {
            assert_eq!(status(&setup, entry).await, 200, "host {entry} serves");
        }
        setup
            .delete(resource::Kind::Key, "key-1")
            .await
            .expect("the key is deleted");
        let deleted = time::Instant::now();
        for entry in 0..5 {
            while status(&setup, entry).await != 401 {
                assert!(
                    deleted.elapsed() < REVOKED_WITHIN,
                    "host {entry} accepts a revoked key"
                );
            }
        }
    });
}
