use std::ops;

/// The remaining work of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The time for the prompts that have not been read, in milliseconds. Prompts are read one after the other.
    pub prompt_ms: f64,
    /// The sum of the times for which its requests will go on, in milliseconds. They run at the same time.
    pub work_ms: f64,
    /// The requests in progress.
    pub requests: f64,
}

impl ops::Add for Load {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            prompt_ms: self.prompt_ms + other.prompt_ms,
            work_ms: self.work_ms + other.work_ms,
            requests: self.requests + other.requests,
        }
    }
}

impl Load {
    /// Returns the load after `elapsed_ms` in which no request was added. The work falls to `floor` of what it was, because the
    /// hosts that sent the requests go on sending.
    #[must_use]
    pub fn after(self, elapsed_ms: f64, floor: f64) -> Self {
        let prompt_ms = (self.prompt_ms - elapsed_ms).max(0.0);
        let done = elapsed_ms * self.requests;
        Self {
            prompt_ms,
            work_ms: (self.work_ms - done).max(self.work_ms * floor),
            requests: self.requests,
        }
    }
}
