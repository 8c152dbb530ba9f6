use std::cmp;

use crate::clock;
use crate::placement;

/// Plans once, from the demand at the start, and never changes the plan: a baseline for comparison.
#[derive(Clone, Debug, Default)]
pub struct Fixed {
    is_planned: bool,
}

impl Fixed {
    /// Returns the plan on the first call, and none afterwards.
    pub fn plan(
        &mut self,
        now: clock::Instant,
        inputs: &placement::Inputs<'_>,
    ) -> Option<placement::Plan> {
        if self.is_planned {
            return None;
        }
        self.is_planned = true;
        let mut plan = placement::Plan::new(inputs.group.clone());
        let mut free: Vec<u64> = inputs.upstreams.iter().map(|u| u.memory_bytes).collect();
        for upstream in &inputs.upstreams {
            plan.upstreams.insert(upstream.name.clone(), Vec::new());
        }
        // Each iteration adds a replica of the item whose replicas would each serve the largest share. Items without a
        // replica come first, then models before adapters.
        let mut replicas = vec![0_usize; inputs.items.len()];
        let mut is_open = vec![true; inputs.items.len()];
        let rate = |i: usize| inputs.demand.rate(now, &(&inputs.items[i].id).into());
        let rates: Vec<_> = (0..inputs.items.len()).map(rate).collect();
        while let Some(item) = (0..inputs.items.len())
            .filter(|&i| is_open[i])
            .max_by(|&a, &b| {
                let is_missing = |i: usize| replicas[i] == 0;
                let share = |i: usize| rates[i] / (replicas[i] + 1) as f64;
                let is_model = |i: usize| inputs.items[i].id.adapter.is_none();
                let order = (is_missing(a), is_model(a)).cmp(&(is_missing(b), is_model(b)));
                order.then(share(a).total_cmp(&share(b))).then(b.cmp(&a))
            })
        {
            let candidate = &inputs.items[item];
            let fits = |&u: &usize| {
                let name = &inputs.upstreams[u].name;
                let has_base =
                    candidate.id.adapter.is_none() || plan.has(name, &candidate.id.base());
                free[u] >= candidate.bytes && has_base && !plan.has(name, &candidate.id)
            };
            let target = (0..free.len())
                .filter(fits)
                .max_by_key(|&u| (free[u], cmp::Reverse(u)));
            let Some(upstream) = target else {
                is_open[item] = false;
                continue;
            };
            free[upstream] -= candidate.bytes;
            replicas[item] += 1;
            let holdings = plan
                .upstreams
                .entry(inputs.upstreams[upstream].name.clone());
            holdings.or_default().push(candidate.clone());
        }
        Some(plan)
    }
}
