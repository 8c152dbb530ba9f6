use crate::name;

/// What identifies a request that may crash the upstream which runs it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Suspect {
    /// The parts of its prompt that other requests may share, in order. Parts that are known to be harmless are left out.
    pub parts: Vec<name::Name>,
    /// The fingerprint, which it keeps when it is sent again. It is of a workspace where the request is.
    pub fingerprint: name::Name,
    /// Whether its response had begun. An upstream has only a few such requests at a time; others may have waited in its
    /// queue.
    pub has_begun: bool,
}
