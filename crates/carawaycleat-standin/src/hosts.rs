//! A stand-in of the platform's lagging list of hosts.

mod state;

pub use state::Host;
pub use state::HostState;
pub use state::List;
pub use state::State;
