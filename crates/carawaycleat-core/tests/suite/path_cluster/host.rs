//! Entry hosts: the events of their reducers and the execution of their effects.

use carawaycleat_core::claim;
use carawaycleat_core::entry;
use carawaycleat_core::name;
use carawaycleat_core::rate;
use carawaycleat_core::request;

use super::index_of;
use super::request_of;
use crate::path_fake as fake;

impl super::Cluster {
    pub(super) fn step_host(
        &mut self,
        host: usize,
        event: entry::Event,
        content: Option<fake::Content>,
    ) {
        let event = match self.rule {
            super::Rule::TrustResponses => self.trust_response(event),
            _ => event,
        };
        if let (entry::Event::Attempt(attempt, _), Some(content)) = (&event, content) {
            let request = request_of(*attempt);
            if self.still_served.contains(&request) {
                self.deliver_part(request, content);
                return;
            }
        }
        if let entry::Event::Changes { through, .. } = &event {
            self.hosts[host].last_received = *through;
        }
        let now = self.clock(host);
        let Some(reducer) = &mut self.hosts[host].reducer else {
            return;
        };
        let is_head = matches!(event, entry::Event::Attempt(_, entry::Progress::Head(_)));
        let mut effects = reducer.step(now, event);
        if self.rule == super::Rule::CheckOnArrival {
            // The refusal, which this rule ignores, must precede the cancellation of the attempt.
            effects.sort_by_key(|effect| !matches!(effect, entry::Effect::Refuse(..)));
        }
        for effect in effects {
            self.perform(host, effect, content, is_head);
        }
    }

    /// Applies the naive rule that accepts any part of a response as the next one, and any end as its end.
    pub(super) fn trust_response(&mut self, event: entry::Event) -> entry::Event {
        let entry::Event::Attempt(attempt, progress) = event else {
            return event;
        };
        let count = self.naive_positions.entry(request_of(attempt)).or_default();
        let progress = match progress {
            entry::Progress::Token { .. } => {
                *count += 1;
                entry::Progress::Token {
                    frame_attempt: attempt,
                    position: *count - 1,
                }
            }
            entry::Progress::Bytes(bytes) => {
                *count += bytes;
                entry::Progress::Bytes(bytes)
            }
            entry::Progress::Ended { .. } => entry::Progress::Ended {
                frame_attempt: attempt,
                count: *count,
            },
            other => other,
        };
        entry::Event::Attempt(attempt, progress)
    }

    pub(super) fn perform(
        &mut self,
        host: usize,
        effect: entry::Effect,
        content: Option<fake::Content>,
        is_head: bool,
    ) {
        match effect {
            entry::Effect::Claim { request, key } => {
                let operation = request.as_u128();
                let (machine, action) =
                    claim::Machine::new(self.clock(host), operation, fake::host(host));
                let deadline = self.now + super::CLAIM_TIMEOUT_MS;
                self.hosts[host]
                    .claims
                    .insert(request, (key, machine, deadline));
                self.perform_claim(host, request, action);
            }
            entry::Effect::ResolveClaim { request, outcome } => {
                self.step_claim(host, request, claim::Event::Ended(outcome, 200));
            }
            entry::Effect::Dispatch {
                request,
                attempt,
                upstream,
                workspace,
                idempotent,
                position,
            } => {
                let caller = &self.callers[&request];
                let forwarded_key = match self.rule {
                    super::Rule::ForwardHeaders => fake::secret(caller.workspace),
                    _ => String::new(),
                };
                let job = fake::Job {
                    host,
                    sent: self.origin(host),
                    request,
                    attempt,
                    workspace,
                    idempotent,
                    claim: caller.claim.clone().filter(|_| !idempotent),
                    position,
                    forwarded_key,
                };
                self.dispatched += 1;
                self.send_job(index_of(&upstream), job);
            }
            entry::Effect::Deliver(id) => {
                if is_head && let Some(caller) = self.callers.get_mut(&id) {
                    caller.heads += 1;
                }
                if let Some(content) = content {
                    self.deliver_part(id, content);
                }
            }
            entry::Effect::Finish { request, .. } => {
                self.finished += 1;
                if let Some(caller) = self.callers.get_mut(&request) {
                    caller.is_finished = true;
                }
            }
            // Metrics of the daemon. The cluster keeps its own record of tokens and attempts.
            entry::Effect::CountDemand { .. }
            | entry::Effect::CountTokens { .. }
            | entry::Effect::CountRetry(_) => {}
            entry::Effect::Refuse(id, refusal) => self.record_refusal(id, &refusal),
            entry::Effect::Cancel {
                attempt, upstream, ..
            } => {
                let is_kept = self.still_served.contains(&request_of(attempt));
                if !is_kept && !self.is_partitioned_from(host, index_of(&upstream)) {
                    self.drop_runs(index_of(&upstream), |run| run.job.attempt == attempt, None);
                }
            }
            entry::Effect::Borrow {
                host: peer,
                workspace,
                tokens,
            } => self.borrow(host, index_of(&peer), workspace, tokens),
            entry::Effect::Lend { .. } | entry::Effect::Record(_) => {}
            entry::Effect::Fetch { host: peer, since } => self.fetch(host, index_of(&peer), since),
            entry::Effect::Shards(effect) => self.perform_shards(host, effect),
            entry::Effect::Exit => {
                self.hosts[host].has_exited = true;
                self.hosts[host].reducer = None;
            }
        }
    }

