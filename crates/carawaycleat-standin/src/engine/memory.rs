use std::collections;

use carawaycleat_core::clock;
use carawaycleat_core::resource;

use super::batch;
use super::options;
use super::order;
use super::report;
use crate::transfer;

/// A model (`adapter_of` empty) or an adapter in memory.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Key {
    name: String,
    version: String,
    adapter_of: String,
}

#[derive(Clone, Debug)]
struct Held {
    bytes: u64,
    state: report::ResidentState,
    order: String,
    free_at: clock::Instant,
}

/// The accelerator's memory and the orders that change it.
#[derive(Clone, Debug)]
pub(super) struct Memory {
    held: collections::BTreeMap<Key, Held>,
    orders: collections::BTreeMap<String, order::OrderState>,
    models: transfer::Queue<Key>,
    adapters: transfer::Queue<Key>,
    fetches: Vec<order::Fetch>,
    fencing: u64,
    role: order::Role,
    pub(super) incarnation: u64,
    /// The number of changes, by which a new report is due.
    pub(super) changes: u64,
    pub(super) peak_committed: u64,
    pub(super) overcommits: u64,
}

impl Memory {
    pub(super) fn new(options: &options::Options, incarnation: u64) -> Self {
        Self {
            held: collections::BTreeMap::new(),
            orders: collections::BTreeMap::new(),
            models: transfer::Queue::new(options.site.loads_in_flight),
            adapters: transfer::Queue::new(options.site.adapters_in_flight),
            fetches: Vec::new(),
            fencing: 0,
            role: order::Role::Both,
            incarnation,
            changes: 0,
            peak_committed: 0,
            overcommits: 0,
        }
    }

    /// Empties the memory, as a restart does. Records are kept.
    pub(super) fn restart(&mut self) {
        self.held.clear();
        self.orders.clear();
        self.models.clear();
        self.adapters.clear();
        self.fetches.clear();
        self.fencing = 0;
        self.role = order::Role::Both;
        self.incarnation += 1;
        self.changes += 1;
    }

    /// Returns the bytes in use, loads and unloads in progress included.
    pub(super) fn committed(&self) -> u64 {
        self.held.values().map(|h| h.bytes).sum()
    }

    pub(super) fn order_state(&self, id: &str) -> Option<order::OrderState> {
        self.orders.get(id).copied()
    }

    pub(super) fn set_order(&mut self, id: &str, state: order::OrderState) {
        self.orders.insert(id.to_owned(), state);
        self.changes += 1;
    }

    /// Checks the fencing number of an order, and remembers it.
    pub(super) fn check_fencing(
        &mut self,
        options: &options::Options,
        order: &order::Order,
    ) -> super::Result<()> {
        let checked = options.fencing == resource::Fencing::Checked;
        if checked && order.fencing < self.fencing {
            return Err(super::Error::OldFencing(order.fencing, self.fencing));
        }
        self.fencing = self.fencing.max(order.fencing);
        Ok(())
    }

    /// Returns whether requests can use the model and the adapter.
    pub(super) fn serves(&self, model: &str, adapter: Option<&str>) -> super::Result<()> {
        let has = |name: &str, of: &str| {
            self.held.iter().any(|(key, held)| {
                key.name == name
                    && key.adapter_of == of
                    && held.state == report::ResidentState::Loaded
            })
        };
        if !has(model, "") {
            return Err(super::Error::NotLoaded(model.to_owned()));
        }
        match adapter {
            Some(name) if !has(name, model) => Err(super::Error::NotLoaded(name.to_owned())),
            _ => Ok(()),
        }
    }

    /// Applies an order that has landed.
    pub(super) fn apply(
        &mut self,
        now: clock::Instant,
        options: &options::Options,
        order: &order::Order,
    ) -> super::Result<()> {
        self.check_fencing(options, order)?;
        let adapter = matches!(
            order.kind,
            order::OrderKind::LoadAdapter | order::OrderKind::UnloadAdapter
        );
        let key = Key {
            name: order.name.clone(),
            version: if adapter {
                String::new()
            } else {
                order.version.clone()
            },
            adapter_of: if adapter {
                order.model.clone()
            } else {
                String::new()
            },
        };
        let state = match order.kind {
            order::OrderKind::Role => {
                self.role = order.role.unwrap_or_default();
                order::OrderState::Done
            }
            order::OrderKind::Load => self.load(now, options, order, key)?,
            order::OrderKind::LoadAdapter => {
                self.serves(&order.model, None)?;
                self.load(now, options, order, key)?
            }
            order::OrderKind::Unload | order::OrderKind::UnloadAdapter => {
                self.unload(now, options, order, &key)
            }
        };
        self.set_order(&order.id, state);
        Ok(())
    }

