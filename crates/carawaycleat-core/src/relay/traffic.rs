use std::time;

/// The remaining patience up to which a caller belongs to each class of [`Traffic::waiting`], in milliseconds; the last
/// class has no limit. The limits lie between the durations of loads from host memory, from disk and from the weight store.
pub(crate) const PATIENCE_LIMITS_MS: [u64; 4] = [700, 1_500, 3_000, 7_000];
/// The remaining patience up to which a request counts as much as its priority says. It covers a load from the weight
/// store, so that a patient request is served before its caller leaves.
const URGENT_PATIENCE: time::Duration = time::Duration::from_secs(8);
/// The lowest urgency of a patient request, relative to an impatient one of the same priority.
const MIN_PATIENT_URGENCY: f64 = 0.1;
/// The urgency of an impatient request of the most urgent priority.
pub(crate) const MAX_URGENCY: u32 = 100;

/// The requests for a model at one host since its last report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Traffic {
    /// The requests that arrived.
    pub arrivals: u32,
    /// The sum of the urgencies of the requests that arrived, each from 1 to 100.
    pub urgency: u64,
    /// The requests whose time at an upstream ended.
    pub completed: u32,
    /// The sum of the times of these requests at their upstreams, in milliseconds.
    pub slot_ms: u64,
    /// The waiting requests by the remaining patience of their callers: at most 0.7, 1.5, 3 and 7 s, and more. Each class
    /// has the number of requests and the sum of their urgencies. Empty when none wait.
    pub waiting: Vec<(u32, u64)>,
}

impl Traffic {
    /// Counts a request that has arrived.
    pub(super) fn record_arrival(&mut self, priority: u8, patience: time::Duration) {
        self.arrivals = self.arrivals.saturating_add(1);
        self.urgency = self.urgency.saturating_add(urgency(priority, patience));
    }

    /// Counts a request whose time at an upstream ended.
    pub(super) fn record_end(&mut self, slot_time: time::Duration) {
        let millis = u64::try_from(slot_time.as_millis()).unwrap_or(u64::MAX);
        self.completed = self.completed.saturating_add(1);
        self.slot_ms = self.slot_ms.saturating_add(millis);
    }

    /// Counts a waiting request.
    pub(super) fn record_waiting(&mut self, priority: u8, patience: time::Duration) {
        self.waiting.resize(PATIENCE_LIMITS_MS.len() + 1, (0, 0));
        let limits = PATIENCE_LIMITS_MS.iter();
        let class = limits
            .take_while(|limit| patience.as_millis() > u128::from(**limit))
            .count();
        let (requests, sum) = &mut self.waiting[class];
        *requests = requests.saturating_add(1);
        *sum = sum.saturating_add(urgency(priority, patience));
    }
}

/// Returns the urgency of a request, from 1 to [`MAX_URGENCY`].
fn urgency(priority: u8, patience: time::Duration) -> u64 {
    let seconds = patience.as_secs_f64().max(f64::MIN_POSITIVE);
    let impatience = (URGENT_PATIENCE.as_secs_f64() / seconds).clamp(MIN_PATIENT_URGENCY, 1.0);
    let urgency = f64::from(MAX_URGENCY) * impatience / (1.0 + f64::from(priority));
    urgency.round().max(1.0) as u64
}
