use std::fmt;

/// The 128-bit identifier of one attempt at a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(u128);

impl Id {
    /// Returns the identifier with the value `value`.
    pub const fn from_u128(value: u128) -> Self {
        Self(value)
    }

    /// Returns the identifier as a number.
    pub const fn as_u128(self) -> u128 {
        self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