    fn load(
        &mut self,
        now: clock::Instant,
        options: &options::Options,
        order: &order::Order,
        key: Key,
    ) -> super::Result<order::OrderState> {
        if let Some(held) = self.held.get(&key)
            && held.state == report::ResidentState::Loaded
        {
            return Ok(order::OrderState::Done);
        }
        if self.held.contains_key(&key) {
            let text = format!("{} is being loaded or unloaded", order.name);
            return Err(super::Error::Invalid(text));
        }
        let committed = self.committed().saturating_add(order.bytes);
        if committed > options.memory_bytes {
            if options.checks_memory {
                let free = options.memory_bytes.saturating_sub(self.committed());
                return Err(super::Error::OutOfMemory(order.bytes, free));
            }
            self.overcommits += 1;
        }
        self.peak_committed = self.peak_committed.max(committed);
        let held = Held {
            bytes: order.bytes,
            state: report::ResidentState::Loading,
            order: order.id.clone(),
            free_at: now,
        };
        self.held.insert(key.clone(), held);
        if options.weights.is_some() {
            self.fetches.push(order::Fetch {
                order: order.id.clone(),
                incarnation: self.incarnation,
                name: order.name.clone(),
                bytes: order.bytes,
            });
        } else if key.adapter_of.is_empty() {
            let work = options.site.model_time(order.bytes);
            self.models.start(now, key, work);
        } else {
            let work = options.site.adapter_time(order.bytes);
            self.adapters.start(now, key, work);
        }
        Ok(order::OrderState::Running)
    }

    fn unload(
        &mut self,
        now: clock::Instant,
        options: &options::Options,
        order: &order::Order,
        key: &Key,
    ) -> order::OrderState {
        let Some(held) = self.held.get_mut(key) else {
            return order::OrderState::Done;
        };
        if held.state != report::ResidentState::Loaded {
            return order::OrderState::Rejected;
        }
        held.state = report::ResidentState::Unloading;
        held.order = order.id.clone();
        held.free_at = now + options.unload_time;
        order::OrderState::Running
    }

    /// Ends the loads and unloads that are over at `now`. An unload also waits for the requests that use the entry.
    pub(super) fn advance(&mut self, now: clock::Instant, batch: &batch::Batch) {
        let mut loaded = self.models.advance(now);
        loaded.extend(self.adapters.advance(now));
        for key in loaded {
            self.finish(&key);
        }
        let (orders, changes) = (&mut self.orders, &mut self.changes);
        self.held.retain(|key, held| {
            let over = held.state == report::ResidentState::Unloading && held.free_at <= now;
            let gone = over && !is_used(key, batch);
            if gone {
                *changes += 1;
                orders.insert(held.order.clone(), order::OrderState::Done);
            }
            !gone
        });
    }

    fn finish(&mut self, key: &Key) {
        if let Some(held) = self.held.get_mut(key) {
            held.state = report::ResidentState::Loaded;
            self.changes += 1;
            self.orders
                .insert(held.order.clone(), order::OrderState::Done);
        }
    }

    /// Ends the load of an order whose weights the weight store has delivered.
    pub(super) fn finish_order(&mut self, fetch: &order::Fetch) {
        if fetch.incarnation != self.incarnation {
            return;
        }
        let mut held = self.held.iter();
        let loading =
            held.find(|(_, h)| h.order == fetch.order && h.state == report::ResidentState::Loading);
        if let Some(key) = loading.map(|(key, _)| key.clone()) {
            self.finish(&key);
        }
    }

    pub(super) fn take_fetches(&mut self) -> Vec<order::Fetch> {
        std::mem::take(&mut self.fetches)
    }

    /// Returns when the next load or unload is over. An unload that waits for a request ends with its step.
    pub(super) fn next(&self, batch: &batch::Batch) -> Option<clock::Instant> {
        let unloading = |held: &Held| held.state == report::ResidentState::Unloading;
        let mut held: Vec<_> = self.held.iter().filter(|(_, h)| unloading(h)).collect();
        held.retain(|(key, _)| !is_used(key, batch));
        let ends = held.into_iter().map(|(_, h)| h.free_at);
        ends.chain(self.models.next())
            .chain(self.adapters.next())
            .min()
    }

    /// Fills in the memory's part of a report.
    pub(super) fn fill(&self, report: &mut report::Report) {
        report.incarnation = self.incarnation;
        report.fencing = self.fencing;
        report.used_bytes = self.committed();
        report.role = self.role;
        for (key, held) in &self.held {
            let resident = report::Resident {
                name: key.name.clone(),
                version: key.version.clone(),
                model: key.adapter_of.clone(),
                bytes: held.bytes,
                state: held.state,
            };
            if key.adapter_of.is_empty() {
                report.models.push(resident);
            } else {
                report.adapters.push(resident);
            }
        }
        for (id, state) in &self.orders {
            report.orders.push(report::OrderReport {
                id: id.clone(),
                state: *state,
            });
        }
    }
}

fn is_used(key: &Key, batch: &batch::Batch) -> bool {
    match key.adapter_of.as_str() {
        "" => batch.uses(&key.name, None),
        model => batch.uses(model, Some(&key.name)),
    }
}
