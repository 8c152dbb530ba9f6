use std::time;

use super::policy;

/// Bounds and thresholds of an entry host.
#[derive(Clone, Debug)]
pub struct Options {
    /// The longest age of the confirmed configuration with which keyed requests are served.
    pub max_config_age: time::Duration,
    /// The age of the confirmed configuration up to which an unknown route or key is final.
    pub max_denial_age: time::Duration,
    /// The retries of the fleet as a fraction of the requests of the budget's window, in percent.
    pub retry_percent: u64,
    /// The retries of the fleet in the budget's window beside that.
    pub retry_slack: u64,
    /// The time without progress of an upstream after which its unanswered requests are tried elsewhere.
    pub stall_timeout: time::Duration,
    /// The longest time that a request waits for a model that nothing loads.
    pub max_unplaced_wait: time::Duration,
    /// The policies.
    pub policy: policy::Policy,
    /// The time after which an upstream whose entry was removed while the store was away counts as gone.
    pub removal_grace: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            // The platform's bound for a withdrawn key is 5 s. A watch may hear nothing for a second while keys are
            // withdrawn, and the rest is for requests on their way.
            max_config_age: time::Duration::from_millis(3_400),
            max_denial_age: time::Duration::from_millis(1_500),
            // The platform's bound is 20%; the margin covers requests that never leave their caller.
            retry_percent: 16,
            retry_slack: 40,
            // Four times the longest pause between events at the sites.
            stall_timeout: time::Duration::from_millis(600),
            max_unplaced_wait: time::Duration::from_millis(1_200),
            policy: policy::Policy::default(),
            // The platform restores lapsed entries within two seconds of its return.
            removal_grace: time::Duration::from_millis(2_300),
        }
    }
}
