use std::collections;

use crate::clock;
use crate::name;
use crate::request;

/// Requests that wait for tokens: one queue per workspace, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct Waitlist {
    queues: collections::BTreeMap<name::Name, Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    requests: collections::VecDeque<Waiter>,
    /// Time until which an earlier request for tokens to peers is open, and no further one is sent.
    borrowing_until: clock::Instant,
}

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) id: request::Id,
    pub(super) tokens: u64,
    /// Time after which the request is refused.
    pub(super) deadline: clock::Instant,
}

impl Waitlist {
    pub(super) fn len(&self, workspace: &name::Name) -> usize {
        self.queues
            .get(workspace)
            .map_or(0, |queue| queue.requests.len())
    }

    pub(super) fn push(&mut self, workspace: name::Name, waiter: Waiter) {
        self.queues
            .entry(workspace)
            .or_default()
            .requests
            .push_back(waiter);
    }

    pub(super) fn first(&self, workspace: &name::Name) -> Option<Waiter> {
        self.queues.get(workspace)?.requests.front().copied()
    }

    pub(super) fn remove(&mut self, workspace: &name::Name, id: request::Id) {
        if let Some(queue) = self.queues.get_mut(workspace) {
            queue.requests.retain(|waiter| waiter.id != id);
            if queue.requests.is_empty() {
                self.queues.remove(workspace);
            }
        }
    }

    pub(super) fn workspaces(&self) -> Vec<name::Name> {
        self.queues.keys().cloned().collect()
    }

    /// Returns the requests whose deadline has passed.
    pub(super) fn overdue(&self, now: clock::Instant) -> Vec<request::Id> {
        let waiters = self.queues.values().flat_map(|queue| &queue.requests);
        waiters
            .filter(|waiter| waiter.deadline <= now)
            .map(|waiter| waiter.id)
            .collect()
    }

    /// Returns the number of tokens that all waiting requests of a workspace need together.
    pub(super) fn tokens(&self, workspace: &name::Name) -> u64 {
        let requests = self.queues.get(workspace).map(|queue| &queue.requests);
        requests
            .into_iter()
            .flatten()
            .fold(0, |sum, waiter| sum.saturating_add(waiter.tokens))
    }

    /// Records that tokens are requested from peers and that this request is open until `until`, and returns true.
    /// Returns false if no request waits for tokens or an earlier request to peers is open.
    pub(super) fn begin_borrow(
        &mut self,
        now: clock::Instant,
        until: clock::Instant,
        workspace: &name::Name,
    ) -> bool {
        match self.queues.get_mut(workspace) {
            Some(queue) if queue.borrowing_until <= now => {
                queue.borrowing_until = until;
                true
            }
            _ => false,
        }
    }

    pub(super) fn end_borrow(&mut self, now: clock::Instant, workspace: &name::Name) {
        if let Some(queue) = self.queues.get_mut(workspace) {
            queue.borrowing_until = now;
        }
    }
}
