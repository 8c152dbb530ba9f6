use crate::message;

/// The maximum length of an encoded frame in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// The length of the length prefix in bytes.
pub(crate) const LENGTH_BYTES: usize = 4;

quick_error! {
    /// An error in encoding or decoding.
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
            display("frame of {bytes} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Encodes a message as MessagePack with named fields.
///
/// # Errors
///
/// Returns an error if a value cannot be represented.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes a message from MessagePack.
///
/// # Errors
///
/// Returns an error if `bytes` is not a message of type `T`.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Appends `frame` to `out`, with its length in 4 big-endian bytes as a prefix.
///
/// Fields are encoded by position, which is shorter, because one frame is sent per token.
///
/// # Errors
///
/// Returns an error if the frame is longer than [`MAX_FRAME_BYTES`]; `out` is then unchanged.
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
