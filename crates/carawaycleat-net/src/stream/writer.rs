use std::sync;
use std::sync::atomic;

use crate::error;

/// The sending end of a streamed body.
///
/// Dropping it without [`Writer::finish`] aborts the connection, so that the caller detects the truncated body.
#[derive(Debug)]
pub struct Writer {
    sender: async_channel::Sender<Vec<u8>>,
    finished: sync::Arc<atomic::AtomicBool>,
}

impl Writer {
    pub(super) fn new(
        sender: async_channel::Sender<Vec<u8>>,
        finished: sync::Arc<atomic::AtomicBool>,
    ) -> Self {
        Self { sender, finished }
    }

    /// Sends a chunk, and waits while the stream is full.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Closed`] if the caller has disconnected.
    pub async fn send(&self, chunk: impl Into<Vec<u8>>) -> error::Result<()> {
        self.sender
            .send(chunk.into())
            .await
            .map_err(|_| error::Error::Closed)
    }

    /// Sends a chunk unless the stream is full.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Full`] if the stream is full and [`error::Error::Closed`] if the caller has disconnected.
    pub fn try_send(&self, chunk: impl Into<Vec<u8>>) -> error::Result<()> {
        self.sender
            .try_send(chunk.into())
            .map_err(|failure| match failure {
                async_channel::TrySendError::Full(_) => error::Error::Full,
                async_channel::TrySendError::Closed(_) => error::Error::Closed,
            })
    }

    /// Ends the body. Queued chunks are still sent.
    pub fn finish(self) {
        self.finished.store(true, atomic::Ordering::Release);
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Returns whether the caller has disconnected.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
