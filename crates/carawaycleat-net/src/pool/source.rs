use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use crate::pool::idle;
use crate::scanner;

/// Whether a response has been received completely, and whether more bytes followed it.
#[derive(Debug, Default)]
pub(super) struct Progress(atomic::AtomicU8);

impl Progress {
    const ENDED: u8 = 1;
    const EXCESS: u8 = 2;

    /// Returns whether the whole message has been received.
    pub(super) fn is_ended(&self) -> bool {
        self.0.load(atomic::Ordering::Acquire) & Self::ENDED != 0
    }

    /// Returns whether the message ended and no bytes followed it, so that the connection can be reused.
    pub(super) fn is_reusable(&self) -> bool {
        self.0.load(atomic::Ordering::Acquire) == Self::ENDED
    }

    fn set(&self, bit: u8) {
        self.0.fetch_or(bit, atomic::Ordering::AcqRel);
    }
}

/// The reader that `async-h1` reads a response from. It returns the bytes of one message, and an error if the connection
/// ends before the message.
///
/// The end of a chunked body is returned in one piece and without trailers; for the reason see [`scanner::Scanner`].
#[derive(Debug)]
pub(super) struct Source {
    stream: idle::Connection,
    /// The head and the bytes that were received with it.
    received: Vec<u8>,
    /// The position in `received`.
    position: usize,
    /// The length of the head in bytes; 0 once `received` has been consumed.
    head: usize,
    framing: scanner::Framing,
    /// Whether a body that ends when the connection is closed has ended.
    ended_by_close: bool,
    scanner: scanner::Scanner,
    /// The unread bytes that end a chunked body.
    terminator: &'static [u8],
    /// An error in the framing. It is returned on every later read, because the bytes after it have no meaning.
    framing_error: Option<&'static str>,
    /// An error of the socket. It is returned on every later read, because a socket reports a reset only once and the end
    /// of the stream after that.
    socket_error: Option<io::ErrorKind>,
    progress: sync::Arc<Progress>,
}

impl Source {
    pub(super) fn new(
        stream: idle::Connection,
        received: Vec<u8>,
        head: usize,
        framing: scanner::Framing,
    ) -> (Self, sync::Arc<Progress>) {
        let progress = sync::Arc::new(Progress::default());
        let source = Self {
            stream,
            received,
            position: 0,
            head,
            framing,
            ended_by_close: false,
            scanner: scanner::Scanner::new(framing),
            terminator: b"",
            framing_error: None,
            socket_error: None,
            progress: progress.clone(),
        };
        if source.scanner.is_done() {
            source.end(source.received.len() > head);
        }
        (source, progress)
    }

    /// Removes the head, which has been parsed already.
    pub(super) fn without_head(mut self) -> Self {
        self.received.drain(..self.head);
        self.head = 0;
        self
    }

    fn end(&self, excess: bool) {
        self.progress.set(Progress::ENDED);
        if excess {
            self.progress.set(Progress::EXCESS);
        }
    }

    /// Copies bytes from `received`, or reads from the socket once they are consumed.
    fn poll_raw(
        &mut self,
        context: &mut task::Context<'_>,
        buffer: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        if self.position < self.received.len() {
            // The head is returned in reads of its own, so that the scanner gets only the body.
            let end = if self.position < self.head {
                self.head
            } else {
                self.received.len()
            };
            let length = buffer.len().min(end - self.position);
            buffer[..length].copy_from_slice(&self.received[self.position..self.position + length]);
            self.position += length;
            if self.position == self.received.len() {
                self.head = 0;
                self.position = 0;
                self.received = Vec::new();
            }
            return task::Poll::Ready(Ok(length));
        }
        let mut stream: &async_io::Async<std::net::TcpStream> = &self.stream;
        futures_lite::AsyncRead::poll_read(pin::Pin::new(&mut stream), context, buffer)
    }
}

impl futures_lite::AsyncRead for Source {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        loop {
            if let Some(kind) = self.socket_error {
                return task::Poll::Ready(Err(kind.into()));
            }
            if let Some(framing_error) = self.framing_error {
                return task::Poll::Ready(Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    framing_error,
                )));
            }
            if !self.terminator.is_empty() {
                let length = buffer.len().min(self.terminator.len());
                buffer[..length].copy_from_slice(&self.terminator[..length]);
                self.terminator = &self.terminator[length..];
                return task::Poll::Ready(Ok(length));
            }
            let in_head = self.position < self.head;
            if self.ended_by_close || (!in_head && self.scanner.is_done()) {
                return task::Poll::Ready(Ok(0));
            }
            let length = match task::ready!(self.poll_raw(context, buffer)) {
                Ok(length) => length,
                Err(error) => {
                    self.socket_error = Some(error.kind());
                    continue;
                }
            };
            if in_head {
                return task::Poll::Ready(Ok(length));
            }
            if length == 0 && self.framing == scanner::Framing::Close {
                // The connection is closed and cannot be reused.
                self.end(true);
                self.ended_by_close = true;
                return task::Poll::Ready(Ok(0));
            }
            if length == 0 {
                return task::Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            let scan = match self.scanner.scan(&buffer[..length]) {
                Ok(scan) => scan,
                Err(framing_error) => {
                    self.framing_error = Some(framing_error);
                    continue;
                }
            };
            if self.scanner.is_done() {
                let excess = scan.consumed < length || !self.received.is_empty();
                self.end(excess);
                self.terminator = if self.framing == scanner::Framing::Chunked {
                    b"\r\n"
                } else {
                    b""
                };
            }
            if scan.before_trailers > 0 {
                return task::Poll::Ready(Ok(scan.before_trailers));
            }
        }
    }
}
