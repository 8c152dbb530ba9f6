//! Whether a host's copy of the configuration is recent enough to check keys with.

mod monitor;
mod report;
mod state;

use std::time;

pub use monitor::Monitor;
pub use report::Report;
pub use state::State;

/// The age of the store contact up to which a copy is fresh.
pub const MAX_FRESH_AGE: time::Duration = time::Duration::from_secs(3);

/// The age of the store contact up to which a host without a majority serves.
///
/// With a check every 250 ms, a revoked key stops working within 5 s.
pub const MAX_SERVING_AGE: time::Duration = time::Duration::from_secs(4);

/// The age of an exchange up to which a peer counts towards a majority.
pub const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(2);

/// The time within which a host must fetch a revision that a peer reports.
///
/// Added to [`MAX_REPORT_AGE`] and one check of 250 ms it stays below 5 s.
pub const CATCH_UP_TIMEOUT: time::Duration = time::Duration::from_secs(2);
