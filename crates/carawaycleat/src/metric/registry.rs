use std::sync;

use prometheus::core;

use crate::journal;

/// Creates metrics with a common prefix and registers them.
///
/// All names, labels and buckets are constants of this crate. An invalid one is a programming error and panics at
/// startup.
#[derive(Debug)]
pub(super) struct Registry {
    prefix: &'static str,
    inner: prometheus::Registry,
    names: sync::Mutex<Vec<String>>,
}

const VALID_DEFINITION: &str = "names, labels and buckets of metrics are valid and distinct";

impl Registry {
    pub(super) fn new(prefix: &'static str) -> Self {
        Self {
            prefix,
            inner: prometheus::Registry::new(),
            names: sync::Mutex::default(),
        }
    }

    pub(super) fn counter(&self, name: &str, help: &str) -> prometheus::IntCounter {
        self.register(prometheus::IntCounter::with_opts(self.options(name, help)))
    }

    pub(super) fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::IntCounterVec {
        self.register(prometheus::IntCounterVec::new(
            self.options(name, help),
            labels,
        ))
    }

    pub(super) fn gauge(&self, name: &str, help: &str) -> prometheus::IntGauge {
        self.register(prometheus::IntGauge::with_opts(self.options(name, help)))
    }

    pub(super) fn gauge_float(&self, name: &str, help: &str) -> prometheus::Gauge {
        self.register(prometheus::Gauge::with_opts(self.options(name, help)))
    }

    pub(super) fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::IntGaugeVec {
        self.register(prometheus::IntGaugeVec::new(
            self.options(name, help),
            labels,
        ))
    }

    pub(super) fn histogram(
        &self,
        name: &str,
        help: &str,
        buckets: &[f64],
    ) -> prometheus::Histogram {
        let options = prometheus::HistogramOpts::from(self.options(name, help));
        self.register(prometheus::Histogram::with_opts(
            options.buckets(buckets.to_vec()),
        ))
    }

    /// Returns the names of all metrics, also of those that have no series yet.
    pub(super) fn names(&self) -> Vec<String> {
        journal::lock(&self.names).clone()
    }

    /// Returns all metrics in the Prometheus text format.
    pub(super) fn render(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        encoder
            .encode_to_string(&self.inner.gather())
            .unwrap_or_default()
    }

    fn options(&self, name: &str, help: &str) -> prometheus::Opts {
        prometheus::Opts::new(format!("{}_{name}", self.prefix), help)
    }

    fn register<T: core::Collector + Clone + 'static>(&self, metric: prometheus::Result<T>) -> T {
        let metric = metric.expect(VALID_DEFINITION);
        let names = metric.desc().into_iter().map(|desc| desc.fq_name.clone());
        journal::lock(&self.names).extend(names);
        self.inner
            .register(Box::new(metric.clone()))
            .expect(VALID_DEFINITION);
        metric
    }
}
