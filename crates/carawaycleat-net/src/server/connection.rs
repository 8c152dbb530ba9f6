use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWriteExt as _;

use crate::budget;
use crate::limits;
use crate::request;
use crate::response;
use crate::scanner;
use crate::server::active;
use crate::server::encoder;
use crate::server::entry;
use crate::server::incoming;
use crate::server::peek;
use crate::server::reason;
use crate::server::refusal;
use crate::server::state;

const READ_BYTES: usize = 4 * 1024;
/// How long a closing connection still reads. Closing a socket with unread bytes resets the connection, and the caller may
/// then lose the response.
#[derive(Clone, Copy)]
struct Linger {
    /// How long while nothing arrives.
    silence: time::Duration,
    /// How long in all.
    total: time::Duration,
}

/// A caller may send the whole body before it reads a refusal.
const LINGER: Linger = Linger {
    silence: time::Duration::from_secs(1),
    total: time::Duration::from_secs(10),
};
/// For a connection that is closed because it was idle. A request that crosses the close arrives within a round trip.
const IDLE_LINGER: Linger = Linger {
    silence: time::Duration::from_millis(250),
    total: time::Duration::from_secs(1),
};
/// How many bytes a closing connection still reads.
const MAX_LINGER_BYTES: usize = 16 * 1024 * 1024;
/// How long a connection stays open after it was accepted, or after a response whose head promised to keep it, even if
/// idle connections are being closed. The caller's next request may follow at once; a round trip takes some milliseconds.
const KEEP_ALIVE_GRACE: time::Duration = time::Duration::from_millis(250);

/// Why no request was received from a connection.
enum Stop {
    /// The connection is closed without a response.
    Close,
    /// The connection was idle for too long, or the server closes its idle connections.
    Idle,
    /// The request is refused, and the connection is closed after the response.
    Refuse(refusal::Refusal),
}

impl From<io::Error> for Stop {
    fn from(_: io::Error) -> Self {
        Self::Close
    }
}

impl From<refusal::Refusal> for Stop {
    fn from(refusal: refusal::Refusal) -> Self {
        Self::Refuse(refusal)
    }
}

/// A received request, which counts as in progress, and what is needed to write its response.
struct Incoming {
    request: request::Request,
    method: http_types::Method,
    close: bool,
    active: active::Active,
}

/// A connection from a caller.
#[derive(Debug)]
pub(super) struct Connection {
    stream: async_io::Async<net::TcpStream>,
    peer: net::SocketAddr,
    accepted: time::Instant,
    guard: state::ConnectionGuard,
    /// Received bytes that no request has consumed yet.
    buffer: Vec<u8>,
    budget: budget::Budget,
    /// Whether a request was received.
    is_used: bool,
}

impl Connection {
    pub(super) fn new(
        stream: async_io::Async<net::TcpStream>,
        peer: net::SocketAddr,
        guard: state::ConnectionGuard,
    ) -> Self {
        // Otherwise, small writes of a streamed response wait until the previous write is acknowledged.
        let _ = stream.get_ref().set_nodelay(true);
        Self {
            stream,
            peer,
            accepted: time::Instant::now(),
            guard,
            buffer: Vec::new(),
            budget: budget::Budget::default(),
            is_used: false,
        }
    }

    /// Serves requests until the connection is closed or the server is aborted.
    pub(super) async fn run<H, F>(self, handler: sync::Arc<H>)
    where
        H: Fn(request::Request) -> F + Send + Sync + 'static,
        F: Future<Output = response::Response> + Send + 'static,
    {
        let abort = self.guard.state.abort.clone();
        futures_lite::future::or(state::signalled(&abort), self.serve(handler)).await;
    }

