//! Return of callers in a fleet behind a load balancer.

use carawaycleat_core::balance;

use crate::balance as balance_suite;

/// A caller with one open connection.
struct Caller {
    zone: usize,
    hash: u64,
    connection: Option<(usize, balance::Connection)>,
}

/// A host as the load balancer and the other hosts see it.
struct Host {
    zone: usize,
    reducer: balance::Reducer,
    in_service: bool,
    is_running: bool,
    moved: u32,
}

/// A load balancer that selects a host of the caller's zone by a hash, and callers that keep their connections.
struct Fleet {
    zones: usize,
    hosts: Vec<Host>,
    callers: Vec<Caller>,
    generator: fastrand::Rng,
    revision: u64,
    now: f64,
    has_views: bool,
}

/// The time between two steps of the fleet in seconds.
const STEP_S: f64 = 0.1;
/// The callers of each host.
const CALLERS_PER_HOST: usize = 24;
/// The requests of a caller per second.
const REQUESTS_PER_S: f64 = 2.0;

impl Fleet {
    fn new(zones: usize, hosts: usize, weight: usize) -> Self {
        let mut generator = fastrand::Rng::with_seed(7);
        let callers = (0..hosts * CALLERS_PER_HOST + weight).map(|number| Caller {
            zone: if number < weight { 0 } else { number % zones },
            hash: generator.u64(..),
            connection: None,
        });
        let callers = callers.collect();
        let mut fleet = Self {
            zones,
            hosts: Vec::new(),
            callers,
            generator,
            revision: 0,
            now: 100.0,
            has_views: true,
        };
        for number in 0..hosts {
            let host = fleet.started(number, hosts);
            fleet.hosts.push(host);
        }
        fleet
    }

    /// Returns a new process of a host, which knows the running ones of `hosts` hosts.
    fn started(&self, number: usize, hosts: usize) -> Host {
        let zone = number % self.zones;
        let mut reducer = balance::Reducer::new(
            balance_suite::host_name(number),
            balance_suite::zone_name(zone),
            balance::Options::default(),
        );
        for other in (0..hosts).filter(|other| *other != number) {
            if self.hosts.get(other).is_none_or(|host| host.is_running) {
                for change in balance_suite::joined(other, other % self.zones, 0) {
                    reducer.step(
                        balance_suite::at(self.now),
                        balance_suite::at(self.now),
                        change,
                    );
                }
            }
        }
        reducer.step(
            balance_suite::at(self.now),
            balance_suite::at(self.now),
            balance::Change::Listed,
        );
        Host {
            zone,
            reducer,
            in_service: true,
            is_running: true,
            moved: 0,
        }
    }

