use crate::name;

/// A caller's key, of which only the digest is stored.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The workspace that requests with this key run for.
    pub workspace: name::Name,
    /// The SHA-256 digest of the key, as 64 lower-case hexadecimal digits.
    pub digest: String,
}

const DIGEST_DIGITS: usize = 64;

impl Key {
    pub(super) fn validate(&self) -> super::Result<()> {
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if self.digest.len() != DIGEST_DIGITS || !self.digest.bytes().all(is_digit) {
            return Err(super::Error::Field(
                "digest",
                "64 lower-case hexadecimal digits of a SHA-256 digest",
            ));
        }
        Ok(())
    }
}
