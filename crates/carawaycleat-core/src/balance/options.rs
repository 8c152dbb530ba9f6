use std::time;

/// Limits and times of the return of callers.
#[derive(Clone, Debug)]
pub struct Options {
    /// The lease of a host's entry: the entry of a process that has ended stays for up to this time.
    pub entry_lease: time::Duration,
    /// The time from the registration of a host until the load balancer sends it connections.
    pub take_up_time: time::Duration,
    /// The time over which the connections that a host has missed are closed, so that their callers do not come at once.
    pub spread: time::Duration,
    /// The load from which connections are closed, relative to the mean of the hosts.
    pub min_load_ratio: f64,
    /// The age up to which the loads of the other hosts are used.
    pub max_load_age: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entry_lease: time::Duration::from_millis(4_000),
            take_up_time: time::Duration::from_millis(2_000),
            spread: time::Duration::from_millis(2_000),
            min_load_ratio: 1.1,
            max_load_age: time::Duration::from_millis(6_000),
        }
    }
}
