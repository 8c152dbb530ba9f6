use std::time;

use crate::clock;

/// Tells when a report is certain to have been taken after a moment of the sidecar's clock.
///
/// The clocks of sidecar and engine cannot be compared and reports lag. The first report read after the moment marks
/// the engine's time; a report that was taken at least the longest lag after the mark was taken after the moment.
#[derive(Clone, Debug)]
pub(super) struct Barrier {
    moment: clock::Instant,
    mark: Option<Mark>,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    incarnation: u64,
    taken_at_ms: u64,
}

impl Barrier {
    pub(super) const fn new(moment: clock::Instant) -> Self {
        Self { moment, mark: None }
    }

    /// Returns whether `report`, read at `now`, was taken after the moment.
    pub(super) fn passes(
        &mut self,
        now: clock::Instant,
        report: &super::Report,
        lag: time::Duration,
    ) -> bool {
        if now < self.moment {
            return false;
        }
        match self.mark {
            Some(mark) if mark.incarnation == report.incarnation => {
                let lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
                report.taken_at_ms >= mark.taken_at_ms.saturating_add(lag_ms)
            }
            _ => {
                self.mark = Some(Mark {
                    incarnation: report.incarnation,
                    taken_at_ms: report.taken_at_ms,
                });
                false
            }
        }
    }
}
