use std::time;

use carawaycleat_core::clock;

use super::fault;
use super::options;
use super::request;
use super::text;

/// The identifier of an accepted request within one engine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub(super) u64);

/// What the engine produced for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// One token.
    Token {
        /// The id of the request that the text belongs to.
        id: String,
        /// The position in the whole answer, from 0.
        position: u32,
        /// The text.
        text: String,
    },
    /// The answer is complete.
    End,
    /// The engine stopped early, with a clean end of the stream but without a finish reason.
    Short,
    /// The engine lost the request, by a restart or a cancellation.
    Aborted,
}

#[derive(Clone, Debug)]
struct Sequence {
    ticket: Ticket,
    request: request::Request,
    seed: u64,
    position: u32,
    uncached: usize,
}

/// The requests that run and wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Batch {
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    step_ends: Option<clock::Instant>,
    peak: usize,
}

impl Batch {
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn peak(&self) -> usize {
        self.peak
    }

    /// Returns whether a request for the model, or the adapter, runs or waits.
    pub(super) fn uses(&self, model: &str, adapter: Option<&str>) -> bool {
        let mut sequences = self.running.iter().chain(&self.waiting);
        sequences.any(|s| {
            s.request.model == model
                && adapter.is_none_or(|a| s.request.adapter.as_deref() == Some(a))
        })
    }

    /// Queues a request behind those of its priority.
    pub(super) fn push(&mut self, ticket: Ticket, request: request::Request, uncached: usize) {
        let seed = text::seed(&request.model, request.adapter.as_deref(), &request.prompt);
        let priority = request.priority;
        let at = self
            .waiting
            .partition_point(|s| s.request.priority <= priority);
        let sequence = Sequence {
            ticket,
            position: request.resume_at,
            request,
            seed,
            uncached,
        };
        self.waiting.insert(at, sequence);
    }

    /// Takes a request out by the id that its caller gave.
    pub(super) fn cancel(&mut self, id: &str) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        for list in [&mut self.running, &mut self.waiting] {
            list.retain(|s| {
                let keep = s.request.id != id;
                if !keep {
                    tickets.push(s.ticket);
                }
                keep
            });
        }
        tickets
    }

    pub(super) fn cancel_ticket(&mut self, ticket: Ticket) -> bool {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|s| s.ticket != ticket);
        self.waiting.retain(|s| s.ticket != ticket);
        before > self.running.len() + self.waiting.len()
    }

    /// Drops all requests, and returns them.
    pub(super) fn clear(&mut self) -> Vec<Ticket> {
        self.step_ends = None;
        let all = self.running.drain(..).chain(self.waiting.drain(..));
        all.map(|s| s.ticket).collect()
    }

    /// Returns when the present step ends.
    pub(super) fn next(&self, faults: &fault::Faults) -> Option<clock::Instant> {
        self.step_ends.filter(|_| !faults.silent)
    }

    /// Starts a step at `now` if none runs and there are requests.
    pub(super) fn start_step(
        &mut self,
        now: clock::Instant,
        options: &options::Options,
        faults: &fault::Faults,
    ) {
        if self.step_ends.is_some() {
            return;
        }
        let room = options.max_batch.saturating_sub(self.running.len());
        let admitted = self.waiting.drain(..room.min(self.waiting.len()));
        self.running.extend(admitted);
        self.peak = self.peak.max(self.running.len());
        if self.running.is_empty() {
            return;
        }
        let prefill = self
            .running
            .iter_mut()
            .map(|s| std::mem::take(&mut s.uncached));
        let prefill = u32::try_from(prefill.sum::<usize>()).unwrap_or(u32::MAX);
        let requests = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let time = options.step_base
            + options.step_per_request.saturating_mul(requests)
            + options.prefill_per_token.saturating_mul(prefill);
        let time = time.mul_f64(faults.slowdown.max(0.0));
        // A step of no time would keep one call of `advance` from returning.
        self.step_ends = Some(now + time.max(time::Duration::from_micros(1)));
    }

    /// Ends the present step, and returns what it produced.
    pub(super) fn end_step(&mut self, faults: &fault::Faults) -> Vec<(Ticket, Output)> {
        self.step_ends = None;
        let sources: Vec<_> = (0..self.running.len())
            .map(|i| self.source(i, faults))
            .collect();
        let mut outputs = Vec::new();
        for (sequence, (id, seed)) in self.running.iter_mut().zip(sources) {
            let produced = sequence.position - sequence.request.resume_at;
            let ends_early = faults.short_after.is_some_and(|after| produced >= after);
            if sequence.position < sequence.request.max_tokens && !ends_early {
                outputs.push((
                    sequence.ticket,
                    Output::Token {
                        id,
                        position: sequence.position,
                        text: text::token(seed, sequence.position),
                    },
                ));
                sequence.position += 1;
            }
            if ends_early || sequence.position >= sequence.request.max_tokens {
                let is_whole = sequence.position >= sequence.request.max_tokens;
                let end = if is_whole { Output::End } else { Output::Short };
                sequence.position = u32::MAX;
                outputs.push((sequence.ticket, end));
            }
        }
        self.running.retain(|s| s.position != u32::MAX);
        outputs
    }

    /// Returns the id and seed that the tokens of a running request come from.
    fn source(&self, index: usize, faults: &fault::Faults) -> (String, u64) {
        let own = &self.running[index];
        if !faults.crossed {
            return (own.request.id.clone(), own.seed);
        }
        let next = &self.running[(index + 1) % self.running.len()];
        if next.ticket == own.ticket {
            // Alone in the batch, the request gets the answer to a request that has ended.
            return (format!("{}-other", own.request.id), !own.seed);
        }
        (next.request.id.clone(), next.seed)
    }
}
