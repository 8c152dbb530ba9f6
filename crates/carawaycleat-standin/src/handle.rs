use std::net;
use std::sync;
use std::time;

use carawaycleat_core::clock;

use carawaycleat_net as http;

/// A running stand-in. It runs on when the handle is dropped.
///
/// The functions of its state machine are called through [`Handle::with`].
#[derive(Debug)]
pub struct Handle<S> {
    server: http::Handle,
    shared: sync::Arc<Shared<S>>,
}

impl<S> Clone for Handle<S> {
    fn clone(&self) -> Self {
        Self {
            server: self.server.clone(),
            shared: self.shared.clone(),
        }
    }
}

impl<S> Handle<S> {
    pub(crate) fn new(server: http::Handle, shared: sync::Arc<Shared<S>>) -> Self {
        Self { server, shared }
    }

    /// Returns the address that the stand-in listens on.
    pub fn local_address(&self) -> net::SocketAddr {
        self.server.local_address()
    }

    /// Calls `change` with the state machine and the current time, and lets waiting calls see the change.
    pub fn with<R>(&self, change: impl FnOnce(&mut S, clock::Instant) -> R) -> R {
        self.shared.with(change)
    }

    /// Waits until `condition` holds after a call or an event of the state machine.
    pub async fn until(&self, condition: impl FnMut(&mut S, clock::Instant) -> bool) {
        self.shared.until(condition).await;
    }

    /// Closes the listener and all connections, as a killed process does.
    pub fn stop(&self) {
        self.server.abort();
        self.shared.stop();
    }
}

/// A state machine that calls share.
#[derive(Debug)]
pub(crate) struct Shared<S> {
    state: sync::Mutex<S>,
    waiting: sync::Mutex<Vec<async_channel::Sender<()>>>,
    stopped: sync::atomic::AtomicBool,
    origin: time::Instant,
    // The time of `origin` since the Unix epoch, so that reported times can be compared with those of other processes.
    epoch: time::Duration,
}

impl<S> Shared<S> {
    pub(crate) fn new(state: S) -> sync::Arc<Self> {
        let epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        sync::Arc::new(Self {
            state: sync::Mutex::new(state),
            waiting: sync::Mutex::default(),
            stopped: sync::atomic::AtomicBool::new(false),
            origin: time::Instant::now(),
            epoch: epoch.unwrap_or_default(),
        })
    }

    /// Calls `look` without telling the waiting tasks.
    pub(crate) fn look<R>(&self, look: impl FnOnce(&mut S, clock::Instant) -> R) -> R {
        // A panic in a test's closure must not make each later call panic too.
        let mut state = self
            .state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        // Read under the lock, so that the state machine never sees the time go back.
        let now = clock::Instant::default() + self.epoch + self.origin.elapsed();
        look(&mut state, now)
    }

    pub(crate) fn with<R>(&self, change: impl FnOnce(&mut S, clock::Instant) -> R) -> R {
        let result = self.look(change);
        self.notify();
        result
    }

    pub(crate) fn notify(&self) {
        let mut waiting = self.lock_waiting();
        waiting.retain(|sender| !sender.is_closed());
        for sender in waiting.iter() {
            // A full channel has a notification that its task has not seen yet.
            let _ = sender.try_send(());
        }
    }

    fn lock_waiting(&self) -> sync::MutexGuard<'_, Vec<async_channel::Sender<()>>> {
        self.waiting
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns a channel with a message whenever the state may have changed.
    pub(crate) fn subscribe(&self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.lock_waiting().push(sender);
        receiver
    }

    pub(crate) async fn until(&self, mut condition: impl FnMut(&mut S, clock::Instant) -> bool) {
        let changed = self.subscribe();
        while !self.look(&mut condition) {
            if changed.recv().await.is_err() {
                return;
            }
        }
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, sync::atomic::Ordering::Release);
        self.notify();
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(sync::atomic::Ordering::Acquire)
    }

    /// Calls `advance` at each instant that it returns and after each change, until the stand-in is stopped.
    pub(crate) async fn drive(
        &self,
        mut advance: impl FnMut(&mut S, clock::Instant) -> Option<clock::Instant>,
    ) {
        let changed = self.subscribe();
        while !self.is_stopped() {
            let wait = self.look(|state, now| advance(state, now).map(|next| next.since(now)));
            wait_for(&changed, wait).await;
        }
    }
}

/// Waits for a change, at most for `limit`.
pub(crate) async fn wait_for(changed: &async_channel::Receiver<()>, limit: Option<time::Duration>) {
    let change = async {
        let _ = changed.recv().await;
    };
    match limit {
        Some(limit) => futures_lite::future::or(change, pause(limit)).await,
        None => change.await,
    }
}

pub(crate) async fn pause(time: time::Duration) {
    if !time.is_zero() {
        async_io::Timer::after(time).await;
    }
}
