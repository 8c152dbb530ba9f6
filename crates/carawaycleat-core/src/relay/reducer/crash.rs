//! Crashes of upstreams, and the quarantine of prompts that cause them.

use std::time;

use crate::clock;
use crate::name;
use crate::quarantine;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::refusal;
use crate::timeline;

/// The time within which it must be known whether an upstream crashed, from a probe or from other requests.
const CONFIRMATION_TIME: time::Duration = time::Duration::from_secs(2);

/// The responses that broke off at an upstream when they had just begun.
#[derive(Clone, Debug)]
pub(super) struct Breakage {
    /// When the first one broke off.
    at: clock::Instant,
    /// The start of the upstream's process at that time.
    started: u64,
    /// The prompts of the requests.
    prompts: Vec<Vec<name::Name>>,
    /// Whether the upstream has crashed.
    is_crash: bool,
}

impl super::Reducer {
    /// Records that a response to a request with this prompt broke off when it had just begun. Probes the upstream,
    /// unless the parts of the prompt are known to be harmless.
    pub(super) fn record_breakage(
        &mut self,
        now: clock::Instant,
        upstream: &name::Name,
        prompt: Vec<name::Name>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let prompts = self.quarantine.without_harmless_parts(now, vec![prompt]);
        let Some(entry) = self.upstreams.get(upstream) else {
            return;
        };
        if prompts.is_empty() {
            return;
        }
        let breakage = self.breakages.entry(upstream.clone()).or_insert_with(|| {
            let address = entry.registration.address;
            effects.push(effect::Effect::Probe(upstream.clone(), address));
            Breakage {
                at: now,
                started: entry.registration.started,
                prompts: Vec::new(),
                is_crash: false,
            }
        });
        breakage.prompts.extend(prompts);
    }

    /// Handles the result of a probe. An upstream that responds has not crashed.
    pub(super) fn handle_probe(&mut self, upstream: &name::Name, alive: bool) {
        if !alive {
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
                prompts: self
                    .quarantine
                    .without_harmless_parts(now, breakage.prompts),
                upstream,
                started: breakage.started,
            };
            if crash.prompts.is_empty() {
                continue;
            }
            let prompts: Vec<_> = crash
                .prompts
                .iter()
                .map(|parts| prompt_text(parts))
                .collect();
            let decision = timeline::Decision::new("upstream_crashed")
                .with_subject(crash.upstream.clone())
                .with("prompts", prompts.join(" "));
            effects.push(super::record(decision));
            self.apply_crash(now, crash.clone(), effects);
            effects.push(effect::Effect::Publish(crash));
        }
    }

    /// Records a crash that this or another host observed, and refuses the requests with parts that are quarantined
    /// because of it.
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
            .with("parts", prompt_text(&added));
        effects.push(super::record(decision));
        let quarantined: Vec<event::Id> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.response_started || request.has_just_begun())
            .filter(|(_, request)| request.prompt.iter().any(|part| added.contains(part)))
            .map(|(id, _)| *id)
            .collect();
        let end = self.quarantine.quarantined_until(now, &added);
        let retry_after = end.map(|end| end.since(now));
        for id in quarantined {
            self.refuse(now, id, refusal::Reason::Quarantined, retry_after, effects);
        }
    }

    /// Records that a request with this prompt has made progress.
    pub(super) fn record_harmless(
        &mut self,
        now: clock::Instant,
        prompt: &[name::Name],
        effects: &mut Vec<effect::Effect>,
    ) {
        let released = self.quarantine.record_progress(now, prompt);
        if !released.is_empty() {
            let decision =
                timeline::Decision::new("quarantine_ended").with("parts", prompt_text(&released));
            effects.push(super::record(decision));
        }
    }
}

/// Returns the shared parts of a prompt as a log field.
pub(super) fn prompt_text(parts: &[name::Name]) -> String {
    let parts: Vec<_> = parts.iter().map(name::Name::as_str).collect();
    parts.join(",")
}
