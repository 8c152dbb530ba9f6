use std::time;

/// The rules of a [`Table`](super::Table) as plain values.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// How a candidate is chosen.
    pub strategy: super::Strategy,
    /// The age at which the last report no longer shows that the upstream is there.
    pub max_report_age: time::Duration,
    /// The greatest part of a model's candidates that may be ejected, in percent; one always remains below 100.
    pub max_ejected_percent: usize,
    /// The duration of the first ejection; each further one without an answer between lasts twice as long.
    pub base_ejection: time::Duration,
    /// The longest ejection.
    pub max_ejection: time::Duration,
    /// The shortest time to the first token that counts as a stall.
    pub first_token_floor: time::Duration,
    /// The shortest gap between tokens that counts as a stall.
    pub gap_floor: time::Duration,
    /// The most prefixes that are remembered of one upstream.
    pub max_prefixes: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            strategy: super::Strategy::Cost,
            // Two reports of 500 ms each and one check of 250 ms.
            max_report_age: time::Duration::from_millis(1_250),
            max_ejected_percent: 50,
            base_ejection: time::Duration::from_secs(1),
            max_ejection: time::Duration::from_secs(60),
            first_token_floor: time::Duration::from_secs(2),
            gap_floor: time::Duration::from_secs(1),
            max_prefixes: 4_096,
        }
    }
}
