use std::collections;
use std::time;

use super::cold;
use super::limit;
use super::registration;
use super::view;
use crate::clock;
use crate::connection;
use crate::name;

/// The time in which the failure rate halves without new observations.
const FAILURE_HALF_LIFE: time::Duration = time::Duration::from_millis(2_500);
/// The weight of the latest observation in a moving average.
const NEWEST_WEIGHT: f64 = 0.15;
/// The time of the first ejection in a row. Each further one lasts twice as long, up to [`MAX_EJECTION`].
const MIN_EJECTION: time::Duration = time::Duration::from_millis(400);
/// The longest time of an ejection.
const MAX_EJECTION: time::Duration = time::Duration::from_millis(3_200);
/// The longest time of an ejection for silence. A sound upstream may be silent for about a second, and gets requests again
/// within this time after it.
const MAX_SILENCE_EJECTION: time::Duration = time::Duration::from_millis(800);
/// The silence up to which an upstream counts as sound, so that the coordinator does not hear of it.
const MAX_SOUND_SILENCE: time::Duration = time::Duration::from_secs(2);
/// The time after an ejection for silence within which a further one continues the same silence.
const MAX_SILENCE_GAP: time::Duration = time::Duration::from_secs(1);
/// The age up to which the coordinator's view of an upstream takes precedence over its registration.
const MAX_VIEW_AGE: time::Duration = time::Duration::from_millis(1_500);
/// The time for which a model or adapter counts as missing after a rejection, whatever older views and registrations
/// say.
const MISSING_TIME: time::Duration = time::Duration::from_millis(600);
/// The concurrency limit after a rejection by a full upstream, as a fraction of the requests in progress.
const LIMIT_DECREASE: f64 = 0.8;
/// The amount by which the concurrency limit grows over as many responses as the limit allows requests in progress.
const LIMIT_INCREASE: f64 = 2.0;
/// The time after receiving a part of a response for which the suspicion of other hosts is ignored.
const RECENT_PROGRESS: time::Duration = time::Duration::from_millis(400);
/// The time for which no request is sent to an upstream that was full.
const FULL_BACKOFF: time::Duration = time::Duration::from_millis(40);
/// The time for which no request is sent to an upstream after this host could not send one.
const LOCAL_BACKOFF: time::Duration = time::Duration::from_millis(40);

/// The idle time up to which requests that may run once reuse a connection, less the time until such a request is written.
const MAX_IDLE_TIME: time::Duration = time::Duration::from_millis(350);
/// The most idle connections that are remembered.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// The ejections of an upstream that is silent.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// When the first one in a row began.
    began: clock::Instant,
    /// Those in a row.
    ejections: u32,
    /// The end of the last one.
    ejected_until: clock::Instant,
    /// Whether the last one is for want of a connection, so that a connection ends it.
    is_unconnected: bool,
}

/// The state of an upstream as one entry host knows it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its latest registration.
    pub registration: registration::Registration,
    /// When its registration was removed.
    pub(super) removed: Option<clock::Instant>,
    /// Until when it gets no requests, because its registration may be from an older copy of the store.
    pub(super) distrusted_until: Option<clock::Instant>,
    /// The requests of this host in progress.
    pub(super) own_requests: u32,
    /// The requests of other hosts in progress: from the coordinator, or estimated.
    pub(super) other_requests: u32,
    /// When the connections that are idle now brought their last bytes, the oldest first.
    idle_since: Vec<clock::Instant>,
    /// The most requests of this host in progress at a time since the last report.
    pub(super) peak_requests: u32,
    /// What this host may use of it; none where the connections are not shared out.
    pub(super) bound: Option<connection::Bound>,
    /// The further requests that this host may send under the coordinator's reservation.
    usable_slots: u32,
    /// The maximum number of requests of this host in progress. It shrinks when the upstream was full and grows with
    /// each response, so that hosts without a coordinator still share an upstream.
    concurrency_limit: f64,
    /// When this host last received a part of a response from it.
    pub(super) last_progress: clock::Instant,
    /// Since when this host has had requests in progress there; the last time, if it has none now.
    pub(super) busy_since: clock::Instant,
    /// The last view of the coordinator and when it was received.
    view: Option<(clock::Instant, view::EngineView)>,
    /// The moving average of failed requests, between 0 and 1, as of `failures_updated`.
    failure_average: f64,
    failures_updated: clock::Instant,
    /// The moving average of the time to the first byte, in seconds.
    mean_latency: Option<f64>,
    /// The end of the last ejection for another reason than silence.
    ejected_until: clock::Instant,
    /// The ejections for another reason than silence since the last response.
    ejections: u32,
    /// The ejections for silence; none when a part of a response has arrived since.
    silence: Option<Silence>,
    /// Whether it has refused a connection and made no progress since.
    has_refused: bool,
    /// The connections that failed during a request since the last response.
    connection_failures: u32,
    full_until: clock::Instant,
    /// Until when this host sends no request because it asked for a pause.
    paused_until: clock::Instant,
    /// The limit on requests that it has named.
    pub(super) limit: Option<limit::Limit>,
    /// When a response that named no limit ended the last limit.
    pub(super) limit_ended: Option<clock::Instant>,
    /// What may be sent to it while it is cold after a start.
    pub(super) cold: cold::Gate,
    /// Whether its availability zone is evacuated, so that it gets no requests.
    pub(super) is_evacuated: bool,
    /// The models and adapters that it turned out not to hold, and when.
    missing: Vec<(name::Name, Option<name::Name>, clock::Instant)>,
}

