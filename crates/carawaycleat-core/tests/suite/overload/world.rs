//! A host with one processor, a queue of work in order of arrival, and callers that retry.

use std::cmp;
use std::collections;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::overload;

/// The interval of the host's ticks, in microseconds like all times of this module.
const TICK: u64 = 25_000;
/// The cost of reading a request and deciding about it, of refusing it, and of one piece of a response.
const READ_COST: u64 = 2_000;
const REFUSAL_COST: u64 = 300;
const PIECE_COST: u64 = 1_000;
/// The time until an upstream sends the first piece, and between pieces.
const FIRST_PIECE: u64 = 20_000;
const PIECE_GAP: u64 = 30_000;
/// The time within which a short response, or the first piece of a stream, is of full use.
const IN_TIME: u64 = 150_000;
const STREAM_IN_TIME: u64 = 500_000;
/// The time within which a piece of a stream must be passed on.
const MAX_PIECE_DELAY: u64 = 120_000;
/// The time after which a caller leaves.
const PATIENCE: u64 = 2_500_000;
/// The priorities: of requests with one piece, and of streams.
const URGENT: u8 = 0;
const LESS_URGENT: u8 = 2;

/// How a host decides about new requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Policy {
    /// Serves all, in order of arrival.
    Everything,
    /// Serves up to this number of requests at a time.
    Concurrency(usize),
    /// Refuses by its lateness.
    Lateness,
}

/// What callers do after a refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Retries {
    None,
    /// Once, after the time that the host named, as far as their own time allows it.
    Once,
    /// At once, up to three times.
    AtOnce,
}

/// The requests of a day.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    /// What is asked, as a multiple of what the host can do, until `end`; half of what it can do from then on.
    pub(super) factor: f64,
    pub(super) end: u64,
    /// The part of the requests that are streams, and their pieces.
    pub(super) streams: f64,
    pub(super) pieces: u64,
    pub(super) retries: Retries,
}

/// Callers wait as they are told up to this fraction of the time that they have left.
const MAX_WAIT_DIVISOR: u64 = 3;
/// The pieces of a stream.
const PIECES: u64 = 20;

impl Load {
    pub(super) fn new(factor: f64, end: u64, streams: f64, retries: Retries) -> Self {
        Self {
            factor,
            end,
            streams,
            pieces: PIECES,
            retries,
        }
    }

    /// Returns when the last work may come that the load has caused.
    pub(super) fn last_work(&self) -> u64 {
        let wait = match self.retries {
            Retries::None | Retries::AtOnce => 0,
            Retries::Once => PATIENCE / MAX_WAIT_DIVISOR,
        };
        self.end + wait + FIRST_PIECE + self.pieces * PIECE_GAP
    }

    /// Returns the part of the processor that it takes to refuse all requests and their retries.
    pub(super) fn refusal_work(&self) -> f64 {
        let tries = match self.retries {
            Retries::None => 1.0,
            Retries::Once => 2.0,
            Retries::AtOnce => 4.0,
        };
        self.factor * self.capacity() * tries * REFUSAL_COST as f64 / 1e6
    }

    /// Returns the requests per second that take the whole processor.
    pub(super) fn capacity(&self) -> f64 {
        let stream = (READ_COST + self.pieces * PIECE_COST) as f64;
        let plain = (READ_COST + PIECE_COST) as f64;
        1e6 / (self.streams * stream + (1.0 - self.streams) * plain)
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    arrived: u64,
    /// When the caller first sent it.
    first_sent: u64,
    pieces: u64,
    tries: u32,
    /// Whether a part of the response has reached the caller too late.
    is_late: bool,
}

#[derive(Clone, Copy, Debug)]
enum Work {
    Tick {
        due: u64,
    },
    Read(Request),
    /// A piece of a response, and those that follow.
    Piece(Request, u64),
}

/// How the requests of callers ended, those sent until the end of the load and those sent a while after it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Report {
    pub(super) asked: u64,
    pub(super) in_time: u64,
    pub(super) late: u64,
    pub(super) refused: u64,
    /// Neither answered nor refused before the caller left.
    pub(super) unanswered: u64,
    pub(super) asked_after: u64,
    pub(super) in_time_after: u64,
    /// The refusals of less urgent requests, and of urgent ones.
    pub(super) refusals: [u64; 2],
    /// When the host was last late.
    pub(super) last_late: u64,
}

/// The time after the end of the load from which all must be as before.
pub(super) const RECOVERY: u64 = 2_000_000;

pub(super) struct World {
    load: Load,
    policy: Policy,
    overload: overload::Reducer,
    /// What arrives at the host, by time and order.
    arrivals: collections::BinaryHeap<cmp::Reverse<(u64, u64)>>,
    work: collections::HashMap<u64, Work>,
    next: u64,
    seed: u64,
    in_progress: usize,
    report: Report,
}

