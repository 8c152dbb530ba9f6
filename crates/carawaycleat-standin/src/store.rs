//! A stand-in of the platform's key-value service: the JSON gateway of the etcd v3 interface.

mod counts;
mod encoding;
mod fault;
mod message;
mod server;
mod space;
mod state;
mod watcher;

pub use counts::Counts;
pub use fault::Faults;
pub use message::Answer;
pub use message::Compaction;
pub use message::Compare;
pub use message::Create;
pub use message::Deletion;
pub use message::Event;
pub use message::Header;
pub use message::Lease;
pub use message::Notice;
pub use message::Operation;
pub use message::Pair;
pub use message::Put;
pub use message::Range;
pub use message::Relation;
pub use message::Response;
pub use message::Target;
pub use message::Transaction;
pub use message::Watch;
pub use server::Options;
pub use server::Store;
pub use space::Space;
pub use state::Reply;
pub use state::State;
pub use watcher::Watcher;

quick_error! {
    /// A refusal by the store, with the message that etcd gives.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The request is no valid JSON of its kind.
        Malformed(text: String) {
            display("{text}")
        }
        /// A put without a key.
        EmptyKey {
            display("etcdserver: key is not provided")
        }
        /// A transaction writes a key twice.
        DuplicateKey {
            display("etcdserver: duplicate key given in txn request")
        }
        /// The lease does not exist.
        UnknownLease {
            display("etcdserver: requested lease not found")
        }
        /// The lease exists already.
        DuplicateLease {
            display("etcdserver: lease already exists")
        }
        /// The revision is dropped from the history; the compaction's revision.
        Compacted(revision: i64) {
            display("etcdserver: mvcc: required revision has been compacted")
        }
        /// The revision does not exist yet.
        FutureRevision {
            display("etcdserver: mvcc: required revision is a future revision")
        }
        /// A read at an earlier revision, which the stand-in does not support.
        OldRevision {
            display("reads at an earlier revision are not supported")
        }
        /// The call rate is over the limit.
        Limited {
            display("etcdserver: too many requests")
        }
        /// The store is down by a fault.
        Down {
            display("etcdserver: no leader")
        }
        /// There is no such path.
        UnknownPath {
            display("Not Found")
        }
    }
}

impl Error {
    /// Returns the code of the error in the gRPC protocol.
    pub fn code(&self) -> u16 {
        match self {
            Self::Malformed(_) | Self::EmptyKey | Self::DuplicateKey => 3,
            Self::UnknownLease | Self::UnknownPath => 5,
            Self::Limited => 8,
            Self::DuplicateLease => 9,
            Self::Compacted(_) | Self::FutureRevision => 11,
            Self::OldRevision => 12,
            Self::Down => 14,
        }
    }

    /// Returns the HTTP status that the gateway gives for the code.
    pub fn status(&self) -> u16 {
        match self.code() {
            5 => 404,
            8 => 429,
            12 => 501,
            14 => 503,
            _ => 400,
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
