use super::pending;
use crate::clock;
use crate::config;
use crate::freshness;
use crate::key;
use crate::name;
use crate::outcome;
use crate::rate;
use crate::request;
use crate::resource;
use crate::routing;
use crate::timeline;

/// Prefix of the records of entry hosts in the store.
pub(super) const ROSTER_PREFIX: &str = "/carawaycleat/v1/roster/";

/// Prefix of the records of shards in the store.
const SHARD_PREFIX: &str = "/carawaycleat/v1/share/";

impl super::Reducer {
    pub(super) fn apply_changes(
        &mut self,
        now: clock::Instant,
        since: u64,
        through: u64,
        changes: Vec<config::Change>,
    ) {
        let before = self.configuration.revision();
        let is_gap = self.configuration.apply(since, through, changes) == config::Applied::Gap;
        if is_gap {
            self.record(
                super::Record::new(timeline::Kind::StateChanged).detail("gap in the changes"),
            );
        }
        self.activate(now, before);
    }

    pub(super) fn apply_listing(
        &mut self,
        now: clock::Instant,
        revision: u64,
        pairs: Vec<config::Change>,
    ) {
        let before = self.configuration.revision();
        self.configuration.replace(revision, pairs);
        self.activate(now, before);
    }

    /// Puts the cached configuration in force if it has advanced from revision `before`.
    fn activate(&mut self, now: clock::Instant, before: u64) {
        let revision = self.configuration.revision();
        if revision == before {
            return;
        }
        self.monitor.record_applied(now, revision);
        let snapshot = self.configuration.snapshot();
        self.keys = key::Index::new(snapshot);
        self.table.configure(snapshot);
        self.ledger
            .set_rates(now, snapshot.rates().map(|(_, rate)| rate));
        for (id, entry) in snapshot.iter() {
            if let resource::Resource::Workspace(workspace) = &entry.resource {
                self.queue.set_weight(id.name.clone(), workspace.weight);
            }
        }
        self.activate_roster();
        self.activate_shards(now);
        let detail = format!("revision {revision}");
        self.record(super::Record::new(timeline::Kind::ConfigurationApplied).detail(detail));
        self.refuse_withdrawn(now);
        self.admit_waiting(now);
        self.dispatch_all(now);
    }

    fn activate_roster(&mut self) {
        let records: Vec<_> = self
            .configuration
            .with_prefix(ROSTER_PREFIX)
            .filter_map(|(key, value, _)| {
                let host = name::Name::parse(&key[ROSTER_PREFIX.len()..]).ok()?;
                Some((host, is_leaving(value)))
            })
            .collect();
        // A leaving host still counts towards a majority, but has no share of the rates.
        let holders = records.iter().filter(|(_, is_leaving)| !is_leaving);
        let holders: Vec<_> = holders.map(|(host, _)| host.clone()).collect();
        self.holder.set_roster(&holders);
        let hosts: Vec<_> = records.into_iter().map(|(host, _)| host).collect();
        if hosts != self.roster {
            self.monitor.set_roster(&hosts);
            self.offers.retain(|(host, _), _| hosts.contains(host));
            self.roster = hosts;
        }
    }

    fn activate_shards(&mut self, now: clock::Instant) {
        let records = self.configuration.with_prefix(SHARD_PREFIX);
        let observed: Vec<_> = records
            .filter_map(|(key, value, revision)| parse_shard(key, value, revision))
            .collect();
        self.holder.record_listing(now, &observed);
        self.refresh_shards(now);
    }

