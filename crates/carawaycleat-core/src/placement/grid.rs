use std::collections;

use super::inputs;
use super::strain;
use crate::clock;
use crate::memory;
use crate::name;

/// Items and upstreams by index, with what is planned, resident and loaded on each.
pub(super) struct Grid<'a> {
    pub(super) items: Vec<Item>,
    pub(super) upstreams: Vec<Upstream<'a>>,
    index: collections::BTreeMap<memory::Id, usize>,
    /// For a version that is no longer configured, the configured one.
    successors: Vec<Option<usize>>,
}

pub(super) struct Item {
    pub(super) item: memory::Item,
    pub(super) demand: f64,
    pub(super) is_configured: bool,
    /// The model of an adapter.
    pub(super) base: Option<usize>,
    /// The live upstreams that are to hold it.
    pub(super) holders: collections::BTreeSet<usize>,
    /// The number of holders on which it is resident and has answered.
    ready: usize,
}

impl Item {
    /// Returns the demand that each of `replicas` replicas serves.
    pub(super) fn share(&self, replicas: usize) -> f64 {
        if replicas == 0 {
            0.0
        } else {
            self.demand / replicas as f64
        }
    }
}

pub(super) struct Upstream<'a> {
    pub(super) known: &'a inputs::Upstream,
    pub(super) planned: collections::BTreeSet<usize>,
    /// The resident items, and whether each has answered.
    resident: collections::BTreeMap<usize, bool>,
    pub(super) load: f64,
    /// The bytes of what is planned and of what places were kept for.
    planned_bytes: u64,
    /// The bytes of what is planned or still resident.
    present_bytes: u64,
}

impl Upstream<'_> {
    pub(super) fn is_live(&self) -> bool {
        self.known.state == inputs::State::Live
    }

    /// Returns the bytes that are free once everything that is not planned has gone.
    pub(super) fn free_later(&self) -> u64 {
        self.known.memory_bytes.saturating_sub(self.planned_bytes)
    }

    /// Returns the bytes that are free while what is not planned is still present.
    pub(super) fn free_now(&self) -> u64 {
        let taken = self.present_bytes.max(self.planned_bytes);
        self.known.memory_bytes.saturating_sub(taken)
    }

    pub(super) fn strain_with(&self, added: f64) -> f64 {
        let capacity = self.known.tokens_per_second;
        let load = (self.load + added).max(0.0);
        strain::strain(load, capacity) - strain::strain(self.load, capacity)
    }

    fn is_ready(&self, item: usize) -> bool {
        self.resident.get(&item) == Some(&true)
    }

    pub(super) fn is_resident(&self, item: usize) -> bool {
        self.resident.contains_key(&item)
    }
}

impl<'a> Grid<'a> {
    pub(super) fn new(now: clock::Instant, inputs: &'a inputs::Inputs<'_>) -> Self {
        let mut grid = Self {
            items: Vec::new(),
            upstreams: Vec::new(),
            index: collections::BTreeMap::new(),
            successors: Vec::new(),
        };
        for item in &inputs.items {
            let index = grid.intern(item);
            grid.items[index].is_configured = true;
            grid.items[index].demand = inputs.demand.rate(now, &(&item.id).into());
        }
        let mut known: Vec<_> = inputs.upstreams.iter().collect();
        known.sort_by(|a, b| a.name.cmp(&b.name));
        for upstream in known {
            grid.add_upstream(upstream, inputs.previous);
        }
        grid.link();
        for upstream in 0..grid.upstreams.len() {
            let planned: Vec<_> = grid.upstreams[upstream].planned.iter().copied().collect();
            for item in planned {
                grid.hold(item, upstream);
            }
        }
        grid.weigh();
        grid
    }

