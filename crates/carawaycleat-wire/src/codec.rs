use crate::message;

/// The longest encoded frame in bytes, without its length.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

pub(crate) const LENGTH_BYTES: usize = 4;

quick_error! {
    /// An error of the codec.
    #[derive(Debug)]
    pub enum Error {
        /// The message cannot be encoded.
        Encode(source: rmp_serde::encode::Error) {
            display("cannot encode the message: {source}")
            source(source)
            from()
        }
        /// The bytes are not a message of the expected type.
        Decode(source: rmp_serde::decode::Error) {
            display("not a message of the expected type: {source}")
            source(source)
            from()
        }
        /// A frame is longer than [`MAX_FRAME_BYTES`].
        TooLong(bytes: usize) {
            display("a frame has at most {MAX_FRAME_BYTES} bytes, this one has {bytes}")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Encodes a message with named fields.
///
/// # Errors
///
/// Returns an error when a value cannot be represented.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error when `bytes` is not a message of type `T`.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Appends `frame` behind its 4-byte big-endian length to `out`.
///
/// Fields are positional, because one frame is sent per token.
///
/// # Errors
///
/// Returns an error when the frame is longer than [`MAX_FRAME_BYTES`]; `out` is then unchanged.
pub fn encode_frame(frame: &message::Frame, out: &mut Vec<u8>) -> Result<()> {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    let written = rmp_serde::encode::write(out, frame);
    let bytes = out.len() - start - LENGTH_BYTES;
    if written.is_err() || bytes > MAX_FRAME_BYTES {
        out.truncate(start);
    }
    written?;
    let length = u32::try_from(bytes)
        .ok()
        .filter(|_| bytes <= MAX_FRAME_BYTES)
        .ok_or(Error::TooLong(bytes))?;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(())
}
