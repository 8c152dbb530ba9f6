use std::collections;
use std::time;

use crate::clock;

/// A request with the time and order of its arrival.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) request: super::Request,
    pub(super) since: clock::Instant,
    pub(super) order: u64,
}

/// The place of a request in a [`Line`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    /// The class that the request counts as.
    pub(super) class: super::Class,
    /// The class whose queue holds it.
    pub(super) held_in: super::Class,
    pub(super) index: usize,
    pub(super) order: u64,
}

/// The waiting requests of one workspace.
#[derive(Clone, Debug)]
pub(super) struct Line {
    classes: [collections::VecDeque<Waiting>; 3],
    pub(super) bytes: usize,
    /// The tokens that the workspace may still use in this round; negative when it has used more.
    pub(super) credit: i64,
}

impl Line {
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

    /// Returns the number of waiting requests of `class`.
    pub(super) fn len_of(&self, class: super::Class) -> usize {
        self.classes[usize::from(class.priority())].len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.classes.iter().flatten()
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let class = usize::from(waiting.request.class.priority());
        self.bytes += waiting.request.bytes;
        self.classes[class].push_back(waiting);
    }

    /// Returns the place of the first request in class order for which `can_run` holds.
    pub(super) fn find<'a>(
        &'a self,
        now: clock::Instant,
        batch_aging: time::Duration,
        can_run: &mut impl FnMut(&'a super::Request) -> bool,
    ) -> Option<Place> {
        let live = self.first(super::Class::Live, |_| true, can_run);
        live.or_else(|| {
            let short = self.first(super::Class::Short, |_| true, can_run);
            let aged = |waiting: &Waiting| now.since(waiting.since) >= batch_aging;
            let batch = self
                .first(super::Class::Batch, aged, can_run)
                .map(|place| Place {
                    class: super::Class::Short,
                    ..place
                });
            short
                .into_iter()
                .chain(batch)
                .min_by_key(|place| place.order)
        })
        .or_else(|| self.first(super::Class::Batch, |_| true, can_run))
    }

    /// Returns the place of the request that arrived first.
    pub(super) fn oldest(&self) -> Option<Place> {
        super::Class::ALL
            .into_iter()
            .filter_map(|class| self.first(class, |_| true, &mut |_| true))
            .min_by_key(|place| place.order)
    }

    pub(super) fn get(&self, place: Place) -> Option<&Waiting> {
        self.classes[usize::from(place.held_in.priority())].get(place.index)
    }

    pub(super) fn take(&mut self, place: Place) -> Option<super::Request> {
        let class = usize::from(place.held_in.priority());
        let waiting = self.classes[class].remove(place.index)?;
        self.bytes -= waiting.request.bytes;
        Some(waiting.request)
    }

    /// Removes and returns the requests that match.
    pub(super) fn remove(
        &mut self,
        matches: &mut impl FnMut(&super::Request) -> bool,
    ) -> Vec<super::Request> {
        let mut removed = Vec::new();
        for class in &mut self.classes {
            class.retain(|waiting| {
                let is_match = matches(&waiting.request);
                if is_match {
                    self.bytes -= waiting.request.bytes;
                    removed.push(waiting.request.clone());
                }
                !is_match
            });
        }
        removed
    }

    fn first<'a>(
        &'a self,
        class: super::Class,
        eligible: impl Fn(&Waiting) -> bool,
        can_run: &mut impl FnMut(&'a super::Request) -> bool,
    ) -> Option<Place> {
        let queue = &self.classes[usize::from(class.priority())];
        let mut waiting = queue
            .iter()
            .enumerate()
            .take_while(|(_, waiting)| eligible(waiting));
        let (index, found) = waiting.find(|(_, waiting)| can_run(&waiting.request))?;
        Some(Place {
            class,
            held_in: class,
            index,
            order: found.order,
        })
    }
}
