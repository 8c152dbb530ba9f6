//! A stand-in of the platform's lagging list of hosts.

mod server;
mod state;

pub use server::Hosts;
pub use server::Options;
pub use state::Host;
pub use state::HostState;
pub use state::List;
pub use state::State;
