use std::fmt;
use std::io;
use std::pin;
use std::sync;
use std::task;
use std::time;

use futures_lite::AsyncRead as _;

use crate::budget;
use crate::error;
use crate::memory;
use crate::pace;
use crate::pool::idle;
use crate::pool::source;

/// The initial size of the read buffer; it doubles while pieces fill it, up to [`MAX_PIECE_BYTES`].
const INITIAL_PIECE_BYTES: usize = 4 * 1024;
const MAX_PIECE_BYTES: usize = 64 * 1024;

pub(super) type Body = Box<dyn futures_lite::AsyncBufRead + Unpin + Send + Sync>;

/// The body of a response.
///
/// The connection is kept for reuse after the end of the body. Dropping the reader earlier closes the
/// connection.
pub struct Reader {
    /// The rest of the body; none at its end and after an error.
    body: Option<Body>,
    progress: sync::Arc<source::Progress>,
    connection: Option<idle::Connection>,
    recycler: Option<idle::Recycler>,
    failed: bool,
    is_close_delimited: bool,
    /// The read buffer.
    piece: Vec<u8>,
    budget: budget::Budget,
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
        recycler: Option<idle::Recycler>,
        is_close_delimited: bool,
    ) -> Self {
        let mut reader = Self {
            body,
            progress,
            connection: Some(connection),
            recycler,
            failed: false,
            is_close_delimited,
            piece: Vec::new(),
            budget: budget::Budget::default(),
        };
        if reader.body.is_none() {
            reader.end();
        }
        reader
    }

    /// Returns whether the body ends when the connection is closed, so that a part of it looks like the whole.
    #[must_use]
    pub fn is_close_delimited(&self) -> bool {
        self.is_close_delimited
    }

    /// Returns the next piece of the body as it arrives, or none at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Incomplete`] if the connection ended before the body, and other errors if the socket
    /// failed or the framing is invalid.
    pub async fn next(&mut self) -> error::Result<Option<Vec<u8>>> {
        if self.failed {
            return Err(error::Error::Incomplete);
        }
        let Some(body) = &mut self.body else {
            return Ok(None);
        };
        self.budget.turn().await;
        if self.piece.is_empty() {
            self.piece.resize(INITIAL_PIECE_BYTES, 0);
        }
        let piece = &mut self.piece;
        match futures_lite::future::poll_fn(|context| fill(body, piece, context)).await {
            Ok(0) if self.progress.is_ended() => {
                self.end();
                Ok(None)
            }
            Ok(0) => Err(self.fail(io::ErrorKind::UnexpectedEof.into())),
            Ok(length) => {
                self.budget.spend(length);
                // An allocation of the exact size, because large numbers of pieces may wait in queues.
                let bytes = self.piece[..length].to_vec();
                if length == self.piece.len() && length < MAX_PIECE_BYTES {
                    self.piece.resize(length * 2, 0);
                }
                Ok(Some(bytes))
            }
            Err(error) => Err(self.fail(error)),
        }
    }

    /// Returns the next piece like [`Reader::next`], waiting at most `timeout` for it.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Timeout`] if nothing arrived in time, and the errors of [`Reader::next`].
    pub async fn next_within(&mut self, timeout: time::Duration) -> error::Result<Option<Vec<u8>>> {
        let expired = async {
            async_io::Timer::after(timeout).await;
            Err(error::Error::Timeout)
        };
        futures_lite::future::or(self.next(), expired).await
    }

    /// Returns the rest of the body.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::TooLong`] if it is longer than `limit` bytes, and the errors of [`Reader::next`].
    pub async fn bytes(&mut self, limit: usize) -> error::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        while let Some(piece) = self.next().await? {
            append(&mut bytes, piece, limit)?;
        }
        Ok(bytes)
    }

    /// Returns the rest of the body, whose memory is added to `reservation`.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Memory`] if the account has too little left, and the errors of [`Reader::bytes`].
    pub async fn bytes_in(
        &mut self,
        limit: usize,
        reservation: &mut memory::Reservation,
    ) -> error::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        while let Some(piece) = self.next().await? {
            if !reservation.grow(piece.len()) {
                return Err(error::Error::Memory);
            }
            append(&mut bytes, piece, limit)?;
        }
        Ok(bytes)
    }

    /// Returns the rest of the body, which must not arrive more slowly than `pace`.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Timeout`] if the body arrives too slowly, and the errors of [`Reader::bytes`].
    pub async fn bytes_at(&mut self, limit: usize, pace: pace::Pace) -> error::Result<Vec<u8>> {
        let started = time::Instant::now();
        let mut bytes = Vec::new();
        loop {
            let patience = pace.patience(started.elapsed(), bytes.len());
            let patience = patience.ok_or(error::Error::Timeout)?;
            match self.next_within(patience).await? {
                Some(piece) => append(&mut bytes, piece, limit)?,
                None => return Ok(bytes),
            }
        }
    }

    pub(super) fn disable_reuse(&mut self) {
        self.recycler = None;
    }

    fn end(&mut self) {
        self.body = None;
        self.piece = Vec::new();
        let reusable = self.progress.is_reusable();
        if let (Some(connection), Some(recycler), true) =
            (self.connection.take(), self.recycler.take(), reusable)
        {
            recycler.put(connection);
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

/// Appends a piece to a body that may have at most `limit` bytes.
fn append(bytes: &mut Vec<u8>, piece: Vec<u8>, limit: usize) -> error::Result<()> {
    if bytes.len() + piece.len() > limit {
        return Err(error::Error::TooLong(limit));
    }
    if bytes.is_empty() {
        *bytes = piece;
    } else {
        bytes.extend_from_slice(&piece);
    }
    Ok(())
}

/// Fills the buffer with the bytes that are available without waiting.
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
            // The source returns its error again on the next read.
            task::Poll::Pending | task::Poll::Ready(Err(_)) if filled > 0 => break,
            other => return other,
        }
    }
    task::Poll::Ready(Ok(filled))
}
