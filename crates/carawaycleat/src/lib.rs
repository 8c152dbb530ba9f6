//! Serving system for many models on fewer accelerators.

#[macro_use]
extern crate quick_error;

mod document;
mod journal;
mod tasks;

pub mod api;
pub mod cli;
pub mod entry;
pub mod explain;
pub mod log;
pub mod manifest;
pub mod metric;
pub mod process;
pub mod settings;
pub mod side;
pub mod upstream;
