use std::collections;

use crate::name;
use crate::resource;

/// All resources at one revision of the store.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::config;
///
/// let snapshot = config::Snapshot::new(7);
/// assert_eq!(snapshot.revision(), 7);
/// assert!(snapshot.routes().next().is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    revision: u64,
    entries: collections::BTreeMap<resource::Id, super::Entry>,
}

impl Snapshot {
    /// Returns an empty snapshot at `revision`.
    pub fn new(revision: u64) -> Self {
        Self {
            revision,
            entries: collections::BTreeMap::new(),
        }
    }

    /// Adds or replaces a resource and returns the snapshot.
    #[must_use]
    pub fn with(mut self, name: name::Name, entry: super::Entry) -> Self {
        self.insert(name, entry);
        self
    }

    /// Adds or replaces a resource.
    pub fn insert(&mut self, name: name::Name, entry: super::Entry) {
        self.revision = self.revision.max(entry.revision);
        self.entries
            .insert(resource::Id::new(entry.resource.kind(), name), entry);
    }

    /// Removes a resource that was deleted at `revision`, and returns it.
    pub fn remove(&mut self, id: &resource::Id, revision: u64) -> Option<super::Entry> {
        self.revision = self.revision.max(revision);
        self.entries.remove(id)
    }

    /// Raises the revision without changing a resource.
    pub(super) fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the store revision of the snapshot.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the resource `id`.
    pub fn get(&self, id: &resource::Id) -> Option<&super::Entry> {
        self.entries.get(id)
    }

    /// Returns all resources in the order of kind and name.
    pub fn iter(&self) -> impl Iterator<Item = (&resource::Id, &super::Entry)> {
        self.entries.iter()
    }

    /// Returns all upstreams by name.
    pub fn upstreams(&self) -> impl Iterator<Item = (&name::Name, &resource::Upstream)> {
        self.entries
            .iter()
            .filter_map(|(id, entry)| match &entry.resource {
                resource::Resource::Upstream(upstream) => Some((&id.name, upstream)),
                _ => None,
            })
    }

    /// Returns all routes by name.
    pub fn routes(&self) -> impl Iterator<Item = (&name::Name, &resource::Route)> {
        self.entries
            .iter()
            .filter_map(|(id, entry)| match &entry.resource {
                resource::Resource::Route(route) => Some((&id.name, route)),
                _ => None,
            })
    }

    /// Returns all keys by name.
    pub fn keys(&self) -> impl Iterator<Item = (&name::Name, &resource::Key)> {
        self.entries
            .iter()
            .filter_map(|(id, entry)| match &entry.resource {
                resource::Resource::Key(key) => Some((&id.name, key)),
                _ => None,
            })
    }

    /// Returns all rates by name.
    pub fn rates(&self) -> impl Iterator<Item = (&name::Name, &resource::Rate)> {
        self.entries
            .iter()
            .filter_map(|(id, entry)| match &entry.resource {
                resource::Resource::Rate(rate) => Some((&id.name, rate)),
                _ => None,
            })
    }

    /// Returns all models by name.
    pub fn models(&self) -> impl Iterator<Item = (&name::Name, &resource::Model)> {
        self.entries
            .iter()
            .filter_map(|(id, entry)| match &entry.resource {
                resource::Resource::Model(model) => Some((&id.name, model)),
                _ => None,
            })
    }

    /// Returns all adapters by name.
    pub fn adapters(&self) -> impl Iterator<Item = (&name::Name, &resource::Adapter)> {
        self.entries
            .iter()
            .filter_map(|(id, entry)| match &entry.resource {
                resource::Resource::Adapter(adapter) => Some((&id.name, adapter)),
                _ => None,
            })
    }

    /// Returns the version `name`.
    pub fn version(&self, name: &name::Name) -> Option<&resource::Version> {
        let id = resource::Id::new(resource::Kind::Version, name.clone());
        match &self.entries.get(&id)?.resource {
            resource::Resource::Version(version) => Some(version),
            _ => None,
        }
    }

    /// Returns the upstream `name`.
    pub fn upstream(&self, name: &name::Name) -> Option<&resource::Upstream> {
        let id = resource::Id::new(resource::Kind::Upstream, name.clone());
        match &self.entries.get(&id)?.resource {
            resource::Resource::Upstream(upstream) => Some(upstream),
            _ => None,
        }
    }

    /// Returns the workspace `name`.
    pub fn workspace(&self, name: &name::Name) -> Option<&resource::Workspace> {
        let id = resource::Id::new(resource::Kind::Workspace, name.clone());
        match &self.entries.get(&id)?.resource {
            resource::Resource::Workspace(workspace) => Some(workspace),
            _ => None,
        }
    }
}
