use std::collections;

use super::expectation;
use super::load;
use crate::clock;
use crate::name;

/// The age up to which what the coordinator says of other hosts is used.
const MAX_VIEW_AGE_MS: f64 = 1_500.0;
/// The fraction of the work of other hosts that counts however old a view is. They go on sending, so their work does not run out.
const OTHERS_FLOOR: f64 = 0.5;

/// The events of an attempt that have arrived.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The identifier of the first one; those of the others follow.
    pub first: u64,
    /// The identifier of the last one.
    pub last: u64,
    /// When the last one arrived.
    pub arrived: clock::Instant,
}

impl Progress {
    /// Returns the number of events.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.last.saturating_sub(self.first).saturating_add(1)
    }
}

/// An attempt in progress.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When it was sent.
    pub sent: clock::Instant,
    /// What was expected of it then.
    pub expected: expectation::Expectation,
    /// The tokens of its prompt.
    pub prompt_tokens: f64,
    /// The events that have arrived; none before the first one.
    pub progress: Option<Progress>,
    /// Whether its response is a stream.
    pub is_stream: bool,
}

impl Attempt {
    /// Returns what is left of it.
    fn remaining(&self, now: clock::Instant) -> load::Load {
        let elapsed_ms = millis(now, self.sent);
        let expected = &self.expected;
        let Some(progress) = self.progress else {
            let read_at = expected.wait_ms + expected.prompt_ms;
            let prompt_ms = (read_at - elapsed_ms).clamp(0.0, expected.prompt_ms);
            return load::Load {
                prompt_ms,
                work_ms: prompt_ms + expected.events.max(1.0) * expected.event_ms,
                requests: 1.0,
            };
        };
        // A stream that is longer than expected goes on for about the spread.
        let left =
            (expected.events - progress.events() as f64).max((expected.spread / 2.0).max(1.0));
        let since_last = (millis(now, progress.arrived) / expected.event_ms.max(1.0)).min(1.0);
        load::Load {
            prompt_ms: 0.0,
            work_ms: (left - since_last / 2.0) * expected.event_ms,
            requests: 1.0,
        }
    }
}

/// What the coordinator says of the other hosts' work at an upstream.
#[derive(Clone, Copy, Debug)]
struct Others {
    received: clock::Instant,
    load: load::Load,
}

/// An attempt in progress, by request and number of the attempt.
type Entry = ((u64, u32), Attempt);

/// The remaining work of each upstream: the attempts of this host, and the work of other hosts.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    own: collections::HashMap<name::Name, Vec<Entry>>,
    others: collections::HashMap<name::Name, Others>,
    /// When this host last sent a request, by upstream.
    last_sent: collections::HashMap<name::Name, clock::Instant>,
}

impl Ledger {
    /// Adds the attempt `id`, which names a request and its attempt.
    pub fn add(&mut self, upstream: &name::Name, id: (u64, u32), attempt: Attempt) {
        self.last_sent.insert(upstream.clone(), attempt.sent);
        let attempts = self.own.entry(upstream.clone()).or_default();
        attempts.push((id, attempt));
    }

    /// Returns an attempt in progress; none if it is not known.
    pub fn get_mut(&mut self, upstream: &name::Name, id: (u64, u32)) -> Option<&mut Attempt> {
        let attempts = self.own.get_mut(upstream)?;
        let found = attempts.iter_mut().find(|(known, _)| *known == id);
        found.map(|(_, attempt)| attempt)
    }

    /// Removes an attempt that has ended, and returns it.
    pub fn remove(&mut self, upstream: &name::Name, id: (u64, u32)) -> Option<Attempt> {
        let attempts = self.own.get_mut(upstream)?;
        let index = attempts.iter().position(|(known, _)| *known == id)?;
        let (_, attempt) = attempts.swap_remove(index);
        if attempts.is_empty() {
            self.own.remove(upstream);
        }
        Some(attempt)
    }

    /// Records what the other hosts still have at an upstream, as of now.
    pub fn record_others(&mut self, now: clock::Instant, upstream: &name::Name, load: load::Load) {
        let received = now;
        let others = Others { received, load };
        self.others.insert(upstream.clone(), others);
    }

    /// Removes what is known of upstreams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&name::Name) -> bool) {
        self.others.retain(|upstream, _| keep(upstream));
        self.last_sent.retain(|upstream, _| keep(upstream));
    }

    /// Returns when this host last sent a request to an upstream; the origin of time if it has sent none.
    #[must_use]
    pub fn last_sent(&self, upstream: &name::Name) -> clock::Instant {
        self.last_sent.get(upstream).copied().unwrap_or_default()
    }

    /// Returns the remaining work of this host at an upstream.
    #[must_use]
    pub fn own(&self, now: clock::Instant, upstream: &name::Name) -> load::Load {
        let attempts = self.own.get(upstream).into_iter().flatten();
        let loads = attempts.map(|(_, attempt)| attempt.remaining(now));
        loads.fold(load::Load::default(), |sum, load| sum + load)
    }

    /// Returns the remaining work of this host by upstream.
    pub fn own_loads(
        &self,
        now: clock::Instant,
    ) -> impl Iterator<Item = (&name::Name, load::Load)> {
        let upstreams = self.own.keys();
        upstreams.map(move |upstream| (upstream, self.own(now, upstream)))
    }

    /// Returns the remaining work of an upstream at which other hosts have `other_requests` requests. Without a view of their work,
    /// each of these requests counts as much as one of this host there, or as `typical_ms` if it has none.
    #[must_use]
    pub fn load(
        &self,
        now: clock::Instant,
        upstream: &name::Name,
        other_requests: u32,
        typical_ms: f64,
    ) -> load::Load {
        let own = self.own(now, upstream);
        let requests = f64::from(other_requests);
        let known = self.others.get(upstream).and_then(|others| {
            let age_ms = millis(now, others.received);
            (age_ms < MAX_VIEW_AGE_MS).then(|| others.load.after(age_ms, OTHERS_FLOOR))
        });
        // Hosts that do not report their work still report their requests.
        let others = match known.filter(|load| load.work_ms > 0.0 || other_requests == 0) {
            Some(load) => load::Load { requests, ..load },
            None => {
                let each_ms = if own.requests > 0.0 {
                    own.work_ms / own.requests
                } else {
                    typical_ms
                };
                load::Load {
                    prompt_ms: 0.0,
                    work_ms: requests * each_ms,
                    requests,
                }
            }
        };
        own + others
    }
}

/// Returns the milliseconds since `earlier`.
fn millis(now: clock::Instant, earlier: clock::Instant) -> f64 {
    now.since(earlier).as_secs_f64() * 1_000.0
}
