//! The interface for callers.

mod handler;
mod inbound;
mod sink;

use std::sync;
use std::time;

use carawaycleat_core::entry;
use carawaycleat_core::outcome;
use carawaycleat_core::request;
use carawaycleat_core::resource;
use carawaycleat_core::timeline;
use carawaycleat_net as net;

use super::context;
use crate::api;

/// The response header with the identifier of the request, as used in the timeline.
const REQUEST_HEADER: &str = "Carawaycleat-Request";

/// Handles the request of a caller.
pub(super) async fn handle(
    context: sync::Arc<context::Context>,
    request: net::Request,
) -> net::Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET" | "HEAD", "/healthz") => net::Response::new(200).body("ok"),
        ("GET" | "HEAD", "/readyz") => readiness(&context),
        _ => {
            let id = request::Id::from_u128(fastrand::u128(..));
            let (target, response) = serve(context.clone(), id, request).await;
            context.metric.count_request(target, response.status);
            response.header(REQUEST_HEADER, id.to_string())
        }
    }
}

/// Returns the readiness of this host for the load balancer.
pub(super) fn readiness(context: &context::Context) -> net::Response {
    if context.is_ready() {
        net::Response::new(200).body("ready")
    } else {
        net::Response::new(503).body("not ready")
    }
}

async fn serve(
    context: sync::Arc<context::Context>,
    id: request::Id,
    request: net::Request,
) -> (Option<resource::Target>, net::Response) {
    let received_at = time::Instant::now();
    let is_listing = request.method == "GET" && request.path == "/v1/models";
    let inbound = match inbound::Request::read(&context, id, request) {
        Ok(inbound) => inbound,
        Err((target, refusal)) => {
            let mut record = entry::Record::new(timeline::Kind::Refused);
            record.request = Some(id);
            context.record(record.detail(refusal.reason.as_str()));
            context.metric.count_refusal(refusal.reason);
            return (target, refusal.to_response());
        }
    };
    if is_listing {
        return (
            Some(resource::Target::Models),
            list_models(&context, &inbound),
        );
    }
    let target = inbound.target;
    (
        Some(target),
        handler::handle(context, inbound, received_at).await,
    )
}

/// Lists the models and their adapters, for callers with a valid key.
fn list_models(context: &context::Context, inbound: &inbound::Request) -> net::Response {
    let authorized =
        context.with_reducer(|reducer, now| reducer.authorize_listing(now, &inbound.request));
    if let Err(refusal) = authorized {
        context.metric.count_refusal(refusal.reason);
        return api::Refusal::from(refusal).to_response();
    }
    let names = context.with_reducer(|reducer, _| {
        let snapshot = reducer.configuration().snapshot();
        let models = snapshot.models().map(|(name, _)| name.to_string());
        let adapters = snapshot
            .adapters()
            .map(|(name, adapter)| format!("{}:{name}", adapter.model));
        models.chain(adapters).collect::<Vec<_>>()
    });
    let model = |id| serde_json::json!({"id": id, "object": "model", "created": 0, "owned_by": "carawaycleat"});
    let data: Vec<_> = names.into_iter().map(model).collect();
    net::Response::json(200, &serde_json::json!({"object": "list", "data": data}))
}

/// Returns a refusal with the outcome that the request did not run.
fn refuse(reason: outcome::Reason, message: impl Into<String>) -> api::Refusal {
    api::Refusal::not_run(reason, message)
}
