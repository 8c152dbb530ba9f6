//! The placement of models: an election for each group, whose winner writes the plan of the group.

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

use super::context;
use crate::log;
use crate::metric;

/// The time between two placement rounds.
const ROUND_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The time to live of the lease of a group.
const LEASE_TTL: time::Duration = time::Duration::from_secs(5);

/// The time without a report after which the models on an upstream count as lost.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// The time after the start during which no plan is made, so that each upstream can report first.
const WARM_UP: time::Duration = time::Duration::from_secs(2);

/// The time since the last digest of a peer after which its demand is dropped: it has then decayed to less than 1%.
const PEER_DEMAND_RETENTION: time::Duration = time::Duration::from_secs(300);

/// The assumed throughput of an engine, in tokens per second.
const ENGINE_TOKENS_PER_SECOND: f64 = 1_000.0;

/// The number of adapters that can be loaded concurrently without slowing each other down.
const MAX_ADAPTER_LOADS: usize = 55;
/// The time to load one adapter, in seconds.
const ADAPTER_LOAD_SECONDS: f64 = 0.0075;

/// Returns the store key of the plan of `group`.
pub(super) fn plan_key(group: &name::Name) -> String {
    format!("{}plan/{group}", config::PREFIX)
}

fn lease_key(group: &name::Name) -> String {
    // Outside the prefix that entry hosts watch, since no other host needs to be notified of a renewal.
    format!("/carawaycleat/lease/placement/{group}")
}

/// The inputs of the placement: the last reports of the sidecars, and the demand at this host and its peers.
#[derive(Debug, Default)]
pub(super) struct Observations {
    reports: collections::BTreeMap<name::Name, (clock::Instant, wire::Report)>,
    demand: placement::Demand,
    /// The demand at each peer, with the time of its last digest.
    peers: collections::BTreeMap<name::Name, (clock::Instant, placement::Demand)>,
}

impl Observations {
    /// Records the report of a sidecar.
    pub(super) fn record_report(&mut self, now: clock::Instant, report: &wire::Report) {
        self.reports
            .insert(report.upstream.clone(), (now, report.clone()));
    }

    /// Adds tokens to the demand for a model or adapter at this host.
    pub(super) fn count_demand(
        &mut self,
        now: clock::Instant,
        subject: &placement::Subject,
        tokens: u64,
    ) {
        self.demand.observe(now, subject, tokens);
    }

    /// Returns up to `count` entries of the demand at this host, beginning with the entry at `from`.
    pub(super) fn demand_page(
        &self,
        now: clock::Instant,
        from: usize,
        count: usize,
    ) -> Vec<wire::Demand> {
        let entry =
            |(subject, rate, at): (&placement::Subject, f64, clock::Instant)| wire::Demand {
                model: subject.model.clone(),
                adapter: subject.adapter.clone(),
                #[expect(clippy::cast_possible_truncation, reason = "a rate need not be exact")]
                tokens_per_second: rate as f32,
                age_ms: u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX),
            };
        self.demand.page(from, count).map(entry).collect()
    }

    /// Records the demand at a peer.
    pub(super) fn record_peer_demand(&mut self, now: clock::Instant, digest: &wire::Digest) {
        self.peers
            .retain(|_, (at, _)| now.since(*at) < PEER_DEMAND_RETENTION);
        let peer = self.peers.entry(digest.host.clone());
        let (at, demand) = peer.or_insert_with(|| (now, placement::Demand::default()));
        *at = now;
        for entry in digest
            .demand
            .iter()
            .filter(|entry| entry.tokens_per_second.is_finite())
        {
            let micros = now
                .as_micros()
                .saturating_sub(entry.age_ms.saturating_mul(1_000));
            let subject = placement::Subject {
                model: entry.model.clone(),
                adapter: entry.adapter.clone(),
            };
            let at = clock::Instant::from_micros(micros);
            demand.set(at, &subject, entry.tokens_per_second.into());
        }
    }

    /// Returns the sum of the demand at this host and its peers.
    fn total_demand(&self) -> placement::Demand {
        let mut all = self.demand.clone();
        for (_, demand) in self.peers.values() {
            all.add(demand);
        }
        all
    }
}

/// The state of this host in the placement of one group.
#[derive(Debug)]
struct Group {
    election: placement::Election,
    lease: Option<i64>,
    strategy: placement::Strategy,
}

impl Group {
    fn new(policy: placement::Policy) -> Self {
        Self {
            election: placement::Election::default(),
            lease: None,
            strategy: policy.strategy(),
        }
    }
}

/// Runs placement rounds until the process shuts down.
pub(super) async fn run(context: sync::Arc<context::Context>) {
    if !context.settings.placement.enabled {
        return;
    }
    async_io::Timer::after(WARM_UP).await;
    let mut groups: collections::BTreeMap<name::Name, Group> = collections::BTreeMap::new();
    while !context.is_draining() {
        let names = context.with_reducer(|reducer, _| {
            let models = reducer.configuration().snapshot().models();
            models
                .map(|(_, model)| model.group.clone())
                .collect::<collections::BTreeSet<_>>()
        });
        groups.retain(|group, _| names.contains(group));
        for name in names {
            let group = groups
                .entry(name.clone())
                .or_insert_with(|| Group::new(context.policy.placement));
            elect(&context, &name, group).await;
            if let Some(create_revision) = group.election.create_revision(context.now()) {
                update_plan(&context, &name, group, create_revision).await;
            }
        }
        async_io::Timer::after(ROUND_INTERVAL).await;
    }
    for lease in groups.values().filter_map(|group| group.lease) {
        // Otherwise the next host to be elected would have to wait until the lease expires.
        let _ = context.store.revoke(lease).await;
    }
}

