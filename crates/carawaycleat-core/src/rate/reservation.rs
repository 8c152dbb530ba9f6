use crate::name;

/// Tokens taken from a bucket for one request.
///
/// It is passed by value to [`Ledger::settle`](super::Ledger::settle), so that it is settled at most once.
#[must_use = "tokens that are not settled are lost"]
#[derive(Debug, Eq, PartialEq)]
pub struct Reservation {
    pub(super) workspace: name::Name,
    pub(super) tokens: u64,
}

impl Reservation {
    /// Returns the workspace whose bucket the tokens were taken from.
    pub const fn workspace(&self) -> &name::Name {
        &self.workspace
    }

    /// Returns the number of tokens that were taken.
    pub const fn tokens(&self) -> u64 {
        self.tokens
    }
}
