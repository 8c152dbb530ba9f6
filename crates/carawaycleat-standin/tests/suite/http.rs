use std::sync;
use std::time;

use base64::Engine as _;
use carawaycleat_net as net;
use carawaycleat_standin as standin;

use crate::engine as fixture;

// A limit that only a failing test reaches.
const LIMIT: time::Duration = time::Duration::from_secs(20);

type Executor = sync::Arc<net::Executor>;

fn run<F: Future<Output = ()>>(test: impl FnOnce(Executor) -> F) {
    let executor = Executor::default();
    let expired = async {
        async_io::Timer::after(LIMIT).await;
        panic!("no result within the limit");
    };
    let test = futures_lite::future::or(test(executor.clone()), expired);
    futures_lite::future::block_on(executor.run(test));
}

fn post(path: &str, body: &str) -> net::Request {
    net::Request::new("POST", path).body(body)
}

async fn send<S>(of: &standin::Handle<S>, request: net::Request) -> net::Reply {
    let pool = net::Pool::default();
    let reply = pool.send(of.local_address(), request, LIMIT).await;
    reply.expect("an answer")
}

async fn text<S>(of: &standin::Handle<S>, request: net::Request) -> (u16, String) {
    let reply = send(of, request).await;
    let status = reply.status;
    let bytes = reply.bytes(1 << 20).await.expect("a whole body");
    (status, String::from_utf8(bytes).expect("UTF-8"))
}

/// Returns the next line of a watch.
async fn line(reply: &mut net::Reply, rest: &mut Vec<u8>) -> String {
    loop {
        if let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = rest.drain(..=end).collect();
            return String::from_utf8(line).expect("UTF-8");
        }
        let chunk = reply.body.next_within(LIMIT).await.expect("a live watch");
        rest.extend(chunk.expect("an open watch"));
    }
}

fn store(executor: &Executor) -> standin::Handle<standin::store::State> {
    standin::Store::start(executor, Default::default()).expect("a free port")
}

fn engine(executor: &Executor) -> standin::Handle<standin::engine::State> {
    let options = standin::engine::Options {
        site: standin::weights::Site {
            loads_per_second: 1e6,
            ..Default::default()
        },
        step_base: time::Duration::from_micros(100),
        ..Default::default()
    };
    standin::Engine::start(executor, options).expect("a free port")
}

async fn load(engine: &standin::Handle<standin::engine::State>) {
    let order = serde_json::to_string(&fixture::load("first", "small", 1)).expect("JSON");
    assert_eq!(text(engine, post("/engine/orders", &order)).await.0, 202);
    let is_loaded = |state: &mut standin::engine::State, now| {
        let models = state.report(now).models;
        models
            .iter()
            .any(|m| m.state == standin::engine::ResidentState::Loaded)
    };
    engine.until(is_loaded).await;
}

