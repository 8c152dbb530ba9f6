mod reservation;

use std::sync;
use std::sync::atomic;

pub use reservation::Reservation;

/// The memory that the bodies of all messages in progress may take together. Clones share it.
///
/// A limit for each message alone is no bound, because many may be in progress at once.
///
/// # Examples
///
/// ```
/// use carawaycleat_net as net;
///
/// let memory = net::Memory::new(1_000_000);
/// let mut large = memory.reservation();
/// assert!(large.grow(900_000));
/// assert!(!large.grow(200_000));
/// let mut small = memory.reservation();
/// assert!(small.grow(10_000), "small messages are always admitted");
/// drop(large);
/// assert_eq!(memory.used(), 10_000);
/// ```
#[derive(Clone, Debug)]
pub struct Memory(sync::Arc<Account>);

#[derive(Debug)]
struct Account {
    limit: usize,
    used: atomic::AtomicUsize,
}

impl Memory {
    /// Returns an account of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(sync::Arc::new(Account {
            limit,
            used: atomic::AtomicUsize::new(0),
        }))
    }

    /// Returns a reservation of no bytes, for one message.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation::new(self.clone())
    }

    /// Returns the number of bytes that are reserved.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.used.load(atomic::Ordering::Relaxed)
    }
}
