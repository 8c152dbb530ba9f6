//! Checks that an answer belongs to its request and is complete.

mod cursor;

pub use cursor::Cursor;

use crate::request;

quick_error! {
    /// An error of a [`Cursor`]; the part of the answer must not reach the caller.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The part belongs to another request.
        Mismatched(expected: request::Id, found: request::Id) {
            display("a part of request {found} arrived in the answer to {expected}")
        }
        /// Tokens are missing before this one.
        Gap(expected: u64, found: u64) {
            display("position {found} arrived where {expected} was expected")
        }
        /// The token was delivered before.
        Repeat(expected: u64, found: u64) {
            display("position {found} arrived again, {expected} was expected")
        }
        /// The answer ended early.
        Short(expected: u64, found: u64) {
            display("the answer ended after {found} of {expected}")
        }
        /// The answer is longer than was declared.
        Long(expected: u64, found: u64) {
            display("the answer has at least {found}, but {expected} were declared")
        }
        /// A part arrived after the end of the answer.
        Ended {
            display("a part arrived after the end of the answer")
        }
        /// The connection closed before the end of the answer.
        Closed(position: u64) {
            display("the connection closed after {position}, before the end of the answer")
        }
        /// The declared length contradicts an earlier one.
        Length(first: u64, second: u64) {
            display("the length was declared as {first} and then as {second}")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