/// Guards against a watch that holds changes back, stays counted after its caller has gone, or survives an outage.
#[test]
fn a_watch_streams_changes_and_ends_with_its_caller() {
    run(|executor| async move {
        let store = store(&executor);
        let mut watch = send(
            &store,
            post("/v3/watch", r#"{"create_request":{"key":"YQ=="}}"#),
        )
        .await;
        let mut rest = Vec::new();
        assert!(
            line(&mut watch, &mut rest)
                .await
                .contains(r#""created":true"#)
        );
        let put = post("/v3/kv/put", r#"{"key":"YQ==","value":"MQ=="}"#);
        assert_eq!(text(&store, put).await.0, 200);
        let mut change = line(&mut watch, &mut rest).await;
        while !change.contains("events") {
            change = line(&mut watch, &mut rest).await;
        }
        assert!(change.contains(r#""mod_revision":"2""#), "{change}");
        let counts = text(&store, net::Request::new("GET", "/standin/counts"))
            .await
            .1;
        assert!(counts.contains(r#""watches":1"#), "{counts}");
        drop(watch);
        store.until(|state, _| state.counts().watches == 0).await;

        let mut watch = send(
            &store,
            post("/v3/watch", r#"{"create_request":{"key":"YQ=="}}"#),
        )
        .await;
        line(&mut watch, &mut Vec::new()).await;
        assert_eq!(
            text(&store, post("/standin/faults", r#"{"down":true}"#))
                .await
                .0,
            204
        );
        while let Ok(chunk) = watch.body.next_within(LIMIT).await {
            assert!(
                chunk.is_some(),
                "the end must be a cut, not an end of the stream"
            );
        }
        assert_eq!(text(&store, post("/v3/kv/range", "{}")).await.0, 503);
    });
}

/// Guards against a lost answer that reaches its caller, and against a stop that loses the keys.
#[test]
fn a_lost_answer_cuts_the_connection_and_a_resumed_store_has_the_write() {
    run(|executor| async move {
        let first = store(&executor);
        let faults = standin::store::Faults {
            lose_answers: 1,
            ..Default::default()
        };
        first.with(|state, _| state.set_faults(faults));
        let put = post("/v3/kv/put", r#"{"key":"YQ==","value":"MQ=="}"#);
        let pool = net::Pool::default();
        let lost = match pool.send(first.local_address(), put, LIMIT).await {
            Ok(reply) => reply.bytes(1 << 20).await.is_err(),
            Err(failure) => failure.sent,
        };
        assert!(lost);
        first.stop();
        let state = first.with(|state, _| state.clone());
        let any = ([127, 0, 0, 1], 0).into();
        let second = standin::Store::resume(&executor, any, state).expect("a free port");
        let key = base64::engine::general_purpose::STANDARD.encode("a");
        let range = post("/v3/kv/range", &format!(r#"{{"key":"{key}"}}"#));
        assert!(text(&second, range).await.1.contains(r#""value":"MQ==""#));
    });
}

/// Guards against a hung store that answers, or that stays hung after the fault is gone.
#[test]
fn a_hung_store_answers_after_the_fault() {
    run(|executor| async move {
        let store = store(&executor);
        assert_eq!(
            text(&store, post("/standin/faults", r#"{"hang":true}"#))
                .await
                .0,
            204
        );
        let call = text(&store, post("/v3/kv/range", "{}"));
        let release = async {
            let counts = text(&store, net::Request::new("GET", "/standin/counts"))
                .await
                .1;
            assert!(counts.contains(r#""reads":0"#), "{counts}");
            assert_eq!(text(&store, post("/standin/faults", "{}")).await.0, 204);
        };
        let (answer, ()) = futures_lite::future::zip(call, release).await;
        assert_eq!(answer.0, 200);
    });
}

/// Guards against a streamed or plain answer that differs from the state machine's tokens.
#[test]
fn the_engine_streams_whole_answers() {
    run(|executor| async move {
        let engine = engine(&executor);
        load(&engine).await;
        let body = r#"{"model":"small","prompt":"p q","max_tokens":3,"stream":true}"#;
        let call = post("/v1/completions", body).header("x-request-id", "r-1");
        let (status, events) = text(&engine, call).await;
        assert_eq!(status, 200);
        let tokens = standin::engine::expected("small", None, "p q", 3);
        let mut wanted = String::new();
        for (position, text) in tokens.iter().enumerate() {
            let choice = format!(r#"{{"index":0,"text":"{text}"}}"#);
            wanted += &format!(
                "data: {{\"id\":\"r-1\",\"position\":{position},\"choices\":[{choice}]}}\n\n"
            );
        }
        wanted += concat!(
            r#"data: {"id":"r-1","choices":[{"index":0,"text":"","finish_reason":"length"}],"#,
            r#""usage":{"completion_tokens":3}}"#,
            "\n\n",
        );
        assert_eq!(events, wanted + "data: [DONE]\n\n");

        let body =
            r#"{"model":"small","messages":[{"role":"user","content":"p q"}],"max_tokens":3}"#;
        let (_, answer) = text(&engine, post("/v1/chat/completions", body)).await;
        assert!(answer.contains(&tokens.concat()), "{answer}");
        let missing = post("/v1/completions", r#"{"model":"none","prompt":"p"}"#);
        assert_eq!(text(&engine, missing).await.0, 404);
    });
}

/// Guards against a caller that has gone and still takes a place in the batch, and against a restart that ends an
/// answer as if it were complete.
#[test]
fn an_interrupted_answer_is_cut() {
    run(|executor| async move {
        let engine = engine(&executor);
        load(&engine).await;
        let body = r#"{"model":"small","prompt":"p","max_tokens":100000000,"stream":true}"#;
        let endless = || post("/v1/completions", body);
        let mut gone = send(&engine, endless()).await;
        assert!(gone.body.next().await.expect("a token").is_some());
        drop(gone);
        engine
            .until(|state, now| state.report(now).running == 0)
            .await;

        let cut = send(&engine, endless()).await;
        let (status, _) = text(&engine, post("/standin/restart", "")).await;
        assert_eq!(status, 204);
        assert!(cut.bytes(1 << 24).await.is_err());
    });
}

/// Guards against a load that is done before the weight store has delivered it.
#[test]
fn the_engine_loads_from_the_weight_store() {
    run(|executor| async move {
        let site = standin::weights::Site {
            loads_per_second: 1e6,
            ..Default::default()
        };
        let options = standin::weights::Options {
            site,
            ..Default::default()
        };
        let weights = standin::Weights::start(&executor, options).expect("a free port");
        let options = standin::engine::Options {
            weights: Some(weights.local_address()),
            ..Default::default()
        };
        let engine = standin::Engine::start(&executor, options).expect("a free port");
        load(&engine).await;
        assert_eq!(weights.with(|state, _| state.peak_in_flight()), 1);
    });
}

/// Guards against an execution that is not recorded because its answer was cut, and a list that cannot be set.
#[test]
fn service_and_hosts_answer() {
    run(|executor| async move {
        let service = standin::Service::start(&executor, Default::default()).expect("a free port");
        let (_, whole) = text(
            &service,
            net::Request::new("GET", "/catalogue/seats?from=a"),
        )
        .await;
        let expected = standin::service::expected("GET", "/catalogue/seats?from=a", b"");
        assert_eq!(whole.as_bytes(), expected);
        assert_eq!(
            text(&service, post("/standin/faults", r#"{"cut_after":4}"#))
                .await
                .0,
            204
        );
        let job = post("/jobs", "x").header("idempotency-key", "k-1");
        assert!(send(&service, job).await.bytes(1 << 20).await.is_err());
        let (_, executions) = text(&service, net::Request::new("GET", "/standin/executions")).await;
        assert!(executions.contains("k-1"), "{executions}");

        let hosts = standin::Hosts::start(&executor, Default::default()).expect("a free port");
        let list = r#"{"hosts":[{"name":"h","address":"127.0.0.1:1","availability_zone":"z","state":"live"}]}"#;
        assert_eq!(text(&hosts, post("/standin/hosts", list)).await.0, 204);
        assert_eq!(
            text(&hosts, net::Request::new("GET", "/hosts")).await.1,
            list
        );
    });
}
