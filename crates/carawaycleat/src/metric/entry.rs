use std::collections;
use std::sync;

use carawaycleat_core::name;
use carawaycleat_core::outcome;
use carawaycleat_core::resource;
use carawaycleat_net as net;

use super::registry;

/// The metrics of an entry host, named `carawaycleat_entry_...`.
///
/// # Examples
///
/// ```
/// use carawaycleat::metric;
/// use carawaycleat_core::outcome;
///
/// let metrics = metric::Entry::new();
/// metrics.count_refusal(outcome::Reason::RateLimited);
/// assert!(metrics.render().contains("carawaycleat_entry_refusals_total{reason=\"rate_limited\"} 1"));
/// ```
#[derive(Debug)]
pub struct Entry {
    registry: registry::Registry,
    requests: prometheus::IntCounterVec,
    refusals: prometheus::IntCounterVec,
    tokens: prometheus::IntCounterVec,
    workspaces: sync::RwLock<collections::BTreeSet<name::Name>>,
    queue: prometheus::IntGaugeVec,
    retries: prometheus::IntCounterVec,
    store_calls: prometheus::IntCounterVec,
    freshness: prometheus::IntGaugeVec,
    timeline_dropped: prometheus::IntCounter,
    /// The time from the arrival of a request to its first token.
    pub first_token: prometheus::Histogram,
    /// The time between two tokens of a stream.
    pub token_gap: prometheus::Histogram,
    /// The time from the arrival of a request until a sidecar has accepted it; only requests that waited neither
    /// for tokens of the rate nor for a slot at an upstream are measured.
    pub added_latency: prometheus::Histogram,
    /// The number of requests sent to an upstream whose response has not ended.
    pub in_flight: prometheus::IntGauge,
    /// The streams that ended with an error event.
    pub streams_cut: prometheus::IntCounter,
    /// The ejections of upstreams.
    pub ejections: prometheus::IntCounter,
    /// The time since the last confirmed contact with the store.
    pub store_contact_age: prometheus::Gauge,
    /// The applied configuration revision.
    pub configuration_revision: prometheus::IntGauge,
    /// The shards of rates that the host holds.
    pub shards_held: prometheus::IntGauge,
    /// The open connections of callers.
    pub connections: prometheus::IntGauge,
    connections_refused: prometheus::IntCounter,
    malformed_requests: prometheus::IntCounter,
    requests_over_limit: prometheus::IntCounter,
}

/// The label value for workspaces that are not, or no longer, configured, and for statuses outside of HTTP.
const OTHER: &str = "other";

/// The freshness states of an entry host.
const STATES: [&str; 4] = ["fresh", "asking", "outage", "isolated"];

/// Bucket bounds in seconds, finer around the targets of 0.5 s to the first token and 48 ms between tokens.
const TOKEN_SECONDS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.03, 0.048, 0.075, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 20.0,
];

/// Bucket bounds in seconds, finer around the targets of 0.2 ms (p50) and 1 ms (p99).
const LATENCY_SECONDS: [f64; 11] = [
    0.000_05, 0.000_1, 0.000_2, 0.000_3, 0.000_5, 0.000_75, 0.001, 0.002, 0.005, 0.02, 0.1,
];

impl Default for Entry {
    fn default() -> Self {
        Self::new()
    }
}

impl Entry {
    /// Creates the metrics in a new registry.
    pub fn new() -> Self {
        let registry = registry::Registry::new("carawaycleat_entry");
        let entry = Self {
            requests: registry.counters(
                "requests_total",
                "Answered requests by route target and HTTP status",
                &["target", "status"],
            ),
            refusals: registry.counters(
                "refusals_total",
                "Refused and failed requests by reason",
                &["reason"],
            ),
            tokens: registry.counters(
                "tokens_total",
                "Tokens of workspaces' rates by flow",
                &["workspace", "flow"],
            ),
            workspaces: sync::RwLock::default(),
            queue: registry.gauges("queue_requests", "Waiting requests by class", &["class"]),
            retries: registry.counters(
                "retries_total",
                "Decisions about another attempt after a failure",
                &["decision"],
            ),
            store_calls: registry.counters(
                "store_calls_total",
                "Calls to the key-value service by kind and result",
                &["kind", "result"],
            ),
            freshness: registry.gauges(
                "freshness_state",
                "1 for the present freshness state, else 0",
                &["state"],
            ),
            timeline_dropped: registry.counter(
                "timeline_dropped_events_total",
                "Timeline events dropped to make room",
            ),
            first_token: registry.histogram(
                "first_token_seconds",
                "Time from arrival to the first token",
                &TOKEN_SECONDS,
            ),
            token_gap: registry.histogram(
                "token_gap_seconds",
                "Time between two tokens of a stream",
                &TOKEN_SECONDS,
            ),
            added_latency: registry.histogram(
                "added_latency_seconds",
                "Time from arrival until a sidecar has accepted, of requests that did not wait",
                &LATENCY_SECONDS,
            ),
            in_flight: registry.gauge(
                "in_flight_requests",
                "Requests sent to an upstream and not yet answered",
            ),
            streams_cut: registry.counter(
                "streams_cut_total",
                "Streams that ended with an error event",
            ),
            ejections: registry.counter("ejections_total", "Ejections of upstreams"),
            store_contact_age: registry.gauge_float(
                "store_contact_age_seconds",
                "Time since the last confirmed store contact",
            ),
            configuration_revision: registry
                .gauge("configuration_revision", "Applied configuration revision"),
            shards_held: registry.gauge("shards_held", "Shards of rates that the host holds"),
            connections: registry.gauge("connections", "Open connections of callers"),
            connections_refused: registry.counter(
                "connections_refused_total",
                "Connections refused because too many were open",
            ),
            malformed_requests: registry.counter(
                "malformed_requests_total",
                "Requests that were malformed, too long or too slow",
            ),
            requests_over_limit: registry.counter(
                "requests_over_limit_total",
                "Requests refused because too many were in progress",
            ),
            registry,
        };
        entry.initialize();
        entry
    }

