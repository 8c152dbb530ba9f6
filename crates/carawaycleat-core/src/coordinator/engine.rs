use std::collections;
use std::time;

use super::event;
use super::order;
use crate::clock;
use crate::name;
use crate::relay;

/// The maximum number of adapters that an engine loads at the same time.
pub(super) const MAX_LOADING_ADAPTERS: usize = 4;
/// The time after which an adapter whose load was accepted counts as loaded. Loads take 5 to 10 ms.
const ADAPTER_LOAD_TIME: time::Duration = time::Duration::from_millis(15);

/// A model and an adapter for it.
type Adapter = (name::Name, name::Name);

/// A model that an engine holds.
#[derive(Clone, Debug)]
pub(super) struct Replica {
    /// When the engine was first known to hold it.
    pub(super) loaded_at: clock::Instant,
}

/// An order that is not known to be complete.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) order: order::Order,
    /// When the order was last sent, or got no response.
    pub(super) sent_at: clock::Instant,
    /// When its effect is expected.
    pub(super) ready_at: clock::Instant,
    pub(super) delivery: Delivery,
}

/// What is known of the delivery of a pending order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Delivery {
    /// The order was sent and has no outcome yet.
    Sent,
    /// The engine carries the order out.
    Accepted,
    /// There was no response. The order is sent again under the same precondition.
    Unknown,
}

/// The coordinator's view of an engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub(super) registration: relay::Registration,
    pub(super) models: collections::BTreeMap<name::Name, Replica>,
    /// The adapters, and when each arrived or was last found in use.
    pub(super) adapters: collections::BTreeMap<Adapter, clock::Instant>,
    /// The adapters that are being loaded, and when each load was accepted or first reported.
    pub(super) loading_adapters: collections::BTreeMap<Adapter, clock::Instant>,
    /// The pending order about a model.
    pub(super) model_order: Option<Pending>,
    /// The model to load next, into the memory that the last order about a model frees.
    pub(super) replacement: Option<name::Name>,
    /// The number of consecutive orders that met another state than expected.
    pub(super) conflicts: u32,
    /// The orders about adapters that have no known outcome yet.
    pub(super) adapter_orders: Vec<Pending>,
    /// The number of orders that the engine has accepted; none when it is not known.
    pub(super) sequence: Option<u64>,
    pub(super) in_memory: Vec<name::Name>,
    pub(super) on_disk: Vec<name::Name>,
    /// The requests that run or wait in the engine's queue.
    pub(super) requests: u32,
    /// Whether the engine is carrying out an order.
    pub(super) busy: bool,
    /// When an order was last sent, resolved or found complete.
    pub(super) last_order_at: clock::Instant,
    /// When a probe was last sent.
    pub(super) probed_at: clock::Instant,
    /// When a status was last received.
    pub(super) status_at: Option<clock::Instant>,
    /// Until when no order is sent because one was refused or met another state than expected.
    pub(super) blocked_until: clock::Instant,
}

impl Engine {
    pub(super) fn new(now: clock::Instant, registration: relay::Registration) -> Self {
        let mut engine = Self {
            models: collections::BTreeMap::new(),
            adapters: collections::BTreeMap::new(),
            loading_adapters: collections::BTreeMap::new(),
            model_order: None,
            replacement: None,
            conflicts: 0,
            adapter_orders: Vec::new(),
            sequence: None,
            in_memory: registration.in_memory.clone(),
            on_disk: registration.on_disk.clone(),
            requests: 0,
            busy: false,
            last_order_at: clock::Instant::default(),
            probed_at: clock::Instant::default(),
            status_at: None,
            blocked_until: clock::Instant::default(),
            registration,
        };
        let registration = engine.registration.clone();
        engine.set_models(
            now,
            registration.models.iter().map(|(m, a)| (m, a.as_slice())),
        );
        engine
    }

