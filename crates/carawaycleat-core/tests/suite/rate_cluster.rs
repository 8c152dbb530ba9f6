//! Hosts with a fake store and injected faults, and the record of usage that their total is checked against.

use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::name;
use carawaycleat_core::rate;
use carawaycleat_core::resource;

pub(crate) const SHARDS: u32 = 12;
const VALIDITY: time::Duration = time::Duration::from_secs(20);
const RATE: u64 = 1_000;
const BURST: u64 = 500;
/// The duration of a micro-step.
const MICRO_STEP_MS: u64 = 250;
/// The number of micro-steps after which an unresponsive host is removed from the roster.
const REMOVAL_DELAY: u64 = 20;
/// The number of micro-steps in a step of a scenario; faults are injected at the start of a step.
const MICRO_STEPS: u64 = 16;

macro_rules! faults {
    ($($fault:ident)*) => {
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub(crate) enum Fault { $($fault),* }

        impl Fault {
            pub(crate) const ALL: [Self; 16] = [$(Self::$fault),*];
        }
    };
}

faults! {
    ShortPause LongPause CrashSameAddress CrashOtherAddress PlannedStop HostJoins
    Outage OutageBeyondValidity RegionPartitioned ResponsesLost WritesLate WritesFail ReadsFail
    TransfersLost TransfersDuplicated TransfersLate
}

/// The micro-step until which each fault lasts.
type FaultEnds = [u64; Fault::ALL.len()];

/// Where requests arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Demand {
    /// At all hosts, all the time, without lending.
    Steady,
    /// At different hosts in turn, so that idle ones lend.
    Shifting,
}

#[derive(Default)]
struct Store {
    records: Vec<(Option<rate::Shard>, u64)>,
    revision: u64,
    delayed: Vec<(u64, rate::Write)>,
}

impl Store {
    fn commit(&mut self, write: &rate::Write) -> rate::Outcome {
        let is_current = |p: &rate::Put| self.records[p.number as usize].1 == p.expected_revision;
        if !write.puts.iter().all(is_current) {
            return rate::Outcome::Rejected;
        }
        self.revision += 1;
        for put in &write.puts {
            self.records[put.number as usize] = (Some(put.shard.clone()), self.revision);
        }
        rate::Outcome::Written(self.revision)
    }

    fn observed(&self, number: u32) -> rate::Observation {
        let (shard, revision) = self.records[number as usize].clone();
        rate::Observation {
            number,
            shard,
            revision,
        }
    }
}

struct Host {
    owner: rate::Owner,
    holder: rate::Holder,
    ledger: rate::Ledger,
    /// The origin of the host's clock; the clocks of two hosts differ.
    origin_ms: u64,
    fault_ends: FaultEnds,
    /// The micro-step since which the host has been unresponsive; after a while it is removed from the roster.
    unresponsive_since: Option<u64>,
    is_stopping: bool,
    /// The running requests: the micro-step of the end, the tokens, and the reservation.
    running: Vec<(u64, u64, rate::Reservation)>,
}

impl Host {
    fn now(&self, micro: u64) -> clock::Instant {
        clock::Instant::from_millis(self.origin_ms + micro * MICRO_STEP_MS)
    }

    fn has(&self, fault: Fault, micro: u64) -> bool {
        self.fault_ends[fault as usize] > micro
    }

    fn is_paused(&self, micro: u64) -> bool {
        self.has(Fault::ShortPause, micro) || self.has(Fault::LongPause, micro)
    }
}

struct DelayedTransfer {
    due: u64,
    requested_at: clock::Instant,
    id: u128,
    tokens: u64,
    to: rate::Owner,
}

pub(crate) struct Cluster {
    options: rate::Options,
    demand: Demand,
    rng: fastrand::Rng,
    micro: u64,
    store: Store,
    fault_ends: FaultEnds,
    hosts: Vec<Host>,
    transfers: Vec<DelayedTransfer>,
    next_id: u64,
    /// The level of one bucket with the whole rate after the same reservations and refunds.
    reference: i64,
    used: u64,
    pub(crate) admitted: u64,
    pub(crate) steps: u64,
}

