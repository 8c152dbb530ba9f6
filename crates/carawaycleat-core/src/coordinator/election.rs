use std::time;

use crate::clock;
use crate::coordinator;
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
    /// released. `era_start` is the revision at which the entry hosts recorded the store's current era.
    #[must_use]
    pub fn from_entry(
        holder: Option<name::Name>,
        revision: revision::Revision,
        era_start: Option<revision::Revision>,
    ) -> Self {
        let is_current = revision.is_of_current_era(era_start);
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

/// The delays of a host's candidacies.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// The time for which the host lets better suited ones run for election first.
    pub candidacy: time::Duration,
    /// The time after another host's lease expired in which no order may be sent.
    pub order: time::Duration,
    /// The time that must pass between two orders of a host if another host has sent orders in between.
    pub gap: time::Duration,
}

/// Decides when a host tries to become the coordinator, and from when on it may send orders.
///
/// Engines that do not check fencing tokens must not receive orders of two coordinators close together. A coordinator
/// whose lease expired may have sent orders until then, so its successor pauses before its first order. Only the host
/// that was the last coordinator need not pause, and it runs for election without waiting.
///
/// A coordinator that releases the leadership is followed by another host at once. It must not return before its last
/// order is [`Delays::gap`] ago. A process knows when it has sent orders; of an earlier process of its host it knows
/// only that its orders were sent before its own start. The record of recent [`Holders`](coordinator::Holders) tells
/// whether there may have been any.
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
/// let delays = coordinator::Delays {
///     candidacy: time::Duration::from_millis(200),
///     order: time::Duration::from_secs(2),
///     gap: time::Duration::from_secs(3),
/// };
/// let mut election = coordinator::Election::new(clock::Instant::default(), host, delays, false);
/// let now = clock::Instant::from_millis(10_000);
/// election.observe(now, coordinator::Leadership::Vacant);
/// assert_eq!(election.candidacy(now), None);
/// let candidacy = election.candidacy(clock::Instant::from_millis(10_300)).unwrap();
/// assert_eq!((candidacy.revision, candidacy.order_delay), (0, delays.order));
/// ```
#[derive(Clone, Debug)]
pub struct Election {
    host: name::Name,
    delays: Delays,
    leadership: Leadership,
    /// When the leadership was first seen vacant or released; none while a host holds it.
    free_since: Option<clock::Instant>,
    /// The revision of the record of recent holders when the leadership was first seen released; none while a host holds it.
    released_at: Option<revision::Revision>,
    /// Whether there has been no coordinator before, as far as this host knows.
    is_first: bool,
    /// Whether this host was the last coordinator, in this process or an earlier one.
    was_last_holder: bool,
    /// Whether this process was the last coordinator.
    resumes: bool,
    /// Until when this host does not run for election after it released the leadership.
    ineligible_until: clock::Instant,
    /// Whether this process has been the coordinator.
    has_held: bool,
    /// The latest time at which this host may have sent an order in an earlier term; the start of the process before its
    /// first term.
    last_order: clock::Instant,
    /// The end of the delay of this process's latest candidacy. A write whose response was lost may have elected it.
    delayed_until: clock::Instant,
    /// The record of the hosts that have sent orders lately, as last seen.
    holders: coordinator::Holders,
    /// The revision at which this process last wrote that record.
    recorded: revision::Revision,
    /// Whether this process has written that record in its current term.
    is_recorded: bool,
    /// When the current term began; none until the record is first to be written in it.
    in_office_since: Option<clock::Instant>,
}

/// The delay before the first order after a release. Orders in flight arrive within it.
const RELEASE_ORDER_DELAY: time::Duration = time::Duration::from_millis(300);

impl Election {
    /// Returns the state of a host whose process has started at `now`. `is_first` says that the whole system starts for
    /// the first time.
    #[must_use]
    pub fn new(now: clock::Instant, host: name::Name, delays: Delays, is_first: bool) -> Self {
        Self {
            host,
            delays,
            leadership: Leadership::Vacant,
            free_since: None,
            released_at: None,
            is_first,
            was_last_holder: false,
            resumes: false,
            ineligible_until: clock::Instant::default(),
            has_held: false,
            last_order: now,
            delayed_until: clock::Instant::default(),
            holders: coordinator::Holders::default(),
            recorded: revision::Revision::default(),
            is_recorded: false,
            in_office_since: None,
        }
    }

