use std::time;

use crate::clock;

/// Detects the first report that was certainly taken after a given time of the sidecar's clock.
///
/// The clocks of sidecar and engine cannot be compared, and reports are read late. The first report that is read at or
/// after the given time is the reference. A report that the engine took at least the longest report lag after the
/// reference was taken after the given time.
#[derive(Clone, Debug)]
pub(super) struct Barrier {
    not_before: clock::Instant,
    reference: Option<Reference>,
}

#[derive(Clone, Copy, Debug)]
struct Reference {
    incarnation: u64,
    taken_at_ms: u64,
}

impl Barrier {
    pub(super) const fn new(not_before: clock::Instant) -> Self {
        Self {
            not_before,
            reference: None,
        }
    }

    /// Returns whether `report`, read at `now`, was certainly taken after the barrier's time.
    pub(super) fn passes(
        &mut self,
        now: clock::Instant,
        report: &super::Report,
        lag: time::Duration,
    ) -> bool {
        if now < self.not_before {
            return false;
        }
        match self.reference {
            Some(reference) if reference.incarnation == report.incarnation => {
                let lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
                report.taken_at_ms >= reference.taken_at_ms.saturating_add(lag_ms)
            }
            _ => {
                self.reference = Some(Reference {
                    incarnation: report.incarnation,
                    taken_at_ms: report.taken_at_ms,
                });
                false
            }
        }
    }
}
