use std::collections;

/// The latest changes of the store, for hosts that receive them from the coordinator.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::coordinator;
///
/// let mut history = coordinator::History::new(100);
/// history.extend(10, []);
/// history.extend(12, [(11, "put", 3)]);
/// assert_eq!(history.since(10), Some(vec![&"put"]));
/// assert_eq!(history.since(9), None);
/// ```
#[derive(Clone, Debug)]
pub struct History<T> {
    max_bytes: usize,
    bytes: usize,
    /// All changes after this revision are kept; 0 before the history begins.
    base_revision: u64,
    last_revision: u64,
    /// The changes, each with its revision and size in bytes.
    changes: collections::VecDeque<(u64, T, usize)>,
}

impl<T> History<T> {
    /// Returns an empty history that keeps changes of at most `max_bytes` in total.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            base_revision: 0,
            last_revision: 0,
            changes: collections::VecDeque::new(),
        }
    }

    /// Adds the changes up to revision `through` that are newer than those recorded, each with its revision and size in
    /// bytes.
    ///
    /// The first call only sets the base revision: its changes may miss removals, so they are not kept.
    pub fn extend(&mut self, through: u64, changes: impl IntoIterator<Item = (u64, T, usize)>) {
        if self.last_revision == 0 {
            self.base_revision = through;
        }
        let known = self.last_revision.max(self.base_revision);
        let newer = changes
            .into_iter()
            .filter(|(revision, ..)| (known + 1..=through).contains(revision));
        for (revision, change, size) in newer {
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
    pub fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// Returns the changes after `revision`, or none when some of them are no longer kept.
    #[must_use]
    pub fn since(&self, revision: u64) -> Option<Vec<&T>> {
        (revision >= self.base_revision && self.base_revision > 0).then(|| {
            let newer = self
                .changes
                .iter()
                .filter(|(changed, ..)| *changed > revision);
            newer.map(|(_, change, _)| change).collect()
        })
    }
}