/// Renews the lease of a group or tries to acquire it.
async fn elect(context: &context::Context, name: &name::Name, group: &mut Group) {
    let sent_at = context.now();
    if let Some(id) = group.lease {
        let renewed = context.store.keep_alive(id).await;
        context
            .metric
            .count_store_call(metric::Call::Lease, renewed.is_ok());
        match renewed {
            Ok(lease) => {
                if let Some(revision) = group.election.create_revision(sent_at) {
                    group
                        .election
                        .record_lease(sent_at, revision, lease.lifetime);
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
        let granted = context.store.grant(LEASE_TTL).await;
        context
            .metric
            .count_store_call(metric::Call::Lease, granted.is_ok());
        group.lease = granted.ok().map(|lease| lease.id);
    }
    let Some(id) = group.lease else { return };
    campaign(context, name, group, id).await;
}

/// Writes the lease key of a group unless another host holds it.
async fn campaign(context: &context::Context, name: &name::Name, group: &mut Group, id: i64) {
    let sent_at = context.now();
    let key = lease_key(name);
    let value = format!("{}/{}", context.host(), context.member.incarnation).into_bytes();
    let transaction = store::Transaction::new()
        .when(store::Condition::Absent(key.clone()))
        .write(store::Write::put(key.clone(), value.clone()).bound_to(id))
        .otherwise_get(key);
    let response = context.store.commit(&transaction).await;
    context
        .metric
        .count_store_call(metric::Call::Transaction, response.is_ok());
    match response {
        Ok(response) if response.succeeded => {
            log::info(&format!("this host decides the placement of group {name}"));
            group
                .election
                .record_lease(sent_at, response.revision, LEASE_TTL);
        }
        Ok(response) => match response.found.first() {
            // An earlier write by this host succeeded, but its response was lost.
            Some(pair) if pair.lease == id && pair.value == value => {
                group
                    .election
                    .record_lease(sent_at, pair.create_revision, LEASE_TTL);
            }
            _ => group.election.record_loss(),
        },
        Err(_) => {}
    }
}

/// Makes a plan and writes it if it differs from the current one.
async fn update_plan(
    context: &context::Context,
    name: &name::Name,
    group: &mut Group,
    create_revision: u64,
) {
    let Some((plan, previous)) = plan(context, name, &mut group.strategy) else {
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
    let response = context.store.commit(&transaction).await;
    context
        .metric
        .count_store_call(metric::Call::Transaction, response.is_ok());
    match response {
        Ok(response) if response.succeeded => {
            log::info(&format!(
                "group {name} has a new plan at revision {}",
                response.revision
            ));
        }
        // The lease or the plan has changed, or the store failed; the next round starts from the current state.
        Ok(_) | Err(_) => {}
    }
}

fn plan(
    context: &context::Context,
    name: &name::Name,
    strategy: &mut placement::Strategy,
) -> Option<(placement::Plan, u64)> {
    context.with_observations(|reducer, observations, now| {
        let cache = reducer.configuration();
        let raw = cache.value(&plan_key(name));
        let previous = raw.and_then(|(value, revision)| {
            let plan: placement::Plan = serde_json::from_slice(value).ok()?;
            Some(plan.at_revision(revision))
        });
        let demand = observations.total_demand();
        let inputs = placement::Inputs {
            group: name.clone(),
            items: items(cache.snapshot(), name),
            upstreams: upstreams(cache.snapshot(), name, observations, now),
            demand: &demand,
            limits: limits(context),
            loads_in_flight: 0,
            previous: previous.as_ref(),
        };
        let plan = strategy.plan(now, &inputs)?;
        Some((plan, raw.map_or(0, |(_, revision)| revision)))
    })
}

fn limits(context: &context::Context) -> placement::Limits {
    placement::Limits {
        loads_per_second: context.settings.placement.loads_per_second,
        loads_in_flight: context.settings.placement.loads_in_flight as usize,
        adapter_loads_in_flight: MAX_ADAPTER_LOADS,
        adapter_load_seconds: ADAPTER_LOAD_SECONDS,
    }
}

/// Returns the models and adapters of a group with their memory sizes.
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
    let in_group = snapshot
        .upstreams()
        .filter(|(_, resource)| resource.group == *group);
    let with_sidecar = in_group.filter(|(_, resource)| resource.side_address.is_some());
    with_sidecar
        .map(|(name, resource)| to_upstream(snapshot, name, resource, observations, now))
        .collect()
}

fn to_upstream(
    snapshot: &config::Snapshot,
    name: &name::Name,
    resource: &resource::Upstream,
    observations: &Observations,
    now: clock::Instant,
) -> placement::Upstream {
    let report = observations.reports.get(name);
    let report = report.filter(|(at, report)| now.since(*at) < REPORT_TIMEOUT && report.reachable);
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
            .map(|item| to_residence(snapshot, item))
            .collect(),
    }
}

fn to_residence(snapshot: &config::Snapshot, reported: &wire::Residence) -> placement::Residence {
    let id = memory::Id::model(reported.model.clone(), reported.version.clone());
    let bytes = match &reported.adapter {
        None => snapshot
            .version(&reported.version)
            .map_or(0, |version| version.bytes),
        Some(adapter) => {
            let mut adapters = snapshot.adapters();
            adapters
                .find(|(name, _)| *name == adapter)
                .map_or(0, |(_, adapter)| adapter.bytes)
        }
    };
    let id = match &reported.adapter {
        Some(adapter) => id.with_adapter(adapter.clone()),
        None => id,
    };
    placement::Residence {
        item: memory::Item::new(id, bytes),
        answered: reported.answered,
    }
}
