//! Encoding and decoding of server-sent events.

mod decoder;
mod event;
mod splitter;

pub use decoder::Decoder;
pub use event::Event;
pub use splitter::Batch;
pub use splitter::Splitter;
