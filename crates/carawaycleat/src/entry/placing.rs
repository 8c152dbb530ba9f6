//! The placement of models: an election for each group, and the plan of the host that holds its lease.

use std::collections;
use std::sync;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::config;
use carawaycleat_core::memory;
use carawaycleat_core::name;
use carawaycleat_core::placement;
use carawaycleat_core::resource;
use carawaycleat_store as store;
use carawaycleat_wire as wire;

use super::shared;
use crate::log;
use crate::metric;

/// The time between two rounds.
const ROUND: time::Duration = time::Duration::from_secs(1);

/// The time for which a lease is asked for.
const LEASE: time::Duration = time::Duration::from_secs(5);

/// The time without a report after which what an upstream holds is taken as lost.
const LOST_AFTER: time::Duration = time::Duration::from_secs(3);

/// The time after the start during which no plan is made, so that each upstream has reported.
const LEARNING: time::Duration = time::Duration::from_secs(2);

/// The time since a peer was last heard after which what it was asked for is forgotten: the demand has then decayed to
/// less than 1%.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(300);

/// The tokens a second that an engine is taken to generate.
const ENGINE_TOKENS_PER_SECOND: f64 = 1_000.0;

/// The adapter loads at the same time at full speed, and the time of one of them in seconds.
const ADAPTER_LOADS: usize = 55;
const ADAPTER_LOAD_SECONDS: f64 = 0.0075;

/// Returns the store key of the plan of `group`.
pub(super) fn plan_key(group: &name::Name) -> String {
    format!("{}plan/{group}", config::PREFIX)
}

fn lease_key(group: &name::Name) -> String {
    // Outside of the prefix that entry hosts watch: no host needs to hear of each renewal.
    format!("/carawaycleat/lease/placement/{group}")
}

/// What the sidecars last reported.
#[derive(Debug, Default)]
pub(super) struct Observations {
    reports: collections::BTreeMap<name::Name, (clock::Instant, wire::Report)>,
    demand: placement::Demand,
    /// When each peer was last heard, and what callers asked it for.
    heard: collections::BTreeMap<name::Name, (clock::Instant, placement::Demand)>,
}

impl Observations {
    /// Takes a report.
    pub(super) fn observe(&mut self, now: clock::Instant, report: &wire::Report) {
        self.reports
            .insert(report.upstream.clone(), (now, report.clone()));
    }

    /// Counts tokens that callers asked of a model or adapter.
    pub(super) fn ask(&mut self, now: clock::Instant, subject: &placement::Subject, tokens: u64) {
        self.demand.observe(now, subject, tokens);
    }

    /// Returns a part of what callers asked this host for.
    pub(super) fn asked(
        &self,
        now: clock::Instant,
        from: usize,
        count: usize,
    ) -> Vec<wire::Demand> {
        let asked =
            |(subject, rate, at): (&placement::Subject, f64, clock::Instant)| wire::Demand {
                model: subject.model.clone(),
                adapter: subject.adapter.clone(),
                #[expect(clippy::cast_possible_truncation, reason = "a rate need not be exact")]
                tokens_per_second: rate as f32,
                age_ms: u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX),
            };
        self.demand.page(from, count).map(asked).collect()
    }

    /// Takes what callers asked a peer for.
    pub(super) fn hear(&mut self, now: clock::Instant, digest: &wire::Digest) {
        self.heard
            .retain(|_, (at, _)| now.since(*at) < FORGET_AFTER);
        let heard = self.heard.entry(digest.host.clone());
        let (at, demand) = heard.or_insert_with(|| (now, placement::Demand::default()));
        *at = now;
        for asked in digest
            .demand
            .iter()
            .filter(|a| a.tokens_per_second.is_finite())
        {
            let micros = now
                .as_micros()
                .saturating_sub(asked.age_ms.saturating_mul(1_000));
            let subject = placement::Subject {
                model: asked.model.clone(),
                adapter: asked.adapter.clone(),
            };
            let at = clock::Instant::from_micros(micros);
            demand.set(at, &subject, asked.tokens_per_second.into());
        }
    }

    /// Returns what callers asked this host and its peers for.
    fn demand(&self) -> placement::Demand {
        let mut all = self.demand.clone();
        for (_, demand) in self.heard.values() {
            all.add(demand);
        }
        all
    }
}

/// The part that this host has in the placement of one group.
#[derive(Debug)]
struct Group {
    election: placement::Election,
    lease: Option<i64>,
    decider: placement::Strategy,
}

