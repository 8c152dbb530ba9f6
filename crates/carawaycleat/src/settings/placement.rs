use crate::document;

/// How models are placed on upstreams.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Placement {
    /// Whether the host takes part in the election of the placement leader, which decides where models run.
    pub enabled: bool,
    /// The maximum number of loads per second that the weight store serves.
    pub loads_per_second: f64,
    /// The maximum number of concurrent loads that the weight store serves at full speed.
    pub loads_in_flight: u32,
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            enabled: true,
            loads_per_second: 1.5,
            loads_in_flight: 7,
        }
    }
}

impl Placement {
    pub(super) fn read(table: &document::Table<'_>) -> Self {
        let default = Self::default();
        let in_flight = table.integer(
            "loads_in_flight",
            1..=10_000,
            u64::from(default.loads_in_flight),
        );
        let placement = Self {
            enabled: table.flag("enabled", default.enabled),
            loads_per_second: table.number(
                "loads_per_second",
                0.01..=10_000.0,
                default.loads_per_second,
            ),
            loads_in_flight: u32::try_from(in_flight).unwrap_or(default.loads_in_flight),
        };
        table.finish();
        placement
    }
}
