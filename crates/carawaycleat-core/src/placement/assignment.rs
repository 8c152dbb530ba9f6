use std::collections;

use super::inputs;
use super::pressure;
use crate::clock;
use crate::memory;
use crate::name;

/// The assignment of items to upstreams that a plan is computed from, and the load that results from it.
///
/// Items and upstreams are identified by their index.
pub(super) struct Assignment<'a> {
    pub(super) items: Vec<Item>,
    pub(super) upstreams: Vec<Upstream<'a>>,
    index: collections::BTreeMap<memory::Id, usize>,
    /// For each item, the configured version that replaces it, or none when it is configured itself or was removed.
    successors: Vec<Option<usize>>,
}

pub(super) struct Item {
    pub(super) item: memory::Item,
    /// The demand, in tokens a second.
    pub(super) demand: f64,
    pub(super) is_configured: bool,
    /// The model of an adapter, or none for a model.
    pub(super) base: Option<usize>,
    /// The live upstreams on which it is planned.
    pub(super) holders: collections::BTreeSet<usize>,
    /// The number of holders on which it is resident and has served a request.
    ready_holders: usize,
}

impl Item {
    /// Returns the share of the demand that each of `replicas` replicas serves, in tokens a second.
    pub(super) fn share(&self, replicas: usize) -> f64 {
        if replicas == 0 {
            0.0
        } else {
            self.demand / replicas as f64
        }
    }
}

pub(super) struct Upstream<'a> {
    pub(super) input: &'a inputs::Upstream,
    pub(super) planned: collections::BTreeSet<usize>,
    /// The resident items, and whether each has served a request.
    resident: collections::BTreeMap<usize, bool>,
    /// The load that results from the planned items, in tokens a second.
    pub(super) load: f64,
    /// The bytes of the planned items and of reservations.
    planned_bytes: u64,
    /// The bytes of the items that are planned or still resident.
    present_bytes: u64,
}

impl Upstream<'_> {
    pub(super) fn is_live(&self) -> bool {
        self.input.state == inputs::State::Live
    }

    /// Returns the bytes that are free once all items that are not planned are unloaded.
    pub(super) fn free_after_unloads(&self) -> u64 {
        self.input.memory_bytes.saturating_sub(self.planned_bytes)
    }

    /// Returns the bytes that are free while items that are not planned are still resident.
    pub(super) fn free_now(&self) -> u64 {
        let used = self.present_bytes.max(self.planned_bytes);
        self.input.memory_bytes.saturating_sub(used)
    }

    /// Returns the increase of the load pressure when `added` tokens a second are added to the load.
    pub(super) fn added_pressure(&self, added: f64) -> f64 {
        let capacity = self.input.tokens_per_second;
        let load = (self.load + added).max(0.0);
        pressure::pressure(load, capacity) - pressure::pressure(self.load, capacity)
    }

    fn is_ready(&self, item: usize) -> bool {
        self.resident.get(&item) == Some(&true)
    }

    pub(super) fn is_resident(&self, item: usize) -> bool {
        self.resident.contains_key(&item)
    }
}

impl<'a> Assignment<'a> {
    pub(super) fn new(now: clock::Instant, inputs: &'a inputs::Inputs<'_>) -> Self {
        let mut assignment = Self {
            items: Vec::new(),
            upstreams: Vec::new(),
            index: collections::BTreeMap::new(),
            successors: Vec::new(),
        };
        for item in &inputs.items {
            let index = assignment.intern(item);
            assignment.items[index].is_configured = true;
            assignment.items[index].demand = inputs.demand.rate(now, &(&item.id).into());
        }
        let mut upstreams: Vec<_> = inputs.upstreams.iter().collect();
        upstreams.sort_by(|a, b| a.name.cmp(&b.name));
        for upstream in upstreams {
            assignment.add_upstream(upstream, inputs.previous);
        }
        assignment.link_items();
        for upstream in 0..assignment.upstreams.len() {
            let planned: Vec<_> = assignment.upstreams[upstream]
                .planned
                .iter()
                .copied()
                .collect();
            for item in planned {
                assignment.add_holder(item, upstream);
            }
        }
        assignment.compute_loads();
        assignment
    }

