use std::collections;

use super::pending;
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

/// State of an entry host, which makes all of its decisions.
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
/// assert!(!reducer.is_ready(), "a host without a configuration must not serve");
/// ```
#[derive(Debug)]
pub struct Reducer {
    pub(super) host: name::Name,
    pub(super) zone: name::Name,
    pub(super) options: super::Options,
    /// Cached configuration.
    pub(super) configuration: config::Cache,
    pub(super) keys: key::Index,
    pub(super) monitor: freshness::Monitor,
    /// Freshness after the last check; none before the first.
    pub(super) freshness: Option<freshness::State>,
    /// Known entry hosts.
    pub(super) roster: Vec<name::Name>,
    pub(super) holder: rate::Holder,
    pub(super) ledger: rate::Ledger,
    /// Number of shards that the host may spend.
    pub(super) held_shards: u32,
    /// Number of shards in the last record of the timeline.
    pub(super) recorded_shards: u32,
    /// Tokens offered by peers, by peer and workspace.
    pub(super) offers: collections::BTreeMap<(name::Name, name::Name), u64>,
    pub(super) waitlist: waitlist::Waitlist,
    pub(super) queue: admission::Queue,
    pub(super) table: routing::Table,
    pub(super) budget: retry::Budget,
    pub(super) random: fastrand::Rng,
    pub(super) requests: collections::HashMap<request::Id, pending::Pending>,
    /// Request of each running attempt, by the identifier of the attempt.
    pub(super) attempts: collections::HashMap<request::Id, request::Id>,
    pub(super) is_stopping: bool,
    pub(super) effects: Vec<super::Effect>,
}

impl Reducer {
    /// Returns the reducer of the process `owner` in `zone`, which has no configuration yet.
    pub fn new(owner: rate::Owner, zone: name::Name, options: super::Options) -> Self {
        let host = owner.host.clone();
        let seed = owner.incarnation;
        Self {
            zone,
            configuration: config::Cache::new(),
            keys: key::Index::new(&config::Snapshot::default()),
            monitor: freshness::Monitor::new(host.clone()),
            freshness: None,
            roster: Vec::new(),
            holder: rate::Holder::new(owner, options.shards)
                .validity(options.shard_validity)
                .options(options.rate),
            ledger: rate::Ledger::new().options(options.rate),
            held_shards: 0,
            recorded_shards: 0,
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

    /// Processes an event at the time `now`, and returns the effects to perform in their order.
    pub fn step(&mut self, now: clock::Instant, event: super::Event) -> Vec<super::Effect> {
        self.refresh_shards(now);
        // After the process was suspended, other events may precede the next tick. They must not serve requests whose
        // key may have been withdrawn in the meantime.
        if !event.updates_freshness() {
            self.check_freshness(now);
        }
        match event {
            super::Event::Arrived(request) => self.arrive(now, *request),
            super::Event::CallerDisconnected(id) => self.cancel(now, id),
            super::Event::ClaimResolved(id, result) => self.resolve_claim(now, id, result),
            super::Event::Attempt(attempt, progress) => {
                self.advance_attempt(now, attempt, progress)
            }
            super::Event::Changes {
                since,
                through,
                changes,
            } => {
                self.apply_changes(now, since, through, changes);
            }
            super::Event::Listing { revision, pairs } => self.apply_listing(now, revision, pairs),
            super::Event::StoreContact(sent) => self.record_store_contact(now, sent),
            super::Event::PeerReported { report, offers } => {
                self.receive_peer_report(now, report, offers)
            }
            super::Event::SidecarReported(report) => self.receive_sidecar_report(now, *report),
            super::Event::UpstreamListed(upstream, leaving) => {
                self.table.set_leaving(&upstream, leaving)
            }
            super::Event::CacheChanged(upstream, sequence, event) => {
                self.table.apply_cache_event(&upstream, sequence, event);
            }
            super::Event::TokensRequested {
                transfer,
                workspace,
                tokens,
            } => {
                self.lend_tokens(now, transfer, workspace, tokens);
            }
            super::Event::BorrowResolved {
                requested_at,
                transfer,
                workspace,
                tokens,
            } => {
                self.resolve_borrow(now, requested_at, transfer, &workspace, tokens);
            }
            super::Event::ShardsWritten(id, result) => self.holder.record_outcome(now, &id, result),
            super::Event::ShardsRead(records) => self.holder.record_read(now, &records),
            super::Event::Tick => self.tick(now),
            super::Event::ReleaseShards => self.release_shards(now),
            super::Event::Stop => self.stop(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the route with the longest prefix that matches `path`.
    pub fn route(&self, path: &str) -> Option<(&name::Name, &resource::Route)> {
        let routes = self.configuration.snapshot().routes();
        let matching = routes.filter(|(_, route)| has_prefix(path, &route.prefix));
        matching.max_by_key(|(_, route)| route.prefix.len())
    }

    /// Returns the cached configuration with its latest changes.
    pub fn configuration(&self) -> &config::Cache {
        &self.configuration
    }

    /// Returns the monitor of the age and revision of the cached configuration.
    pub fn monitor(&self) -> &freshness::Monitor {
        &self.monitor
    }

    /// Returns the number of tokens of each workspace that can be lent.
    pub fn offers(&mut self, now: clock::Instant) -> Vec<(name::Name, u64)> {
        self.refresh_shards(now);
        self.ledger.offers(now)
    }

    /// Returns whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Returns whether new requests can be served: the cached configuration is confirmed and the process is not
    /// stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping && self.monitor.is_confirmed()
    }

    /// Returns the status shown to operators.
    pub fn status(&self, now: clock::Instant) -> super::Status {
        let age = self.monitor.store_age(now);
        let problems = self
            .configuration
            .problems()
            .map(|(key, problem)| format!("{key}: {problem}"));
        super::Status {
            host: self.host.clone(),
            revision: self.configuration.revision(),
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

    /// Updates the ledger with the number of spendable shards.
    ///
    /// Must precede each use of the ledger, so that a released or expired shard is never spent.
    pub(super) fn refresh_shards(&mut self, now: clock::Instant) {
        self.held_shards = self.holder.spendable(now);
        self.ledger
            .set_held(now, self.held_shards, self.holder.total());
    }

    pub(super) fn emit(&mut self, effect: super::Effect) {
        self.effects.push(effect);
    }

    pub(super) fn record(&mut self, record: super::Record) {
        self.effects.push(super::Effect::Record(record));
    }
}

/// Returns whether `path` equals `prefix` or is below it: the prefix `/jobs` does not match `/jobsheet`.
fn has_prefix(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
        None => false,
    }
}
