/// The longest trailer section in bytes.
const MAX_TRAILER_BYTES: usize = 4096;
/// The most digits of a chunk size; 15 hexadecimal digits cannot overflow 64 bits.
const MAX_SIZE_DIGITS: usize = 15;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    None,
    Length(u64),
    Chunked,
    /// The body ends with its connection.
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
    Trailer { bytes: usize, line: usize },
    Done,
}

/// Finds the end of a body in the bytes of a connection.
///
/// `async-h1` reports a clean end for a body that is shorter than its length and for a chunked body cut behind the
/// last chunk's size line, and it never wakes when the end of the trailers arrives in two reads.
#[derive(Debug)]
pub(crate) struct Scanner {
    state: State,
    /// The number of body bytes without the chunk framing.
    pub(crate) body_bytes: u64,
}

/// What [`Scanner::scan`] found.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Scan {
    /// The number of bytes that belong to the message.
    pub(crate) used: usize,
    /// The number of those bytes in front of the trailer section.
    pub(crate) body: usize,
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

    /// Reads on, up to the end of the message. The error is a description of the fault.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> Result<Scan, &'static str> {
        let mut scan = Scan { used: 0, body: 0 };
        while scan.used < bytes.len() && !self.is_done() {
            let rest = &bytes[scan.used..];
            let trailer = matches!(self.state, State::Trailer { .. });
            let used = match &mut self.state {
                State::UntilClose => {
                    self.body_bytes += rest.len() as u64;
                    rest.len()
                }
                State::Data(left) | State::Chunk(left) => {
                    let length = usize::try_from(*left).unwrap_or(usize::MAX).min(rest.len());
                    *left -= length as u64;
                    self.body_bytes += length as u64;
                    length
                }
                _ => {
                    self.step(rest[0])?;
                    1
                }
            };
            match self.state {
                State::Data(0) => self.state = State::Done,
                State::Chunk(0) => self.state = State::ChunkCr,
                _ => {}
            }
            scan.used += used;
            if !trailer {
                scan.body = scan.used;
            }
        }
        Ok(scan)
    }

    fn step(&mut self, byte: u8) -> Result<(), &'static str> {
        self.state = match (&self.state, byte) {
            (State::Size { digits, value }, b'\r') if *digits > 0 => State::SizeEnd(*value),
            (State::Size { digits, value }, _) if *digits < MAX_SIZE_DIGITS => {
                let digit = char::from(byte).to_digit(16).ok_or("invalid chunk size")?;
                State::Size {
                    digits: digits + 1,
                    value: value * 16 + u64::from(digit),
                }
            }
            (State::SizeEnd(0), b'\n') => State::Trailer { bytes: 0, line: 0 },
            (State::SizeEnd(size), b'\n') => State::Chunk(*size),
            (State::ChunkCr, b'\r') => State::ChunkLf,
            (State::ChunkLf, b'\n') => State::Size {
                digits: 0,
                value: 0,
            },
            (State::Trailer { line: 0, .. }, b'\n') => State::Done,
            (State::Trailer { bytes, .. }, _) if *bytes >= MAX_TRAILER_BYTES => {
                return Err("trailers too long");
            }
            (State::Trailer { bytes, .. }, b'\n') => State::Trailer {
                bytes: bytes + 1,
                line: 0,
            },
            (State::Trailer { bytes, line }, b'\r') => State::Trailer {
                bytes: bytes + 1,
                line: *line,
            },
            (State::Trailer { bytes, line }, _) => State::Trailer {
                bytes: bytes + 1,
                line: line + 1,
            },
            _ => return Err("invalid chunk"),
        };
        Ok(())
    }
}