    fn intern(&mut self, item: &memory::Item) -> usize {
        if let Some(&index) = self.index.get(&item.id) {
            return index;
        }
        let index = self.items.len();
        self.index.insert(item.id.clone(), index);
        self.items.push(Item {
            item: item.clone(),
            demand: 0.0,
            is_configured: false,
            base: None,
            holders: collections::BTreeSet::new(),
            ready: 0,
        });
        index
    }

    fn add_upstream(&mut self, known: &'a inputs::Upstream, previous: Option<&super::Plan>) {
        let resident: collections::BTreeMap<_, _> = known
            .resident
            .iter()
            .map(|r| (self.intern(&r.item), r.answered))
            .collect();
        // What an upstream holds that the plan does not know yet is kept.
        let planned: collections::BTreeSet<_> = match previous.and_then(|p| p.holdings(&known.name))
        {
            Some(items) => items.iter().map(|item| self.intern(item)).collect(),
            None => resident.keys().copied().collect(),
        };
        let bytes = |set: &mut dyn Iterator<Item = &usize>| -> u64 {
            set.map(|&i| self.items[i].item.bytes).sum()
        };
        let planned_bytes = bytes(&mut planned.iter());
        let mut absent = resident.keys().filter(|i| !planned.contains(i));
        let present_bytes = planned_bytes + bytes(&mut absent);
        self.upstreams.push(Upstream {
            known,
            planned,
            resident,
            load: 0.0,
            planned_bytes,
            present_bytes,
        });
    }

    fn link(&mut self) {
        let mut configured = collections::BTreeMap::new();
        for (index, item) in self.items.iter().enumerate() {
            if item.is_configured {
                configured.insert(super::Subject::from(&item.item.id), index);
            }
        }
        for index in 0..self.items.len() {
            let id = self.items[index].item.id.clone();
            let successor = configured.get(&super::Subject::from(&id)).copied();
            self.successors.push(successor.filter(|&s| s != index));
            if id.adapter.is_some() {
                self.items[index].base = self.index.get(&id.base()).copied();
            }
        }
    }

    fn hold(&mut self, item: usize, upstream: usize) {
        let holder = &self.upstreams[upstream];
        if holder.is_live() {
            self.items[item].ready += usize::from(holder.is_ready(item));
            self.items[item].holders.insert(upstream);
        }
    }

    /// Computes the load of each live upstream from the demand for what it is to hold.
    fn weigh(&mut self) {
        for upstream in &mut self.upstreams {
            upstream.load = 0.0;
        }
        for item in &self.items {
            let share = item.share(item.holders.len());
            for &holder in &item.holders {
                self.upstreams[holder].load += share;
            }
        }
    }

