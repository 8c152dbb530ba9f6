use crate::stream;

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// All bytes, sent with their length.
    Bytes(Vec<u8>),
    /// Chunks that are sent as they are written, with chunked transfer encoding.
    Stream(stream::Stream),
}

impl Default for Body {
    fn default() -> Self {
        Self::Bytes(Vec::new())
    }
}