    async fn serve<H, F>(mut self, handler: sync::Arc<H>)
    where
        H: Fn(request::Request) -> F,
        F: Future<Output = response::Response>,
    {
        loop {
            let incoming = match self.receive().await {
                Ok(incoming) => incoming,
                Err(Stop::Close) => return,
                Err(Stop::Idle) => return self.close_idle().await,
                Err(Stop::Refuse(refusal)) => return self.refuse(refusal).await,
            };
            self.is_used = true;
            let active = incoming.active;
            let state = &self.guard.state;
            state.count_request();
            if state.cancels_on_disconnect
                && peek::Peek::new(&self.stream) == peek::Peek::Disconnected
            {
                return active.unanswered(reason::Reason::GoneBeforeHandler);
            }
            let disconnected = async {
                if !state.cancels_on_disconnect {
                    return std::future::pending().await;
                }
                encoder::disconnected(&self.stream).await;
                None
            };
            // The disconnect goes first, so that a handler that could continue at the same time does not.
            let handled = futures_lite::future::or(disconnected, async {
                Some(handler(incoming.request).await)
            });
            let Some(response) = handled.await else {
                return active.unanswered(reason::Reason::GoneDuringHandler);
            };
            // A request that was pipelined behind this one is not run; closing the connection tells the caller so.
            let close = incoming.close
                || !self.buffer.is_empty()
                || peek::Peek::new(&self.stream) == peek::Peek::Sent
                || state.is_stopping();
            let close = close || response.headers.has_token("connection", "close");
            let written = encoder::write(
                &self.stream,
                response,
                incoming.method,
                close,
                state.limits().write_stall_timeout,
                active.head_written(),
                &mut self.buffer,
            )
            .await;
            match written {
                Ok(()) => active.answered(),
                Err(reason) => {
                    active.unanswered(reason);
                    return self.report_discarded(time::Instant::now());
                }
            }
            if close {
                return self.close().await;
            }
        }
    }

    /// Closes a connection after a response whose head has said so.
    async fn close(mut self) {
        let since = time::Instant::now();
        linger(&self.stream, &mut self.buffer, LINGER).await;
        self.report_discarded(since);
    }

    /// Closes an idle connection.
    ///
    /// A request that is on its way at that moment would get no response, and its caller could not know whether it has
    /// run. It is refused ahead: RFC 9110, section 15.5.9, lets a server close an idle connection with status 408, which
    /// a caller without a request in transit ignores. Some callers open connections ahead and take anything that arrives
    /// there for the response to a request that they have not sent yet, so an unused connection is closed silently.
    async fn close_idle(mut self) {
        if !self.is_used {
            return;
        }
        let since = time::Instant::now();
        let refusal = refusal::Refusal::IDLE;
        let stall_timeout = IDLE_LINGER.silence;
        let discarded = &mut self.buffer;
        let written =
            write_refusal(&self.stream, refusal, stall_timeout, IDLE_LINGER, discarded).await;
        self.report_unserved(since, written.err().unwrap_or(refusal.reason()));
    }

    /// Reports a request that came behind the last response of a connection, if there is one.
    fn report_discarded(&self, since: time::Instant) {
        self.report_unserved(since, reason::Reason::Discarded);
    }

    /// Reports the request in the buffer, if there is one.
    fn report_unserved(&self, since: time::Instant, reason: reason::Reason) {
        if self.buffer.is_empty() {
            return;
        }
        let state = &self.guard.state;
        let head = incoming::head(&self.buffer, 0, &state.limits());
        let id = head.ok().flatten().and_then(|head| state.id(&head.request));
        state.report(entry::Entry::new(id, since).unanswered(reason));
    }

    /// Receives a request. One that is refused or received only in part is reported.
    async fn receive(&mut self) -> Result<Incoming, Stop> {
        self.wait_for_data().await?;
        let since = time::Instant::now();
        let (mut id, mut active) = (None, None);
        let read = self.read_request(&mut id, &mut active).await;
        let (stop, active) = match (read, active) {
            (Ok((request, method, close)), Some(active)) => {
                return Ok(Incoming {
                    request,
                    method,
                    close,
                    active,
                });
            }
            (Ok(_), None) => (Stop::Close, None),
            (Err(stop), active) => (stop, active),
        };
        let state = &self.guard.state;
        let reason = match &stop {
            Stop::Close | Stop::Idle => {
                state.malformed.fetch_add(1, atomic::Ordering::Relaxed);
                reason::Reason::Truncated
            }
            Stop::Refuse(refusal) => refusal.reason(),
        };
        match active {
            Some(active) => active.unanswered(reason),
            None => state.report(entry::Entry::new(id, since).unanswered(reason)),
        }
        Err(stop)
    }

    /// Waits for the first bytes of a request, unless they were read during the response before it.
    async fn wait_for_data(&mut self) -> Result<(), Stop> {
        if !self.buffer.is_empty() {
            return Ok(());
        }
        let state = self.guard.state.clone();
        let idle = async {
            futures_lite::future::or(idle_closed(&state), idle_timeout(&state)).await;
            Err(Stop::Idle)
        };
        self.budget.turn().await;
        let read = async { self.read().await.map_err(Stop::from) };
        match futures_lite::future::or(read, idle).await? {
            0 => Err(Stop::Close),
            _ => Ok(()),
        }
    }

