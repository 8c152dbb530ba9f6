use crate::document;

/// The delays of a graceful shutdown after SIGTERM.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Shutdown {
    /// The delay before draining starts, in milliseconds. During it an entry host still accepts requests, which covers
    /// the time until the load balancer stops sending, and a sidecar refuses new jobs.
    pub drain_delay_ms: u64,
    /// The maximum time from the signal until the process exits, in milliseconds.
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
