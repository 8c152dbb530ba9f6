//! End-to-end tests over TCP with a process for each host, a module per feature.
//!
//! The daemons come from `standin-entry` and `standin-side`, which call the same function as the programs of the
//! package `carawaycleat`. Cargo builds the binaries of a package before the tests of that package only, so that the
//! programs of the other package could be missing or old.

mod booking;
mod caller;
mod disconnect;
mod engine;
mod kill;
mod leaving;
mod operators;
mod path;
mod pause;
mod placement;
mod process;
mod revocation;
mod stop;
mod store;
mod turn;
mod world;
