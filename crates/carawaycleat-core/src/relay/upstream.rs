use std::collections;
use std::time;

use super::registration;
use super::view;
use crate::clock;
use crate::name;

/// The time in which the memory of failures halves.
const FAILURE_HALF_LIFE: time::Duration = time::Duration::from_millis(2_500);
/// The weight of the newest observation in an average.
const NEWEST_WEIGHT: f64 = 0.15;
/// The first and longest time for which an unreachable upstream is avoided.
const FIRST_AVOIDANCE: time::Duration = time::Duration::from_millis(400);
const MAX_AVOIDANCE: time::Duration = time::Duration::from_millis(3_200);
/// The age up to which the coordinator's knowledge goes before an upstream's own entry.
const VIEW_AGE: time::Duration = time::Duration::from_millis(1_500);
/// How long a model that an upstream did not have counts as missing there against an older report.
const MISSING: time::Duration = time::Duration::from_millis(600);
/// The part of the requests in progress that an upstream without room keeps as its limit, and the growth of the limit
/// over as many answers as it has places.
const FULL_PART: f64 = 0.8;
const GROWTH: f64 = 2.0;
/// The time since the last byte of an answer within which this host's own view goes before that of others.
const DOUBT_PROGRESS: time::Duration = time::Duration::from_millis(400);
/// How long an upstream that was full gets no further request.
const FULL: time::Duration = time::Duration::from_millis(40);

/// What an entry host believes of an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What it has said of itself.
    pub registration: registration::Registration,
    /// When its entry was removed.
    pub(super) removed: Option<clock::Instant>,
    /// This host's requests in progress there.
    pub(super) running: u32,
    /// The requests of other hosts in progress there, as far as this host can tell.
    pub(super) others: u32,
    /// The further requests that the coordinator lets this host send there.
    room: u32,
    /// The requests that this host may have in progress there. It shrinks when the upstream had no room and grows with
    /// each answer, so that hosts which do not hear of each other still share an upstream.
    limit: f64,
    /// The last time that a byte of an answer arrived.
    pub(super) progress: clock::Instant,
    placed: Option<(clock::Instant, view::EngineView)>,
    failures: f64,
    failures_at: clock::Instant,
    latency: Option<f64>,
    avoided_until: clock::Instant,
    strikes: u32,
    /// The connections in a row that failed under a request.
    breaks: u32,
    full_until: clock::Instant,
    missing: Vec<(name::Name, Option<name::Name>, clock::Instant)>,
}

impl Upstream {
    /// Returns the belief about an upstream that has just been seen.
    #[must_use]
    pub fn new(registration: registration::Registration) -> Self {
        Self {
            limit: f64::from(registration.slots.max(1)),
            registration,
            removed: None,
            running: 0,
            others: 0,
            room: 0,
            progress: clock::Instant::default(),
            placed: None,
            failures: 0.0,
            failures_at: clock::Instant::default(),
            latency: None,
            avoided_until: clock::Instant::default(),
            strikes: 0,
            breaks: 0,
            full_until: clock::Instant::default(),
            missing: Vec::new(),
        }
    }

    /// Takes up a newer entry. A restarted upstream holds nothing of what was known.
    pub(super) fn update(&mut self, now: clock::Instant, registration: registration::Registration) {
        let restarted = registration.started > self.registration.started;
        if restarted {
            let running = self.running;
            *self = Self::new(registration);
            self.running = running;
            return;
        }
        if registration.models != self.registration.models {
            self.missing.clear();
            let is_old = |at: clock::Instant| now.since(at) > VIEW_AGE;
            if self.placed.as_ref().is_some_and(|(at, _)| is_old(*at)) {
                self.placed = None;
            }
        }
        self.registration = registration;
        self.removed = None;
    }

    /// Takes up what the coordinator knows of its weights.
    pub(super) fn place(&mut self, now: clock::Instant, placed: view::EngineView) {
        self.others = placed.other_requests;
        self.room = placed.reserved_slots;
        self.placed = Some((now, placed));
    }

    /// Returns whether it may get new work.
    pub(super) fn is_open(&self, now: clock::Instant, lapse: time::Duration) -> bool {
        let present = self
            .removed
            .is_none_or(|removed| now.since(removed) < lapse);
        present && self.registration.state == registration::State::Ready
    }

    /// Returns whether it holds what a request needs.
    pub(super) fn holds(
        &self,
        now: clock::Instant,
        model: &name::Name,
        adapter: Option<&name::Name>,
    ) -> bool {
        let missing = self.missing.iter().any(|(name, other, at)| {
            name == model && other.as_ref() == adapter && now.since(*at) < MISSING
        });
        !missing
            && self.holds_model(model)
            && adapter.is_none_or(|adapter| self.has(model, adapter))
    }

    pub(super) fn holds_model(&self, model: &name::Name) -> bool {
        match &self.placed {
            Some((_, placed)) => placed.models.contains(model) && !placed.unloading.contains(model),
            None => self.registration.models.contains_key(model),
        }
    }

