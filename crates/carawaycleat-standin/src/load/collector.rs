use std::collections;
use std::time;

use super::arrival;
use super::caller;
use super::sample;

pub(super) type Histogram = hdrhistogram::Histogram<u64>;

/// The histograms of a workspace, in microseconds.
#[derive(Clone, Debug)]
pub(super) struct Times {
    pub(super) first: Histogram,
    pub(super) gap: Histogram,
}

impl Times {
    pub(super) fn new() -> Self {
        Self {
            first: histogram(),
            gap: histogram(),
        }
    }

    pub(super) fn add(&mut self, other: &Self) {
        // Equal bounds, so that no value is out of range.
        let _ = self.first.add(&other.first);
        let _ = self.gap.add(&other.gap);
    }
}

// Ten minutes; a request is given up earlier.
const MAX_MICROS: u64 = 600_000_000;

fn histogram() -> Histogram {
    // A fixed range, because `saturating_record` does not enlarge a histogram. Three digits are enough for percentiles.
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("a supported range")
}

/// A request to a service.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) id: String,
    /// Whether every copy was refused as not run.
    pub(super) not_run: bool,
}

/// What has ended so far.
#[derive(Debug)]
pub(super) struct Collector {
    pub(super) started: u64,
    pub(super) samples: Vec<sample::Sample>,
    pub(super) times: Vec<Times>,
    pub(super) lateness: Histogram,
    pub(super) sent: collections::BTreeMap<u64, Sent>,
    /// The endings of repetitions.
    pub(super) repeated: Vec<sample::Ending>,
}

impl Collector {
    pub(super) fn new(workspaces: usize) -> Self {
        Self {
            started: 0,
            samples: Vec::new(),
            times: vec![Times::new(); workspaces],
            lateness: histogram(),
            sent: collections::BTreeMap::new(),
            repeated: Vec::new(),
        }
    }

    /// Takes what was seen of a request, or of its repetition.
    pub(super) fn take(&mut self, arrival: &arrival::Arrival, seen: caller::Seen, repeats: bool) {
        if let Some(id) = seen.id {
            let is_not_run = matches!(
                seen.sample.ending,
                sample::Ending::Refused { not_run: true, .. }
            );
            let sent = self.sent.entry(arrival.number);
            let sent = sent.or_insert(Sent { id, not_run: true });
            sent.not_run &= is_not_run;
        }
        if repeats {
            self.repeated.push(seen.sample.ending);
            return;
        }
        let lateness = seen.started.saturating_sub(arrival.at);
        self.lateness.saturating_record(micros(lateness));
        let times = &mut self.times[arrival.workspace];
        if let Some(first) = seen.sample.first_token() {
            times.first.saturating_record(micros(first));
        }
        for gap in seen.gaps {
            times.gap.saturating_record(micros(gap));
        }
        self.samples.push(seen.sample);
    }
}

pub(super) fn micros(time: time::Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