    /// Records what the store says about the leadership.
    pub fn observe(&mut self, now: clock::Instant, leadership: Leadership) {
        if let Leadership::Held { holder, .. } = &leadership {
            self.is_first = false;
            self.was_last_holder = *holder == self.host;
            self.resumes &= self.was_last_holder;
            self.free_since = None;
            self.released_at = None;
            if !self.was_last_holder {
                // The candidacy of this host has failed.
                self.delayed_until = clock::Instant::default();
            }
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
        if matches!(leadership, Leadership::Released { .. }) {
            self.released_at.get_or_insert(self.holders.revision);
        }
        self.leadership = leadership;
    }

    /// Records the hosts that have sent orders lately, as this host's copy of the store says, which may be older than what
    /// this host has written or read since.
    pub fn observe_holders(&mut self, holders: &coordinator::Holders) {
        if holders.revision >= self.holders.revision {
            self.holders = holders.clone();
        }
        self.is_first &= holders.writer.is_none();
    }

    /// Records that the store has been restored from an older copy. Another host may have been the coordinator since
    /// this one was, even if no entry says so any more.
    pub fn record_restoration(&mut self) {
        self.is_first = false;
        self.was_last_holder = false;
        self.resumes = false;
        self.free_since = None;
        self.released_at = None;
        self.holders = coordinator::Holders::default();
        self.recorded = revision::Revision::default();
    }

    /// Returns the candidacy to submit now, or none while this host must wait or another one holds the leadership.
    #[must_use]
    pub fn candidacy(&self, now: clock::Instant) -> Option<Candidacy> {
        let earliest_order = self.earliest_order();
        let has_waited = self.free_since.is_some_and(|since| {
            now.since(since) >= self.delays.candidacy && now >= self.ineligible_until
        });
        let (revision, order_delay) = match &self.leadership {
            // Held by this process, or by an earlier process of the same host.
            Leadership::Held { revision, .. } if self.was_last_holder => {
                (*revision, time::Duration::ZERO)
            }
            Leadership::Held { .. } => return None,
            Leadership::Vacant if self.is_continuation() => (0, time::Duration::ZERO),
            Leadership::Vacant if self.is_first && has_waited => (0, time::Duration::ZERO),
            // The lease of a released entry has expired.
            Leadership::Vacant if self.released_at == Some(self.holders.revision) => {
                if !has_waited || now < earliest_order {
                    return None;
                }
                (0, RELEASE_ORDER_DELAY)
            }
            Leadership::Vacant if has_waited => (0, self.delays.order),
            // Hosts that need not wait for their own last order can send orders sooner.
            Leadership::Released { revision } if has_waited && now >= earliest_order => {
                (*revision, RELEASE_ORDER_DELAY)
            }
            Leadership::Restored {
                holder: None,
                revision,
            } if has_waited => (*revision, self.delays.order),
            Leadership::Restored {
                holder: Some(holder),
                revision,
            } if *holder == self.host => (*revision, self.delays.order),
            Leadership::Vacant | Leadership::Released { .. } | Leadership::Restored { .. } => {
                return None;
            }
        };
        let orders_from = earliest_order.max(self.delayed_until);
        Some(Candidacy {
            revision,
            order_delay: order_delay.max(orders_from.since(now)),
            resumes: self.resumes && !self.was_succeeded(),
        })
    }

    /// Records that `candidacy` is submitted. The delay of a candidacy also holds if the host is elected without knowing it.
    pub fn record_candidacy(&mut self, now: clock::Instant, candidacy: &Candidacy) {
        self.delayed_until = now + candidacy.order_delay;
    }

    /// Records that this host has been elected.
    pub fn record_win(&mut self) {
        self.holders.is_complete |= self.is_first;
        self.is_first = false;
        self.was_last_holder = true;
        self.resumes = true;
        self.free_since = None;
        self.has_held = true;
        self.is_recorded = false;
        self.in_office_since = None;
    }

    /// Records that this host has released the leadership.
    pub fn record_release(&mut self, now: clock::Instant) {
        self.was_last_holder = false;
        self.resumes = false;
        self.ineligible_until = now + self.delays.gap;
        self.last_order = now;
    }

    /// Records that this host's term has ended without a release, and that its last order was sent no later than at
    /// `last_order`.
    pub fn record_loss(&mut self, last_order: clock::Instant) {
        self.last_order = last_order;
    }

    /// Returns the record of recent holders that this host must write as the coordinator, with the revision that the write
    /// replaces; none if the record is up to date. The host must not send orders before the first one is written.
    ///
    /// All hosts that preceded this one have sent their last order before it was elected, so they are left out when it has
    /// been in office for [`Delays::gap`].
    pub fn holders_to_record(&mut self, now: clock::Instant) -> Option<coordinator::Holders> {
        let since = *self.in_office_since.get_or_insert(now);
        let holders = if now.since(since) >= self.delays.gap {
            coordinator::Holders {
                revision: self.holders.revision,
                ..coordinator::Holders::only(self.host.clone())
            }
        } else {
            self.holders.clone().succeeded_by(self.host.clone())
        };
        // The first write of a term fails if another host was elected that this one knows nothing of.
        (!self.is_recorded || holders != self.holders).then_some(holders)
    }

    /// Records that this host has written `holders`, whose revision is that of the write.
    pub fn record_written(&mut self, holders: coordinator::Holders) {
        self.recorded = holders.revision;
        self.holders = holders;
        self.is_recorded = true;
    }

    /// Records the holders that were read from the store because the record was not at the expected revision. Returns
    /// whether another host wrote them: this one then does not know who has sent orders since it last saw the record, and
    /// must give up the leadership. A record of this host was written in an attempt whose response was lost.
    #[must_use]
    pub fn record_read(&mut self, holders: coordinator::Holders) -> bool {
        if holders.writer.as_ref() == Some(&self.host) {
            self.recorded = holders.revision;
        }
        self.holders = holders;
        self.was_succeeded()
    }

    /// Returns whether another host has written the record of recent holders since this process did, as each coordinator
    /// does before its first order.
    fn was_succeeded(&self) -> bool {
        let is_other = self
            .holders
            .writer
            .as_ref()
            .is_some_and(|writer| *writer != self.host);
        is_other && self.holders.revision > self.recorded
    }

    /// Returns whether no other host may have sent orders since this host did, nor shortly before.
    fn is_continuation(&self) -> bool {
        self.was_last_holder
            && !self.was_succeeded()
            && (self.has_held || self.holders.is_only(&self.host))
    }

    /// Returns the time before which this host must not send orders, because an order that it sent earlier may be followed by
    /// orders of another host.
    fn earliest_order(&self) -> clock::Instant {
        let is_exempt = self.is_first || self.is_continuation();
        let may_have_ordered = self.has_held || self.holders.may_include(&self.host);
        if may_have_ordered && !is_exempt {
            self.last_order + self.delays.gap
        } else {
            clock::Instant::default()
        }
    }

    /// Returns whether another host holds the leadership.
    #[must_use]
    pub fn is_held_by_other(&self) -> bool {
        matches!(self.leadership, Leadership::Held { .. }) && !self.was_last_holder
    }
}
