use std::collections;

use crate::name;

/// Which upstreams hold which prefixes in their caches.
#[derive(Clone, Debug)]
pub(super) struct Affinity {
    limit: usize,
    holders: collections::HashMap<u64, Vec<name::Name>>,
    sources: collections::BTreeMap<name::Name, Source>,
}

/// The prefixes of one upstream, in the order in which they were stored.
#[derive(Clone, Debug, Default)]
struct Source {
    /// The number of the last cache event.
    last: Option<u64>,
    next: u64,
    order: collections::BTreeMap<u64, u64>,
    positions: collections::HashMap<u64, u64>,
}

impl Affinity {
    /// Returns an empty map that keeps at most `limit` prefixes of an upstream.
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            holders: collections::HashMap::new(),
            sources: collections::BTreeMap::new(),
        }
    }

    /// Applies the event with the number `sequence`.
    ///
    /// After a gap the upstream's prefixes are dropped: the missing event may have been an eviction.
    pub(super) fn apply(
        &mut self,
        upstream: &name::Name,
        sequence: u64,
        event: super::cache::Event,
    ) {
        let last = self.sources.get(upstream).and_then(|source| source.last);
        if last.is_some_and(|last| sequence <= last) {
            return;
        }
        if last.is_some_and(|last| sequence != last + 1) {
            self.drop_upstream(upstream);
        }
        let source = self.sources.entry(upstream.clone()).or_default();
        source.last = Some(sequence);
        match event {
            super::cache::Event::Stored(prefix) => self.store(upstream, prefix),
            super::cache::Event::Evicted(prefix) => {
                if let Some(position) = source.positions.remove(&prefix) {
                    source.order.remove(&position);
                    self.release(upstream, prefix);
                }
            }
        }
    }

    /// Notes that `upstream` has `prefix`, as the one that was used last.
    pub(super) fn store(&mut self, upstream: &name::Name, prefix: u64) {
        let source = self.sources.entry(upstream.clone()).or_default();
        source.next += 1;
        source.order.insert(source.next, prefix);
        if let Some(earlier) = source.positions.insert(prefix, source.next) {
            source.order.remove(&earlier);
            return;
        }
        self.holders
            .entry(prefix)
            .or_default()
            .push(upstream.clone());
        if source.order.len() > self.limit
            && let Some((_, oldest)) = source.order.pop_first()
        {
            source.positions.remove(&oldest);
            self.release(upstream, oldest);
        }
    }

    /// Forgets all about an upstream.
    pub(super) fn drop_upstream(&mut self, upstream: &name::Name) {
        let Some(source) = self.sources.remove(upstream) else {
            return;
        };
        for prefix in source.order.into_values() {
            self.release(upstream, prefix);
        }
    }

    /// Returns the number of leading `prefixes`, shortest first, up to the longest one that `upstream` holds.
    pub(super) fn depth(&self, upstream: &name::Name, prefixes: &[u64]) -> usize {
        let positions = self.sources.get(upstream).map(|source| &source.positions);
        positions.map_or(0, |positions| {
            let longest = prefixes
                .iter()
                .rposition(|prefix| positions.contains_key(prefix));
            longest.map_or(0, |index| index + 1)
        })
    }

    /// Returns the holders of the longest of `prefixes` that any upstream in `among` holds.
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

    /// Returns the number of prefixes over all upstreams.
    pub(super) fn len(&self) -> usize {
        self.sources.values().map(|source| source.order.len()).sum()
    }

    fn release(&mut self, upstream: &name::Name, prefix: u64) {
        if let Some(names) = self.holders.get_mut(&prefix) {
            names.retain(|name| name != upstream);
            if names.is_empty() {
                self.holders.remove(&prefix);
            }
        }
    }
}