impl Upstream {
    /// Returns the initial state of an upstream.
    #[must_use]
    pub fn new(registration: registration::Registration) -> Self {
        Self {
            concurrency_limit: f64::from(registration.slots.max(1)),
            registration,
            removed: None,
            distrusted_until: None,
            own_requests: 0,
            other_requests: 0,
            idle_since: Vec::new(),
            peak_requests: 0,
            bound: None,
            usable_slots: 0,
            last_progress: clock::Instant::default(),
            busy_since: clock::Instant::default(),
            view: None,
            failure_average: 0.0,
            failures_updated: clock::Instant::default(),
            mean_latency: None,
            ejected_until: clock::Instant::default(),
            ejections: 0,
            silence: None,
            has_refused: false,
            connection_failures: 0,
            full_until: clock::Instant::default(),
            paused_until: clock::Instant::default(),
            limit: None,
            limit_ended: None,
            cold: cold::Gate::default(),
            is_evacuated: false,
            missing: Vec::new(),
        }
    }

    /// Applies a newer registration. A restart resets the state, except for the requests of this host in progress.
    pub(super) fn update(&mut self, now: clock::Instant, registration: registration::Registration) {
        let restarted = registration.started > self.registration.started;
        if restarted {
            let (own_requests, bound) = (self.own_requests, self.bound);
            // The coordinator's permits refer to the requests sent by this host under the identifier.
            let cold = std::mem::take(&mut self.cold);
            *self = Self::new(registration);
            self.own_requests = own_requests;
            self.bound = bound;
            self.cold = cold;
            return;
        }
        if registration.models != self.registration.models {
            self.missing.clear();
            let is_old = |received: clock::Instant| now.since(received) > MAX_VIEW_AGE;
            if self
                .view
                .as_ref()
                .is_some_and(|(received, _)| is_old(*received))
            {
                self.view = None;
            }
        }
        // Without a start time, an upstream that comes back after a removal cannot be told from a new one.
        self.registration = if self.removed.is_some() && registration.started == 0 {
            registration
        } else {
            registration.following(&self.registration)
        };
        self.removed = None;
    }

    /// Applies the coordinator's view of this upstream.
    pub(super) fn update_view(&mut self, now: clock::Instant, view: view::EngineView) {
        self.other_requests = view.other_requests;
        self.usable_slots = view.usable_slots;
        self.view = Some((now, view));
    }

    /// Returns whether its registration was removed and is not expected to be back.
    pub(super) fn has_left(&self, now: clock::Instant, removal_grace: time::Duration) -> bool {
        self.removed
            .is_some_and(|removed| now.since(removed) >= removal_grace)
    }

    /// Returns whether new requests may be sent to it.
    pub(super) fn accepts_requests(
        &self,
        now: clock::Instant,
        removal_grace: time::Duration,
    ) -> bool {
        self.may_serve_later(now, removal_grace)
            && !self.is_evacuated
            && self.distrusted_until.is_none_or(|until| now >= until)
    }

    /// Returns whether new requests may be sent to it, now or when its registration is trusted again.
    pub(super) fn may_serve_later(
        &self,
        now: clock::Instant,
        removal_grace: time::Duration,
    ) -> bool {
        !self.has_left(now, removal_grace) && self.registration.state == registration::State::Ready
    }

