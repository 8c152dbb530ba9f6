use std::sync;
use std::time;

use carawaycleat_core::config;
use carawaycleat_core::name;
use carawaycleat_core::resource;
use carawaycleat_net as net;
use carawaycleat_store as store;

use super::context;
use super::exchange;
use crate::metric;

/// The time after which a write is reported even if no majority of the entry hosts has applied it.
const ACKNOWLEDGMENT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// The time between two exchanges with the peers to see whether they have applied a write.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// The maximum number of attempts to read back a write whose response was lost.
const MAX_READ_BACKS: u32 = 5;

/// The time before each attempt to read back.
const READ_BACK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// The state that a resource must have for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Precondition {
    Any,
    Absent,
    Revision(u64),
}

/// The outcome of a write.
enum Outcome {
    /// It took effect at this revision.
    Committed(u64),
    /// The resource was not as expected; it has this revision, or 0 when it does not exist.
    Conflict(u64),
    /// It may have taken effect, or may still.
    Unknown(String),
    /// It did not take effect.
    Failed(String),
}

/// Returns an error response, with the revision of the resource where it is known.
pub(super) fn error_response(status: u16, message: &str, revision: Option<u64>) -> net::Response {
    let kind = if status < 500 {
        "invalid_request_error"
    } else {
        "server_error"
    };
    let mut body = serde_json::json!({"error": {"message": message, "type": kind}});
    if let (Some(revision), Some(fields)) = (revision, body.as_object_mut()) {
        fields.insert("revision".to_owned(), revision.into());
    }
    net::Response::json(status, &body)
}

/// Lists the resources of a kind.
pub(super) fn list(context: &context::Context, kind: &str) -> net::Response {
    let Ok(kind) = kind.parse::<resource::Kind>() else {
        return error_response(404, &format!("no kind `{kind}`"), None);
    };
    context.with_reducer(|reducer, _| {
        let snapshot = reducer.configuration().snapshot();
        let found = snapshot.iter().filter(|(id, _)| id.kind == kind);
        let items: Vec<_> = found.map(|(id, entry)| item(&id.name, entry)).collect();
        let body = serde_json::json!({"revision": snapshot.revision(), "items": items});
        net::Response::json(200, &body)
    })
}

fn item(name: &name::Name, entry: &config::Entry) -> serde_json::Value {
    serde_json::json!({"name": name, "revision": entry.revision, "resource": entry.resource})
}

/// Reads, writes or deletes a resource.
pub(super) async fn handle(
    context: &sync::Arc<context::Context>,
    method: &str,
    kind: &str,
    name: &str,
    request: &net::Request,
) -> net::Response {
    let id = match (kind.parse(), name::Name::parse(name)) {
        (Ok(kind), Ok(name)) => resource::Id::new(kind, name),
        (Err(error), _) => return error_response(404, &error.to_string(), None),
        (_, Err(error)) => return error_response(400, &error.to_string(), None),
    };
    match method {
        "GET" => get(context, &id),
        "PUT" => put(context, &id, request).await,
        "DELETE" => delete(context, &id, request).await,
        _ => error_response(405, "allowed methods are GET, PUT and DELETE", None),
    }
}

fn get(context: &context::Context, id: &resource::Id) -> net::Response {
    context.with_reducer(
        |reducer, _| match reducer.configuration().snapshot().get(id) {
            Some(entry) => net::Response::json(200, &item(&id.name, entry))
                .header("etag", format!("\"{}\"", entry.revision)),
            None => error_response(404, &format!("no {id}"), None),
        },
    )
}

async fn put(
    context: &sync::Arc<context::Context>,
    id: &resource::Id,
    request: &net::Request,
) -> net::Response {
    let resource = match parse(id, &request.body) {
        Ok(resource) => resource,
        Err(message) => return error_response(400, &message, None),
    };
    let precondition = match precondition(&request.headers) {
        Ok(precondition) => precondition,
        Err(message) => return error_response(400, message, None),
    };
    let (check, current) = context.with_reducer(|reducer, _| {
        let snapshot = reducer.configuration().snapshot();
        (
            snapshot.check_put(id, &resource),
            snapshot.get(id).map(|entry| entry.revision),
        )
    });
    if let Err(error) = check {
        let is_conflict = error
            .problems()
            .iter()
            .all(|e| matches!(e, config::Error::Conflict(..)));
        return error_response(
            if is_conflict { 409 } else { 400 },
            &error.to_string(),
            current,
        );
    }
    let operation = format!("{:032x}", fastrand::u128(..));
    let record = config::Record {
        operation: operation.clone(),
        resource,
    };
    let value = serde_json::to_vec(&record).expect("a resource can always be written to memory");
    let key = config::key(id);
    // A write without a precondition is still bound to the revision that it was checked against, so that one of two
    // concurrent writes gets a conflict.
    let condition = match (precondition, current) {
        (Precondition::Absent, _) | (Precondition::Any, None) => {
            store::Condition::Absent(key.clone())
        }
        (Precondition::Revision(revision), _) | (Precondition::Any, Some(revision)) => {
            store::Condition::Modified(key.clone(), revision)
        }
    };
    let transaction = store::Transaction::new()
        .when(condition)
        .write(store::Write::put(key.clone(), value))
        .otherwise_get(key.clone());
    let is_own_write = |pair: Option<&store::Pair>| {
        let record =
            pair.and_then(|pair| serde_json::from_slice::<config::Record>(&pair.value).ok());
        record.is_some_and(|record| record.operation == operation)
    };
    let outcome = write(context, &key, &transaction, is_own_write).await;
    respond(context, id, precondition, current, outcome).await
}

