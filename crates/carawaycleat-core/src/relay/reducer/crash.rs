//! Crashes of upstreams, and the quarantine of requests and parts of prompts that cause them.

use std::time;

use crate::clock;
use crate::name;
use crate::quarantine;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::failure;
use crate::relay::pending;
use crate::relay::probe;
use crate::relay::refusal;
use crate::timeline;

/// The time within which it must be known whether an upstream crashed, from a probe, from other requests, or from its
/// entry, which a process that is gone loses, or replaces when it starts again.
const CONFIRMATION_TIME: time::Duration = time::Duration::from_secs(10);
/// The time after a probe without a response until the next one.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// The time after which a probe without a result is lost.
const PROBE_LIFETIME: time::Duration = time::Duration::from_secs(2);

/// The attempts that broke off at an upstream before the first event of their responses.
#[derive(Clone, Debug)]
pub(super) struct Breakage {
    /// When the first one broke off.
    at: clock::Instant,
    /// The start of the upstream's process at that time.
    started: u64,
    /// The requests.
    suspects: Vec<quarantine::Suspect>,
    /// When the last probe was sent.
    probed_at: clock::Instant,
    /// Whether the last probe got no response.
    is_silent: bool,
    /// Whether the upstream has crashed.
    is_crash: bool,
}

impl Breakage {
    /// Returns the crash that cut the responses, if there was one.
    fn crash(&self, upstream: &name::Name) -> quarantine::Crash {
        quarantine::Crash {
            upstream: upstream.clone(),
            started: self.started,
            suspects: self.suspects.clone(),
        }
    }
}

impl super::Reducer {
    /// Records what the failure of an attempt says about its upstream.
    pub(super) fn record_evidence(
        &mut self,
        now: clock::Instant,
        upstream: &name::Name,
        failure: failure::Failure,
    ) {
        if failure == failure::Failure::Refused {
            self.confirm_crash(upstream);
        }
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        match failure {
            failure::Failure::Refused => {
                entry.record_outcome(now, true);
                entry.record_refusal(now);
            }
            failure::Failure::Unconnected => {
                entry.record_outcome(now, true);
                if entry.has_refused() {
                    entry.eject(now);
                } else {
                    entry.record_no_connection(now);
                }
            }
            failure::Failure::TimedOut => entry.record_progress(now),
            failure::Failure::Local | failure::Failure::Unshared => {
                entry.record_local_failure(now);
            }
            failure::Failure::BrokenOff => {
                entry.record_outcome(now, true);
                entry.record_connection_failure(now);
            }
        }
    }

