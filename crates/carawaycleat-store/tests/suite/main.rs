//! Integration tests of the store adapter, a module per feature.

mod fake;
mod hostile;
mod outcome;
