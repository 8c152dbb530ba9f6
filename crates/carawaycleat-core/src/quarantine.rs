//! Quarantine of requests that crash upstreams.
//!
//! A request, or a part of its prompt, may crash every upstream that begins to run it. Retries, copies of the request and
//! new requests with the part then crash one upstream after another. [`Registry`] infers the cause from the [`Crash`]es
//! that all hosts observed: requests with it never make progress, and it is what explains the most crashes.

mod crash;
mod registry;
mod suspect;

pub use crash::Crash;
pub use registry::Registry;
pub use suspect::Suspect;
