//! A stand-in of a plain service that records what it executed.

mod server;
mod state;

pub use server::Options;
pub use server::Service;
pub use state::Action;
pub use state::Execution;
pub use state::Faults;
pub use state::State;
pub use state::expected;
