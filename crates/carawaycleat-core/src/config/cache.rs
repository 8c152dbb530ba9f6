use std::collections;

use super::record;

/// The maximum number of changes that are kept for peers.
pub const LOG_CHANGES: usize = 4_096;

/// The result of applying changes or a listing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The cache advanced to a higher revision.
    Advanced,
    /// The cache already has the revision or a later one.
    Unchanged,
    /// The changes start after the applied revision, so changes in between are missing.
    Gap,
    /// A key does not start with [`PREFIX`](super::PREFIX), or a revision is outside the stated range.
    Malformed,
}

/// The number of inputs that a [`Cache`] did not apply.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Changes at or below the applied revision, and listings below it.
    pub ignored: u64,
    /// Batches that started after the applied revision.
    pub gaps: u64,
    /// Batches and listings with a key outside the prefix or a revision out of range.
    pub malformed: u64,
    /// Values that could not be decoded.
    pub undecodable: u64,
}

#[derive(Clone, Debug)]
struct Value {
    bytes: Vec<u8>,
    revision: u64,
}

/// A process's cached copy of the store, whose revision only increases.
///
/// The snapshot depends only on the applied revision, not on the order of updates. A resource whose value cannot be
/// decoded is absent even if an earlier value could be decoded, so that all hosts at one revision agree.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::config;
///
/// let mut cache = config::Cache::new();
/// assert_eq!(cache.apply(0, 5, Vec::new()), config::Applied::Advanced);
/// assert_eq!(cache.apply(0, 4, Vec::new()), config::Applied::Unchanged);
/// assert_eq!(cache.apply(6, 7, Vec::new()), config::Applied::Gap);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Cache {
    snapshot: super::Snapshot,
    values: collections::BTreeMap<String, Value>,
    /// The reasons why values could not be decoded, by key.
    problems: collections::BTreeMap<String, String>,
    /// The latest changes, for peers.
    log: collections::VecDeque<super::Change>,
    /// The log holds all changes after this revision.
    log_start: u64,
    counts: Counts,
}

impl Cache {
    /// Returns an empty cache at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the changes after revision `since` up to and including `through`, in the order of their revisions.
    ///
    /// `since` is the requested revision: that of a fetch from a peer, or of the last batch of the watch. Changes that
    /// have already been applied are skipped. A batch that starts after the applied revision is not applied, because
    /// the changes in between would be lost silently.
    pub fn apply(&mut self, since: u64, through: u64, changes: Vec<super::Change>) -> Applied {
        if !is_ordered(since, through, &changes) {
            self.counts.malformed += 1;
            return Applied::Malformed;
        }
        let applied = self.revision();
        if through <= applied {
            self.counts.ignored += changes.len().max(1) as u64;
            return Applied::Unchanged;
        }
        if since > applied {
            self.counts.gaps += 1;
            return Applied::Gap;
        }
        for change in changes {
            if change.revision <= applied {
                self.counts.ignored += 1;
            } else {
                self.put(change.clone());
                self.append_to_log(change);
            }
        }
        self.snapshot.advance(through);
        Applied::Advanced
    }

    /// Replaces the contents by a complete listing at `revision`, if that is later than the applied revision.
    ///
    /// Pairs without a value are skipped.
    pub fn replace(&mut self, revision: u64, pairs: Vec<super::Change>) -> Applied {
        let is_valid =
            |c: &super::Change| c.key.starts_with(super::PREFIX) && c.revision <= revision;
        if !pairs.iter().all(is_valid) {
            self.counts.malformed += 1;
            return Applied::Malformed;
        }
        if revision <= self.revision() {
            self.counts.ignored += u64::from(revision < self.revision());
            return Applied::Unchanged;
        }
        *self = Self {
            log_start: revision,
            counts: self.counts,
            ..Self::default()
        };
        for pair in pairs.into_iter().filter(|pair| pair.value.is_some()) {
            self.put(pair);
        }
        self.snapshot.advance(revision);
        Applied::Advanced
    }

    fn put(&mut self, change: super::Change) {
        self.problems.remove(&change.key);
        match record::parse_key(&change.key) {
            Some(Ok(id)) => self.put_resource(&id, &change),
            Some(Err(problem)) if change.value.is_some() => {
                self.record_problem(change.key.clone(), problem);
            }
            _ => {}
        }
        match change.value {
            Some(bytes) => {
                let revision = change.revision;
                self.values.insert(change.key, Value { bytes, revision });
            }
            None => {
                self.values.remove(&change.key);
            }
        }
    }

    fn put_resource(&mut self, id: &crate::resource::Id, change: &super::Change) {
        self.snapshot.remove(id, change.revision);
        let Some(value) = &change.value else {
            return;
        };
        match super::Record::decode(id, value) {
            Ok(record) => {
                let entry = super::Entry {
                    revision: change.revision,
                    resource: record.resource,
                };
                self.snapshot.insert(id.name.clone(), entry);
            }
            Err(problem) => self.record_problem(change.key.clone(), problem),
        }
    }

    fn record_problem(&mut self, key: String, problem: String) {
        self.counts.undecodable += 1;
        self.problems.insert(key, problem);
    }

    fn append_to_log(&mut self, change: super::Change) {
        self.log.push_back(change);
        if self.log.len() > LOG_CHANGES
            && let Some(oldest) = self.log.pop_front()
        {
            self.log_start = oldest.revision;
        }
    }

    /// Returns the applied revision.
    pub fn revision(&self) -> u64 {
        self.snapshot.revision()
    }

    /// Returns the resources at the applied revision.
    pub fn snapshot(&self) -> &super::Snapshot {
        &self.snapshot
    }

    /// Returns the value of a key and the revision of its last change.
    pub fn value(&self, key: &str) -> Option<(&[u8], u64)> {
        let value = self.values.get(key)?;
        Some((&value.bytes, value.revision))
    }

    /// Returns the keys that start with `prefix`, each with its value and revision.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a [u8], u64)> {
        self.values
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, value)| (key.as_str(), value.bytes.as_slice(), value.revision))
    }

    /// Returns the changes after `revision`, or none when they are no longer in the log and the peer needs a listing.
    pub fn changes_since(&self, revision: u64) -> Option<Vec<super::Change>> {
        if revision < self.log_start {
            return None;
        }
        let later = self.log.iter().filter(|c| c.revision > revision);
        Some(later.cloned().collect())
    }

    /// Returns all key-value pairs in the order of their keys.
    pub fn listing(&self) -> Vec<super::Change> {
        let pair = |(key, value): (&String, &Value)| super::Change {
            key: key.clone(),
            value: Some(value.bytes.clone()),
            revision: value.revision,
        };
        self.values.iter().map(pair).collect()
    }

    /// Returns the keys whose values could not be decoded, each with the reason.
    pub fn problems(&self) -> impl Iterator<Item = (&str, &str)> {
        self.problems.iter().map(|(k, p)| (k.as_str(), p.as_str()))
    }

    /// Returns the number of inputs that were not applied.
    pub fn counts(&self) -> Counts {
        self.counts
    }
}

/// Returns whether the changes are in the order of their revisions, within the range and the prefix.
fn is_ordered(since: u64, through: u64, changes: &[super::Change]) -> bool {
    let mut last = since;
    changes.iter().all(|change| {
        let is_next = change.revision >= last && change.revision > since;
        last = change.revision;
        is_next && change.revision <= through && change.key.starts_with(super::PREFIX)
    })
}