    /// Records that an attempt has been sent, so that its upstream accepts connections.
    pub(super) fn record_connection(&mut self, id: event::Id, attempt: u32) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let mut phases = std::iter::once(&request.phase).chain(&request.standbys);
        if let Some(pending::Phase::Sent { upstream, .. }) =
            phases.find(|phase| phase.attempt() == Some(attempt))
            && let Some(entry) = self.upstreams.get_mut(upstream)
        {
            entry.record_connection();
        }
    }

    /// Records that an attempt at a request broke off before the first event of its response. Probes the upstream, unless
    /// the same request has made progress elsewhere.
    pub(super) fn record_breakage(
        &mut self,
        now: clock::Instant,
        upstream: &name::Name,
        suspect: quarantine::Suspect,
        effects: &mut Vec<effect::Effect>,
    ) {
        let suspects = self.quarantine.without_harmless(now, vec![suspect]);
        let Some(entry) = self.upstreams.get(upstream) else {
            return;
        };
        if suspects.is_empty() {
            return;
        }
        let address = entry.registration.address;
        let started = entry.registration.started;
        let is_new = !self.breakages.contains_key(upstream);
        let breakage = self
            .breakages
            .entry(upstream.clone())
            .or_insert_with(|| Breakage {
                at: now,
                started,
                suspects: Vec::new(),
                probed_at: now,
                is_silent: false,
                is_crash: false,
            });
        let is_lost = !breakage.is_silent && now.since(breakage.probed_at) >= PROBE_LIFETIME;
        if is_new || is_lost {
            breakage.probed_at = now;
            effects.push(effect::Effect::Probe(upstream.clone(), address));
        }
        breakage.suspects.extend(suspects);
        if breakage.is_silent {
            let crash = breakage.crash(upstream);
            self.apply_suspected_crash(now, crash, effects);
        }
    }

    /// Handles the result of a probe. An upstream that responds has not crashed; of one that does not, it remains open, and
    /// the requests that broke off count as its cause until it responds.
    pub(super) fn handle_probe(
        &mut self,
        now: clock::Instant,
        upstream: &name::Name,
        probe: probe::Probe,
        effects: &mut Vec<effect::Effect>,
    ) {
        match probe {
            probe::Probe::Gone => self.confirm_crash(upstream),
            probe::Probe::Alive => {
                if let Some(entry) = self.upstreams.get_mut(upstream) {
                    entry.record_connection();
                }
                if self.has_open_breakage(upstream) {
                    self.drop_breakage(now, upstream, "alive", effects);
                }
            }
            probe::Probe::Silent => {
                if self.has_open_breakage(upstream)
                    && let Some(breakage) = self.breakages.get_mut(upstream)
                {
                    breakage.is_silent = true;
                    let crash = breakage.crash(upstream);
                    self.apply_suspected_crash(now, crash, effects);
                }
            }
        }
    }

    /// Returns whether responses of an upstream broke off, and it is not known whether it has crashed.
    fn has_open_breakage(&self, upstream: &name::Name) -> bool {
        let breakage = self.breakages.get(upstream);
        breakage.is_some_and(|breakage| !breakage.is_crash)
    }

    /// Forgets that responses of an upstream broke off, because it has not crashed, or because that cannot be found out.
    fn drop_breakage(
        &mut self,
        now: clock::Instant,
        upstream: &name::Name,
        reason: &'static str,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(breakage) = self.breakages.remove(upstream) else {
            return;
        };
        let released = self
            .quarantine
            .withdraw_crash(now, upstream, breakage.started);
        let decision = timeline::Decision::new("crash_not_confirmed")
            .with_subject(upstream.clone())
            .with("reason", reason)
            .with("ms", timeline::Value::millis(now.since(breakage.at)));
        effects.push(super::record(decision));
        record_released(&released, effects);
    }

    /// Probes the upstreams again that did not respond, and forgets what could not be found out in time.
    fn probe_again(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let is_expired =
            |(_, breakage): &(&name::Name, &Breakage)| now.since(breakage.at) >= CONFIRMATION_TIME;
        let expired = self.breakages.iter().filter(is_expired);
        let expired: Vec<_> = expired.map(|(upstream, _)| upstream.clone()).collect();
        for upstream in expired {
            self.drop_breakage(now, &upstream, "unknown", effects);
        }
        for (upstream, breakage) in &mut self.breakages {
            if breakage.is_silent
                && now.since(breakage.probed_at) >= PROBE_INTERVAL
                && let Some(entry) = self.upstreams.get(upstream)
            {
                breakage.probed_at = now;
                let address = entry.registration.address;
                effects.push(effect::Effect::Probe(upstream.clone(), address));
            }
        }
    }

    /// Records that an upstream is gone, so that the responses that broke off were cut by its crash.
    pub(super) fn confirm_crash(&mut self, upstream: &name::Name) {
        if let Some(breakage) = self.breakages.get_mut(upstream) {
            breakage.is_crash = true;
        }
    }

    /// Applies and publishes the confirmed crashes. All responses that a crash cut have been recorded by then.
    pub(super) fn report_crashes(
        &mut self,
        now: clock::Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        let is_crash = |_: &name::Name, breakage: &mut Breakage| breakage.is_crash;
        let confirmed: Vec<_> = self.breakages.extract_if(.., is_crash).collect();
        self.probe_again(now, effects);
        for (upstream, breakage) in confirmed {
            let crash = quarantine::Crash {
                suspects: self.quarantine.without_harmless(now, breakage.suspects),
                upstream,
                started: breakage.started,
            };
            if crash.suspects.is_empty() {
                continue;
            }
            let prompts = crash
                .suspects
                .iter()
                .map(|suspect| prompt_text(&suspect.parts));
            let prompts: Vec<_> = prompts.collect();
            let fingerprints = crash
                .suspects
                .iter()
                .map(|suspect| suspect.fingerprint.as_str());
            let fingerprints: Vec<_> = fingerprints.collect();
            let decision = timeline::Decision::new("upstream_crashed")
                .with_subject(crash.upstream.clone())
                .with("prompts", prompts.join(" "))
                .with("fingerprints", fingerprints.join(" "));
            effects.push(super::record(decision));
            self.apply_crash(now, crash.clone(), effects);
            effects.push(effect::Effect::Publish(crash));
        }
    }

    /// Records a crash that this or another host observed, and refuses the requests that are quarantined because of it,
    /// or that have a part which is.
    pub(super) fn apply_crash(
        &mut self,
        now: clock::Instant,
        crash: quarantine::Crash,
        effects: &mut Vec<effect::Effect>,
    ) {
        let subject = crash.upstream.clone();
        let added = self.quarantine.record_crash(now, crash);
        self.refuse_quarantined(now, subject, &added, effects);
    }

    /// Counts the requests that broke off at a silent upstream as the cause of its crash until that is refuted.
    fn apply_suspected_crash(
        &mut self,
        now: clock::Instant,
        crash: quarantine::Crash,
        effects: &mut Vec<effect::Effect>,
    ) {
        let subject = crash.upstream.clone();
        let added = self.quarantine.suspect_crash(now, crash);
        self.refuse_quarantined(now, subject, &added, effects);
    }

    /// Refuses the requests that have been quarantined because of a crash, with those that have a part which is.
    fn refuse_quarantined(
        &mut self,
        now: clock::Instant,
        subject: name::Name,
        added: &[name::Name],
        effects: &mut Vec<effect::Effect>,
    ) {
        if added.is_empty() {
            return;
        }
        let decision = timeline::Decision::new("quarantined")
            .with_subject(subject)
            .with("causes", prompt_text(added));
        effects.push(super::record(decision));
        let quarantined: Vec<(event::Id, time::Duration)> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.response_started || request.has_just_begun())
            .filter_map(|(id, request)| {
                let (parts, fingerprint) = (&request.prompt, &request.fingerprint);
                let end = self.quarantine.quarantined_until(now, parts, fingerprint)?;
                Some((*id, end.since(now)))
            })
            .collect();
        for (id, retry_after) in quarantined {
            let reason = refusal::Reason::Quarantined;
            self.refuse(now, id, reason, Some(retry_after), effects);
        }
    }

    /// Records that a request has made progress.
    pub(super) fn record_harmless(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (parts, fingerprint) = (&request.prompt, &request.fingerprint);
        for breakage in self.breakages.values_mut() {
            breakage
                .suspects
                .retain(|suspect| suspect.fingerprint != *fingerprint);
            for suspect in &mut breakage.suspects {
                suspect.parts.retain(|part| !parts.contains(part));
            }
        }
        let released = self.quarantine.record_progress(now, parts, fingerprint);
        record_released(&released, effects);
    }
}

/// Logs the fingerprints and parts that are no longer quarantined.
fn record_released(released: &[name::Name], effects: &mut Vec<effect::Effect>) {
    if !released.is_empty() {
        let decision =
            timeline::Decision::new("quarantine_ended").with("causes", prompt_text(released));
        effects.push(super::record(decision));
    }
}

/// Returns the shared parts of a prompt as a log field.
pub(super) fn prompt_text(parts: &[name::Name]) -> String {
    let parts: Vec<_> = parts.iter().map(name::Name::as_str).collect();
    parts.join(",")
}
