//! What callers see of mistakes in their requests.

use carawaycleat_net as net;
use carawaycleat_standin::setup;

use crate::metrics;

/// A request and the answer that it must get.
struct Case {
    what: &'static str,
    request: net::Request,
    status: u16,
    code: &'static str,
    /// A part of the message that tells the caller what to change.
    message: &'static str,
}

fn post(setup: &setup::Setup, body: &str) -> net::Request {
    keyed(
        setup,
        net::Request::new("POST", "/v1/chat/completions").body(body),
    )
}

fn keyed(setup: &setup::Setup, request: net::Request) -> net::Request {
    request.header("authorization", format!("Bearer {}", setup.secret(0)))
}

fn chat(setup: &setup::Setup, fields: &str) -> net::Request {
    let messages = "\"messages\":[{\"role\":\"user\",\"content\":\"Plan\"}]";
    post(setup, &format!("{{{messages},{fields}}}"))
}

fn case(
    what: &'static str,
    request: net::Request,
    status: u16,
    code: &'static str,
    message: &'static str,
) -> Case {
    Case {
        what,
        request,
        status,
        code,
        message,
    }
}

fn bodies(setup: &setup::Setup) -> Vec<Case> {
    let invalid = |what, request, message| case(what, request, 400, "invalid_request", message);
    let model = "\"model\":\"model-1\"";
    vec![
        invalid("cut JSON", post(setup, "{\"model\":"), "JSON"),
        invalid("no object", post(setup, "[]"), "JSON object"),
        invalid(
            "fields in a list",
            post(
                setup,
                "[\"model-1\",null,null,[{\"role\":\"user\"}],8,null,1,false,null]",
            ),
            "JSON object",
        ),
        invalid(
            "a number in words",
            chat(setup, &format!("{model},\"max_tokens\":\"many\"")),
            "expected u64",
        ),
        invalid("no model", chat(setup, "\"stream\":true"), "`model`"),
        invalid(
            "no messages",
            post(setup, "{\"model\":\"model-1\"}"),
            "`messages`",
        ),
        invalid(
            "two answers",
            chat(setup, &format!("{model},\"n\":2")),
            "`n`",
        ),
        invalid(
            "no tokens",
            chat(setup, &format!("{model},\"max_tokens\":0")),
            "`max_tokens`",
        ),
        invalid(
            "more tokens than any model has",
            chat(setup, &format!("{model},\"max_tokens\":2000000")),
            "`max_tokens`",
        ),
        case(
            "more tokens than the burst",
            chat(setup, &format!("{model},\"max_tokens\":1000000")),
            429,
            "exceeds_burst",
            "burst",
        ),
        case(
            "unknown model",
            chat(setup, "\"model\":\"model-99\""),
            404,
            "unknown_model",
            "model-99",
        ),
        case(
            "unknown adapter",
            chat(setup, &format!("{model},\"adapter\":\"none\"")),
            404,
            "unknown_model",
            "adapter `none`",
        ),
        case(
            "unknown adapter in the model",
            chat(setup, "\"model\":\"model-1:none\""),
            404,
            "unknown_model",
            "adapter `none`",
        ),
    ]
}

fn heads(setup: &setup::Setup) -> Vec<Case> {
    let whole = || chat(setup, "\"model\":\"model-1\"");
    let to = |method: &str, path: &str| keyed(setup, net::Request::new(method, path));
    let plain = || net::Request::new("POST", "/jobs").body("{}");
    vec![
        case(
            "unknown class",
            whole().header("Carawaycleat-Class", "urgent"),
            400,
            "invalid_request",
            "live, short or batch",
        ),
        case(
            "deadline in words",
            whole().header("Carawaycleat-Deadline-Ms", "soon"),
            400,
            "invalid_request",
            "milliseconds",
        ),
        case(
            "long idempotency key",
            whole().header("Idempotency-Key", "k".repeat(257)),
            400,
            "invalid_request",
            "256 bytes",
        ),
        case("no key", plain(), 401, "missing_key", "key"),
        case(
            "key of another scheme",
            plain().header("authorization", "Basic abc"),
            401,
            "missing_key",
            "Bearer",
        ),
        case(
            "unknown key",
            plain().header("authorization", "Bearer nobody"),
            401,
            "unknown_key",
            "not valid",
        ),
        case(
            "unknown path of models",
            to("POST", "/v1/embeddings"),
            404,
            "unknown_route",
            "/v1/embeddings",
        ),
        case(
            "unknown path",
            to("GET", "/nothing"),
            404,
            "unknown_route",
            "/nothing",
        ),
        case(
            "GET for POST",
            to("GET", "/v1/chat/completions"),
            405,
            "unknown_route",
            "GET",
        ),
        case(
            "OPTIONS",
            to("OPTIONS", "/v1/chat/completions"),
            405,
            "unknown_route",
            "OPTIONS",
        ),
        case(
            "POST for GET",
            to("POST", "/v1/models"),
            405,
            "unknown_route",
            "POST",
        ),
    ]
}

/// Returns what is wrong with the answer, or none.
async fn check(setup: &setup::Setup, case: Case) -> Option<String> {
    let (status, headers, text) = metrics::send(setup, case.request).await;
    let body: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let error = &body["error"];
    let message = error["message"].as_str().unwrap_or_default();
    let request = headers.get("carawaycleat-request");
    let is_right = status == case.status
        && error["code"] == case.code
        && error["outcome"] == "not_run"
        && error["type"].is_string()
        && message.contains(case.message)
        && headers.get("carawaycleat-outcome") == Some("not_run")
        && request.is_some_and(|id| id.len() == 32)
        && headers.get("allow").is_some() == (status == 405)
        && headers.get("www-authenticate") == (status == 401).then_some("Bearer");
    (!is_right).then(|| format!("{}: {status} {headers:?} {text}", case.what))
}

/// Guards against an answer to a wrong request that does not say what is wrong, or in another form than documented.
#[test]
fn a_wrong_request_gets_a_clear_answer() {
    metrics::with_setup(setup::Plan::default(), |setup| async move {
        let mut wrong = Vec::new();
        for case in bodies(&setup).into_iter().chain(heads(&setup)) {
            wrong.extend(check(&setup, case).await);
        }
        assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    });
}

/// Guards against a body after HEAD, which the next answer on the connection would be taken from.
#[test]
fn head_has_no_body() {
    metrics::with_setup(setup::Plan::default(), |setup| async move {
        for (path, expected) in [("/readyz", 200), ("/healthz", 200), ("/v1/models", 405)] {
            let request = keyed(&setup, net::Request::new("HEAD", path));
            let (status, _, text) = metrics::send(&setup, request).await;
            assert_eq!((status, text.as_str()), (expected, ""), "{path}");
            let next = keyed(&setup, net::Request::new("GET", "/v1/models"));
            let (status, _, text) = metrics::send(&setup, next).await;
            assert!(status == 200 && text.contains("model-1"), "{path}: {text}");
        }
    });
}
