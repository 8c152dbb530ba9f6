use carawaycleat_core::name;

/// A request to borrow tokens of a workspace from another host.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Borrow {
    /// The requesting host.
    pub host: name::Name,
    /// The workspace.
    pub workspace: name::Name,
    /// The number of tokens needed.
    pub tokens: u64,
}

/// The response to a [`Borrow`]: tokens that have been debited from the sender's bucket.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Transfer {
    /// The identifier of the transfer, with which it is credited only once.
    pub id: super::Id,
    /// The workspace.
    pub workspace: name::Name,
    /// The number of tokens lent, which may be fewer than requested.
    pub tokens: u64,
}
