use crate::document;

/// Limits on the resources that callers can use in a process.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Limits {
    /// The maximum size of a header section, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum number of connections from callers.
    pub connections: usize,
    /// The maximum number of requests that are running or queued.
    pub requests: usize,
    /// The idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
    /// The maximum number of queued requests per workspace.
    pub queue_requests: usize,
    /// The maximum size of the queued requests per workspace, in bytes.
    pub queue_bytes: usize,
}

/// `async-h1` decodes header sections shorter than 8 KiB; a larger limit would have no effect.
const MAX_HEADER_BYTES: usize = 8_191;

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: MAX_HEADER_BYTES,
            body_bytes: 1 << 20,
            connections: 4_096,
            requests: 2_048,
            idle_ms: 60_000,
            queue_requests: 256,
            queue_bytes: 16 << 20,
        }
    }
}

impl Limits {
    /// Reads the limits of an entry host.
    pub(super) fn read(table: &document::Table<'_>) -> Self {
        let default = Self::default();
        let limits = Self {
            queue_requests: table.size("queue_requests", 1..=100_000, default.queue_requests),
            queue_bytes: table.size("queue_bytes", 1_024..=1 << 30, default.queue_bytes),
            ..Self::read_common(table)
        };
        if limits.queue_bytes < limits.body_bytes {
            let key = table
                .line_of("queue_bytes")
                .map_or("body_bytes", |_| "queue_bytes");
            let found = format!(
                "`limits.queue_bytes` = {} with `limits.body_bytes` = {}",
                limits.queue_bytes, limits.body_bytes
            );
            table.report(key, found, "a queue that holds at least one body");
        }
        table.finish();
        limits
    }

    /// Reads the limits of a sidecar, which has no queue.
    pub(super) fn read_side(table: &document::Table<'_>) -> Self {
        let limits = Self::read_common(table);
        table.finish();
        limits
    }

    fn read_common(table: &document::Table<'_>) -> Self {
        let default = Self::default();
        let limits = Self {
            header_bytes: table.size(
                "header_bytes",
                1_024..=MAX_HEADER_BYTES as u64,
                default.header_bytes,
            ),
            body_bytes: table.size("body_bytes", 1_024..=1 << 28, default.body_bytes),
            connections: table.size("connections", 1..=1_000_000, default.connections),
            requests: table.size("requests", 1..=1_000_000, default.requests),
            idle_ms: table.integer("idle_ms", 100..=3_600_000, default.idle_ms),
            ..default
        };
        if limits.connections < limits.requests {
            let key = table
                .line_of("requests")
                .map_or("connections", |_| "requests");
            let found = format!(
                "`limits.requests` = {} with `limits.connections` = {}",
                limits.requests, limits.connections
            );
            // An HTTP/1.1 connection carries one request at a time, so further requests could never arrive.
            table.report(key, found, "at most as many requests as connections");
        }
        limits
    }
}
