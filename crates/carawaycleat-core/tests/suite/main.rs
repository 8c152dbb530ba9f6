//! Integration tests of the core crate, a module per feature.

mod resource;
mod timeline;
