use std::collections;
use std::time;

use super::crash;
use super::suspect;
use crate::clock;
use crate::name;

/// The number of crashes that a part must explain to be quarantined, and a request whose response had not begun at each
/// of them. One or two may be chance: the request was in progress when the upstream crashed for another reason.
const MIN_CRASHES: usize = 3;
/// The number of crashes right after the beginning of its response for which a request is quarantined.
const MIN_CRASHES_AT_BEGINNING: usize = 2;
/// The time for which a crash is remembered, and for which a cause is quarantined after the last crash that it explains.
const CRASH_LIFETIME: time::Duration = time::Duration::from_secs(600);
/// The time for which progress of a request shows that neither it nor the parts of its prompt caused a crash. A crash
/// that another host observed is received after some delay.
const PROGRESS_LIFETIME: time::Duration = time::Duration::from_secs(2);
/// The maximum number of crashes that are remembered; beyond it, the oldest is dropped.
const MAX_CRASHES: usize = 256;

/// A remembered crash.
#[derive(Clone, Debug)]
struct Record {
    at: clock::Instant,
    crash: crash::Crash,
    /// Whether the crash is certain. A suspected one can be withdrawn.
    is_confirmed: bool,
}

impl Record {
    /// Returns each part that may have caused the crash, with its position in a prompt.
    fn parts(&self) -> impl Iterator<Item = (&name::Name, usize)> {
        let suspects = self.crash.suspects.iter();
        suspects.flat_map(|suspect| suspect.parts.iter().zip(1..))
    }

    fn has_part(&self, part: &name::Name) -> bool {
        self.parts().any(|(suspect, _)| suspect == part)
    }

    fn has_request(&self, fingerprint: &name::Name) -> bool {
        let mut suspects = self.crash.suspects.iter();
        suspects.any(|suspect| suspect.fingerprint == *fingerprint)
    }

    /// Returns the first of these requests that may have caused the crash.
    fn find_request<'a>(&'a self, fingerprints: &Causes) -> Option<&'a name::Name> {
        let mut suspects = self.crash.suspects.iter().map(|s| &s.fingerprint);
        suspects.find(|fingerprint| fingerprints.contains_key(*fingerprint))
    }
}

/// Causes of crashes, each with the end of its quarantine.
type Causes = collections::BTreeMap<name::Name, clock::Instant>;

/// The crashes of upstreams, and the requests and parts of prompts that are quarantined because of them.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::{clock, name, quarantine};
///
/// let name = |text: &str| name::Name::parse(text).expect("a valid name");
/// let mut registry = quarantine::Registry::default();
/// let now = clock::Instant::from_millis(5_000);
/// for upstream in ["one", "two"] {
///     registry.record_crash(now, quarantine::Crash {
///         upstream: name(upstream),
///         started: 1,
///         suspects: vec![quarantine::Suspect {
///             parts: vec![name("common")],
///             fingerprint: name("fatal"),
///             has_begun: true,
///         }],
///     });
/// }
/// let parts = [name("common")];
/// assert!(registry.quarantined_until(now, &parts, &name("fatal")).is_some());
/// assert!(registry.quarantined_until(now, &parts, &name("other")).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// The remembered crashes, the oldest first.
    records: collections::VecDeque<Record>,
    /// When a request, by its fingerprint or a part of its prompt, last made progress; entries older than
    /// [`PROGRESS_LIFETIME`] are dropped.
    progress: collections::HashMap<name::Name, clock::Instant>,
    last_cleanup: clock::Instant,
    /// The quarantined requests, by fingerprint.
    requests: Causes,
    /// The quarantined parts of prompts.
    parts: Causes,
}

impl Registry {
    /// Records a crash and returns the fingerprints and parts that are quarantined because of it. Observations of the
    /// same crash by several hosts count as one crash.
    pub fn record_crash(&mut self, now: clock::Instant, crash: crash::Crash) -> Vec<name::Name> {
        self.add(now, crash, true)
    }

