//! Integration tests of the library and the programs, a module per feature.

mod cli;
mod cuts;
mod explain;
mod fake;
mod hostile;
mod log;
mod manifest;
mod metric;
mod operators;
mod settings;
mod upstream;
