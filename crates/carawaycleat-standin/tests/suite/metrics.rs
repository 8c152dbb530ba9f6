//! The metrics of both daemons, read while requests pass through the whole path.

use std::collections;
use std::sync;
use std::time;

use carawaycleat_net as net;
use carawaycleat_standin::setup;

// A limit that only a failing test reaches.
const LIMIT: time::Duration = time::Duration::from_secs(60);

/// Runs `test` against a running set-up.
pub(crate) fn with_setup<F: Future<Output = ()>>(
    plan: setup::Plan,
    test: impl FnOnce(sync::Arc<setup::Setup>) -> F,
) {
    let executor = sync::Arc::new(net::Executor::new());
    let test = async {
        let setup = setup::Setup::start(&executor, plan).await;
        let setup = sync::Arc::new(setup.expect("a running set-up"));
        setup.wait_for_models().await.expect("loaded models");
        test(setup).await;
    };
    let expired = async {
        async_io::Timer::after(LIMIT).await;
        panic!("no result within the limit");
    };
    futures_lite::future::block_on(executor.run(futures_lite::future::or(test, expired)));
}

/// Returns the status, headers and text of the answer of entry host 0.
pub(crate) async fn send(
    setup: &setup::Setup,
    request: net::Request,
) -> (u16, net::Headers, String) {
    let reply = setup.send(0, request).await.expect("an answer");
    let (status, headers) = (reply.status, reply.headers.clone());
    let bytes = reply.bytes(1 << 20).await.expect("a whole body");
    (
        status,
        headers,
        String::from_utf8(bytes).expect("a body in UTF-8"),
    )
}

/// The value of each series.
type Series = collections::BTreeMap<String, f64>;

async fn scrape(address: std::net::SocketAddr) -> Series {
    let pool = net::Pool::default();
    let reply = pool.send(address, net::Request::new("GET", "/metrics"), LIMIT);
    let reply = reply.await.expect("an answer");
    let bytes = reply.bytes(1 << 20).await.expect("a whole body");
    let text = String::from_utf8(bytes).expect("text");
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .filter_map(|line| {
            let (series, value) = line.rsplit_once(' ')?;
            Some((series.to_owned(), value.parse().ok()?))
        })
        .collect()
}

#[track_caller]
fn check(series: &Series, name: &str, is_right: impl Fn(f64) -> bool) {
    match series.get(name) {
        Some(value) => assert!(is_right(*value), "{name} is {value}"),
        None => panic!("{name} is missing in {:?}", series.keys()),
    }
}

async fn send_some(setup: &setup::Setup) {
    for _ in 0..3 {
        let (status, _, _) = send(setup, setup.chat(0, 0, "Plan the round", 8, true)).await;
        assert_eq!(status, 200);
    }
    let (status, _, _) = send(setup, setup.chat(0, 1, "Plan the round", 8, false)).await;
    assert_eq!(status, 200);
    let unknown = setup.chat(0, 9, "Plan the round", 8, false);
    assert_eq!(send(setup, unknown).await.0, 404);
}