    fn tell(&mut self, subject: usize, changes: &[balance::Change]) {
        let now = balance_suite::at(self.now);
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if number != subject && host.is_running {
                for change in changes {
                    host.reducer.step(now, now, change.clone());
                }
            }
        }
    }

    /// Connects a caller as the load balancer does: to a host of its zone, or else of the next zone with one.
    fn connect(&mut self, caller: usize) {
        let Caller { zone, hash, .. } = self.callers[caller];
        let target = (0..self.zones).find_map(|step| {
            let zone = (zone + step) % self.zones;
            let in_service = |(number, host): (usize, &Host)| {
                (host.zone == zone && host.in_service).then_some(number)
            };
            let hosts: Vec<_> = self
                .hosts
                .iter()
                .enumerate()
                .filter_map(in_service)
                .collect();
            (!hosts.is_empty()).then(|| hosts[hash as usize % hosts.len()])
        });
        let connection = balance::Connection {
            accepted: balance_suite::at(self.now),
            draw: self.generator.f64(),
        };
        self.callers[caller].connection = target.map(|host| (host, connection));
    }

    /// Lets time pass. Returns the largest share of the requests that a host got, relative to the mean.
    fn run(&mut self, seconds: f64) -> f64 {
        let mut requests = vec![0_u32; self.hosts.len()];
        let end = self.now + seconds;
        let mut next_view = self.now;
        while self.now < end {
            self.now += STEP_S;
            for caller in 0..self.callers.len() {
                if self.generator.f64() >= REQUESTS_PER_S * STEP_S {
                    continue;
                }
                let open = |(host, _): &(usize, _)| self.hosts[*host].is_running;
                if self.callers[caller]
                    .connection
                    .as_ref()
                    .is_none_or(|open_to| !open(open_to))
                {
                    self.connect(caller);
                }
                let Some((number, connection)) = self.callers[caller].connection else {
                    continue;
                };
                requests[number] += 1;
                let host = &mut self.hosts[number];
                host.reducer.record_request(balance_suite::at(self.now));
                let relocation = host
                    .reducer
                    .relocation(balance_suite::at(self.now), connection);
                if relocation.is_some() || !host.in_service {
                    host.moved += u32::from(relocation.is_some());
                    self.callers[caller].connection = None;
                }
            }
            if self.has_views && self.now >= next_view {
                next_view = self.now + 0.4;
                self.exchange();
            }
        }
        let mean = f64::from(requests.iter().sum::<u32>()) / requests.len() as f64;
        f64::from(requests.into_iter().max().unwrap_or(0)) / mean
    }

    fn exchange(&mut self) {
        let now = balance_suite::at(self.now);
        let loads: Vec<_> = (0..self.zones)
            .map(|zone| {
                let hosts = self
                    .hosts
                    .iter()
                    .filter(|host| host.zone == zone && host.is_running);
                let takers = hosts.clone().filter(|host| host.in_service).count();
                let sum = hosts.map(|host| host.reducer.load(now)).sum();
                balance_suite::load(balance_suite::zone_name(zone).as_str(), takers as u32, sum)
            })
            .collect();
        for host in &mut self.hosts {
            host.reducer.record_loads(now, loads.clone());
        }
    }

    /// Stops hosts one after the other and starts them again, as a planned stop with a grace period of 6.5 s does.
    fn restart(&mut self, hosts: &[usize], gap: f64) {
        let start = self.now;
        let mut steps = Vec::new();
        for (index, host) in hosts.iter().enumerate() {
            let stopped = start + gap * index as f64;
            // Out of service after two probes, without an entry after its lease, away after the grace period.
            for (delay, step) in [(1.5, 0), (3.9, 1), (6.5, 2), (6.8, 3), (7.5, 4)] {
                steps.push((stopped + delay, step, *host));
            }
        }
        steps.sort_by(|one, other| one.0.total_cmp(&other.0));
        for (time, step, number) in steps {
            if time > self.now {
                self.run(time - self.now);
            }
            match step {
                0 => self.hosts[number].in_service = false,
                1 => self.tell(
                    number,
                    &[balance::Change::Left(balance_suite::host_name(number))],
                ),
                2 => self.hosts[number].is_running = false,
                3 => {
                    let host = self.started(number, self.hosts.len());
                    self.hosts[number] = host;
                    self.hosts[number].in_service = false;
                    self.revision += 1;
                    let changes = balance_suite::joined(number, number % self.zones, self.revision);
                    self.tell(number, &changes);
                }
                _ => self.hosts[number].in_service = true,
            }
        }
    }

    /// Checks the busiest host's part of the requests, in terms of an equal part, against the one before.
    fn assert_even(&mut self, before: f64) {
        let after = self.run(4.0);
        assert!(
            after <= (before * 1.15).max(1.5),
            "{before:.2} before, {after:.2} after"
        );
    }

    fn moved(&self) -> u32 {
        self.hosts.iter().map(|host| host.moved).sum()
    }
}

