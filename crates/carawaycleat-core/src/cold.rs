//! Upstreams that take few requests for some time after a start.
//!
//! Both the hosts and the coordinator derive from the entries in the store which upstreams are cold.

mod starts;

use std::time;

pub(crate) use starts::Starts;

/// The time after a report within which the requests that the coordinator permits in response may be sent. A coordinator
/// stops permitting requests at half of its lease of 1.6 s, so that all of its permits are over when the lease is.
pub(crate) const PERMIT_LIFETIME: time::Duration = time::Duration::from_millis(600);
/// The time whose requests are bounded.
pub(crate) const WINDOW: time::Duration = time::Duration::from_secs(1);
/// The shortest time after a view for which a host sends nothing without permits.
const MIN_FALLBACK_DELAY: time::Duration = time::Duration::from_secs(3);
/// The time between the reports of a host, per host of the fleet.
const REPORT_INTERVAL_PER_HOST: time::Duration = time::Duration::from_millis(12);
/// The number of reports in a row that may be lost or late before the coordinator counts a host as one without a view.
const MAX_LOST_REPORTS: u32 = 4;

/// Returns the time after a view for which a host of a fleet of `hosts` sends nothing without permits. Meanwhile the
/// coordinator need not hold back anything for it.
pub(crate) fn fallback_delay(hosts: usize) -> time::Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let reports = REPORT_INTERVAL_PER_HOST
        .saturating_mul(hosts)
        .saturating_mul(MAX_LOST_REPORTS);
    MIN_FALLBACK_DELAY.max(WINDOW + PERMIT_LIFETIME + reports)
}
