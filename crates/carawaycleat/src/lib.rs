//! Serving system for many models on fewer accelerators.

#[macro_use]
extern crate quick_error;

mod document;

pub mod cli;
pub mod log;
pub mod manifest;
pub mod metric;
pub mod settings;
