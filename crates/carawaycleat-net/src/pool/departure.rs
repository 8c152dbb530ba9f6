use crate::pool::stage;

/// Whether a byte of a request has been sent, and whom to tell how far it has come.
pub(super) struct Departure<F> {
    observe: F,
    is_sent: bool,
}

impl<F: FnMut(stage::Stage) -> bool> Departure<F> {
    /// Returns the state of a request of which nothing has been sent. `observe` is called at each stage.
    pub(super) const fn new(observe: F) -> Self {
        Self {
            observe,
            is_sent: false,
        }
    }

    pub(super) const fn is_sent(&self) -> bool {
        self.is_sent
    }

    /// Returns whether the request may go on from a stage before its first byte has been sent.
    pub(super) fn may_pass(&mut self, stage: stage::Stage) -> bool {
        (self.observe)(stage)
    }

    /// Records that a byte has been sent.
    pub(super) fn record(&mut self) {
        if !std::mem::replace(&mut self.is_sent, true) {
            (self.observe)(stage::Stage::Sent);
        }
    }
}
