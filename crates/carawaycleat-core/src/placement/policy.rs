use super::baseline;
use super::inputs;
use super::plan;
use super::planner;
use crate::clock;

/// How the plans of a group are made.
#[derive(Clone, Copy, Debug)]
pub enum Policy {
    /// By a [`Planner`](super::Planner) with these rules.
    Planner(planner::Settings),
    /// By [`Fixed`](super::Fixed); a baseline.
    Fixed,
    /// By [`LeastRecentlyUsed`](super::LeastRecentlyUsed); a baseline.
    LeastRecentlyUsed,
}

impl Default for Policy {
    fn default() -> Self {
        Self::Planner(planner::Settings::default())
    }
}

impl Policy {
    /// Returns a decider that has made no plan yet.
    pub fn decider(self) -> Decider {
        match self {
            Self::Planner(settings) => Decider::Planner(planner::Planner::new(settings)),
            Self::Fixed => Decider::Fixed(baseline::Fixed::default()),
            Self::LeastRecentlyUsed => {
                Decider::LeastRecentlyUsed(baseline::LeastRecentlyUsed::default())
            }
        }
    }
}

/// What makes the plans of one group.
#[derive(Clone, Debug)]
pub enum Decider {
    /// The planner.
    Planner(planner::Planner),
    /// The fixed placement.
    Fixed(baseline::Fixed),
    /// The placement by least recent use.
    LeastRecentlyUsed(baseline::LeastRecentlyUsed),
}

impl Decider {
    /// Returns the plan for `inputs`, or none when the plan in force stays.
    pub fn plan(&mut self, now: clock::Instant, inputs: &inputs::Inputs<'_>) -> Option<plan::Plan> {
        match self {
            Self::Planner(planner) => planner.plan(now, inputs),
            Self::Fixed(fixed) => fixed.plan(now, inputs),
            Self::LeastRecentlyUsed(recent) => recent.plan(now, inputs),
        }
    }
}
