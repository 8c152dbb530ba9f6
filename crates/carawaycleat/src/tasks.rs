//! The tasks of one daemon.

use std::sync;

use carawaycleat_net as net;

/// Runs the tasks of a daemon and ends them with it.
///
/// A daemon whose tasks went on would act beside its successor on the same address.
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

    /// Runs a task beside the others until it ends or the daemon has stopped.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stopped = self.stop_receiver.clone();
        let stopped = async move {
            let _ = stopped.recv().await;
        };
        self.executor
            .spawn(futures_lite::future::or(task, stopped))
            .detach();
    }

    /// Runs a task that the end of the daemon does not cut, such as the rest of an answer.
    pub(crate) fn spawn_uncancelled(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Ends all tasks but those that run to their end.
    pub(crate) fn cancel_all(&self) {
        self.stop_sender.close();
    }
}
