use std::sync;
use std::time;

use carawaycleat_core::config;
use carawaycleat_core::name;
use carawaycleat_core::resource;
use carawaycleat_net as net;
use carawaycleat_store as store;

use super::exchange;
use super::shared;
use crate::metric;

/// The longest wait until a majority of the entry hosts has applied a write.
const ACKNOWLEDGED_WITHIN: time::Duration = time::Duration::from_secs(3);

/// The time between two questions to the peers whether they have applied a write.
const LOOK: time::Duration = time::Duration::from_millis(25);

/// The attempts to read back a write whose answer was lost.
const READ_BACKS: u32 = 5;

/// The time between two attempts to read back.
const READ_BACK_PAUSE: time::Duration = time::Duration::from_millis(200);

/// The state that a write expects of its resource.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Expected {
    Anything,
    Absent,
    Revision(u64),
}

/// What became of a write.
enum Written {
    /// It took effect at this revision.
    At(u64),
    /// The resource was not as expected; it has this revision, or 0 when it does not exist.
    Conflict(u64),
    /// It may have taken effect, or may still.
    Unknown(String),
    /// It did not take effect.
    Failed(String),
}

/// Answers with an error.
pub(super) fn failure(status: u16, message: &str, revision: Option<u64>) -> net::Response {
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
pub(super) fn list(shared: &shared::Shared, kind: &str) -> net::Response {
    let Ok(kind) = kind.parse::<resource::Kind>() else {
        return failure(404, &format!("no kind `{kind}`"), None);
    };
    shared.with(|reducer, _| {
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
pub(super) async fn one(
    shared: &sync::Arc<shared::Shared>,
    method: &str,
    kind: &str,
    name: &str,
    request: &net::Request,
) -> net::Response {
    let id = match (kind.parse(), name::Name::parse(name)) {
        (Ok(kind), Ok(name)) => resource::Id::new(kind, name),
        (Err(error), _) => return failure(404, &error.to_string(), None),
        (_, Err(error)) => return failure(400, &error.to_string(), None),
    };
    match method {
        "GET" => get(shared, &id),
        "PUT" => put(shared, &id, request).await,
        "DELETE" => delete(shared, &id, request).await,
        _ => failure(405, "allowed methods are GET, PUT and DELETE", None),
    }
}

fn get(shared: &shared::Shared, id: &resource::Id) -> net::Response {
    shared.with(
        |reducer, _| match reducer.configuration().snapshot().get(id) {
            Some(entry) => net::Response::json(200, &item(&id.name, entry))
                .header("etag", format!("\"{}\"", entry.revision)),
            None => failure(404, &format!("no {id}"), None),
        },
    )
}

async fn put(
    shared: &sync::Arc<shared::Shared>,
    id: &resource::Id,
    request: &net::Request,
) -> net::Response {
    let resource = match parse(id, &request.body) {
        Ok(resource) => resource,
        Err(message) => return failure(400, &message, None),
    };
    let expected = match expected(&request.headers) {
        Ok(expected) => expected,
        Err(message) => return failure(400, message, None),
    };
    let (checked, known) = shared.with(|reducer, _| {
        let snapshot = reducer.configuration().snapshot();
        (
            snapshot.check_put(id, &resource),
            snapshot.get(id).map(|entry| entry.revision),
        )
    });
    if let Err(error) = checked {
        let is_conflict = error
            .problems()
            .iter()
            .all(|e| matches!(e, config::Error::Conflict(..)));
        return failure(
            if is_conflict { 409 } else { 400 },
            &error.to_string(),
            known,
        );
    }
    let operation = format!("{:032x}", fastrand::u128(..));
    let record = config::Record {
        operation: operation.clone(),
        resource,
    };
    let value = serde_json::to_vec(&record).expect("a resource can always be written to memory");
    let key = config::key(id);
    // A write without a condition still names the revision that it was checked against, so that of two operators who
    // race one gets a conflict.
    let condition = match (expected, known) {
        (Expected::Absent, _) | (Expected::Anything, None) => store::Condition::Absent(key.clone()),
        (Expected::Revision(revision), _) | (Expected::Anything, Some(revision)) => {
            store::Condition::Modified(key.clone(), revision)
        }
    };
    let transaction = store::Transaction::new()
        .when(condition)
        .write(store::Write::put(key.clone(), value))
        .otherwise_get(key.clone());
    let is_mine = |pair: Option<&store::Pair>| {
        let record =
            pair.and_then(|pair| serde_json::from_slice::<config::Record>(&pair.value).ok());
        record.is_some_and(|record| record.operation == operation)
    };
    let written = write(shared, &key, &transaction, is_mine).await;
    finish(shared, id, expected, known, written).await
}

async fn delete(
    shared: &sync::Arc<shared::Shared>,
    id: &resource::Id,
    request: &net::Request,
) -> net::Response {
    let expected = match expected(&request.headers) {
        Ok(expected) => expected,
        Err(message) => return failure(400, message, None),
    };
    let (checked, known) = shared.with(|reducer, _| {
        let snapshot = reducer.configuration().snapshot();
        (
            snapshot.check_delete(id),
            snapshot.get(id).map(|entry| entry.revision),
        )
    });
    let Some(known) = known else {
        return failure(404, &format!("no {id}"), None);
    };
    if let Err(error) = checked {
        return failure(409, &error.to_string(), Some(known));
    }
    let revision = if let Expected::Revision(revision) = expected {
        revision
    } else {
        known
    };
    let key = config::key(id);
    let transaction = store::Transaction::new()
        .when(store::Condition::Modified(key.clone(), revision))
        .write(store::Write::delete(key.clone()))
        .otherwise_get(key.clone());
    // Nothing else deletes, so that a key which is gone was deleted by this operation or by another to the same effect.
    let written = write(shared, &key, &transaction, |pair| pair.is_none()).await;
    finish(shared, id, expected, Some(known), written).await
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

fn expected(headers: &net::Headers) -> Result<Expected, &'static str> {
    match (headers.get("if-match"), headers.get("if-none-match")) {
        (None, None) => Ok(Expected::Anything),
        (None, Some("*")) => Ok(Expected::Absent),
        (Some(tag), None) => {
            let revision = tag.trim().trim_matches('"').parse();
            revision
                .map(Expected::Revision)
                .map_err(|_| "If-Match must be a revision in quotes")
        }
        _ => Err("allowed are If-Match with a revision, or If-None-Match: *"),
    }
}

/// Performs a write once. A lost answer is settled by reading back, never by writing again.
async fn write(
    shared: &shared::Shared,
    key: &str,
    transaction: &store::Transaction,
    is_mine: impl Fn(Option<&store::Pair>) -> bool,
) -> Written {
    let answer = shared.store.commit(transaction).await;
    shared
        .metric
        .count_store_call(metric::Call::Transaction, answer.is_ok());
    let error = match answer {
        Ok(answer) if answer.succeeded => return Written::At(answer.revision),
        Ok(answer) => {
            return Written::Conflict(answer.found.first().map_or(0, |pair| pair.mod_revision));
        }
        Err(error) if !error.may_have_run() => return Written::Failed(error.to_string()),
        Err(error) => error,
    };
    for _ in 0..READ_BACKS {
        async_io::Timer::after(READ_BACK_PAUSE).await;
        let listing = shared.store.get(key).await;
        shared
            .metric
            .count_store_call(metric::Call::Range, listing.is_ok());
        if let Ok(listing) = listing
            && is_mine(listing.pairs.first())
        {
            let revision = listing
                .pairs
                .first()
                .map_or(listing.revision, |pair| pair.mod_revision);
            return Written::At(revision);
        }
    }
    Written::Unknown(error.to_string())
}

async fn finish(
    shared: &sync::Arc<shared::Shared>,
    id: &resource::Id,
    expected: Expected,
    known: Option<u64>,
    written: Written,
) -> net::Response {
    let revision = match written {
        Written::At(revision) => revision,
        Written::Conflict(current) => {
            let status = if matches!(expected, Expected::Revision(_)) {
                412
            } else {
                409
            };
            let message = match current {
                0 => format!("{id} does not exist"),
                current => format!("{id} was changed and has revision {current}"),
            };
            return failure(status, &message, Some(current));
        }
        Written::Unknown(error) => {
            let message = format!("it is not known whether the write took effect: {error}");
            return failure(504, &message, known);
        }
        Written::Failed(error) => {
            return failure(
                503,
                &format!("the write did not take effect: {error}"),
                known,
            );
        }
    };
    let (applied, hosts, is_acknowledged) = acknowledge(shared, revision).await;
    let status = match (is_acknowledged, known) {
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
async fn acknowledge(shared: &sync::Arc<shared::Shared>, revision: u64) -> (usize, usize, bool) {
    let deadline = shared.now() + ACKNOWLEDGED_WITHIN;
    loop {
        let (applied, hosts, is_acknowledged, is_late) = shared.with(|reducer, now| {
            let monitor = reducer.monitor();
            let hosts = super::members::of(reducer.configuration()).len();
            let is_acknowledged = monitor.is_acknowledged(revision);
            (
                monitor.applied_count(revision),
                hosts,
                is_acknowledged,
                now >= deadline,
            )
        });
        if is_acknowledged || is_late {
            return (applied, hosts, is_acknowledged);
        }
        // The next exchange in turn would come up to half a second later.
        exchange::with_all(shared);
        async_io::Timer::after(LOOK).await;
    }
}
