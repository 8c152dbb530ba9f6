//! Integration tests of the core crate, a module per feature.

mod fake;
mod memory;
mod placement;
mod resource;