/// Guards against a metric of an entry host that is declared and never set.
#[test]
fn the_metrics_of_an_entry_host_move() {
    with_setup(setup::Plan::default(), |setup| async move {
        send_some(&setup).await;
        let addresses = setup.entries[0].addresses();
        let mut broken = std::net::TcpStream::connect(addresses.callers).expect("a connection");
        std::io::Write::write_all(&mut broken, b"no request\r\n\r\n").expect("sent");
        let malformed = "carawaycleat_entry_malformed_requests_total";
        let mut series = scrape(addresses.operators).await;
        while series.get(malformed) != Some(&1.0) {
            async_io::Timer::after(time::Duration::from_millis(10)).await;
            series = scrape(addresses.operators).await;
        }
        let moved = |value| value > 0.0;
        for name in [
            "requests_total{status=\"200\",target=\"models\"}",
            "requests_total{status=\"404\",target=\"models\"}",
            "refusals_total{reason=\"unknown_model\"}",
            "tokens_total{flow=\"admitted\",workspace=\"workspace-1\"}",
            "store_calls_total{kind=\"range\",result=\"ok\"}",
            "store_calls_total{kind=\"transaction\",result=\"ok\"}",
            "store_calls_total{kind=\"lease\",result=\"ok\"}",
            "store_calls_total{kind=\"watch\",result=\"ok\"}",
            "first_token_seconds_count",
            "token_gap_seconds_count",
            "added_latency_seconds_count",
            "configuration_revision",
            "shards_held",
            "connections",
        ] {
            check(&series, &format!("carawaycleat_entry_{name}"), moved);
        }
        // The engine generates 8 tokens for each of 4 requests, which also reserved their prompts.
        let admitted =
            "carawaycleat_entry_tokens_total{flow=\"admitted\",workspace=\"workspace-1\"}";
        check(&series, admitted, |value| value > 4.0 * 8.0);
        check(
            &series,
            "carawaycleat_entry_freshness_state{state=\"fresh\"}",
            |value| value == 1.0,
        );
        let present = |value: f64| value >= 0.0;
        for name in [
            "freshness_state{state=\"asking\"}",
            "freshness_state{state=\"outage\"}",
            "freshness_state{state=\"isolated\"}",
            "queue_requests{class=\"live\"}",
            "queue_requests{class=\"short\"}",
            "queue_requests{class=\"batch\"}",
            "retries_total{decision=\"retried\"}",
            "retries_total{decision=\"resumed\"}",
            "retries_total{decision=\"not_idempotent\"}",
            "retries_total{decision=\"no_candidate\"}",
            "retries_total{decision=\"exhausted\"}",
            "in_flight_requests",
            "streams_cut_total",
            "ejections_total",
            "store_contact_age_seconds",
            "connections_refused_total",
            "requests_over_limit_total",
            "timeline_dropped_events_total",
        ] {
            check(&series, &format!("carawaycleat_entry_{name}"), present);
        }
    });
}

/// Guards against refunds and running requests that are not counted.
#[test]
fn a_request_that_is_cut_off_early_is_refunded() {
    with_setup(setup::Plan::default(), |setup| async move {
        let operators = setup.entries[0].addresses().operators;
        let request = setup.chat(1, 0, "Plan the round", 4_000, true);
        let mut reply = setup.send(0, request).await.expect("an answer");
        let first = reply.body.next_within(LIMIT).await;
        assert!(first.expect("a token").is_some());
        let running = scrape(operators).await;
        check(&running, "carawaycleat_entry_in_flight_requests", |value| {
            value == 1.0
        });
        drop(reply);
        let refunded =
            "carawaycleat_entry_tokens_total{flow=\"refunded\",workspace=\"workspace-2\"}";
        while !scrape(operators).await.contains_key(refunded) {
            async_io::Timer::after(time::Duration::from_millis(10)).await;
        }
        let ended = scrape(operators).await;
        check(&ended, "carawaycleat_entry_in_flight_requests", |value| {
            value == 0.0
        });
    });
}

/// Guards against a metric of a sidecar that is declared and never set.
#[test]
fn the_metrics_of_a_sidecar_move() {
    with_setup(setup::Plan::default(), |setup| async move {
        send_some(&setup).await;
        let mut totals = Series::new();
        for accelerator in &setup.accelerators {
            let address = accelerator.side.local_address();
            let pool = net::Pool::default();
            let malformed = net::Request::new("POST", "/work").body("no job");
            let reply = pool.send(address, malformed, LIMIT).await;
            assert_eq!(reply.expect("an answer").status, 400);
            let series = scrape(address).await;
            for (name, value) in series {
                *totals.entry(name).or_default() += value;
            }
        }
        for name in [
            "jobs_accepted_total",
            "jobs_refused_total{reason=\"invalid_request\"}",
            "orders_total{kind=\"load\",state=\"sent\"}",
            "orders_total{kind=\"load\",state=\"landed\"}",
            "reports_total{result=\"ok\"}",
            "memory_committed_bytes",
            "memory_total_bytes",
            "engine_reachable",
        ] {
            check(&totals, &format!("carawaycleat_side_{name}"), |value| {
                value > 0.0
            });
        }
        for name in [
            "jobs_refused_total{reason=\"shutting_down\"}",
            "jobs_refused_total{reason=\"upstream_leaving\"}",
            "jobs_refused_total{reason=\"queue_full\"}",
            "jobs_refused_total{reason=\"duplicate_request\"}",
            "jobs_refused_total{reason=\"upstream_failed\"}",
            "orders_total{kind=\"unload_adapter\",state=\"expired\"}",
            "reports_total{result=\"failed\"}",
            "in_flight_requests",
            "timeline_dropped_events_total",
        ] {
            check(&totals, &format!("carawaycleat_side_{name}"), |value| {
                value >= 0.0
            });
        }
    });
}
