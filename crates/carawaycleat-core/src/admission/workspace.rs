use std::collections;
use std::time;

use crate::clock;

/// A queued request with the time and order of its arrival.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) request: super::Request,
    pub(super) queued_at: clock::Instant,
    /// The position in the order of arrival over all workspaces.
    pub(super) order: u64,
}

/// The position of a request in a [`Queue`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Position {
    /// The class that the request counts as, which is more urgent than its own after a long wait.
    pub(super) effective_class: super::Class,
    /// The class of the request, by which it is queued.
    pub(super) class: super::Class,
    /// The index among the requests of its class.
    pub(super) index: usize,
    /// The position in the order of arrival over all workspaces.
    pub(super) order: u64,
}

/// The queued requests of one workspace.
#[derive(Clone, Debug)]
pub(super) struct Queue {
    /// The requests of each class, in the order of arrival.
    classes: [collections::VecDeque<Entry>; 3],
    /// The bytes that the requests hold.
    pub(super) bytes: usize,
    /// The number of tokens that the workspace may still use in this round; negative when it has used more.
    pub(super) credit: i64,
}

impl Queue {
    pub(super) fn new(credit: i64) -> Self {
        Self {
            classes: Default::default(),
            bytes: 0,
            credit,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.classes.iter().map(collections::VecDeque::len).sum()
    }

    /// Returns the number of queued requests of `class`.
    pub(super) fn len_of(&self, class: super::Class) -> usize {
        self.classes[usize::from(class.priority())].len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.classes.iter().flatten()
    }

    pub(super) fn push(&mut self, entry: Entry) {
        let class = usize::from(entry.request.class.priority());
        self.bytes += entry.request.bytes;
        self.classes[class].push_back(entry);
    }

    /// Returns the position of the first request, by effective class and arrival, for which `can_run` returns true.
    pub(super) fn find<'a>(
        &'a self,
        now: clock::Instant,
        batch_aging: time::Duration,
        can_run: &mut impl FnMut(&'a super::Request) -> bool,
    ) -> Option<Position> {
        let live = self.first(super::Class::Live, |_| true, can_run);
        live.or_else(|| {
            let short = self.first(super::Class::Short, |_| true, can_run);
            let is_aged = |entry: &Entry| now.since(entry.queued_at) >= batch_aging;
            let batch = self
                .first(super::Class::Batch, is_aged, can_run)
                .map(|position| Position {
                    effective_class: super::Class::Short,
                    ..position
                });
            short
                .into_iter()
                .chain(batch)
                .min_by_key(|position| position.order)
        })
        .or_else(|| self.first(super::Class::Batch, |_| true, can_run))
    }

    /// Returns the position of the request that arrived first.
    pub(super) fn oldest(&self) -> Option<Position> {
        super::Class::ALL
            .into_iter()
            .filter_map(|class| self.first(class, |_| true, &mut |_| true))
            .min_by_key(|position| position.order)
    }

    pub(super) fn get(&self, position: Position) -> Option<&Entry> {
        self.classes[usize::from(position.class.priority())].get(position.index)
    }

    pub(super) fn take(&mut self, position: Position) -> Option<super::Request> {
        let class = usize::from(position.class.priority());
        let entry = self.classes[class].remove(position.index)?;
        self.bytes -= entry.request.bytes;
        Some(entry.request)
    }

    /// Removes and returns the requests for which `matches` returns true.
    pub(super) fn remove(
        &mut self,
        matches: &mut impl FnMut(&super::Request) -> bool,
    ) -> Vec<super::Request> {
        let mut removed = Vec::new();
        for class in &mut self.classes {
            class.retain(|entry| {
                let is_match = matches(&entry.request);
                if is_match {
                    self.bytes -= entry.request.bytes;
                    removed.push(entry.request.clone());
                }
                !is_match
            });
        }
        removed
    }

    /// Returns the position of the first request of `class` for which `can_run` returns true, among those before the
    /// first that is not eligible.
    fn first<'a>(
        &'a self,
        class: super::Class,
        is_eligible: impl Fn(&Entry) -> bool,
        can_run: &mut impl FnMut(&'a super::Request) -> bool,
    ) -> Option<Position> {
        let queue = &self.classes[usize::from(class.priority())];
        let mut entries = queue
            .iter()
            .enumerate()
            .take_while(|(_, entry)| is_eligible(entry));
        let (index, found) = entries.find(|(_, entry)| can_run(&entry.request))?;
        Some(Position {
            effective_class: class,
            class,
            index,
            order: found.order,
        })
    }
}
