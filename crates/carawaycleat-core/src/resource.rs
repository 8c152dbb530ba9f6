//! Resources that operators write, and the validation of a single resource.
//!
//! The checks across resources, such as that the workspace of a key exists, are in [`config`](crate::config).

mod adapter;
mod id;
mod key;
mod kind;
mod model;
mod rate;
mod route;
mod upstream;
mod version;
mod workspace;

pub use adapter::Adapter;
pub use id::Id;
pub use key::Key;
pub use kind::Kind;
pub use model::Model;
pub use rate::Rate;
pub use route::Route;
pub use route::Target;
pub use upstream::Fencing;
pub use upstream::Upstream;
pub use version::Version;
pub use workspace::Workspace;

quick_error! {
    /// An error in a resource.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A field has a value that is not allowed.
        Field(field: &'static str, allowed: &'static str) {
            display("field `{field}` must be {allowed}")
        }
        /// The kind is not one of [`Kind::ALL`].
        Kind(found: String) {
            display("unknown kind `{found}`; allowed are model, adapter, version, workspace, key, rate, route and upstream")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A resource of any kind.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Resource {
    /// A model that callers may request.
    Model(Model),
    /// An adapter on top of a model.
    Adapter(Adapter),
    /// A version of a model's weights.
    Version(Version),
    /// A workspace, which keys and rates belong to.
    Workspace(Workspace),
    /// A caller's key, as a digest.
    Key(Key),
    /// A workspace's rate and burst.
    Rate(Rate),
    /// A route from a path prefix to upstreams.
    Route(Route),
    /// An upstream.
    Upstream(Upstream),
}

impl Resource {
    /// Returns the kind.
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Model(_) => Kind::Model,
            Self::Adapter(_) => Kind::Adapter,
            Self::Version(_) => Kind::Version,
            Self::Workspace(_) => Kind::Workspace,
            Self::Key(_) => Kind::Key,
            Self::Rate(_) => Kind::Rate,
            Self::Route(_) => Kind::Route,
            Self::Upstream(_) => Kind::Upstream,
        }
    }

    /// Checks the values of the fields, without regard to other resources.
    ///
    /// # Errors
    ///
    /// Returns an error for the first field whose value is not allowed.
    pub fn validate(&self) -> Result<()> {
        match self {
            Self::Model(_) => Ok(()),
            Self::Adapter(adapter) => adapter.validate(),
            Self::Version(version) => version.validate(),
            Self::Workspace(workspace) => workspace.validate(),
            Self::Key(key) => key.validate(),
            Self::Rate(rate) => rate.validate(),
            Self::Route(route) => route.validate(),
            Self::Upstream(upstream) => upstream.validate(),
        }
    }
}
