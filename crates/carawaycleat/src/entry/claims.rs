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

use super::shared;
use crate::journal;
use crate::metric;

/// The prefix of claims in the store, outside of what entry hosts watch: no host needs to hear of each claim.
const PREFIX: &str = "/carawaycleat/claim/";

/// The time for which a claim is kept.
const RETENTION: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// The time after which a lease for new claims is asked for; each claim then lives for at least the retention.
const LEASE_EVERY: time::Duration = time::Duration::from_secs(60 * 60);

/// The time between two calls to the store about one claim after a failure.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// The longest time until a claim is granted or the request refused.
const DEADLINE: time::Duration = time::Duration::from_secs(3);

/// The status that a completed claim shows.
const STATUS_OK: u16 = 200;

/// The claims of requests that have not ended.
#[derive(Debug, Default)]
pub(super) struct Claims {
    open: sync::Mutex<collections::HashMap<request::Id, Claim>>,
    /// The lease that new claims are bound to, so that the store deletes them when their retention has ended.
    lease: sync::Mutex<Option<Lease>>,
}

#[derive(Debug)]
struct Claim {
    flow: claim::Machine,
    key: String,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: i64,
    granted: time::Instant,
}

/// Records the claim of an idempotency key, which has the workspace in front.
pub(super) async fn record(
    shared: &sync::Arc<shared::Shared>,
    request: request::Id,
    idempotency_key: &str,
) -> Result<(), entry::Refusal> {
    // The digest keeps callers' text out of the store's keys and bounds their length.
    let key = format!("{PREFIX}{}", key::Digest::of(idempotency_key).to_hex());
    let started = shared.now();
    let host = shared.host().clone();
    let (mut flow, mut action) = claim::Machine::new(started, request.as_u128(), host);
    loop {
        match action {
            claim::Action::Dispatch => {
                let claim = Claim { flow, key };
                journal::lock(&shared.claims.open).insert(request, claim);
                return Ok(());
            }
            claim::Action::Refuse(reason, outcome) => {
                let next = flow.begin_cleanup();
                shared.spawn(finish(shared.clone(), Claim { flow, key }, next));
                return Err(refusal(reason, outcome));
            }
            action_ => {
                let event = perform(shared, &key, action_).await;
                let is_late = shared.now().since(started) >= DEADLINE;
                let is_open = matches!(event, claim::Event::NoResponse | claim::Event::Absent);
                let event = if is_late && is_open {
                    claim::Event::Deadline
                } else {
                    event
                };
                action = flow.step(shared.now(), event);
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

/// Settles the claim of a request that has ended.
pub(super) async fn settle(
    shared: sync::Arc<shared::Shared>,
    request: request::Id,
    outcome: outcome::Outcome,
) {
    let claim = journal::lock(&shared.claims.open).remove(&request);
    if let Some(mut claim) = claim {
        let event = claim::Event::Ended(outcome, STATUS_OK);
        let action = claim.flow.step(shared.now(), event);
        finish(shared, claim, action).await;
    }
}

/// Carries a flow to its end.
async fn finish(shared: sync::Arc<shared::Shared>, mut claim: Claim, mut action: claim::Action) {
    while !claim.flow.has_ended() && action != claim::Action::Done {
        let event = perform(&shared, &claim.key, action).await;
        action = claim.flow.step(shared.now(), event);
    }
}

async fn perform(
    shared: &sync::Arc<shared::Shared>,
    key: &str,
    action: claim::Action,
) -> claim::Event {
    match action {
        claim::Action::Create(record) => {
            let Some(lease) = lease(shared).await else {
                async_io::Timer::after(PAUSE).await;
                return claim::Event::NoResponse;
            };
            let put = store::Write::put(key, encode(&record)).bound_to(lease);
            write(shared, key, store::Condition::Absent(key.to_owned()), put).await
        }
        claim::Action::Replace(record, revision) => {
            let put = store::Write::put(key, encode(&record));
            // The lease is kept by naming it again; without it the claim would never be deleted.
            let put = match lease(shared).await {
                Some(lease) => put.bound_to(lease),
                None => put,
            };
            write(
                shared,
                key,
                store::Condition::Modified(key.to_owned(), revision),
                put,
            )
            .await
        }
        claim::Action::Delete(revision) => {
            let condition = store::Condition::Modified(key.to_owned(), revision);
            write(shared, key, condition, store::Write::delete(key)).await
        }
        claim::Action::ReadAt(at) => {
            let now = shared.now();
            async_io::Timer::after(at.since(now).max(PAUSE)).await;
            read(shared, key).await
        }
        claim::Action::Read => {
            async_io::Timer::after(PAUSE).await;
            read(shared, key).await
        }
        claim::Action::Dispatch | claim::Action::Refuse(..) | claim::Action::Done => {
            claim::Event::Deadline
        }
    }
}

async fn write(
    shared: &shared::Shared,
    key: &str,
    condition: store::Condition,
    write: store::Write,
) -> claim::Event {
    let transaction = store::Transaction::new()
        .when(condition)
        .write(write)
        .otherwise_get(key);
    let answer = shared.store.commit(&transaction).await;
    shared
        .metric
        .count_store_call(metric::Call::Transaction, answer.is_ok());
    match answer {
        Ok(answer) if answer.succeeded => claim::Event::Written(answer.revision),
        Ok(answer) => found(answer.found.first()),
        Err(_) => claim::Event::NoResponse,
    }
}

async fn read(shared: &shared::Shared, key: &str) -> claim::Event {
    let answer = shared.store.get(key).await;
    shared
        .metric
        .count_store_call(metric::Call::Range, answer.is_ok());
    match answer {
        Ok(listing) => found(listing.pairs.first()),
        Err(_) => claim::Event::NoResponse,
    }
}

fn found(pair: Option<&store::Pair>) -> claim::Event {
    let Some(pair) = pair else {
        return claim::Event::Absent;
    };
    match serde_json::from_slice(&pair.value) {
        Ok(record) => claim::Event::Found(record, pair.mod_revision),
        // A claim that cannot be read is nobody's: the request is refused when its time is over.
        Err(_) => claim::Event::NoResponse,
    }
}

/// Returns the lease for new claims.
async fn lease(shared: &shared::Shared) -> Option<i64> {
    let known = *journal::lock(&shared.claims.lease);
    if let Some(lease) = known.filter(|lease| lease.granted.elapsed() < LEASE_EVERY) {
        return Some(lease.id);
    }
    let granted = time::Instant::now();
    let answer = shared.store.grant(RETENTION + LEASE_EVERY).await;
    shared
        .metric
        .count_store_call(metric::Call::Lease, answer.is_ok());
    let id = answer.ok()?.id;
    *journal::lock(&shared.claims.lease) = Some(Lease { id, granted });
    Some(id)
}

fn encode(record: &claim::Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("a claim can always be written to memory")
}
