//! Fakes of the systems outside of the core, and the naive rules that the guards are compared with.

pub(crate) mod engine;
pub(crate) mod fleet;
pub(crate) mod store;
