//! What the passing of time brings: time limits and attempts without progress.

use std::time;

use crate::clock;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::pending;
use crate::relay::pick;
use crate::relay::refusal;
use crate::timeline;

/// The longest time that a request waits for tokens of its workspace: some round trips to the coordinator.
const BORROW_TIME: time::Duration = time::Duration::from_millis(250);

/// The time between two looks at whether waiting requests still have a chance.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// The time before the end of a request's time at which a waiting one is refused, so that the answer arrives in time.
const REFUSAL_LEAD: time::Duration = time::Duration::from_millis(40);

/// The time after which a caller may try again whose request found no upstream in its time.
const TIMEOUT_RETRY: time::Duration = time::Duration::from_millis(500);

impl super::Reducer {
    pub(super) fn tick(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let gone = self.options.removal_grace;
        self.table.retain(|_, entry| {
            entry.running > 0 || entry.removed.is_none_or(|at| now.since(at) < gone)
        });
        while let Some(borrower) = self.borrowers.front() {
            if now.since(borrower.since) < BORROW_TIME {
                break;
            }
            let borrower = *borrower;
            self.borrowers.pop_front();
            self.go_alone(now, borrower, effects);
        }
        self.refuse_due(now, effects);
        let others = self.hosts.saturating_sub(1);
        for entry in self.table.values_mut() {
            entry.estimate_others(now, others);
        }
        self.move_stalled(now, effects);
        self.serve_waiting(now, effects);
        if now.since(self.checked) >= CHECK_INTERVAL {
            self.checked = now;
            self.refuse_hopeless(now, effects);
        }
    }

    /// Ends the requests whose time is over, and those without an answer when the process ends.
    fn refuse_due(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let is_due = |request: &pending::Pending| {
            let lead = if request.is_waiting() {
                REFUSAL_LEAD
            } else {
                time::Duration::ZERO
            };
            let due = if request.is_waiting() && !request.delivered {
                request.abandoned()
            } else {
                request.due
            };
            now + lead >= due
        };
        let is_ended = |request: &pending::Pending| {
            !request.delivered && self.end.is_some_and(|end| now + REFUSAL_LEAD >= end)
        };
        let reason = |request: &pending::Pending| {
            if is_due(request) {
                Some((refusal::Reason::Timeout, TIMEOUT_RETRY))
            } else if is_ended(request) {
                Some((refusal::Reason::Stopping, super::OTHER_HOST_RETRY))
            } else {
                None
            }
        };
        let due: Vec<_> = self
            .requests
            .iter()
            .filter_map(|(id, request)| Some((*id, reason(request)?)))
            .collect();
        for (id, (reason, retry)) in due {
            self.refuse(now, id, reason, Some(retry), effects);
        }
    }

    /// Tries requests elsewhere whose upstream makes no progress.
    pub(super) fn move_stalled(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let stalled: Vec<_> = self
            .requests
            .iter()
            .filter_map(|(id, request)| {
                let pending::Place::At {
                    upstream, progress, ..
                } = &request.place
                else {
                    return None;
                };
                let silent = self.table.get(upstream).map_or(now, |entry| entry.progress);
                let alone = time::Duration::max(
                    request.route.objective * 3,
                    self.options.stall_timeout * 2,
                );
                let quiet = now.since(*progress.max(&silent)) > self.options.stall_timeout;
                let stuck = now.since(*progress) > alone;
                (quiet || stuck).then_some((*id, quiet))
            })
            .collect();
        for (id, quiet) in stalled {
            self.move_elsewhere(now, id, quiet, effects);
        }
    }

    pub(super) fn move_elsewhere(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        quiet: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let pending::Place::At { upstream, .. } = &request.place else {
            return;
        };
        if quiet && let Some(entry) = self.table.get_mut(upstream) {
            entry.avoid(now);
        }
        let may_move = request.route.is_repeatable()
            && request.runs + 1 < request.route.max_attempts
            && request.arrivals < super::MAX_SENDS
            && now + super::MIN_REMAINING < request.due;
        let service = self
            .config
            .as_ref()
            .and_then(|config| config.service(&request.service));
        let Some(service) = service.filter(|_| may_move) else {
            return;
        };
        let context = self.context(now, service);
        let pick::Choice::Upstream(target) = context.pick(&self.table, request) else {
            return;
        };
        let budget = self.budgets.get_mut(&request.service);
        if request.tried.contains(&target) || !budget.is_some_and(|budget| budget.take(now)) {
            return;
        }
        let decision = timeline::Decision::new("retried")
            .about(request.name.as_str())
            .with("cause", "stalled")
            .with("attempt", request.attempt);
        effects.push(super::record(decision));
        if let Some((upstream, _)) = self.release(id)
            && let Some(entry) = self.table.get_mut(&upstream)
        {
            entry.observe(now, true);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.runs += 1;
        }
        self.send(now, id, &target, effects);
    }
}
