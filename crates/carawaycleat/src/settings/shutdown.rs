use crate::document;

/// How a process stops after SIGTERM.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Shutdown {
    /// How long new requests are still accepted, in milliseconds; covers the lag of the load balancer.
    pub drain_delay_ms: u64,
    /// The longest time until the process ends, in milliseconds.
    pub drain_limit_ms: u64,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            drain_delay_ms: 5_000,
            drain_limit_ms: 120_000,
        }
    }
}

impl Shutdown {
    pub(super) fn read(table: &document::Table<'_>) -> Self {
        let default = Self::default();
        let shutdown = Self {
            drain_delay_ms: table.integer("drain_delay_ms", 0..=600_000, default.drain_delay_ms),
            drain_limit_ms: table.integer("drain_limit_ms", 1..=86_400_000, default.drain_limit_ms),
        };
        if shutdown.drain_delay_ms >= shutdown.drain_limit_ms {
            let key = table
                .line_of("drain_delay_ms")
                .map_or("drain_limit_ms", |_| "drain_delay_ms");
            let found = format!(
                "`shutdown.drain_delay_ms` = {} with `shutdown.drain_limit_ms` = {}",
                shutdown.drain_delay_ms, shutdown.drain_limit_ms
            );
            table.report(key, found, "a delay shorter than the limit");
        }
        table.finish();
        shutdown
    }
}
