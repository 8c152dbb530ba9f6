//! Integration tests of the core crate, a module per feature.

mod claim;
mod fake;
mod memory;
mod placement;
mod resource;
mod side;
