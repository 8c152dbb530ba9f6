use std::fmt;

use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

const BYTES: usize = 32;

/// The SHA-256 digest of a key.
///
/// Comparison takes the same time wherever the digests differ. The `Debug` output omits the digest, so that a log line
/// cannot be matched with a stored key.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::key;
///
/// let digest = key::Digest::of("secret");
/// assert_eq!(key::Digest::parse(&digest.to_hex()), Ok(digest));
/// ```
#[derive(Clone, Copy)]
pub struct Digest([u8; BYTES]);

impl Digest {
    /// Returns the digest of a key's text.
    pub fn of(text: &str) -> Self {
        Self(sha2::Sha256::digest(text.as_bytes()).into())
    }

    /// Parses 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns an error when `hex` has another length or another character.
    pub fn parse(hex: &str) -> super::Result<Self> {
        let digits = hex.as_bytes();
        if digits.len() != BYTES * 2 {
            return Err(super::Error::Format);
        }
        let mut bytes = [0; BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = nibble(pair[0])? << 4 | nibble(pair[1])?;
        }
        Ok(Self(bytes))
    }

    /// Returns the digest as 64 lower-case hexadecimal digits.
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns the first two bytes.
    pub(super) const fn prefix(&self) -> u16 {
        u16::from_be_bytes([self.0[0], self.0[1]])
    }

    /// Compares two digests in constant time.
    pub(super) fn matches(&self, other: &Self) -> subtle::Choice {
        self.0.ct_eq(&other.0)
    }
}

/// Returns the value of a hexadecimal digit.
fn nibble(digit: u8) -> super::Result<u8> {
    match digit {
        b'0'..=b'9' => Ok(digit - b'0'),
        b'a'..=b'f' => Ok(digit - b'a' + 10),
        b'A'..=b'F' => Ok(digit - b'A' + 10),
        _ => Err(super::Error::Format),
    }
}

impl PartialEq for Digest {
    fn eq(&self, other: &Self) -> bool {
        self.matches(other).into()
    }
}

impl Eq for Digest {}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}
