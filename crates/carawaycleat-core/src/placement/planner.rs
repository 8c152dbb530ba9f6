use std::collections;
use std::iter;
use std::time;

use super::grid;
use super::inputs;
use crate::clock;
use crate::memory;
use crate::name;

/// The upstreams that are weighed for a swap. Weighing all of 12,000 for each of 370 models takes many seconds.
const MAX_SCANNED: usize = 128;

/// The rules of a [`Planner`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The time over which a move's gain is counted.
    pub horizon: time::Duration,
    /// The factor by which the gain must exceed the cost of the load.
    pub min_gain_ratio: f64,
    /// The time for which an upstream keeps an item that was placed on it.
    ///
    /// It equals the time constant of the demand, so that a single burst does not move an item twice.
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

/// Decides which upstream of a group holds which items.
///
/// Items without a live holder come first, by demand, then items whose only holders are leaving, then replicas whose
/// gain exceeds the cost of their load. An item is dropped only where that makes room, and only while it is resident
/// and has answered on another live upstream. The space of a dropped item is used once a report shows it gone.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    options: Options,
    placed: collections::BTreeMap<name::Name, collections::BTreeMap<memory::Id, clock::Instant>>,
}

impl Planner {
    /// Returns a planner with `options`.
    pub const fn new(options: Options) -> Self {
        Self {
            options,
            placed: collections::BTreeMap::new(),
        }
    }

