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
    /// An error of the rules that span resources.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A resource names another that does not exist.
        Missing(from: resource::Id, to: resource::Id) {
            display("{from} names {to}, which does not exist")
        }
        /// A resource cannot be deleted while another names it.
        InUse(id: resource::Id, by: resource::Id) {
            display("{id} is in use by {by}")
        }
        /// A resource breaks a rule of its own.
        Invalid(id: resource::Id, source: resource::Error) {
            display("{id}: {source}")
            source(source)
        }
        /// Two resources claim the same thing.
        Conflict(first: resource::Id, second: resource::Id, what: &'static str) {
            display("{first} and {second} have the same {what}")
        }
        /// A resource was given under an identifier of another kind.
        Kind(id: resource::Id, found: resource::Kind) {
            display("{id} was given a resource of kind {found}")
        }
        /// A model uses a version that belongs to another model.
        Foreign(model: resource::Id, version: resource::Id) {
            display("{model} uses {version}, which belongs to another model")
        }
        /// Several rules are broken.
        Several(problems: Vec<Error>) {
            display("{}", join(problems))
        }
    }
}

impl Error {
    /// Returns the broken rules one by one.
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
