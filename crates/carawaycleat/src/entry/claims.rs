//! Claims of idempotency keys in the store.

use std::collections;
use std::sync;
use std::time;

use carawaycleat_core::claim;
use carawaycleat_core::entry;
use carawaycleat_core::key;
use carawaycleat_core::outcome;
use carawaycleat_core::request;
use carawaycleat_store as store;

use super::context;
use crate::journal;
use crate::metric;

/// The prefix of claims in the store. It is outside the prefix that entry hosts watch, since no other host needs to be
/// notified of a claim.
const PREFIX: &str = "/carawaycleat/claim/";

/// The time for which a claim is kept.
const RETENTION: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// The time for which a lease is used for new claims. Leases last this much longer than the retention, so that each
/// claim is kept for at least the retention.
const LEASE_REUSE: time::Duration = time::Duration::from_secs(60 * 60);

/// The time between two store calls for one claim after a failure.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The time after which a request is refused if its claim is still undecided.
const CLAIM_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// The status recorded in a completed claim.
const STATUS_OK: u16 = 200;

/// The claims of requests that have not ended.
#[derive(Debug, Default)]
pub(super) struct Claims {
    active: sync::Mutex<collections::HashMap<request::Id, Claim>>,
    /// The lease of new claims, with which the store deletes them after their retention.
    lease: sync::Mutex<Option<Lease>>,
}

#[derive(Debug)]
struct Claim {
    machine: claim::Machine,
    key: String,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: i64,
    granted_at: time::Instant,
}

/// Records the claim of an idempotency key, which is prefixed by the workspace.
pub(super) async fn record(
    context: &sync::Arc<context::Context>,
    request: request::Id,
    idempotency_key: &str,
) -> Result<(), entry::Refusal> {
    // The digest keeps text of callers out of store keys and bounds the length of the keys.
    let key = format!("{PREFIX}{}", key::Digest::of(idempotency_key).to_hex());
    let started_at = context.now();
    let host = context.host().clone();
    let (mut machine, mut action) = claim::Machine::new(started_at, request.as_u128(), host);
    loop {
        match action {
            claim::Action::Dispatch => {
                let claim = Claim { machine, key };
                journal::lock(&context.claims.active).insert(request, claim);
                return Ok(());
            }
            claim::Action::Refuse(reason, outcome) => {
                let next = machine.begin_cleanup();
                context.spawn(run_to_end(context.clone(), Claim { machine, key }, next));
                return Err(refusal(reason, outcome));
            }
            store_action => {
                let event = perform(context, &key, store_action).await;
                let has_timed_out = context.now().since(started_at) >= CLAIM_TIMEOUT;
                let is_undecided = matches!(event, claim::Event::NoResponse | claim::Event::Absent);
                let event = if has_timed_out && is_undecided {
                    claim::Event::Deadline
                } else {
                    event
                };
                action = machine.step(context.now(), event);
            }
        }
    }
}

fn refusal(reason: outcome::Reason, outcome: outcome::Outcome) -> entry::Refusal {
    let message = match reason {
        outcome::Reason::DuplicateRequest => "the idempotency key was used before",
        _ => "the idempotency key could not be recorded",
    };
    entry::Refusal::new(reason, outcome, message)
}

/// Resolves the claim of a request that has ended.
pub(super) async fn resolve(
    context: sync::Arc<context::Context>,
    request: request::Id,
    outcome: outcome::Outcome,
) {
    let claim = journal::lock(&context.claims.active).remove(&request);
    if let Some(mut claim) = claim {
        let event = claim::Event::Ended(outcome, STATUS_OK);
        let action = claim.machine.step(context.now(), event);
        run_to_end(context, claim, action).await;
    }
}

/// Performs the actions of a claim until its state machine has ended.
async fn run_to_end(
    context: sync::Arc<context::Context>,
    mut claim: Claim,
    mut action: claim::Action,
) {
    while !claim.machine.has_ended() && action != claim::Action::Done {
        let event = perform(&context, &claim.key, action).await;
        action = claim.machine.step(context.now(), event);
    }
}

async fn perform(
    context: &sync::Arc<context::Context>,
    key: &str,
    action: claim::Action,
) -> claim::Event {
    match action {
        claim::Action::Create(record) => {
            let Some(lease) = lease(context).await else {
                async_io::Timer::after(RETRY_INTERVAL).await;
                return claim::Event::NoResponse;
            };
            let put = store::Write::put(key, encode(&record)).bound_to(lease);
            write(context, key, store::Condition::Absent(key.to_owned()), put).await
        }
        claim::Action::Replace(record, revision) => {
            let put = store::Write::put(key, encode(&record));
            // A write without the lease would detach the key from it, and the claim would never be deleted.
            let put = match lease(context).await {
                Some(lease) => put.bound_to(lease),
                None => put,
            };
            write(
                context,
                key,
                store::Condition::Modified(key.to_owned(), revision),
                put,
            )
            .await
        }
        claim::Action::Delete(revision) => {
            let condition = store::Condition::Modified(key.to_owned(), revision);
            write(context, key, condition, store::Write::delete(key)).await
        }
        claim::Action::ReadAt(at) => {
            let now = context.now();
            async_io::Timer::after(at.since(now).max(RETRY_INTERVAL)).await;
            read(context, key).await
        }
        claim::Action::Read => {
            async_io::Timer::after(RETRY_INTERVAL).await;
            read(context, key).await
        }
        claim::Action::Dispatch | claim::Action::Refuse(..) | claim::Action::Done => {
            claim::Event::Deadline
        }
    }
}

async fn write(
    context: &context::Context,
    key: &str,
    condition: store::Condition,
    write: store::Write,
) -> claim::Event {
    let transaction = store::Transaction::new()
        .when(condition)
        .write(write)
        .otherwise_get(key);
    let response = context.store.commit(&transaction).await;
    context
        .metric
        .count_store_call(metric::Call::Transaction, response.is_ok());
    match response {
        Ok(response) if response.succeeded => claim::Event::Written(response.revision),
        Ok(response) => to_event(response.found.first()),
        Err(_) => claim::Event::NoResponse,
    }
}

async fn read(context: &context::Context, key: &str) -> claim::Event {
    let response = context.store.get(key).await;
    context
        .metric
        .count_store_call(metric::Call::Range, response.is_ok());
    match response {
        Ok(listing) => to_event(listing.pairs.first()),
        Err(_) => claim::Event::NoResponse,
    }
}

fn to_event(pair: Option<&store::Pair>) -> claim::Event {
    let Some(pair) = pair else {
        return claim::Event::Absent;
    };
    match serde_json::from_slice(&pair.value) {
        Ok(record) => claim::Event::Found(record, pair.mod_revision),
        // A claim that cannot be decoded has no known owner: the request is refused after `CLAIM_TIMEOUT`.
        Err(_) => claim::Event::NoResponse,
    }
}

/// Returns the lease for new claims, and requests a new one from the store if the current one is too old.
async fn lease(context: &context::Context) -> Option<i64> {
    let current = *journal::lock(&context.claims.lease);
    if let Some(lease) = current.filter(|lease| lease.granted_at.elapsed() < LEASE_REUSE) {
        return Some(lease.id);
    }
    let granted_at = time::Instant::now();
    let response = context.store.grant(RETENTION + LEASE_REUSE).await;
    context
        .metric
        .count_store_call(metric::Call::Lease, response.is_ok());
    let id = response.ok()?.id;
    *journal::lock(&context.claims.lease) = Some(Lease { id, granted_at });
    Some(id)
}

fn encode(record: &claim::Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("a claim can always be written to memory")
}
