use carawaycleat_core::memory;
use carawaycleat_core::outcome;

use super::registry;

/// The metrics of a sidecar, named `carawaycleat_side_...`.
///
/// # Examples
///
/// ```
/// use carawaycleat::metric;
///
/// let metrics = metric::Side::new();
/// metrics.jobs_accepted.inc();
/// assert!(metrics.render().contains("carawaycleat_side_jobs_accepted_total 1"));
/// ```
#[derive(Debug)]
pub struct Side {
    registry: registry::Registry,
    jobs_refused: prometheus::IntCounterVec,
    orders: prometheus::IntCounterVec,
    reports: prometheus::IntCounterVec,
    timeline_dropped: prometheus::IntCounter,
    /// The number of accepted jobs.
    pub jobs_accepted: prometheus::IntCounter,
    /// The number of running jobs.
    pub in_flight: prometheus::IntGauge,
    /// The memory of resident items and of orders that may still take effect, in bytes.
    pub memory_committed: prometheus::IntGauge,
    /// The memory of the accelerator, in bytes.
    pub memory_total: prometheus::IntGauge,
    /// Whether the engine or service responded to the last poll, 1 or 0.
    pub engine_reachable: prometheus::IntGauge,
}

/// The reasons for which a sidecar refuses a job.
const REASONS: [outcome::Reason; 6] = [
    outcome::Reason::ShuttingDown,
    outcome::Reason::UpstreamLeaving,
    outcome::Reason::QueueFull,
    outcome::Reason::DuplicateRequest,
    outcome::Reason::UpstreamFailed,
    outcome::Reason::InvalidRequest,
];

impl Default for Side {
    fn default() -> Self {
        Self::new()
    }
}

impl Side {
    /// Creates the metrics in a new registry.
    pub fn new() -> Self {
        let registry = registry::Registry::new("carawaycleat_side");
        let side = Self {
            jobs_refused: registry.counters(
                "jobs_refused_total",
                "Refused jobs by reason",
                &["reason"],
            ),
            orders: registry.counters(
                "orders_total",
                "Placement orders by kind and state",
                &["kind", "state"],
            ),
            reports: registry.counters(
                "reports_total",
                "Reports to entry hosts by result",
                &["result"],
            ),
            timeline_dropped: registry.counter(
                "timeline_dropped_events_total",
                "Timeline events dropped to make room",
            ),
            jobs_accepted: registry.counter("jobs_accepted_total", "Accepted jobs"),
            in_flight: registry.gauge("in_flight_requests", "Jobs that run"),
            memory_committed: registry.gauge(
                "memory_committed_bytes",
                "Memory of resident entries and unsettled orders",
            ),
            memory_total: registry.gauge("memory_total_bytes", "Memory of the accelerator"),
            engine_reachable: registry.gauge(
                "engine_reachable",
                "1 when the engine or service answered the last poll",
            ),
            registry,
        };
        for reason in REASONS {
            side.jobs_refused.with_label_values(&[reason.as_str()]);
        }
        for kind in memory::Change::KINDS {
            for state in memory::Transition::ALL {
                side.orders.with_label_values(&[kind, state.as_str()]);
            }
        }
        for result in ["ok", "failed"] {
            side.reports.with_label_values(&[result]);
        }
        side
    }

    /// Counts a refused job.
    pub fn count_refusal(&self, reason: outcome::Reason) {
        self.jobs_refused
            .with_label_values(&[reason.as_str()])
            .inc();
    }

    /// Counts a placement order; `kind` is `load`, `unload`, `load_adapter`, `unload_adapter` or `fence`.
    pub fn count_order(&self, kind: &'static str, state: super::Transition) {
        self.orders.with_label_values(&[kind, state.as_str()]).inc();
    }

    /// Counts a report to an entry host.
    pub fn count_report(&self, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        self.reports.with_label_values(&[result]).inc();
    }

    /// Raises the number of dropped timeline events to `total`.
    pub fn set_timeline_dropped(&self, total: u64) {
        super::raise_to(&self.timeline_dropped, total);
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
