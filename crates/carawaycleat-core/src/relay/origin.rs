//! The software versions that began streams.

mod pin;
mod registry;
mod versions;

use sha2::Digest as _;

use crate::name;

pub(crate) use pin::Life;
pub(crate) use pin::Pin;
pub(crate) use pin::Stream;
pub(crate) use registry::Knowledge;
pub(crate) use registry::Registry;
pub(crate) use versions::Versions;

/// The service and the software version of the upstream that began a stream.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Origin {
    /// The service.
    pub service: name::Name,
    /// The software version; none for upstreams that give none.
    pub version: Option<name::Name>,
}

/// The origin of a stream, as hosts share it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StreamRecord {
    /// The [`digest`] of the identifier of the request that began the stream.
    pub stream: u64,
    /// The origin.
    pub origin: Origin,
}

/// A caller's wish to go on with a stream that broke off.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resumption {
    /// The identifier of the request that began the stream; none when the caller does not name it.
    pub stream: Option<String>,
}

/// Returns the digest of a request's identifier, which is the same in all builds and on all hosts.
#[must_use]
pub fn digest(request_id: &str) -> u64 {
    let hash = sha2::Sha256::digest(request_id.as_bytes());
    hash.iter()
        .take(size_of::<u64>())
        .fold(0, |digest, byte| digest << 8 | u64::from(*byte))
}
