use std::collections;

use crate::config;
use crate::name;
use crate::resource;

/// The access that a key grants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The resource name of the key.
    pub key: name::Name,
    /// The workspace that requests with the key run for.
    pub workspace: name::Name,
}

/// The keys of a snapshot by digest.
///
/// The first two bytes of the digest select a bucket, and every digest in the bucket is compared in constant time.
/// The duration of a lookup therefore reveals at most how many stored digests share those two bytes. This does not help
/// to guess a key, because a caller chooses a key and not its digest.
#[derive(Clone, Debug, Default)]
pub struct Index {
    buckets: collections::HashMap<u16, Vec<(super::Digest, Grant)>>,
}

impl Index {
    /// Returns the index of the keys in `snapshot`.
    ///
    /// When two keys have the same digest, which concurrent writes can cause, the one written first is used, so that a
    /// later key cannot take over the requests of an earlier one.
    pub fn new(snapshot: &config::Snapshot) -> Self {
        let mut keys: Vec<_> = snapshot
            .iter()
            .filter_map(|(id, entry)| match &entry.resource {
                resource::Resource::Key(key) => Some((entry.revision, &id.name, key)),
                _ => None,
            })
            .collect();
        keys.sort_by_key(|(revision, name, _)| (*revision, *name));
        let mut index = Self::default();
        for (_, name, key) in keys {
            index.insert(name, key);
        }
        index
    }

    fn insert(&mut self, name: &name::Name, key: &resource::Key) {
        let Ok(digest) = super::Digest::parse(&key.digest) else {
            return;
        };
        let grant = Grant {
            key: name.clone(),
            workspace: key.workspace.clone(),
        };
        self.insert_grant(digest, grant);
    }

    /// Adds a key, unless there is one with the same digest.
    fn insert_grant(&mut self, digest: super::Digest, grant: Grant) {
        let bucket = self.buckets.entry(digest.prefix()).or_default();
        if bucket.iter().all(|(other, _)| *other != digest) {
            bucket.push((digest, grant));
        }
    }

    /// Returns the grant of the key with `digest`, or none for an unknown key.
    pub fn find(&self, digest: &super::Digest) -> Option<&Grant> {
        let bucket = self.buckets.get(&digest.prefix())?;
        let mut found = None;
        // There is no early exit, so that the duration does not depend on which digest matches.
        for (stored, grant) in bucket {
            if stored.matches(digest).into() {
                found = Some(grant);
            }
        }
        found
    }
}

impl FromIterator<(super::Digest, Grant)> for Index {
    fn from_iter<I: IntoIterator<Item = (super::Digest, Grant)>>(keys: I) -> Self {
        let mut index = Self::default();
        for (digest, grant) in keys {
            index.insert_grant(digest, grant);
        }
        index
    }
}
