use std::sync;
use std::time;

use carawaycleat_core::config;
use carawaycleat_core::resource;
use carawaycleat_net as net;

use super::context;
use super::query;
use super::resources;

/// The time between two polls for changes.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The number of polls between two empty lines, which show a watcher that the connection is alive.
const POLLS_PER_KEEP_ALIVE: u32 = 50;

/// Streams the changes of resources as they are applied, one JSON object per line.
pub(super) fn watch(
    context: &sync::Arc<context::Context>,
    request: &net::Request,
) -> net::Response {
    let query = request.query.as_deref();
    let kind = match query::value(query, "kind")
        .map(str::parse::<resource::Kind>)
        .transpose()
    {
        Ok(kind) => kind,
        Err(error) => return resources::error_response(400, &error.to_string(), None),
    };
    let current = context.with_reducer(|reducer, _| reducer.configuration().revision());
    let since = match query::value(query, "since").map(str::parse).transpose() {
        Ok(since) => since.unwrap_or(current),
        Err(_) => return resources::error_response(400, "`since` must be a revision", None),
    };
    let is_available =
        context.with_reducer(|reducer, _| reducer.configuration().changes_since(since).is_some());
    if !is_available {
        return resources::error_response(
            410,
            "the changes since that revision are no longer kept",
            Some(current),
        );
    }
    let (writer, stream) = net::stream();
    context.spawn(follow(context.clone(), writer, since, kind));
    net::Response::new(200)
        .header("content-type", "application/x-ndjson")
        .stream(stream)
}

async fn follow(
    context: sync::Arc<context::Context>,
    writer: net::Writer,
    mut since: u64,
    kind: Option<resource::Kind>,
) {
    let mut polls = 0;
    while !context.is_draining() && !writer.is_closed() {
        let found = context.with_reducer(|reducer, _| {
            let cache = reducer.configuration();
            cache
                .changes_since(since)
                .map(|changes| (cache.revision(), changes))
        });
        // The connection of a watcher that is too far behind is closed; the watcher has to list the resources again.
        let Some((revision, changes)) = found else {
            return;
        };
        since = revision;
        let mut lines: Vec<u8> = changes
            .iter()
            .filter_map(|change| line(change, kind))
            .flatten()
            .collect();
        polls += 1;
        if lines.is_empty() && polls % POLLS_PER_KEEP_ALIVE == 0 {
            lines.push(b'\n');
        }
        if !lines.is_empty() && writer.send(lines).await.is_err() {
            return;
        }
        async_io::Timer::after(POLL_INTERVAL).await;
    }
    writer.finish();
}

fn line(change: &config::Change, kind: Option<resource::Kind>) -> Option<Vec<u8>> {
    let (kind_name, name) = change
        .key
        .strip_prefix(config::RESOURCE_PREFIX)?
        .split_once('/')?;
    let changed_kind: resource::Kind = kind_name.parse().ok()?;
    if kind.is_some_and(|kind| kind != changed_kind) {
        return None;
    }
    let record: Option<config::Record> = change
        .value
        .as_ref()
        .and_then(|value| serde_json::from_slice(value).ok());
    let resource = record.map(|record| record.resource);
    let body = serde_json::json!({
        "revision": change.revision, "kind": changed_kind, "name": name, "resource": resource,
    });
    let mut line = body.to_string().into_bytes();
    line.push(b'\n');
    Some(line)
}
