//! Integration tests of the network crate, a module per feature.

mod client;
mod connections;
mod guard;
mod idle;
mod late;
mod peer;
mod server;
mod sse;
mod stream;
mod unanswered;
