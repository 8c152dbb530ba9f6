use std::path;

use carawaycleat_core::resource;

/// A resource that a manifest defines.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The kind and name.
    pub id: resource::Id,
    /// The fields of the resource.
    pub resource: resource::Resource,
    /// The path of the manifest.
    pub file: path::PathBuf,
    /// The line of the manifest at which the table of the resource starts, counted from 1.
    pub line: usize,
}

impl Item {
    /// Returns the resources that this one references.
    pub fn references(&self) -> Vec<resource::Id> {
        let id = |kind, name: &carawaycleat_core::name::Name| resource::Id::new(kind, name.clone());
        match &self.resource {
            resource::Resource::Model(model) => vec![id(resource::Kind::Version, &model.version)],
            resource::Resource::Adapter(adapter) => vec![id(resource::Kind::Model, &adapter.model)],
            resource::Resource::Version(version) => vec![id(resource::Kind::Model, &version.model)],
            resource::Resource::Key(key) => vec![id(resource::Kind::Workspace, &key.workspace)],
            resource::Resource::Rate(rate) => vec![id(resource::Kind::Workspace, &rate.workspace)],
            resource::Resource::Route(route) => {
                let workspaces = route.workspaces.iter();
                workspaces
                    .map(|name| id(resource::Kind::Workspace, name))
                    .collect()
            }
            resource::Resource::Workspace(_) | resource::Resource::Upstream(_) => Vec::new(),
        }
    }
}
