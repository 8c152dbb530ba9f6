use carawaycleat_core::clock;

use super::site;
use crate::transfer;

/// The identifier of a load in flight.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// The weight store: the loads in flight.
#[derive(Clone, Debug)]
pub struct State {
    site: site::Site,
    models: transfer::Queue<Ticket>,
    adapters: transfer::Queue<Ticket>,
    done: Vec<Ticket>,
    next: u64,
    peak: usize,
}

impl State {
    /// Returns a weight store with the rates of `site`.
    pub fn new(site: site::Site) -> Self {
        Self {
            site,
            models: transfer::Queue::new(site.loads_in_flight),
            adapters: transfer::Queue::new(site.adapters_in_flight),
            done: Vec::new(),
            next: 0,
            peak: 0,
        }
    }

    /// Starts a load. A size up to [`Site::adapter_bytes`](site::Site) is an adapter.
    pub fn fetch(&mut self, now: clock::Instant, bytes: u64) -> Ticket {
        self.run(now);
        let ticket = Ticket(self.next);
        self.next += 1;
        if bytes <= self.site.adapter_bytes {
            let work = self.site.adapter_time(bytes);
            self.adapters.start(now, ticket, work);
        } else {
            self.models.start(now, ticket, self.site.model_time(bytes));
            self.peak = self.peak.max(self.models.len());
        }
        ticket
    }

    fn run(&mut self, now: clock::Instant) {
        self.done.extend(self.models.advance(now));
        self.done.extend(self.adapters.advance(now));
    }

    /// Moves the time on, and returns the loads that are done.
    pub fn advance(&mut self, now: clock::Instant) -> Vec<Ticket> {
        self.run(now);
        std::mem::take(&mut self.done)
    }

    /// Returns when the next load is done if no other starts.
    pub fn next(&self) -> Option<clock::Instant> {
        [self.models.next(), self.adapters.next()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the largest number of model loads in flight so far.
    pub fn peak_in_flight(&self) -> usize {
        self.peak
    }
}
