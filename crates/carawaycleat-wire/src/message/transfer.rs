use carawaycleat_core::name;

/// A request for tokens of a workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Borrow {
    /// The host that asks.
    pub host: name::Name,
    /// The workspace.
    pub workspace: name::Name,
    /// The tokens needed.
    pub tokens: u64,
}

/// Tokens that were debited from the sender's bucket.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Transfer {
    /// The identifier; a transfer is credited once.
    pub id: super::Id,
    /// The workspace.
    pub workspace: name::Name,
    /// The tokens lent, which may be fewer than asked for.
    pub tokens: u64,
}
