use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use crate::pool::idle;
use crate::scanner;

/// How far the body of an answer has been received.
#[derive(Debug, Default)]
pub(super) struct Progress(atomic::AtomicU8);

impl Progress {
    const ENDED: u8 = 1;
    const EXCESS: u8 = 2;

    /// Returns whether the whole message has been received.
    pub(super) fn is_ended(&self) -> bool {
        self.0.load(atomic::Ordering::Acquire) & Self::ENDED != 0
    }

    /// Returns whether the message ended and the connection carries nothing behind it.
    pub(super) fn is_reusable(&self) -> bool {
        self.0.load(atomic::Ordering::Acquire) == Self::ENDED
    }

    fn set(&self, bit: u8) {
        self.0.fetch_or(bit, atomic::Ordering::AcqRel);
    }
}

/// An answer as `async-h1` reads it: the bytes of one message, and an error when the connection ends before it.
///
/// The end of a chunked body is passed on as a whole and without trailers, see [`scanner::Scanner`].
#[derive(Debug)]
pub(super) struct Source {
    stream: idle::Connection,
    /// The head and the bytes received with it.
    received: Vec<u8>,
    /// The position in `received`.
    position: usize,
    head: usize,
    framing: scanner::Framing,
    /// Whether a body that ends with its connection has ended.
    closed: bool,
    scanner: scanner::Scanner,
    tail: &'static [u8],
    /// A fault of the framing; it stays, because bytes behind it have no meaning.
    fault: Option<&'static str>,
    /// An error of the socket; it stays, because a socket reports a reset only once and an end after it.
    broken: Option<io::ErrorKind>,
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
            closed: false,
            scanner: scanner::Scanner::new(framing),
            tail: b"",
            fault: None,
            broken: None,
            progress: progress.clone(),
        };
        if source.scanner.is_done() {
            source.end(source.received.len() > head);
        }
        (source, progress)
    }

    /// Skips the head, which has been parsed already.
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

    /// Copies waiting bytes or reads from the socket.
    fn poll_raw(
        &mut self,
        context: &mut task::Context<'_>,
        buffer: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        if self.position < self.received.len() {
            // The head is passed on by itself, so that the scanner sees only the body.
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
            if let Some(kind) = self.broken {
                return task::Poll::Ready(Err(kind.into()));
            }
            if let Some(fault) = self.fault {
                return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, fault)));
            }
            if !self.tail.is_empty() {
                let length = buffer.len().min(self.tail.len());
                buffer[..length].copy_from_slice(&self.tail[..length]);
                self.tail = &self.tail[length..];
                return task::Poll::Ready(Ok(length));
            }
            let in_head = self.position < self.head;
            if self.closed || (!in_head && self.scanner.is_done()) {
                return task::Poll::Ready(Ok(0));
            }
            let length = match task::ready!(self.poll_raw(context, buffer)) {
                Ok(length) => length,
                Err(error) => {
                    self.broken = Some(error.kind());
                    continue;
                }
            };
            if in_head {
                return task::Poll::Ready(Ok(length));
            }
            if length == 0 && self.framing == scanner::Framing::Close {
                // The connection carries nothing behind this answer.
                self.end(true);
                self.closed = true;
                return task::Poll::Ready(Ok(0));
            }
            if length == 0 {
                return task::Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            let scan = match self.scanner.scan(&buffer[..length]) {
                Ok(scan) => scan,
                Err(fault) => {
                    self.fault = Some(fault);
                    continue;
                }
            };
            if self.scanner.is_done() {
                let excess = scan.used < length || !self.received.is_empty();
                self.end(excess);
                self.tail = if self.framing == scanner::Framing::Chunked {
                    b"\r\n"
                } else {
                    b""
                };
            }
            if scan.body > 0 {
                return task::Poll::Ready(Ok(scan.body));
            }
        }
    }
}
