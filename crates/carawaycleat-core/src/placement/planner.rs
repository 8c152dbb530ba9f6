use std::collections;
use std::iter;
use std::time;

use super::assignment;
use super::inputs;
use crate::clock;
use crate::memory;
use crate::name;

/// The largest number of upstreams that are compared when a replica is added by evictions.
///
/// Comparing all of 12,000 upstreams for each of 370 models takes many seconds.
const MAX_SCANNED: usize = 128;

/// The share of a replica's demand that counts as load pressure when all other replicas are in the same zone.
const ZONE_PENALTY: f64 = 0.25;

/// The parameters of a [`Planner`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The time over which the gain of a new replica is computed.
    pub horizon: time::Duration,
    /// The ratio of the gain to the cost of the load above which a replica is added.
    pub min_gain_ratio: f64,
    /// The shortest time for which an upstream keeps an item that was placed on it.
    ///
    /// The default equals the time constant of the demand, so that a single burst does not move an item twice.
    pub min_residency: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            horizon: time::Duration::from_secs(600),
            min_gain_ratio: 1.5,
            min_residency: time::Duration::from_secs(60),
        }
    }
}

/// Assigns the items of a group to its upstreams.
///
/// Items without a live holder are placed first, by demand, then items whose only holders are leaving, then replicas
/// whose gain exceeds the cost of their load. An item is evicted only to free memory for another one, and only while it
/// is resident and has served a request on another live upstream. The memory of an evicted item is used once a report
/// no longer lists the item.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    options: Options,
    /// When each item was placed on each upstream, for items placed less than `min_residency` ago.
    placed_at: collections::BTreeMap<name::Name, collections::BTreeMap<memory::Id, clock::Instant>>,
}

impl Planner {
    /// Returns a planner with `options`.
    pub const fn new(options: Options) -> Self {
        Self {
            options,
            placed_at: collections::BTreeMap::new(),
        }
    }

    /// Returns the plan for `inputs`, or none when it equals the plan in effect.
    pub fn plan(
        &mut self,
        now: clock::Instant,
        inputs: &inputs::Inputs<'_>,
    ) -> Option<super::Plan> {
        let mut round = Round::new(self, now, inputs);
        round.place_missing(false);
        round.place_missing(true);
        round.evict_unneeded();
        round.add_replicas();
        let added = round.added;
        let plan = round.assignment.plan(&inputs.group);
        let is_recent = |at: &clock::Instant| now.since(*at) < self.options.min_residency;
        self.placed_at.retain(|_, items| {
            items.retain(|_, at| is_recent(at));
            !items.is_empty()
        });
        for (upstream, id) in added {
            self.placed_at.entry(upstream).or_default().insert(id, now);
        }
        let is_same = |previous: &super::Plan| previous.upstreams == plan.upstreams;
        (!inputs.previous.is_some_and(is_same)).then_some(plan)
    }
}

/// One run of the planner.
struct Round<'a> {
    planner: &'a Planner,
    now: clock::Instant,
    inputs: &'a inputs::Inputs<'a>,
    assignment: assignment::Assignment<'a>,
    /// The numbers of model loads and of adapter loads that may still be started.
    loads_left: [usize; 2],
    added: Vec<(name::Name, memory::Id)>,
    evicted: collections::BTreeSet<usize>,
    /// The largest capacity of an upstream, in tokens a second.
    capacity: f64,
}

/// The placement of a replica on an upstream, with the evictions that free memory for it.
struct Placement {
    upstream: usize,
    evictions: Vec<usize>,
    /// The load pressure that the replica adds here and that the evictions add elsewhere, in tokens a second.
    pressure: f64,
}

