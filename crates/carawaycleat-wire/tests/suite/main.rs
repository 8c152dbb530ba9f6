//! Integration tests of the wire crate, a module per feature.

mod codec;
mod hostile;
