use std::sync;

use carawaycleat_core::entry;
use carawaycleat_core::placement;
use carawaycleat_core::timeline;
use carawaycleat_wire as wire;

use super::claims;
use super::context;
use super::exchange;
use super::mailbox;
use super::shards;
use crate::log;

impl context::Context {
    /// Performs an effect of the reducer without waiting.
    pub(super) fn perform(self: &sync::Arc<Self>, effect: entry::Effect) {
        match effect {
            entry::Effect::CountDemand {
                model,
                adapter,
                tokens,
            } => {
                self.count_demand(&placement::Subject { model, adapter }, tokens);
            }
            entry::Effect::Claim { request, key } => {
                self.send(request, mailbox::Message::Claim(key))
            }
            entry::Effect::ResolveClaim { request, outcome } => {
                self.spawn(claims::resolve(self.clone(), request, outcome));
            }
            entry::Effect::Dispatch {
                request,
                attempt,
                upstream,
                workspace,
                idempotent,
                position,
            } => {
                let dispatch = mailbox::Dispatch {
                    attempt,
                    upstream,
                    workspace,
                    idempotent,
                    position,
                };
                self.send(request, mailbox::Message::Dispatch(dispatch));
            }
            // The task that received the content forwards it to the caller.
            entry::Effect::Deliver(_) => {}
            entry::Effect::Finish { request, count } => {
                self.send(request, mailbox::Message::Finish(count));
            }
            entry::Effect::Refuse(request, refusal) => {
                self.metric.count_refusal(refusal.reason);
                self.send(request, mailbox::Message::Refuse(refusal));
            }
            entry::Effect::Cancel {
                request,
                attempt,
                upstream,
            } => {
                self.send(request, mailbox::Message::Cancel(attempt));
                let id = wire::Id::from_u128(attempt.as_u128());
                self.spawn(exchange::cancel(self.clone(), id, upstream));
            }
            entry::Effect::Borrow {
                host,
                workspace,
                tokens,
            } => {
                self.spawn(exchange::borrow(self.clone(), host, workspace, tokens));
            }
            // The response to the peer carries the transfer; see `lend`.
            entry::Effect::Lend { .. } => {}
            entry::Effect::Fetch { host, since } => {
                self.spawn(exchange::fetch(self.clone(), host, since));
            }
            entry::Effect::Shards(effect) => self.spawn(shards::perform(self.clone(), effect)),
            entry::Effect::CountTokens {
                workspace,
                flow,
                tokens,
            } => self.metric.count_tokens(&workspace, flow, tokens),
            entry::Effect::CountRetry(decision) => self.metric.count_retry(decision),
            entry::Effect::Record(record) => self.apply_record(record),
            entry::Effect::Exit => {
                self.exit_sender.close();
            }
        }
    }

    /// Records an event in the timeline, counts ejections, and logs changes of the host's state.
    fn apply_record(&self, record: entry::Record) {
        match record.kind {
            timeline::Kind::Ejected => self.metric.ejections.inc(),
            timeline::Kind::StateChanged | timeline::Kind::Leaving => {
                log::info(&format!("{}: {}", record.kind, record.detail));
            }
            _ => {}
        }
        self.record(record);
    }
}
