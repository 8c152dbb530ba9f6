//! The tasks of one daemon.

use std::sync;

use carawaycleat_net as net;

/// Spawns the tasks of a daemon and cancels them when it stops.
///
/// Tasks that kept running would act alongside the next daemon on the same address.
#[derive(Debug)]
pub(crate) struct Tasks {
    executor: sync::Arc<net::Executor>,
    stop_sender: async_channel::Sender<()>,
    /// Closed when the daemon has stopped.
    stop_receiver: async_channel::Receiver<()>,
}

impl Tasks {
    pub(crate) fn new(executor: sync::Arc<net::Executor>) -> Self {
        let (stop_sender, stop_receiver) = async_channel::bounded(1);
        Self {
            executor,
            stop_sender,
            stop_receiver,
        }
    }

    /// Spawns a task that is cancelled when the daemon stops.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stopped = self.stop_receiver.clone();
        let stopped = async move {
            let _ = stopped.recv().await;
        };
        self.executor
            .spawn(futures_lite::future::or(task, stopped))
            .detach();
    }

    /// Spawns a task that is not cancelled when the daemon stops, such as the rest of a response.
    pub(crate) fn spawn_uncancelled(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Cancels all tasks except those of [`spawn_uncancelled`](Self::spawn_uncancelled).
    pub(crate) fn cancel_all(&self) {
        self.stop_sender.close();
    }
}
