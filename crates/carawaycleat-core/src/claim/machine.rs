use std::time;

use super::record;
use crate::clock;
use crate::name;
use crate::outcome;

/// The longest time between the sending of a write to the store and its effect.
const WRITE_SETTLE: time::Duration = time::Duration::from_secs(10);

/// The time between two reads while a write may still take effect; a late claim blocks repeats for this long.
const READ_EVERY: time::Duration = time::Duration::from_secs(1);

/// What a [`Machine`] learns.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The write took effect at this store revision.
    Written(u64),
    /// The store has this record at this revision; a write that compares did not take effect.
    Found(record::Record, u64),
    /// The store has no record of the key.
    Absent,
    /// The store did not answer; a write may have taken effect or may still do so.
    NoResponse,
    /// The time for the claim is over.
    Deadline,
    /// The request, dispatched earlier, ended with this outcome and HTTP status.
    Ended(outcome::Outcome, u16),
}

/// What a [`Machine`] wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Create the record when the key is absent.
    Create(record::Record),
    /// Read the record.
    Read,
    /// Read the record, not before this time.
    ReadAt(clock::Instant),
    /// Send the request to an upstream.
    Dispatch,
    /// Refuse the request, which this host will not send any more. The flow goes on: call [`Machine::begin_cleanup`].
    Refuse(outcome::Reason, outcome::Outcome),
    /// Replace the record when it is still at this revision.
    Replace(record::Record, u64),
    /// Delete the record when it is still at this revision.
    Delete(u64),
    /// Nothing is left to do.
    Done,
}

/// One request with an idempotency key at an entry host.
///
/// The request is dispatched only after the store confirmed that the record has this flow's operation. When that stays
/// open until the deadline, the request is refused as `claim_unavailable`: it is `not run`, because this flow never
/// dispatches it afterwards. A create that takes effect late leaves an orphaned claim. It cannot let a repeat run
/// twice: it fails when the repeat's record exists, and otherwise the repeat is refused. It must not block repeats
/// either: the flow reads until the write can no longer take effect and deletes what is its own. Only when the host
/// ends before that does the claim stay until its lease ends; repeats are then refused with outcome `unknown`.
#[derive(Clone, Debug)]
pub struct Machine {
    record: record::Record,
    created_at: clock::Instant,
    /// Whether a create had no answer and may still take effect.
    is_open: bool,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Claiming,
    Running { revision: u64 },
    Completing,
    Cleaning,
    Ended,
}

impl Machine {
    /// Returns the flow of `operation`, unique to this request, and its first action.
    pub fn new(now: clock::Instant, operation: u128, host: name::Name) -> (Self, Action) {
        let record = record::Record {
            operation,
            host,
            state: record::State::Started,
        };
        let flow = Self {
            record: record.clone(),
            created_at: now,
            is_open: false,
            phase: Phase::Claiming,
        };
        (flow, Action::Create(record))
    }

    /// Returns whether the flow needs no more events.
    pub fn has_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Takes up what happened and returns what is to be done.
    pub fn step(&mut self, now: clock::Instant, event: Event) -> Action {
        match self.phase {
            Phase::Claiming => self.claim(now, event),
            Phase::Running { revision } => self.run(event, revision),
            Phase::Completing => self.complete(event),
            Phase::Cleaning => self.clean_up(now, event),
            Phase::Ended => Action::Done,
        }
    }

    /// Returns the first action that removes an orphaned claim, after [`Action::Refuse`].
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
                // The other record may be deleted before an own late write takes effect.
                self.phase = if self.is_open {
                    Phase::Cleaning
                } else {
                    Phase::Ended
                };
                Action::Refuse(outcome::Reason::DuplicateRequest, found.outcome())
            }
            // The same operation may be created again: only one of the writes takes effect.
            Event::Absent => {
                self.created_at = now;
                Action::Create(self.record.clone())
            }
            Event::NoResponse => {
                self.is_open = true;
                Action::Read
            }
            Event::Deadline | Event::Ended(..) => {
                self.is_open = true;
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
            // A claim that stays `Started` tells a repeat that the outcome is unknown.
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
            Event::Written(_) | Event::Absent | Event::Found(..) if self.is_settled(now) => {
                self.end()
            }
            _ => Action::ReadAt(now + READ_EVERY),
        }
    }

    fn is_settled(&self, now: clock::Instant) -> bool {
        !self.is_open || now.since(self.created_at) >= WRITE_SETTLE
    }

    fn end(&mut self) -> Action {
        self.phase = Phase::Ended;
        Action::Done
    }
}
