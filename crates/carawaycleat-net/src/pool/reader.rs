use std::fmt;
use std::io;
use std::pin;
use std::sync;
use std::task;
use std::time;

use futures_lite::AsyncRead as _;

use crate::error;
use crate::pool::idle;
use crate::pool::source;

/// The first size of a piece; it doubles while pieces fill it, up to the largest.
const PIECE_BYTES: usize = 4 * 1024;
const MAX_PIECE_BYTES: usize = 64 * 1024;

pub(super) type Body = Box<dyn futures_lite::AsyncBufRead + Unpin + Send + Sync>;

/// The body of an answer.
///
/// The connection is kept for reuse after the end of the body. Dropping the reader earlier closes it.
pub struct Reader {
    /// The rest of the body, absent at its end and after an error.
    body: Option<Body>,
    progress: sync::Arc<source::Progress>,
    connection: Option<idle::Connection>,
    home: Option<idle::Home>,
    failed: bool,
    /// Where the next piece is received.
    piece: Vec<u8>,
}

impl fmt::Debug for Reader {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Reader")
            .field("ended", &self.body.is_none())
            .finish_non_exhaustive()
    }
}

impl Reader {
    pub(super) fn new(
        body: Option<Body>,
        progress: sync::Arc<source::Progress>,
        connection: idle::Connection,
        home: Option<idle::Home>,
    ) -> Self {
        let mut reader = Self {
            body,
            progress,
            connection: Some(connection),
            home,
            failed: false,
            piece: Vec::new(),
        };
        if reader.body.is_none() {
            reader.end();
        }
        reader
    }

    /// Returns the next piece as it arrives, or none at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Incomplete`] when the connection ended before the body, and other errors of the socket
    /// and the framing.
    pub async fn next(&mut self) -> error::Result<Option<Vec<u8>>> {
        if self.failed {
            return Err(error::Error::Incomplete);
        }
        let Some(body) = &mut self.body else {
            return Ok(None);
        };
        if self.piece.is_empty() {
            self.piece.resize(PIECE_BYTES, 0);
        }
        let piece = &mut self.piece;
        match futures_lite::future::poll_fn(|context| fill(body, piece, context)).await {
            Ok(0) if self.progress.is_ended() => {
                self.end();
                Ok(None)
            }
            Ok(0) => Err(self.fail(io::ErrorKind::UnexpectedEof.into())),
            Ok(length) => {
                // A copy of the exact size, because pieces may wait in queues in large numbers.
                let bytes = self.piece[..length].to_vec();
                if length == self.piece.len() && length < MAX_PIECE_BYTES {
                    self.piece.resize(length * 2, 0);
                }
                Ok(Some(bytes))
            }
            Err(error) => Err(self.fail(error)),
        }
    }

    /// Returns the next piece like [`Reader::next`], waiting at most `idle` for it.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Timeout`] when nothing arrived in time, otherwise as [`Reader::next`].
    pub async fn next_within(&mut self, idle: time::Duration) -> error::Result<Option<Vec<u8>>> {
        let expired = async {
            async_io::Timer::after(idle).await;
            Err(error::Error::Timeout)
        };
        futures_lite::future::or(self.next(), expired).await
    }

    /// Returns the rest of the body.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::TooLong`] when it is longer than `limit` bytes, otherwise as [`Reader::next`].
    pub async fn bytes(&mut self, limit: usize) -> error::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        while let Some(piece) = self.next().await? {
            if bytes.len() + piece.len() > limit {
                return Err(error::Error::TooLong(limit));
            }
            if bytes.is_empty() {
                bytes = piece;
            } else {
                bytes.extend_from_slice(&piece);
            }
        }
        Ok(bytes)
    }

    pub(super) fn forget_home(&mut self) {
        self.home = None;
    }

    fn end(&mut self) {
        self.body = None;
        self.piece = Vec::new();
        let reusable = self.progress.is_reusable();
        if let (Some(connection), Some(home), true) =
            (self.connection.take(), self.home.take(), reusable)
        {
            home.put(connection);
        }
    }

    fn fail(&mut self, error: io::Error) -> error::Error {
        self.failed = true;
        self.body = None;
        self.connection = None;
        match error.kind() {
            io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset => {
                error::Error::Incomplete
            }
            io::ErrorKind::InvalidData => error::Error::malformed(error),
            _ => error.into(),
        }
    }
}

/// Joins what has arrived into one piece.
fn fill(
    body: &mut Body,
    piece: &mut [u8],
    context: &mut task::Context<'_>,
) -> task::Poll<io::Result<usize>> {
    let mut filled = 0;
    while filled < piece.len() {
        match pin::Pin::new(&mut *body).poll_read(context, &mut piece[filled..]) {
            task::Poll::Ready(Ok(0)) => break,
            task::Poll::Ready(Ok(length)) => filled += length,
            // The source reports its error again on the next read.
            task::Poll::Pending | task::Poll::Ready(Err(_)) if filled > 0 => break,
            other => return other,
        }
    }
    task::Poll::Ready(Ok(filled))
}
