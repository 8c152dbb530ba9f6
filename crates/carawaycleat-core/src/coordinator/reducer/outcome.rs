//! Outcomes of orders to engines.

use std::time;

use crate::clock;
use crate::coordinator::effect;
use crate::coordinator::engine;
use crate::coordinator::event;
use crate::coordinator::order;
use crate::name;
use crate::timeline;

/// The number of consecutive conflicts after which an engine's state counts as unknown until its next status.
const MAX_CONFLICTS: u32 = 4;
/// The time without orders to an engine after it refused one.
const REFUSAL_BACKOFF: time::Duration = time::Duration::from_millis(1_000);

impl super::Reducer {
    /// Applies the outcome of an order.
    pub(super) fn resolve_order(
        &mut self,
        now: clock::Instant,
        id: &name::Name,
        number: u64,
        outcome: event::Outcome,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let adapter_index = engine
            .adapter_orders
            .iter()
            .position(|pending| pending.order.number == number);
        let order = match adapter_index {
            Some(index) => engine.adapter_orders[index].order.clone(),
            None => match &engine.model_order {
                Some(pending) if pending.order.number == number => pending.order.clone(),
                _ => return,
            },
        };
        let decision = timeline::Decision::new("order_settled")
            .with_subject(id.clone())
            .with("outcome", outcome.as_str())
            .with("operation", order.operation.as_str())
            .with("model", &order.model)
            .with_some("adapter", order.adapter.as_ref())
            .with("sequence", order.sequence);
        effects.push(effect::Effect::Record(decision));
        engine.last_order_at = now;
        if matches!(
            outcome,
            event::Outcome::Accepted | event::Outcome::Completed
        ) {
            engine.conflicts = 0;
        }
        match (outcome, adapter_index) {
            (event::Outcome::Unknown, Some(index)) => {
                engine.adapter_orders[index].delivery = engine::Delivery::Unknown;
                engine.adapter_orders[index].sent_at = now;
            }
            (event::Outcome::Unknown, None) => {
                if let Some(pending) = &mut engine.model_order {
                    pending.delivery = engine::Delivery::Unknown;
                    pending.sent_at = now;
                }
            }
            (event::Outcome::Accepted | event::Outcome::Completed, Some(index)) => {
                engine.adapter_orders.remove(index);
                engine.sequence = Some(order.sequence.saturating_add(1));
                if let Some(adapter) = order.adapter {
                    let key = (order.model, adapter);
                    match order.operation {
                        order::Operation::Load => {
                            engine.loading_adapters.insert(key, now);
                        }
                        order::Operation::Unload => {
                            engine.adapters.remove(&key);
                        }
                    }
                }
            }
            (event::Outcome::Accepted, None) => {
                engine.sequence = Some(order.sequence.saturating_add(1));
                engine.busy = true;
                if let Some(pending) = &mut engine.model_order {
                    pending.delivery = engine::Delivery::Accepted;
                }
            }
            (event::Outcome::Completed, None) => {
                engine.model_order = None;
                engine.sequence = None;
            }
            (event::Outcome::Conflict, index) => {
                if let Some(index) = index {
                    engine.adapter_orders.remove(index);
                    // Engines do not unload an adapter that a request uses, so it counts as just used and another one
                    // is tried next.
                    let key = order.adapter.map(|adapter| (order.model, adapter));
                    if let Some(used_at) = key.and_then(|key| engine.adapters.get_mut(&key)) {
                        *used_at = now;
                    }
                } else {
                    engine.model_order = None;
                }
                // In most cases another order is about to complete, so orders to the engine pause for a short time. A
                // repeat of an order that has taken effect is harmless, because its precondition no longer holds.
                engine.conflicts += 1;
                engine.blocked_until = now + self.options.conflict_backoff;
                if engine.conflicts >= MAX_CONFLICTS {
                    engine.conflicts = 0;
                    engine.sequence = None;
                    engine.replacement = None;
                }
            }
            (event::Outcome::Refused, index) => {
                if let Some(index) = index {
                    engine.adapter_orders.remove(index);
                } else {
                    engine.model_order = None;
                }
                engine.sequence = None;
                engine.blocked_until = now + REFUSAL_BACKOFF;
            }
        }
    }
}