    /// Returns the plan for `inputs`, or none when the plan in force stays.
    pub fn plan(
        &mut self,
        now: clock::Instant,
        inputs: &inputs::Inputs<'_>,
    ) -> Option<super::Plan> {
        let mut round = Round::new(self, now, inputs);
        round.replace_missing(false);
        round.replace_missing(true);
        round.drop_leaving();
        round.add_replicas();
        let added = round.added;
        let plan = round.grid.plan(&inputs.group);
        let is_recent = |at: &clock::Instant| now.since(*at) < self.options.min_residency;
        self.placed.retain(|_, items| {
            items.retain(|_, at| is_recent(at));
            !items.is_empty()
        });
        for (upstream, id) in added {
            self.placed.entry(upstream).or_default().insert(id, now);
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
    grid: grid::Grid<'a>,
    /// The model loads and adapter loads that may still be started.
    loads_left: [usize; 2],
    added: Vec<(name::Name, memory::Id)>,
    dropped: collections::BTreeSet<usize>,
    /// The largest capacity of an upstream, in tokens a second.
    capacity: f64,
}

/// Where a replica goes, and what makes room for it.
struct Place {
    upstream: usize,
    drops: Vec<usize>,
    /// The strain that the replica adds and that the drops add elsewhere, in tokens a second.
    strain: f64,
}

impl<'a> Round<'a> {
    fn new(planner: &'a Planner, now: clock::Instant, inputs: &'a inputs::Inputs<'a>) -> Self {
        let grid = grid::Grid::new(now, inputs);
        let models = grid.pending(false).max(inputs.loads_in_flight);
        let limits = &inputs.limits;
        Self {
            planner,
            now,
            inputs,
            loads_left: [
                limits.loads_in_flight.saturating_sub(models),
                limits
                    .adapter_loads_in_flight
                    .saturating_sub(grid.pending(true)),
            ],
            grid,
            added: Vec::new(),
            dropped: collections::BTreeSet::new(),
            capacity: inputs
                .upstreams
                .iter()
                .map(|u| u.tokens_per_second)
                .fold(0.0, f64::max),
        }
    }

    fn is_adapter(&self, item: usize) -> bool {
        self.grid.items[item].item.id.adapter.is_some()
    }

    fn has_load_left(&self, item: usize) -> bool {
        self.loads_left[usize::from(self.is_adapter(item))] > 0
    }

    /// Returns the configured items by falling demand.
    fn by_demand(&self) -> Vec<usize> {
        let items = &self.grid.items;
        let mut found: Vec<_> = (0..items.len())
            .filter(|&i| items[i].is_configured)
            .collect();
        found.sort_by(|&a, &b| {
            let order = items[b].demand.total_cmp(&items[a].demand);
            // Of equal demand, what needs the most room comes first, or else the rest leaves no place for it.
            let order = order.then(items[b].item.bytes.cmp(&items[a].item.bytes));
            order.then_with(|| items[a].item.id.cmp(&items[b].item.id))
        });
        found
    }

    /// Places the items that no live upstream is to hold: lost ones, then (`leaving`) those on leaving upstreams.
    fn replace_missing(&mut self, leaving: bool) {
        let leaves: collections::BTreeSet<usize> = self
            .grid
            .upstreams
            .iter()
            .filter(|u| u.known.state == inputs::State::Leaving)
            .flat_map(|u| u.planned.iter().copied().filter(|&i| u.is_resident(i)))
            .collect();
        let is_missing =
            |i: &usize| self.grid.items[*i].holders.is_empty() && leaves.contains(i) == leaving;
        let missing: Vec<_> = self.by_demand().into_iter().filter(is_missing).collect();
        let (adapters, models): (Vec<_>, Vec<_>) =
            missing.into_iter().partition(|&i| self.is_adapter(i));
        for item in models.into_iter().chain(adapters) {
            // A model without room for its adapters cannot serve them, and it is rarely moved later.
            let own = self.grid.items[item].item.bytes;
            let with_adapters = own.saturating_add(self.missing_adapters(item));
            let place = self.free_place(item, with_adapters);
            if let Some(place) = place.or_else(|| self.free_place(item, own)) {
                self.take(item, &place);
            } else if !self.has_load_left(item) {
                continue;
            } else if let Some(place) = self.place_by_drops(item, usize::MAX, &self.prices()) {
                self.take(item, &place);
            } else if let Some(upstream) = self.place_by_moves(item) {
                self.grid.reserve(item, upstream);
            }
        }
    }

    /// Returns the bytes of the adapters of the model `item` that no live upstream is to hold.
    fn missing_adapters(&self, item: usize) -> u64 {
        let items = self.grid.items.iter();
        let missing =
            items.filter(|i| i.is_configured && i.base == Some(item) && i.holders.is_empty());
        missing.map(|i| i.item.bytes).sum()
    }

    /// Drops from leaving upstreams what is usable elsewhere, and everywhere what is no longer configured.
    fn drop_leaving(&mut self) {
        for upstream in 0..self.grid.upstreams.len() {
            let state = self.grid.upstreams[upstream].known.state;
            if state == inputs::State::Lost {
                continue;
            }
            let is_leaving = state == inputs::State::Leaving;
            let capacity = self.grid.upstreams[upstream].known.tokens_per_second;
            let planned: Vec<_> = self.grid.upstreams[upstream]
                .planned
                .iter()
                .copied()
                .collect();
            for item in planned {
                let is_unwanted = is_leaving || self.grid.is_replaced(item, capacity);
                let is_absent = is_leaving && !self.grid.upstreams[upstream].is_resident(item);
                if is_absent || is_unwanted && self.grid.is_safe_to_drop(item, upstream) {
                    self.grid.drop_item(item, upstream);
                }
            }
        }
    }

    /// Adds replicas while one gains more than its load costs.
    ///
    /// Each turn starts a load or rejects an item, and an item that was dropped is not added in the same round: the
    /// number of turns is bounded.
    fn add_replicas(&mut self) {
        let mut open = self.by_demand();
        let mut prices = self.prices();
        while self.loads_left.iter().any(|&left| left > 0) {
            let benefit = |item: usize| {
                let found = &self.grid.items[item];
                found.share(found.holders.len() + 1) * prices[item]
            };
            let worth = |&i: &usize| {
                let is_possible = !self.grid.items[i].holders.is_empty() && self.has_load_left(i);
                is_possible && !self.dropped.contains(&i) && benefit(i) > self.cost(i)
            };
            open.retain(worth);
            let best = open
                .iter()
                .copied()
                .max_by(|&a, &b| benefit(a).total_cmp(&benefit(b)));
            let Some(item) = best else {
                return;
            };
            let needed = benefit(item) - self.cost(item);
            let place = self
                .free_place(item, self.grid.items[item].item.bytes)
                .or_else(|| self.place_by_drops(item, MAX_SCANNED, &prices))
                .filter(|place| place.strain < needed);
            if !place.is_some_and(|place| self.take(item, &place)) {
                open.retain(|&i| i != item);
            }
            prices[item] = self.grid.mean_price(item);
        }
    }

    fn prices(&self) -> Vec<f64> {
        (0..self.grid.items.len())
            .map(|i| self.grid.mean_price(i))
            .collect()
    }

    /// Returns the gain that a load of `item` must exceed, in tokens a second over the horizon.
    fn cost(&self, item: usize) -> f64 {
        let seconds = self.inputs.limits.load_seconds(&self.grid.items[item].item);
        let options = &self.planner.options;
        options.min_gain_ratio * seconds * self.capacity / options.horizon.as_secs_f64()
    }

    /// Adds `item` at `place` when it fits now, else keeps the place. Returns whether a load was started.
    fn take(&mut self, item: usize, place: &Place) -> bool {
        for &drop in &place.drops {
            self.grid.drop_item(drop, place.upstream);
            self.dropped.insert(drop);
        }
        let upstream = &self.grid.upstreams[place.upstream];
        let is_present = upstream.is_resident(item);
        let fits = is_present || upstream.free_now() >= self.grid.items[item].item.bytes;
        let may_load = is_present || self.has_load_left(item);
        if !is_present {
            // A place that is kept counts as well, so that no more is dropped than can soon be loaded.
            let left = &mut self.loads_left[usize::from(self.is_adapter(item))];
            *left = left.saturating_sub(1);
        }
        if !fits || !may_load {
            self.grid.reserve(item, place.upstream);
            return false;
        }
        let upstream = &self.grid.upstreams[place.upstream];
        let name = upstream.known.name.clone();
        self.added
            .push((name, self.grid.items[item].item.id.clone()));
        self.grid.add(item, place.upstream);
        true
    }

    /// Returns the live upstreams that may take a replica of `item`.
    fn candidates(&self, item: usize) -> impl Iterator<Item = usize> {
        let base = self.grid.items[item].base;
        let is_adapter = self.is_adapter(item);
        (0..self.grid.upstreams.len()).filter(move |&u| {
            let upstream = &self.grid.upstreams[u];
            let has_base = !is_adapter || base.is_some_and(|b| upstream.planned.contains(&b));
            upstream.is_live() && has_base && !upstream.planned.contains(&item)
        })
    }

    /// Returns the best upstream that has, or will have, `room` bytes for `item`.
    fn free_place(&self, item: usize, room: u64) -> Option<Place> {
        let found = &self.grid.items[item];
        let share = found.share(found.holders.len() + 1);
        let zones = self.grid.zones(item);
        let in_zone = |u: usize| {
            let zone = &self.grid.upstreams[u].known.availability_zone;
            zones.get(zone).copied().unwrap_or(0)
        };
        let has_room = |&u: &usize| self.grid.upstreams[u].free_later() >= room;
        // A second replica in the same zone is lost with the first; it counts as strain of part of its share.
        let penalty =
            |u: usize| 0.25 * share * in_zone(u) as f64 / found.holders.len().max(1) as f64;
        let rank = |u: usize| {
            let upstream = &self.grid.upstreams[u];
            let waits = upstream.free_now() < found.item.bytes && !upstream.is_resident(item);
            (
                upstream.strain_with(share) + penalty(u),
                in_zone(u),
                waits,
                upstream.load,
            )
        };
        let compare = |a: &(f64, usize, bool, f64), b: &(f64, usize, bool, f64)| {
            let order = a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2));
            order.then(a.3.total_cmp(&b.3))
        };
        let ranked = self.candidates(item).filter(has_room).map(|u| (rank(u), u));
        let (_, upstream) = ranked.min_by(|a, b| compare(&a.0, &b.0))?;
        Some(Place {
            upstream,
            drops: Vec::new(),
            strain: self.grid.upstreams[upstream].strain_with(share),
        })
    }

