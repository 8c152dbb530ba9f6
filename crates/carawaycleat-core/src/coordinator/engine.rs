use std::collections;
use std::time;

use super::event;
use super::order;
use crate::clock;
use crate::name;
use crate::relay;

/// The adapters that may be in transit to an engine at the same time.
pub(super) const MAX_COMING: usize = 4;
/// The time after which an adapter that was ordered counts as present. Loads take 5 to 10 ms.
const ADAPTER_TIME: time::Duration = time::Duration::from_millis(15);

type Adapter = (name::Name, name::Name);

/// A model that an engine holds.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) since: clock::Instant,
}

/// An order whose effect is not known to be complete.
#[derive(Clone, Debug)]
pub(super) struct Open {
    pub(super) order: order::Order,
    pub(super) sent: clock::Instant,
    /// When its effect is expected.
    pub(super) ready: clock::Instant,
    pub(super) state: OpenState,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OpenState {
    /// No answer yet.
    Sent,
    /// The engine carries it out.
    Accepted,
    /// There was no answer; it is sent again with the same condition.
    Unknown,
}

/// What the coordinator knows of an engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub(super) sighting: relay::Registration,
    pub(super) models: collections::BTreeMap<name::Name, Held>,
    /// The adapters, and when each arrived or was last found in use.
    pub(super) adapters: collections::BTreeMap<Adapter, clock::Instant>,
    /// The adapters in transit and when they were ordered.
    pub(super) coming: collections::BTreeMap<Adapter, clock::Instant>,
    /// The order about a model that is in progress.
    pub(super) open: Option<Open>,
    /// The model that takes the place of the one that is being unloaded.
    pub(super) successor: Option<name::Name>,
    /// The orders in a row that met another state than expected.
    pub(super) conflicts: u32,
    /// The orders about adapters that have no answer yet.
    pub(super) adapter_orders: Vec<Open>,
    /// The number of orders that the engine has accepted, where it is known.
    pub(super) sequence: Option<u64>,
    pub(super) in_memory: Vec<name::Name>,
    pub(super) on_disk: Vec<name::Name>,
    pub(super) running: u32,
    pub(super) busy: bool,
    pub(super) last_order: clock::Instant,
    pub(super) probed: clock::Instant,
    pub(super) answered: Option<clock::Instant>,
    /// The last time that an order found no answer or an unexpected state.
    pub(super) blocked_until: clock::Instant,
}

impl Engine {
    pub(super) fn new(now: clock::Instant, sighting: relay::Registration) -> Self {
        let mut engine = Self {
            models: collections::BTreeMap::new(),
            adapters: collections::BTreeMap::new(),
            coming: collections::BTreeMap::new(),
            open: None,
            successor: None,
            conflicts: 0,
            adapter_orders: Vec::new(),
            sequence: None,
            in_memory: sighting.in_memory.clone(),
            on_disk: sighting.on_disk.clone(),
            running: 0,
            busy: false,
            last_order: clock::Instant::default(),
            probed: clock::Instant::default(),
            answered: None,
            blocked_until: clock::Instant::default(),
            sighting,
        };
        let sighting = engine.sighting.clone();
        engine.hold(now, sighting.models.iter().map(|(m, a)| (m, a.as_slice())));
        engine
    }

