//! Integration tests of the core crate, a module per feature.

mod config;
mod freshness;
mod key;
mod rate;
mod rate_world;
mod resource;
mod timeline;
mod admission;
mod fault;
mod retry;
mod routing;
mod stream;
mod claim;
mod fake;
mod memory;
mod placement;
mod side;
