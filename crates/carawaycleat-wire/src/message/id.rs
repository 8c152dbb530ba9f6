use std::fmt;

/// The 128-bit identifier of a request, unique over all hosts.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Id(u64, u64);

impl Id {
    /// Returns the identifier with the value `value`.
    pub const fn from_u128(value: u128) -> Self {
        Self((value >> 64) as u64, value as u64)
    }

    /// Returns the value.
    pub const fn as_u128(self) -> u128 {
        ((self.0 as u128) << 64) | self.1 as u128
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.as_u128())
    }
}
