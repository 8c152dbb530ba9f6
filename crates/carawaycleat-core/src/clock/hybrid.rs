use crate::name;

/// A hybrid logical clock of one host.
///
/// Each stamp is later than all previous stamps of the clock, and later than each received stamp that is at most
/// [`Hybrid::MAX_AHEAD_MS`] ahead of the wall clock.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::clock;
/// use carawaycleat_core::name;
///
/// let mut clock = clock::Hybrid::new(name::Name::parse("entry-1").expect("a valid name"));
/// let first = clock.tick(1_000);
/// let second = clock.tick(900);
/// assert!(first < second);
/// ```
#[derive(Clone, Debug)]
pub struct Hybrid {
    host: name::Name,
    wall_ms: u64,
    counter: u64,
}

impl Hybrid {
    /// The maximum time by which a received stamp may be ahead of the local wall clock, in milliseconds.
    ///
    /// A stamp further ahead comes from a wrong clock, and is ignored, because adopting it would move the stamps of all
    /// hosts into the future. The events of that host then sort after those of the others.
    pub const MAX_AHEAD_MS: u64 = 60_000;

    /// The highest counter of a received stamp that is adopted.
    ///
    /// The counter restarts with each millisecond, so no correct host comes near this value. The local counter
    /// continues from a received one and must not overflow.
    pub const MAX_COUNTER: u64 = 1 << 32;

    /// Returns a clock for `host`.
    pub const fn new(host: name::Name) -> Self {
        Self {
            host,
            wall_ms: 0,
            counter: 0,
        }
    }

    /// Returns a stamp for a local event at the wall-clock time `wall_ms`, in milliseconds since the Unix epoch.
    pub fn tick(&mut self, wall_ms: u64) -> super::Stamp {
        if wall_ms > self.wall_ms {
            self.wall_ms = wall_ms;
            self.counter = 0;
        } else {
            self.counter += 1;
        }
        self.stamp()
    }

    /// Returns a stamp for the receipt of a message with the stamp `remote`.
    pub fn receive(&mut self, wall_ms: u64, remote: &super::Stamp) -> super::Stamp {
        let is_plausible = remote.wall_ms <= wall_ms.saturating_add(Self::MAX_AHEAD_MS);
        let remote_time = (remote.wall_ms, remote.counter);
        if is_plausible
            && remote.counter <= Self::MAX_COUNTER
            && remote_time > (self.wall_ms, self.counter)
        {
            (self.wall_ms, self.counter) = remote_time;
        }
        self.tick(wall_ms)
    }

    fn stamp(&self) -> super::Stamp {
        super::Stamp {
            wall_ms: self.wall_ms,
            counter: self.counter,
            host: self.host.clone(),
        }
    }
}
