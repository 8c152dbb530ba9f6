use std::collections;
use std::time;

use carawaycleat_core::clock;

use super::message;

#[derive(Clone, Copy, Debug)]
struct Grant {
    ttl: time::Duration,
    ends: clock::Instant,
}

/// The keys, leases and history of the store.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::clock;
/// use carawaycleat_standin::store;
///
/// let mut space = store::Space::default();
/// let put = store::Put { key: b"a".to_vec(), value: b"1".to_vec(), ..Default::default() };
/// let answer = space.put(&put).expect("no lease is named");
/// assert_eq!(answer.header.map(|h| h.revision), Some(2));
/// ```
#[derive(Clone, Debug)]
pub struct Space {
    revision: i64,
    compacted: i64,
    pairs: collections::BTreeMap<Vec<u8>, message::Pair>,
    history: Vec<message::Event>,
    leases: collections::BTreeMap<i64, Grant>,
    next_lease: i64,
}

impl Default for Space {
    fn default() -> Self {
        Self {
            // An empty etcd is at revision 1; the first write makes 2.
            revision: 1,
            compacted: 0,
            pairs: collections::BTreeMap::new(),
            history: Vec::new(),
            leases: collections::BTreeMap::new(),
            next_lease: 1,
        }
    }
}

impl Space {
    /// Returns the current revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the header of an answer.
    pub fn header(&self) -> message::Header {
        message::Header {
            revision: self.revision,
        }
    }

    fn answer(&self) -> message::Answer {
        message::Answer {
            header: Some(self.header()),
            ..Default::default()
        }
    }

    /// Reads the keys of `range` in order.
    ///
    /// # Errors
    ///
    /// Returns an error for a revision other than 0 and the current one.
    pub fn range(&self, range: &message::Range) -> super::Result<message::Answer> {
        if range.revision > self.revision {
            return Err(super::Error::FutureRevision);
        }
        if range.revision != 0 && range.revision != self.revision {
            return Err(super::Error::OldRevision);
        }
        let mut kvs: Vec<_> = self.matching(range).cloned().collect();
        let count = as_number(kvs.len());
        let limit = usize::try_from(range.limit).unwrap_or(0);
        let more = limit > 0 && kvs.len() > limit;
        if more {
            kvs.truncate(limit);
        }
        Ok(message::Answer {
            kvs,
            more,
            count,
            ..self.answer()
        })
    }

    fn matching(&self, range: &message::Range) -> impl Iterator<Item = &message::Pair> {
        self.pairs
            .range(range.key.clone()..)
            .take_while(|(key, _)| range.contains(key))
            .map(|(_, pair)| pair)
    }

    /// Writes one key.
    ///
    /// # Errors
    ///
    /// Returns an error when the key is empty or the lease does not exist.
    pub fn put(&mut self, put: &message::Put) -> super::Result<message::Answer> {
        self.check_put(put)?;
        self.revision += 1;
        let prev_kv = self.apply_put(put);
        Ok(message::Answer {
            prev_kv,
            ..self.answer()
        })
    }

    fn check_put(&self, put: &message::Put) -> super::Result<()> {
        if put.key.is_empty() {
            return Err(super::Error::EmptyKey);
        }
        if put.lease != 0 && !self.leases.contains_key(&put.lease) {
            return Err(super::Error::UnknownLease);
        }
        Ok(())
    }

    fn apply_put(&mut self, put: &message::Put) -> Option<message::Pair> {
        let before = self.pairs.get(&put.key).cloned();
        let pair = message::Pair {
            key: put.key.clone(),
            create_revision: before.as_ref().map_or(self.revision, |p| p.create_revision),
            mod_revision: self.revision,
            version: before.as_ref().map_or(0, |p| p.version) + 1,
            value: put.value.clone(),
            lease: put.lease,
        };
        self.history.push(message::Event {
            kind: None,
            kv: pair.clone(),
        });
        self.pairs.insert(put.key.clone(), pair);
        before.filter(|_| put.prev_kv)
    }

    /// Deletes the keys of `range`. The revision grows only when there was one.
    pub fn delete(&mut self, range: &message::Range) -> message::Answer {
        if self.matching(range).next().is_some() {
            self.revision += 1;
        }
        let answer = self.apply_delete(range);
        message::Answer {
            header: Some(self.header()),
            ..answer
        }
    }

    fn apply_delete(&mut self, range: &message::Range) -> message::Answer {
        let found: Vec<_> = self.matching(range).cloned().collect();
        for pair in &found {
            self.pairs.remove(&pair.key);
            self.history.push(message::Event {
                kind: Some(message::Deletion::Delete),
                kv: message::Pair {
                    key: pair.key.clone(),
                    mod_revision: self.revision,
                    ..Default::default()
                },
            });
        }
        message::Answer {
            deleted: as_number(found.len()),
            prev_kvs: if range.prev_kv { found } else { Vec::new() },
            ..Default::default()
        }
    }

