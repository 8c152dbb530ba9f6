//! Integration tests of the core crate, a module per feature.

mod admission;
mod fault;
mod resource;
mod retry;
mod routing;
mod stream;
