//! Quarantine of prompts that crash upstreams.
//!
//! A part of a prompt may crash every upstream that begins a response to it. Retries and new requests with the part then
//! crash one upstream after another. [`Registry`] infers the part from the [`Crash`]es that all hosts observed: requests
//! with it never make progress, and it is the part that explains the most crashes.

mod crash;
mod registry;

pub use crash::Crash;
pub use registry::Registry;
