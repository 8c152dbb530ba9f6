//! Checks that a response belongs to its request and is complete.

mod cursor;

pub use cursor::Cursor;

use crate::request;

quick_error! {
    /// An error of a [`Cursor`]. The part of the response must not be delivered to the caller.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The part belongs to another request.
        Mismatched(expected: request::Id, found: request::Id) {
            display("a part of request {found} arrived in the response to {expected}")
        }
        /// Tokens before this one are missing.
        Gap(expected: u64, found: u64) {
            display("position {found} arrived where {expected} was expected")
        }
        /// The token has already been delivered.
        Duplicate(expected: u64, found: u64) {
            display("position {found} arrived again, {expected} was expected")
        }
        /// The response ended early.
        Truncated(expected: u64, found: u64) {
            display("the response ended after {found} of {expected}")
        }
        /// The response is longer than declared.
        TooLong(expected: u64, found: u64) {
            display("the response has at least {found}, but {expected} were declared")
        }
        /// A part arrived after the end of the response.
        AfterEnd {
            display("a part arrived after the end of the response")
        }
        /// The connection closed before the end of the response.
        Closed(position: u64) {
            display("the connection closed after {position}, before the end of the response")
        }
        /// The declared length differs from an earlier one.
        LengthMismatch(first: u64, second: u64) {
            display("the length was declared as {first} and then as {second}")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
