use super::estimator;
use super::expectation;
use super::job;
use super::ledger;
use super::load;
use super::pace;
use crate::clock;
use crate::name;

/// The shortest time, as a part of the expected one, that a prompt counts as having taken. The time to the first event is known
/// exactly, but what waited before the prompt is estimated.
const MIN_PROMPT_PART: f64 = 0.3;

/// What one host has learned about the work of requests and upstreams.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// The lengths of responses.
    pub estimator: estimator::Estimator,
    /// The speed of upstreams.
    pub pace: pace::Pace,
    /// The remaining work of upstreams.
    pub ledger: ledger::Ledger,
}

impl Tracker {
    /// Returns the remaining work of an upstream at which other hosts have `other_requests` requests, and what a request costs there.
    /// As far as nothing is known of the other requests, they count as like this one.
    #[must_use]
    pub fn expect(
        &self,
        now: clock::Instant,
        job: &job::Job<'_>,
        upstream: &name::Name,
        other_requests: u32,
    ) -> (load::Load, expectation::Expectation) {
        let (token_ms, event_ms) = self.pace.get(now, &job.at(upstream));
        let mut expected = expectation::Expectation {
            wait_ms: 0.0,
            prompt_ms: job.prompt_tokens * token_ms,
            event_ms,
            events: job.events.events,
            spread: job.events.spread,
        };
        // On average, half of a request in progress is left.
        let typical_ms = expected.work_ms() / 2.0;
        let load = self.ledger.load(now, upstream, other_requests, typical_ms);
        expected.wait_ms = load.prompt_ms;
        (load, expected)
    }

    /// Records that events of an attempt have arrived, the last one with the identifier `last`. `was_blocked` means that its caller
    /// did not take the events before, so that the time since the last one does not tell how fast the upstream is.
    pub fn record_progress(
        &mut self,
        now: clock::Instant,
        job: &job::Key<'_>,
        id: (u64, u32),
        last: u64,
        was_blocked: bool,
    ) {
        let Some(attempt) = self.ledger.get_mut(job.upstream, id) else {
            return;
        };
        let previous = attempt.progress;
        if previous.is_some_and(|previous| last <= previous.last) {
            return;
        }
        attempt.progress = Some(ledger::Progress {
            first: previous.map_or(last, |previous| previous.first),
            last,
            arrived: now,
        });
        let pace = &mut self.pace;
        match previous {
            Some(previous) if !was_blocked => {
                let elapsed = now.since(previous.arrived);
                pace.record_events(now, job, last - previous.last, elapsed);
                (_, attempt.expected.event_ms) = pace.get(now, job);
            }
            Some(_) => {}
            None => {
                let expected = attempt.expected;
                let elapsed_ms = now.since(attempt.sent).as_secs_f64() * 1_000.0;
                let prompt_ms = elapsed_ms - expected.wait_ms - expected.event_ms;
                let prompt_ms = prompt_ms.max(expected.prompt_ms * MIN_PROMPT_PART);
                pace.record_prompt(now, job, attempt.prompt_tokens, prompt_ms);
            }
        }
    }

    /// Removes an attempt whose response is complete.
    pub fn record_answer(&mut self, now: clock::Instant, job: &job::Key<'_>, id: (u64, u32)) {
        let attempt = self.ledger.remove(job.upstream, id);
        if let Some(attempt) = attempt.filter(|attempt| !attempt.is_stream) {
            let elapsed = now.since(attempt.sent);
            self.pace.record_events(now, job, 1, elapsed);
        }
    }
}
