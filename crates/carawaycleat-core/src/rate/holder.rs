use std::collections;
use std::time;

use crate::clock;
use crate::name;

use super::effect;
use super::state;

/// The claims and renewals whose answer may come late, as far as they are remembered.
const MAX_SENT: usize = 64;

/// The shards that one host holds.
///
/// A shard becomes spendable only by a claim or renewal that is known to have taken effect, and stops being
/// spendable when its release is about to be sent, when another holder is seen, or when nine tenths of the validity
/// have passed since before the last renewal was sent. A renewal with an unknown result changes nothing, so that a
/// store outage does not stop spending.
///
/// A write whose result is unknown may take effect later. It names the revision it expects, so it cannot take effect
/// after another write to the same shard.
#[derive(Clone, Debug)]
pub struct Holder {
    owner: super::Owner,
    validity: time::Duration,
    options: super::Options,
    slots: Vec<state::State>,
    roster: Vec<name::Name>,
    in_flight: Option<super::Write>,
    sent: collections::VecDeque<(String, clock::Instant)>,
    last_read: Option<clock::Instant>,
    operations: u64,
    is_listed: bool,
    is_stopping: bool,
}

impl Holder {
    /// Returns the holder for the process `owner`, which has bound its address, of a division into `total` shards.
    pub fn new(owner: super::Owner, total: u32) -> Self {
        Self {
            owner,
            validity: super::DEFAULT_VALIDITY,
            options: super::Options::GUARDED,
            slots: vec![state::State::default(); total as usize],
            roster: Vec::new(),
            in_flight: None,
            sent: collections::VecDeque::new(),
            last_read: None,
            operations: 0,
            is_listed: false,
            is_stopping: false,
        }
    }

    /// Sets the validity of the shards and returns the holder.
    #[must_use]
    pub fn validity(mut self, validity: time::Duration) -> Self {
        self.validity = validity;
        self
    }

    /// Sets the options and returns the holder.
    #[must_use]
    pub fn options(mut self, options: super::Options) -> Self {
        self.options = options;
        self
    }

    /// Sets the known entry hosts, among which the shards are divided evenly.
    pub fn set_roster(&mut self, hosts: &[name::Name]) {
        self.roster = hosts.to_vec();
        self.roster.sort();
        self.roster.dedup();
    }

    /// Starts the release of all shards, for a planned stop.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Returns whether the records show no shard of this process and no write is under way.
    pub fn is_released(&self) -> bool {
        let is_mine = |s: &state::State| s.is_unread || s.is_at(&self.owner);
        self.in_flight.is_none() && !self.slots.iter().any(is_mine)
    }

