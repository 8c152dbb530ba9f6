use carawaycleat_core::memory;
use carawaycleat_core::name;
use carawaycleat_core::placement;

pub(crate) fn name(text: &str) -> name::Name {
    name::Name::parse(text).expect("a valid name")
}

pub(crate) fn model(text: &str, bytes: u64) -> memory::Item {
    memory::Item::new(memory::Id::model(name(text), name("v1")), bytes)
}

/// An item in the memory of an upstream.
#[derive(Clone, Debug)]
struct Entry {
    item: memory::Item,
    /// Remaining time until the item is loaded, in seconds at full speed; negative afterwards.
    remaining: f64,
    answered: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub(crate) known: placement::Upstream,
    entries: Vec<Entry>,
    /// Whether models that finish loading from now on fail to serve requests.
    pub(crate) is_broken: bool,
}

/// Fake upstreams that follow a placement plan and load from a shared weight store. One step takes a second.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Host>,
    pub(crate) limits: placement::Limits,
    pub(crate) loads: usize,
    pub(crate) most_in_flight: usize,
    pub(crate) overcommits: usize,
}

impl Fleet {
    pub(crate) fn new(
        hosts: usize,
        zones: usize,
        memory_bytes: u64,
        limits: placement::Limits,
    ) -> Self {
        let host = |i: usize| Host {
            known: placement::Upstream {
                name: name(&format!("u{i:05}")),
                availability_zone: name(&format!("z{}", i % zones)),
                memory_bytes,
                tokens_per_second: 1_000.0,
                state: placement::State::Live,
                resident: Vec::new(),
            },
            entries: Vec::new(),
            is_broken: false,
        };
        Self {
            hosts: (0..hosts).map(host).collect(),
            limits,
            loads: 0,
            most_in_flight: 0,
            overcommits: 0,
        }
    }

    pub(crate) fn crash(&mut self, host: usize) {
        self.hosts[host].entries.clear();
        self.hosts[host].known.resident.clear();
    }

    /// Follows `plan` for a second: unloads first, then starts all missing loads.
    pub(crate) fn step(&mut self, plan: &placement::Plan) {
        for host in &mut self.hosts {
            let Some(wanted) = plan.holdings(&host.known.name) else {
                continue;
            };
            if host.known.state == placement::State::Lost {
                continue;
            }
            host.entries.retain(|e| wanted.contains(&e.item));
            for item in wanted {
                if !host.entries.iter().any(|e| e.item == *item) {
                    let remaining = self.limits.load_seconds(item);
                    let answered = false;
                    host.entries.push(Entry {
                        item: item.clone(),
                        remaining,
                        answered,
                    });
                    self.loads += 1;
                }
            }
            let used: u64 = host.entries.iter().map(|e| e.item.bytes).sum();
            self.overcommits += usize::from(used > host.known.memory_bytes);
        }
        let loading = |e: &&Entry| e.remaining > 0.0;
        let reached = |h: &&Host| h.known.state != placement::State::Lost;
        let entries = self.hosts.iter().filter(reached).flat_map(|h| &h.entries);
        let running = entries.filter(loading).count();
        self.most_in_flight = self.most_in_flight.max(running);
        let speed = (self.limits.loads_in_flight as f64 / running.max(1) as f64).min(1.0);
        for host in &mut self.hosts {
            for entry in &mut host.entries {
                entry.remaining -= speed;
                entry.answered |= entry.remaining <= -1.0 && !host.is_broken;
            }
        }
    }

    /// Updates the state that the planner sees. `trusting` reports an item as answered as soon as it is resident.
    pub(crate) fn report(&mut self, trusting: bool) {
        for host in self
            .hosts
            .iter_mut()
            .filter(|h| h.known.state != placement::State::Lost)
        {
            let ready = host.entries.iter().filter(|e| e.remaining <= 0.0);
            let residence = |e: &Entry| placement::Residence {
                item: e.item.clone(),
                answered: e.answered || trusting,
            };
            host.known.resident = ready.map(residence).collect();
        }
    }

    pub(crate) fn serves(&self, host: usize, item: &memory::Item) -> bool {
        let host = &self.hosts[host];
        let is_ready =
            |e: &Entry| e.item == *item && e.remaining <= 0.0 && (e.answered || !host.is_broken);
        host.known.state == placement::State::Live && host.entries.iter().any(is_ready)
    }

    /// Returns the upstreams that serve `item`.
    pub(crate) fn holders(&self, item: &memory::Item) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|&h| self.serves(h, item))
            .collect()
    }

    /// Returns the number of tokens served per second under `demand`, which has one value for each of `items`.
    pub(crate) fn served(&self, items: &[memory::Item], demand: &[f64]) -> f64 {
        let holders: Vec<_> = items.iter().map(|item| self.holders(item)).collect();
        let mut load = vec![0.0; self.hosts.len()];
        for (found, tokens) in holders.iter().zip(demand) {
            for &holder in found {
                load[holder] += tokens / found.len() as f64;
            }
        }
        let capped = load
            .iter()
            .zip(&self.hosts)
            .map(|(l, h)| f64::min(*l, h.known.tokens_per_second));
        capped.sum()
    }
}
