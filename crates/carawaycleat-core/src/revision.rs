//! Revisions of the platform's store across its restorations.

/// A revision of the store.
///
/// The store numbers its changes. When it is restored from an older copy, a new era begins, and it gives numbers out
/// again that it had given out after the copy was made. Every revision of an era is later than those of earlier eras.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::revision;
///
/// let before = revision::Revision::new(1, 138);
/// let after = revision::Revision::new(2, 107);
/// assert!(after > before);
/// assert!(after.fencing_token() > before.fencing_token());
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Revision {
    /// The number of times that the store has been restored; 0 when the store does not say.
    pub era: u64,
    /// The number of the change, which rises within an era.
    pub number: u64,
}

/// The bits of a fencing token that hold the number of the change. Ten thousand changes a second use them up in three
/// years, and eras up to 8,191 leave a token that a double-precision number represents exactly.
const NUMBER_BITS: u32 = 40;

impl Revision {
    /// Returns the revision with this number in an era.
    #[must_use]
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns whether what was written at this revision is of the store's current era, and not from the copy that the store
    /// was restored from. `era_start` is the revision at which the entry hosts recorded the current era; without that
    /// record, or before it, a write may be from the copy.
    #[must_use]
    pub fn is_of_current_era(self, era_start: Option<Self>) -> bool {
        self.era == 0 || era_start.is_some_and(|start| start.era == self.era && start < self)
    }

    /// Returns a fencing token that is higher than those of all earlier revisions.
    #[must_use]
    pub const fn fencing_token(self) -> u64 {
        (self.era << NUMBER_BITS) | self.number
    }
}
