//! Integration tests of the library and the programs, a module per feature.

mod metric;
mod settings;
