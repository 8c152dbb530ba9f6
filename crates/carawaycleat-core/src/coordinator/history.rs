use std::collections;

/// The latest changes of the store, for hosts that hear of them from the coordinator.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::coordinator;
///
/// let mut history = coordinator::History::new(100);
/// history.restart(10);
/// history.record(11, "put", 3);
/// history.pass(12);
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

    /// Begins anew after everything was read at `revision`.
    pub fn restart(&mut self, revision: u64) {
        self.changes.clear();
        self.size = 0;
        self.from = revision;
        self.through = revision;
    }

    /// Adds a change of `size` bytes. One that is known already is dropped.
    pub fn record(&mut self, revision: u64, change: T, size: usize) {
        if self
            .changes
            .back()
            .is_some_and(|(last, ..)| *last >= revision)
            || revision <= self.from
        {
            return;
        }
        self.size += size;
        self.changes.push_back((revision, change, size));
        while self.size > self.limit {
            let Some((revision, _, size)) = self.changes.pop_front() else {
                return;
            };
            self.size -= size;
            self.from = revision;
        }
    }

    /// Notes that all changes up to `revision` are recorded.
    pub fn pass(&mut self, revision: u64) {
        self.through = self.through.max(revision);
    }

    /// Returns the revision up to which all changes are recorded.
    #[must_use]
    pub fn through(&self) -> u64 {
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
