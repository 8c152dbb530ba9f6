use std::collections;
use std::time;

use carawaycleat_core::clock;

use super::text;

/// The tokens of one block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// A change of the prefix cache.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct CacheEvent {
    /// The number of the event; a missing number is an event that was lost.
    pub seq: u64,
    /// What happened.
    pub kind: CacheChange,
    /// The block, which stands for the whole prefix that ends with it.
    pub prefix: String,
    /// The model.
    pub model: String,
}

/// The kind of a [`CacheEvent`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// A block was stored.
    Stored,
    /// A block was evicted.
    Evicted,
}

#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
struct Export {
    model: String,
    blocks: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Block {
    model: String,
    parent: Option<u64>,
    used: u64,
}

/// The prefix cache: blocks in bounded memory, the least recently used evicted first.
#[derive(Clone, Debug)]
pub(super) struct Cache {
    capacity: usize,
    blocks: collections::HashMap<u64, Block>,
    by_use: collections::BTreeMap<u64, u64>,
    uses: u64,
    seq: u64,
    gap: u64,
    delay: time::Duration,
    events: collections::VecDeque<(clock::Instant, CacheEvent)>,
}

// Subscribers that are further behind find a gap.
const MAX_EVENTS: usize = 65_536;

impl Cache {
    pub(super) fn new(capacity: usize, delay: time::Duration, gap: u64) -> Self {
        Self {
            capacity,
            blocks: collections::HashMap::new(),
            by_use: collections::BTreeMap::new(),
            uses: 0,
            seq: 0,
            gap,
            delay,
            events: collections::VecDeque::new(),
        }
    }

    pub(super) fn seq(&self) -> u64 {
        self.seq
    }

    pub(super) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Drops all blocks without events, as a restart does.
    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.by_use.clear();
    }

    /// Stores the prompt's blocks, and returns how many of its tokens were there already.
    pub(super) fn store(
        &mut self,
        now: clock::Instant,
        model: &str,
        adapter: Option<&str>,
        prompt: &str,
    ) -> usize {
        let chain = chain(model, adapter, prompt);
        let known = chain.iter().take_while(|id| self.blocks.contains_key(id));
        let cached = known.count() * BLOCK_TOKENS;
        self.insert(now, model, &chain);
        cached
    }

    fn insert(&mut self, now: clock::Instant, model: &str, chain: &[u64]) {
        let chain = &chain[..chain.len().min(self.capacity)];
        // From the end, so that a block is evicted before the blocks it builds on.
        for (index, id) in chain.iter().enumerate().rev() {
            self.uses += 1;
            let parent = index.checked_sub(1).map(|i| chain[i]);
            let block = Block {
                model: model.to_owned(),
                parent,
                used: self.uses,
            };
            self.by_use.insert(self.uses, *id);
            match self.blocks.insert(*id, block) {
                Some(old) => {
                    self.by_use.remove(&old.used);
                }
                None => self.publish(now, CacheChange::Stored, *id, model),
            }
        }
        while self.blocks.len() > self.capacity {
            let Some((_, id)) = self.by_use.pop_first() else {
                break;
            };
            if let Some(block) = self.blocks.remove(&id) {
                self.publish(now, CacheChange::Evicted, id, &block.model);
            }
        }
    }

    fn publish(&mut self, now: clock::Instant, kind: CacheChange, id: u64, model: &str) {
        self.seq += 1;
        if self.gap > 0 && self.seq.is_multiple_of(self.gap) {
            return;
        }
        let event = CacheEvent {
            seq: self.seq,
            kind,
            prefix: format!("{id:016x}"),
            model: model.to_owned(),
        };
        self.events.push_back((now + self.delay, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after number `after` that are published at `now`.
    pub(super) fn events(&self, now: clock::Instant, after: u64) -> Vec<CacheEvent> {
        let published = self.events.iter().filter(|(at, _)| *at <= now);
        published
            .map(|(_, event)| event)
            .filter(|event| event.seq > after)
            .cloned()
            .collect()
    }

    /// Returns the blocks of `prefix` as bytes for [`Cache::import`].
    pub(super) fn export(&self, prefix: &str) -> Option<Vec<u8>> {
        let mut next = u64::from_str_radix(prefix, 16).ok();
        let model = self.blocks.get(&next?)?.model.clone();
        let mut blocks = Vec::new();
        while let Some(id) = next {
            blocks.push(id);
            next = self.blocks.get(&id)?.parent;
        }
        blocks.reverse();
        serde_json::to_vec(&Export { model, blocks }).ok()
    }

    /// Stores exported blocks, and returns whether the bytes were valid.
    pub(super) fn import(&mut self, now: clock::Instant, bytes: &[u8]) -> bool {
        let Ok(export) = serde_json::from_slice::<Export>(bytes) else {
            return false;
        };
        self.insert(now, &export.model, &export.blocks);
        true
    }
}

/// Returns the ids of the full blocks of a prompt. Each id depends on all blocks before it.
fn chain(model: &str, adapter: Option<&str>, prompt: &str) -> Vec<u64> {
    let words: Vec<_> = prompt.split_whitespace().collect();
    let mut hash = text::seed(model, adapter, "");
    let mut chain = Vec::new();
    for block in words.chunks_exact(BLOCK_TOKENS) {
        for word in block {
            hash = text::hash(hash, word.as_bytes());
        }
        chain.push(hash);
    }
    chain
}
