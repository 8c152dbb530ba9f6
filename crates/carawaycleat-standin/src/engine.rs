//! A stand-in of a model engine: continuous batching, prefix cache, orders and faults.

mod batch;
mod cache;
mod call;
mod fault;
mod memory;
mod options;
mod order;
mod report;
mod request;
mod server;
mod state;
mod text;

pub use batch::Output;
pub use batch::Ticket;
pub use cache::BLOCK_TOKENS;
pub use cache::CacheChange;
pub use cache::CacheEvent;
pub use call::Call;
pub use call::Choice;
pub use call::Chunk;
pub use call::Message;
pub use call::Usage;
pub use fault::Faults;
pub use options::Options;
pub use order::Fetch;
pub use order::Order;
pub use order::OrderKind;
pub use order::OrderState;
pub use order::Role;
pub use report::OrderReport;
pub use report::Report;
pub use report::Resident;
pub use report::ResidentState;
pub use request::Execution;
pub use request::Request;
pub use server::Engine;
pub use state::Records;
pub use state::State;
pub use text::chat_prompt;
pub use text::expected;

quick_error! {
    /// A refusal by the engine.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The request is malformed.
        Invalid(text: String) {
            display("{text}")
        }
        /// The model or adapter is not loaded.
        NotLoaded(name: String) {
            display("{name} is not loaded")
        }
        /// The text to resume is not the start of the request's answer.
        ResumeMismatch {
            display("the text to resume at does not belong to this request")
        }
        /// The order's fencing number is older than one seen before.
        OldFencing(order: u64, newest: u64) {
            display("fencing number {order} is older than {newest}")
        }
        /// The order needs more memory than there is.
        OutOfMemory(needed: u64, free: u64) {
            display("the order needs {needed} bytes and {free} are free")
        }
        /// There is no such block or request.
        NotFound {
            display("not found")
        }
    }
}

impl Error {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Self::Invalid(_) => 400,
            Self::NotLoaded(_) | Self::NotFound => 404,
            Self::ResumeMismatch | Self::OldFencing(..) => 409,
            Self::OutOfMemory(..) => 507,
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