    /// Runs a transaction. All of its writes have the same revision.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, when an operation is refused or a key is written twice.
    pub fn transact(
        &mut self,
        transaction: &message::Transaction,
    ) -> super::Result<message::Answer> {
        let succeeded = transaction.compare.iter().all(|c| self.holds(c));
        let operations = if succeeded {
            &transaction.success
        } else {
            &transaction.failure
        };
        let writes = self.check_operations(operations)?;
        self.revision += i64::from(writes);
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(match operation {
                message::Operation::Range(range) => message::Response::Range(self.range(range)?),
                message::Operation::Put(put) => message::Response::Put(message::Answer {
                    prev_kv: self.apply_put(put),
                    ..self.answer()
                }),
                message::Operation::Delete(range) => message::Response::Delete(message::Answer {
                    header: Some(self.header()),
                    ..self.apply_delete(range)
                }),
            });
        }
        Ok(message::Answer {
            succeeded,
            responses,
            ..self.answer()
        })
    }

    /// Returns whether one of `operations` writes, after checking that none would be refused half-way.
    fn check_operations(&self, operations: &[message::Operation]) -> super::Result<bool> {
        let mut keys = collections::BTreeSet::new();
        let mut writes = false;
        for operation in operations {
            match operation {
                message::Operation::Range(range) if range.revision != 0 => {
                    return Err(super::Error::OldRevision);
                }
                message::Operation::Range(_) => {}
                message::Operation::Put(put) => {
                    self.check_put(put)?;
                    if !keys.insert(&put.key) {
                        return Err(super::Error::DuplicateKey);
                    }
                    writes = true;
                }
                message::Operation::Delete(range) => {
                    writes |= self.matching(range).next().is_some();
                }
            }
        }
        Ok(writes)
    }

    fn holds(&self, compare: &message::Compare) -> bool {
        let absent = message::Pair::default();
        let found = self.pairs.get(&compare.key);
        let pair = found.unwrap_or(&absent);
        let order = match compare.target {
            message::Target::Version => pair.version.cmp(&compare.version),
            message::Target::Create => pair.create_revision.cmp(&compare.create_revision),
            message::Target::Mod => pair.mod_revision.cmp(&compare.mod_revision),
            // A missing key has no value, so no comparison of its value holds.
            message::Target::Value if found.is_none() => return false,
            message::Target::Value => pair.value.cmp(&compare.value),
            message::Target::Lease => pair.lease.cmp(&compare.lease),
        };
        match compare.result {
            message::Relation::Equal => order.is_eq(),
            message::Relation::Greater => order.is_gt(),
            message::Relation::Less => order.is_lt(),
            message::Relation::NotEqual => order.is_ne(),
        }
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Returns an error when the lease exists.
    pub fn grant(
        &mut self,
        now: clock::Instant,
        lease: &message::Lease,
    ) -> super::Result<message::Answer> {
        let mut id = lease.id;
        if id == 0 {
            while self.leases.contains_key(&self.next_lease) {
                self.next_lease += 1;
            }
            id = self.next_lease;
        }
        if self.leases.contains_key(&id) {
            return Err(super::Error::DuplicateLease);
        }
        let seconds = lease.ttl.max(1);
        let ttl = time::Duration::from_secs(seconds.unsigned_abs());
        let ends = now + ttl;
        self.leases.insert(id, Grant { ttl, ends });
        Ok(message::Answer {
            id,
            ttl: seconds,
            ..self.answer()
        })
    }

    /// Renews a lease. The answer for a lease that does not exist has no time to live.
    pub fn keep_alive(&mut self, now: clock::Instant, id: i64) -> message::Answer {
        let mut ttl = 0;
        if let Some(grant) = self.leases.get_mut(&id) {
            grant.ends = now + grant.ttl;
            ttl = i64::try_from(grant.ttl.as_secs()).unwrap_or(i64::MAX);
        }
        message::Answer {
            id,
            ttl,
            ..self.answer()
        }
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Returns an error when the lease does not exist.
    pub fn revoke(&mut self, id: i64) -> super::Result<message::Answer> {
        self.leases.remove(&id).ok_or(super::Error::UnknownLease)?;
        let keys: Vec<_> = self
            .pairs
            .values()
            .filter(|p| p.lease == id)
            .map(|p| p.key.clone())
            .collect();
        self.revision += i64::from(!keys.is_empty());
        for key in keys {
            self.apply_delete(&message::Range {
                key,
                ..Default::default()
            });
        }
        Ok(self.answer())
    }

    /// Ends the leases whose time is over at `now`, and returns how many there were.
    pub fn expire(&mut self, now: clock::Instant) -> usize {
        let over: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, grant)| grant.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        over.iter().filter(|id| self.revoke(**id).is_ok()).count()
    }

    /// Drops the history up to and including `revision`.
    ///
    /// # Errors
    ///
    /// Returns an error when the revision is compacted already or lies in the future.
    pub fn compact(&mut self, revision: i64) -> super::Result<message::Answer> {
        if revision <= self.compacted {
            return Err(super::Error::Compacted(self.compacted));
        }
        if revision > self.revision {
            return Err(super::Error::FutureRevision);
        }
        self.compacted = revision;
        self.history.retain(|e| e.kv.mod_revision > revision);
        Ok(self.answer())
    }

    /// Returns the changes of `range` from revision `from` on.
    ///
    /// # Errors
    ///
    /// Returns an error when the history no longer reaches back to `from`.
    pub fn changes(&self, range: &message::Range, from: i64) -> super::Result<Vec<message::Event>> {
        if from <= self.compacted {
            return Err(super::Error::Compacted(self.compacted));
        }
        let first = self.history.partition_point(|e| e.kv.mod_revision < from);
        let recent = self.history[first..].iter();
        Ok(recent
            .filter(|e| range.contains(&e.kv.key))
            .cloned()
            .collect())
    }
}

fn as_number(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
