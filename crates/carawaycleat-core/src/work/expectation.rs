/// What a request costs at one upstream, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Expectation {
    /// The time until its prompt is being read.
    pub wait_ms: f64,
    /// The time to read its prompt.
    pub prompt_ms: f64,
    /// The time for one event, or for the whole response if it is no stream.
    pub event_ms: f64,
    /// The events to come.
    pub events: f64,
    /// How far the events may be off.
    pub spread: f64,
}

impl Expectation {
    /// Returns the time to the first event.
    #[must_use]
    pub fn first_event_ms(&self) -> f64 {
        self.wait_ms + self.prompt_ms + self.event_ms
    }

    /// Returns the time for which the request occupies the upstream once its prompt is being read.
    #[must_use]
    pub fn work_ms(&self) -> f64 {
        self.prompt_ms + self.events.max(1.0) * self.event_ms
    }
}
