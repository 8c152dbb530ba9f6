use std::net;

use super::read;
use crate::document;

/// The key-value service that holds the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Store {
    /// The addresses of the service. When one fails, the next one is tried.
    pub endpoints: Vec<net::SocketAddr>,
    /// The response timeout, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            endpoints: vec![read::loopback(2379)],
            timeout_ms: 1_000,
        }
    }
}

/// Must stay below the freshness bound of 3 s: with a timeout that long, one slow response would count as an outage.
const MAX_TIMEOUT_MS: u64 = 2_500;

impl Store {
    pub(super) fn read(table: &document::Table<'_>) -> Self {
        let default = Self::default();
        let store = Self {
            endpoints: read::addresses(table, "endpoints", &default.endpoints),
            timeout_ms: table.integer("timeout_ms", 10..=MAX_TIMEOUT_MS, default.timeout_ms),
        };
        if store.endpoints.is_empty() && table.line_of("endpoints").is_some() {
            table.report("endpoints", "no valid address", "at least one address");
        }
        table.finish();
        store
    }
}
