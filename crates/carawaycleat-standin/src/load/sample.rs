use std::time;

use super::plan;
use super::workspace;

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// With the whole answer.
    Whole,
    /// With an answer that is complete but belongs to another request or lacks text.
    Wrong,
    /// With an error event, a cut connection or no answer in time.
    Cut,
    /// With an error before any of the answer.
    Refused {
        /// The code.
        code: String,
        /// Whether the answer says that the request was not run.
        not_run: bool,
    },
}

impl Ending {
    /// Returns whether the request was refused for the rate of its workspace.
    pub fn is_over_rate(&self) -> bool {
        matches!(self, Self::Refused { code, .. } if code == "rate_limited" || code == "exceeds_burst")
    }
}

/// The course of one request. Times count from the start of the run.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The intended start.
    pub at: time::Duration,
    /// The index of the workspace in the plan.
    pub workspace: usize,
    /// The class.
    pub class: workspace::Class,
    /// The tokens reserved.
    pub reserved: u64,
    /// The tokens used.
    pub used: u64,
    /// When the head of the answer came.
    pub head: Option<time::Duration>,
    /// When the first token came.
    pub first: Option<time::Duration>,
    /// When the last token came.
    pub last: Option<time::Duration>,
    /// The number of tokens.
    pub tokens: u32,
    /// When the request ended.
    pub end: time::Duration,
    /// How it ended.
    pub ending: Ending,
}

// The targets of interactive work.
const LIVE_FIRST: time::Duration = time::Duration::from_millis(500);
const LIVE_GAP: time::Duration = time::Duration::from_millis(48);

impl Sample {
    /// Returns the time from the intended start to the first token.
    pub fn first_token(&self) -> Option<time::Duration> {
        Some(self.first?.saturating_sub(self.at))
    }

    /// Returns the mean time between two tokens.
    pub fn mean_gap(&self) -> Option<time::Duration> {
        let gaps = self.tokens.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some(self.last?.saturating_sub(self.first?) / gaps)
    }

    /// Returns whether the request got what its class promises.
    pub fn attains(&self, plan: &plan::Plan) -> bool {
        if self.ending != Ending::Whole {
            return false;
        }
        let whole = self.end.saturating_sub(self.at).as_secs_f64();
        match self.class {
            workspace::Class::Live => {
                self.first_token().is_some_and(|first| first <= LIVE_FIRST)
                    && self.mean_gap().is_none_or(|gap| gap <= LIVE_GAP)
            }
            workspace::Class::Short => whole <= plan.short_bound_s,
            workspace::Class::Batch => whole <= plan.batch_bound_s,
        }
    }
}