    /// Returns the loads that the plan has asked for and no report shows, for models or for adapters.
    pub(super) fn pending(&self, adapters: bool) -> usize {
        let is_pending = |u: &&Upstream<'_>, i: usize| {
            self.items[i].item.id.adapter.is_some() == adapters && !u.is_resident(i)
        };
        let live = self.upstreams.iter().filter(|u| u.is_live());
        live.map(|u| u.planned.iter().filter(|&&i| is_pending(&u, i)).count())
            .sum()
    }

    /// Returns the mean part of a token that is delayed or lost on the holders of `item`.
    pub(super) fn mean_price(&self, item: usize) -> f64 {
        let holders = &self.items[item].holders;
        let price = |&u: &usize| {
            strain::price(
                self.upstreams[u].load,
                self.upstreams[u].known.tokens_per_second,
            )
        };
        holders.iter().map(price).sum::<f64>() / holders.len().max(1) as f64
    }

    /// Returns the number of holders of `item` in each availability zone.
    pub(super) fn zones(&self, item: usize) -> collections::BTreeMap<&'a name::Name, usize> {
        let mut zones = collections::BTreeMap::new();
        for &holder in &self.items[item].holders {
            *zones
                .entry(&self.upstreams[holder].known.availability_zone)
                .or_insert(0) += 1;
        }
        zones
    }

    /// Returns whether `item` stays usable elsewhere when `upstream` drops it.
    pub(super) fn is_safe_to_drop(&self, item: usize, upstream: usize) -> bool {
        let holder = &self.upstreams[upstream];
        let is_counted =
            holder.is_live() && holder.is_ready(item) && holder.planned.contains(&item);
        let elsewhere = match (self.items[item].is_configured, self.successors[item]) {
            (true, _) => self.items[item].ready > usize::from(is_counted),
            (false, Some(successor)) => {
                self.items[successor].ready > 0 || self.items[item].ready > usize::from(is_counted)
            }
            (false, None) => true,
        };
        elsewhere
            && self
                .adapters_on(item, upstream)
                .all(|a| self.is_safe_to_drop(a, upstream))
    }

    /// Returns whether `item` is no longer configured and, where it has a successor, the successor carries the demand.
    ///
    /// Until its replicas are below half of their capacity, the replicas of the old version are kept.
    pub(super) fn is_replaced(&self, item: usize, capacity: f64) -> bool {
        let has_taken_over = |successor: &Item| {
            successor.ready > 0 && successor.share(successor.ready) <= capacity / 2.0
        };
        !self.items[item].is_configured
            && self.successors[item].is_none_or(|s| has_taken_over(&self.items[s]))
    }

    /// Returns the adapters of the model `item` that `upstream` is to hold.
    pub(super) fn adapters_on(&self, item: usize, upstream: usize) -> impl Iterator<Item = usize> {
        let planned = self.upstreams[upstream].planned.iter().copied();
        planned.filter(move |&a| self.items[a].base == Some(item))
    }

    pub(super) fn add(&mut self, item: usize, upstream: usize) {
        let bytes = self.items[item].item.bytes;
        let target = &mut self.upstreams[upstream];
        if !target.planned.insert(item) {
            return;
        }
        target.planned_bytes += bytes;
        if !target.is_resident(item) {
            target.present_bytes += bytes;
        }
        self.reshare(item, |grid| grid.hold(item, upstream));
    }

    /// Keeps a place for `item`, which does not fit before something else has gone.
    pub(super) fn reserve(&mut self, item: usize, upstream: usize) {
        self.upstreams[upstream].planned_bytes += self.items[item].item.bytes;
    }

    pub(super) fn drop_item(&mut self, item: usize, upstream: usize) {
        let adapters: Vec<_> = self.adapters_on(item, upstream).collect();
        for adapter in adapters {
            self.drop_item(adapter, upstream);
        }
        let bytes = self.items[item].item.bytes;
        let target = &mut self.upstreams[upstream];
        if !target.planned.remove(&item) {
            return;
        }
        target.planned_bytes -= bytes;
        let was_ready = target.is_live() && target.is_ready(item);
        self.items[item].ready -= usize::from(was_ready);
        self.reshare(item, |grid| {
            grid.items[item].holders.remove(&upstream);
        });
    }

    fn reshare(&mut self, item: usize, change: impl FnOnce(&mut Self)) {
        self.spread(item, -1.0);
        change(self);
        self.spread(item, 1.0);
    }

    fn spread(&mut self, item: usize, sign: f64) {
        let share = self.items[item].share(self.items[item].holders.len());
        if share > 0.0 {
            for &holder in &self.items[item].holders {
                self.upstreams[holder].load += sign * share;
            }
        }
    }

    pub(super) fn plan(&self, group: &name::Name) -> super::Plan {
        let mut plan = super::Plan::new(group.clone());
        for upstream in &self.upstreams {
            let mut items: Vec<_> = upstream
                .planned
                .iter()
                .map(|&i| self.items[i].item.clone())
                .collect();
            items.sort_by(|a, b| {
                let is_adapter = |item: &memory::Item| item.id.adapter.is_some();
                (is_adapter(a), &a.id).cmp(&(is_adapter(b), &b.id))
            });
            plan.upstreams.insert(upstream.known.name.clone(), items);
        }
        plan
    }
}
