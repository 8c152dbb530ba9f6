use std::sync;

use carawaycleat_core::entry;
use carawaycleat_core::outcome;
use carawaycleat_core::request;

use super::shared;

/// Records the claim of an idempotency key.
pub(super) async fn record(
    _shared: &shared::Shared,
    _request: request::Id,
    _key: &str,
) -> Result<(), entry::Refusal> {
    let reason = outcome::Reason::ClaimUnavailable;
    Err(entry::Refusal::not_run(
        reason,
        "the claim could not be recorded",
    ))
}

/// Deletes the claim of a request that did not run.
pub(super) async fn remove(_shared: sync::Arc<shared::Shared>, _request: request::Id) {}

/// Notes in the claim that the request has run.
pub(super) async fn complete(_shared: sync::Arc<shared::Shared>, _request: request::Id) {}