impl<'a> Round<'a> {
    fn new(planner: &'a Planner, now: clock::Instant, inputs: &'a inputs::Inputs<'a>) -> Self {
        let assignment = assignment::Assignment::new(now, inputs);
        let models = assignment.pending_loads(false).max(inputs.loads_in_flight);
        let limits = &inputs.limits;
        Self {
            planner,
            now,
            inputs,
            loads_left: [
                limits.loads_in_flight.saturating_sub(models),
                limits
                    .adapter_loads_in_flight
                    .saturating_sub(assignment.pending_loads(true)),
            ],
            assignment,
            added: Vec::new(),
            evicted: collections::BTreeSet::new(),
            capacity: inputs
                .upstreams
                .iter()
                .map(|u| u.tokens_per_second)
                .fold(0.0, f64::max),
        }
    }

    fn is_adapter(&self, item: usize) -> bool {
        self.assignment.items[item].item.id.adapter.is_some()
    }

    fn has_load_left(&self, item: usize) -> bool {
        self.loads_left[usize::from(self.is_adapter(item))] > 0
    }

    /// Returns the configured items in descending order of demand.
    fn by_demand(&self) -> Vec<usize> {
        let items = &self.assignment.items;
        let mut sorted: Vec<_> = (0..items.len())
            .filter(|&i| items[i].is_configured)
            .collect();
        sorted.sort_by(|&a, &b| {
            let order = items[b].demand.total_cmp(&items[a].demand);
            // Of items with equal demand, the largest comes first: the others could leave too little memory for it.
            let order = order.then(items[b].item.bytes.cmp(&items[a].item.bytes));
            order.then_with(|| items[a].item.id.cmp(&items[b].item.id))
        });
        sorted
    }

    /// Places the items that are planned on no live upstream: those on leaving upstreams if `leaving`, else the others.
    fn place_missing(&mut self, leaving: bool) {
        let on_leaving: collections::BTreeSet<usize> = self
            .assignment
            .upstreams
            .iter()
            .filter(|u| u.input.state == inputs::State::Leaving)
            .flat_map(|u| u.planned.iter().copied().filter(|&i| u.is_resident(i)))
            .collect();
        let is_missing = |i: &usize| {
            self.assignment.items[*i].holders.is_empty() && on_leaving.contains(i) == leaving
        };
        let missing: Vec<_> = self.by_demand().into_iter().filter(is_missing).collect();
        let (adapters, models): (Vec<_>, Vec<_>) =
            missing.into_iter().partition(|&i| self.is_adapter(i));
        for item in models.into_iter().chain(adapters) {
            // A model that leaves no memory for its adapters cannot serve them, and it is rarely moved later.
            let own_bytes = self.assignment.items[item].item.bytes;
            let with_adapters = own_bytes.saturating_add(self.missing_adapter_bytes(item));
            let placement = self.place_in_free_memory(item, with_adapters);
            if let Some(placement) =
                placement.or_else(|| self.place_in_free_memory(item, own_bytes))
            {
                self.apply(item, &placement);
            } else if !self.has_load_left(item) {
                continue;
            } else if let Some(placement) =
                self.place_by_evictions(item, usize::MAX, &self.marginal_pressures())
            {
                self.apply(item, &placement);
            } else if let Some(upstream) = self.place_by_moves(item) {
                self.assignment.reserve(item, upstream);
            }
        }
    }

    /// Returns the bytes of the adapters of the model `item` that are planned on no live upstream.
    fn missing_adapter_bytes(&self, item: usize) -> u64 {
        let items = self.assignment.items.iter();
        let missing =
            items.filter(|i| i.is_configured && i.base == Some(item) && i.holders.is_empty());
        missing.map(|i| i.item.bytes).sum()
    }

