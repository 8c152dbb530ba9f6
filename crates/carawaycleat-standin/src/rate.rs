use carawaycleat_core::clock;

/// A token bucket whose burst is the tokens of one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    level: f64,
    updated: Option<clock::Instant>,
}

impl Bucket {
    /// Takes one token at `rate` tokens a second, and returns whether there was one.
    pub(crate) fn take(&mut self, now: clock::Instant, rate: f64) -> bool {
        let elapsed = self.updated.map(|then| now.since(then).as_secs_f64());
        self.level = elapsed.map_or(rate, |s| (self.level + s * rate).min(rate));
        self.updated = Some(now);
        let has = self.level >= 1.0;
        if has {
            self.level -= 1.0;
        }
        has
    }
}
