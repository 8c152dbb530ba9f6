use std::time;

use super::record;
use crate::clock;
use crate::name;
use crate::outcome;

/// Longest time after sending a write to the store within which it may take effect.
const MAX_WRITE_DELAY: time::Duration = time::Duration::from_secs(10);

/// Time between two reads while a write may still take effect. A late claim can block repeats for this long.
const READ_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// An input of a [`Machine`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The write took effect at this revision of the store.
    Written(u64),
    /// The store holds this record at this revision. A conditional write did not take effect.
    Found(record::Record, u64),
    /// The store holds no record of the key.
    Absent,
    /// The store did not respond. A write may have taken effect, or may still do so.
    NoResponse,
    /// The time limit for the claim was reached.
    Deadline,
    /// The dispatched request ended with this outcome and HTTP status.
    Ended(outcome::Outcome, u16),
}

/// An action that a [`Machine`] requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Create the record if the key is absent.
    Create(record::Record),
    /// Read the record.
    Read,
    /// Read the record at this time or later.
    ReadAt(clock::Instant),
    /// Send the request to an upstream.
    Dispatch,
    /// Refuse the request, which this host will not dispatch any more. The machine must still be driven to its end,
    /// beginning with [`Machine::begin_cleanup`].
    Refuse(outcome::Reason, outcome::Outcome),
    /// Replace the record if it is still at this revision.
    Replace(record::Record, u64),
    /// Delete the record if it is still at this revision.
    Delete(u64),
    /// Nothing to do.
    ///
    /// Returned when the machine ends and for each event after that, and by [`Machine::begin_cleanup`] when there is no
    /// claim to remove. While the request runs, it is also returned for every event but the end of the request; the
    /// machine has not ended then, see [`Machine::has_ended`].
    Done,
}

/// State machine of the claim of one request with an idempotency key, at an entry host.
///
/// The request is dispatched only after the store has confirmed that the record holds this machine's operation. If that
/// is still uncertain at the deadline, the request is refused as `claim_unavailable` with the outcome `not run`, which
/// is correct because this machine never dispatches it afterwards.
///
/// A create that takes effect late leaves an orphaned claim. It cannot make a repeat, a later request with the same
/// key, run twice: the late create fails if the repeat's record exists, and otherwise the repeat is refused. Nor must
/// it block repeats: the machine reads the record until the write can no longer take effect, and deletes the record if
/// it is its own. The orphaned claim stays until its lease ends only if the host ends before that; repeats are then
/// refused with the outcome `unknown`.
#[derive(Clone, Debug)]
pub struct Machine {
    record: record::Record,
    created_at: clock::Instant,
    /// Whether the store did not respond to a create, which may still take effect.
    is_create_uncertain: bool,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The create is not confirmed.
    Claiming,
    /// The request is dispatched; its record is at this revision of the store.
    Running {
        revision: u64,
    },
    /// The outcome of the request is being written to the record.
    Completing,
    /// The machine's record, or one that a late create may leave, is being deleted.
    Cleaning,
    Ended,
}

impl Machine {
    /// Returns the machine of `operation`, which must be unique to this request, and its first action.
    pub fn new(now: clock::Instant, operation: u128, host: name::Name) -> (Self, Action) {
        let record = record::Record {
            operation,
            host,
            state: record::State::Started,
        };
        let machine = Self {
            record: record.clone(),
            created_at: now,
            is_create_uncertain: false,
            phase: Phase::Claiming,
        };
        (machine, Action::Create(record))
    }

    /// Returns whether the machine needs no more events.
    pub fn has_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Processes an event and returns the next action.
    pub fn step(&mut self, now: clock::Instant, event: Event) -> Action {
        match self.phase {
            Phase::Claiming => self.claim(now, event),
            Phase::Running { revision } => self.run(event, revision),
            Phase::Completing => self.complete(event),
            Phase::Cleaning => self.clean_up(now, event),
            Phase::Ended => Action::Done,
        }
    }

    /// Returns the action to perform after [`Action::Refuse`], which begins the removal of an orphaned claim.
    pub fn begin_cleanup(&self) -> Action {
        match self.phase {
            Phase::Cleaning => Action::Read,
            _ => Action::Done,
        }
    }

    fn is_own(&self, found: &record::Record) -> bool {
        found.operation == self.record.operation
    }

    fn claim(&mut self, now: clock::Instant, event: Event) -> Action {
        match event {
            Event::Written(revision) => self.dispatch(revision),
            Event::Found(found, revision) if self.is_own(&found) => self.dispatch(revision),
            Event::Found(found, _) => {
                // The other record may be deleted before an uncertain write of this machine takes effect.
                self.phase = if self.is_create_uncertain {
                    Phase::Cleaning
                } else {
                    Phase::Ended
                };
                Action::Refuse(outcome::Reason::DuplicateRequest, found.outcome())
            }
            // Creating the same operation again is safe: only one of the writes takes effect.
            Event::Absent => {
                self.created_at = now;
                Action::Create(self.record.clone())
            }
            Event::NoResponse => {
                self.is_create_uncertain = true;
                Action::Read
            }
            Event::Deadline | Event::Ended(..) => {
                self.is_create_uncertain = true;
                self.phase = Phase::Cleaning;
                Action::Refuse(outcome::Reason::ClaimUnavailable, outcome::Outcome::NotRun)
            }
        }
    }

    fn dispatch(&mut self, revision: u64) -> Action {
        self.phase = Phase::Running { revision };
        Action::Dispatch
    }

    fn run(&mut self, event: Event, revision: u64) -> Action {
        match event {
            Event::Ended(outcome::Outcome::NotRun, _) => {
                self.phase = Phase::Cleaning;
                Action::Delete(revision)
            }
            Event::Ended(outcome::Outcome::Ran, status) => {
                self.record.state = record::State::Completed { status };
                self.phase = Phase::Completing;
                Action::Replace(self.record.clone(), revision)
            }
            // The claim stays `Started`, so that a repeat is refused with the outcome unknown.
            Event::Ended(outcome::Outcome::Unknown, _) => self.end(),
            _ => Action::Done,
        }
    }

    fn complete(&mut self, event: Event) -> Action {
        match event {
            Event::NoResponse => Action::Read,
            Event::Found(found, revision) if self.is_own(&found) && found != self.record => {
                Action::Replace(self.record.clone(), revision)
            }
            _ => self.end(),
        }
    }

    fn clean_up(&mut self, now: clock::Instant, event: Event) -> Action {
        match event {
            Event::Found(found, revision) if self.is_own(&found) => Action::Delete(revision),
            Event::Written(_) | Event::Absent | Event::Found(..) if self.is_write_resolved(now) => {
                self.end()
            }
            _ => Action::ReadAt(now + READ_INTERVAL),
        }
    }

    /// Returns whether no create of this machine can take effect any more.
    fn is_write_resolved(&self, now: clock::Instant) -> bool {
        !self.is_create_uncertain || now.since(self.created_at) >= MAX_WRITE_DELAY
    }

    fn end(&mut self) -> Action {
        self.phase = Phase::Ended;
        Action::Done
    }
}
