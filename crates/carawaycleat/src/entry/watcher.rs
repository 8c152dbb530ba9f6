use std::sync;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::config;
use carawaycleat_core::entry;
use carawaycleat_store as store;

use super::shared;
use crate::log;
use crate::metric;

/// The longest silence of a watch; the store sends a progress notification each second.
const PATIENCE: time::Duration = time::Duration::from_millis(2_500);

/// The time between two attempts to reach the store.
const RETRY: time::Duration = time::Duration::from_millis(250);

/// The time between two checks that the copy holds the store's latest revision.
const CHECK: time::Duration = time::Duration::from_millis(500);

/// Follows the store for as long as the process runs.
pub(super) async fn follow(shared: sync::Arc<shared::Shared>) {
    let mut was_reached = true;
    loop {
        if !shared.is_watcher() {
            async_io::Timer::after(CHECK).await;
            continue;
        }
        let ended = match load(&shared).await {
            Ok(revision) => {
                if !was_reached {
                    log::info("the store answers again");
                }
                was_reached = true;
                watch(&shared, revision).await
            }
            Err(error) => Err(error),
        };
        let Err(error) = ended else { continue };
        if was_reached {
            log::warn(&format!("the store cannot be followed: {error}"));
            was_reached = false;
        }
        async_io::Timer::after(RETRY).await;
    }
}

/// Reads everything and returns its revision.
async fn load(shared: &sync::Arc<shared::Shared>) -> store::Result<u64> {
    let sent = shared.now();
    let listing = shared.store.list(config::PREFIX).await;
    shared
        .metric
        .count_store_call(metric::Call::Range, listing.is_ok());
    let listing = listing?;
    let change = |pair: store::Pair| config::Change {
        key: pair.key,
        value: Some(pair.value),
        revision: pair.mod_revision,
    };
    let pairs = listing.pairs.into_iter().map(change).collect();
    shared.step(entry::Event::Listing {
        revision: listing.revision,
        pairs,
    });
    confirm(shared, sent, listing.revision);
    Ok(listing.revision)
}

/// Passes on changes until the watch ends, or until another host watches in this one's place.
async fn watch(shared: &sync::Arc<shared::Shared>, mut revision: u64) -> store::Result<()> {
    let opened = shared.store.watch(config::PREFIX, revision + 1).await;
    shared
        .metric
        .count_store_call(metric::Call::Watch, opened.is_ok());
    let mut watch = opened?;
    loop {
        let (reached, changes) = watch.next(PATIENCE).await?;
        // A message with changes may be a part of what the store has at its revision; only a message without changes
        // says that there is nothing more up to it.
        let through = changes.last().map_or(reached, |change| change.revision);
        let change = |change: store::Change| config::Change {
            key: change.key,
            value: change.value,
            revision: change.revision,
        };
        let changes = changes.into_iter().map(change).collect();
        shared.step(entry::Event::Changes {
            since: revision,
            through,
            changes,
        });
        revision = revision.max(through);
        if !shared.is_watcher() {
            return Ok(());
        }
    }
}

/// Checks again and again that the copy holds the store's latest revision.
///
/// The watch alone cannot tell: a message may have been on its way for long.
pub(super) async fn check(shared: sync::Arc<shared::Shared>) {
    let mut open: Option<(clock::Instant, u64)> = None;
    loop {
        async_io::Timer::after(CHECK).await;
        if !shared.is_watcher() {
            open = None;
            continue;
        }
        if let Some((sent, revision)) = open
            && confirm(&shared, sent, revision)
        {
            open = None;
        }
        let sent = shared.now();
        let answer = shared.store.get(config::PREFIX).await;
        shared
            .metric
            .count_store_call(metric::Call::Range, answer.is_ok());
        if let Ok(listing) = answer
            && !confirm(&shared, sent, listing.revision)
        {
            // The watch has not brought this revision yet; it counts from when it was asked for.
            open = open.or(Some((sent, listing.revision)));
        }
    }
}

/// Notes a store contact when the copy has reached `revision`, which the store had after `sent`.
fn confirm(shared: &sync::Arc<shared::Shared>, sent: clock::Instant, revision: u64) -> bool {
    let is_applied = shared.with(|reducer, _| reducer.configuration().revision() >= revision);
    if is_applied {
        shared.step(entry::Event::StoreContact(sent));
    }
    is_applied
}
