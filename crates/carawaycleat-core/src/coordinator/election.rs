use std::time;

use crate::clock;
use crate::name;
use crate::revision;

/// Who holds the coordinator's lease, according to the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Leadership {
    /// The store has no entry: the lease has expired, or there has been no coordinator yet.
    #[default]
    Vacant,
    /// A host holds the lease.
    Held {
        /// The host that holds it.
        holder: name::Name,
        /// The revision of the entry.
        revision: u64,
    },
    /// The coordinator has stopped sending orders and released the lease.
    Released {
        /// The revision of the entry.
        revision: u64,
    },
    /// The entry may be from the copy that the store was restored from, so that other hosts may have been the
    /// coordinator since it was written.
    Restored {
        /// The host that held the lease, unless it was released.
        holder: Option<name::Name>,
        /// The revision of the entry.
        revision: u64,
    },
}

impl Leadership {
    /// Returns what an entry says that was written at `revision` and names `holder`, or no host when the lease was
    /// released. `era_start` is the revision at which the entry hosts recorded the store's current era; an entry that is
    /// not later may be from a copy.
    #[must_use]
    pub fn from_entry(
        holder: Option<name::Name>,
        revision: revision::Revision,
        era_start: Option<revision::Revision>,
    ) -> Self {
        let is_current = revision.era == 0
            || era_start.is_some_and(|start| start.era == revision.era && start < revision);
        let revision = revision.number;
        match holder {
            Some(holder) if is_current => Self::Held { holder, revision },
            None if is_current => Self::Released { revision },
            holder => Self::Restored { holder, revision },
        }
    }
}

/// An attempt of this host to become the coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidacy {
    /// The revision that the entry must have when it is written, 0 when there must be no entry.
    pub revision: u64,
    /// The time after the election in which no order may be sent.
    pub order_delay: time::Duration,
    /// Whether no other host has been the coordinator since this process was, so that its state is still valid.
    pub resumes: bool,
}

/// Decides when a host tries to become the coordinator.
///
/// Engines that do not check fencing tokens must not receive orders of two coordinators close together. A coordinator
/// whose lease expired may have sent orders until then, so its successor pauses before its first order. Only the host
/// that was the last coordinator need not pause, and it runs for election without waiting.
///
/// # Examples
///
/// ```
/// use std::time;
///
/// use carawaycleat_core::clock;
/// use carawaycleat_core::coordinator;
/// use carawaycleat_core::name;
///
/// let host = name::Name::parse("host-1").unwrap();
/// let candidacy_delay = time::Duration::from_millis(200);
/// let order_delay = time::Duration::from_secs(2);
/// let mut election = coordinator::Election::new(host, candidacy_delay, order_delay, false);
/// let now = clock::Instant::from_millis(1_000);
/// election.observe(now, coordinator::Leadership::Vacant);
/// assert_eq!(election.candidacy(now), None);
/// let candidacy = election.candidacy(clock::Instant::from_millis(1_300)).unwrap();
/// assert_eq!((candidacy.revision, candidacy.order_delay), (0, order_delay));
/// ```
#[derive(Clone, Debug)]
pub struct Election {
    host: name::Name,
    /// The time for which this host lets better suited ones run for election first.
    candidacy_delay: time::Duration,
    /// The time after another host's lease expired in which no order may be sent.
    order_delay: time::Duration,
    leadership: Leadership,
    /// When the leadership was first seen vacant or released; none while a host holds it.
    free_since: Option<clock::Instant>,
    /// Whether there has been no coordinator before, as far as this host knows.
    is_first: bool,
    /// Whether this host was the last coordinator, in this process or an earlier one.
    was_last_holder: bool,
    /// Whether this process was the last coordinator.
    resumes: bool,
    /// Until when this host does not run for election after it released the leadership.
    ineligible_until: clock::Instant,
}

/// The time for which a host that has released the leadership does not run for election.
const RELEASE_COOLDOWN: time::Duration = time::Duration::from_secs(3);
/// The delay before the first order after a release. Orders in flight arrive within it.
const RELEASE_ORDER_DELAY: time::Duration = time::Duration::from_millis(300);

impl Election {
    /// Returns the state of a host that waits for `candidacy_delay` before it runs for election, and sends no order for
    /// `order_delay` after another host's lease expired. `is_first` says that the whole system starts for the first
    /// time.
    #[must_use]
    pub fn new(
        host: name::Name,
        candidacy_delay: time::Duration,
        order_delay: time::Duration,
        is_first: bool,
    ) -> Self {
        Self {
            host,
            candidacy_delay,
            order_delay,
            leadership: Leadership::Vacant,
            free_since: None,
            is_first,
            was_last_holder: false,
            resumes: false,
            ineligible_until: clock::Instant::default(),
        }
    }

    /// Records what the store says about the leadership.
    pub fn observe(&mut self, now: clock::Instant, leadership: Leadership) {
        if let Leadership::Held { holder, .. } = &leadership {
            self.is_first = false;
            self.was_last_holder = *holder == self.host;
            self.resumes &= self.was_last_holder;
            self.free_since = None;
        } else if matches!(
            &leadership,
            Leadership::Restored {
                holder: Some(_),
                ..
            }
        ) {
            // The lease of a host that is gone expires.
            self.free_since = None;
        } else {
            self.free_since.get_or_insert(now);
        }
        self.leadership = leadership;
    }

    /// Records that the store has been restored from an older copy. Another host may have been the coordinator since
    /// this one was, even if no entry says so any more.
    pub fn record_restoration(&mut self) {
        self.is_first = false;
        self.was_last_holder = false;
        self.resumes = false;
        self.free_since = None;
    }

    /// Returns the candidacy to submit now, or none while this host must wait or another one holds the leadership.
    pub fn candidacy(&self, now: clock::Instant) -> Option<Candidacy> {
        let has_waited = self.free_since.is_some_and(|since| {
            now.since(since) >= self.candidacy_delay && now >= self.ineligible_until
        });
        let (revision, order_delay) = match &self.leadership {
            // Held by this process, or by an earlier process of the same host.
            Leadership::Held { revision, .. } if self.was_last_holder => {
                (*revision, time::Duration::ZERO)
            }
            Leadership::Held { .. } => return None,
            Leadership::Vacant if self.was_last_holder => (0, time::Duration::ZERO),
            Leadership::Vacant if self.is_first && has_waited => (0, time::Duration::ZERO),
            Leadership::Vacant if has_waited => (0, self.order_delay),
            Leadership::Released { revision } if has_waited => (*revision, RELEASE_ORDER_DELAY),
            Leadership::Restored {
                holder: None,
                revision,
            } if has_waited => (*revision, self.order_delay),
            Leadership::Restored {
                holder: Some(holder),
                revision,
            } if *holder == self.host => (*revision, self.order_delay),
            Leadership::Vacant | Leadership::Released { .. } | Leadership::Restored { .. } => {
                return None;
            }
        };
        Some(Candidacy {
            revision,
            order_delay,
            resumes: self.resumes,
        })
    }

    /// Records that this host has been elected.
    pub fn record_win(&mut self) {
        self.is_first = false;
        self.was_last_holder = true;
        self.resumes = true;
        self.free_since = None;
    }

    /// Records that this host has released the leadership.
    pub fn record_release(&mut self, now: clock::Instant) {
        self.was_last_holder = false;
        self.resumes = false;
        self.ineligible_until = now + RELEASE_COOLDOWN;
    }

    /// Returns whether another host holds the leadership.
    #[must_use]
    pub fn is_held_by_other(&self) -> bool {
        matches!(self.leadership, Leadership::Held { .. }) && !self.was_last_holder
    }
}
