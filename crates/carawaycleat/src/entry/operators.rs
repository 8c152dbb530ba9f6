//! The interface for operators.

mod query;
mod resources;
mod stream;

use std::sync;

use carawaycleat_net as net;

use super::callers;
use super::context;
use super::exchange;
use super::roster;

/// Handles the request of an operator.
pub(super) async fn handle(
    context: sync::Arc<context::Context>,
    request: net::Request,
) -> net::Response {
    let path = request.path.clone();
    let parts: Vec<_> = path.split('/').skip(1).collect();
    match (request.method.as_str(), parts.as_slice()) {
        ("GET", ["healthz"]) => net::Response::new(200).body("ok"),
        ("GET", ["readyz"]) => callers::readiness(&context),
        ("GET", ["metrics"]) => metrics(&context),
        ("GET", ["timeline"]) => context.timeline(request.query.as_deref().unwrap_or_default()),
        ("GET", ["v1", "status"]) => status(&context),
        ("GET", ["v1", "watch"]) => stream::watch(&context, &request),
        ("GET", ["v1", "resources", kind]) => resources::list(&context, kind),
        (method, ["v1", "resources", kind, name]) => {
            resources::handle(&context, method, kind, name, &request).await
        }
        _ => resources::error_response(404, "no such path", None),
    }
}

/// Updates the gauges and returns a response with all metrics.
fn metrics(context: &context::Context) -> net::Response {
    context.update_gauges();
    net::Response::new(200)
        .header("content-type", "text/plain; version=0.0.4")
        .body(context.metric.render())
}

fn status(context: &context::Context) -> net::Response {
    let (status, peers) = context.with_reducer(|reducer, now| {
        (
            reducer.status(now),
            roster::members(reducer.configuration()),
        )
    });
    let mut body = serde_json::to_value(status).unwrap_or_default();
    if let Some(fields) = body.as_object_mut() {
        let is_ready = context.is_ready();
        fields.insert("ready".to_owned(), is_ready.into());
        fields.insert(
            "peers".to_owned(),
            serde_json::to_value(peers).unwrap_or_default(),
        );
    }
    net::Response::json(200, &body)
}
