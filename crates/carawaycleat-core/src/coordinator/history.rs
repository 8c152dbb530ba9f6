use std::collections;

/// The latest changes of the store, for hosts that hear of them from the coordinator.
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
    limit: usize,
    size: usize,
    /// All changes after this revision are there.
    from: u64,
    through: u64,
    changes: collections::VecDeque<(u64, T, usize)>,
}

impl<T> History<T> {
    /// Returns an empty history that keeps changes of `limit` bytes in total.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            size: 0,
            from: 0,
            through: 0,
            changes: collections::VecDeque::new(),
        }
    }

    /// Adds the changes up to `through` that are newer than those before, each with its revision and size in bytes.
    ///
    /// The first call begins the history: what it adds may miss removals, so it is not kept.
    pub fn extend(&mut self, through: u64, changes: impl IntoIterator<Item = (u64, T, usize)>) {
        if self.through == 0 {
            self.from = through;
        }
        let known = self.through.max(self.from);
        let newer = changes
            .into_iter()
            .filter(|(revision, ..)| (known + 1..=through).contains(revision));
        for (revision, change, size) in newer {
            self.size += size;
            self.changes.push_back((revision, change, size));
        }
        self.through = self.through.max(through);
        while self.size > self.limit {
            let Some((revision, _, size)) = self.changes.pop_front() else {
                break;
            };
            self.size -= size;
            self.from = revision;
        }
    }

    /// Returns the revision up to which all changes are recorded.
    #[must_use]
    pub fn last_revision(&self) -> u64 {
        self.through
    }

    /// Returns the changes after `revision`, or none when some of them are no longer there.
    #[must_use]
    pub fn since(&self, revision: u64) -> Option<Vec<&T>> {
        (revision >= self.from && self.from > 0).then(|| {
            let changes = self.changes.iter().filter(|(at, ..)| *at > revision);
            changes.map(|(_, change, _)| change).collect()
        })
    }
}
