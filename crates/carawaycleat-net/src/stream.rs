mod writer;

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use futures_lite::Stream as _;

pub use writer::Writer;

/// The default of the maximum number of chunks that wait to be written to the connection.
const MAX_QUEUED_CHUNKS: usize = 64;

/// Returns the sending and the receiving end of a streamed body, of which up to 64 chunks wait to be written.
#[must_use]
pub fn stream() -> (Writer, Stream) {
    stream_of(MAX_QUEUED_CHUNKS)
}

/// Returns the ends of a streamed body of which up to `max_queued_chunks` wait to be written.
///
/// # Panics
///
/// Panics if `max_queued_chunks` is 0.
#[must_use]
pub fn stream_of(max_queued_chunks: usize) -> (Writer, Stream) {
    let (sender, receiver) = async_channel::bounded(max_queued_chunks);
    let finished = sync::Arc::new(atomic::AtomicBool::new(false));
    let stream = Stream {
        receiver: Box::pin(receiver),
        finished: finished.clone(),
        current: Vec::new(),
        position: 0,
    };
    (Writer::new(sender, finished), stream)
}

/// The receiving end of a streamed body, see [`stream()`].
///
/// A read fails when the [`Writer`] was dropped without [`Writer::finish`].
#[derive(Debug)]
pub struct Stream {
    receiver: pin::Pin<Box<async_channel::Receiver<Vec<u8>>>>,
    finished: sync::Arc<atomic::AtomicBool>,
    current: Vec<u8>,
    position: usize,
}

impl Stream {
    /// Returns the unread bytes of the current chunk; empty at the end of the body.
    fn poll_current(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<&[u8]>> {
        while self.position == self.current.len() {
            match task::ready!(self.receiver.as_mut().poll_next(context)) {
                Some(chunk) => {
                    self.current = chunk;
                    self.position = 0;
                }
                None if self.finished.load(atomic::Ordering::Acquire) => break,
                None => return task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            }
        }
        task::Poll::Ready(Ok(&self.current[self.position..]))
    }
}

impl futures_lite::AsyncRead for Stream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        let mut filled = 0;
        while filled < buffer.len() {
            let bytes = match self.poll_current(context) {
                task::Poll::Ready(Ok(bytes)) => bytes,
                other if filled == 0 => return other.map_ok(<[u8]>::len),
                _ => break,
            };
            let length = bytes.len().min(buffer.len() - filled);
            if length == 0 {
                break;
            }
            buffer[filled..filled + length].copy_from_slice(&bytes[..length]);
            filled += length;
            self.position += length;
        }
        task::Poll::Ready(Ok(filled))
    }
}

impl futures_lite::AsyncBufRead for Stream {
    fn poll_fill_buf(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<&[u8]>> {
        self.get_mut().poll_current(context)
    }

    fn consume(mut self: pin::Pin<&mut Self>, amount: usize) {
        self.position = (self.position + amount).min(self.current.len());
    }
}