    /// Evicts from leaving upstreams the items that are usable elsewhere, and from all upstreams the superseded items.
    fn evict_unneeded(&mut self) {
        for upstream in 0..self.assignment.upstreams.len() {
            let state = self.assignment.upstreams[upstream].input.state;
            if state == inputs::State::Lost {
                continue;
            }
            let is_leaving = state == inputs::State::Leaving;
            let capacity = self.assignment.upstreams[upstream].input.tokens_per_second;
            let planned: Vec<_> = self.assignment.upstreams[upstream]
                .planned
                .iter()
                .copied()
                .collect();
            for item in planned {
                let is_unneeded = is_leaving || self.assignment.is_superseded(item, capacity);
                let is_absent =
                    is_leaving && !self.assignment.upstreams[upstream].is_resident(item);
                if is_absent || is_unneeded && self.assignment.is_safe_to_evict(item, upstream) {
                    self.assignment.evict(item, upstream);
                }
            }
        }
    }

    /// Adds replicas while there is one whose gain exceeds the cost of its load.
    ///
    /// Each iteration starts a load or excludes an item, and an item that was evicted is not added in the same round:
    /// the number of iterations is bounded.
    fn add_replicas(&mut self) {
        let mut remaining = self.by_demand();
        let mut marginals = self.marginal_pressures();
        while self.loads_left.iter().any(|&left| left > 0) {
            let gain = |item: usize| {
                let entry = &self.assignment.items[item];
                entry.share(entry.holders.len() + 1) * marginals[item]
            };
            let is_worthwhile = |&i: &usize| {
                let is_possible =
                    !self.assignment.items[i].holders.is_empty() && self.has_load_left(i);
                is_possible && !self.evicted.contains(&i) && gain(i) > self.cost(i)
            };
            remaining.retain(is_worthwhile);
            let best = remaining
                .iter()
                .copied()
                .max_by(|&a, &b| gain(a).total_cmp(&gain(b)));
            let Some(item) = best else {
                return;
            };
            let max_pressure = gain(item) - self.cost(item);
            let placement = self
                .place_in_free_memory(item, self.assignment.items[item].item.bytes)
                .or_else(|| self.place_by_evictions(item, MAX_SCANNED, &marginals))
                .filter(|placement| placement.pressure < max_pressure);
            if !placement.is_some_and(|placement| self.apply(item, &placement)) {
                remaining.retain(|&i| i != item);
            }
            marginals[item] = self.assignment.mean_marginal_pressure(item);
        }
    }

    /// Returns the mean marginal load pressure of the holders of each item.
    fn marginal_pressures(&self) -> Vec<f64> {
        (0..self.assignment.items.len())
            .map(|i| self.assignment.mean_marginal_pressure(i))
            .collect()
    }

    /// Returns the gain that a load of `item` must exceed, in tokens a second averaged over the horizon.
    fn cost(&self, item: usize) -> f64 {
        let seconds = self
            .inputs
            .limits
            .load_seconds(&self.assignment.items[item].item);
        let options = &self.planner.options;
        options.min_gain_ratio * seconds * self.capacity / options.horizon.as_secs_f64()
    }

    /// Adds `item` as `placement` says when it fits now and a load may be started, else reserves its memory.
    ///
    /// Returns whether the item was added.
    fn apply(&mut self, item: usize, placement: &Placement) -> bool {
        for &evicted in &placement.evictions {
            self.assignment.evict(evicted, placement.upstream);
            self.evicted.insert(evicted);
        }
        let upstream = &self.assignment.upstreams[placement.upstream];
        let is_present = upstream.is_resident(item);
        let fits = is_present || upstream.free_now() >= self.assignment.items[item].item.bytes;
        let may_load = is_present || self.has_load_left(item);
        if !is_present {
            // A reservation counts as a load as well, so that no more is evicted than can soon be loaded.
            let left = &mut self.loads_left[usize::from(self.is_adapter(item))];
            *left = left.saturating_sub(1);
        }
        if !fits || !may_load {
            self.assignment.reserve(item, placement.upstream);
            return false;
        }
        let upstream = &self.assignment.upstreams[placement.upstream];
        let name = upstream.input.name.clone();
        self.added
            .push((name, self.assignment.items[item].item.id.clone()));
        self.assignment.add(item, placement.upstream);
        true
    }

