/// Whether a byte of a request has been sent, and what to do when that is so.
pub(super) struct Departure<F> {
    /// Called with the first byte; none after that.
    on_sent: Option<F>,
}

impl<F: FnOnce()> Departure<F> {
    /// Returns the state of a request of which nothing has been sent. `on_sent` is called with the first byte.
    pub(super) const fn new(on_sent: F) -> Self {
        Self {
            on_sent: Some(on_sent),
        }
    }

    pub(super) const fn is_sent(&self) -> bool {
        self.on_sent.is_none()
    }

    /// Records that a byte has been sent.
    pub(super) fn record(&mut self) {
        if let Some(on_sent) = self.on_sent.take() {
            on_sent();
        }
    }
}
