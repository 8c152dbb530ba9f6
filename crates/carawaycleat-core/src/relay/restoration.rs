use std::collections;
use std::time;

use crate::clock;
use crate::name;
use crate::revision;

/// The time after a restoration within which the operator may not yet have written again what the store lost.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(1);
/// The time after a restoration from which the store's configuration counts as complete even if it is older than one
/// that hosts have seen: the operator has not written that one again.
const MAX_REWRITE_TIME: time::Duration = time::Duration::from_secs(10);
/// The time after a restoration after which the store has removed the entries of upstreams that had left before, because
/// they do not renew them.
const STALE_ENTRY_TIME: time::Duration = time::Duration::from_millis(4_500);
/// The time after a restoration in which the store may lack a software version: upstreams write their entries again, and the
/// coordinator writes the record of versions.
const VERSION_REWRITE_TIME: time::Duration = time::Duration::from_secs(5);
/// The time between two attempts to record that the versions are complete again.
const MIN_SETTLEMENT_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// The maximum number of upstreams that are remembered after they have left.
const MAX_DEPARTED: usize = 4_096;

/// What the store may have lost in a restoration from an older copy.
///
/// Until the operator and the upstreams have written again what was lost, a read of the store neither shows that a
/// configuration is the latest one nor that an upstream is still there.
#[derive(Clone, Debug, Default)]
pub(super) struct Restoration {
    /// The store's era; none before the first read.
    era: Option<u64>,
    /// When that era was first seen.
    era_seen: clock::Instant,
    /// Whether the store may have been restored shortly before that.
    may_be_recent: bool,
    /// Whether this host remembers no versions from before that era.
    is_without_memory: bool,
    /// The era in which hosts have recorded that the versions are complete again.
    settled_era: Option<u64>,
    /// When this host last asked for that record to be written.
    settlement_requested: Option<clock::Instant>,
    /// Whether a configuration was written after the restoration. It contains all that the operator has written before.
    is_rewritten: bool,
    /// The version of the configuration that the store has.
    stored_version: u64,
    /// The revision at which it was written; none before the first one was read.
    stored_at: Option<revision::Revision>,
    /// The lowest version that hosts require of the store's configuration in that era.
    required_version: u64,
    /// The upstreams that have left, each with the start of its process.
    departed: collections::HashMap<name::Name, u64>,
}

impl Restoration {
    /// Records that the store was read in `era`. `required_version` is the version that hosts have recorded for the era;
    /// none if there is no record. `is_first_start` says that the whole system starts for the first time. Returns whether
    /// the store has been restored since the last read.
    pub(super) fn record_read(
        &mut self,
        now: clock::Instant,
        era: u64,
        required_version: Option<u64>,
        is_first_start: bool,
    ) -> bool {
        let known = self.era;
        if known != Some(era) {
            self.is_without_memory = match known {
                Some(_) => self.may_lack_versions(now),
                None => era > 0,
            };
            self.era = Some(era);
            self.era_seen = now;
            self.is_rewritten = false;
            self.required_version = 0;
            // A host without a memory of an earlier era relies on the record of the others.
            let is_recorded = required_version.is_some() || era == 0 || is_first_start;
            self.may_be_recent = known.is_some() || !is_recorded;
        }
        self.required_version = self.required_version.max(required_version.unwrap_or(0));
        known.is_some_and(|known| known != era)
    }

    /// Records that hosts have recorded, in this era, that the versions are complete again. Returns whether that is new.
    pub(super) fn record_settlement(&mut self, era: u64) -> bool {
        self.settled_era.replace(era) != Some(era)
    }

    /// Returns whether the store may lack a software version that this host does not remember either, so that neither shows
    /// that there is only one. A host that starts long after a restoration learns from the record of others that it is over.
    pub(super) fn may_lack_versions(&self, now: clock::Instant) -> bool {
        self.is_without_memory
            && self.settled_era != self.era
            && now.since(self.era_seen) < VERSION_REWRITE_TIME
    }

    /// Returns the era in which the versions are complete again, if that is due to be recorded: this host has seen the time
    /// pass in which they are written.
    pub(super) fn take_settlement(&mut self, now: clock::Instant) -> Option<u64> {
        let era = self.era.filter(|era| *era > 0)?;
        let is_recent = self
            .settlement_requested
            .is_some_and(|at| now.since(at) < MIN_SETTLEMENT_INTERVAL);
        let is_over = now.since(self.era_seen) >= VERSION_REWRITE_TIME;
        if is_recent || !is_over || self.settled_era == self.era {
            return None;
        }
        self.settlement_requested = Some(now);
        Some(era)
    }

    /// Records that the store has the configuration `version`, written at `revision`.
    pub(super) fn record_config(&mut self, version: u64, revision: revision::Revision) {
        if let Some(known) = self.stored_at {
            // A copy has a version at the revision at which it was first written.
            self.is_rewritten |= if known.era == revision.era {
                known.number < revision.number
            } else {
                self.stored_version == version && known.number != revision.number
            };
        }
        self.stored_version = version;
        self.stored_at = Some(revision);
    }

    /// Returns whether a read of the store shows that `version`, which this host has, is the latest one.
    pub(super) fn confirms(&self, now: clock::Instant, version: u64) -> bool {
        if self.era.is_none() {
            return true;
        }
        let age = now.since(self.era_seen);
        if age >= MAX_REWRITE_TIME {
            return true;
        }
        let is_behind = self.stored_version < self.required_version.max(version);
        let is_settling = self.may_be_recent && age < SETTLING_TIME && !self.is_rewritten;
        !is_behind && !is_settling
    }

    /// Returns the versions of the store's configuration and the one that is required, for logs.
    pub(super) fn versions(&self) -> (u64, u64) {
        (self.stored_version, self.required_version)
    }

    /// Records that an upstream has left.
    pub(super) fn record_departure(&mut self, id: &name::Name, started: u64) {
        if self.departed.len() >= MAX_DEPARTED
            && let Some(other) = self.departed.keys().next().cloned()
        {
            self.departed.remove(&other);
        }
        self.departed.insert(id.clone(), started);
    }

    /// Returns until when the entry of an upstream is not trusted, because the upstream had left before the store was
    /// restored and the entry may be from the copy. An entry that is written again later is trusted.
    pub(super) fn distrusted_until(
        &mut self,
        now: clock::Instant,
        id: &name::Name,
        started: u64,
    ) -> Option<clock::Instant> {
        let until = self.era_seen + STALE_ENTRY_TIME;
        let has_departed = self.departed.remove(id) == Some(started);
        (has_departed && self.may_be_recent && now < until).then_some(until)
    }
}
