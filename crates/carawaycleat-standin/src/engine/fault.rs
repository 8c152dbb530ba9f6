/// The faults of the engine that are switched on.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether requests are accepted and no tokens are produced, while the state looks healthy.
    pub silent: bool,
    /// Whether HTTP calls are accepted and never answered.
    pub hang: bool,
    /// The tokens after which an answer ends early with a clean end.
    pub short_after: Option<u32>,
    /// Whether a request gets another's answer, with the other's id.
    pub crossed: bool,
    /// The factor on the time of a step.
    pub slowdown: f64,
    /// The time from the acceptance of an order until it lands, in milliseconds.
    pub order_delay_ms: u64,
    /// The number of next orders that are accepted and lost.
    pub lose_orders: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            silent: false,
            hang: false,
            short_after: None,
            crossed: false,
            slowdown: 1.0,
            order_delay_ms: 0,
            lose_orders: 0,
        }
    }
}
