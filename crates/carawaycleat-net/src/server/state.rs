use std::convert;
use std::sync;
use std::sync::atomic;

use crate::limits;
use crate::memory;
use crate::request;
use crate::server::counts;
use crate::server::observer;

/// The maximum number of refused connections that get an error response at the same time; others are closed without a
/// response.
const MAX_REFUSALS: usize = 256;

/// The memory that a request takes in terms of its body: the body and a copy that is passed on.
const BODY_COPIES: usize = 2;

/// A channel without messages; it is closed to give the signal.
pub(super) type Signal = async_channel::Receiver<convert::Infallible>;

/// Waits for the signal.
pub(super) async fn signalled(signal: &Signal) {
    let _ = signal.recv().await;
}

#[derive(Debug)]
pub(super) struct Signals {
    pub(super) accepting: Signal,
}

/// State shared by a server, its handles and its connections.
#[derive(Debug)]
pub(super) struct State {
    limits: sync::Mutex<limits::Limits>,
    /// Whether a handler is dropped when its caller disconnects.
    pub(super) cancels_on_disconnect: bool,
    /// Told of the requests whose caller disconnected before their handler was started.
    abandonment_observer: Option<observer::Observer>,
    pub(super) stopping: atomic::AtomicBool,
    pub(super) malformed: atomic::AtomicU64,
    pub(super) close_idle: Signal,
    pub(super) abort: Signal,
    accepted: atomic::AtomicU64,
    refused: atomic::AtomicU64,
    queue_full: atomic::AtomicU64,
    requests: atomic::AtomicU64,
    open: atomic::AtomicUsize,
    refusals: atomic::AtomicUsize,
    active: atomic::AtomicUsize,
    accepting: Signal,
    /// Notifies waiting tasks that a counter has reached zero while the server is stopping.
    zero_reached: (async_channel::Sender<()>, async_channel::Receiver<()>),
    _senders: [async_channel::Sender<convert::Infallible>; 3],
}

impl State {
    pub(super) fn new(
        limits: limits::Limits,
        cancels_on_disconnect: bool,
        abandonment_observer: Option<observer::Observer>,
    ) -> (Self, Signals) {
        let (accepting_sender, accepting) = async_channel::bounded(1);
        let (close_idle_sender, close_idle) = async_channel::bounded(1);
        let (abort_sender, abort) = async_channel::bounded(1);
        let state = Self {
            limits: sync::Mutex::new(limits),
            cancels_on_disconnect,
            abandonment_observer,
            stopping: atomic::AtomicBool::new(false),
            malformed: atomic::AtomicU64::new(0),
            close_idle,
            abort,
            accepted: atomic::AtomicU64::new(0),
            refused: atomic::AtomicU64::new(0),
            queue_full: atomic::AtomicU64::new(0),
            requests: atomic::AtomicU64::new(0),
            open: atomic::AtomicUsize::new(0),
            refusals: atomic::AtomicUsize::new(0),
            active: atomic::AtomicUsize::new(0),
            accepting: accepting.clone(),
            zero_reached: async_channel::bounded(1),
            _senders: [accepting_sender, close_idle_sender, abort_sender],
        };
        (state, Signals { accepting })
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
    pub(super) async fn requests_finished(&self) {
        self.wait_for_zero(&self.active).await;
    }

    /// Waits until no connection is open.
    pub(super) async fn connections_closed(&self) {
        self.wait_for_zero(&self.open).await;
    }

    async fn wait_for_zero(&self, counter: &atomic::AtomicUsize) {
        while counter.load(atomic::Ordering::SeqCst) > 0 {
            let _ = self.zero_reached.1.recv().await;
        }
        // Another task may wait for the same notification.
        let _ = self.zero_reached.0.try_send(());
    }

    /// Subtracts one from `counter`, and notifies the tasks that wait for zero.
    fn release(&self, counter: &atomic::AtomicUsize) {
        if counter.fetch_sub(1, atomic::Ordering::SeqCst) == 1 && self.is_stopping() {
            let _ = self.zero_reached.0.try_send(());
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

    /// Reports a request whose caller disconnected before its handler was started.
    pub(super) fn abandon(&self, request: &request::Request) {
        if let Some(observer) = &self.abandonment_observer {
            observer.observe(request);
        }
    }
}

/// Increments `counter` unless it has reached `limit`.
fn try_increment(counter: &atomic::AtomicUsize, limit: usize) -> bool {
    let next = |count: usize| (count < limit).then_some(count + 1);
    counter
        .fetch_update(atomic::Ordering::SeqCst, atomic::Ordering::SeqCst, next)
        .is_ok()
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    pub(super) state: sync::Arc<State>,
    refused: bool,
}

impl ConnectionGuard {
    /// Counts a connection; returns none if too many are open.
    pub(super) fn new(state: &sync::Arc<State>) -> Option<Self> {
        if !try_increment(&state.open, state.limits().max_connections) {
            state.refused.fetch_add(1, atomic::Ordering::Relaxed);
            return None;
        }
        state.accepted.fetch_add(1, atomic::Ordering::Relaxed);
        Some(Self {
            state: state.clone(),
            refused: false,
        })
    }

    /// Counts a refused connection while its error response is written; returns none if there are too many of them.
    pub(super) fn for_refusal(state: &sync::Arc<State>) -> Option<Self> {
        try_increment(&state.refusals, MAX_REFUSALS).then(|| Self {
            state: state.clone(),
            refused: true,
        })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let state = &self.state;
        state.release(if self.refused {
            &state.refusals
        } else {
            &state.open
        });
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(super) struct RequestGuard {
    state: sync::Arc<State>,
    /// The memory of the body.
    reservation: Option<memory::Reservation>,
}

impl RequestGuard {
    /// Counts a request; returns none if too many are in progress.
    pub(super) fn new(state: &sync::Arc<State>) -> Option<Self> {
        if !try_increment(&state.active, state.limits().max_requests) {
            state.queue_full.fetch_add(1, atomic::Ordering::Relaxed);
            return None;
        }
        let memory = state.limits().memory;
        Some(Self {
            state: state.clone(),
            reservation: memory.map(|memory| memory.reservation()),
        })
    }

    /// Reserves memory for further bytes of the body and for their copy. Returns false if too little is left.
    pub(super) fn reserve(&mut self, bytes: usize) -> bool {
        let Some(reservation) = &mut self.reservation else {
            return true;
        };
        let is_reserved = reservation.grow(bytes.saturating_mul(BODY_COPIES));
        if !is_reserved {
            self.state
                .queue_full
                .fetch_add(1, atomic::Ordering::Relaxed);
        }
        is_reserved
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.release(&self.state.active);
    }
}