async fn delete(
    context: &sync::Arc<context::Context>,
    id: &resource::Id,
    request: &net::Request,
) -> net::Response {
    let precondition = match precondition(&request.headers) {
        Ok(precondition) => precondition,
        Err(message) => return error_response(400, message, None),
    };
    let (check, current) = context.with_reducer(|reducer, _| {
        let snapshot = reducer.configuration().snapshot();
        (
            snapshot.check_delete(id),
            snapshot.get(id).map(|entry| entry.revision),
        )
    });
    let Some(current) = current else {
        return error_response(404, &format!("no {id}"), None);
    };
    if let Err(error) = check {
        return error_response(409, &error.to_string(), Some(current));
    }
    let revision = if let Precondition::Revision(revision) = precondition {
        revision
    } else {
        current
    };
    let key = config::key(id);
    let transaction = store::Transaction::new()
        .when(store::Condition::Modified(key.clone(), revision))
        .write(store::Write::delete(key.clone()))
        .otherwise_get(key.clone());
    // A missing key was deleted by this operation or by another delete, which has the same effect.
    let outcome = write(context, &key, &transaction, |pair| pair.is_none()).await;
    respond(context, id, precondition, Some(current), outcome).await
}

fn parse(id: &resource::Id, body: &[u8]) -> Result<resource::Resource, String> {
    let mut value: serde_json::Value =
        serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let Some(fields) = value.as_object_mut() else {
        return Err("the body must be an object".to_owned());
    };
    fields
        .entry("kind")
        .or_insert_with(|| id.kind.as_str().into());
    serde_json::from_value(value).map_err(|error| error.to_string())
}

fn precondition(headers: &net::Headers) -> Result<Precondition, &'static str> {
    match (headers.get("if-match"), headers.get("if-none-match")) {
        (None, None) => Ok(Precondition::Any),
        (None, Some("*")) => Ok(Precondition::Absent),
        (Some(tag), None) => {
            let revision = tag.trim().trim_matches('"').parse();
            revision
                .map(Precondition::Revision)
                .map_err(|_| "If-Match must be a revision in quotes")
        }
        _ => Err("allowed are If-Match with a revision, or If-None-Match: *"),
    }
}

/// Performs a write once. If the response is lost, the outcome is determined by reading back, never by writing again.
async fn write(
    context: &context::Context,
    key: &str,
    transaction: &store::Transaction,
    is_own_write: impl Fn(Option<&store::Pair>) -> bool,
) -> Outcome {
    let response = context.store.commit(transaction).await;
    context
        .metric
        .count_store_call(metric::Call::Transaction, response.is_ok());
    let error = match response {
        Ok(response) if response.succeeded => return Outcome::Committed(response.revision),
        Ok(response) => {
            return Outcome::Conflict(response.found.first().map_or(0, |pair| pair.mod_revision));
        }
        Err(error) if !error.may_have_run() => return Outcome::Failed(error.to_string()),
        Err(error) => error,
    };
    for _ in 0..MAX_READ_BACKS {
        async_io::Timer::after(READ_BACK_INTERVAL).await;
        let listing = context.store.get(key).await;
        context
            .metric
            .count_store_call(metric::Call::Range, listing.is_ok());
        if let Ok(listing) = listing
            && is_own_write(listing.pairs.first())
        {
            let revision = listing
                .pairs
                .first()
                .map_or(listing.revision, |pair| pair.mod_revision);
            return Outcome::Committed(revision);
        }
    }
    Outcome::Unknown(error.to_string())
}

async fn respond(
    context: &sync::Arc<context::Context>,
    id: &resource::Id,
    precondition: Precondition,
    current: Option<u64>,
    outcome: Outcome,
) -> net::Response {
    let revision = match outcome {
        Outcome::Committed(revision) => revision,
        Outcome::Conflict(current) => {
            let status = if matches!(precondition, Precondition::Revision(_)) {
                412
            } else {
                409
            };
            let message = match current {
                0 => format!("{id} does not exist"),
                current => format!("{id} was changed and has revision {current}"),
            };
            return error_response(status, &message, Some(current));
        }
        Outcome::Unknown(error) => {
            let message = format!("it is not known whether the write took effect: {error}");
            return error_response(504, &message, current);
        }
        Outcome::Failed(error) => {
            return error_response(
                503,
                &format!("the write did not take effect: {error}"),
                current,
            );
        }
    };
    let (applied, hosts, is_acknowledged) = wait_for_majority(context, revision).await;
    let status = match (is_acknowledged, current) {
        (false, _) => 202,
        (true, None) => 201,
        (true, Some(_)) => 200,
    };
    let body = serde_json::json!({
        "name": id.name, "revision": revision, "applied": applied, "hosts": hosts,
    });
    net::Response::json(status, &body).header("etag", format!("\"{revision}\""))
}

/// Waits until a majority of the entry hosts has applied `revision`.
async fn wait_for_majority(
    context: &sync::Arc<context::Context>,
    revision: u64,
) -> (usize, usize, bool) {
    let deadline = context.now() + ACKNOWLEDGMENT_TIMEOUT;
    loop {
        let (applied, hosts, is_acknowledged, has_timed_out) =
            context.with_reducer(|reducer, now| {
                let monitor = reducer.monitor();
                let hosts = super::roster::members(reducer.configuration()).len();
                let is_acknowledged = monitor.is_acknowledged(revision);
                (
                    monitor.applied_count(revision),
                    hosts,
                    is_acknowledged,
                    now >= deadline,
                )
            });
        if is_acknowledged || has_timed_out {
            return (applied, hosts, is_acknowledged);
        }
        // The next periodic exchange may be up to half a second away.
        exchange::start_all(context);
        async_io::Timer::after(POLL_INTERVAL).await;
    }
}