    /// Reads from the socket and appends to the buffer. Returns the number of bytes, 0 at the end of the connection.
    ///
    /// Completes at once if there are bytes, so that they go before a timer that has expired meanwhile. The budget's turn
    /// is therefore taken before the race with the timer, not here.
    async fn read(&mut self) -> io::Result<usize> {
        let mut bytes = [0; READ_BYTES];
        let length = (&self.stream).read(&mut bytes).await?;
        self.budget.spend(length);
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    /// Reads the next bytes of a request. Refuses it if there are none until `deadline`, or until the server refuses
    /// incomplete requests.
    async fn read_more(&mut self, deadline: time::Instant) -> Result<(), Stop> {
        let state = self.guard.state.clone();
        self.budget.turn().await;
        let read = async {
            match self.read().await? {
                0 => Err(Stop::Close),
                _ => Ok(()),
            }
        };
        let refused = futures_lite::future::or(too_slow(deadline), shutting_down(&state));
        futures_lite::future::or(read, refused).await
    }

    /// Reads a request. Sets its identifier, and counts it as in progress, once its head is read. Returns the request, its
    /// method and whether the connection is to be closed after the response.
    async fn read_request(
        &mut self,
        id: &mut Option<String>,
        active: &mut Option<active::Active>,
    ) -> Result<(request::Request, http_types::Method, bool), Stop> {
        let limits = self.guard.state.limits();
        let head = self.read_head(&limits).await?;
        *id = self.guard.state.id(&head.request);
        if matches!(head.framing, scanner::Framing::Length(length) if length > limits.max_body_bytes as u64)
        {
            return Err(refusal::Refusal::BODY_TOO_LARGE.into());
        }
        // The request is counted before its body is read, so that the limit also bounds the memory used by bodies.
        let now = time::Instant::now();
        let Some(counted) = active::Active::new(&self.guard.state, id.clone(), now) else {
            return Err(refusal::Refusal::TOO_MANY_REQUESTS.into());
        };
        let active = active.insert(counted);
        let (method, close) = (head.method, head.close);
        if let scanner::Framing::Length(length) = head.framing
            && !active.reserve(usize::try_from(length).unwrap_or(usize::MAX))
        {
            return Err(refusal::Refusal::NO_MEMORY.into());
        }
        let mut request = self.read_body(head, active).await?;
        request.peer = Some(self.peer);
        request.accepted = Some(self.accepted);
        Ok((request, method, close))
    }

    async fn read_head(&mut self, limits: &limits::Limits) -> Result<incoming::Head, Stop> {
        let deadline = time::Instant::now() + limits.header_timeout;
        let mut from = 0;
        loop {
            if let Some(head) = incoming::head(&self.buffer, from, limits)? {
                return Ok(head);
            }
            from = self.buffer.len();
            self.read_more(deadline).await?;
        }
    }

    async fn read_body(
        &mut self,
        head: incoming::Head,
        active: &mut active::Active,
    ) -> Result<request::Request, Stop> {
        let limits = self.guard.state.limits();
        let deadline = time::Instant::now() + limits.body_timeout;
        let mut scanner = scanner::Scanner::new(head.framing);
        let mut end = head.length;
        let mut trailers = head.length;
        if head.expects_continue && self.buffer.len() == end && !scanner.is_done() {
            let mut stream = &self.stream;
            let write = async {
                let written = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
                written.map_err(Stop::from)
            };
            futures_lite::future::or(write, too_slow(deadline)).await?;
        }
        loop {
            let scan = scanner
                .scan(&self.buffer[end..])
                .map_err(refusal::Refusal::invalid)?;
            trailers = if scan.before_trailers > 0 {
                end + scan.before_trailers
            } else {
                trailers
            };
            end += scan.consumed;
            // The framing of chunks is kept with the body.
            if head.framing == scanner::Framing::Chunked && !active.reserve(scan.consumed) {
                return Err(refusal::Refusal::NO_MEMORY.into());
            }
            if scanner.body_bytes > limits.max_body_bytes as u64 {
                return Err(refusal::Refusal::BODY_TOO_LARGE.into());
            }
            if scanner.is_done() {
                break;
            }
            let stalled = time::Instant::now() + limits.body_stall_timeout;
            self.read_more(deadline.min(stalled)).await?;
        }
        let rest = self.buffer.split_off(end);
        let mut message = std::mem::replace(&mut self.buffer, rest);
        if head.framing == scanner::Framing::Chunked {
            message.truncate(trailers);
            message.extend_from_slice(b"\r\n");
        } else {
            trailers = message.len();
        }
        Ok(incoming::body(head, message, trailers).await?)
    }

    async fn refuse(&self, refusal: refusal::Refusal) {
        let state = &self.guard.state;
        if refusal.is_malformed() {
            state.malformed.fetch_add(1, atomic::Ordering::Relaxed);
        }
        let since = time::Instant::now();
        let stall_timeout = state.limits().write_stall_timeout;
        let discarded = &mut Vec::new();
        let written = write_refusal(&self.stream, refusal, stall_timeout, LINGER, discarded).await;
        if let Err(reason) = written {
            state.report(entry::Entry::new(None, since).unanswered(reason));
        }
    }
}

/// Waits until `deadline`, and refuses a request that has not arrived by then.
async fn too_slow(deadline: time::Instant) -> Result<(), Stop> {
    async_io::Timer::at(deadline).await;
    Err(refusal::Refusal::TOO_SLOW.into())
}

/// Waits until the server refuses incomplete requests, and refuses one.
async fn shutting_down(state: &state::State) -> Result<(), Stop> {
    state::signalled(&state.refuse_incomplete).await;
    Err(refusal::Refusal::SHUTTING_DOWN.into())
}

/// Waits until the server closes its idle connections, and a connection that has just become idle has been so for
/// [`KEEP_ALIVE_GRACE`].
async fn idle_closed(state: &state::State) {
    let since = time::Instant::now();
    state::signalled(&state.close_idle).await;
    async_io::Timer::at(since + KEEP_ALIVE_GRACE).await;
}

/// Waits until a connection that has just become idle is idle for longer than the limit, which may change meanwhile.
async fn idle_timeout(state: &state::State) {
    let since = time::Instant::now();
    let mut limit = state.idle_timeout(since);
    loop {
        async_io::Timer::at(since + limit).await;
        let current = state.idle_timeout(time::Instant::now());
        if current <= limit {
            return;
        }
        limit = current;
    }
}

/// Refuses a connection over the limit with an error response and closes it.
pub(super) async fn refuse(stream: async_io::Async<net::TcpStream>, guard: state::ConnectionGuard) {
    let abort = guard.state.abort.clone();
    let refusal = refusal::Refusal::TOO_MANY_CONNECTIONS;
    let entry = entry::Entry::new(None, time::Instant::now());
    guard.state.report(entry.unanswered(refusal.reason()));
    let write = async {
        // The refusal is reported, and no request was read that could be lost.
        let discarded = &mut Vec::new();
        let _ = write_refusal(&stream, refusal, LINGER.silence, LINGER, discarded).await;
    };
    futures_lite::future::or(state::signalled(&abort), write).await;
}

/// Writes an error response and closes the connection. What the caller still sends is appended to `discarded`, see
/// [`linger`].
async fn write_refusal(
    stream: &async_io::Async<net::TcpStream>,
    refusal: refusal::Refusal,
    stall_timeout: time::Duration,
    patience: Linger,
    discarded: &mut Vec<u8>,
) -> encoder::Result<()> {
    let method = http_types::Method::Get;
    let written = atomic::AtomicBool::new(false);
    let response = refusal.response();
    encoder::write(
        stream,
        response,
        method,
        true,
        stall_timeout,
        &written,
        discarded,
    )
    .await?;
    linger(stream, discarded, patience).await;
    Ok(())
}

/// Closes the sending side and reads until the caller closes its own, up to the times of `patience` and
/// [`MAX_LINGER_BYTES`]. What is read is discarded, except for the first bytes, which are appended to `buffer` while it has
/// less than [`READ_BYTES`].
async fn linger(
    mut stream: &async_io::Async<net::TcpStream>,
    buffer: &mut Vec<u8>,
    patience: Linger,
) {
    if stream.get_ref().shutdown(net::Shutdown::Write).is_err() {
        return;
    }
    let end = time::Instant::now() + patience.total;
    let mut discard = [0; READ_BYTES];
    let mut budget = budget::Budget::default();
    let mut total = 0;
    while total < MAX_LINGER_BYTES {
        budget.turn().await;
        let deadline = end.min(time::Instant::now() + patience.silence);
        let expired = async {
            async_io::Timer::at(deadline).await;
            Ok(0)
        };
        match futures_lite::future::or(stream.read(&mut discard), expired).await {
            Ok(length) if length > 0 => {
                budget.spend(length);
                total += length;
                if buffer.len() < READ_BYTES {
                    buffer.extend_from_slice(&discard[..length]);
                }
            }
            _ => return,
        }
    }
}
