use crate::name;
use crate::revision;

/// A change of the registered hosts.
#[derive(Clone, Debug)]
pub enum Change {
    /// The entry of a host has been written. Each process of a host writes it once.
    Joined {
        /// The host.
        host: name::Name,
        /// The revision of the entry.
        revision: revision::Revision,
    },
    /// The entry of a host has been removed, or its lease has expired.
    Left(name::Name),
    /// The availability zone of a host has been read.
    Located {
        /// The host.
        host: name::Name,
        /// Its availability zone.
        zone: name::Name,
    },
    /// All entries have been read. Hosts that joined before were there before this one.
    Listed,
}