    /// Returns the index of an item, which is added if it is new.
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
            ready_holders: 0,
        });
        index
    }

    fn add_upstream(&mut self, input: &'a inputs::Upstream, previous: Option<&super::Plan>) {
        let resident: collections::BTreeMap<_, _> = input
            .resident
            .iter()
            .map(|r| (self.intern(&r.item), r.answered))
            .collect();
        // An upstream that the plan does not list yet keeps its resident items.
        let planned: collections::BTreeSet<_> = match previous.and_then(|p| p.holdings(&input.name))
        {
            Some(items) => items.iter().map(|item| self.intern(item)).collect(),
            None => resident.keys().copied().collect(),
        };
        let bytes = |set: &mut dyn Iterator<Item = &usize>| -> u64 {
            set.map(|&i| self.items[i].item.bytes).sum()
        };
        let planned_bytes = bytes(&mut planned.iter());
        let mut unplanned = resident.keys().filter(|i| !planned.contains(i));
        let present_bytes = planned_bytes + bytes(&mut unplanned);
        self.upstreams.push(Upstream {
            input,
            planned,
            resident,
            load: 0.0,
            planned_bytes,
            present_bytes,
        });
    }

    /// Links each item to its successor, and each adapter to its model.
    fn link_items(&mut self) {
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

    fn add_holder(&mut self, item: usize, upstream: usize) {
        let holder = &self.upstreams[upstream];
        if holder.is_live() {
            self.items[item].ready_holders += usize::from(holder.is_ready(item));
            self.items[item].holders.insert(upstream);
        }
    }

    /// Computes the load of each live upstream from the demand for the items planned on it.
    fn compute_loads(&mut self) {
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

    /// Returns the number of planned replicas on live upstreams that are not resident yet: those of adapters if
    /// `of_adapters`, else those of models.
    pub(super) fn pending_loads(&self, of_adapters: bool) -> usize {
        let is_pending = |u: &&Upstream<'_>, i: usize| {
            self.items[i].item.id.adapter.is_some() == of_adapters && !u.is_resident(i)
        };
        let live = self.upstreams.iter().filter(|u| u.is_live());
        live.map(|u| u.planned.iter().filter(|&&i| is_pending(&u, i)).count())
            .sum()
    }

    /// Returns the mean marginal load pressure of the holders of `item`.
    pub(super) fn mean_marginal_pressure(&self, item: usize) -> f64 {
        let holders = &self.items[item].holders;
        let marginal = |&u: &usize| {
            pressure::marginal(
                self.upstreams[u].load,
                self.upstreams[u].input.tokens_per_second,
            )
        };
        holders.iter().map(marginal).sum::<f64>() / holders.len().max(1) as f64
    }

    /// Returns the number of holders of `item` in each availability zone.
    pub(super) fn zones(&self, item: usize) -> collections::BTreeMap<&'a name::Name, usize> {
        let mut zones = collections::BTreeMap::new();
        for &holder in &self.items[item].holders {
            *zones
                .entry(&self.upstreams[holder].input.availability_zone)
                .or_insert(0) += 1;
        }
        zones
    }

    /// Returns whether `item` and its adapters stay usable elsewhere, or are no longer needed, when `upstream` evicts
    /// them.
    pub(super) fn is_safe_to_evict(&self, item: usize, upstream: usize) -> bool {
        let holder = &self.upstreams[upstream];
        let is_ready_here =
            holder.is_live() && holder.is_ready(item) && holder.planned.contains(&item);
        let is_usable_elsewhere = match (self.items[item].is_configured, self.successors[item]) {
            (true, _) => self.items[item].ready_holders > usize::from(is_ready_here),
            (false, Some(successor)) => {
                self.items[successor].ready_holders > 0
                    || self.items[item].ready_holders > usize::from(is_ready_here)
            }
            (false, None) => true,
        };
        is_usable_elsewhere
            && self
                .adapters_on(item, upstream)
                .all(|a| self.is_safe_to_evict(a, upstream))
    }

    /// Returns whether `item` is no longer configured and its successor, if any, serves the demand.
    ///
    /// The replicas of the old version are kept until each ready replica of the successor needs at most half of
    /// `capacity`.
    pub(super) fn is_superseded(&self, item: usize, capacity: f64) -> bool {
        let has_taken_over = |successor: &Item| {
            successor.ready_holders > 0
                && successor.share(successor.ready_holders) <= capacity / 2.0
        };
        !self.items[item].is_configured
            && self.successors[item].is_none_or(|s| has_taken_over(&self.items[s]))
    }

    /// Returns the adapters of the model `item` that are planned on `upstream`.
    pub(super) fn adapters_on(&self, item: usize, upstream: usize) -> impl Iterator<Item = usize> {
        let planned = self.upstreams[upstream].planned.iter().copied();
        planned.filter(move |&a| self.items[a].base == Some(item))
    }

    /// Plans `item` on `upstream`.
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
        self.update_load(item, |assignment| assignment.add_holder(item, upstream));
    }

    /// Reserves memory for `item`, which does not fit before other items are unloaded.
    pub(super) fn reserve(&mut self, item: usize, upstream: usize) {
        self.upstreams[upstream].planned_bytes += self.items[item].item.bytes;
    }

    /// Removes `item` and its adapters from the items planned on `upstream`.
    pub(super) fn evict(&mut self, item: usize, upstream: usize) {
        let adapters: Vec<_> = self.adapters_on(item, upstream).collect();
        for adapter in adapters {
            self.evict(adapter, upstream);
        }
        let bytes = self.items[item].item.bytes;
        let target = &mut self.upstreams[upstream];
        if !target.planned.remove(&item) {
            return;
        }
        target.planned_bytes -= bytes;
        let was_ready = target.is_live() && target.is_ready(item);
        self.items[item].ready_holders -= usize::from(was_ready);
        self.update_load(item, |assignment| {
            assignment.items[item].holders.remove(&upstream);
        });
    }

    /// Applies `change` to the holders of `item` and moves its load accordingly.
    fn update_load(&mut self, item: usize, change: impl FnOnce(&mut Self)) {
        self.add_load(item, -1.0);
        change(self);
        self.add_load(item, 1.0);
    }

    /// Adds the load of `item`, multiplied by `sign`, to its holders.
    fn add_load(&mut self, item: usize, sign: f64) {
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
            plan.upstreams.insert(upstream.input.name.clone(), items);
        }
        plan
    }
}