    /// Refuses the requests whose key is no longer valid.
    fn refuse_withdrawn(&mut self, now: clock::Instant) {
        let is_withdrawn =
            |pending: &pending::Pending| match (&pending.request.key_digest, &pending.grant) {
                (Some(digest), Some(grant)) => self.keys.find(digest) != Some(grant),
                _ => false,
            };
        let withdrawn: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, pending)| is_withdrawn(pending))
            .map(|(id, _)| *id)
            .collect();
        for id in withdrawn {
            self.record_request(timeline::Kind::KeyWithdrawn, id, "");
            self.refuse_keyed(
                now,
                id,
                outcome::Reason::UnknownKey,
                "the key was withdrawn",
            );
        }
    }

    fn refuse_keyed(
        &mut self,
        now: clock::Instant,
        id: request::Id,
        reason: outcome::Reason,
        message: &str,
    ) {
        let outcome = self.requests[&id].outcome();
        self.end_refused(now, id, super::Refusal::new(reason, outcome, message));
    }

    pub(super) fn record_store_contact(&mut self, now: clock::Instant, sent: clock::Instant) {
        self.monitor.record_store_contact(sent);
        self.check_freshness(now);
    }

    pub(super) fn receive_peer_report(
        &mut self,
        now: clock::Instant,
        report: freshness::Report,
        offers: Vec<(name::Name, u64)>,
    ) {
        let (host, revision) = (report.host.clone(), report.revision);
        if !self.roster.contains(&host) && !self.roster.is_empty() {
            return;
        }
        self.offers.retain(|(peer, _), _| *peer != host);
        for (workspace, tokens) in offers {
            self.offers.insert((host.clone(), workspace), tokens);
        }
        self.monitor.record_report(now, report);
        if revision > self.configuration.revision() {
            let since = self.configuration.revision();
            self.emit(super::Effect::Fetch { host, since });
        }
        self.check_freshness(now);
        self.admit_waiting(now);
        self.dispatch_all(now);
    }

    pub(super) fn receive_sidecar_report(&mut self, now: clock::Instant, report: routing::Report) {
        if self.table.apply_report(now, report) {
            self.dispatch_all(now);
        }
    }

    pub(super) fn lend_tokens(
        &mut self,
        now: clock::Instant,
        transfer: u128,
        workspace: name::Name,
        tokens: u64,
    ) {
        let tokens = self.ledger.lend(now, &workspace, tokens);
        if tokens > 0 {
            let mut record =
                super::Record::new(timeline::Kind::TokensLent).detail(tokens.to_string());
            record.workspace = Some(workspace.clone());
            self.record(record);
            self.count_tokens(&workspace, super::Flow::Lent, tokens);
        }
        self.emit(super::Effect::Lend {
            transfer,
            workspace,
            tokens,
        });
    }

    pub(super) fn resolve_borrow(
        &mut self,
        now: clock::Instant,
        requested_at: clock::Instant,
        transfer: Option<u128>,
        workspace: &name::Name,
        tokens: u64,
    ) {
        let is_credited = match transfer {
            Some(id) if tokens > 0 => self.ledger.credit(now, requested_at, id, workspace, tokens),
            _ => false,
        };
        if is_credited {
            let mut record =
                super::Record::new(timeline::Kind::TokensBorrowed).detail(tokens.to_string());
            record.workspace = Some(workspace.clone());
            self.record(record);
            self.count_tokens(workspace, super::Flow::Borrowed, tokens);
        }
        self.waitlist.end_borrow(now, workspace);
        self.admit_waiting(now);
        self.dispatch_all(now);
    }

    pub(super) fn tick(&mut self, now: clock::Instant) {
        self.check_freshness(now);
        self.expire(now);
        self.admit_waiting(now);
        self.dispatch_all(now);
        for effect in self.holder.tick(now) {
            // The ledger must not spend shards that this effect releases.
            self.refresh_shards(now);
            self.emit(super::Effect::Shards(effect));
        }
        if std::mem::replace(&mut self.recorded_shards, self.held_shards) != self.held_shards {
            let detail = format!("shards {} of {}", self.held_shards, self.holder.total());
            self.record(super::Record::new(timeline::Kind::StateChanged).detail(detail));
        }
        if self.is_stopping && self.requests.is_empty() && self.holder.is_released() {
            self.emit(super::Effect::Exit);
        }
    }

    /// Records a change of freshness, and refuses all requests with a key when the host must no longer serve them.
    pub(super) fn check_freshness(&mut self, now: clock::Instant) {
        let state = self.monitor.state(now);
        if self.freshness.replace(state) == Some(state) {
            return;
        }
        let detail = format!("freshness {state:?}").to_lowercase();
        self.record(super::Record::new(timeline::Kind::StateChanged).detail(detail));
        if state.is_serving() {
            return;
        }
        let keyed = self
            .requests
            .iter()
            .filter(|(_, pending)| pending.grant.is_some());
        let keyed: Vec<_> = keyed.map(|(id, _)| *id).collect();
        for id in keyed {
            let message = "this host is isolated and cannot verify that the key is still valid";
            self.refuse_keyed(now, id, outcome::Reason::ConfigurationStale, message);
        }
    }

    /// Releases the host's share of the rates, so that other hosts can use it while running requests end.
    pub(super) fn release_shards(&mut self, now: clock::Instant) {
        self.holder.stop();
        self.refresh_shards(now);
    }

    pub(super) fn stop(&mut self, now: clock::Instant) {
        self.is_stopping = true;
        self.release_shards(now);
        self.record(super::Record::new(timeline::Kind::Leaving));
    }
}

/// Parses the record of a shard; none if it is invalid, which leaves the shard with its holder.
fn parse_shard(key: &str, value: &[u8], revision: u64) -> Option<rate::Observation> {
    let number = key.strip_prefix(SHARD_PREFIX)?.parse().ok()?;
    let shard = serde_json::from_slice(value).ok()?;
    Some(rate::Observation {
        number,
        shard: Some(shard),
        revision,
    })
}

/// Returns whether the record of an entry host states that it is stopping.
fn is_leaving(value: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct Member {
        #[serde(default)]
        leaving: bool,
    }

    serde_json::from_slice::<Member>(value).is_ok_and(|member| member.leaving)
}
