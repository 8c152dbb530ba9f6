use std::collections;

/// A bounded buffer with the latest events of a process.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::timeline;
///
/// let ring = timeline::Ring::new(100);
/// assert_eq!(ring.dropped(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Ring {
    events: collections::VecDeque<super::Event>,
    capacity: usize,
    dropped: u64,
}

impl Ring {
    /// Returns an empty ring for at most `capacity` events; at least one is kept.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: collections::VecDeque::new(),
            capacity: capacity.max(1),
            dropped: 0,
        }
    }

    /// Adds an event and drops the oldest one when the ring is full.
    ///
    /// Credentials that a text of the event quotes are redacted.
    pub fn push(&mut self, mut event: super::Event) {
        event.sanitize();
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Returns the number of events that were dropped because the ring was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the events, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &super::Event> {
        self.events.iter()
    }

    /// Returns the events that match `filter`, oldest first.
    pub fn select(&self, filter: &super::Filter) -> Vec<super::Event> {
        let mut selected: Vec<_> = self
            .events
            .iter()
            .rev()
            .filter(|event| filter.matches(event))
            .take(filter.limit.unwrap_or(usize::MAX))
            .cloned()
            .collect();
        selected.reverse();
        selected
    }
}