impl Group {
    fn new(policy: placement::Policy) -> Self {
        Self {
            election: placement::Election::default(),
            lease: None,
            decider: policy.strategy(),
        }
    }
}

/// Takes part in the placement for as long as the process runs.
pub(super) async fn run(shared: sync::Arc<shared::Shared>) {
    if !shared.settings.placement.enabled {
        return;
    }
    async_io::Timer::after(LEARNING).await;
    let mut groups: collections::BTreeMap<name::Name, Group> = collections::BTreeMap::new();
    while !shared.is_draining() {
        let models = shared.with(|reducer, _| {
            let models = reducer.configuration().snapshot().models();
            models
                .map(|(_, model)| model.group.clone())
                .collect::<collections::BTreeSet<_>>()
        });
        groups.retain(|group, _| models.contains(group));
        for name in models {
            let group = groups
                .entry(name.clone())
                .or_insert_with(|| Group::new(shared.policy.placement));
            elect(&shared, &name, group).await;
            if let Some(create_revision) = group.election.create_revision(shared.now()) {
                decide(&shared, &name, group, create_revision).await;
            }
        }
        async_io::Timer::after(ROUND).await;
    }
    for group in groups.values().filter_map(|group| group.lease) {
        // The next decider would otherwise have to wait for the lease to end.
        let _ = shared.store.revoke(group).await;
    }
}

/// Renews the lease of a group, or tries to get it.
async fn elect(shared: &shared::Shared, name: &name::Name, group: &mut Group) {
    let sent = shared.now();
    if let Some(id) = group.lease {
        let renewed = shared.store.keep_alive(id).await;
        shared
            .metric
            .count_store_call(metric::Call::Lease, renewed.is_ok());
        match renewed {
            Ok(lease) => {
                if let Some(revision) = group.election.create_revision(sent) {
                    group.election.record_lease(sent, revision, lease.lifetime);
                    return;
                }
            }
            Err(store::Error::LeaseNotFound) => {
                group.lease = None;
                group.election.record_loss();
            }
            Err(_) => return,
        }
    }
    if group.lease.is_none() {
        let granted = shared.store.grant(LEASE).await;
        shared
            .metric
            .count_store_call(metric::Call::Lease, granted.is_ok());
        group.lease = granted.ok().map(|lease| lease.id);
    }
    let Some(id) = group.lease else { return };
    campaign(shared, name, group, id).await;
}

/// Writes the lease key if nobody holds it.
async fn campaign(shared: &shared::Shared, name: &name::Name, group: &mut Group, id: i64) {
    let sent = shared.now();
    let key = lease_key(name);
    let value = format!("{}/{}", shared.host(), shared.member.incarnation).into_bytes();
    let transaction = store::Transaction::new()
        .when(store::Condition::Absent(key.clone()))
        .write(store::Write::put(key.clone(), value.clone()).bound_to(id))
        .otherwise_get(key);
    let answer = shared.store.commit(&transaction).await;
    shared
        .metric
        .count_store_call(metric::Call::Transaction, answer.is_ok());
    match answer {
        Ok(answer) if answer.succeeded => {
            log::info(&format!("this host decides the placement of group {name}"));
            group.election.record_lease(sent, answer.revision, LEASE);
        }
        Ok(answer) => match answer.found.first() {
            // The answer to an earlier write was lost.
            Some(pair) if pair.lease == id && pair.value == value => {
                group
                    .election
                    .record_lease(sent, pair.create_revision, LEASE);
            }
            _ => group.election.record_loss(),
        },
        Err(_) => {}
    }
}

/// Makes a plan and writes it if it differs from the one in force.
async fn decide(
    shared: &shared::Shared,
    name: &name::Name,
    group: &mut Group,
    create_revision: u64,
) {
    let Some((plan, previous)) = plan(shared, name, &mut group.decider) else {
        return;
    };
    let key = plan_key(name);
    let expected = match previous {
        0 => store::Condition::Absent(key.clone()),
        revision => store::Condition::Modified(key.clone(), revision),
    };
    let value = serde_json::to_vec(&plan).expect("a plan can always be written to memory");
    let transaction = store::Transaction::new()
        .when(store::Condition::Created(lease_key(name), create_revision))
        .when(expected)
        .write(store::Write::put(key, value));
    let answer = shared.store.commit(&transaction).await;
    shared
        .metric
        .count_store_call(metric::Call::Transaction, answer.is_ok());
    match answer {
        Ok(answer) if answer.succeeded => {
            log::info(&format!(
                "group {name} has a new plan at revision {}",
                answer.revision
            ));
        }
        // The lease or the plan has changed; the next round sees which.
        Ok(_) | Err(_) => {}
    }
}

