use crate::name;
use crate::resource;

impl super::Snapshot {
    /// Checks that the configuration stays consistent when `resource` is written as `id`.
    ///
    /// A version may be written before its model, because the model refers to the version.
    ///
    /// # Errors
    ///
    /// Returns all problems: invalid fields, missing references, and conflicts with other resources.
    pub fn check_put(&self, id: &resource::Id, resource: &resource::Resource) -> super::Result<()> {
        if resource.kind() != id.kind {
            return Err(super::Error::Kind(id.clone(), resource.kind()));
        }
        let mut problems = Vec::new();
        if let Err(error) = resource.validate() {
            problems.push(super::Error::Invalid(id.clone(), error));
        }
        for target in references(resource) {
            if self.get(&target).is_none() {
                problems.push(super::Error::Missing(id.clone(), target));
            }
        }
        problems.extend(self.version_mismatches(id, resource));
        if own_addresses_equal(resource) {
            problems.push(super::Error::Conflict(id.clone(), id.clone(), "address"));
        }
        for (other, entry) in self.iter().filter(|(other, _)| *other != id) {
            if let Some(field) = conflict(resource, &entry.resource) {
                problems.push(super::Error::Conflict(id.clone(), other.clone(), field));
            }
        }
        super::Error::collect(problems)
    }

    /// Checks that no other resource refers to `id`.
    ///
    /// A model can be deleted while its versions exist, although they name it.
    ///
    /// # Errors
    ///
    /// Returns an error for each resource that refers to `id`.
    pub fn check_delete(&self, id: &resource::Id) -> super::Result<()> {
        let users = self
            .iter()
            .filter(|(_, entry)| references(&entry.resource).contains(id))
            .map(|(by, _)| super::Error::InUse(id.clone(), by.clone()));
        super::Error::collect(users.collect())
    }

    /// Returns an error for each model that would use a version of another model.
    fn version_mismatches(
        &self,
        id: &resource::Id,
        resource: &resource::Resource,
    ) -> Vec<super::Error> {
        match resource {
            resource::Resource::Model(model) => {
                let version = resource::Id::new(resource::Kind::Version, model.version.clone());
                let found = self.version(&model.version);
                let is_mismatch = found.is_some_and(|v| v.model != id.name);
                let error = || super::Error::VersionMismatch(id.clone(), version.clone());
                is_mismatch.then(error).into_iter().collect()
            }
            resource::Resource::Version(version) => self
                .models()
                .filter(|(name, m)| m.version == id.name && **name != version.model)
                .map(|(name, _)| {
                    let model = resource::Id::new(resource::Kind::Model, name.clone());
                    super::Error::VersionMismatch(model, id.clone())
                })
                .collect(),
            _ => Vec::new(),
        }
    }
}

/// Returns the resources that `resource` requires to exist.
fn references(resource: &resource::Resource) -> Vec<resource::Id> {
    let id = |kind, name: &name::Name| resource::Id::new(kind, name.clone());
    match resource {
        resource::Resource::Model(model) => vec![id(resource::Kind::Version, &model.version)],
        resource::Resource::Adapter(adapter) => vec![id(resource::Kind::Model, &adapter.model)],
        resource::Resource::Key(key) => vec![id(resource::Kind::Workspace, &key.workspace)],
        resource::Resource::Rate(rate) => vec![id(resource::Kind::Workspace, &rate.workspace)],
        resource::Resource::Route(route) => route
            .workspaces
            .iter()
            .map(|name| id(resource::Kind::Workspace, name))
            .collect(),
        resource::Resource::Version(_)
        | resource::Resource::Workspace(_)
        | resource::Resource::Upstream(_) => Vec::new(),
    }
}

/// Returns whether an upstream has the same address as its sidecar.
fn own_addresses_equal(resource: &resource::Resource) -> bool {
    match resource {
        resource::Resource::Upstream(upstream) => upstream.side_address == Some(upstream.address),
        _ => false,
    }
}

/// Returns the field that must be unique but has the same value in both resources.
fn conflict(first: &resource::Resource, second: &resource::Resource) -> Option<&'static str> {
    match (first, second) {
        (resource::Resource::Key(a), resource::Resource::Key(b)) => {
            (a.digest == b.digest).then_some("digest")
        }
        (resource::Resource::Rate(a), resource::Resource::Rate(b)) => {
            (a.workspace == b.workspace).then_some("workspace")
        }
        (resource::Resource::Route(a), resource::Resource::Route(b)) => {
            (a.prefix == b.prefix).then_some("prefix")
        }
        (resource::Resource::Upstream(a), resource::Resource::Upstream(b)) => {
            let own = [Some(a.address), a.side_address];
            let others = [Some(b.address), b.side_address];
            let is_shared = own.iter().flatten().any(|x| others.contains(&Some(*x)));
            is_shared.then_some("address")
        }
        _ => None,
    }
}
