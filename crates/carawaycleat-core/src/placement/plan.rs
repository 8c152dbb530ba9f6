use std::collections;

use crate::memory;
use crate::name;

/// The items that each upstream of a group must hold.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Plan {
    /// The group.
    pub group: name::Name,
    /// The store revision of the plan; 0 until it is read from the store, which supplies it.
    #[serde(skip)]
    pub revision: u64,
    /// The items that each upstream must hold, models before adapters.
    pub upstreams: collections::BTreeMap<name::Name, Vec<memory::Item>>,
}

impl Plan {
    /// Returns an empty plan of `group`.
    pub const fn new(group: name::Name) -> Self {
        Self {
            group,
            revision: 0,
            upstreams: collections::BTreeMap::new(),
        }
    }

    /// Returns the plan with the revision at which it is stored.
    #[must_use]
    pub fn at_revision(mut self, revision: u64) -> Self {
        self.revision = revision;
        self
    }

    /// Returns the items that `upstream` must hold, or none when the plan does not list it.
    pub fn holdings(&self, upstream: &str) -> Option<&[memory::Item]> {
        self.upstreams.get(upstream).map(Vec::as_slice)
    }

    /// Returns whether `upstream` must hold the item `id`.
    pub fn has(&self, upstream: &str, id: &memory::Id) -> bool {
        self.holdings(upstream)
            .is_some_and(|items| items.iter().any(|item| item.id == *id))
    }
}
