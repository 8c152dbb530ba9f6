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

/// The time within which it must be known whether an upstream crashed, from a probe or from other requests.
const CONFIRMATION_TIME: time::Duration = time::Duration::from_secs(2);

/// The attempts that broke off at an upstream before the first event of their responses.
#[derive(Clone, Debug)]
pub(super) struct Breakage {
    /// When the first one broke off.
    at: clock::Instant,
    /// The start of the upstream's process at that time.
    started: u64,
    /// The requests.
    suspects: Vec<quarantine::Suspect>,
    /// Whether the upstream has crashed.
    is_crash: bool,
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
            failure::Failure::Local => entry.record_local_failure(now),
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
        let breakage = self.breakages.entry(upstream.clone()).or_insert_with(|| {
            let address = entry.registration.address;
            effects.push(effect::Effect::Probe(upstream.clone(), address));
            Breakage {
                at: now,
                started: entry.registration.started,
                suspects: Vec::new(),
                is_crash: false,
            }
        });
        breakage.suspects.extend(suspects);
    }

    /// Handles the result of a probe. An upstream that responds has not crashed.
    pub(super) fn handle_probe(&mut self, upstream: &name::Name, probe: probe::Probe) {
        if probe != probe::Probe::Alive {
            return self.confirm_crash(upstream);
        }
        if self
            .breakages
            .get(upstream)
            .is_some_and(|breakage| !breakage.is_crash)
        {
            self.breakages.remove(upstream);
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
        self.breakages
            .retain(|_, breakage| now.since(breakage.at) < CONFIRMATION_TIME);
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
        if added.is_empty() {
            return;
        }
        let decision = timeline::Decision::new("quarantined")
            .with_subject(subject)
            .with("causes", prompt_text(&added));
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
        let released = self.quarantine.record_progress(now, parts, fingerprint);
        if !released.is_empty() {
            let decision =
                timeline::Decision::new("quarantine_ended").with("causes", prompt_text(&released));
            effects.push(super::record(decision));
        }
    }
}

/// Returns the shared parts of a prompt as a log field.
pub(super) fn prompt_text(parts: &[name::Name]) -> String {
    let parts: Vec<_> = parts.iter().map(name::Name::as_str).collect();
    parts.join(",")
}
