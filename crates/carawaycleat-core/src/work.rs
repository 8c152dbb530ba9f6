//! Expected work of requests and remaining work of upstreams.
//!
//! [`Estimator`] learns how many events a response has, [`Pace`] how long upstreams take for a prompt token and an event, and
//! [`Ledger`] keeps what each upstream still has to do. [`Tracker`] combines them into the [`Expectation`] of one request at one
//! upstream.

mod average;
mod estimator;
mod expectation;
mod job;
mod ledger;
mod load;
mod pace;
mod tracker;

pub use estimator::Estimate;
pub use estimator::Estimator;
pub use expectation::Expectation;
pub use job::Job;
pub use job::Key;
pub use job::Subject;
pub use ledger::Attempt;
pub use ledger::Ledger;
pub use ledger::Progress;
pub use load::Load;
pub use pace::Pace;
pub use tracker::Tracker;

use std::hash;
use std::hash::Hasher as _;

/// Returns the key of a table of averages for a combination of names. Digests spare a copy of the names for each average.
fn key(level: u8, names: &[Option<&str>]) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    hasher.write_u8(level);
    for name in names {
        hasher.write(name.unwrap_or_default().as_bytes());
        hasher.write_u8(0xff);
    }
    hasher.finish()
}