/// Guards against hosts that keep the callers of others after their return. Each row ends 10 s after the last return.
#[yare::parameterized(
    one_of_two_back = { 1, 2, &[1], 0.0 },
    one_of_four_back = { 4, 4, &[1], 0.0 },
    three_of_four_overlap = { 4, 4, &[1, 2, 3], 1.2 },
    three_of_four_of_one_zone = { 1, 4, &[1, 2, 3], 1.2 },
    all_but_one_at_once = { 4, 4, &[1, 2, 3], 0.0 },
    two_zones = { 2, 4, &[1, 3, 0], 1.5 },
    a_zone_of_33 = { 3, 33, &[1, 4, 7, 10, 13, 16, 19, 22, 25, 28, 31], 0.2 },
    ten_of_a_zone_of_33 = { 3, 33, &[1, 4, 7, 10, 13, 16, 19, 22, 25, 28], 0.2 },
    a_zone_of_336 = { 84, 336, &[1, 85, 169, 253], 0.3 },
    some_of_336 = { 4, 336, &[1, 5, 9, 13, 17, 21, 25, 29], 0.5 },
)]
fn share_is_even_after_the_last_return(zones: usize, hosts: usize, stopped: &[usize], gap: f64) {
    let mut fleet = Fleet::new(zones, hosts, 0);
    let before = fleet.run(10.0);
    fleet.restart(stopped, gap);
    fleet.run(9.3);
    fleet.assert_even(before);
}

/// Guards against the cost of new connections: none while the fleet is complete, none for ever at a host whose natural share
/// is 1.5 times the mean, and one for each connection that was accepted during an absence.
#[test]
fn natural_imbalance_is_left_alone() {
    let mut fleet = Fleet::new(4, 4, 72);
    let before = fleet.run(20.0);
    assert!(before > 1.4, "{before:.2}");
    assert_eq!(fleet.moved(), 0);
    fleet.restart(&[1], 0.0);
    fleet.run(10.0);
    let moved = fleet.moved();
    assert!(moved <= 2 * CALLERS_PER_HOST as u32, "{moved}");
    let after = fleet.run(60.0);
    assert!(after > 1.4, "{after:.2}");
    assert_eq!(fleet.moved(), moved);
}

/// Guards against callers who leave a host that stands still and never come back: its entry does not lapse, and it writes it
/// anew when it goes on.
#[yare::parameterized(
    one_zone = { 1, 2 },
    four_zones = { 4, 4 },
)]
fn callers_return_to_a_host_that_stood_still(zones: usize, hosts: usize) {
    let mut fleet = Fleet::new(zones, hosts, 0);
    let before = fleet.run(10.0);
    fleet.hosts[1].in_service = false;
    fleet.hosts[1].is_running = false;
    fleet.run(3.5);
    fleet.hosts[1].is_running = true;
    fleet.revision += 1;
    let changes = balance_suite::joined(1, 1 % zones, fleet.revision);
    fleet.tell(1, &changes);
    fleet.run(0.5);
    fleet.hosts[1].in_service = true;
    fleet.run(9.5);
    fleet.assert_even(before);
}

/// Guards against hosts that close connections while the coordinator is gone, and shows what the return of callers is for.
#[test]
fn callers_stay_without_a_coordinator() {
    let mut fleet = Fleet::new(4, 4, 0);
    fleet.has_views = false;
    fleet.run(10.0);
    fleet.restart(&[1, 2, 3], 1.2);
    fleet.run(9.3);
    assert!(fleet.run(4.0) > 2.0);
    assert_eq!(fleet.moved(), 0);
}

/// Guards against a large fleet in which a restart each 45 s makes many callers connect anew. Prints how many did.
#[yare::parameterized(
    thirty_three = { 3, 33 },
    three_hundred_thirty_six = { 4, 336 },
)]
fn restarts_of_a_large_fleet_cost_few_connections(zones: usize, hosts: usize) {
    let mut fleet = Fleet::new(zones, hosts, 0);
    fleet.run(10.0);
    for host in [1, 5, 9] {
        fleet.restart(&[host], 0.0);
        fleet.run(37.5);
    }
    let moved = fleet.moved();
    println!("{hosts} hosts: {moved} connections moved by three restarts");
    let limit = 3 * CALLERS_PER_HOST as u32 * 2;
    assert!(moved <= limit, "{moved}");
}
