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
    /// The prompts of the host's requests whose response had just begun, each as its shared parts in order. Parts that
    /// are known to be harmless are left out.
    pub prompts: Vec<Vec<name::Name>>,
}
