use std::time;

use crate::clock;
use crate::name;

/// What the store says about the coordinator.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Seat {
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
pub struct Application {
    /// The revision that the entry must have, 0 when there is none.
    pub revision: u64,
    /// The time after the election for which no order may be sent.
    pub pause: time::Duration,
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
/// let (wait, pause) = (time::Duration::from_millis(200), time::Duration::from_secs(2));
/// let mut election = coordinator::Election::new(host, wait, pause, false);
/// let now = clock::Instant::from_millis(1_000);
/// election.see(now, coordinator::Seat::Vacant);
/// assert_eq!(election.turn(now), None);
/// let application = election.turn(clock::Instant::from_millis(1_300)).unwrap();
/// assert_eq!((application.revision, application.pause), (0, pause));
/// ```
#[derive(Clone, Debug)]
pub struct Election {
    host: name::Name,
    /// The time that this host lets stronger ones apply first.
    wait: time::Duration,
    /// The time after the end of another host's lease for which no order may be sent.
    pause: time::Duration,
    seat: Seat,
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
        pause: time::Duration,
        is_first: bool,
    ) -> Self {
        Self {
            host,
            wait,
            pause,
            seat: Seat::Vacant,
            free: None,
            is_first,
            was_last: false,
            resumes: false,
            barred: clock::Instant::default(),
        }
    }

    /// Takes up what the store says.
    pub fn see(&mut self, now: clock::Instant, seat: Seat) {
        if let Seat::Held { holder, .. } = &seat {
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
    pub fn turn(&self, now: clock::Instant) -> Option<Application> {
        let has_waited = self
            .free
            .is_some_and(|free| now.since(free) >= self.wait && now >= self.barred);
        let (revision, pause) = match &self.seat {
            // The process before this one on the same machine, or this one.
            Seat::Held { revision, .. } if self.was_last => (*revision, time::Duration::ZERO),
            Seat::Held { .. } => return None,
            Seat::Vacant if self.was_last => (0, time::Duration::ZERO),
            Seat::Vacant if self.is_first && has_waited => (0, time::Duration::ZERO),
            Seat::Vacant if has_waited => (0, self.pause),
            Seat::Released { revision } if has_waited => (*revision, RELEASE_PAUSE),
            Seat::Vacant | Seat::Released { .. } => return None,
        };
        Some(Application {
            revision,
            pause,
            resumes: self.resumes,
        })
    }

    /// Notes that this host has been elected.
    pub fn won(&mut self) {
        self.is_first = false;
        self.was_last = true;
        self.resumes = true;
        self.free = None;
    }

    /// Notes that this host has released the seat.
    pub fn released(&mut self, now: clock::Instant) {
        self.was_last = false;
        self.resumes = false;
        self.barred = now + BAR;
    }

    /// Returns whether another host holds the seat.
    #[must_use]
    pub fn is_taken(&self) -> bool {
        matches!(self.seat, Seat::Held { .. }) && !self.was_last
    }
}
