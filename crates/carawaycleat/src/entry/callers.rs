//! Requests of callers.

mod intake;
mod serving;
mod sink;

use std::sync;
use std::time;

use carawaycleat_core::entry;
use carawaycleat_core::outcome;
use carawaycleat_core::request;
use carawaycleat_core::resource;
use carawaycleat_core::timeline;
use carawaycleat_net as net;

use super::shared;
use crate::api;

/// The header of every answer that gives the identifier of the request, as in the timeline.
const REQUEST_HEADER: &str = "Carawaycleat-Request";

/// Answers a caller.
pub(super) async fn answer(
    shared: sync::Arc<shared::Shared>,
    request: net::Request,
) -> net::Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET" | "HEAD", "/healthz") => net::Response::new(200).body("ok"),
        ("GET" | "HEAD", "/readyz") => ready(&shared),
        _ => {
            let id = request::Id::from_u128(fastrand::u128(..));
            let (target, response) = serve(shared.clone(), id, request).await;
            shared.metric.count_request(target, response.status);
            response.header(REQUEST_HEADER, id.to_string())
        }
    }
}

/// Tells the load balancer whether to send requests here.
pub(super) fn ready(shared: &shared::Shared) -> net::Response {
    if shared.is_ready() {
        net::Response::new(200).body("ready")
    } else {
        net::Response::new(503).body("not ready")
    }
}

async fn serve(
    shared: sync::Arc<shared::Shared>,
    id: request::Id,
    request: net::Request,
) -> (Option<resource::Target>, net::Response) {
    let arrived = time::Instant::now();
    let is_listing = request.method == "GET" && request.path == "/v1/models";
    let intake = match intake::Intake::read(&shared, id, request) {
        Ok(intake) => intake,
        Err((target, refusal)) => {
            let mut record = entry::Record::new(timeline::Kind::Refused);
            record.request = Some(id);
            shared.note(record.detail(refusal.reason.as_str()));
            shared.metric.count_refusal(refusal.reason);
            return (target, refusal.to_response());
        }
    };
    if is_listing {
        return (Some(resource::Target::Models), models(&shared, &intake));
    }
    let target = intake.target;
    (Some(target), serving::serve(shared, intake, arrived).await)
}

/// Lists the models and their adapters, for callers with a valid key.
fn models(shared: &shared::Shared, intake: &intake::Intake) -> net::Response {
    let checked = shared.with(|reducer, now| reducer.authorize_listing(now, &intake.arrival));
    if let Err(refusal) = checked {
        shared.metric.count_refusal(refusal.reason);
        return api::Refusal::from(refusal).to_response();
    }
    let names = shared.with(|reducer, _| {
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

/// Returns a refusal of a request that did not run.
fn refuse(reason: outcome::Reason, message: impl Into<String>) -> api::Refusal {
    api::Refusal::not_run(reason, message)
}
