use super::baseline;
use super::inputs;
use super::plan;
use super::planner;
use crate::clock;

/// The method by which the plans of a group are computed.
#[derive(Clone, Copy, Debug)]
pub enum Policy {
    /// By a [`Planner`](super::Planner) with these options.
    Planner(planner::Options),
    /// By [`Fixed`](super::Fixed), a baseline for comparison.
    Fixed,
    /// By [`LeastRecentlyUsed`](super::LeastRecentlyUsed), a baseline for comparison.
    LeastRecentlyUsed,
}

impl Default for Policy {
    fn default() -> Self {
        Self::Planner(planner::Options::default())
    }
}

impl Policy {
    /// Returns the strategy in its initial state.
    pub fn strategy(self) -> Strategy {
        match self {
            Self::Planner(options) => Strategy::Planner(planner::Planner::new(options)),
            Self::Fixed => Strategy::Fixed(baseline::Fixed::default()),
            Self::LeastRecentlyUsed => {
                Strategy::LeastRecentlyUsed(baseline::LeastRecentlyUsed::default())
            }
        }
    }
}

/// The state of the computation of one group's plans.
#[derive(Clone, Debug)]
pub enum Strategy {
    /// The planner.
    Planner(planner::Planner),
    /// The fixed placement.
    Fixed(baseline::Fixed),
    /// The placement that evicts the least recently used item.
    LeastRecentlyUsed(baseline::LeastRecentlyUsed),
}

impl Strategy {
    /// Returns the plan for `inputs`, or none when it equals the plan in effect.
    pub fn plan(&mut self, now: clock::Instant, inputs: &inputs::Inputs<'_>) -> Option<plan::Plan> {
        match self {
            Self::Planner(planner) => planner.plan(now, inputs),
            Self::Fixed(fixed) => fixed.plan(now, inputs),
            Self::LeastRecentlyUsed(lru) => lru.plan(now, inputs),
        }
    }
}
