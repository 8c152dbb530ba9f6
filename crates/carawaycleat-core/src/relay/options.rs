use std::time;

use super::policy;
use crate::balance;

/// The limits and policies of an entry host.
#[derive(Clone, Debug)]
pub struct Options {
    /// The age of the configuration, since its last confirmation, up to which requests with a key are served.
    pub max_config_age: time::Duration,
    /// The age of the configuration, since its last confirmation, up to which unknown routes and keys are denied for
    /// good.
    pub max_denial_age: time::Duration,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// The retry budget of the fleet as a percentage of the requests in its window.
    pub retry_percent: u64,
    /// The retries that the fleet may send in a window on top of the percentage.
    pub retry_slack: u64,
    /// The time without progress of an upstream after which its requests in progress are retried elsewhere.
    pub stall_timeout: time::Duration,
    /// The longest time for which a request waits for a model that no engine is loading.
    pub max_unplaced_wait: time::Duration,
    /// The routing and queueing policies.
    pub policy: policy::Policy,
    /// The time after an outage of the store for which an upstream stays in use whose registration was removed.
    pub removal_grace: time::Duration,
    /// The limits and times of the return of callers to hosts that were away.
    pub balance: balance::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            // The platform requires that a withdrawn key stops working within 5 s. A watch may deliver nothing for a
            // second while keys are withdrawn; the rest covers requests in flight.
            max_config_age: time::Duration::from_millis(3_400),
            max_denial_age: time::Duration::from_millis(1_500),
            is_first_start: false,
            // The platform allows 20%; the margin covers requests that never leave their caller.
            retry_percent: 16,
            retry_slack: 40,
            // Four times the longest pause between events at the sites.
            stall_timeout: time::Duration::from_millis(600),
            max_unplaced_wait: time::Duration::from_millis(1_200),
            policy: policy::Policy::default(),
            // The platform restores lapsed registrations within 2 s after the store is back.
            removal_grace: time::Duration::from_millis(2_300),
            balance: balance::Options::default(),
        }
    }
}
