//! Serving system for many models on fewer accelerators.

#[macro_use]
extern crate quick_error;

mod document;

pub mod log;
pub mod metric;
pub mod settings;
