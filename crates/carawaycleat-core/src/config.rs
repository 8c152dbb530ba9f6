//! The configuration at one revision of the store.

mod cache;
mod change;
mod check;
mod entry;
mod record;
mod snapshot;

pub use cache::Applied;
pub use cache::Cache;
pub use cache::Counts;
pub use cache::LOG_CHANGES;
pub use change::Change;
pub use entry::Entry;
pub use record::PREFIX;
pub use record::RESOURCE_PREFIX;
pub use record::Record;
pub use record::key;
pub use snapshot::Snapshot;

use crate::resource;

quick_error! {
    /// An error of a write or deletion that would make the configuration inconsistent.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A resource refers to another that does not exist.
        Missing(from: resource::Id, to: resource::Id) {
            display("{from} refers to {to}, which does not exist")
        }
        /// A resource cannot be deleted while another refers to it.
        InUse(id: resource::Id, by: resource::Id) {
            display("{id} is in use by {by}")
        }
        /// A resource has an invalid field.
        Invalid(id: resource::Id, source: resource::Error) {
            display("{id}: {source}")
            source(source)
        }
        /// Two resources have the same value of a field that must be unique.
        Conflict(first: resource::Id, second: resource::Id, field: &'static str) {
            display("{first} and {second} have the same {field}")
        }
        /// The identifier of a resource has another kind than the resource.
        Kind(id: resource::Id, found: resource::Kind) {
            display("{id} cannot be a resource of kind {found}")
        }
        /// A model uses a version that belongs to another model.
        VersionMismatch(model: resource::Id, version: resource::Id) {
            display("{model} uses {version}, which belongs to another model")
        }
        /// There are several problems.
        Several(problems: Vec<Error>) {
            display("{}", join(problems))
        }
    }
}

impl Error {
    /// Returns the individual problems.
    pub fn problems(&self) -> &[Error] {
        match self {
            Self::Several(problems) => problems,
            single => std::slice::from_ref(single),
        }
    }

    fn collect(mut problems: Vec<Error>) -> Result<()> {
        match problems.len() {
            0 => Ok(()),
            1 => Err(problems.remove(0)),
            _ => Err(Self::Several(problems)),
        }
    }
}

fn join(problems: &[Error]) -> String {
    let texts: Vec<String> = problems.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
