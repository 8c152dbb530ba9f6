use std::sync;
use std::time;

use carawaycleat_core::config;
use carawaycleat_core::resource;
use carawaycleat_net as net;

use super::query;
use super::resources;
use super::shared;

/// The time between two looks for changes.
const LOOK: time::Duration = time::Duration::from_millis(100);

/// The looks between two empty lines, which tell a watcher that the connection is alive.
const LOOKS_PER_BEAT: u32 = 50;

/// Answers with the changes of resources as they are applied, one JSON object a line.
pub(super) fn watch(shared: &sync::Arc<shared::Shared>, request: &net::Request) -> net::Response {
    let query = request.query.as_deref();
    let kind = match query::value(query, "kind")
        .map(str::parse::<resource::Kind>)
        .transpose()
    {
        Ok(kind) => kind,
        Err(error) => return resources::failure(400, &error.to_string(), None),
    };
    let current = shared.with(|reducer, _| reducer.configuration().revision());
    let since = match query::value(query, "since").map(str::parse).transpose() {
        Ok(since) => since.unwrap_or(current),
        Err(_) => return resources::failure(400, "`since` must be a revision", None),
    };
    let is_kept = shared.with(|reducer, _| reducer.configuration().changes_since(since).is_some());
    if !is_kept {
        return resources::failure(
            410,
            "the changes since that revision are no longer kept",
            Some(current),
        );
    }
    let (writer, stream) = net::stream();
    shared.spawn(follow(shared.clone(), writer, since, kind));
    net::Response::new(200)
        .header("content-type", "application/x-ndjson")
        .stream(stream)
}

async fn follow(
    shared: sync::Arc<shared::Shared>,
    writer: net::Writer,
    mut since: u64,
    kind: Option<resource::Kind>,
) {
    let mut looks = 0;
    while !shared.is_draining() && !writer.is_closed() {
        let found = shared.with(|reducer, _| {
            let history = reducer.configuration();
            history
                .changes_since(since)
                .map(|changes| (history.revision(), changes))
        });
        // A watcher that is too far behind has its connection cut and lists again.
        let Some((revision, changes)) = found else {
            return;
        };
        since = revision;
        let mut lines: Vec<u8> = changes
            .iter()
            .filter_map(|change| line(change, kind))
            .flatten()
            .collect();
        looks += 1;
        if lines.is_empty() && looks % LOOKS_PER_BEAT == 0 {
            lines.push(b'\n');
        }
        if !lines.is_empty() && writer.send(lines).await.is_err() {
            return;
        }
        async_io::Timer::after(LOOK).await;
    }
    writer.finish();
}

fn line(change: &config::Change, kind: Option<resource::Kind>) -> Option<Vec<u8>> {
    let (found, name) = change
        .key
        .strip_prefix(config::RESOURCE_PREFIX)?
        .split_once('/')?;
    let found: resource::Kind = found.parse().ok()?;
    if kind.is_some_and(|kind| kind != found) {
        return None;
    }
    let record: Option<config::Record> = change
        .value
        .as_ref()
        .and_then(|value| serde_json::from_slice(value).ok());
    let resource = record.map(|record| record.resource);
    let body = serde_json::json!({
        "revision": change.revision, "kind": found, "name": name, "resource": resource,
    });
    let mut line = body.to_string().into_bytes();
    line.push(b'\n');
    Some(line)
}
