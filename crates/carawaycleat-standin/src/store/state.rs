use carawaycleat_core::clock;

use super::counts;
use super::fault;
use super::message;
use super::space;
use super::watcher;
use crate::rate;

/// The answer of the store to one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: Vec<u8>,
    /// Whether the caller gets the answer; false when a fault loses it after the effect.
    pub delivered: bool,
}

/// The store: its keys, its faults, and what it counted.
#[derive(Clone, Debug, Default)]
pub struct State {
    space: space::Space,
    faults: fault::Faults,
    counts: counts::Counts,
    writes: rate::Bucket,
    reads: rate::Bucket,
    random: Option<fastrand::Rng>,
}

#[derive(serde::Serialize)]
struct Failure {
    error: String,
    code: u16,
    message: String,
}

#[derive(serde::Serialize)]
struct Streamed<T> {
    result: T,
}

impl State {
    /// Returns an empty store with `faults`.
    pub fn new(faults: fault::Faults) -> Self {
        Self {
            faults,
            ..Self::default()
        }
    }

    /// Returns the keys, leases and history.
    pub fn space(&self) -> &space::Space {
        &self.space
    }

    /// Returns the faults that are on.
    pub fn faults(&self) -> &fault::Faults {
        &self.faults
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: fault::Faults) {
        if faults.seed != self.faults.seed {
            self.random = None;
        }
        self.faults = faults;
    }

    /// Returns what the store counted.
    pub fn counts(&self) -> &counts::Counts {
        &self.counts
    }

    /// Ends the leases that are over at `now`, and returns how many there were.
    pub fn expire(&mut self, now: clock::Instant) -> usize {
        self.space.expire(now)
    }

    /// Answers a call other than a watch.
    pub fn call(&mut self, now: clock::Instant, path: &str, body: &[u8]) -> Reply {
        *self.counts.calls.entry(path.to_owned()).or_default() += 1;
        match self.try_call(now, path, body) {
            Ok(body) => Reply {
                status: 200,
                body,
                delivered: !(changes_data(path) && self.loses_answer()),
            },
            Err(error) => failure(&error),
        }
    }

    fn try_call(&mut self, now: clock::Instant, path: &str, body: &[u8]) -> super::Result<Vec<u8>> {
        self.admit(now, is_write(path))?;
        self.space.expire(now);
        let answer = match path {
            "/v3/kv/range" => self.space.range(&parse(body)?)?,
            "/v3/kv/put" => self.space.put(&parse(body)?)?,
            "/v3/kv/deleterange" => self.space.delete(&parse(body)?),
            "/v3/kv/txn" => self.space.transact(&parse(body)?)?,
            "/v3/kv/compaction" => {
                let compaction: message::Compaction = parse(body)?;
                self.space.compact(compaction.revision)?
            }
            "/v3/lease/grant" => self.space.grant(now, &parse(body)?)?,
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                let lease: message::Lease = parse(body)?;
                self.space.revoke(lease.id)?
            }
            "/v3/lease/keepalive" => {
                let lease: message::Lease = parse(body)?;
                let result = self.space.keep_alive(now, lease.id);
                return Ok(line(&Streamed { result }));
            }
            _ => return Err(super::Error::UnknownPath),
        };
        Ok(encode(&answer))
    }

    fn admit(&mut self, now: clock::Instant, write: bool) -> super::Result<()> {
        if self.faults.down {
            return Err(super::Error::Down);
        }
        let (count, bucket, rate) = if write {
            let rate = f64::from(self.faults.writes_per_second);
            (&mut self.counts.writes, &mut self.writes, rate)
        } else {
            let rate = f64::from(self.faults.reads_per_second);
            (&mut self.counts.reads, &mut self.reads, rate)
        };
        *count += 1;
        if rate == 0.0 {
            return Ok(());
        }
        // A waiting watch uses one read a second of the service's budget.
        #[expect(clippy::cast_precision_loss, reason = "watches are few")]
        let watches = if write {
            0.0
        } else {
            self.counts.watches as f64
        };
        if !bucket.take(now, (rate - watches).max(0.0)) {
            self.counts.limited += 1;
            return Err(super::Error::Limited);
        }
        Ok(())
    }

    fn loses_answer(&mut self) -> bool {
        let seed = self.faults.seed;
        let lost = if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            true
        } else {
            self.faults.lose_probability > 0.0 && {
                let random = self
                    .random
                    .get_or_insert_with(|| fastrand::Rng::with_seed(seed));
                random.f64() < self.faults.lose_probability
            }
        };
        self.counts.lost_answers += u64::from(lost);
        lost
    }

    /// Opens a watch, and returns it with its first message as a line of JSON.
    ///
    /// # Errors
    ///
    /// Returns the reply that refuses the watch.
    pub fn open_watch(
        &mut self,
        now: clock::Instant,
        body: &[u8],
    ) -> Result<(watcher::Watcher, Vec<u8>), Reply> {
        let calls = &mut self.counts.calls;
        *calls.entry("/v3/watch".to_owned()).or_default() += 1;
        self.admit(now, false).map_err(|e| failure(&e))?;
        let watch: message::Watch = parse(body).map_err(|e| failure(&e))?;
        let (watcher, result) = watcher::Watcher::open(&self.space, &watch.create_request);
        self.counts.watches += 1;
        Ok((watcher, line(&Streamed { result })))
    }

    /// Returns the next message of a watch as a line of JSON, and whether it is the last one.
    pub fn poll_watch(&self, watcher: &mut watcher::Watcher) -> Option<(Vec<u8>, bool)> {
        let result = watcher.poll(&self.space)?;
        let last = result.canceled;
        Some((line(&Streamed { result }), last))
    }

    /// Returns a progress notification for a watch as a line of JSON.
    pub fn progress(&self, watcher: &watcher::Watcher) -> Vec<u8> {
        let result = watcher.progress(&self.space);
        line(&Streamed { result })
    }

    /// Counts all watches as closed, as they are after a stop.
    pub(super) fn forget_watches(&mut self) {
        self.counts.watches = 0;
    }

    /// Counts a watch as closed.
    pub fn close_watch(&mut self) {
        self.counts.watches = self.counts.watches.saturating_sub(1);
    }
}

/// Returns whether the answer to a call can be lost after its effect. Repeating a renewal is harmless.
fn changes_data(path: &str) -> bool {
    is_write(path) && path != "/v3/lease/keepalive"
}

fn is_write(path: &str) -> bool {
    path != "/v3/kv/range"
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> super::Result<T> {
    serde_json::from_slice(body).map_err(|e| super::Error::Malformed(e.to_string()))
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn line<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = encode(value);
    bytes.push(b'\n');
    bytes
}

fn failure(error: &super::Error) -> Reply {
    let text = error.to_string();
    Reply {
        status: error.status(),
        body: encode(&Failure {
            error: text.clone(),
            code: error.code(),
            message: text,
        }),
        delivered: true,
    }
}
