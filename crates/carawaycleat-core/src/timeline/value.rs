use std::time;

use crate::name;

/// A value of a field of a [`Decision`](super::Decision).
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
#[serde(untagged)]
pub enum Value {
    /// A truth value.
    Flag(bool),
    /// A count, a version, or a time in the unit that the field's name states.
    Number(u64),
    /// One of a fixed set of words.
    Word(&'static str),
    /// The name of a host, upstream, workspace or other resource.
    Name(name::Name),
    /// Free text for operators.
    Text(String),
}

impl Value {
    /// Returns a duration in whole milliseconds.
    #[must_use]
    pub fn millis(duration: time::Duration) -> Self {
        Self::Number(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl From<bool> for Value {
    fn from(flag: bool) -> Self {
        Self::Flag(flag)
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Number(number)
    }
}

impl From<u32> for Value {
    fn from(number: u32) -> Self {
        Self::Number(number.into())
    }
}

impl From<u16> for Value {
    fn from(number: u16) -> Self {
        Self::Number(number.into())
    }
}

impl From<usize> for Value {
    fn from(number: usize) -> Self {
        Self::Number(u64::try_from(number).unwrap_or(u64::MAX))
    }
}

impl From<&'static str> for Value {
    fn from(word: &'static str) -> Self {
        Self::Word(word)
    }
}

impl From<name::Name> for Value {
    fn from(name: name::Name) -> Self {
        Self::Name(name)
    }
}

impl From<&name::Name> for Value {
    fn from(name: &name::Name) -> Self {
        Self::Name(name.clone())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}
