//! Memory accounting of one accelerator.
//!
//! All loads and unloads on an accelerator are ordered through its [`Account`]. The account reserves the memory of a
//! load before the order is sent, and releases memory only when the engine reports that it is free or can no longer be
//! taken.

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
    /// The reason why an [`Account`] issued no order.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Error {
        /// Orders of a predecessor may still arrive at the engine, or the engine has not yet reported the fencing
        /// number.
        NotReady {
            display("orders of a predecessor may still arrive at the engine")
        }
        /// The item needs more bytes (first) than are free (second).
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
        /// The outcome of an earlier order for the item is not known.
        Unresolved(order: u64) {
            display("the outcome of order {order} for the item is not known")
        }
        /// The adapter's model is not resident or is being unloaded.
        ModelAbsent {
            display("the adapter's model is not resident")
        }
        /// Adapters of the model are resident, or an order may still load one.
        AdapterPresent {
            display("adapters of the model are resident or may still be loaded")
        }
    }
}

/// The result of an operation on an [`Account`].
pub type Result<T> = std::result::Result<T, Error>;