    /// Takes up the models and adapters that the engine says it holds.
    fn hold<'a>(
        &mut self,
        now: clock::Instant,
        models: impl Iterator<Item = (&'a name::Name, &'a [name::Name])>,
    ) {
        let before = std::mem::take(&mut self.models);
        let adapters = std::mem::take(&mut self.adapters);
        for (model, names) in models {
            let since = before.get(model).map_or(now, |held| held.since);
            self.models.insert(model.clone(), Held { since });
            for adapter in names {
                let key = (model.clone(), adapter.clone());
                let used = adapters.get(&key).copied().unwrap_or(now);
                self.adapters.insert(key, used);
            }
        }
    }

    /// Takes up a newer entry. Entries lag behind, so a probe goes before them while it is fresh.
    pub(super) fn update(&mut self, now: clock::Instant, sighting: relay::Registration) {
        if sighting.started > self.sighting.started {
            *self = Self::new(now, sighting);
            return;
        }
        let is_probed = self
            .answered
            .is_some_and(|at| now.since(at) < time::Duration::from_secs(2));
        if let Some(open) = &self.open {
            let order = &open.order;
            let order_sequence = order.sequence;
            let holds = sighting.models.contains_key(&order.model);
            let done = (order.operation == order::Operation::Load) == holds;
            if done {
                // Engines write their entry when an order about a model is complete.
                if holds {
                    let held = Held { since: now };
                    self.models.insert(order.model.clone(), held);
                } else {
                    let model = order.model.clone();
                    self.models.remove(&model);
                    self.adapters.retain(|(name, _), _| *name != model);
                }
                self.sequence = Some(order_sequence + 1);
                self.busy = false;
                self.open = None;
                self.last_order = now;
            }
        }
        self.sighting = sighting;
        if !is_probed && self.open.is_none() {
            let sighting = self.sighting.clone();
            self.hold(now, sighting.models.iter().map(|(m, a)| (m, a.as_slice())));
            self.in_memory = sighting.in_memory;
            self.on_disk = sighting.on_disk;
        }
    }

    /// Takes up a status. One that may be older than the last order says nothing about what that order changed.
    pub(super) fn probe(
        &mut self,
        now: clock::Instant,
        status: event::Status,
        lag: time::Duration,
    ) {
        self.answered = Some(now);
        self.running = status.running + status.queued;
        if let Some(in_memory) = status.in_memory {
            self.in_memory = in_memory;
        }
        if let Some(on_disk) = status.on_disk {
            self.on_disk = on_disk;
        }
        if now.since(self.last_order) < lag {
            return;
        }
        self.busy = status.busy;
        self.sequence = Some(status.sequence);
        self.hold(now, status.models.iter().map(|(m, a)| (m, a.as_slice())));
        let coming: collections::BTreeSet<_> = status.loading_adapters.into_iter().collect();
        self.coming.retain(|key, _| coming.contains(key));
        for key in coming {
            self.coming.entry(key).or_insert(now);
        }
        if !self.busy
            && self
                .open
                .as_ref()
                .is_some_and(|open| open.state == OpenState::Accepted)
        {
            self.open = None;
        }
        if let Some(open) = &self.open
            && open.state == OpenState::Unknown
            && status.sequence > open.order.sequence
        {
            // The order, or one after it, has been accepted: the condition keeps a late copy from taking effect.
            self.open = None;
        }
        let sequence = status.sequence;
        self.adapter_orders
            .retain(|open| sequence <= open.order.sequence);
    }

    /// Counts adapters as present once the time of their load has passed.
    pub(super) fn settle_adapters(&mut self, now: clock::Instant) {
        let arrived: Vec<_> = self
            .coming
            .iter()
            .filter(|(_, ordered)| now.since(**ordered) >= ADAPTER_TIME)
            .map(|(key, _)| key.clone())
            .collect();
        for key in arrived {
            self.coming.remove(&key);
            if self.models.contains_key(&key.0) {
                self.adapters.insert(key, now);
            }
        }
    }

    /// Returns whether an order may be sent. Engines carry out one order at a time, and refuse orders about adapters too
    /// while a model is being loaded or unloaded.
    pub(super) fn is_free(&self, now: clock::Instant) -> bool {
        self.sighting.state == relay::State::Ready
            && self.open.is_none()
            && !self.busy
            && self.adapter_orders.is_empty()
            && self.sequence.is_some()
            && now >= self.blocked_until
    }

    /// Returns the places that it has.
    pub(super) fn slots(&self, spec: &relay::EngineSpec) -> u32 {
        match self.sighting.slots {
            0 => spec.slots,
            slots => slots,
        }
    }

    /// Returns whether it holds what the requests of an ask need.
    pub(super) fn runs(&self, ask: &relay::Demand) -> bool {
        let holds = |adapter: &name::Name| {
            let key = (ask.model.clone(), adapter.clone());
            self.adapters.contains_key(&key)
        };
        self.sighting.service == ask.service
            && self.sighting.state == relay::State::Ready
            && self.models.contains_key(&ask.model)
            && self.unloading() != Some(&ask.model)
            && ask.adapter.as_ref().is_none_or(holds)
    }

    /// Returns the model that is being loaded.
    pub(super) fn loading(&self) -> Option<(&name::Name, clock::Instant)> {
        let open = self.open.as_ref()?;
        (open.order.operation == order::Operation::Load).then_some((&open.order.model, open.ready))
    }

    /// Returns the model that is being unloaded.
    pub(super) fn unloading(&self) -> Option<&name::Name> {
        let open = self.open.as_ref()?;
        (open.order.operation == order::Operation::Unload).then_some(&open.order.model)
    }

    /// Returns the models that it serves or soon will.
    pub(super) fn serves(&self) -> impl Iterator<Item = &name::Name> {
        let held = self
            .models
            .keys()
            .filter(|model| self.unloading() != Some(*model));
        let coming = self.loading().map(|(model, _)| model);
        let coming = coming.or(self.successor.as_ref());
        held.chain(coming.filter(|model| !self.models.contains_key(*model)))
    }

    /// Returns the megabytes that are left beside the models held and loading and all places for adapters.
    pub(super) fn free_mb(&self, engine: &relay::EngineSpec) -> f64 {
        let size = |model: &name::Name| engine.models.get(model).map_or(0.0, |m| m.weights_mb);
        let held: f64 = self.models.keys().map(size).sum();
        let loading = self
            .loading()
            .filter(|(model, _)| !self.models.contains_key(*model))
            .map_or(0.0, |(model, _)| size(model));
        let adapter = engine
            .models
            .values()
            .map(|model| model.adapter_mb)
            .fold(0.0, f64::max);
        engine.weight_memory_mb - held - loading - adapter * engine.adapter_slots as f64
    }

    /// Returns the time of a load, and whether it counts as a load from the weight store.
    pub(super) fn load_time(
        &self,
        name: &name::Name,
        model: &relay::Model,
    ) -> (time::Duration, bool) {
        if self.in_memory.contains(name) {
            (model.memory_load_time, false)
        } else if self.on_disk.contains(name) {
            (model.disk_load_time, false)
        } else {
            (model.store_load_time, true)
        }
    }
}
