use super::suspect;
use crate::name;

/// The crash of an upstream, as one host observed it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Crash {
    /// The upstream.
    pub upstream: name::Name,
    /// The start of its process in milliseconds since the Unix epoch, which distinguishes it from a later process under
    /// the same identifier.
    pub started: u64,
    /// The host's requests in progress there that may have caused the crash.
    pub suspects: Vec<suspect::Suspect>,
}