    /// Replaces the models and adapters by those that the engine reports, and keeps the times of those already known.
    fn set_models<'a>(
        &mut self,
        now: clock::Instant,
        models: impl Iterator<Item = (&'a name::Name, &'a [name::Name])>,
    ) {
        let known_models = std::mem::take(&mut self.models);
        let known_adapters = std::mem::take(&mut self.adapters);
        for (model, adapters) in models {
            let loaded_at = known_models
                .get(model)
                .map_or(now, |replica| replica.loaded_at);
            self.models.insert(model.clone(), Replica { loaded_at });
            for adapter in adapters {
                let key = (model.clone(), adapter.clone());
                let used_at = known_adapters.get(&key).copied().unwrap_or(now);
                self.adapters.insert(key, used_at);
            }
        }
    }

    /// Applies a newer registration. Registrations lag behind the engine's state, so a recent status takes precedence.
    pub(super) fn update(&mut self, now: clock::Instant, registration: relay::Registration) {
        if registration.started > self.registration.started {
            *self = Self::new(now, registration);
            return;
        }
        let has_recent_status = self
            .status_at
            .is_some_and(|at| now.since(at) < time::Duration::from_secs(2));
        if let Some(pending) = &self.model_order {
            let order = &pending.order;
            let order_sequence = order.sequence;
            let holds = registration.models.contains_key(&order.model);
            let done = (order.operation == order::Operation::Load) == holds;
            if done {
                // Engines write their registration when an order about a model is complete.
                if holds {
                    let replica = Replica { loaded_at: now };
                    self.models.insert(order.model.clone(), replica);
                } else {
                    let model = order.model.clone();
                    self.models.remove(&model);
                    self.adapters.retain(|(name, _), _| *name != model);
                }
                self.sequence = Some(order_sequence.saturating_add(1));
                self.busy = false;
                self.model_order = None;
                self.last_order_at = now;
            }
        }
        self.registration = registration.following(&self.registration);
        if !has_recent_status && self.model_order.is_none() {
            let registration = self.registration.clone();
            self.set_models(
                now,
                registration.models.iter().map(|(m, a)| (m, a.as_slice())),
            );
            self.in_memory = registration.in_memory;
            self.on_disk = registration.on_disk;
        }
    }

    /// Applies a status. One that arrives within `lag` of the last order may be older than it, so everything that the
    /// order may have changed is ignored.
    pub(super) fn record_status(
        &mut self,
        now: clock::Instant,
        status: event::Status,
        lag: time::Duration,
    ) {
        self.status_at = Some(now);
        self.requests = status.running.saturating_add(status.queued);
        if let Some(in_memory) = status.in_memory {
            self.in_memory = in_memory;
        }
        if let Some(on_disk) = status.on_disk {
            self.on_disk = on_disk;
        }
        if now.since(self.last_order_at) < lag {
            return;
        }
        self.busy = status.busy;
        self.sequence = Some(status.sequence);
        self.set_models(now, status.models.iter().map(|(m, a)| (m, a.as_slice())));
        let loading: collections::BTreeSet<_> = status.loading_adapters.into_iter().collect();
        self.loading_adapters.retain(|key, _| loading.contains(key));
        for key in loading {
            self.loading_adapters.entry(key).or_insert(now);
        }
        if !self.busy
            && self
                .model_order
                .as_ref()
                .is_some_and(|pending| pending.delivery == Delivery::Accepted)
        {
            self.model_order = None;
        }
        if let Some(pending) = &self.model_order
            && pending.delivery == Delivery::Unknown
            && status.sequence > pending.order.sequence
        {
            // The engine has accepted the order or a later one. A copy that arrives late has no effect, because its
            // precondition no longer holds.
            self.model_order = None;
        }
        let sequence = status.sequence;
        self.adapter_orders
            .retain(|pending| sequence <= pending.order.sequence);
    }

    /// Counts adapters as loaded once the time of their load has passed.
    pub(super) fn complete_adapter_loads(&mut self, now: clock::Instant) {
        let loaded: Vec<_> = self
            .loading_adapters
            .iter()
            .filter(|(_, since)| now.since(**since) >= ADAPTER_LOAD_TIME)
            .map(|(key, _)| key.clone())
            .collect();
        for key in loaded {
            self.loading_adapters.remove(&key);
            if self.models.contains_key(&key.0) {
                self.adapters.insert(key, now);
            }
        }
    }

    /// Returns whether an order may be sent. Engines carry out one order at a time, and also refuse orders about
    /// adapters while a model is being loaded or unloaded.
    pub(super) fn accepts_orders(&self, now: clock::Instant) -> bool {
        self.registration.state == relay::State::Ready
            && self.model_order.is_none()
            && !self.busy
            && self.adapter_orders.is_empty()
            && self.sequence.is_some()
            && now >= self.blocked_until
    }

    /// Returns the number of slots: that of its registration, or that of `spec` when the registration has none.
    pub(super) fn slots(&self, spec: &relay::EngineSpec) -> u32 {
        match self.registration.slots {
            0 => spec.slots,
            slots => slots,
        }
    }

    /// Returns whether it takes requests and holds the model and adapter that those of `demand` need.
    pub(super) fn can_run(&self, demand: &relay::Demand) -> bool {
        let holds = |adapter: &name::Name| {
            let key = (demand.model.clone(), adapter.clone());
            self.adapters.contains_key(&key)
        };
        self.registration.service == demand.service
            && self.registration.state == relay::State::Ready
            && self.models.contains_key(&demand.model)
            && self.unloading() != Some(&demand.model)
            && demand.adapter.as_ref().is_none_or(holds)
    }

    /// Returns the model that is being loaded and when it is expected to be ready.
    pub(super) fn loading(&self) -> Option<(&name::Name, clock::Instant)> {
        let pending = self.model_order.as_ref()?;
        (pending.order.operation == order::Operation::Load)
            .then_some((&pending.order.model, pending.ready_at))
    }

    /// Returns the model that is being unloaded.
    pub(super) fn unloading(&self) -> Option<&name::Name> {
        let pending = self.model_order.as_ref()?;
        (pending.order.operation == order::Operation::Unload).then_some(&pending.order.model)
    }

    /// Returns the models that it serves, loads, or will load after the current unload.
    pub(super) fn served_models(&self) -> impl Iterator<Item = &name::Name> {
        let held = self
            .models
            .keys()
            .filter(|model| self.unloading() != Some(*model));
        let next = self.loading().map(|(model, _)| model);
        let next = next.or(self.replacement.as_ref());
        held.chain(next.filter(|model| !self.models.contains_key(*model)))
    }

    /// Returns the weight memory in megabytes that no model, held or loading, and no adapter slot uses.
    pub(super) fn free_mb(&self, spec: &relay::EngineSpec) -> f64 {
        let size = |model: &name::Name| spec.models.get(model).map_or(0.0, |m| m.weights_mb);
        let held: f64 = self.models.keys().map(size).sum();
        let loading = self
            .loading()
            .filter(|(model, _)| !self.models.contains_key(*model))
            .map_or(0.0, |(model, _)| size(model));
        let adapter = spec
            .models
            .values()
            .map(|model| model.adapter_mb)
            .fold(0.0, f64::max);
        spec.weight_memory_mb - held - loading - adapter * spec.adapter_slots as f64
    }

    /// Returns the expected time of a load, and whether it is a load from the weight store.
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
