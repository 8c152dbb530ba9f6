//! Accounting of one accelerator's memory.
//!
//! [`Account`] is the only writer of an accelerator's memory. It counts the bytes of a load before the order is sent
//! and releases bytes only on evidence from the engine.

mod account;
mod barrier;
mod change;
mod item;
mod order;
mod report;

pub use account::Account;
pub use account::Options;
pub use change::Change;
pub use change::Transition;
pub use item::Id;
pub use item::Item;
pub use order::Kind;
pub use order::Order;
pub use order::Progress;
pub use order::Response;
pub use report::Entry;
pub use report::Report;
pub use report::State;
pub use report::Status;

quick_error! {
    /// The reason why [`Account`] returned no order.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Error {
        /// Orders of a predecessor may still land, or the fencing number is not yet claimed.
        NotReady {
            display("orders of a predecessor may still land")
        }
        /// The item does not fit.
        InsufficientMemory(needed: u64, free: u64) {
            display("{needed} bytes needed, {free} bytes free")
        }
        /// The item is already resident.
        Resident {
            display("the item is already resident")
        }
        /// The item is not resident.
        Absent {
            display("the item is not resident")
        }
        /// An order for the item is not settled.
        Unresolved(order: u64) {
            display("order {order} for the item is not settled")
        }
        /// The adapter's model is not resident or is being unloaded.
        ModelAbsent {
            display("the adapter's model is not resident")
        }
        /// Adapters of the model are resident or may still be loaded.
        AdapterPresent {
            display("adapters of the model are resident or may still be loaded")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
