//! Integration tests of the core crate, a module per feature.

mod admission;
mod claim;
mod config;
mod fake;
mod fault;
mod freshness;
mod hostile;
mod key;
mod membership;
mod memory;
mod path;
mod path_fake;
mod path_world;
mod placement;
mod placement_demand;
mod rate;
mod rate_stop;
mod rate_world;
mod resource;
mod retry;
mod routing;
mod side;
mod stream;
mod timeline;
