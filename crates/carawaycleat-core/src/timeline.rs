//! The events of all processes, in one order.
//!
//! Each process keeps its latest events in a [`Ring`]. [`merge`] joins the events of several processes by their
//! [`clock::Stamp`](crate::clock::Stamp).

mod decision;
mod event;
mod filter;
mod kind;
mod merge;
mod ring;
mod value;

pub use decision::Decision;
pub use event::Event;
pub use filter::Filter;
pub use kind::Kind;
pub use merge::merge;
pub use ring::Ring;
pub use value::Value;

quick_error! {
    /// An error of [`Filter::parse`].
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A query parameter is not known.
        Parameter(name: String) {
            display("unknown parameter `{name}`; allowed are request, workspace, model, upstream, since and limit")
        }
        /// A query parameter has a value that is not allowed.
        Value(name: &'static str, allowed: &'static str) {
            display("parameter `{name}` must be {allowed}")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
