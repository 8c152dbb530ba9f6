//! The configuration at one revision of the store.

mod entry;
mod snapshot;

pub use entry::Entry;
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
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
