use std::time;

use crate::clock;
use crate::name;

/// What the store says about the coordinator.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Leadership {
    /// There is no entry: its lease has ended, or there has been no coordinator yet.
    #[default]
    Vacant,
    /// A host holds the lease.
    Held {
        /// The host.
        holder: name::Name,
        /// The revision of the entry.
        revision: u64,
    },
    /// The coordinator has stopped its orders and lets others apply.
    Released {
        /// The revision of the entry.
        revision: u64,
    },
}

/// An attempt to become the coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidacy {
    /// The revision that the entry must have, 0 when there is none.
    pub revision: u64,
    /// The time after the election for which no order may be sent.
    pub order_delay: time::Duration,
    /// Whether nobody else has been the coordinator since this process was, so that what it knows holds.
    pub resumes: bool,
}

/// When a host applies to be the coordinator.
///
/// Engines that do not check fencing tokens must not get orders of two coordinators close together. A coordinator whose
/// lease ended may have sent orders while it lasted, so the next one pauses before its first order. Only the host that
/// was the coordinator before need not pause, and it applies first.
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
/// let (wait, order_delay) = (time::Duration::from_millis(200), time::Duration::from_secs(2));
/// let mut election = coordinator::Election::new(host, wait, order_delay, false);
/// let now = clock::Instant::from_millis(1_000);
/// election.observe(now, coordinator::Leadership::Vacant);
/// assert_eq!(election.candidacy(now), None);
/// let application = election.candidacy(clock::Instant::from_millis(1_300)).unwrap();
/// assert_eq!((application.revision, application.order_delay), (0, order_delay));
/// ```
#[derive(Clone, Debug)]
pub struct Election {
    host: name::Name,
    /// The time that this host lets stronger ones apply first.
    wait: time::Duration,
    /// The time after the end of another host's lease for which no order may be sent.
    order_delay: time::Duration,
    seat: Leadership,
    /// When the seat became free.
    free: Option<clock::Instant>,
    /// Whether there has been no coordinator before, as far as this host can know.
    is_first: bool,
    /// Whether this host was the last coordinator.
    was_last: bool,
    /// Whether this process was, and nobody since.
    resumes: bool,
    barred: clock::Instant,
}

/// The time for which a host that has released the seat lets others apply.
const BAR: time::Duration = time::Duration::from_secs(3);
/// The pause after a release: orders that are on their way arrive within it.
const RELEASE_PAUSE: time::Duration = time::Duration::from_millis(300);

impl Election {
    /// Returns the state of a host that lets others apply for `wait`, and that sends no order for `pause` after the
    /// lease of another one has ended. `is_first` says that the whole system starts for the first time.
    #[must_use]
    pub fn new(
        host: name::Name,
        wait: time::Duration,
        order_delay: time::Duration,
        is_first: bool,
    ) -> Self {
        Self {
            host,
            wait,
            order_delay,
            seat: Leadership::Vacant,
            free: None,
            is_first,
            was_last: false,
            resumes: false,
            barred: clock::Instant::default(),
        }
    }

    /// Takes up what the store says.
    pub fn observe(&mut self, now: clock::Instant, seat: Leadership) {
        if let Leadership::Held { holder, .. } = &seat {
            self.is_first = false;
            self.was_last = *holder == self.host;
            self.resumes &= self.was_last;
            self.free = None;
        } else {
            self.free.get_or_insert(now);
        }
        self.seat = seat;
    }

    /// Returns the application to make now, if it is this host's turn.
    pub fn candidacy(&self, now: clock::Instant) -> Option<Candidacy> {
        let has_waited = self
            .free
            .is_some_and(|free| now.since(free) >= self.wait && now >= self.barred);
        let (revision, order_delay) = match &self.seat {
            // The process before this one on the same machine, or this one.
            Leadership::Held { revision, .. } if self.was_last => (*revision, time::Duration::ZERO),
            Leadership::Held { .. } => return None,
            Leadership::Vacant if self.was_last => (0, time::Duration::ZERO),
            Leadership::Vacant if self.is_first && has_waited => (0, time::Duration::ZERO),
            Leadership::Vacant if has_waited => (0, self.order_delay),
            Leadership::Released { revision } if has_waited => (*revision, RELEASE_PAUSE),
            Leadership::Vacant | Leadership::Released { .. } => return None,
        };
        Some(Candidacy {
            revision,
            order_delay,
            resumes: self.resumes,
        })
    }

    /// Notes that this host has been elected.
    pub fn record_win(&mut self) {
        self.is_first = false;
        self.was_last = true;
        self.resumes = true;
        self.free = None;
    }

    /// Notes that this host has released the seat.
    pub fn record_release(&mut self, now: clock::Instant) {
        self.was_last = false;
        self.resumes = false;
        self.barred = now + BAR;
    }

    /// Returns whether another host holds the seat.
    #[must_use]
    pub fn is_held_by_other(&self) -> bool {
        matches!(self.seat, Leadership::Held { .. }) && !self.was_last
    }
}
