/// The maximum length of a trailer section in bytes.
const MAX_TRAILER_BYTES: usize = 4096;
/// The maximum number of digits in a chunk size; 15 hexadecimal digits cannot overflow 64 bits.
const MAX_SIZE_DIGITS: usize = 15;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    None,
    Length(u64),
    Chunked,
    /// The body ends when the connection is closed.
    Close,
}

#[derive(Debug)]
enum State {
    Data(u64),
    UntilClose,
    Size { digits: usize, value: u64 },
    SizeEnd(u64),
    Chunk(u64),
    ChunkCr,
    ChunkLf,
    Trailer { bytes: usize, line_bytes: usize },
    Done,
}

/// Finds the end of a body in the bytes of a connection.
///
/// `async-h1` is not relied on for this. It reports a clean end for a body that is shorter than its declared length and
/// for a chunked body that is truncated after the size line of the last chunk, and its task is never woken if the end of
/// the trailers arrives in two reads.
#[derive(Debug)]
pub(crate) struct Scanner {
    state: State,
    /// The number of body bytes scanned so far, without the chunk framing.
    pub(crate) body_bytes: u64,
}

/// The result of [`Scanner::scan`].
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Scan {
    /// The number of scanned bytes that belong to the message.
    pub(crate) consumed: usize,
    /// The number of those bytes before the trailer section.
    pub(crate) before_trailers: usize,
}

impl Scanner {
    pub(crate) fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::None | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Data(length),
            Framing::Close => State::UntilClose,
            Framing::Chunked => State::Size {
                digits: 0,
                value: 0,
            },
        };
        Self {
            state,
            body_bytes: 0,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Scans the next bytes, up to the end of the message. The error describes what is invalid.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> Result<Scan, &'static str> {
        let mut scan = Scan {
            consumed: 0,
            before_trailers: 0,
        };
        while scan.consumed < bytes.len() && !self.is_done() {
            let rest = &bytes[scan.consumed..];
            let trailer = matches!(self.state, State::Trailer { .. });
            let consumed = match &mut self.state {
                State::UntilClose => {
                    self.body_bytes += rest.len() as u64;
                    rest.len()
                }
                State::Data(remaining) | State::Chunk(remaining) => {
                    let length = usize::try_from(*remaining)
                        .unwrap_or(usize::MAX)
                        .min(rest.len());
                    *remaining -= length as u64;
                    self.body_bytes += length as u64;
                    length
                }
                _ => {
                    self.advance(rest[0])?;
                    1
                }
            };
            match self.state {
                State::Data(0) => self.state = State::Done,
                State::Chunk(0) => self.state = State::ChunkCr,
                _ => {}
            }
            scan.consumed += consumed;
            if !trailer {
                scan.before_trailers = scan.consumed;
            }
        }
        Ok(scan)
    }

    fn advance(&mut self, byte: u8) -> Result<(), &'static str> {
        self.state = match (&self.state, byte) {
            (State::Size { digits, value }, b'\r') if *digits > 0 => State::SizeEnd(*value),
            (State::Size { digits, value }, _) if *digits < MAX_SIZE_DIGITS => {
                let digit = char::from(byte).to_digit(16).ok_or("invalid chunk size")?;
                State::Size {
                    digits: digits + 1,
                    value: value * 16 + u64::from(digit),
                }
            }
            (State::SizeEnd(0), b'\n') => State::Trailer {
                bytes: 0,
                line_bytes: 0,
            },
            (State::SizeEnd(size), b'\n') => State::Chunk(*size),
            (State::ChunkCr, b'\r') => State::ChunkLf,
            (State::ChunkLf, b'\n') => State::Size {
                digits: 0,
                value: 0,
            },
            (State::Trailer { line_bytes: 0, .. }, b'\n') => State::Done,
            (State::Trailer { bytes, .. }, _) if *bytes >= MAX_TRAILER_BYTES => {
                return Err("trailers too long");
            }
            (State::Trailer { bytes, .. }, b'\n') => State::Trailer {
                bytes: bytes + 1,
                line_bytes: 0,
            },
            (State::Trailer { bytes, line_bytes }, b'\r') => State::Trailer {
                bytes: bytes + 1,
                line_bytes: *line_bytes,
            },
            (State::Trailer { bytes, line_bytes }, _) => State::Trailer {
                bytes: bytes + 1,
                line_bytes: line_bytes + 1,
            },
            _ => return Err("invalid chunk"),
        };
        Ok(())
    }
}
