use std::collections;
use std::convert;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::limits;
use crate::request;
use crate::server::counts;
use crate::server::entry;
use crate::server::observer;
use crate::server::reason;
use crate::server::unanswered;

/// The maximum number of refused connections that get an error response at the same time; others are closed without a
/// response.
const MAX_REFUSALS: usize = 256;

/// A channel without messages; it is closed to give the signal.
pub(super) type Signal = async_channel::Receiver<convert::Infallible>;

/// Waits for the signal.
pub(super) async fn signalled(signal: &Signal) {
    let _ = signal.recv().await;
}

/// The signals of the task that accepts connections.
#[derive(Debug)]
pub(super) struct Signals {
    /// Tells the task to stop.
    pub(super) accepting: Signal,
    /// Dropped when the task has ended.
    _listening: async_channel::Sender<convert::Infallible>,
}

/// State shared by a server, its handles and its connections.
#[derive(Debug)]
pub(super) struct State {
    limits: sync::Mutex<limits::Limits>,
    /// The idle timeout before it was shortened, and the time until which it still applies.
    earlier_idle_timeout: sync::Mutex<Option<(time::Duration, time::Instant)>>,
    /// Whether a handler is dropped when its caller disconnects.
    pub(super) cancels_on_disconnect: bool,
    /// Told of the requests without a complete response.
    observer: Option<observer::Observer>,
    /// The requests in progress, by a number of their own.
    in_progress: sync::Mutex<collections::HashMap<u64, sync::Arc<entry::Entry>>>,
    next_key: atomic::AtomicU64,
    pub(super) stopping: atomic::AtomicBool,
    pub(super) malformed: atomic::AtomicU64,
    pub(super) close_idle: Signal,
    pub(super) refuse_incomplete: Signal,
    pub(super) abort: Signal,
    accepted: atomic::AtomicU64,
    /// When the latest connection was accepted.
    last_accept: sync::Mutex<Option<time::Instant>>,
    refused: atomic::AtomicU64,
    queue_full: atomic::AtomicU64,
    requests: atomic::AtomicU64,
    open: atomic::AtomicUsize,
    refusals: atomic::AtomicUsize,
    active: atomic::AtomicUsize,
    accepting: Signal,
    /// Signals that no more connections are accepted.
    listener_closed: Signal,
    /// Notifies waiting tasks that a counter has reached zero while the server is stopping.
    zero_reached: (async_channel::Sender<()>, async_channel::Receiver<()>),
    _senders: [async_channel::Sender<convert::Infallible>; 4],
}

impl State {
    pub(super) fn new(
        limits: limits::Limits,
        cancels_on_disconnect: bool,
        observer: Option<observer::Observer>,
    ) -> (Self, Signals) {
        let (accepting_sender, accepting) = async_channel::bounded(1);
        let (close_idle_sender, close_idle) = async_channel::bounded(1);
        let (refuse_sender, refuse_incomplete) = async_channel::bounded(1);
        let (listening, listener_closed) = async_channel::bounded(1);
        let (abort_sender, abort) = async_channel::bounded(1);
        let state = Self {
            limits: sync::Mutex::new(limits),
            earlier_idle_timeout: sync::Mutex::default(),
            cancels_on_disconnect,
            observer,
            in_progress: sync::Mutex::default(),
            next_key: atomic::AtomicU64::new(0),
            stopping: atomic::AtomicBool::new(false),
            malformed: atomic::AtomicU64::new(0),
            close_idle,
            refuse_incomplete,
            abort,
            accepted: atomic::AtomicU64::new(0),
            last_accept: sync::Mutex::default(),
            refused: atomic::AtomicU64::new(0),
            queue_full: atomic::AtomicU64::new(0),
            requests: atomic::AtomicU64::new(0),
            open: atomic::AtomicUsize::new(0),
            refusals: atomic::AtomicUsize::new(0),
            active: atomic::AtomicUsize::new(0),
            accepting: accepting.clone(),
            listener_closed,
            zero_reached: async_channel::bounded(1),
            _senders: [
                accepting_sender,
                close_idle_sender,
                refuse_sender,
                abort_sender,
            ],
        };
        let signals = Signals {
            accepting,
            _listening: listening,
        };
        (state, signals)
    }

    pub(super) fn limits(&self) -> limits::Limits {
        lock(&self.limits).clone()
    }

    /// Replaces the limits. A longer idle timeout still applies for its own length, because callers that do not know of the
    /// change yet send requests on connections that would be closed.
    pub(super) fn set_limits(&self, limits: limits::Limits, now: time::Instant) {
        let replaced = std::mem::replace(&mut *lock(&self.limits), limits.clone());
        if replaced.idle_timeout > limits.idle_timeout {
            let mut earlier = lock(&self.earlier_idle_timeout);
            let replaced = (replaced.idle_timeout, now + replaced.idle_timeout);
            *earlier = match earlier.filter(|(_, until)| now < *until) {
                Some((timeout, until)) => Some((timeout.max(replaced.0), until.max(replaced.1))),
                None => Some(replaced),
            };
        }
    }

    /// Returns how long a connection may be idle.
    pub(super) fn idle_timeout(&self, now: time::Instant) -> time::Duration {
        let earlier = *lock(&self.earlier_idle_timeout);
        let earlier = earlier.filter(|(_, until)| now < *until);
        let current = lock(&self.limits).idle_timeout;
        earlier.map_or(current, |(earlier, _)| earlier.max(current))
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

    /// Records that a connection was accepted, which may be refused.
    pub(super) fn record_accept(&self, now: time::Instant) {
        *lock(&self.last_accept) = Some(now);
    }

    /// Waits until no connection has been accepted for `quiet`.
    pub(super) async fn connections_ceased(&self, quiet: time::Duration) {
        loop {
            let accepted = *lock(&self.last_accept);
            match accepted.map(|at| at + quiet) {
                Some(at) if at > time::Instant::now() => async_io::Timer::at(at).await,
                _ => return,
            };
        }
    }

    /// Waits until no more connections are accepted.
    pub(super) async fn listener_closed(&self) {
        signalled(&self.listener_closed).await;
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

    pub(super) fn count_queue_full(&self) {
        self.queue_full.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts a request as in progress. Returns its key, or none if `limit` requests are in progress.
    pub(super) fn begin(&self, entry: sync::Arc<entry::Entry>, limit: usize) -> Option<u64> {
        if !try_increment(&self.active, limit) {
            self.count_queue_full();
            return None;
        }
        let key = self.next_key.fetch_add(1, atomic::Ordering::Relaxed);
        lock(&self.in_progress).insert(key, entry);
        Some(key)
    }

    /// Ends a request in progress.
    pub(super) fn end(&self, key: u64) {
        lock(&self.in_progress).remove(&key);
        self.release(&self.active);
    }

    /// Returns the requests in progress as ones that the end of the server leaves without a complete response.
    pub(super) fn unfinished(&self) -> Vec<unanswered::Unanswered> {
        lock(&self.in_progress)
            .values()
            .map(|entry| entry.unanswered(reason::Reason::ServerAborted))
            .collect()
    }

    /// Returns the identifier of a request; none without an observer.
    pub(super) fn id(&self, request: &request::Request) -> Option<String> {
        self.observer.as_ref()?.id(request)
    }

    /// Tells the observer of a request without a complete response.
    pub(super) fn report(&self, request: unanswered::Unanswered) {
        if let Some(observer) = &self.observer {
            observer.observe(request);
        }
    }
}

/// Locks a mutex and ignores poisoning: no update of the values behind it can be interrupted.
fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
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
