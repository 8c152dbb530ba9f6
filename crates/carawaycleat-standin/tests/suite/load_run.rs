use std::path;
use std::sync;
use std::time;

use carawaycleat_net as net;
use carawaycleat_standin as standin;
use standin::load;

use crate::load as fixture;

fn events(tokens: &[String], end: &str) -> net::Response {
    let mut bytes = Vec::new();
    for (position, token) in (0..).zip(tokens) {
        let chunk = standin::engine::Chunk::token(true, "r".into(), position, token.clone());
        net::sse::Event::new(serde_json::to_string(&chunk).expect("JSON")).encode(&mut bytes);
    }
    bytes.extend_from_slice(end.as_bytes());
    net::Response::new(200).body(bytes)
}

/// Answers like an entry host that cuts the answers of the model `cut`, and gives those of `wrong` to others.
fn answer(request: &net::Request) -> net::Response {
    if request.headers.get("authorization") != Some("Bearer press-key") {
        return net::Response::new(401);
    }
    let call: standin::engine::Call = serde_json::from_slice(&request.body).expect("a call");
    assert_eq!(request.headers.get("carawaycleat-class"), Some("live"));
    assert!(call.stream);
    let (model, adapter) = match call.model.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (call.model.as_str(), None),
    };
    let prompt = &call.messages[0].content;
    let count = call.max_tokens.expect("a limit");
    let tokens = standin::engine::expected(model, adapter, prompt, count);
    match model {
        "refused" => net::Response::new(429).body(
            r#"{"error":{"message":"m","type":"t","code":"rate_limited","outcome":"not_run"}}"#,
        ),
        "cut" => events(&tokens[1..], "event: error\ndata: {}\n\n"),
        "short" => events(&tokens, ""),
        "wrong" => events(&tokens[1..], "data: [DONE]\n\n"),
        _ => events(&tokens, "data: [DONE]\n\n"),
    }
}

const RUN: &str = r#"
duration_s = 60
time_scale = 60
seed = 3
check_answers = true
engines = 2
popularity = { zipf = 0 }
models = [
    { name = "good", adapters = ["a"] }, { name = "refused" }, { name = "cut" }, { name = "short" }, { name = "wrong" },
]

[[faults]]
at_s = 30
address = "ENGINE"
path = "/engine/orders"
body = { id = "1", fencing = 1, kind = "load", name = "new", version = "1", bytes = 1 }

[[workspaces]]
name = "press"
key = "press-key"
loads = [{ requests_per_second = 200, input = { mean = 5 }, output = { mean = 3 } }]
bookings = [
    { path = "/bookings/seats", requests_per_second = 30, keyed = 1, repeated = 1 },
    { path = "/catalogue", method = "GET", requests_per_second = 30 },
]
"#;

/// Guards against endings that are counted as others, and against doubled executions that are missed, and against faults that are not
/// switched.
#[test]
fn a_run_counts_each_ending() {
    let executor = sync::Arc::new(net::Executor::new());
    let service = standin::Service::start(&executor, Default::default()).expect("a free port");
    let store = standin::Store::start(&executor, Default::default()).expect("a free port");
    let entry = net::Server::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let address = service.local_address();
    let entry = entry.start(executor.clone(), move |request: net::Request| async move {
        if request.path.starts_with("/v1/") {
            return answer(&request);
        }
        // The naive host runs a repetition again, and passes the caller's key on.
        let pool = net::Pool::default();
        let reply = pool
            .send(address, request, time::Duration::from_secs(9))
            .await;
        let reply = reply.expect("an answer");
        net::Response::new(reply.status).body(reply.bytes(1 << 20).await.expect("a body"))
    });
    let options = standin::engine::Options {
        site: standin::weights::Site {
            loads_per_second: 1e6,
            ..Default::default()
        },
        ..Default::default()
    };
    let engine = standin::Engine::start(&executor, options).expect("a free port");
    let mut plan = fixture::plan(&RUN.replace("ENGINE", &engine.local_address().to_string()));
    plan.entries = vec![entry.local_address()];
    plan.observe.services = vec![address];
    plan.observe.store = Some(store.local_address());
    plan.observe.engines = vec![engine.local_address()];
    let run = load::run(&executor, &plan, |_| {});
    let report = futures_lite::future::block_on(executor.run(run)).expect("a report");

    let arrivals: Vec<_> = load::Arrivals::new(&plan).collect();
    let sent = |name: &str| fixture::chats(&arrivals, |_, model| model == name) as u64;
    let (total, bookings) = (&report.total, report.repeated);
    assert_eq!(total.sent, arrivals.len() as u64);
    assert!(sent("good") > 10 && bookings > 10, "{report}");
    assert_eq!(total.refused["rate_limited"], sent("refused"), "{report}");
    assert_eq!(total.refused_within_rate, sent("refused"), "{report}");
    assert_eq!(total.cut, sent("cut") + sent("short"), "{report}");
    assert_eq!(total.wrong, sent("wrong"), "{report}");
    let lookups = total.sent - fixture::chats(&arrivals, |_, _| true) as u64 - bookings;
    assert!(lookups > 10);
    assert_eq!(
        total.attained,
        sent("good") + bookings + lookups,
        "{report}"
    );
    let observed = &report.observed;
    assert_eq!(observed.executions, Some(2 * bookings));
    assert_eq!(
        observed.doubled.as_ref().map(Vec::len),
        Some(bookings as usize)
    );
    assert_eq!(observed.with_authorization, Some(2 * bookings));
    assert_eq!(observed.store_calls_per_second, Some(0.0));
    assert_eq!(
        (observed.engine_orders, observed.model_loads),
        (Some(1), Some(1))
    );
    assert_eq!(report.accelerators, Some(2));
    // All arrivals are in one second, whose percentile is taken from the samples and not from the histogram.
    let (histogram, samples) = (
        total.first_token_ms.p95,
        report.seconds[0].first_token_p95_ms,
    );
    let samples = samples.expect("first tokens");
    // The histogram has whole microseconds and three digits.
    let tolerance = 0.002 + 0.002 * samples;
    assert!(
        (histogram - samples).abs() < tolerance,
        "{histogram} and {samples} ms"
    );
    serde_json::to_string(&report).expect("JSON");
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("load.svg");
    load::plot(&report, &file).expect("a plot");
    let svg = std::fs::read_to_string(&file).expect("a file");
    assert!(svg.contains("attained requests a second") && svg.ends_with("</svg>\n"));
}
