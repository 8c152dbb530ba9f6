use std::cmp;
use std::collections;

use super::amount;
use super::digest;
use super::member;
use crate::name;

/// The fewest upstreams of a host, so that it has another one when one is full or gone.
const MIN_SIZE: usize = 2;

/// The subset of each host.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    upstreams: collections::BTreeMap<name::Name, collections::BTreeSet<name::Name>>,
}

impl Assignment {
    /// Returns whether an upstream is in the subset of a host.
    #[must_use]
    pub fn includes(&self, host: &name::Name, upstream: &name::Name) -> bool {
        let hosts = self.upstreams.get(upstream);
        hosts.is_some_and(|hosts| hosts.contains(host))
    }

    /// Returns the number of hosts in whose subset an upstream is.
    #[must_use]
    pub fn host_count(&self, upstream: &name::Name) -> usize {
        let hosts = self.upstreams.get(upstream);
        hosts.map_or(0, collections::BTreeSet::len)
    }
}

/// Returns the number of upstreams in the subset of each host: two or more, as many as let the hosts of an upstream, with one
/// request each, occupy its slots and a short queue.
#[must_use]
pub fn size(hosts: usize, upstreams: usize, slots: u32) -> usize {
    let places = amount::places(slots) * upstreams as f64;
    let size = (places / hosts.max(1) as f64).round() as usize;
    size.max(MIN_SIZE).min(upstreams)
}

/// How much one member prefers another: those of its availability zone first, then by digest. Less is preferred.
type Preference = (bool, cmp::Reverse<u64>);

fn preference(host: &member::Member, upstream: &member::Member, affinity: u64) -> Preference {
    let is_remote = host.zone.is_none() || host.zone != upstream.zone;
    (is_remote, cmp::Reverse(affinity))
}

/// Gives each host a subset of `size` upstreams. The numbers of hosts of the upstreams differ by one at most.
///
/// Each host asks for upstreams in the order of its preference, and a full upstream keeps the hosts that it prefers (deferred
/// acceptance). The result depends on the names and zones only, not on the order of the arguments, so that all hosts find the
/// same one. A host or an upstream that comes or goes moves the few others that its place concerns.
#[must_use]
pub fn assign(hosts: &[member::Member], upstreams: &[member::Member], size: usize) -> Assignment {
    let mut hosts: Vec<_> = hosts.iter().collect();
    let mut upstreams: Vec<_> = upstreams.iter().collect();
    hosts.sort_by_key(|host| &host.name);
    upstreams.sort_by_key(|upstream| &upstream.name);
    let size = size.min(upstreams.len());
    let mut matching = Matching::new(&hosts, &upstreams, size);
    matching.propose();
    matching.complete();
    let names = |held: &collections::BTreeSet<(Preference, usize)>| {
        held.iter()
            .map(|(_, host)| hosts[*host].name.clone())
            .collect()
    };
    let held = matching.held.iter().map(names);
    let upstreams = upstreams.iter().map(|upstream| upstream.name.clone());
    Assignment {
        upstreams: upstreams.zip(held).collect(),
    }
}

/// The state of an assignment in progress. Hosts and upstreams are given by their position.
struct Matching {
    size: usize,
    /// The preference between each host and each upstream.
    preferences: Vec<Vec<Preference>>,
    /// The upstreams of each host, the preferred one first.
    wishes: Vec<Vec<usize>>,
    capacities: Vec<usize>,
    /// The hosts of each upstream, the preferred one first.
    held: Vec<collections::BTreeSet<(Preference, usize)>>,
    /// The number of upstreams of each host.
    counts: Vec<usize>,
}

impl Matching {
    fn new(hosts: &[&member::Member], upstreams: &[&member::Member], size: usize) -> Self {
        let preferences: Vec<Vec<_>> = hosts
            .iter()
            .map(|host| {
                let of = |upstream: &&member::Member| {
                    let affinity = digest::affinity(host.name.as_str(), upstream.name.as_str());
                    preference(host, upstream, affinity)
                };
                upstreams.iter().map(of).collect()
            })
            .collect();
        let wishes = preferences.iter().map(|preferences| {
            let mut wishes: Vec<_> = (0..upstreams.len()).collect();
            wishes.sort_by_key(|upstream| preferences[*upstream]);
            wishes
        });
        let total = hosts.len() * size;
        let count = upstreams.len().max(1);
        let mut by_digest: Vec<_> = (0..upstreams.len()).collect();
        by_digest.sort_by_key(|index| digest::affinity(upstreams[*index].name.as_str(), ""));
        let mut capacities = vec![total / count; upstreams.len()];
        for index in by_digest.into_iter().take(total % count) {
            capacities[index] += 1;
        }
        Self {
            size,
            wishes: wishes.collect(),
            preferences,
            capacities,
            held: vec![collections::BTreeSet::new(); upstreams.len()],
            counts: vec![0; hosts.len()],
        }
    }

    /// Lets hosts ask for upstreams until each has enough or has asked all of them.
    fn propose(&mut self) {
        let mut next = vec![0; self.counts.len()];
        let mut asking: Vec<_> = (0..self.counts.len()).collect();
        while let Some(host) = asking.pop() {
            while self.counts[host] < self.size && next[host] < self.wishes[host].len() {
                let upstream = self.wishes[host][next[host]];
                next[host] += 1;
                self.add(host, upstream);
                if self.held[upstream].len() > self.capacities[upstream]
                    && let Some((_, rejected)) = self.held[upstream].pop_last()
                {
                    self.counts[rejected] -= 1;
                    asking.push(rejected);
                }
            }
        }
    }

    /// Gives hosts that have too few upstreams one of another host, which gets the place that was left.
    fn complete(&mut self) {
        for host in 0..self.counts.len() {
            while self.counts[host] < self.size && self.exchange(host) {}
        }
    }

    /// Returns whether a place was found for `host`.
    fn exchange(&mut self, host: usize) -> bool {
        let is_free = |upstream: &usize| self.held[*upstream].len() < self.capacities[*upstream];
        let Some(free) = (0..self.held.len()).find(is_free) else {
            return false;
        };
        if !self.has(host, free) {
            self.add(host, free);
            return true;
        }
        let exchange = self.wishes[host].iter().find_map(|wanted| {
            if self.has(host, *wanted) {
                return None;
            }
            let mut others = self.held[*wanted].iter().rev();
            let other = others.find(|(_, other)| !self.has(*other, free))?;
            Some((*wanted, other.1))
        });
        let Some((wanted, other)) = exchange else {
            return false;
        };
        let preference = self.preferences[other][wanted];
        self.held[wanted].remove(&(preference, other));
        self.counts[other] -= 1;
        self.add(other, free);
        self.add(host, wanted);
        true
    }

    fn has(&self, host: usize, upstream: usize) -> bool {
        let preference = self.preferences[host][upstream];
        self.held[upstream].contains(&(preference, host))
    }

    fn add(&mut self, host: usize, upstream: usize) {
        let preference = self.preferences[host][upstream];
        if self.held[upstream].insert((preference, host)) {
            self.counts[host] += 1;
        }
    }
}
