use std::sync;
use std::sync::atomic;

use crate::error;

/// The sending end of a streamed body.
///
/// Dropping it without [`Writer::finish`] aborts the connection, so that the caller sees a cut body.
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

    /// Sends a chunk, waiting while the stream is full.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Closed`] when the caller is gone.
    pub async fn send(&self, chunk: impl Into<Vec<u8>>) -> error::Result<()> {
        self.sender
            .send(chunk.into())
            .await
            .map_err(|_| error::Error::Closed)
    }

    /// Sends a chunk if there is room.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Full`] when there is no room and [`error::Error::Closed`] when the caller is gone.
    pub fn try_send(&self, chunk: impl Into<Vec<u8>>) -> error::Result<()> {
        self.sender
            .try_send(chunk.into())
            .map_err(|failure| match failure {
                async_channel::TrySendError::Full(_) => error::Error::Full,
                async_channel::TrySendError::Closed(_) => error::Error::Closed,
            })
    }

    /// Ends the body. Chunks that wait are still sent.
    pub fn finish(self) {
        self.finished.store(true, atomic::Ordering::Release);
    }

    /// Waits until the caller is gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Returns whether the caller is gone.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
