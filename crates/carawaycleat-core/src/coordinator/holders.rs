use std::collections;

use crate::name;
use crate::revision;

/// The hosts that may have sent orders to engines within the time that orders of two coordinators must be apart.
///
/// Coordinators keep this record in the store, so that it outlives their processes: a host that starts does not know
/// whether an earlier process of the same host has sent orders.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::coordinator;
/// use carawaycleat_core::name;
///
/// let [first, second, third] = ["host-1", "host-2", "host-3"].map(|host| name::Name::parse(host).unwrap());
/// let holders = coordinator::Holders::only(first.clone()).succeeded_by(second.clone());
/// assert!(holders.may_include(&first) && holders.may_include(&second));
/// assert!(!holders.may_include(&third));
/// assert!(coordinator::Holders::default().may_include(&third));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Holders {
    /// The hosts that are known.
    pub hosts: collections::BTreeSet<name::Name>,
    /// Whether no other host has sent orders lately.
    pub is_complete: bool,
    /// The host that wrote the record; none if there is no record.
    pub writer: Option<name::Name>,
    /// The revision of the record.
    pub revision: revision::Revision,
}

impl Holders {
    /// Returns the record that `host` writes when no other host has sent orders lately.
    #[must_use]
    pub fn only(host: name::Name) -> Self {
        Self {
            hosts: collections::BTreeSet::from([host.clone()]),
            is_complete: true,
            writer: Some(host),
            revision: revision::Revision::default(),
        }
    }

    /// Returns the record that `host` writes when it is elected after these hosts. Its revision is the one that the write
    /// replaces.
    #[must_use]
    pub fn succeeded_by(mut self, host: name::Name) -> Self {
        self.hosts.insert(host.clone());
        self.writer = Some(host);
        self
    }

    /// Returns the record as it is to be read when the store's current era was recorded at `era_start`: one that may be from
    /// a copy lacks the hosts that have sent orders since the copy was made.
    #[must_use]
    pub fn in_era(mut self, era_start: Option<revision::Revision>) -> Self {
        self.is_complete &= self.revision.is_of_current_era(era_start);
        self
    }

    /// Returns whether `host` may have sent orders lately.
    #[must_use]
    pub fn may_include(&self, host: &name::Name) -> bool {
        !self.is_complete || self.hosts.contains(host)
    }

    /// Returns whether `host` is the only one that may have sent orders lately.
    #[must_use]
    pub fn is_only(&self, host: &name::Name) -> bool {
        self.is_complete && self.hosts.iter().eq([host])
    }
}
