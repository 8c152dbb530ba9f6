//! How many connections and places a host has without a grant, and how long what it knows counts.

use std::time;

/// The connections of a host that does not know the others yet, unless an equal share is less. With one connection, a host of a
/// small fleet would refuse most of its first requests.
const MIN_STARTING: u32 = 4;
/// The part of an upstream's connections that hosts use. The rest covers probes, and connections that the upstream has not
/// closed yet.
const USABLE_PERCENT: u64 = 90;
/// The part of its equal share that a host has of an upstream that it hardly uses, while the coordinator divides the rest.
const BASE_DIVISOR: u32 = 2;
/// The hosts that a host assumes at least while it cannot know all of them.
const MIN_ASSUMED_HOSTS: u32 = 64;
/// The largest fleet whose hosts report often enough for the usual times: each 0.5 s. The interval grows with the hosts.
const MAX_USUAL_HOSTS: usize = 40;
/// The requests in progress at an upstream without models, as a multiple of its slots: all slots in use and a short queue.
const OCCUPANCY: f64 = 1.6;

/// The connections to an upstream whose service names no maximum.
const UNLIMITED: u32 = 1_000_000;

/// Returns the connections of all hosts together to an upstream that accepts `max_connections`; 0 means that it names no
/// maximum.
#[must_use]
pub fn usable(max_connections: usize) -> u32 {
    if max_connections == 0 {
        return UNLIMITED;
    }
    let usable = (max_connections as u64).saturating_mul(USABLE_PERCENT) / 100;
    u32::try_from(usable).unwrap_or(u32::MAX)
}

/// Returns the equal share of each of `hosts` hosts in `usable` connections. One host more may have started unnoticed.
#[must_use]
pub fn equal(usable: u32, hosts: usize) -> u32 {
    usable / u32::try_from(hosts).unwrap_or(u32::MAX).saturating_add(1)
}

/// Returns the share that each of `hosts` hosts has while the coordinator divides the rest.
#[must_use]
pub fn base(usable: u32, hosts: usize) -> u32 {
    equal(usable, hosts).div_ceil(BASE_DIVISOR)
}

/// Returns the share of a host that does not know the others yet.
pub(super) fn starting(usable: u32, hosts: usize) -> u32 {
    let assumed = MIN_ASSUMED_HOSTS as usize;
    equal(usable, assumed)
        .max(MIN_STARTING)
        .min(equal(usable, hosts))
}

/// Returns the connections that the coordinator divides. The rest is for hosts that start, of which it does not know yet.
pub(super) fn divisible(usable: u32) -> u32 {
    usable - usable / 16
}

/// Returns the requests in progress that all hosts together should have at an upstream without models.
#[must_use]
pub fn places(slots: u32) -> f64 {
    f64::from(slots) * OCCUPANCY
}

/// Returns a time after which a message counts as missing or old, in a fleet of `hosts` hosts.
pub(super) fn stretch(time: time::Duration, hosts: usize) -> time::Duration {
    time * u32::try_from(hosts.div_ceil(MAX_USUAL_HOSTS).max(1)).unwrap_or(u32::MAX)
}