    /// Returns the upstream where dropping what is usable elsewhere makes room for `item` at the least strain, among
    /// the `scanned` least loaded.
    fn place_by_drops(&self, item: usize, scanned: usize, prices: &[f64]) -> Option<Place> {
        let found = &self.grid.items[item];
        let share = found.share(found.holders.len() + 1);
        let mut candidates: Vec<_> = self.candidates(item).collect();
        let load = |u: usize| self.grid.upstreams[u].load;
        candidates.sort_by(|&a, &b| load(a).total_cmp(&load(b)));
        let place = |u: usize| self.place_on(item, u, share, prices);
        let places = candidates.into_iter().take(scanned).filter_map(place);
        places.min_by(|a, b| a.strain.total_cmp(&b.strain))
    }

    fn place_on(&self, item: usize, u: usize, share: f64, prices: &[f64]) -> Option<Place> {
        let upstream = &self.grid.upstreams[u];
        let mut needed = self.grid.items[item]
            .item
            .bytes
            .saturating_sub(upstream.free_later());
        let base = self.grid.items[item].base;
        let part = |i: usize| self.grid.items[i].share(self.grid.items[i].holders.len());
        let droppable = |&i: &usize| Some(i) != base && self.may_drop(i, u);
        let mut known: Vec<_> = upstream.planned.iter().copied().filter(droppable).collect();
        known.sort_by(|&a, &b| (part(a) * prices[a]).total_cmp(&(part(b) * prices[b])));
        let mut drops = Vec::new();
        let (mut strain, mut relief) = (0.0, 0.0);
        for drop in known {
            if needed == 0 {
                break;
            }
            let with_adapters = iter::once(drop).chain(self.grid.adapters_on(drop, u));
            let new: Vec<_> = with_adapters.filter(|i| !drops.contains(i)).collect();
            for dropped in new {
                needed = needed.saturating_sub(self.grid.items[dropped].item.bytes);
                strain += part(dropped) * prices[dropped];
                relief += part(dropped);
                drops.push(dropped);
            }
        }
        (needed == 0).then(|| Place {
            upstream: u,
            drops,
            strain: strain + upstream.strain_with(share - relief),
        })
    }

