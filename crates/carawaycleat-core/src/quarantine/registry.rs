use std::collections;
use std::time;

use super::crash;
use crate::clock;
use crate::name;

/// The number of crashes that a part must explain to be quarantined. One or two may be chance: a request with the part
/// had just begun when the upstream crashed for another reason.
const MIN_CRASHES: usize = 3;
/// The time for which a crash is remembered, and for which a part is quarantined after the last crash that it explains.
const CRASH_LIFETIME: time::Duration = time::Duration::from_secs(600);
/// The time for which progress of a request shows that the parts of its prompt did not cause a crash. A crash that
/// another host observed is received after some delay.
const PROGRESS_LIFETIME: time::Duration = time::Duration::from_secs(2);
/// The maximum number of crashes that are remembered; beyond it, the oldest is dropped.
const MAX_CRASHES: usize = 256;

/// A remembered crash.
#[derive(Clone, Debug)]
struct Record {
    at: clock::Instant,
    crash: crash::Crash,
}

impl Record {
    /// Returns each part that may have caused the crash, with its position in a prompt.
    fn suspects(&self) -> impl Iterator<Item = (&name::Name, usize)> {
        let prompts = self.crash.prompts.iter();
        prompts.flat_map(|parts| parts.iter().zip(1..))
    }

    fn has_suspect(&self, part: &name::Name) -> bool {
        self.suspects().any(|(suspect, _)| suspect == part)
    }
}

/// The crashes of upstreams and the parts of prompts that are quarantined because of them.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::{clock, name, quarantine};
///
/// let parts = |text: &str| -> Vec<_> {
///     text.split(',').map(|part| name::Name::parse(part).expect("a valid name")).collect()
/// };
/// let mut registry = quarantine::Registry::default();
/// let now = clock::Instant::from_millis(5_000);
/// registry.record_progress(now, &parts("common"));
/// for upstream in ["one", "two", "three"] {
///     registry.record_crash(now, quarantine::Crash {
///         upstream: name::Name::parse(upstream).expect("a valid name"),
///         started: 1,
///         prompts: vec![parts("common,fatal")],
///     });
/// }
/// assert!(registry.quarantined_until(now, &parts("common,fatal")).is_some());
/// assert!(registry.quarantined_until(now, &parts("common,other")).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// The remembered crashes, the oldest first.
    records: collections::VecDeque<Record>,
    /// When a request with a part last made progress; entries older than [`PROGRESS_LIFETIME`] are dropped.
    progress: collections::HashMap<name::Name, clock::Instant>,
    last_cleanup: clock::Instant,
    /// The quarantined parts, and until when.
    quarantined: collections::BTreeMap<name::Name, clock::Instant>,
}

impl Registry {
    /// Records a crash and returns the parts that are quarantined because of it. Observations of the same crash by
    /// several hosts count as one crash.
    pub fn record_crash(&mut self, now: clock::Instant, crash: crash::Crash) -> Vec<name::Name> {
        let is_same = |record: &&mut Record| {
            record.crash.upstream == crash.upstream && record.crash.started == crash.started
        };
        let prompts = self.without_harmless_parts(now, crash.prompts);
        match self.records.iter_mut().find(is_same) {
            Some(record) => {
                for prompt in prompts {
                    if !record.crash.prompts.contains(&prompt) {
                        record.crash.prompts.push(prompt);
                    }
                }
            }
            None => {
                if self.records.len() >= MAX_CRASHES {
                    self.records.pop_front();
                }
                self.records.push_back(Record {
                    at: now,
                    crash: crash::Crash { prompts, ..crash },
                });
            }
        }
        let before = std::mem::take(&mut self.quarantined);
        self.infer(now);
        let added = self.quarantined.keys();
        added
            .filter(|part| !before.contains_key(*part))
            .cloned()
            .collect()
    }

