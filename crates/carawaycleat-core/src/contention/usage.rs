use std::collections;
use std::time;

use crate::clock;
use crate::name;

/// The time over which amounts are added up before the averages follow them.
const STEP: time::Duration = time::Duration::from_millis(250);
/// The time constant of the recent rate. A surge lasts some seconds.
const RECENT_TIME_CONSTANT: time::Duration = time::Duration::from_secs(1);
/// The time constant of the usual rate.
const USUAL_TIME_CONSTANT: time::Duration = time::Duration::from_secs(30);
/// The time in which the usual rates are first learned.
const LEARNING_TIME: time::Duration = time::Duration::from_secs(4);
/// The multiple of the usual rate up to which use is usual. The usual rate follows larger amounts only up to here, so that a
/// surge does not become usual while it lasts.
const TOLERANCE: f64 = 1.5;
/// The time without use after which a workspace is forgotten.
const RETENTION: time::Duration = time::Duration::from_secs(300);

/// The delay of a workspace's requests in the order for each time that its recent use contains what it may use.
const OVERUSE_DELAY: time::Duration = time::Duration::from_secs(1);
/// The longest delay, which leaves requests with long objectives time to be answered.
const MAX_OVERUSE_DELAY: time::Duration = time::Duration::from_secs(3);
/// Delays are multiples of this, so that small changes leave the order as it is.
const DELAY_STEP: time::Duration = time::Duration::from_millis(50);

/// Returns the delay in the order for a workspace that uses `factor` times as much as it may.
pub(crate) fn delay(factor: f64) -> time::Duration {
    let excess = (factor - 1.0).clamp(0.0, MAX_OVERUSE_DELAY.as_secs_f64());
    let steps = (OVERUSE_DELAY.as_secs_f64() * excess / DELAY_STEP.as_secs_f64()).floor();
    DELAY_STEP.mul_f64(steps).min(MAX_OVERUSE_DELAY)
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// The tokens since the last step.
    pending: u64,
    /// The tokens per second of late.
    recent: f64,
    /// The tokens per second that are usual.
    usual: f64,
    last_used: clock::Instant,
}

/// The recent and the usual use of workspaces, in tokens per second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Usage {
    entries: collections::BTreeMap<name::Name, Entry>,
    stepped_at: Option<clock::Instant>,
    learned_for: time::Duration,
}

impl Usage {
    /// Records that requests of a workspace with `tokens` arrived.
    pub(crate) fn record(&mut self, now: clock::Instant, workspace: &name::Name, tokens: u64) {
        self.advance(now);
        let entry = match self.entries.get_mut(workspace) {
            Some(entry) => entry,
            None => self.entries.entry(workspace.clone()).or_default(),
        };
        entry.pending = entry.pending.saturating_add(tokens);
        entry.last_used = now;
    }

    /// Returns the workspaces that use more than they may, each with the ratio: what is usual for them with a tolerance, or
    /// the mean of all workspaces in use if that is more. None before the usual rates are learned.
    pub(crate) fn overuse(&mut self, now: clock::Instant) -> Option<Vec<(name::Name, f64)>> {
        self.advance(now);
        if self.learned_for < LEARNING_TIME {
            return None;
        }
        let used = self.entries.values().filter(|entry| entry.recent > 0.0);
        let (count, sum) = used.fold((0.0, 0.0), |(count, sum), entry| {
            (count + 1.0, sum + entry.recent)
        });
        let fair = sum / f64::max(count, 1.0);
        let factor = |entry: &Entry| entry.recent / (entry.usual * TOLERANCE).max(fair).max(1.0);
        let factors = self
            .entries
            .iter()
            .map(|(workspace, entry)| (workspace, factor(entry)));
        let overusing = factors.filter(|(_, factor)| *factor > 1.0);
        Some(
            overusing
                .map(|(workspace, factor)| (workspace.clone(), factor))
                .collect(),
        )
    }

    /// Lets the averages follow what was added up.
    fn advance(&mut self, now: clock::Instant) {
        let stepped_at = *self.stepped_at.get_or_insert(now);
        let span = now.since(stepped_at);
        if span < STEP {
            return;
        }
        self.stepped_at = Some(now);
        let seconds = span.as_secs_f64();
        let weight = |constant: time::Duration| 1.0 - (-seconds / constant.as_secs_f64()).exp();
        let (recent, usual) = (weight(RECENT_TIME_CONSTANT), weight(USUAL_TIME_CONSTANT));
        let is_learning = self.learned_for < LEARNING_TIME;
        let learned = self.learned_for.as_secs_f64();
        let mean_usual = self.mean_usual();
        for entry in self.entries.values_mut() {
            let rate = std::mem::take(&mut entry.pending) as f64 / seconds;
            entry.recent += (rate - entry.recent) * recent;
            if is_learning {
                entry.usual += (rate - entry.usual) * seconds / (learned + seconds);
            } else {
                // A workspace without a usual rate may come to use as much as others do.
                let sample = rate.min((entry.usual * TOLERANCE).max(mean_usual));
                entry.usual += (sample - entry.usual) * usual;
            }
        }
        if is_learning {
            self.learned_for += span;
        }
        self.entries
            .retain(|_, entry| now.since(entry.last_used) < RETENTION);
    }

    fn mean_usual(&self) -> f64 {
        let sum: f64 = self.entries.values().map(|entry| entry.usual).sum();
        sum / self.entries.len().max(1) as f64
    }
}
