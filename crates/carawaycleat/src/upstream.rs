//! Clients for upstreams: model engines and plain services.

mod cause;
mod engine;
mod response;

pub use cause::reason;
pub use engine::Acceptance;
pub use engine::Command;
pub use engine::Engine;
pub use engine::Loaded;
pub use engine::Order;
pub use engine::State;
pub use response::Response;