    fn has(&self, model: &name::Name, adapter: &name::Name) -> bool {
        match &self.placed {
            Some((_, placed)) => placed
                .adapters
                .iter()
                .any(|(held, name)| held == model && name == adapter),
            None => self
                .registration
                .models
                .get(model)
                .is_some_and(|adapters| adapters.contains(adapter)),
        }
    }

    /// Notes that it did not have what a request needs.
    pub(super) fn lacks(
        &mut self,
        now: clock::Instant,
        model: &name::Name,
        adapter: Option<&name::Name>,
    ) {
        self.missing.retain(|(_, _, at)| now.since(*at) < MISSING);
        self.missing.push((model.clone(), adapter.cloned(), now));
    }

    /// Estimates the requests of the other `hosts` where the coordinator has not told lately: as many each as here.
    pub(super) fn estimate_others(&mut self, now: clock::Instant, hosts: usize) {
        if !self.is_placed(now) {
            let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
            self.others = self.running.saturating_mul(hosts);
        }
    }

    /// Returns the time since the coordinator last told of it.
    pub(super) fn placed_age(&self, now: clock::Instant) -> Option<time::Duration> {
        self.placed.as_ref().map(|(at, _)| now.since(*at))
    }

    /// Returns whether the coordinator has told of it lately.
    fn is_placed(&self, now: clock::Instant) -> bool {
        self.placed_age(now).is_some_and(|age| age < VIEW_AGE)
    }

    /// Notes that a request was sent there.
    pub(super) fn sent(&mut self) {
        self.running += 1;
        self.room = self.room.saturating_sub(1);
    }

    /// Notes that a request sent there has ended. Its place stays with this host until the next view.
    pub(super) fn ended(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.room += 1;
    }

    /// Returns whether another request fits beside those in progress.
    pub(super) fn has_room(&self, now: clock::Instant, slots: u32) -> bool {
        now >= self.full_until
            && (self.room > 0 || !self.is_placed(now))
            && self.running + self.others < slots
            && f64::from(self.running) < self.limit
    }

    pub(super) fn is_avoided(&self, now: clock::Instant) -> bool {
        now < self.avoided_until
    }

    /// Returns the requests in progress as a fraction of the slots, with one more.
    pub(super) fn load(&self, slots: u32) -> f64 {
        f64::from(self.running + self.others + 1) / f64::from(slots.max(1))
    }

    /// Returns the fraction of recent requests that failed.
    pub(super) fn failure_rate(&self, now: clock::Instant) -> f64 {
        let age = now.since(self.failures_at).as_secs_f64();
        self.failures * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns the average time to the first byte of an answer, in seconds.
    pub(super) fn latency(&self) -> Option<f64> {
        self.latency
    }

    /// Notes the first byte of an answer.
    pub(super) fn answered(&mut self, now: clock::Instant, latency: time::Duration) {
        self.progress = now;
        let slots = f64::from(self.registration.slots.max(1));
        self.limit = (self.limit + GROWTH / self.limit).min(slots);
        self.strikes = 0;
        self.breaks = 0;
        self.avoided_until = clock::Instant::default();
        let latency = latency.as_secs_f64();
        self.latency = Some(match self.latency {
            None => latency,
            Some(average) => average + NEWEST_WEIGHT * (latency - average),
        });
    }

    /// Notes whether a request succeeded.
    pub(super) fn observe(&mut self, now: clock::Instant, failed: bool) {
        let newest = if failed { 1.0 } else { 0.0 };
        let rate = self.failure_rate(now);
        self.failures = rate + NEWEST_WEIGHT * (newest - rate);
        self.failures_at = now;
    }

    /// Notes that it did not accept a connection or made no progress, and avoids it for a time.
    pub(super) fn avoid(&mut self, now: clock::Instant) {
        if self.is_avoided(now) {
            return;
        }
        let span = FIRST_AVOIDANCE * 2_u32.pow(self.strikes.min(5));
        self.strikes += 1;
        self.avoided_until = now + span.min(MAX_AVOIDANCE);
    }

    /// Notes that a connection failed under a request. One failure may be chance, a second one is avoided.
    pub(super) fn broke(&mut self, now: clock::Instant) {
        self.breaks += 1;
        if self.breaks > 1 {
            self.avoid(now);
        }
    }

    /// Returns whether the last connection failed under its request.
    pub(super) fn is_doubtful(&self) -> bool {
        self.breaks > 0
    }

    /// Takes over the doubt of other hosts, unless it has answered here lately.
    pub(super) fn doubt(&mut self, now: clock::Instant) {
        if now.since(self.progress) > DOUBT_PROGRESS {
            self.breaks = self.breaks.max(1);
            self.avoid(now);
        }
    }

    /// Notes that it had no room.
    pub(super) fn was_full(&mut self, now: clock::Instant) {
        if now >= self.full_until {
            self.limit = (f64::from(self.running) * FULL_PART).max(1.0);
        }
        self.full_until = now + FULL;
    }
}

/// The upstreams by identifier.
pub(super) type Table = collections::BTreeMap<name::Name, Upstream>;
