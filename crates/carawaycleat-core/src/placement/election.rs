use std::time;

use crate::clock;

/// The part of a lease's validity that its holder uses.
const USED_PERCENT: u32 = 90;

/// Whether this host decides the placement of a group.
///
/// The lease key's create revision is the fencing value: the plan is written in a transaction that compares it, so a
/// write of a holder that was paused after [`Election::create_revision`] fails once another host holds the key.
///
/// # Examples
///
/// ```
/// use std::time;
///
/// use carawaycleat_core::clock;
/// use carawaycleat_core::placement;
///
/// let mut election = placement::Election::new();
/// let sent_at = clock::Instant::from_millis(0);
/// election.record_lease(sent_at, 7, time::Duration::from_secs(10));
/// assert_eq!(election.create_revision(clock::Instant::from_millis(8_999)), Some(7));
/// assert_eq!(election.create_revision(clock::Instant::from_millis(9_000)), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Election {
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    create_revision: u64,
    valid_until: clock::Instant,
}

impl Election {
    /// Returns the state of a host that does not hold the lease.
    pub const fn new() -> Self {
        Self { held: None }
    }

    /// Takes up that the store confirmed the lease for `validity`, in answer to a request sent at `sent_at`.
    ///
    /// The validity counts from before the request was sent, because the store may have counted from then on. A late
    /// answer does not shorten it.
    pub fn record_lease(
        &mut self,
        sent_at: clock::Instant,
        create_revision: u64,
        validity: time::Duration,
    ) {
        let valid_until = sent_at + validity * USED_PERCENT / 100;
        match &mut self.held {
            Some(held) if held.create_revision > create_revision => {}
            Some(held) if held.create_revision == create_revision => {
                held.valid_until = held.valid_until.max(valid_until);
            }
            _ => {
                self.held = Some(Held {
                    create_revision,
                    valid_until,
                });
            }
        }
    }

    /// Takes up that another host holds the lease, or that the store refused a write for its create revision.
    pub fn record_loss(&mut self) {
        self.held = None;
    }

    /// Returns the create revision that a write at `now` must compare, or none when the host must not write.
    pub fn create_revision(&self, now: clock::Instant) -> Option<u64> {
        let held = self.held.filter(|held| now < held.valid_until)?;
        Some(held.create_revision)
    }
}
