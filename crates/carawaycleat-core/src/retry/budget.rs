use crate::clock;

/// The number of buckets in the sliding window.
const BUCKETS: usize = 10;
/// The length of a bucket, in microseconds.
const BUCKET_MICROS: u64 = 1_000_000;

/// A limit on retries, as a fraction of the requests of the last ten seconds.
///
/// Without a limit, retries would multiply the load of upstreams that fail because of overload by up to three.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u64,
    minimum: u64,
    /// The sliding window, with one bucket per second.
    buckets: [Bucket; BUCKETS],
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// The second since the clock's origin that the bucket counts.
    second: u64,
    requests: u64,
    retries: u64,
}

impl Default for Budget {
    /// Returns a budget of 20% of the requests plus 10 retries in ten seconds, so that a host with few requests can
    /// retry at all.
    fn default() -> Self {
        Self::new(20, 10)
    }
}

impl Budget {
    /// Returns a budget of `percent` percent of the requests, plus `minimum` retries, in ten seconds.
    pub const fn new(percent: u64, minimum: u64) -> Self {
        Self {
            percent,
            minimum,
            buckets: [Bucket {
                second: 0,
                requests: 0,
                retries: 0,
            }; BUCKETS],
        }
    }

    /// Sets the number of retries that are allowed in addition to the fraction of the requests.
    pub const fn set_minimum(&mut self, minimum: u64) {
        self.minimum = minimum;
    }

    /// Records the first attempt of a request.
    pub const fn record_request(&mut self, now: clock::Instant) {
        self.bucket(now).requests += 1;
    }

    /// Returns the number of retries that are allowed now.
    #[must_use]
    pub fn remaining(&self, now: clock::Instant) -> u64 {
        let second = now.as_micros() / BUCKET_MICROS;
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.second + BUCKETS as u64 > second);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        });
        (self.minimum + requests * self.percent / 100).saturating_sub(retries)
    }

    /// Takes one retry from the budget, and returns whether one was allowed.
    pub fn take(&mut self, now: clock::Instant) -> bool {
        let is_allowed = self.remaining(now) > 0;
        if is_allowed {
            self.bucket(now).retries += 1;
        }
        is_allowed
    }

    /// Returns the bucket of the current second, cleared if it counted an earlier one.
    const fn bucket(&mut self, now: clock::Instant) -> &mut Bucket {
        let second = now.as_micros() / BUCKET_MICROS;
        let bucket = &mut self.buckets[(second % BUCKETS as u64) as usize];
        if bucket.second != second {
            *bucket = Bucket {
                second,
                requests: 0,
                retries: 0,
            };
        }
        bucket
    }
}
