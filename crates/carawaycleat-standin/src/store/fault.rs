/// The faults of the store that are switched on.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The time before a call takes effect, in milliseconds.
    pub latency_ms: u64,
    /// The time between a call's effect and its answer, in milliseconds.
    pub answer_delay_ms: u64,
    /// Whether calls are accepted and never answered, and watches stay open without a message.
    pub hang: bool,
    /// Whether calls are answered with 503 and watches are cut.
    pub down: bool,
    /// The number of next writes that take effect and whose answer is lost.
    pub lose_answers: u32,
    /// The probability that a write takes effect and its answer is lost.
    pub lose_probability: f64,
    /// The seed of the probability.
    pub seed: u64,
    /// The writes a second beyond which a call is refused; 0 for no limit.
    pub writes_per_second: u32,
    /// The reads a second beyond which a call is refused, a waiting watch counting as one; 0 for no limit.
    pub reads_per_second: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            latency_ms: 0,
            answer_delay_ms: 0,
            hang: false,
            down: false,
            lose_answers: 0,
            lose_probability: 0.0,
            seed: 1,
            writes_per_second: 0,
            reads_per_second: 0,
        }
    }
}
