//! A stand-in of the rate-limited weight store.

mod site;
mod state;

pub use site::Site;
pub use state::State;
pub use state::Ticket;