    /// Creates the series with fixed labels, so that rates computed from them include the first event.
    fn initialize(&self) {
        for reason in outcome::Reason::ALL {
            self.refusals.with_label_values(&[reason.as_str()]);
        }
        for decision in super::Decision::ALL {
            self.retries.with_label_values(&[decision.as_str()]);
        }
        for call in super::Call::ALL {
            for result in ["ok", "failed"] {
                self.store_calls.with_label_values(&[call.as_str(), result]);
            }
        }
        self.set_queue(0, 0, 0);
        for state in STATES {
            self.freshness.with_label_values(&[state]);
        }
    }

    /// Counts a request that received a response; `target` is none when no route matched.
    pub fn count_request(&self, target: Option<resource::Target>, status: u16) {
        let target = match target {
            Some(resource::Target::Models) => "models",
            Some(resource::Target::Service) => "service",
            None => "none",
        };
        // A service can send any number; those outside of the range of HTTP statuses share one series.
        let status = if (100..600).contains(&status) {
            status.to_string()
        } else {
            OTHER.to_owned()
        };
        self.requests.with_label_values(&[target, &status]).inc();
    }

    /// Counts a refused or failed request.
    pub fn count_refusal(&self, reason: outcome::Reason) {
        self.refusals.with_label_values(&[reason.as_str()]).inc();
    }

    /// Sets the configured workspaces and removes the series of workspaces that are no longer configured.
    pub fn set_workspaces<'a>(&self, names: impl IntoIterator<Item = &'a name::Name>) {
        let names: collections::BTreeSet<_> = names.into_iter().cloned().collect();
        let mut known = self
            .workspaces
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        for removed in known.difference(&names) {
            for flow in super::Flow::ALL {
                // The call fails if the workspace had no such series.
                let _ = self
                    .tokens
                    .remove_label_values(&[removed.as_str(), flow.as_str()]);
            }
        }
        *known = names;
    }

    /// Counts tokens of a workspace; a workspace that is not configured is counted as `other`.
    pub fn count_tokens(&self, workspace: &name::Name, flow: super::Flow, tokens: u64) {
        // The lock is held while counting, because otherwise a removed series could be created again.
        let known = self
            .workspaces
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let label = if known.contains(workspace) {
            workspace.as_str()
        } else {
            OTHER
        };
        self.tokens
            .with_label_values(&[label, flow.as_str()])
            .inc_by(tokens);
    }

    /// Sets the number of waiting requests of each class.
    pub fn set_queue(&self, live: usize, short: usize, batch: usize) {
        for (class, length) in [("live", live), ("short", short), ("batch", batch)] {
            let length = i64::try_from(length).unwrap_or(i64::MAX);
            self.queue.with_label_values(&[class]).set(length);
        }
    }

    /// Counts a decision about another attempt.
    pub fn count_retry(&self, decision: super::Decision) {
        self.retries.with_label_values(&[decision.as_str()]).inc();
    }

    /// Counts a call to the key-value service.
    pub fn count_store_call(&self, call: super::Call, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        self.store_calls
            .with_label_values(&[call.as_str(), result])
            .inc();
    }

    /// Sets the freshness state: `fresh`, `asking`, `outage` or `isolated`.
    pub fn set_freshness(&self, state: &str) {
        for each in STATES {
            self.freshness
                .with_label_values(&[each])
                .set(i64::from(each == state));
        }
    }

    /// Raises the number of dropped timeline events to `total`.
    pub fn set_timeline_dropped(&self, total: u64) {
        super::raise_to(&self.timeline_dropped, total);
    }

    /// Updates the metrics from the totals that the callers' server has counted since its start.
    pub fn set_server_counts(&self, counts: &net::Counts) {
        self.connections
            .set(i64::try_from(counts.open).unwrap_or(i64::MAX));
        super::raise_to(&self.connections_refused, counts.refused);
        super::raise_to(&self.malformed_requests, counts.malformed);
        super::raise_to(&self.requests_over_limit, counts.queue_full);
    }

    /// Returns the names of all metrics, also of those that have no series yet.
    pub fn names(&self) -> Vec<String> {
        self.registry.names()
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.registry.render()
    }
}
