use std::collections;
use std::time;

use crate::clock;
use crate::name;

use super::effect;
use super::state;

/// The largest number of recent claims and renewals whose time of sending is kept, for late outcomes.
const MAX_SENT: usize = 64;

/// The shards that one host holds.
///
/// A shard becomes spendable only by a claim or renewal that is known to have taken effect. It stops being spendable
/// before its release is sent, when another holder is observed, or when nine tenths of the validity have passed since
/// before the last renewal was sent. A renewal with an unknown outcome changes nothing, so that a store outage does not
/// stop spending.
///
/// A write with an unknown outcome may take effect later. It is conditional on the revision of each record, so it
/// cannot take effect after another write to the same shard.
#[derive(Clone, Debug)]
pub struct Holder {
    owner: super::Owner,
    validity: time::Duration,
    options: super::Options,
    shards: Vec<state::State>,
    roster: Vec<name::Name>,
    in_flight: Option<super::Write>,
    sent: collections::VecDeque<(String, clock::Instant)>,
    last_read: Option<clock::Instant>,
    operations: u64,
    is_listed: bool,
    is_stopping: bool,
}

impl Holder {
    /// Returns the holder for the process `owner`, which has bound its address, with rates divided into `total` shards.
    pub fn new(owner: super::Owner, total: u32) -> Self {
        Self {
            owner,
            validity: super::DEFAULT_VALIDITY,
            options: super::Options::GUARDED,
            shards: vec![state::State::default(); total as usize],
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

    /// Sets the known entry hosts, among which the shards are divided equally.
    pub fn set_roster(&mut self, hosts: &[name::Name]) {
        self.roster = hosts.to_vec();
        self.roster.sort();
        self.roster.dedup();
    }

    /// Starts to release all shards, for a planned stop.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Returns whether the records show no shard of this process and no write is in flight.
    pub fn is_released(&self) -> bool {
        let is_own = |s: &state::State| s.needs_read || s.is_held_at(&self.owner);
        self.in_flight.is_none() && !self.shards.iter().any(is_own)
    }

    /// Returns the number of shards that may be spent.
    pub fn spendable(&self, now: clock::Instant) -> u32 {
        let held = self.shards.iter().filter(|shard| shard.is_spendable(now));
        u32::try_from(held.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of shards that each rate is divided into.
    pub fn total(&self) -> u32 {
        u32::try_from(self.shards.len()).unwrap_or(u32::MAX)
    }

    /// Records a listing of all shards; those that are not in it have no record.
    pub fn record_listing(&mut self, now: clock::Instant, records: &[super::Observation]) {
        self.is_listed = true;
        for record in records {
            self.observe(now, record);
        }
    }

    /// Records a change that the watch reported. A revision that is not above the known one changes nothing.
    pub fn observe(&mut self, now: clock::Instant, observed: &super::Observation) {
        let Some(shard) = self.shards.get_mut(observed.number as usize) else {
            return;
        };
        if observed.revision <= shard.revision {
            return;
        }
        shard.record.clone_from(&observed.shard);
        shard.revision = observed.revision;
        shard.observed_at = now;
        shard.needs_read = false;
        let is_own = shard.owner() == Some(&self.owner);
        let record = shard.record.clone().filter(|_| is_own);
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
                shard.hold(now, start, end);
            }
            None => shard.held_until = None,
        }
    }

    /// Records the response to an [`Effect::Read`](super::Effect::Read).
    pub fn record_read(&mut self, now: clock::Instant, records: &[super::Observation]) {
        for record in records {
            self.observe(now, record);
            if let Some(shard) = self.shards.get_mut(record.number as usize) {
                shard.needs_read = false;
            }
        }
    }

    /// Records the outcome of the write `id`. Outcomes of earlier writes are ignored; their effects are observed.
    pub fn record_outcome(&mut self, now: clock::Instant, id: &str, outcome: super::Outcome) {
        let Some(write) = self.in_flight.take_if(|write| write.id == id) else {
            return;
        };
        for put in write.puts {
            match outcome {
                super::Outcome::Written(revision) => {
                    let observed = super::Observation {
                        number: put.number,
                        shard: Some(put.shard),
                        revision,
                    };
                    self.observe(now, &observed);
                }
                super::Outcome::Rejected | super::Outcome::Unknown => {
                    self.shards[put.number as usize].needs_read = true;
                }
            }
        }
    }

    /// Returns the store operations that are due; one write is in flight at a time.
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
        for shard in &mut self.shards {
            shard.held_until = shard.held_until.filter(|until| now < *until);
        }
    }

    fn read_back(&mut self, now: clock::Instant) -> Option<super::Effect> {
        let needs_read = |number: &u32| self.shards[*number as usize].needs_read;
        let numbers: Vec<u32> = (0..self.total()).filter(needs_read).collect();
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
        let renew = self.renewable(now);
        if !renew.is_empty() {
            return Some(self.write(now, effect::Operation::Renew, &renew));
        }
        let claim = self.claimable(now);
        (!claim.is_empty()).then(|| self.write(now, effect::Operation::Claim, &claim))
    }

    /// Returns this host's position in the roster and its equal share of the shards, or none while it is not in the
    /// roster.
    fn assignment(&self) -> Option<(usize, usize)> {
        let position = self.roster.binary_search(&self.owner.host).ok()?;
        let (total, hosts) = (self.shards.len(), self.roster.len());
        Some((
            position,
            total / hosts + usize::from(position < total % hosts),
        ))
    }

    /// Returns the number of shards that this host should hold.
    fn target_count(&self) -> usize {
        match self.assignment() {
            Some((_, share)) if !self.is_stopping => share,
            _ => 0,
        }
    }

    /// Returns the shards above this host's share, those that are not held first.
    fn excess(&self, now: clock::Instant) -> Vec<u32> {
        if self.roster.is_empty() && !self.is_stopping {
            return Vec::new();
        }
        let mut owned: Vec<u32> = self.numbers(|shard| shard.is_held_at(&self.owner));
        let count = owned.len().saturating_sub(self.target_count());
        owned.sort_by_key(|n| (self.shards[*n as usize].is_held(now), u32::MAX - n));
        owned.retain(|n| !self.shards[*n as usize].needs_read);
        owned.truncate(count.min(super::MAX_PUTS));
        owned
    }

    /// Returns the held shards whose renewal is due.
    fn renewable(&self, now: clock::Instant) -> Vec<u32> {
        let interval = self.validity / super::RENEWALS_PER_VALIDITY;
        let is_due = |shard: &state::State| {
            shard.is_held(now) && !shard.needs_read && now.since(shard.renewed_at) >= interval
        };
        let mut due = self.numbers(is_due);
        due.truncate(super::MAX_PUTS);
        due
    }

    /// Returns the shards to claim: first those held on the same address, then those from this host's position on, so
    /// that hosts that start together claim different ones.
    fn claimable(&self, now: clock::Instant) -> Vec<u32> {
        let Some((position, _)) = self.assignment() else {
            return Vec::new();
        };
        let held = self.numbers(|shard| shard.is_held(now)).len();
        let is_claimable = |shard: &state::State| {
            !shard.needs_read
                && !shard.is_held(now)
                && shard.is_claimable(now, &self.owner, self.options.waits_for_validity)
        };
        let mut claimable = self.numbers(is_claimable);
        let total = self.shards.len();
        let start = position * total / self.roster.len();
        claimable.sort_by_key(|n| {
            let distance = (*n as usize + total - start) % total;
            (!self.shards[*n as usize].is_held_at(&self.owner), distance)
        });
        claimable.truncate(
            self.target_count()
                .saturating_sub(held)
                .min(super::MAX_PUTS),
        );
        claimable
    }

    fn numbers(&self, predicate: impl Fn(&state::State) -> bool) -> Vec<u32> {
        (0..self.total())
            .filter(|n| predicate(&self.shards[*n as usize]))
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
            let shard = &mut self.shards[*number as usize];
            if is_release && self.options.stops_before_release {
                shard.held_until = None;
            }
            if operation == effect::Operation::Claim && !self.options.confirms_claims {
                shard.hold(now, now, now + self.validity);
            }
        }
        self.in_flight = Some(write.clone());
        write
    }

    fn put(&self, number: u32, id: &str, is_release: bool) -> super::Put {
        let shard = &self.shards[number as usize];
        let millis = self.validity.as_millis();
        super::Put {
            number,
            expected_revision: shard.revision,
            shard: super::Shard {
                owner: (!is_release).then(|| self.owner.clone()),
                sequence: shard.record.as_ref().map_or(0, |r| r.sequence) + 1,
                validity_ms: u64::try_from(millis).unwrap_or(u64::MAX),
                operation: id.to_owned(),
            },
        }
    }
}
