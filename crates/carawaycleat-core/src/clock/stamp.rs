use std::fmt;

use crate::name;

/// A timestamp of a hybrid logical clock.
///
/// Stamps are totally ordered by wall-clock time, then counter, then host name.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Stamp {
    /// The wall-clock time, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The number of the stamp among those with the same wall-clock time.
    pub counter: u64,
    /// The host whose clock issued the stamp.
    pub host: name::Name,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}@{}", self.wall_ms, self.counter, self.host)
    }
}
