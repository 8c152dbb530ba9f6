use std::collections;

use super::request as state;
use super::waitlist;
use crate::admission;
use crate::clock;
use crate::config;
use crate::freshness;
use crate::key;
use crate::name;
use crate::rate;
use crate::request;
use crate::resource;
use crate::retry;
use crate::routing;

/// The state of an entry host, and all of its decisions.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::{clock, entry, name, rate};
///
/// let host = name::Name::parse("entry-1").expect("a valid name");
/// let owner = rate::Owner { host, address: ([127, 0, 0, 1], 8082).into(), incarnation: 1 };
/// let zone = name::Name::parse("zone-1").expect("a valid name");
/// let mut reducer = entry::Reducer::new(owner, zone, entry::Options::default());
/// reducer.step(clock::Instant::from_millis(1), entry::Event::Tick);
/// assert!(!reducer.is_ready(), "a host without a copy of the configuration must not serve");
/// ```
#[derive(Debug)]
pub struct Reducer {
    pub(super) host: name::Name,
    pub(super) zone: name::Name,
    pub(super) options: super::Options,
    pub(super) history: config::History,
    pub(super) keys: key::Index,
    pub(super) monitor: freshness::Monitor,
    pub(super) freshness: Option<freshness::State>,
    pub(super) roster: Vec<name::Name>,
    pub(super) holder: rate::Holder,
    pub(super) ledger: rate::Ledger,
    pub(super) held: u32,
    /// The number of shards that the timeline shows.
    pub(super) noted_held: u32,
    pub(super) offers: collections::BTreeMap<(name::Name, name::Name), u64>,
    pub(super) waitlist: waitlist::Waitlist,
    pub(super) queue: admission::Queue,
    pub(super) table: routing::Table,
    pub(super) budget: retry::Budget,
    pub(super) random: fastrand::Rng,
    pub(super) requests: collections::HashMap<request::Id, state::Request>,
    /// The request of each running attempt.
    pub(super) attempts: collections::HashMap<request::Id, request::Id>,
    pub(super) is_stopping: bool,
    pub(super) effects: Vec<super::Effect>,
}

impl Reducer {
    /// Returns the reducer of the process `owner` in `zone`, which has no copy of the configuration yet.
    pub fn new(owner: rate::Owner, zone: name::Name, options: super::Options) -> Self {
        let host = owner.host.clone();
        let seed = owner.incarnation;
        Self {
            zone,
            history: config::History::new(),
            keys: key::Index::new(&config::Snapshot::default()),
            monitor: freshness::Monitor::new(host.clone()),
            freshness: None,
            roster: Vec::new(),
            holder: rate::Holder::new(owner, options.shards)
                .validity(options.shard_validity)
                .rules(options.rate),
            ledger: rate::Ledger::new().rules(options.rate),
            held: 0,
            noted_held: 0,
            offers: collections::BTreeMap::new(),
            waitlist: waitlist::Waitlist::default(),
            queue: admission::Queue::new(options.admission),
            table: routing::Table::new(options.routing),
            budget: retry::Budget::default(),
            random: fastrand::Rng::with_seed(seed),
            requests: collections::HashMap::new(),
            attempts: collections::HashMap::new(),
            is_stopping: false,
            effects: Vec::new(),
            host,
            options,
        }
    }

    /// Takes one event at the time `now` and returns what to do, in order.
    pub fn step(&mut self, now: clock::Instant, event: super::Event) -> Vec<super::Effect> {
        self.refresh_shards(now);
        // After a pause other events may precede the next tick; they must not serve a key that may be withdrawn.
        if !event.brings_contact() {
            self.note_freshness(now);
        }
        match event {
            super::Event::Arrived(arrival) => self.arrive(now, *arrival),
            super::Event::CallerDisconnected(id) => self.abandon(now, id),
            super::Event::ClaimResolved(id, result) => self.claimed(now, id, result),
            super::Event::Attempt(attempt, progress) => self.progress(now, attempt, progress),
            super::Event::Changes {
                since,
                through,
                changes,
            } => {
                self.apply_changes(now, since, through, changes);
            }
            super::Event::Listing { revision, pairs } => self.apply_listing(now, revision, pairs),
            super::Event::StoreContact(sent) => self.store_contact(now, sent),
            super::Event::PeerReported { report, offers } => self.hear(now, report, offers),
            super::Event::SidecarReported(load) => self.report(now, *load),
            super::Event::UpstreamListed(upstream, leaving) => {
                self.table.set_leaving(&upstream, leaving)
            }
            super::Event::CacheChanged(upstream, sequence, event) => {
                self.table.cache_event(&upstream, sequence, event);
            }
            super::Event::TokensRequested {
                transfer,
                workspace,
                tokens,
            } => {
                self.lend(now, transfer, workspace, tokens);
            }
            super::Event::BorrowResolved {
                requested_at,
                transfer,
                workspace,
                tokens,
            } => {
                self.borrowed(now, requested_at, transfer, &workspace, tokens);
            }
            super::Event::ShardsWritten(id, answer) => self.holder.answer(now, &id, answer),
            super::Event::ShardsRead(records) => self.holder.read(now, &records),
            super::Event::Tick => self.tick(now),
            super::Event::ReleaseShards => self.release_shards(now),
            super::Event::Stop => self.stop(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the route whose prefix matches `path`; the longest prefix wins.
    pub fn route(&self, path: &str) -> Option<(&name::Name, &resource::Route)> {
        let routes = self.history.snapshot().routes();
        let matching = routes.filter(|(_, route)| is_under(path, &route.prefix));
        matching.max_by_key(|(_, route)| route.prefix.len())
    }

    /// Returns the copy of the configuration.
    pub fn history(&self) -> &config::History {
        &self.history
    }

    /// Returns the age and revision of the copy, and whether a write may be acknowledged.
    pub fn monitor(&self) -> &freshness::Monitor {
        &self.monitor
    }

    /// Returns the tokens of each workspace that can be lent.
    pub fn offers(&mut self, now: clock::Instant) -> Vec<(name::Name, u64)> {
        self.refresh_shards(now);
        self.ledger.offers(now)
    }

    /// Returns whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Returns whether new requests can be served: the copy of the configuration is confirmed and the process is not
    /// stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping && self.monitor.is_confirmed()
    }

    /// Returns what operators see.
    pub fn status(&self, now: clock::Instant) -> super::Status {
        let age = self.monitor.store_age(now);
        let problems = self
            .history
            .problems()
            .map(|(key, problem)| format!("{key}: {problem}"));
        super::Status {
            host: self.host.clone(),
            revision: self.history.revision(),
            freshness: self.monitor.state(now),
            store_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            shards_held: self.holder.spendable(now),
            shards_total: self.holder.total(),
            requests: self.requests.len(),
            waiting: self.queue.len(),
            queued: self.queue.lengths(),
            running: self.attempts.len(),
            problems: problems.collect(),
        }
    }

    /// Passes the number of spendable shards to the ledger.
    ///
    /// This precedes each use of the ledger, so that a released or expired shard is never spent.
    pub(super) fn refresh_shards(&mut self, now: clock::Instant) {
        self.held = self.holder.spendable(now);
        self.ledger.set_held(now, self.held, self.holder.total());
    }

    pub(super) fn emit(&mut self, effect: super::Effect) {
        self.effects.push(effect);
    }

    pub(super) fn record(&mut self, record: super::Record) {
        self.effects.push(super::Effect::Record(record));
    }
}

/// Returns whether `path` is `prefix` or below it; `/jobs` does not match `/jobsheet`.
fn is_under(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
        None => false,
    }
}
