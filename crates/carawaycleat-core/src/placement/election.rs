use std::time;

use crate::clock;

/// The share of a lease's validity during which its holder writes, in percent.
const USED_PERCENT: u32 = 90;

/// Records whether this host holds the lease to plan the placement of a group.
///
/// The create revision of the lease key is the fencing token: the plan is written in a transaction that compares it. A
/// holder that was paused after [`Election::create_revision`] therefore cannot write once another host holds the key.
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
    lease: Option<Lease>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    create_revision: u64,
    valid_until: clock::Instant,
}

impl Election {
    /// Returns the state of a host that does not hold the lease.
    pub const fn new() -> Self {
        Self { lease: None }
    }

    /// Records that the store granted or renewed the lease for `validity`, in response to a request sent at
    /// `sent_at`.
    ///
    /// The validity starts at `sent_at`, because the store may have started it at any time from then on. A response that
    /// arrives late does not shorten it.
    pub fn record_lease(
        &mut self,
        sent_at: clock::Instant,
        create_revision: u64,
        validity: time::Duration,
    ) {
        let valid_until = sent_at + validity * USED_PERCENT / 100;
        match &mut self.lease {
            Some(lease) if lease.create_revision > create_revision => {}
            Some(lease) if lease.create_revision == create_revision => {
                lease.valid_until = lease.valid_until.max(valid_until);
            }
            _ => {
                self.lease = Some(Lease {
                    create_revision,
                    valid_until,
                });
            }
        }
    }

    /// Records that another host holds the lease, or that the store rejected a write with its create revision.
    pub fn record_loss(&mut self) {
        self.lease = None;
    }

    /// Returns the create revision that a write at `now` must compare, or none when the host must not write at `now`.
    pub fn create_revision(&self, now: clock::Instant) -> Option<u64> {
        let lease = self.lease.filter(|lease| now < lease.valid_until)?;
        Some(lease.create_revision)
    }
}
