use std::sync;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::config;
use carawaycleat_core::entry;
use carawaycleat_store as store;

use super::context;
use crate::log;
use crate::metric;

/// The time without a message after which a watch has failed; the store sends a progress notification each second.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// The time between two attempts to reach the store.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// The time between two checks that the cached configuration has the latest revision of the store.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Loads the configuration from the store and watches it for changes, as long as the process runs.
pub(super) async fn follow(context: sync::Arc<context::Context>) {
    let mut is_reachable = true;
    loop {
        if !context.is_watcher() {
            async_io::Timer::after(CHECK_INTERVAL).await;
            continue;
        }
        let ended = match load(&context).await {
            Ok(revision) => {
                if !is_reachable {
                    log::info("the store is reachable again");
                }
                is_reachable = true;
                watch(&context, revision).await
            }
            Err(error) => Err(error),
        };
        let Err(error) = ended else { continue };
        if is_reachable {
            log::warn(&format!("cannot watch the store: {error}"));
            is_reachable = false;
        }
        async_io::Timer::after(RETRY_INTERVAL).await;
    }
}

/// Loads the whole configuration and returns its revision.
async fn load(context: &sync::Arc<context::Context>) -> store::Result<u64> {
    let sent_at = context.now();
    let listing = context.store.list(config::PREFIX).await;
    context
        .metric
        .count_store_call(metric::Call::Range, listing.is_ok());
    let listing = listing?;
    let change = |pair: store::Pair| config::Change {
        key: pair.key,
        value: Some(pair.value),
        revision: pair.mod_revision,
    };
    let pairs = listing.pairs.into_iter().map(change).collect();
    context.step(entry::Event::Listing {
        revision: listing.revision,
        pairs,
    });
    confirm(context, sent_at, listing.revision);
    Ok(listing.revision)
}

/// Passes changes to the reducer until the watch fails or this host is no longer a watcher.
async fn watch(context: &sync::Arc<context::Context>, mut revision: u64) -> store::Result<()> {
    let opened = context.store.watch(config::PREFIX, revision + 1).await;
    context
        .metric
        .count_store_call(metric::Call::Watch, opened.is_ok());
    let mut watch = opened?;
    loop {
        let (revision_reached, changes) = watch.next(WATCH_TIMEOUT).await?;
        // A message with changes may not contain all changes up to its revision; only a message without changes
        // confirms that there are no more up to it.
        let through = changes
            .last()
            .map_or(revision_reached, |change| change.revision);
        let change = |change: store::Change| config::Change {
            key: change.key,
            value: change.value,
            revision: change.revision,
        };
        let changes = changes.into_iter().map(change).collect();
        context.step(entry::Event::Changes {
            since: revision,
            through,
            changes,
        });
        revision = revision.max(through);
        if !context.is_watcher() {
            return Ok(());
        }
    }
}

/// Checks periodically that the cached configuration has the latest revision of the store.
///
/// The watch alone does not show this, since its messages may arrive with a long delay.
pub(super) async fn check_revision(context: sync::Arc<context::Context>) {
    let mut unconfirmed: Option<(clock::Instant, u64)> = None;
    loop {
        async_io::Timer::after(CHECK_INTERVAL).await;
        if !context.is_watcher() {
            unconfirmed = None;
            continue;
        }
        if let Some((sent_at, revision)) = unconfirmed
            && confirm(&context, sent_at, revision)
        {
            unconfirmed = None;
        }
        let sent_at = context.now();
        let response = context.store.get(config::PREFIX).await;
        context
            .metric
            .count_store_call(metric::Call::Range, response.is_ok());
        if let Ok(listing) = response
            && !confirm(&context, sent_at, listing.revision)
        {
            // The watch has not delivered this revision yet. Once it does, the time of this read counts as the contact.
            unconfirmed = unconfirmed.or(Some((sent_at, listing.revision)));
        }
    }
}

/// Records a store contact if the cached configuration has reached `revision`, which the store returned to a read sent
/// at `sent_at`.
fn confirm(context: &sync::Arc<context::Context>, sent_at: clock::Instant, revision: u64) -> bool {
    let is_applied =
        context.with_reducer(|reducer, _| reducer.configuration().revision() >= revision);
    if is_applied {
        context.step(entry::Event::StoreContact(sent_at));
    }
    is_applied
}
