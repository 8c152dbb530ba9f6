use std::time;

/// The rules of a [`Table`](super::Table) as plain values.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// How a candidate is chosen.
    pub choice: super::Choice,
    /// The age at which the last report no longer shows that the upstream is there.
    pub report_age: time::Duration,
    /// The greatest part of a model's candidates that may be ejected, in percent; one always remains below 100.
    pub ejected_percent: usize,
    /// The duration of the first ejection; each further one without an answer between lasts twice as long.
    pub first_ejection: time::Duration,
    /// The longest ejection.
    pub longest_ejection: time::Duration,
    /// The shortest time to the first token that counts as a stall.
    pub first_token_floor: time::Duration,
    /// The shortest gap between tokens that counts as a stall.
    pub gap_floor: time::Duration,
    /// The most prefixes that are remembered of one upstream.
    pub prefixes: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            choice: super::Choice::Cost,
            // Two reports of 500 ms each and one check of 250 ms.
            report_age: time::Duration::from_millis(1_250),
            ejected_percent: 50,
            first_ejection: time::Duration::from_secs(1),
            longest_ejection: time::Duration::from_secs(60),
            first_token_floor: time::Duration::from_secs(2),
            gap_floor: time::Duration::from_secs(1),
            prefixes: 4_096,
        }
    }
}