fn team() -> name::Name {
    name::Name::parse("team").expect("a valid name")
}

impl Cluster {
    pub(crate) fn new(options: rate::Options, demand: Demand, seed: u64) -> Self {
        let mut cluster = Self {
            options,
            demand,
            rng: fastrand::Rng::with_seed(seed),
            micro: 0,
            store: Store {
                records: vec![(None, 0); SHARDS as usize],
                ..Store::default()
            },
            fault_ends: FaultEnds::default(),
            hosts: Vec::new(),
            transfers: Vec::new(),
            next_id: 0,
            reference: i64::try_from(BURST).expect("fits"),
            used: 0,
            admitted: 0,
            steps: 0,
        };
        for _ in 0..3 {
            let port = cluster.next_id();
            cluster.start(format!("host-{port}"), port);
        }
        cluster
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn start(&mut self, host: String, port: u64) {
        let incarnation = self.next_id();
        let owner = rate::Owner {
            host: name::Name::parse(&host).expect("a valid name"),
            address: ([127, 0, 0, 1], u16::try_from(port).expect("a port")).into(),
            incarnation,
        };
        let mut ledger = rate::Ledger::new().options(self.options);
        let rate = resource::Rate {
            workspace: team(),
            tokens_per_second: RATE,
            burst_tokens: BURST,
        };
        let origin_ms = self.rng.u64(0..1_000_000);
        let now = clock::Instant::from_millis(origin_ms + self.micro * MICRO_STEP_MS);
        ledger.set_rates(now, [&rate]);
        let holder = rate::Holder::new(owner.clone(), SHARDS);
        self.hosts.push(Host {
            holder: holder.validity(VALIDITY).options(self.options),
            owner,
            ledger,
            origin_ms,
            fault_ends: FaultEnds::default(),
            unresponsive_since: None,
            is_stopping: false,
            running: Vec::new(),
        });
    }

    /// Injects a fault; faults of one host affect the oldest process.
    pub(crate) fn inject(&mut self, fault: Fault) {
        let validity = VALIDITY.as_secs();
        let seconds = match fault {
            Fault::CrashSameAddress | Fault::CrashOtherAddress => return self.crash(fault),
            Fault::PlannedStop => {
                self.hosts[0].is_stopping = true;
                return self.hosts[0].holder.stop();
            }
            Fault::HostJoins => {
                let port = self.next_id();
                return self.start(format!("host-{port}"), port);
            }
            Fault::ShortPause => 3,
            Fault::ReadsFail => validity * 3 / 4,
            Fault::Outage => validity * 3 / 4,
            Fault::LongPause | Fault::OutageBeyondValidity => validity + 8,
            Fault::RegionPartitioned | Fault::WritesFail => validity + 8,
            _ => 6,
        };
        let until = self.micro + seconds * 1_000 / MICRO_STEP_MS;
        self.hosts[0].fault_ends[fault as usize] = until;
        self.fault_ends[fault as usize] = until;
    }

    fn is_active(&self, fault: Fault) -> bool {
        self.fault_ends[fault as usize] > self.micro
    }

    fn crash(&mut self, fault: Fault) {
        let host = self.hosts.remove(0);
        // The requests of a crashed host count in full, because the upstream may have run them.
        let running = host.running.iter().map(|(_, tokens, _)| tokens);
        self.used += running.sum::<u64>();
        let port = match fault {
            Fault::CrashSameAddress => u64::from(host.owner.address.port()),
            _ => self.next_id(),
        };
        self.start(host.owner.host.to_string(), port);
    }

    /// Runs one step of a scenario and returns an error if all hosts together exceed rate or burst.
    pub(crate) fn step(&mut self) -> Result<(), String> {
        self.steps += 1;
        for _ in 0..MICRO_STEPS {
            self.micro += 1;
            let burst = i64::try_from(BURST).expect("fits");
            let gained = i64::try_from(RATE * MICRO_STEP_MS / 1_000).expect("fits");
            self.reference = burst.min(self.reference + gained);
            self.deliver_delayed();
            self.record_unresponsive_hosts();
            for index in 0..self.hosts.len() {
                if !self.hosts[index].is_paused(self.micro) {
                    self.step_holder(index);
                    self.step_requests(index);
                }
            }
            self.hosts.retain(|host| {
                !(host.is_stopping && host.holder.is_released() && host.running.is_empty())
            });
            self.check()?;
        }
        Ok(())
    }

    /// Returns the number of shards that all hosts together may spend.
    pub(crate) fn spendable(&self) -> u32 {
        let now = |host: &Host| host.now(self.micro);
        self.hosts.iter().map(|h| h.holder.spendable(now(h))).sum()
    }

    fn check(&self) -> Result<(), String> {
        let allowed = RATE * self.micro * MICRO_STEP_MS / 1_000 + BURST;
        if self.used > allowed || self.reference < 0 {
            let (at, reference) = (self.micro, self.reference);
            return Err(format!(
                "micro-step {at}: used {} of {allowed}, reference bucket {reference}",
                self.used
            ));
        }
        Ok(())
    }

    fn deliver_delayed(&mut self) {
        let micro = self.micro;
        let delayed = std::mem::take(&mut self.store.delayed);
        let (due, later): (Vec<_>, Vec<_>) = delayed.into_iter().partition(|(at, _)| *at <= micro);
        self.store.delayed = later;
        for (_, write) in due {
            self.store.commit(&write);
        }
        let transfers = std::mem::take(&mut self.transfers);
        let (due, later): (Vec<_>, Vec<_>) = transfers.into_iter().partition(|t| t.due <= micro);
        self.transfers = later;
        for transfer in due {
            if let Some(host) = self.hosts.iter_mut().find(|h| h.owner == transfer.to) {
                let now = host.now(micro);
                host.ledger.credit(
                    now,
                    transfer.requested_at,
                    transfer.id,
                    &team(),
                    transfer.tokens,
                );
            }
        }
    }

    fn record_unresponsive_hosts(&mut self) {
        for host in &mut self.hosts {
            let is_unresponsive = host.is_paused(self.micro)
                || host.has(Fault::RegionPartitioned, self.micro)
                || host.has(Fault::WritesFail, self.micro);
            let since = host.unresponsive_since.unwrap_or(self.micro);
            host.unresponsive_since = is_unresponsive.then_some(since);
        }
    }

    fn is_in_roster(&self, host: &Host) -> bool {
        let is_removed = host
            .unresponsive_since
            .is_some_and(|since| self.micro - since >= REMOVAL_DELAY);
        !host.is_stopping && !is_removed
    }

    fn is_partitioned(&self, index: usize) -> bool {
        self.hosts[index].has(Fault::RegionPartitioned, self.micro)
    }

    fn step_holder(&mut self, index: usize) {
        let is_down = self.is_active(Fault::Outage) || self.is_active(Fault::OutageBeyondValidity);
        let reaches_store = !is_down && !self.is_partitioned(index);
        let roster: Vec<name::Name> = self
            .hosts
            .iter()
            .filter(|h| self.is_in_roster(h))
            .map(|h| h.owner.host.clone())
            .collect();
        let now = self.hosts[index].now(self.micro);
        let reads = reaches_store && !self.hosts[index].has(Fault::ReadsFail, self.micro);
        let writes = reaches_store && !self.hosts[index].has(Fault::WritesFail, self.micro);
        if reads {
            self.hosts[index].holder.set_roster(&roster);
            let records: Vec<_> = (0..SHARDS).map(|n| self.store.observed(n)).collect();
            self.hosts[index].holder.record_listing(now, &records);
        }
        let effects = self.hosts[index].holder.tick(now);
        self.apply_held(index, now);
        for effect in effects {
            match effect {
                rate::Effect::Read(numbers) if reads => {
                    let records: Vec<_> = numbers
                        .into_iter()
                        .map(|n| self.store.observed(n))
                        .collect();
                    self.hosts[index].holder.record_read(now, &records);
                }
                rate::Effect::Read(_) => {}
                rate::Effect::Write(write) => {
                    let outcome = self.send(&write, writes);
                    self.hosts[index]
                        .holder
                        .record_outcome(now, &write.id, outcome);
                }
            }
        }
        self.apply_held(index, now);
    }

    fn apply_held(&mut self, index: usize, now: clock::Instant) {
        let host = &mut self.hosts[index];
        let held = host.holder.spendable(now);
        host.ledger.set_held(now, held, SHARDS);
    }

    fn send(&mut self, write: &rate::Write, reaches_store: bool) -> rate::Outcome {
        if !reaches_store {
            return rate::Outcome::Unknown;
        }
        if self.is_active(Fault::WritesLate) {
            let due = self.micro + self.rng.u64(1..24);
            self.store.delayed.push((due, write.clone()));
            return rate::Outcome::Unknown;
        }
        let outcome = self.store.commit(write);
        match self.is_active(Fault::ResponsesLost) {
            true => rate::Outcome::Unknown,
            false => outcome,
        }
    }

    fn step_requests(&mut self, index: usize) {
        self.settle_ended(index);
        let turn = (self.micro / 20 + index as u64) % 3;
        let is_busy = self.demand == Demand::Steady || turn != 0;
        let requests = if is_busy { 6 } else { 0 };
        for _ in 0..requests {
            let tokens = self.rng.u64(1..=100);
            if !self.request(index, tokens) && self.demand == Demand::Shifting {
                self.borrow(index, tokens);
                self.request(index, tokens);
            }
        }
    }

    fn settle_ended(&mut self, index: usize) {
        let micro = self.micro;
        let host = &mut self.hosts[index];
        let now = host.now(micro);
        let running = std::mem::take(&mut host.running);
        let burst = i64::try_from(BURST).expect("fits");
        for (end, tokens, reservation) in running {
            if end > micro {
                host.running.push((end, tokens, reservation));
                continue;
            }
            let used = self.rng.u64(tokens / 2..=tokens);
            host.ledger.settle(now, reservation, used);
            self.used += used;
            let refund = i64::try_from(tokens - used).expect("fits");
            self.reference = burst.min(self.reference + refund);
        }
    }

    fn request(&mut self, index: usize, tokens: u64) -> bool {
        let micro = self.micro;
        let end = micro + self.rng.u64(1..6);
        let host = &mut self.hosts[index];
        let Ok(reservation) = host.ledger.reserve(host.now(micro), &team(), tokens) else {
            return false;
        };
        host.running.push((end, tokens, reservation));
        self.reference -= i64::try_from(tokens).expect("fits");
        self.admitted += 1;
        true
    }

    fn borrow(&mut self, index: usize, tokens: u64) {
        let micro = self.micro;
        let requested_at = self.hosts[index].now(micro);
        for peer in 0..self.hosts.len() {
            let missing = self.hosts[index]
                .ledger
                .shortfall(requested_at, &team(), tokens);
            let is_reached = !self.is_partitioned(peer)
                && !self.is_partitioned(index)
                && !self.hosts[peer].is_paused(micro);
            if peer == index || !is_reached || missing == 0 {
                continue;
            }
            let now = self.hosts[peer].now(micro);
            let lent = self.hosts[peer].ledger.lend(now, &team(), missing);
            if lent > 0 && !self.is_active(Fault::TransfersLost) {
                self.transfer(index, requested_at, lent);
            }
        }
    }

    fn transfer(&mut self, index: usize, requested_at: clock::Instant, tokens: u64) {
        let id = u128::from(self.next_id());
        let is_late = self.is_active(Fault::TransfersLate);
        let copies = 1 + 2 * usize::from(self.is_active(Fault::TransfersDuplicated));
        for _ in 0..copies {
            let delay = if is_late { self.rng.u64(1..12) } else { 0 };
            if delay == 0 {
                self.hosts[index]
                    .ledger
                    .credit(requested_at, requested_at, id, &team(), tokens);
                continue;
            }
            self.transfers.push(DelayedTransfer {
                due: self.micro + delay,
                requested_at,
                id,
                tokens,
                to: self.hosts[index].owner.clone(),
            });
        }
    }
}
