//! Server-sent events.

mod decoder;
mod event;

pub use decoder::Decoder;
pub use event::Event;
