//! Whether a host's cached configuration is recent enough to check keys against.

mod monitor;
mod report;
mod state;

use std::time;

pub use monitor::Monitor;
pub use report::Report;
pub use state::State;

/// The age of the last store contact below which the cached configuration is fresh.
pub const MAX_FRESH_AGE: time::Duration = time::Duration::from_secs(3);

/// The age of the last store contact below which a host without a majority serves requests.
///
/// With a check every 250 ms, a revoked key is rejected within 5 s.
pub const MAX_SERVING_AGE: time::Duration = time::Duration::from_secs(4);

/// The age of the last exchange up to which a peer counts towards a majority.
pub const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(2);

/// The time within which a host must fetch a revision that a peer reports.
///
/// Together with [`MAX_REPORT_AGE`] and one check interval of 250 ms, it stays below 5 s.
pub const CATCH_UP_TIMEOUT: time::Duration = time::Duration::from_secs(2);