    /// Returns the number of shards that may be spent.
    pub fn spendable(&self, now: clock::Instant) -> u32 {
        let held = self.slots.iter().filter(|slot| slot.is_spendable(now));
        u32::try_from(held.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of shards that the division has.
    pub fn total(&self) -> u32 {
        u32::try_from(self.slots.len()).unwrap_or(u32::MAX)
    }

    /// Notes all records; shards that are not among them have none.
    pub fn record_listing(&mut self, now: clock::Instant, records: &[super::Observation]) {
        self.is_listed = true;
        for record in records {
            self.observe(now, record);
        }
    }

    /// Notes a record that the watch showed. A revision that is not above the known one changes nothing.
    pub fn observe(&mut self, now: clock::Instant, observed: &super::Observation) {
        let Some(slot) = self.slots.get_mut(observed.number as usize) else {
            return;
        };
        if observed.revision <= slot.revision {
            return;
        }
        slot.record.clone_from(&observed.shard);
        slot.revision = observed.revision;
        slot.seen = now;
        slot.is_unread = false;
        let is_own = slot.owner() == Some(&self.owner);
        let record = slot.record.clone().filter(|_| is_own);
        let sent = record.and_then(|record| {
            let (_, sent) = self.sent.iter().find(|(id, _)| *id == record.operation)?;
            Some((*sent, record.spendable_for()))
        });
        match sent {
            Some((sent, span)) => {
                let start = if self.options.counts_from_sending {
                    sent
                } else {
                    now
                };
                let end = match self.options.ends_with_validity {
                    true => start + span,
                    false => clock::Instant::from_micros(u64::MAX),
                };
                slot.hold(now, start, end);
            }
            None => slot.until = None,
        }
    }

    /// Notes the records that an [`Effect::Read`](super::Effect::Read) asked for.
    pub fn record_read(&mut self, now: clock::Instant, records: &[super::Observation]) {
        for record in records {
            self.observe(now, record);
            if let Some(slot) = self.slots.get_mut(record.number as usize) {
                slot.is_unread = false;
            }
        }
    }

    /// Notes the result of the write `id`. Results of earlier writes are ignored; their effect is observed.
    pub fn record_outcome(&mut self, now: clock::Instant, id: &str, answer: super::Outcome) {
        let Some(write) = self.in_flight.take_if(|write| write.id == id) else {
            return;
        };
        for put in write.puts {
            match answer {
                super::Outcome::Written(revision) => {
                    let observed = super::Observation {
                        number: put.number,
                        shard: Some(put.shard),
                        revision,
                    };
                    self.observe(now, &observed);
                }
                super::Outcome::Rejected | super::Outcome::Unknown => {
                    self.slots[put.number as usize].is_unread = true;
                }
            }
        }
    }

    /// Returns what to do now; one write is under way at a time.
    ///
    /// The caller passes [`spendable`](Self::spendable) to the ledger before it performs the effects.
    pub fn tick(&mut self, now: clock::Instant) -> Vec<super::Effect> {
        self.expire(now);
        let mut effects = Vec::new();
        effects.extend(self.read_back(now));
        if self.in_flight.is_none() && self.is_listed {
            effects.extend(self.next_write(now).map(super::Effect::Write));
        }
        effects
    }

    fn expire(&mut self, now: clock::Instant) {
        if let Some(write) = &self.in_flight
            && now.since(write.sent_at) >= super::WRITE_TIMEOUT
        {
            let id = write.id.clone();
            self.record_outcome(now, &id, super::Outcome::Unknown);
        }
        for slot in &mut self.slots {
            slot.until = slot.until.filter(|until| now < *until);
        }
    }

    fn read_back(&mut self, now: clock::Instant) -> Option<super::Effect> {
        let is_unread = |number: &u32| self.slots[*number as usize].is_unread;
        let numbers: Vec<u32> = (0..self.total()).filter(is_unread).collect();
        let is_early = self
            .last_read
            .is_some_and(|last| now.since(last) < super::READ_RETRY_INTERVAL);
        if numbers.is_empty() || is_early {
            return None;
        }
        self.last_read = Some(now);
        Some(super::Effect::Read(numbers))
    }

    fn next_write(&mut self, now: clock::Instant) -> Option<super::Write> {
        let release = self.excess(now);
        if !release.is_empty() {
            return Some(self.write(now, effect::Operation::Release, &release));
        }
        let renew = self.due(now);
        if !renew.is_empty() {
            return Some(self.write(now, effect::Operation::Renew, &renew));
        }
        let claim = self.wanted(now);
        (!claim.is_empty()).then(|| self.write(now, effect::Operation::Claim, &claim))
    }

    /// Returns this host's position in the roster and its even part, or none while it is not in the roster.
    fn part(&self) -> Option<(usize, usize)> {
        let position = self.roster.binary_search(&self.owner.host).ok()?;
        let (total, hosts) = (self.slots.len(), self.roster.len());
        Some((
            position,
            total / hosts + usize::from(position < total % hosts),
        ))
    }

    fn target(&self) -> usize {
        match self.part() {
            Some((_, part)) if !self.is_stopping => part,
            _ => 0,
        }
    }

    /// Returns the shards above this host's part, those that are not held first.
    fn excess(&self, now: clock::Instant) -> Vec<u32> {
        if self.roster.is_empty() && !self.is_stopping {
            return Vec::new();
        }
        let mut mine: Vec<u32> = self.numbers(|slot| slot.is_at(&self.owner));
        let count = mine.len().saturating_sub(self.target());
        mine.sort_by_key(|n| (self.slots[*n as usize].is_held(now), u32::MAX - n));
        mine.retain(|n| !self.slots[*n as usize].is_unread);
        mine.truncate(count.min(super::MAX_PUTS));
        mine
    }

    /// Returns the held shards when a renewal is due for one of them.
    fn due(&self, now: clock::Instant) -> Vec<u32> {
        let every = self.validity / super::RENEWALS_PER_VALIDITY;
        let is_due = |slot: &state::State| {
            slot.is_held(now) && !slot.is_unread && now.since(slot.renewed) >= every
        };
        let mut due = self.numbers(is_due);
        due.truncate(super::MAX_PUTS);
        due
    }

    /// Returns the shards to claim: first those held on the same address, then from this host's position on, so that
    /// hosts that start together claim different ones.
    fn wanted(&self, now: clock::Instant) -> Vec<u32> {
        let Some((position, _)) = self.part() else {
            return Vec::new();
        };
        let held = self.numbers(|slot| slot.is_held(now)).len();
        let is_open = |slot: &state::State| {
            !slot.is_unread
                && !slot.is_held(now)
                && slot.is_claimable(now, &self.owner, self.options.waits_for_validity)
        };
        let mut open = self.numbers(is_open);
        let total = self.slots.len();
        let start = position * total / self.roster.len();
        open.sort_by_key(|n| {
            let distance = (*n as usize + total - start) % total;
            (!self.slots[*n as usize].is_at(&self.owner), distance)
        });
        open.truncate(self.target().saturating_sub(held).min(super::MAX_PUTS));
        open
    }

    fn numbers(&self, is_chosen: impl Fn(&state::State) -> bool) -> Vec<u32> {
        (0..self.total())
            .filter(|n| is_chosen(&self.slots[*n as usize]))
            .collect()
    }

    fn write(
        &mut self,
        now: clock::Instant,
        operation: effect::Operation,
        numbers: &[u32],
    ) -> super::Write {
        self.operations += 1;
        let owner = &self.owner;
        let id = format!("{}.{}.{}", owner.host, owner.incarnation, self.operations);
        let is_release = operation == effect::Operation::Release;
        if !is_release {
            self.sent.push_back((id.clone(), now));
            if self.sent.len() > MAX_SENT {
                self.sent.pop_front();
            }
        }
        let puts = numbers
            .iter()
            .map(|number| self.put(*number, &id, is_release));
        let write = super::Write {
            puts: puts.collect(),
            id,
            operation,
            sent_at: now,
        };
        for number in numbers {
            let slot = &mut self.slots[*number as usize];
            if is_release && self.options.stops_before_release {
                slot.until = None;
            }
            if operation == effect::Operation::Claim && !self.options.confirms_claims {
                slot.hold(now, now, now + self.validity);
            }
        }
        self.in_flight = Some(write.clone());
        write
    }

    fn put(&self, number: u32, id: &str, is_release: bool) -> super::Put {
        let slot = &self.slots[number as usize];
        let millis = self.validity.as_millis();
        super::Put {
            number,
            expected_revision: slot.revision,
            shard: super::Shard {
                owner: (!is_release).then(|| self.owner.clone()),
                sequence: slot.record.as_ref().map_or(0, |r| r.sequence) + 1,
                validity_ms: u64::try_from(millis).unwrap_or(u64::MAX),
                operation: id.to_owned(),
            },
        }
    }
}
