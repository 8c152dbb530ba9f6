//! Names of resources, hosts and requests.

use std::borrow;
use std::fmt;
use std::ops;
use std::sync;

quick_error! {
    /// An error of [`Name::parse`].
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The name is empty.
        Empty {
            display("a name must not be empty")
        }
        /// The name is longer than [`Name::MAX_BYTES`].
        Long(bytes: usize) {
            display("a name has at most {} bytes, this one has {bytes}", Name::MAX_BYTES)
        }
        /// The name has a character that is not permitted.
        Character(found: char) {
            display("character {found:?} is not allowed in a name; allowed are a-z, A-Z, 0-9, '-', '_', '.' and '@'")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A name of a resource, host or request, which is cheap to clone.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::name;
///
/// let name = name::Name::parse("summary-small").expect("a valid name");
/// assert_eq!(name.as_str(), "summary-small");
/// assert!(name::Name::parse("a/b").is_err());
/// ```
#[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(try_from = "String")]
pub struct Name(sync::Arc<str>);

impl Name {
    /// The maximum length of a name, in bytes.
    pub const MAX_BYTES: usize = 128;

    /// Parses a name.
    ///
    /// # Errors
    ///
    /// Returns an error when `text` is empty, too long, or has a character that is not permitted.
    pub fn parse(text: &str) -> Result<Self> {
        if text.is_empty() {
            return Err(Error::Empty);
        }
        if text.len() > Self::MAX_BYTES {
            return Err(Error::Long(text.len()));
        }
        match text.chars().find(|&c| !is_permitted(c)) {
            Some(found) => Err(Error::Character(found)),
            None => Ok(Self(text.into())),
        }
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn is_permitted(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '@')
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        Self::parse(&text)
    }
}

impl borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl ops::Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&*self.0, f)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
