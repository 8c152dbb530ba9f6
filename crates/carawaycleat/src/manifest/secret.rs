use std::fmt::Write as _;
use std::fs;
use std::path;

use sha2::Digest as _;

/// The maximum length of a secret in bytes; a secret has to fit into a request header.
const MAX_SECRET_BYTES: usize = 4_096;

/// The allowed values of `secret_file`.
pub(super) const ALLOWED: &str =
    "the path of a file with one line of 1 to 4096 printable ASCII characters without spaces";

/// Returns the SHA-256 digest of the secret in the file at `path`, in hexadecimal digits.
///
/// A trailing line ending is not part of the secret.
///
/// # Errors
///
/// Returns a description of the file that never quotes its content.
pub(super) fn digest(path: &path::Path) -> Result<String, String> {
    let bytes = fs::read(path).map_err(|error| format!("{} ({error})", path.display()))?;
    let line = bytes.strip_suffix(b"\n").unwrap_or(&bytes);
    let secret = line.strip_suffix(b"\r").unwrap_or(line);
    let is_valid =
        (1..=MAX_SECRET_BYTES).contains(&secret.len()) && secret.iter().all(u8::is_ascii_graphic);
    if !is_valid {
        return Err(format!(
            "{} with {} bytes of other content",
            path.display(),
            bytes.len()
        ));
    }
    Ok(hexadecimal(&sha2::Sha256::digest(secret)))
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
