//! Messages between the processes of the carawaycleat serving system.
//!
//! Messages are encoded as MessagePack with named fields, see [`encode`] and [`decode`]. The response to a [`Job`] is a
//! sequence of [`Frame`]s, each prefixed with its length, see [`encode_frame`] and [`Decoder`].

#[macro_use]
extern crate quick_error;

mod codec;
mod decoder;
mod message;

pub use codec::Error;
pub use codec::MAX_FRAME_BYTES;
pub use codec::Result;
pub use codec::decode;
pub use codec::encode;
pub use codec::encode_frame;
pub use decoder::Decoder;
pub use message::Account;
pub use message::Borrow;
pub use message::Cancel;
pub use message::Demand;
pub use message::Digest;
pub use message::Directive;
pub use message::Fetch;
pub use message::Frame;
pub use message::Holding;
pub use message::Id;
pub use message::Job;
pub use message::Member;
pub use message::Offer;
pub use message::Pair;
pub use message::Part;
pub use message::Report;
pub use message::Residence;
pub use message::Transfer;
pub use message::Update;