impl World {
    /// Plays a day of `load` and returns how the requests ended.
    pub(super) fn play(load: Load, policy: Policy) -> Report {
        let mut world = Self {
            load,
            policy,
            overload: overload::Reducer::default(),
            arrivals: collections::BinaryHeap::new(),
            work: collections::HashMap::new(),
            next: 0,
            seed: 1,
            in_progress: 0,
            report: Report::default(),
        };
        world.schedule(TICK, Work::Tick { due: TICK });
        let end = load.end + 2 * RECOVERY;
        let mut at = 0.0;
        while (at as u64) < end {
            let factor = if (at as u64) < load.end {
                load.factor
            } else {
                0.5
            };
            at += 1e6 / (load.capacity() * factor) * (0.5 + world.random());
            let is_stream = world.random() < load.streams;
            let request = Request {
                arrived: at as u64,
                first_sent: at as u64,
                pieces: if is_stream { load.pieces } else { 1 },
                tries: 1,
                is_late: false,
            };
            world.schedule(request.arrived, Work::Read(request));
        }
        world.run(end + PATIENCE);
        world.report
    }

    fn schedule(&mut self, at: u64, work: Work) {
        self.next += 1;
        self.arrivals.push(cmp::Reverse((at, self.next)));
        self.work.insert(self.next, work);
    }

    /// Does the work in order of arrival until `end`.
    fn run(&mut self, end: u64) {
        let mut now = 0;
        while let Some(cmp::Reverse((at, key))) = self.arrivals.pop() {
            now = now.max(at);
            if now > end {
                return;
            }
            let work = self.work.remove(&key).expect("scheduled work");
            now += match work {
                Work::Tick { due } => self.tick(now, due),
                Work::Read(request) => self.read(now, request),
                Work::Piece(request, left) => self.deliver(now, now - at, request, left),
            };
        }
    }

    fn tick(&mut self, now: u64, due: u64) -> u64 {
        let delay = time::Duration::from_micros(now - due);
        let _ = self
            .overload
            .record_delay(clock::Instant::from_micros(now), delay);
        if self.overload.is_late() {
            self.report.last_late = now;
        }
        self.schedule(now + TICK, Work::Tick { due: now + TICK });
        0
    }

    fn read(&mut self, now: u64, request: Request) -> u64 {
        if request.tries == 1 {
            self.count(request, |report| report.asked += 1);
            if request.arrived >= self.load.end + RECOVERY {
                self.report.asked_after += 1;
            }
        }
        if now - request.first_sent > PATIENCE {
            self.count(request, |report| report.unanswered += 1);
            return REFUSAL_COST;
        }
        let is_stream = request.pieces > 1;
        let priority = if is_stream { LESS_URGENT } else { URGENT };
        let admitted = match self.policy {
            Policy::Everything => Ok(()),
            Policy::Concurrency(limit) if self.in_progress < limit => Ok(()),
            Policy::Concurrency(_) => Err(time::Duration::from_millis(100)),
            Policy::Lateness => {
                let seed = (self.random() * u32::MAX as f64) as u64;
                self.overload.admit(
                    clock::Instant::from_micros(now),
                    priority,
                    seed << 32 | seed,
                )
            }
        };
        let Err(wait) = admitted else {
            self.in_progress += 1;
            let left = request.pieces;
            self.schedule(now + READ_COST + FIRST_PIECE, Work::Piece(request, left));
            return READ_COST;
        };
        self.report.refusals[usize::from(is_stream)] += 1;
        let (tries, wait) = match self.load.retries {
            Retries::None => (1, 0),
            Retries::Once => {
                let left = PATIENCE.saturating_sub(now - request.first_sent);
                (2, (left / MAX_WAIT_DIVISOR).min(wait.as_micros() as u64))
            }
            Retries::AtOnce => (4, 1_000),
        };
        if request.tries < tries {
            let arrived = now + wait;
            let retry = Request {
                arrived,
                tries: request.tries + 1,
                ..request
            };
            self.schedule(arrived, Work::Read(retry));
        } else {
            self.count(request, |report| report.refused += 1);
        }
        REFUSAL_COST
    }

    /// Passes on a piece that has waited for `delay`.
    fn deliver(&mut self, now: u64, delay: u64, mut request: Request, left: u64) -> u64 {
        let elapsed = now + PIECE_COST - request.first_sent;
        if left == request.pieces {
            if elapsed > PATIENCE {
                self.in_progress -= 1;
                self.overload.record_finished();
                self.count(request, |report| report.unanswered += 1);
                return REFUSAL_COST;
            }
            let is_stream = request.pieces > 1;
            request.is_late = elapsed > if is_stream { STREAM_IN_TIME } else { IN_TIME };
        } else {
            request.is_late |= delay > MAX_PIECE_DELAY;
        }
        if left > 1 {
            self.schedule(now + PIECE_GAP, Work::Piece(request, left - 1));
            return PIECE_COST;
        }
        self.in_progress -= 1;
        self.overload.record_finished();
        self.count(request, |report| match request.is_late {
            true => report.late += 1,
            false => report.in_time += 1,
        });
        if !request.is_late && request.first_sent >= self.load.end + RECOVERY {
            self.report.in_time_after += 1;
        }
        PIECE_COST
    }

    /// Counts a request that was sent before the end of the load.
    fn count(&mut self, request: Request, count: impl FnOnce(&mut Report)) {
        if request.first_sent < self.load.end {
            count(&mut self.report);
        }
    }

    /// Returns the next number from 0 to less than 1.
    fn random(&mut self) -> f64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }
}
