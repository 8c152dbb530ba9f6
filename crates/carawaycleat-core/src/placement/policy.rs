use super::baseline;
use super::inputs;
use super::plan;
use super::planner;
use crate::clock;

/// How the plans of a group are made.
#[derive(Clone, Copy, Debug)]
pub enum Policy {
    /// By a [`Planner`](super::Planner) with these rules.
    Planner(planner::Options),
    /// By [`Fixed`](super::Fixed); a baseline.
    Fixed,
    /// By [`LeastRecentlyUsed`](super::LeastRecentlyUsed); a baseline.
    LeastRecentlyUsed,
}

impl Default for Policy {
    fn default() -> Self {
        Self::Planner(planner::Options::default())
    }
}

impl Policy {
    /// Returns a decider that has made no plan yet.
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

/// What makes the plans of one group.
#[derive(Clone, Debug)]
pub enum Strategy {
    /// The planner.
    Planner(planner::Planner),
    /// The fixed placement.
    Fixed(baseline::Fixed),
    /// The placement by least recent use.
    LeastRecentlyUsed(baseline::LeastRecentlyUsed),
}

impl Strategy {
    /// Returns the plan for `inputs`, or none when the plan in force stays.
    pub fn plan(&mut self, now: clock::Instant, inputs: &inputs::Inputs<'_>) -> Option<plan::Plan> {
        match self {
            Self::Planner(planner) => planner.plan(now, inputs),
            Self::Fixed(fixed) => fixed.plan(now, inputs),
            Self::LeastRecentlyUsed(recent) => recent.plan(now, inputs),
        }
    }
}