    pub(super) fn fetch(&mut self, host: usize, peer: usize, since: u64) {
        if self.is_partitioned(host == 0, peer == 0) || self.rule == super::Rule::NoRefetch {
            return;
        }
        let Some(reducer) = &self.hosts[peer].reducer else {
            return;
        };
        let through = reducer.configuration().revision();
        let event = match reducer.configuration().changes_since(since) {
            Some(changes) => entry::Event::Changes {
                since,
                through,
                changes,
            },
            None => entry::Event::Listing {
                revision: through,
                pairs: reducer.configuration().listing(),
            },
        };
        let incarnation = self.hosts[host].incarnation;
        self.send(
            0,
            super::Message::Host(host, incarnation, Box::new(event), None),
        );
    }

    pub(super) fn borrow(&mut self, host: usize, peer: usize, workspace: name::Name, tokens: u64) {
        let requested_at = self.clock(host);
        let transfer = u128::from(self.sent) + 1;
        let now = self.clock(peer);
        let is_reachable =
            !self.is_partitioned(host == 0, peer == 0) && self.now >= self.hosts[peer].paused_until;
        let mut lent = None;
        if let Some(reducer) = self.hosts[peer].reducer.as_mut().filter(|_| is_reachable) {
            let event = entry::Event::TokensRequested {
                transfer,
                workspace: workspace.clone(),
                tokens,
            };
            for effect in reducer.step(now, event) {
                if let entry::Effect::Lend { tokens, .. } = effect {
                    lent = Some(tokens);
                }
            }
        }
        let event = entry::Event::BorrowResolved {
            requested_at,
            transfer: lent.map(|_| transfer),
            workspace,
            tokens: lent.unwrap_or(0),
        };
        let incarnation = self.hosts[host].incarnation;
        self.send(
            0,
            super::Message::Host(host, incarnation, Box::new(event), None),
        );
    }

    pub(super) fn perform_shards(&mut self, host: usize, effect: rate::Effect) {
        let has_store = self.has_store(host);
        let event = match effect {
            rate::Effect::Write(write) => {
                let result = if has_store {
                    let lost = self.store.responses_to_lose;
                    let result = self.store.shards(&write);
                    self.count_hits(
                        super::Fault::StoreResponseLost,
                        u64::from(self.store.responses_to_lose < lost),
                    );
                    result
                } else {
                    rate::Outcome::Unknown
                };
                entry::Event::ShardsWritten(write.id, result)
            }
            rate::Effect::Read(numbers) if has_store => {
                entry::Event::ShardsRead(self.store.read_shards(&numbers))
            }
            rate::Effect::Read(_) => return,
        };
        let (incarnation, delay) = (self.hosts[host].incarnation, self.store_delay());
        self.send(
            delay,
            super::Message::Host(host, incarnation, Box::new(event), None),
        );
    }

    pub(super) fn step_claim(&mut self, host: usize, id: request::Id, event: claim::Event) {
        let now = self.clock(host);
        if self.rule == super::Rule::AssumeClaim && event == claim::Event::NoResponse {
            return self.step_host(host, entry::Event::ClaimResolved(id, Ok(())), None);
        }
        let Some((_, machine, _)) = self.hosts[host].claims.get_mut(&id) else {
            return;
        };
        let action = machine.step(now, event);
        self.perform_claim(host, id, action);
    }

    pub(super) fn perform_claim(&mut self, host: usize, id: request::Id, action: claim::Action) {
        let Some((key, machine, _)) = self.hosts[host].claims.get(&id) else {
            return;
        };
        let key = key.clone();
        match &action {
            claim::Action::Dispatch => {
                self.step_host(host, entry::Event::ClaimResolved(id, Ok(())), None);
            }
            claim::Action::Refuse(reason, outcome) => {
                let next = machine.begin_cleanup();
                let refusal = entry::Refusal::new(*reason, *outcome, "");
                self.step_host(host, entry::Event::ClaimResolved(id, Err(refusal)), None);
                self.perform_claim(host, id, next);
            }
            claim::Action::Done => {}
            _ => {
                let is_retry = matches!(action, claim::Action::ReadAt(_));
                let mut delay = self.store_delay() + if is_retry { 1_000 } else { 0 };
                let event = if self.has_store(host) {
                    let lost = self.store.responses_to_lose;
                    let event = self.store.claim(&key, &action);
                    self.count_hits(
                        super::Fault::StoreResponseLost,
                        u64::from(self.store.responses_to_lose < lost),
                    );
                    event
                } else {
                    delay += super::STEP_MS;
                    claim::Event::NoResponse
                };
                let incarnation = self.hosts[host].incarnation;
                self.send(delay, super::Message::Claim(host, incarnation, id, event));
            }
        }
    }
}
