//! An engine as a queue with a rate.

use std::collections;

/// The time of a step and of each request in it, in milliseconds.
const STEP_MS: f64 = 5.0;
const REQUEST_MS: f64 = 0.08;
/// The prompt tokens that are read per millisecond, and in one step.
const PROMPT_RATE: f64 = 40.0;
const CHUNK: f64 = 2_048.0;
const TOKENS_PER_EVENT: u64 = 8;
pub(super) const SLOTS: usize = 24;

/// A request at an engine.
pub(super) struct Run {
    pub(super) host: usize,
    pub(super) id: u64,
    pub(super) attempt: u32,
    pub(super) prompt: f64,
    pub(super) events: u64,
    /// The cost per token of its model.
    pub(super) cost: f64,
    pub(super) tokens: u64,
}

/// An event that an engine sends: the host, the request, its attempt, the number of the event, and whether it is the last.
pub(super) type Sent = (usize, u64, u32, u64, bool);

pub(super) struct Engine {
    pub(super) speed: f64,
    pub(super) running: Vec<Run>,
    pub(super) queue: collections::VecDeque<Run>,
    step_end: f64,
}

impl Engine {
    pub(super) fn new(speed: f64) -> Self {
        Self {
            speed,
            running: Vec::new(),
            queue: collections::VecDeque::new(),
            step_end: 0.0,
        }
    }

    pub(super) fn count(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Does the steps that end by `now_ms`, each `slowness` times as long as usual.
    pub(super) fn advance(&mut self, now_ms: f64, slowness: f64) -> Vec<Sent> {
        let mut sent = Vec::new();
        while self.step_end <= now_ms {
            while self.running.len() < SLOTS
                && let Some(run) = self.queue.pop_front()
            {
                self.running.push(run);
            }
            if self.running.is_empty() {
                self.step_end = now_ms + 0.5;
                break;
            }
            let mut chunk = CHUNK;
            let mut duration = STEP_MS;
            for run in &mut self.running {
                let read = run.prompt.min(chunk);
                chunk -= read;
                let was_read = run.prompt <= 0.0;
                run.prompt -= read;
                duration += run.cost * (REQUEST_MS + read / PROMPT_RATE);
                if !was_read {
                    continue;
                }
                run.tokens += 1;
                if run.tokens.is_multiple_of(TOKENS_PER_EVENT) {
                    let number = run.tokens / TOKENS_PER_EVENT;
                    let is_last = number == run.events;
                    sent.push((run.host, run.id, run.attempt, number - 1, is_last));
                }
            }
            let is_done = |run: &Run| run.tokens >= run.events * TOKENS_PER_EVENT;
            self.running.retain(|run| !is_done(run));
            self.step_end = self.step_end.max(now_ms - 1.0) + duration * slowness / self.speed;
        }
        sent
    }
}
