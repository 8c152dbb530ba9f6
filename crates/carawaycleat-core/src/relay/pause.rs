use std::collections;
use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::time;

use crate::clock;
use crate::name;

/// The longest pause that a host makes, whatever an upstream asks for.
pub(super) const MAX_PAUSE: time::Duration = time::Duration::from_secs(60);
/// The longest time that hosts add to a pause, so that they do not all come back at one moment, and that time as a fraction
/// of the pause.
const MAX_SPREAD: time::Duration = time::Duration::from_millis(500);
const SPREAD_FRACTION: f64 = 0.25;

/// Returns the time that `host` adds to a pause that `upstream` asked for. It is spread evenly over the hosts.
pub(super) fn spread(
    host: &name::Name,
    upstream: &name::Name,
    pause: time::Duration,
) -> time::Duration {
    let mut hasher = hash::DefaultHasher::new();
    (host, upstream).hash(&mut hasher);
    let position = hasher.finish() as f64 / u64::MAX as f64;
    MAX_SPREAD
        .min(pause.mul_f64(SPREAD_FRACTION))
        .mul_f64(position)
}

/// The pauses of upstreams whose entries are gone, each with the start of its process.
///
/// An entry may lapse and come back while the process that asked for the pause goes on.
#[derive(Clone, Debug, Default)]
pub(super) struct Pauses {
    until: collections::BTreeMap<(name::Name, u64), clock::Instant>,
}

impl Pauses {
    /// Records a pause that ends at `until`, at most [`MAX_PAUSE`] away.
    pub(super) fn record(&mut self, id: &name::Name, started: u64, until: clock::Instant) {
        self.until.insert((id.clone(), started), until);
    }

    /// Removes and returns the end of the pause of a process.
    pub(super) fn take(&mut self, id: &name::Name, started: u64) -> Option<clock::Instant> {
        self.until.remove(&(id.clone(), started))
    }

    /// Forgets the pauses that are over.
    pub(super) fn forget(&mut self, now: clock::Instant) {
        self.until.retain(|_, until| now < *until);
    }
}
