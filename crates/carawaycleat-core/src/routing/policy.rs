use std::time;

/// The parameters of a [`Table`](super::Table).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// How a candidate is selected.
    pub strategy: super::Strategy,
    /// The age from which the last report no longer shows that the upstream is available.
    pub max_report_age: time::Duration,
    /// The maximum percentage of a model's candidates that may be ejected; below 100 at least one always remains.
    pub max_ejected_percent: usize,
    /// The duration of the first ejection. It doubles with each further ejection until a request succeeds.
    pub base_ejection: time::Duration,
    /// The maximum duration of an ejection.
    pub max_ejection: time::Duration,
    /// The minimum timeout of the first token, after which a request counts as stalled.
    pub min_first_token_timeout: time::Duration,
    /// The minimum timeout of a gap between tokens, after which a request counts as stalled.
    pub min_gap_timeout: time::Duration,
    /// The maximum number of prefixes that are stored per upstream.
    pub max_prefixes: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            strategy: super::Strategy::Cost,
            // Two report intervals of 500 ms and one check interval of 250 ms.
            max_report_age: time::Duration::from_millis(1_250),
            max_ejected_percent: 50,
            base_ejection: time::Duration::from_secs(1),
            max_ejection: time::Duration::from_secs(60),
            min_first_token_timeout: time::Duration::from_secs(2),
            min_gap_timeout: time::Duration::from_secs(1),
            max_prefixes: 4_096,
        }
    }
}