    /// Records that a request with these parts has made progress, which shows that none of them crashes upstreams.
    /// Returns the parts that are no longer quarantined.
    pub fn record_progress(
        &mut self,
        now: clock::Instant,
        parts: &[name::Name],
    ) -> Vec<name::Name> {
        if now.since(self.last_cleanup) > PROGRESS_LIFETIME {
            self.last_cleanup = now;
            self.progress
                .retain(|_, at| now.since(*at) <= PROGRESS_LIFETIME);
        }
        let mut was_suspect = false;
        for part in parts {
            self.progress.insert(part.clone(), now);
            for record in &mut self.records {
                if record.has_suspect(part) {
                    was_suspect = true;
                    for prompt in &mut record.crash.prompts {
                        prompt.retain(|suspect| suspect != part);
                    }
                }
            }
        }
        if !was_suspect {
            return Vec::new();
        }
        let before = std::mem::take(&mut self.quarantined);
        self.infer(now);
        let mut released: Vec<_> = before.into_keys().collect();
        released.retain(|part| !self.quarantined.contains_key(part));
        released
    }

    /// Returns when the quarantine of a prompt with these parts ends; none when no part is quarantined.
    #[must_use]
    pub fn quarantined_until(
        &self,
        now: clock::Instant,
        parts: &[name::Name],
    ) -> Option<clock::Instant> {
        let ends = parts.iter().filter_map(|part| self.quarantined.get(part));
        ends.copied().filter(|end| now < *end).max()
    }

    /// Returns the number of crashes that a prompt with these parts may have caused.
    #[must_use]
    pub fn crash_count(&self, now: clock::Instant, parts: &[name::Name]) -> usize {
        let is_recent = |record: &&Record| now.since(record.at) < CRASH_LIFETIME;
        let recent = self.records.iter().filter(is_recent);
        recent
            .filter(|record| parts.iter().any(|part| record.has_suspect(part)))
            .count()
    }

    /// Returns the prompts without the parts of requests that made progress recently. Prompts of which nothing is left
    /// are dropped.
    #[must_use]
    pub fn without_harmless_parts(
        &self,
        now: clock::Instant,
        mut prompts: Vec<Vec<name::Name>>,
    ) -> Vec<Vec<name::Name>> {
        let is_harmless = |part: &name::Name| {
            let progress = self.progress.get(part);
            progress.is_some_and(|at| now.since(*at) <= PROGRESS_LIFETIME)
        };
        for prompt in &mut prompts {
            prompt.retain(|part| !is_harmless(part));
        }
        prompts.retain(|prompt| !prompt.is_empty());
        prompts
    }

    /// Determines the quarantined parts: the part that explains the most crashes, then the one that explains the most of
    /// the others, as long as it explains enough. Among equals the one furthest from the beginning of a prompt is taken,
    /// because fewer sound prompts share it.
    fn infer(&mut self, now: clock::Instant) {
        while let Some(record) = self.records.front() {
            if now.since(record.at) < CRASH_LIFETIME {
                break;
            }
            self.records.pop_front();
        }
        self.quarantined.clear();
        let mut unexplained: Vec<_> = self.records.iter().collect();
        loop {
            let mut counts = collections::HashMap::<&name::Name, (usize, usize)>::new();
            for record in &unexplained {
                let suspects: collections::HashMap<_, _> = record.suspects().collect();
                for (part, position) in suspects {
                    let (count, furthest) = counts.entry(part).or_default();
                    *count += 1;
                    *furthest = position.max(*furthest);
                }
            }
            let best = counts.into_iter().map(|(part, rank)| (rank, part)).max();
            let Some(((count, _), part)) = best else {
                return;
            };
            if count < MIN_CRASHES {
                return;
            }
            let explained = unexplained.iter().filter(|record| record.has_suspect(part));
            let last = explained.map(|record| record.at).max().unwrap_or(now);
            self.quarantined.insert(part.clone(), last + CRASH_LIFETIME);
            unexplained.retain(|record| !record.has_suspect(part));
        }
    }
}
