//! The interface towards operators.

mod query;
mod resources;
mod stream;

use std::sync;

use carawaycleat_net as net;

use super::callers;
use super::exchange;
use super::members;
use super::shared;

/// Answers an operator.
pub(super) async fn answer(
    shared: sync::Arc<shared::Shared>,
    request: net::Request,
) -> net::Response {
    let path = request.path.clone();
    let parts: Vec<_> = path.split('/').skip(1).collect();
    match (request.method.as_str(), parts.as_slice()) {
        ("GET", ["healthz"]) => net::Response::new(200).body("ok"),
        ("GET", ["readyz"]) => callers::ready(&shared),
        ("GET", ["metrics"]) => metrics(&shared),
        ("GET", ["timeline"]) => shared.timeline(request.query.as_deref().unwrap_or_default()),
        ("GET", ["v1", "status"]) => status(&shared),
        ("GET", ["v1", "watch"]) => stream::watch(&shared, &request),
        ("GET", ["v1", "resources", kind]) => resources::list(&shared, kind),
        (method, ["v1", "resources", kind, name]) => {
            resources::one(&shared, method, kind, name, &request).await
        }
        _ => resources::failure(404, "no such path", None),
    }
}

/// Answers with the metrics; gauges are read at this moment.
fn metrics(shared: &shared::Shared) -> net::Response {
    shared.update_gauges();
    net::Response::new(200)
        .header("content-type", "text/plain; version=0.0.4")
        .body(shared.metric.render())
}

fn status(shared: &shared::Shared) -> net::Response {
    let (status, peers) =
        shared.with(|reducer, now| (reducer.status(now), members::of(reducer.configuration())));
    let mut body = serde_json::to_value(status).unwrap_or_default();
    if let Some(fields) = body.as_object_mut() {
        let is_ready = shared.is_ready();
        fields.insert("ready".to_owned(), is_ready.into());
        fields.insert(
            "peers".to_owned(),
            serde_json::to_value(peers).unwrap_or_default(),
        );
    }
    net::Response::json(200, &body)
}