    /// Returns whether it holds the model and adapter of a request.
    pub(super) fn can_serve(
        &self,
        now: clock::Instant,
        model: &name::Name,
        adapter: Option<&name::Name>,
    ) -> bool {
        let is_missing = self.missing.iter().any(|(name, other, since)| {
            name == model && other.as_ref() == adapter && now.since(*since) < MISSING_TIME
        });
        !is_missing
            && self.holds_model(model)
            && adapter.is_none_or(|adapter| self.holds_adapter(model, adapter))
    }

    /// Returns whether it holds a model and is not unloading it.
    pub(super) fn holds_model(&self, model: &name::Name) -> bool {
        match &self.view {
            Some((_, view)) => view.models.contains(model) && !view.unloading.contains(model),
            None => self.registration.models.contains_key(model),
        }
    }

    fn holds_adapter(&self, model: &name::Name, adapter: &name::Name) -> bool {
        match &self.view {
            Some((_, view)) => view
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

    /// Records that it did not hold the model or adapter of a request.
    pub(super) fn record_missing(
        &mut self,
        now: clock::Instant,
        model: &name::Name,
        adapter: Option<&name::Name>,
    ) {
        self.missing
            .retain(|(_, _, since)| now.since(*since) < MISSING_TIME);
        self.missing.push((model.clone(), adapter.cloned(), now));
    }

    /// Estimates the requests of the `hosts` other hosts when there is no current view: each has as many as this host.
    pub(super) fn estimate_other_requests(&mut self, now: clock::Instant, hosts: usize) {
        let has_places = self.bound.is_some_and(|bound| bound.places.is_some());
        if !self.has_current_view(now) && !has_places {
            let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
            self.other_requests = self.own_requests.saturating_mul(hosts);
        }
    }

    /// Returns the time since the last view of the coordinator; none before the first one.
    pub(super) fn view_age(&self, now: clock::Instant) -> Option<time::Duration> {
        self.view.as_ref().map(|(received, _)| now.since(*received))
    }

    /// Returns whether the coordinator's view is recent.
    fn has_current_view(&self, now: clock::Instant) -> bool {
        self.view_age(now).is_some_and(|age| age < MAX_VIEW_AGE)
    }

    /// Records that a request was sent.
    pub(super) fn record_send(&mut self, now: clock::Instant) {
        if self.own_requests == 0 {
            self.busy_since = now;
        }
        self.own_requests += 1;
        self.peak_requests = self.peak_requests.max(self.own_requests);
        self.idle_since.pop();
        self.usable_slots = self.usable_slots.saturating_sub(1);
        if let Some(limit) = &mut self.limit {
            limit.record_send();
        }
        self.cold.record_send(now);
    }

    /// Returns whether it takes only as many requests per second as the coordinator divides among the hosts.
    pub(super) fn limits_requests(&self, now: clock::Instant) -> bool {
        self.limit.is_some() || self.cold.is_cold(now)
    }

    /// Records that a request has ended. Its slot stays reserved for this host until the next view.
    pub(super) fn record_end(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.usable_slots = self.usable_slots.saturating_add(1);
        if self.bound.is_some() {
            if self.idle_since.len() >= MAX_IDLE_CONNECTIONS {
                self.idle_since.remove(0);
            }
            self.idle_since.push(self.last_progress);
        }
    }

    /// Returns whether a connection is probably idle that requests of any kind may use.
    pub(super) fn has_idle_connection(&self, now: clock::Instant) -> bool {
        let last = self.idle_since.last();
        last.is_some_and(|since| now.since(*since) < MAX_IDLE_TIME)
    }

    /// Returns the further requests that this host may send under the coordinator's reservation; 0 without a recent view.
    pub(super) fn granted_slots(&self, now: clock::Instant) -> u32 {
        if self.has_current_view(now) {
            self.usable_slots
        } else {
            0
        }
    }

    /// Returns whether another request may be sent beside those in progress.
    pub(super) fn has_free_slot(&self, now: clock::Instant, slots: u32) -> bool {
        now >= self.full_until
            && self.paused_until(now).is_none()
            && self.limit.as_ref().is_none_or(|limit| limit.may_send(now))
            && self.cold.may_send(now)
            && (self.usable_slots > 0 || !self.has_current_view(now))
            && self.has_room(slots)
            && f64::from(self.own_requests) < self.concurrency_limit
    }

    /// Returns whether another request finds a slot, and a connection where these are shared out.
    fn has_room(&self, slots: u32) -> bool {
        match self.bound {
            Some(bound) => bound.admits(self.own_requests, self.other_requests, slots),
            None => self.own_requests.saturating_add(self.other_requests) < slots,
        }
    }

    /// Returns whether it is ejected. Ejected upstreams are used only when there are no others.
    pub(super) fn is_ejected(&self, now: clock::Instant) -> bool {
        now < self.ejected_until || self.is_ejected_for_silence(now)
    }

    /// Returns whether it is ejected because it is silent, so that it is expected to go on.
    pub(super) fn is_ejected_for_silence(&self, now: clock::Instant) -> bool {
        self.silence
            .is_some_and(|silence| now < silence.ejected_until)
    }

    /// Returns whether it is ejected for another reason than a short silence.
    pub(super) fn is_suspected(&self, now: clock::Instant) -> bool {
        let is_long = |silence: Silence| now.since(silence.began) >= MAX_SOUND_SILENCE;
        now < self.ejected_until
            || self.is_ejected_for_silence(now) && self.silence.is_some_and(is_long)
    }

    /// Returns whether it has refused a connection, so that its process is gone, and made no progress since.
    pub(super) fn has_refused(&self) -> bool {
        self.has_refused
    }

    /// Returns the fraction of the slots that would be in use with one more request.
    pub(super) fn load(&self, slots: u32) -> f64 {
        (f64::from(self.own_requests) + f64::from(self.other_requests) + 1.0)
            / f64::from(slots.max(1))
    }

    /// Returns the fraction of recent requests that failed.
    pub(super) fn failure_rate(&self, now: clock::Instant) -> f64 {
        let age = now.since(self.failures_updated).as_secs_f64();
        self.failure_average * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns the average time to the first byte in seconds; none before the first response.
    pub(super) fn mean_latency(&self) -> Option<f64> {
        self.mean_latency
    }

    /// Returns how long nothing has arrived from it, although it has requests of this host.
    pub(super) fn silence(&self, now: clock::Instant) -> time::Duration {
        if self.own_requests == 0 {
            return time::Duration::ZERO;
        }
        now.since(self.last_progress.max(self.busy_since))
    }

    /// Records a part of a response, which ends an ejection for silence.
    pub(super) fn record_progress(&mut self, now: clock::Instant) {
        self.last_progress = now;
        self.silence = None;
        self.has_refused = false;
    }

    /// Records that a connection was made, which ends an ejection for want of one.
    pub(super) fn record_connection(&mut self) {
        self.has_refused = false;
        if self.silence.is_some_and(|silence| silence.is_unconnected) {
            self.silence = None;
        }
    }

    /// Records that a connection was refused.
    pub(super) fn record_refusal(&mut self, now: clock::Instant) {
        self.has_refused = true;
        self.eject(now);
    }

    /// Records that this host could not send a request. The next one follows after a pause, so that it does not fail again
    /// and again without one.
    pub(super) fn record_local_failure(&mut self, now: clock::Instant) {
        self.full_until = self.full_until.max(now + LOCAL_BACKOFF);
    }

    /// Records the first byte of a response, which ends an ejection.
    pub(super) fn record_first_byte(&mut self, now: clock::Instant, latency: time::Duration) {
        self.record_progress(now);
        let slots = f64::from(self.registration.slots.max(1));
        self.concurrency_limit =
            (self.concurrency_limit + LIMIT_INCREASE / self.concurrency_limit).min(slots);
        self.ejections = 0;
        self.connection_failures = 0;
        self.ejected_until = clock::Instant::default();
        let latency = latency.as_secs_f64();
        self.mean_latency = Some(match self.mean_latency {
            None => latency,
            Some(average) => average + NEWEST_WEIGHT * (latency - average),
        });
    }

    /// Records whether a request failed.
    pub(super) fn record_outcome(&mut self, now: clock::Instant, failed: bool) {
        let newest = if failed { 1.0 } else { 0.0 };
        let rate = self.failure_rate(now);
        self.failure_average = rate + NEWEST_WEIGHT * (newest - rate);
        self.failures_updated = now;
    }

    /// Ejects it because no connection was made in time. A connection ends the ejection, as well as what ends
    /// [`Self::eject_for_silence`].
    pub(super) fn record_no_connection(&mut self, now: clock::Instant) {
        self.eject_silent(now, true);
    }

    /// Ejects it because it is silent, until a part of a response arrives from it, but not for longer than
    /// [`MAX_SILENCE_EJECTION`].
    pub(super) fn eject_for_silence(&mut self, now: clock::Instant) {
        self.eject_silent(now, false);
    }

    fn eject_silent(&mut self, now: clock::Instant, is_unconnected: bool) {
        if self.is_ejected(now) {
            return;
        }
        let is_continued = |silence: &Silence| now.since(silence.ejected_until) <= MAX_SILENCE_GAP;
        let previous = self.silence.filter(is_continued);
        let ejections = previous.map_or(0, |silence| silence.ejections);
        let duration = ejection_time(ejections).min(MAX_SILENCE_EJECTION);
        self.silence = Some(Silence {
            began: previous.map_or(now, |silence| silence.began),
            ejections: ejections + 1,
            ejected_until: now + duration,
            is_unconnected,
        });
    }

    /// Ejects it for a time that doubles with each ejection in a row.
    pub(super) fn eject(&mut self, now: clock::Instant) {
        if now < self.ejected_until {
            return;
        }
        let duration = ejection_time(self.ejections);
        self.ejections += 1;
        self.ejected_until = now + duration;
    }

    /// Records that a connection failed during a request. One failure may be chance; the second in a row ejects it.
    pub(super) fn record_connection_failure(&mut self, now: clock::Instant) {
        self.connection_failures += 1;
        if self.connection_failures > 1 {
            self.eject(now);
        }
    }

    /// Returns whether a connection has failed during a request, or the suspicion of other hosts was recorded, since
    /// the last response.
    pub(super) fn is_suspect(&self) -> bool {
        self.connection_failures > 0
    }

    /// Ejects it because other hosts suspect it, unless this host has received a response from it recently.
    pub(super) fn record_suspicion(&mut self, now: clock::Instant) {
        if now.since(self.last_progress) > RECENT_PROGRESS {
            self.connection_failures = self.connection_failures.max(1);
            self.eject(now);
        }
    }

    /// Records the limit on requests that a response named, and returns whether it has changed.
    pub(super) fn record_limit(&mut self, now: clock::Instant, rate: Option<f64>) -> bool {
        let before = self.limit.as_ref().map(|limit| limit.rate);
        match (rate, &mut self.limit) {
            (Some(rate), Some(limit)) => {
                limit.rate = rate;
                limit.named_at = now;
            }
            (Some(rate), None) => self.limit = Some(limit::Limit::new(now, rate)),
            (None, Some(_)) => {
                self.limit = None;
                self.limit_ended = Some(now);
            }
            (None, None) => {}
        }
        before != rate
    }

    /// Applies the coordinator's permit, unless a response here has ended the limit since it was named.
    pub(super) fn apply_permit(&mut self, now: clock::Instant, permit: &view::Permit) {
        let age = time::Duration::from_millis(permit.age_ms);
        let named_at =
            clock::Instant::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        if self.limit_ended.is_some_and(|ended| ended >= named_at) {
            return;
        }
        self.limit
            .get_or_insert_with(|| limit::Limit::new(named_at, permit.rate))
            .update(now, named_at, permit);
    }

    /// Does the periodic work on the limit, of which each of `hosts` hosts has an equal share without permits.
    pub(super) fn refill_limit(&mut self, now: clock::Instant, hosts: usize) {
        if let Some(limit) = &mut self.limit {
            limit.refill(now, hosts);
        }
        if self
            .limit
            .as_ref()
            .is_some_and(|limit| limit.is_expired(now))
        {
            self.limit = None;
        }
    }

    /// Returns until when it gets no requests because it asked for a pause; none when it gets some now.
    pub(super) fn paused_until(&self, now: clock::Instant) -> Option<clock::Instant> {
        (now < self.paused_until).then_some(self.paused_until)
    }

    /// Records that it asked for a pause, which ends `spread` later here.
    pub(super) fn record_pause(
        &mut self,
        now: clock::Instant,
        pause: time::Duration,
        spread: time::Duration,
    ) {
        self.pause_until(now + pause + spread);
    }

    /// Sends nothing until `until`, or the end of a longer pause. The first request after it shows whether others may
    /// follow.
    pub(super) fn pause_until(&mut self, until: clock::Instant) {
        self.paused_until = self.paused_until.max(until);
        self.concurrency_limit = 1.0;
    }

    /// Records that it rejected a request for lack of a slot.
    pub(super) fn record_full(&mut self, now: clock::Instant) {
        if now >= self.full_until {
            self.concurrency_limit = (f64::from(self.own_requests) * LIMIT_DECREASE).max(1.0);
        }
        self.full_until = now + FULL_BACKOFF;
    }
}

/// Returns the time of an ejection after the given number of others in a row.
fn ejection_time(ejections: u32) -> time::Duration {
    let duration = MIN_EJECTION * 2_u32.pow(ejections.min(5));
    duration.min(MAX_EJECTION)
}

/// The upstreams by identifier.
pub(super) type Table = collections::BTreeMap<name::Name, Upstream>;
