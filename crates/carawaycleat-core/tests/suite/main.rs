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
mod resource;
mod retry;
mod routing;
mod stream;