    fn may_drop(&self, item: usize, upstream: usize) -> bool {
        let name = &self.grid.upstreams[upstream].known.name;
        let id = &self.grid.items[item].item.id;
        let placed = self
            .planner
            .placed
            .get(name)
            .and_then(|items| items.get(id));
        let is_recent =
            placed.is_some_and(|at| self.now.since(*at) < self.planner.options.min_residency);
        !is_recent && self.grid.is_safe_to_drop(item, upstream)
    }

    /// Returns the upstream that has room for `item` once some of its items were moved, and starts those moves.
    ///
    /// The moved items are dropped by a later plan, when their new replicas have answered.
    fn place_by_moves(&mut self, item: usize) -> Option<usize> {
        let candidates: Vec<_> = self.candidates(item).collect();
        let moves = |u: usize| self.moves_on(item, u).map(|moves| (moves, u));
        let found = candidates.into_iter().filter_map(moves);
        let (moves, upstream) = found.min_by_key(|(moves, _)| moves.len())?;
        for (moved, target) in moves {
            let place = Place {
                upstream: target,
                drops: Vec::new(),
                strain: 0.0,
            };
            self.take(moved, &place);
        }
        Some(upstream)
    }

    /// Returns the new replicas that let `upstream` drop enough for `item`, as pairs of item and upstream.
    fn moves_on(&self, item: usize, upstream: usize) -> Option<Vec<(usize, usize)>> {
        let mut needed = self.grid.items[item]
            .item
            .bytes
            .saturating_sub(self.grid.upstreams[upstream].free_later());
        let mut taken = collections::BTreeMap::new();
        let mut moves = Vec::new();
        let mut planned: Vec<_> = self.grid.upstreams[upstream]
            .planned
            .iter()
            .copied()
            .collect();
        // Items that already have another replica on its way need no new load.
        planned.sort_by_key(|&i| self.grid.items[i].holders.len() < 2);
        for moved in planned {
            let found = &self.grid.items[moved];
            if needed == 0 {
                break;
            }
            if self.is_adapter(moved) || Some(moved) == self.grid.items[item].base {
                continue;
            }
            if found.holders.len() < 2 {
                if self.grid.adapters_on(moved, upstream).next().is_some() {
                    continue;
                }
                let has_room = |&u: &usize| {
                    let used = taken.get(&u).copied().unwrap_or(0);
                    u != upstream && self.grid.upstreams[u].free_later() >= used + found.item.bytes
                };
                let Some(target) = self.candidates(moved).find(has_room) else {
                    continue;
                };
                *taken.entry(target).or_insert(0) += found.item.bytes;
                moves.push((moved, target));
            }
            needed = needed.saturating_sub(found.item.bytes);
        }
        (needed == 0).then_some(moves)
    }
}
