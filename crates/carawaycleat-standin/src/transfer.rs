use std::time;

use carawaycleat_core::clock;

/// Transfers that share a source: up to `limit` run at full speed, and beyond it all are slower in proportion.
#[derive(Clone, Debug)]
pub(crate) struct Queue<K> {
    limit: usize,
    // The seconds of work that each transfer has left at full speed.
    items: Vec<(K, f64)>,
    updated: clock::Instant,
}

// Below a microsecond, the resolution of the clock, a transfer counts as done.
const DONE_SECONDS: f64 = 1e-6;

impl<K> Queue<K> {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            items: Vec::new(),
            updated: clock::Instant::default(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    pub(crate) fn clear(&mut self) {
        self.items.clear();
    }

    #[expect(clippy::cast_precision_loss, reason = "transfers are few")]
    fn speed(&self) -> f64 {
        (self.limit as f64 / self.items.len().max(1) as f64).min(1.0)
    }

    /// Adds a transfer that takes `work` at full speed. Call [`Queue::advance`] with the same `now` before.
    pub(crate) fn start(&mut self, now: clock::Instant, key: K, work: time::Duration) {
        if self.items.is_empty() {
            self.updated = now;
        }
        self.items.push((key, work.as_secs_f64()));
    }

    /// Returns when the next transfer is done if no other starts.
    pub(crate) fn next(&self) -> Option<clock::Instant> {
        let left = self.items.iter().map(|(_, left)| *left).reduce(f64::min)?;
        // Rounded up, so that the transfer is done at the instant returned.
        let micros = (left / self.speed() * 1e6).ceil().max(0.0);
        Some(self.updated + time::Duration::from_secs_f64(micros / 1e6))
    }

    /// Moves the time on, and returns the transfers that are done at `now`, in the order of their ends.
    pub(crate) fn advance(&mut self, now: clock::Instant) -> Vec<K> {
        let mut done = Vec::new();
        while let Some(next) = self.next().filter(|next| *next <= now) {
            self.run_to(next);
            let mut index = 0;
            while index < self.items.len() {
                if self.items[index].1 <= DONE_SECONDS {
                    done.push(self.items.remove(index).0);
                } else {
                    index += 1;
                }
            }
        }
        self.run_to(now);
        done
    }

    fn run_to(&mut self, instant: clock::Instant) {
        let work = instant.since(self.updated).as_secs_f64() * self.speed();
        for (_, left) in &mut self.items {
            *left -= work;
        }
        self.updated = self.updated.max(instant);
    }
}
