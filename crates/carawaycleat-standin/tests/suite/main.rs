//! Integration tests of the stand-ins, a module per feature.

mod engine;
mod engine_faults;
mod hosts;
mod http;
mod load;
mod service;
mod store;
mod weights;