    /// Records a crash that is not certain, because the upstream is silent. It counts like a certain one until
    /// [`Self::withdraw_crash`] is called. Returns the fingerprints and parts that are quarantined because of it.
    pub fn suspect_crash(&mut self, now: clock::Instant, crash: crash::Crash) -> Vec<name::Name> {
        self.add(now, crash, false)
    }

    /// Removes a crash that was only suspected, and returns the fingerprints and parts that are no longer quarantined.
    pub fn withdraw_crash(
        &mut self,
        now: clock::Instant,
        upstream: &name::Name,
        started: u64,
    ) -> Vec<name::Name> {
        let is_same =
            |record: &Record| record.crash.upstream == *upstream && record.crash.started == started;
        let mut released = self.causes();
        self.records
            .retain(|record| record.is_confirmed || !is_same(record));
        self.infer(now);
        let after = self.causes();
        released.retain(|cause| !after.contains(cause));
        released.into_iter().collect()
    }

    fn add(
        &mut self,
        now: clock::Instant,
        crash: crash::Crash,
        is_confirmed: bool,
    ) -> Vec<name::Name> {
        let is_same = |record: &&mut Record| {
            record.crash.upstream == crash.upstream && record.crash.started == crash.started
        };
        let suspects = self.without_harmless(now, crash.suspects);
        match self.records.iter_mut().find(is_same) {
            Some(record) => {
                record.is_confirmed |= is_confirmed;
                for suspect in suspects {
                    if !record.crash.suspects.contains(&suspect) {
                        record.crash.suspects.push(suspect);
                    }
                }
            }
            None => {
                if self.records.len() >= MAX_CRASHES {
                    self.records.pop_front();
                }
                self.records.push_back(Record {
                    at: now,
                    crash: crash::Crash { suspects, ..crash },
                    is_confirmed,
                });
            }
        }
        let before = self.causes();
        self.infer(now);
        let mut added = self.causes();
        added.retain(|cause| !before.contains(cause));
        added.into_iter().collect()
    }

    /// Records that a request has made progress, which shows that neither it nor a part of its prompt crashes upstreams.
    /// Returns the fingerprints and parts that are no longer quarantined.
    pub fn record_progress(
        &mut self,
        now: clock::Instant,
        parts: &[name::Name],
        fingerprint: &name::Name,
    ) -> Vec<name::Name> {
        if now.since(self.last_cleanup) > PROGRESS_LIFETIME {
            self.last_cleanup = now;
            self.progress
                .retain(|_, at| now.since(*at) <= PROGRESS_LIFETIME);
        }
        for cause in parts.iter().chain([fingerprint]) {
            self.progress.insert(cause.clone(), now);
        }
        let mut was_suspect = false;
        for record in &mut self.records {
            if record.has_request(fingerprint) || parts.iter().any(|part| record.has_part(part)) {
                was_suspect = true;
                let suspects = &mut record.crash.suspects;
                suspects.retain(|suspect| suspect.fingerprint != *fingerprint);
                for suspect in suspects {
                    suspect.parts.retain(|part| !parts.contains(part));
                }
            }
        }
        if !was_suspect {
            return Vec::new();
        }
        let mut released = self.causes();
        self.infer(now);
        let after = self.causes();
        released.retain(|cause| !after.contains(cause));
        released.into_iter().collect()
    }

    /// Returns when the quarantine of a request with these parts and this fingerprint ends; none when it is not
    /// quarantined.
    #[must_use]
    pub fn quarantined_until(
        &self,
        now: clock::Instant,
        parts: &[name::Name],
        fingerprint: &name::Name,
    ) -> Option<clock::Instant> {
        let parts = parts.iter().filter_map(|part| self.parts.get(part));
        let ends = parts.chain(self.requests.get(fingerprint));
        ends.copied().filter(|end| now < *end).max()
    }

