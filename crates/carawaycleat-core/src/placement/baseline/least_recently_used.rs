use crate::clock;
use crate::memory;
use crate::placement;

/// The time after its last request during which an item counts as requested.
const REQUESTED_SECONDS: u64 = 1;

/// Loads requested items and evicts the least recently requested ones to free memory: a baseline for comparison.
///
/// It does not wait for another replica before it evicts an item.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastRecentlyUsed {}

impl LeastRecentlyUsed {
    /// Returns the plan for `inputs`, or none when it equals the plan in effect.
    pub fn plan(
        &mut self,
        now: clock::Instant,
        inputs: &placement::Inputs<'_>,
    ) -> Option<placement::Plan> {
        let live = |u: &&placement::Upstream| u.state == placement::State::Live;
        let mut plan = placement::Plan::new(inputs.group.clone());
        for upstream in inputs.upstreams.iter().filter(live) {
            let previous = inputs.previous.and_then(|p| p.holdings(&upstream.name));
            let holdings = previous.map(<[memory::Item]>::to_vec).unwrap_or_default();
            plan.upstreams.insert(upstream.name.clone(), holdings);
        }
        let last_used = |item: &memory::Item| inputs.demand.last_observed(&(&item.id).into());
        let is_requested = |item: &&memory::Item| {
            last_used(item).is_some_and(|at| now.since(at).as_secs() < REQUESTED_SECONDS)
        };
        for item in inputs.items.iter().filter(is_requested) {
            let is_held = plan.upstreams.values().any(|held| held.contains(item));
            let base = item.id.base();
            let has_base = |held: &[memory::Item]| {
                item.id.adapter.is_none() || held.iter().any(|i| i.id == base)
            };
            // The target is the upstream that holds the least recently requested item.
            let oldest_use = |held: &[memory::Item]| held.iter().map(last_used).min().flatten();
            let target = inputs
                .upstreams
                .iter()
                .filter(live)
                .filter(|u| has_base(&plan.upstreams[&u.name]) && item.bytes <= u.memory_bytes)
                .min_by_key(|u| oldest_use(&plan.upstreams[&u.name]));
            let Some(target) = target.filter(|_| !is_held) else {
                continue;
            };
            let Some(held) = plan.upstreams.get_mut(&target.name) else {
                continue;
            };
            let total_bytes = |held: &[memory::Item]| held.iter().map(|i| i.bytes).sum::<u64>();
            while total_bytes(held) + item.bytes > target.memory_bytes {
                let victims = held.iter().filter(|i| i.id != base);
                let Some(victim) = victims.min_by_key(|i| last_used(i)).map(|i| i.id.clone())
                else {
                    break;
                };
                held.retain(|i| i.id != victim && !i.id.is_adapter_of(&victim));
            }
            if total_bytes(held) + item.bytes <= target.memory_bytes {
                held.push(item.clone());
            }
        }
        let is_same = |previous: &placement::Plan| previous.upstreams == plan.upstreams;
        (!inputs.previous.is_some_and(is_same)).then_some(plan)
    }
}