fn plan(
    shared: &shared::Shared,
    name: &name::Name,
    decider: &mut placement::Strategy,
) -> Option<(placement::Plan, u64)> {
    shared.with_observations(|reducer, observations, now| {
        let history = reducer.configuration();
        let raw = history.value(&plan_key(name));
        let previous = raw.and_then(|(value, revision)| {
            let plan: placement::Plan = serde_json::from_slice(value).ok()?;
            Some(plan.at_revision(revision))
        });
        let demand = observations.demand();
        let inputs = placement::Inputs {
            group: name.clone(),
            items: items(history.snapshot(), name),
            upstreams: upstreams(history.snapshot(), name, observations, now),
            demand: &demand,
            limits: limits(shared),
            loads_in_flight: 0,
            previous: previous.as_ref(),
        };
        let plan = decider.plan(now, &inputs)?;
        Some((plan, raw.map_or(0, |(_, revision)| revision)))
    })
}

fn limits(shared: &shared::Shared) -> placement::Limits {
    placement::Limits {
        loads_per_second: shared.settings.placement.loads_per_second,
        loads_in_flight: shared.settings.placement.loads_in_flight as usize,
        adapter_loads_in_flight: ADAPTER_LOADS,
        adapter_load_seconds: ADAPTER_LOAD_SECONDS,
    }
}

/// Returns the models and adapters of a group with the memory that they take.
fn items(snapshot: &config::Snapshot, group: &name::Name) -> Vec<memory::Item> {
    let mut items = Vec::new();
    for (name, model) in snapshot.models().filter(|(_, model)| model.group == *group) {
        let Some(version) = snapshot.version(&model.version) else {
            continue;
        };
        let id = memory::Id::model(name.clone(), model.version.clone());
        for (adapter, resource) in snapshot
            .adapters()
            .filter(|(_, adapter)| adapter.model == *name)
        {
            items.push(memory::Item::new(
                id.with_adapter(adapter.clone()),
                resource.bytes,
            ));
        }
        items.push(memory::Item::new(id, version.bytes));
    }
    items
}

fn upstreams(
    snapshot: &config::Snapshot,
    group: &name::Name,
    observations: &Observations,
    now: clock::Instant,
) -> Vec<placement::Upstream> {
    let of_group = snapshot
        .upstreams()
        .filter(|(_, resource)| resource.group == *group);
    let placed = of_group.filter(|(_, resource)| resource.side_address.is_some());
    placed
        .map(|(name, resource)| upstream(snapshot, name, resource, observations, now))
        .collect()
}

fn upstream(
    snapshot: &config::Snapshot,
    name: &name::Name,
    resource: &resource::Upstream,
    observations: &Observations,
    now: clock::Instant,
) -> placement::Upstream {
    let report = observations.reports.get(name);
    let report = report.filter(|(at, report)| now.since(*at) < LOST_AFTER && report.reachable);
    let state = match report {
        None => placement::State::Lost,
        Some((_, report)) if report.leaving || resource.leaving => placement::State::Leaving,
        Some(_) => placement::State::Live,
    };
    let resident = report
        .map(|(_, report)| report.resident.as_slice())
        .unwrap_or_default();
    placement::Upstream {
        name: name.clone(),
        availability_zone: resource.availability_zone.clone(),
        memory_bytes: resource.memory_bytes,
        tokens_per_second: ENGINE_TOKENS_PER_SECOND,
        state,
        resident: resident
            .iter()
            .map(|item| residence(snapshot, item))
            .collect(),
    }
}

fn residence(snapshot: &config::Snapshot, found: &wire::Residence) -> placement::Residence {
    let id = memory::Id::model(found.model.clone(), found.version.clone());
    let bytes = match &found.adapter {
        None => snapshot
            .version(&found.version)
            .map_or(0, |version| version.bytes),
        Some(adapter) => {
            let mut adapters = snapshot.adapters();
            adapters
                .find(|(name, _)| *name == adapter)
                .map_or(0, |(_, adapter)| adapter.bytes)
        }
    };
    let id = match &found.adapter {
        Some(adapter) => id.with_adapter(adapter.clone()),
        None => id,
    };
    placement::Residence {
        item: memory::Item::new(id, bytes),
        answered: found.answered,
    }
}
