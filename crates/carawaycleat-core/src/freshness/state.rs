/// How far a host's copy of the configuration can be relied on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The store contact is recent.
    Fresh,
    /// The store contact is getting old and the peers are being asked.
    Asking,
    /// A majority reports that the store cannot be reached.
    Outage,
    /// Neither the store nor a majority can be reached.
    Isolated,
}

impl State {
    /// Returns whether requests on keyed routes may be served.
    pub const fn is_serving(self) -> bool {
        !matches!(self, Self::Isolated)
    }
}
