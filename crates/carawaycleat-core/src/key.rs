//! Lookup of a caller's key by its digest.

mod digest;
mod index;

pub use digest::Digest;
pub use index::Grant;
pub use index::Index;

quick_error! {
    /// An error of [`Digest::parse`].
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The text is not 64 hexadecimal digits.
        Format {
            display("a digest has 64 hexadecimal digits")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
