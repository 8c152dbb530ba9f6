/// The number of bytes that a task reads or writes before it lets the other tasks of its thread run.
const TURN_BYTES: usize = 64 * 1024;

/// Makes a task yield at regular intervals while its socket is ready at once.
///
/// Such a read or write completes without a pause, so that a loop over them would keep timers and all other tasks of the
/// thread from running.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    spent: usize,
}

impl Budget {
    /// Counts bytes that were read or written.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.spent = self.spent.saturating_add(bytes);
    }

    /// Yields once if the bytes of a turn have been spent. Called before a read, so that no bytes are lost if the caller
    /// drops the future.
    pub(crate) async fn turn(&mut self) {
        if self.spent >= TURN_BYTES {
            self.spent = 0;
            futures_lite::future::yield_now().await;
        }
    }
}
