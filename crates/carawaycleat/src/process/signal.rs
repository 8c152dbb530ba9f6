use std::io;
use std::os::unix::net;

use futures_lite::AsyncReadExt as _;
use signal_hook::consts;
use signal_hook::low_level::pipe;

/// A receiver of the signals that stop the process.
#[derive(Debug)]
pub(super) struct Stop {
    receiver: async_io::Async<net::UnixStream>,
}

impl Stop {
    /// Registers handlers for SIGTERM and SIGINT.
    pub(super) fn register() -> io::Result<Self> {
        let (receiver, sender) = net::UnixStream::pair()?;
        pipe::register(consts::SIGTERM, sender.try_clone()?)?;
        pipe::register(consts::SIGINT, sender)?;
        Ok(Self {
            receiver: async_io::Async::new(receiver)?,
        })
    }

    /// Waits for the next signal.
    pub(super) async fn wait(&mut self) {
        let mut byte = [0];
        if self.receiver.read(&mut byte).await.is_err() {
            futures_lite::future::pending::<()>().await;
        }
    }
}
