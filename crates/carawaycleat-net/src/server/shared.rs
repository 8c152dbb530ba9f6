use std::convert;
use std::sync;
use std::sync::atomic;

use crate::limits;
use crate::server::counts;

/// The number of refused connections that are answered at the same time; others are closed without an answer.
const REFUSALS: usize = 256;

/// A channel that carries nothing; closing it is the signal.
pub(super) type Signal = async_channel::Receiver<convert::Infallible>;

/// Waits for a signal.
pub(super) async fn ended(signal: &Signal) {
    let _ = signal.recv().await;
}

#[derive(Debug)]
pub(super) struct Signals {
    pub(super) accepting: Signal,
}

/// State that the connections of a server share.
#[derive(Debug)]
pub(super) struct Shared {
    limits: sync::Mutex<limits::Limits>,
    /// Whether a handler is dropped when its caller goes away.
    pub(super) cancels_on_disconnect: bool,
    pub(super) stopping: atomic::AtomicBool,
    pub(super) malformed: atomic::AtomicU64,
    pub(super) idle: Signal,
    pub(super) abort: Signal,
    accepted: atomic::AtomicU64,
    refused: atomic::AtomicU64,
    queue_full: atomic::AtomicU64,
    requests: atomic::AtomicU64,
    open: atomic::AtomicUsize,
    refusals: atomic::AtomicUsize,
    active: atomic::AtomicUsize,
    accepting: Signal,
    /// Receives when a counter has reached zero during a stop.
    notice: (async_channel::Sender<()>, async_channel::Receiver<()>),
    _senders: [async_channel::Sender<convert::Infallible>; 3],
}

impl Shared {
    pub(super) fn new(limits: limits::Limits, cancels_on_disconnect: bool) -> (Self, Signals) {
        let (accepting_sender, accepting) = async_channel::bounded(1);
        let (idle_sender, idle) = async_channel::bounded(1);
        let (abort_sender, abort) = async_channel::bounded(1);
        let shared = Self {
            limits: sync::Mutex::new(limits),
            cancels_on_disconnect,
            stopping: atomic::AtomicBool::new(false),
            malformed: atomic::AtomicU64::new(0),
            idle,
            abort,
            accepted: atomic::AtomicU64::new(0),
            refused: atomic::AtomicU64::new(0),
            queue_full: atomic::AtomicU64::new(0),
            requests: atomic::AtomicU64::new(0),
            open: atomic::AtomicUsize::new(0),
            refusals: atomic::AtomicUsize::new(0),
            active: atomic::AtomicUsize::new(0),
            accepting: accepting.clone(),
            notice: async_channel::bounded(1),
            _senders: [accepting_sender, idle_sender, abort_sender],
        };
        (shared, Signals { accepting })
    }

    pub(super) fn limits(&self) -> limits::Limits {
        self.limits
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }

    pub(super) fn set_limits(&self, limits: limits::Limits) {
        *self
            .limits
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner) = limits;
    }

    pub(super) fn close_after_responses(&self) {
        self.stopping.store(true, atomic::Ordering::SeqCst);
    }

    pub(super) fn stop_accepting(&self) {
        self.close_after_responses();
        self.accepting.close();
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::SeqCst)
    }

    pub(super) fn active_requests(&self) -> usize {
        self.active.load(atomic::Ordering::SeqCst)
    }

    /// Waits until no request is in progress.
    pub(super) async fn quiet(&self) {
        self.reaches_zero(&self.active).await;
    }

    /// Waits until no connection is open.
    pub(super) async fn closed(&self) {
        self.reaches_zero(&self.open).await;
    }

    async fn reaches_zero(&self, counter: &atomic::AtomicUsize) {
        while counter.load(atomic::Ordering::SeqCst) > 0 {
            let _ = self.notice.1.recv().await;
        }
        // Another caller may wait for the same notice.
        let _ = self.notice.0.try_send(());
    }

    /// Subtracts one from `counter` and wakes those who wait for zero.
    fn release(&self, counter: &atomic::AtomicUsize) {
        if counter.fetch_sub(1, atomic::Ordering::SeqCst) == 1 && self.is_stopping() {
            let _ = self.notice.0.try_send(());
        }
    }

    pub(super) fn counts(&self) -> counts::Counts {
        counts::Counts {
            accepted: self.accepted.load(atomic::Ordering::Relaxed),
            open: self.open.load(atomic::Ordering::Relaxed),
            refused: self.refused.load(atomic::Ordering::Relaxed),
            malformed: self.malformed.load(atomic::Ordering::Relaxed),
            queue_full: self.queue_full.load(atomic::Ordering::Relaxed),
            requests: self.requests.load(atomic::Ordering::Relaxed),
        }
    }

    pub(super) fn count_request(&self) {
        self.requests.fetch_add(1, atomic::Ordering::Relaxed);
    }
}

/// Adds one to `counter` unless it has reached `limit`.
fn take(counter: &atomic::AtomicUsize, limit: usize) -> bool {
    let next = |count: usize| (count < limit).then_some(count + 1);
    counter
        .fetch_update(atomic::Ordering::SeqCst, atomic::Ordering::SeqCst, next)
        .is_ok()
}

/// An open connection, counted until it is dropped.
#[derive(Debug)]
pub(super) struct Open {
    pub(super) shared: sync::Arc<Shared>,
    refused: bool,
}

impl Open {
    /// Counts a connection, unless too many are open.
    pub(super) fn new(shared: &sync::Arc<Shared>) -> Option<Self> {
        if !take(&shared.open, shared.limits().max_connections) {
            shared.refused.fetch_add(1, atomic::Ordering::Relaxed);
            return None;
        }
        shared.accepted.fetch_add(1, atomic::Ordering::Relaxed);
        Some(Self {
            shared: shared.clone(),
            refused: false,
        })
    }

    /// Counts a refused connection while it is answered, unless too many are.
    pub(super) fn refused(shared: &sync::Arc<Shared>) -> Option<Self> {
        take(&shared.refusals, REFUSALS).then(|| Self {
            shared: shared.clone(),
            refused: true,
        })
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let shared = &self.shared;
        shared.release(if self.refused {
            &shared.refusals
        } else {
            &shared.open
        });
    }
}

/// A request in progress, counted until it is dropped.
#[derive(Debug)]
pub(super) struct Active(sync::Arc<Shared>);

impl Active {
    /// Counts a request, unless too many are in progress.
    pub(super) fn new(shared: &sync::Arc<Shared>) -> Option<Self> {
        if !take(&shared.active, shared.limits().max_requests) {
            shared.queue_full.fetch_add(1, atomic::Ordering::Relaxed);
            return None;
        }
        Some(Self(shared.clone()))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.release(&self.0.active);
    }
}