    /// Returns the live upstreams that may take a replica of `item`.
    fn candidates(&self, item: usize) -> impl Iterator<Item = usize> {
        let base = self.assignment.items[item].base;
        let is_adapter = self.is_adapter(item);
        (0..self.assignment.upstreams.len()).filter(move |&u| {
            let upstream = &self.assignment.upstreams[u];
            let has_base = !is_adapter || base.is_some_and(|b| upstream.planned.contains(&b));
            upstream.is_live() && has_base && !upstream.planned.contains(&item)
        })
    }

    /// Returns the best placement of `item` on an upstream that has `bytes` bytes free, now or after pending unloads.
    fn place_in_free_memory(&self, item: usize, bytes: u64) -> Option<Placement> {
        let entry = &self.assignment.items[item];
        let share = entry.share(entry.holders.len() + 1);
        let zones = self.assignment.zones(item);
        let in_zone = |u: usize| {
            let zone = &self.assignment.upstreams[u].input.availability_zone;
            zones.get(zone).copied().unwrap_or(0)
        };
        let fits = |&u: &usize| self.assignment.upstreams[u].free_after_unloads() >= bytes;
        // A second replica in the same zone is lost together with the first, so a share of its demand counts as load
        // pressure.
        let penalty =
            |u: usize| ZONE_PENALTY * share * in_zone(u) as f64 / entry.holders.len().max(1) as f64;
        let rank = |u: usize| {
            let upstream = &self.assignment.upstreams[u];
            let must_wait = upstream.free_now() < entry.item.bytes && !upstream.is_resident(item);
            (
                upstream.added_pressure(share) + penalty(u),
                in_zone(u),
                must_wait,
                upstream.load,
            )
        };
        let compare = |a: &(f64, usize, bool, f64), b: &(f64, usize, bool, f64)| {
            let order = a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2));
            order.then(a.3.total_cmp(&b.3))
        };
        let ranked = self.candidates(item).filter(fits).map(|u| (rank(u), u));
        let (_, upstream) = ranked.min_by(|a, b| compare(&a.0, &b.0))?;
        Some(Placement {
            upstream,
            evictions: Vec::new(),
            pressure: self.assignment.upstreams[upstream].added_pressure(share),
        })
    }

    /// Returns the placement of `item` with the least load pressure, on an upstream where evictions of items that are
    /// usable elsewhere free enough memory, among the `max_scanned` least loaded upstreams.
    fn place_by_evictions(
        &self,
        item: usize,
        max_scanned: usize,
        marginals: &[f64],
    ) -> Option<Placement> {
        let entry = &self.assignment.items[item];
        let share = entry.share(entry.holders.len() + 1);
        let mut candidates: Vec<_> = self.candidates(item).collect();
        let load = |u: usize| self.assignment.upstreams[u].load;
        candidates.sort_by(|&a, &b| load(a).total_cmp(&load(b)));
        let place = |u: usize| self.place_by_evictions_on(item, u, share, marginals);
        let placements = candidates.into_iter().take(max_scanned).filter_map(place);
        placements.min_by(|a, b| a.pressure.total_cmp(&b.pressure))
    }

    fn place_by_evictions_on(
        &self,
        item: usize,
        u: usize,
        share: f64,
        marginals: &[f64],
    ) -> Option<Placement> {
        let upstream = &self.assignment.upstreams[u];
        let mut needed = self.assignment.items[item]
            .item
            .bytes
            .saturating_sub(upstream.free_after_unloads());
        let base = self.assignment.items[item].base;
        let current_share =
            |i: usize| self.assignment.items[i].share(self.assignment.items[i].holders.len());
        let is_evictable = |&i: &usize| Some(i) != base && self.may_evict(i, u);
        let mut evictable: Vec<_> = upstream
            .planned
            .iter()
            .copied()
            .filter(is_evictable)
            .collect();
        evictable.sort_by(|&a, &b| {
            (current_share(a) * marginals[a]).total_cmp(&(current_share(b) * marginals[b]))
        });
        let mut evictions = Vec::new();
        let (mut pressure_elsewhere, mut removed_load) = (0.0, 0.0);
        for victim in evictable {
            if needed == 0 {
                break;
            }
            let with_adapters = iter::once(victim).chain(self.assignment.adapters_on(victim, u));
            let new: Vec<_> = with_adapters.filter(|i| !evictions.contains(i)).collect();
            for evicted in new {
                needed = needed.saturating_sub(self.assignment.items[evicted].item.bytes);
                pressure_elsewhere += current_share(evicted) * marginals[evicted];
                removed_load += current_share(evicted);
                evictions.push(evicted);
            }
        }
        (needed == 0).then(|| Placement {
            upstream: u,
            evictions,
            pressure: pressure_elsewhere + upstream.added_pressure(share - removed_load),
        })
    }

    fn may_evict(&self, item: usize, upstream: usize) -> bool {
        let name = &self.assignment.upstreams[upstream].input.name;
        let id = &self.assignment.items[item].item.id;
        let placed_at = self
            .planner
            .placed_at
            .get(name)
            .and_then(|items| items.get(id));
        let is_recent =
            placed_at.is_some_and(|at| self.now.since(*at) < self.planner.options.min_residency);
        !is_recent && self.assignment.is_safe_to_evict(item, upstream)
    }

    /// Returns the upstream that has enough memory for `item` once some of its items are moved, and starts those moves.
    ///
    /// A later plan evicts the moved items from the upstream when their new replicas have served a request.
    fn place_by_moves(&mut self, item: usize) -> Option<usize> {
        let candidates: Vec<_> = self.candidates(item).collect();
        let moves = |u: usize| self.moves_on(item, u).map(|moves| (moves, u));
        let possible = candidates.into_iter().filter_map(moves);
        let (moves, upstream) = possible.min_by_key(|(moves, _)| moves.len())?;
        for (moved, target) in moves {
            let placement = Placement {
                upstream: target,
                evictions: Vec::new(),
                pressure: 0.0,
            };
            self.apply(moved, &placement);
        }
        Some(upstream)
    }

    /// Returns the new replicas that allow `upstream` to evict enough for `item`, as pairs of item and upstream.
    fn moves_on(&self, item: usize, upstream: usize) -> Option<Vec<(usize, usize)>> {
        let mut needed = self.assignment.items[item]
            .item
            .bytes
            .saturating_sub(self.assignment.upstreams[upstream].free_after_unloads());
        let mut reserved = collections::BTreeMap::new();
        let mut moves = Vec::new();
        let mut planned: Vec<_> = self.assignment.upstreams[upstream]
            .planned
            .iter()
            .copied()
            .collect();
        // Items that already have another replica, resident or loading, need no new load.
        planned.sort_by_key(|&i| self.assignment.items[i].holders.len() < 2);
        for moved in planned {
            let entry = &self.assignment.items[moved];
            if needed == 0 {
                break;
            }
            if self.is_adapter(moved) || Some(moved) == self.assignment.items[item].base {
                continue;
            }
            if entry.holders.len() < 2 {
                if self
                    .assignment
                    .adapters_on(moved, upstream)
                    .next()
                    .is_some()
                {
                    continue;
                }
                let fits = |&u: &usize| {
                    let reserved_bytes = reserved.get(&u).copied().unwrap_or(0);
                    u != upstream
                        && self.assignment.upstreams[u].free_after_unloads()
                            >= reserved_bytes + entry.item.bytes
                };
                let Some(target) = self.candidates(moved).find(fits) else {
                    continue;
                };
                *reserved.entry(target).or_insert(0) += entry.item.bytes;
                moves.push((moved, target));
            }
            needed = needed.saturating_sub(entry.item.bytes);
        }
        (needed == 0).then_some(moves)
    }
}
