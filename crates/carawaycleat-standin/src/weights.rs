//! A stand-in of the rate-limited weight store.

mod server;
mod site;
mod state;

pub use server::Fetch;
pub use server::Options;
pub use server::Weights;
pub use site::Site;
pub use state::State;
pub use state::Ticket;
