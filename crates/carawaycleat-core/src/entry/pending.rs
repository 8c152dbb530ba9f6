use std::collections;

use crate::clock;
use crate::name;
use crate::request;

/// The requests that wait for tokens, by workspace and in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct Pending {
    lines: collections::BTreeMap<name::Name, Line>,
}

#[derive(Debug, Default)]
struct Line {
    requests: collections::VecDeque<Waiting>,
    /// Until when no further peer is asked.
    asking_until: clock::Instant,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) id: request::Id,
    pub(super) tokens: u64,
    pub(super) until: clock::Instant,
}

impl Pending {
    pub(super) fn len(&self, workspace: &name::Name) -> usize {
        self.lines
            .get(workspace)
            .map_or(0, |line| line.requests.len())
    }

    pub(super) fn push(&mut self, workspace: name::Name, waiting: Waiting) {
        self.lines
            .entry(workspace)
            .or_default()
            .requests
            .push_back(waiting);
    }

    pub(super) fn first(&self, workspace: &name::Name) -> Option<Waiting> {
        self.lines.get(workspace)?.requests.front().copied()
    }

    pub(super) fn remove(&mut self, workspace: &name::Name, id: request::Id) {
        if let Some(line) = self.lines.get_mut(workspace) {
            line.requests.retain(|waiting| waiting.id != id);
            if line.requests.is_empty() {
                self.lines.remove(workspace);
            }
        }
    }

    pub(super) fn workspaces(&self) -> Vec<name::Name> {
        self.lines.keys().cloned().collect()
    }

    /// Returns the requests that have waited for too long.
    pub(super) fn late(&self, now: clock::Instant) -> Vec<request::Id> {
        let waiting = self.lines.values().flat_map(|line| &line.requests);
        waiting
            .filter(|waiting| waiting.until <= now)
            .map(|waiting| waiting.id)
            .collect()
    }

    /// Returns the tokens that all waiting requests of a workspace need.
    pub(super) fn tokens(&self, workspace: &name::Name) -> u64 {
        let requests = self.lines.get(workspace).map(|line| &line.requests);
        requests
            .into_iter()
            .flatten()
            .fold(0, |sum, waiting| sum.saturating_add(waiting.tokens))
    }

    /// Notes that peers are asked for tokens, and returns false while an earlier question is open.
    pub(super) fn ask(
        &mut self,
        now: clock::Instant,
        until: clock::Instant,
        workspace: &name::Name,
    ) -> bool {
        match self.lines.get_mut(workspace) {
            Some(line) if line.asking_until <= now => {
                line.asking_until = until;
                true
            }
            _ => false,
        }
    }

    pub(super) fn answered(&mut self, now: clock::Instant, workspace: &name::Name) {
        if let Some(line) = self.lines.get_mut(workspace) {
            line.asking_until = now;
        }
    }
}
