use std::collections;

use crate::revision;

/// The latest changes of the store, for hosts that receive them from the coordinator.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::coordinator;
/// use carawaycleat_core::revision;
///
/// let at = |number| revision::Revision::new(1, number);
/// let mut history = coordinator::History::new(100);
/// history.extend(at(10), []);
/// history.extend(at(12), [(at(11), "put", 3)]);
/// assert_eq!(history.since(at(10)), Some(vec![&"put"]));
/// assert_eq!(history.since(at(9)), None);
/// ```
#[derive(Clone, Debug)]
pub struct History<T> {
    max_bytes: usize,
    max_change_bytes: usize,
    bytes: usize,
    /// All changes after this revision are kept; the lowest revision before the history begins.
    base_revision: revision::Revision,
    last_revision: revision::Revision,
    /// The changes, each with its revision and size in bytes.
    changes: collections::VecDeque<(revision::Revision, T, usize)>,
}

impl<T> History<T> {
    /// Returns an empty history that keeps changes of at most `max_bytes` in total.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            max_change_bytes: max_bytes,
            bytes: 0,
            base_revision: revision::Revision::default(),
            last_revision: revision::Revision::default(),
            changes: collections::VecDeque::new(),
        }
    }

    /// Keeps no change of more than `max_change_bytes`, nor any before it. Hosts that lack such a change read the store,
    /// because passing it to all of them would take the coordinator's link for seconds.
    #[must_use]
    pub fn max_change_bytes(mut self, max_change_bytes: usize) -> Self {
        self.max_change_bytes = max_change_bytes;
        self
    }

    /// Adds the changes up to revision `through` that are newer than those recorded, each with its revision and size in
    /// bytes.
    ///
    /// The first call, and the first one of a new era, only set the base revision: their changes may miss removals, so
    /// they are not kept.
    pub fn extend(
        &mut self,
        through: revision::Revision,
        changes: impl IntoIterator<Item = (revision::Revision, T, usize)>,
    ) {
        if self.last_revision.number == 0 || through.era > self.last_revision.era {
            self.changes.clear();
            self.bytes = 0;
            self.base_revision = through;
        }
        let known = self.last_revision.max(self.base_revision);
        let newer = changes
            .into_iter()
            .filter(|(revision, ..)| known < *revision && *revision <= through);
        for (revision, change, size) in newer {
            if size > self.max_change_bytes {
                self.changes.clear();
                self.bytes = 0;
                self.base_revision = revision;
                continue;
            }
            self.bytes += size;
            self.changes.push_back((revision, change, size));
        }
        self.last_revision = self.last_revision.max(through);
        while self.bytes > self.max_bytes {
            let Some((revision, _, size)) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= size;
            self.base_revision = revision;
        }
    }

    /// Returns the revision up to which all changes are recorded.
    #[must_use]
    pub fn last_revision(&self) -> revision::Revision {
        self.last_revision
    }

    /// Returns the changes after `revision`, or none when some of them are no longer kept.
    #[must_use]
    pub fn since(&self, revision: revision::Revision) -> Option<Vec<&T>> {
        (revision >= self.base_revision && self.base_revision.number > 0).then(|| {
            let newer = self
                .changes
                .iter()
                .filter(|(changed, ..)| *changed > revision);
            newer.map(|(_, change, _)| change).collect()
        })
    }
}
