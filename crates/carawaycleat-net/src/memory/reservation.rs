use std::sync::atomic;

/// The length up to which a message is admitted whatever the others take, so that large messages keep out no small ones.
const SMALL_MESSAGE_BYTES: usize = 16 * 1024;

/// The memory that one message takes. It is given back when the reservation is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: super::Memory,
    bytes: usize,
}

impl Reservation {
    pub(super) fn new(memory: super::Memory) -> Self {
        Self { memory, bytes: 0 }
    }

    /// Reserves further bytes. Returns false and reserves none if the account has too few left, unless the whole message
    /// has at most 16 KiB.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let account = &self.memory.0;
        let before = account.used.fetch_add(bytes, atomic::Ordering::Relaxed);
        let is_small = self.bytes.saturating_add(bytes) <= SMALL_MESSAGE_BYTES;
        if is_small || before.saturating_add(bytes) <= account.limit {
            self.bytes += bytes;
            return true;
        }
        account.used.fetch_sub(bytes, atomic::Ordering::Relaxed);
        false
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used = &self.memory.0.used;
        used.fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}