    /// Returns whether a request whose response broke off before its first event may have caused an earlier crash: it was
    /// in progress there, or its response had begun and a part of its prompt was in progress there, and no quarantined
    /// request explains that crash.
    #[must_use]
    pub fn is_suspect(&self, now: clock::Instant, suspect: &suspect::Suspect) -> bool {
        let is_recent = |record: &&Record| now.since(record.at) < CRASH_LIFETIME;
        let mut recent = self.records.iter().filter(is_recent);
        recent.any(|record| {
            let is_explained = record.find_request(&self.requests).is_some();
            let has_part = suspect.parts.iter().any(|part| record.has_part(part));
            record.has_request(&suspect.fingerprint)
                || suspect.has_begun && has_part && !is_explained
        })
    }

    /// Returns the suspects that have not made progress recently, without the parts of requests that have.
    #[must_use]
    pub fn without_harmless(
        &self,
        now: clock::Instant,
        mut suspects: Vec<suspect::Suspect>,
    ) -> Vec<suspect::Suspect> {
        let is_harmless = |cause: &name::Name| {
            let progress = self.progress.get(cause);
            progress.is_some_and(|at| now.since(*at) <= PROGRESS_LIFETIME)
        };
        suspects.retain(|suspect| !is_harmless(&suspect.fingerprint));
        for suspect in &mut suspects {
            suspect.parts.retain(|part| !is_harmless(part));
        }
        suspects
    }

    /// Returns the quarantined fingerprints and parts.
    fn causes(&self) -> collections::BTreeSet<name::Name> {
        let causes = self.requests.keys().chain(self.parts.keys());
        causes.cloned().collect()
    }

    fn infer(&mut self, now: clock::Instant) {
        while let Some(record) = self.records.front() {
            if now.since(record.at) < CRASH_LIFETIME {
                break;
            }
            self.records.pop_front();
        }
        self.infer_requests();
        self.infer_parts(now);
    }

    /// Determines the quarantined requests: those that were in progress at enough crashes.
    fn infer_requests(&mut self) {
        self.requests.clear();
        /// The crashes at which a request was in progress.
        #[derive(Default)]
        struct Count {
            all: usize,
            at_beginning: usize,
            last: clock::Instant,
        }
        let mut counts = collections::HashMap::<&name::Name, Count>::new();
        for record in &self.records {
            let mut seen = collections::HashMap::<&name::Name, bool>::new();
            for suspect in &record.crash.suspects {
                *seen.entry(&suspect.fingerprint).or_default() |= suspect.has_begun;
            }
            for (fingerprint, has_begun) in seen {
                let count = counts.entry(fingerprint).or_default();
                count.all += 1;
                count.at_beginning += usize::from(has_begun);
                count.last = count.last.max(record.at);
            }
        }
        for (fingerprint, count) in counts {
            if count.all >= MIN_CRASHES || count.at_beginning >= MIN_CRASHES_AT_BEGINNING {
                self.requests
                    .insert(fingerprint.clone(), count.last + CRASH_LIFETIME);
            }
        }
    }

    /// Determines the quarantined parts: the part that explains the most crashes, then the one that explains the most of
    /// the others, as long as it explains enough. All crashes that one quarantined request explains count as one, because
    /// that request alone may be the cause. Among equals the part furthest from the beginning of a prompt is taken,
    /// because fewer sound prompts share it.
    fn infer_parts(&mut self, now: clock::Instant) {
        self.parts.clear();
        let mut explained_requests = collections::HashSet::new();
        let mut unexplained = Vec::new();
        for record in &self.records {
            let request = record.find_request(&self.requests);
            if request.is_none_or(|request| explained_requests.insert(request)) {
                unexplained.push(record);
            }
        }
        loop {
            let mut counts = collections::HashMap::<&name::Name, (usize, usize)>::new();
            for record in &unexplained {
                let parts: collections::HashMap<_, _> = record.parts().collect();
                for (part, position) in parts {
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
            let explained = unexplained.iter().filter(|record| record.has_part(part));
            let last = explained.map(|record| record.at).max().unwrap_or(now);
            self.parts.insert(part.clone(), last + CRASH_LIFETIME);
            unexplained.retain(|record| !record.has_part(part));
        }
    }
}
