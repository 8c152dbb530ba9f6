use crate::codec;
use crate::message;

/// An incremental decoder of frames.
///
/// # Examples
///
/// ```
/// use carawaycleat_wire as wire;
///
/// let frame = wire::Frame::new(wire::Id::from_u128(7), wire::Part::End { count: 0 });
/// let mut bytes = Vec::new();
/// wire::encode_frame(&frame, &mut bytes).expect("a short frame");
/// let mut decoder = wire::Decoder::default();
/// decoder.push(&bytes[..3]);
/// assert!(decoder.next_frame().expect("no error").is_none());
/// decoder.push(&bytes[3..]);
/// assert_eq!(decoder.next_frame().expect("no error"), Some(frame));
/// assert!(decoder.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    start: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete frame, or none if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the length exceeds the limit or the bytes are not a frame. Later calls return the same error.
    pub fn next_frame(&mut self) -> codec::Result<Option<message::Frame>> {
        let rest = &self.buffer[self.start..];
        let Some((prefix, body)) = rest.split_first_chunk::<{ codec::LENGTH_BYTES }>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > codec::MAX_FRAME_BYTES {
            return Err(codec::Error::TooLong(length));
        }
        let Some(bytes) = body.get(..length) else {
            return Ok(None);
        };
        let frame = rmp_serde::from_slice(bytes)?;
        self.start += codec::LENGTH_BYTES + length;
        Ok(Some(frame))
    }

    /// Returns whether all received bytes have been returned in frames.
    pub fn is_empty(&self) -> bool {
        self.start == self.buffer.len()
    }
}
