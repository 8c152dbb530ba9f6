//! Integration tests of the stand-ins, a module per feature.

mod callers;
mod engine;
mod engine_faults;
mod engine_time;
mod hosts;
mod http;
mod load;
mod load_run;
mod metrics;
mod service;
mod store;
mod timeline;
mod weights;
