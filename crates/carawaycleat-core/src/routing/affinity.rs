use std::collections;

use crate::name;

/// Maps prefixes to the upstreams that have them in their caches.
#[derive(Clone, Debug)]
pub(super) struct Affinity {
    /// The maximum number of prefixes per upstream; the least recently used one is dropped first.
    max_prefixes: usize,
    holders: collections::HashMap<u64, Vec<name::Name>>,
    caches: collections::BTreeMap<name::Name, Cache>,
}

/// The prefixes in the cache of one upstream, by the time of their last use.
#[derive(Clone, Debug, Default)]
struct Cache {
    /// The sequence number of the last cache event.
    last_event: Option<u64>,
    /// The position of the most recently used prefix.
    last_position: u64,
    /// The prefixes by position; the lowest position is the least recently used.
    by_position: collections::BTreeMap<u64, u64>,
    /// The positions by prefix.
    positions: collections::HashMap<u64, u64>,
}

impl Affinity {
    /// Returns an empty map that keeps at most `max_prefixes` prefixes of each upstream.
    pub(super) fn new(max_prefixes: usize) -> Self {
        Self {
            max_prefixes,
            holders: collections::HashMap::new(),
            caches: collections::BTreeMap::new(),
        }
    }

    /// Applies the event with the sequence number `sequence`. Duplicate and outdated events are ignored.
    ///
    /// A gap in the sequence drops all prefixes of the upstream, because a missing event may have been an eviction.
    pub(super) fn apply(
        &mut self,
        upstream: &name::Name,
        sequence: u64,
        event: super::cache::Event,
    ) {
        let last = self.caches.get(upstream).and_then(|cache| cache.last_event);
        if last.is_some_and(|last| sequence <= last) {
            return;
        }
        if last.is_some_and(|last| sequence != last + 1) {
            self.remove_upstream(upstream);
        }
        let cache = self.caches.entry(upstream.clone()).or_default();
        cache.last_event = Some(sequence);
        match event {
            super::cache::Event::Stored(prefix) => self.store(upstream, prefix),
            super::cache::Event::Evicted(prefix) => {
                if let Some(position) = cache.positions.remove(&prefix) {
                    cache.by_position.remove(&position);
                    self.remove_holder(upstream, prefix);
                }
            }
        }
    }

    /// Records that the cache of `upstream` has `prefix`, as its most recently used one.
    pub(super) fn store(&mut self, upstream: &name::Name, prefix: u64) {
        let cache = self.caches.entry(upstream.clone()).or_default();
        cache.last_position += 1;
        cache.by_position.insert(cache.last_position, prefix);
        if let Some(previous) = cache.positions.insert(prefix, cache.last_position) {
            cache.by_position.remove(&previous);
            return;
        }
        self.holders
            .entry(prefix)
            .or_default()
            .push(upstream.clone());
        if cache.by_position.len() > self.max_prefixes
            && let Some((_, oldest)) = cache.by_position.pop_first()
        {
            cache.positions.remove(&oldest);
            self.remove_holder(upstream, oldest);
        }
    }

    /// Removes all prefixes of an upstream and the sequence number of its last event.
    pub(super) fn remove_upstream(&mut self, upstream: &name::Name) {
        let Some(cache) = self.caches.remove(upstream) else {
            return;
        };
        for prefix in cache.by_position.into_values() {
            self.remove_holder(upstream, prefix);
        }
    }

    /// Returns how many of `prefixes`, shortest first, are covered by the longest one in the cache of `upstream`.
    pub(super) fn cached_depth(&self, upstream: &name::Name, prefixes: &[u64]) -> usize {
        let positions = self.caches.get(upstream).map(|cache| &cache.positions);
        positions.map_or(0, |positions| {
            let longest = prefixes
                .iter()
                .rposition(|prefix| positions.contains_key(prefix));
            longest.map_or(0, |index| index + 1)
        })
    }

    /// Returns the upstreams of `among` whose caches have the longest of `prefixes` that is cached by any of them.
    pub(super) fn holders<'a>(
        &'a self,
        prefixes: &[u64],
        among: &[&name::Name],
    ) -> Vec<&'a name::Name> {
        let longest_first = prefixes
            .iter()
            .rev()
            .filter_map(|prefix| self.holders.get(prefix));
        longest_first
            .map(|names| {
                names
                    .iter()
                    .filter(|name| among.contains(name))
                    .collect::<Vec<_>>()
            })
            .find(|names| !names.is_empty())
            .unwrap_or_default()
    }

    /// Returns the total number of prefixes over all upstreams.
    pub(super) fn len(&self) -> usize {
        self.caches
            .values()
            .map(|cache| cache.by_position.len())
            .sum()
    }

    fn remove_holder(&mut self, upstream: &name::Name, prefix: u64) {
        if let Some(names) = self.holders.get_mut(&prefix) {
            names.retain(|name| name != upstream);
            if names.is_empty() {
                self.holders.remove(&prefix);
            }
        }
    }
}
