/// How far a host's cached configuration can be relied on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The last store contact is recent.
    Fresh,
    /// The last store contact is no longer recent, and no majority has confirmed an outage yet.
    Asking,
    /// A majority reports that the store cannot be reached.
    Outage,
    /// Neither the store nor a majority can be reached.
    Isolated,
}

impl State {
    /// Returns whether requests on routes that require a key may be served.
    pub const fn is_serving(self) -> bool {
        !matches!(self, Self::Isolated)
    }
}
