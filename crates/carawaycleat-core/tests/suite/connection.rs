//! Shares of connections, and subsets of upstreams.

mod fleet;

use std::collections;

use carawaycleat_core::connection;

use crate::relay_fake;

/// The connections to one upstream that all hosts together may use: 0.9 of 220.
const USABLE: u32 = 198;

fn members(prefix: &str, count: usize, zones: usize) -> Vec<connection::Member> {
    let member = |index: usize| connection::Member {
        name: relay_fake::name(&format!("{prefix}-{index}")),
        zone: Some(relay_fake::name(&format!("zone-{}", index % zones))),
    };
    (0..count).map(member).collect()
}

type Pairs = collections::BTreeSet<(String, String)>;

fn pairs(
    hosts: &[connection::Member],
    upstreams: &[connection::Member],
    size: usize,
) -> (connection::Assignment, Pairs) {
    let assignment = connection::assign(hosts, upstreams, size);
    let mut pairs = Pairs::new();
    for host in hosts {
        for upstream in upstreams {
            if assignment.includes(&host.name, &upstream.name) {
                pairs.insert((host.name.to_string(), upstream.name.to_string()));
            }
        }
    }
    (assignment, pairs)
}

/// Guards against an upstream with more hosts than others, which queues while they are idle, against hosts with too few
/// upstreams, and against subsets that ignore availability zones.
#[yare::parameterized(
    customer_m = { 27, 5, 6, 3 },
    customer_s = { 22, 3, 6, 3 },
    uneven_zones = { 20, 4, 6, 3 },
    few_hosts = { 4, 7, 6, 2 },
    one_upstream = { 9, 1, 6, 3 },
    large_fleet = { 340, 60, 6, 3 },
)]
fn subsets_are_even(hosts: usize, upstreams: usize, slots: u32, zones: usize) {
    let size = connection::size(hosts, upstreams, slots);
    assert!(size >= 2.min(upstreams));
    let (hosts, upstreams) = (
        members("host", hosts, zones),
        members("plain", upstreams, zones),
    );
    let (assignment, pairs) = pairs(&hosts, &upstreams, size);
    let counts = upstreams.iter().map(|one| assignment.host_count(&one.name));
    let mut counts: Vec<_> = counts.collect();
    counts.sort_unstable();
    assert!(counts[counts.len() - 1] - counts[0] <= 1, "{counts:?}");
    assert_eq!(pairs.len(), hosts.len() * size, "each host has {size}");
    let is_near = |pair: &&(String, String)| {
        let zone = |members: &[connection::Member], name: &str| {
            let member = members.iter().find(|member| member.name.as_str() == name);
            member.and_then(|member| member.zone.clone())
        };
        zone(&hosts, &pair.0) == zone(&upstreams, &pair.1)
    };
    let near = pairs.iter().filter(is_near).count();
    // A choice that ignores zones would have 1 divided by their number.
    let fraction = near as f64 / pairs.len() as f64;
    let chance = 1.0 / zones as f64;
    assert!(
        size == upstreams.len() || fraction > 1.15 * chance,
        "{fraction}"
    );
}

/// Guards against a host or an upstream that comes or goes and moves most others, whose connections would be made anew.
#[test]
fn subsets_move_little() {
    for (host_count, upstream_count, slots) in [(27, 5, 6), (22, 3, 6), (60, 9, 6)] {
        let (hosts, upstreams) = (
            members("host", host_count, 3),
            members("plain", upstream_count, 3),
        );
        let size = connection::size(host_count, upstream_count, slots);
        let (_, before) = pairs(&hosts, &upstreams, size);
        for index in 0..host_count {
            let mut fewer = hosts.clone();
            let gone = fewer.remove(index);
            let (_, after) = pairs(&fewer, &upstreams, size);
            let moved = before.iter().filter(|pair| pair.0 != gone.name.as_str());
            let moved = moved.filter(|pair| !after.contains(*pair)).count();
            // Only as many as the host's own places, and some that follow from them.
            assert!(
                moved <= 3 * size,
                "{moved} of {} without {}",
                before.len(),
                gone.name
            );
        }
        for index in 0..upstream_count {
            let mut fewer = upstreams.clone();
            let gone = fewer.remove(index);
            let (_, after) = pairs(&hosts, &fewer, size);
            let is_moved =
                |pair: &&(String, String)| pair.1 != gone.name.as_str() && !after.contains(*pair);
            let moved = before.iter().filter(is_moved).count();
            let own = before.len() / upstream_count;
            assert!(moved <= own, "{moved} of {}, its own {own}", before.len());
        }
    }
}

/// Guards against hosts that compute other subsets than others because they learned of the members in another order.
#[test]
fn subsets_do_not_depend_on_the_order() {
    let (mut hosts, mut upstreams) = (members("host", 27, 3), members("plain", 5, 3));
    let (_, one) = pairs(&hosts, &upstreams, 2);
    hosts.reverse();
    upstreams.rotate_left(2);
    let (_, other) = pairs(&hosts, &upstreams, 2);
    assert_eq!(one, other);
}

/// Guards against equal shares that together exceed what the upstream accepts, also with one host more than known.
#[test]
fn equal_shares_fit() {
    let usable = connection::usable(220);
    assert_eq!(usable, USABLE);
    for hosts in 1..400 {
        let equal = connection::equal(usable, hosts);
        assert!(equal * (hosts as u32 + 1) <= usable);
        assert!(connection::base(usable, hosts) <= equal);
    }
}

use fleet::Fault;
use fleet::Fleet;

/// Guards against shares that together exceed 0.9 of the connections that an upstream accepts, which resets those beyond.
#[yare::parameterized(
    sound = { Fault::None },
    views_late = { Fault::ViewsLate },
    views_lost = { Fault::ViewsLost },
    no_coordinator = { Fault::NoCoordinator },
    new_coordinator = { Fault::NewCoordinator },
    host_dies = { Fault::Dies },
    host_freezes = { Fault::Freezes },
    host_is_cut_off = { Fault::IsCutOff },
    hosts_start = { Fault::HostsStart },
    upstream_leaves = { Fault::UpstreamLeaves },
)]
fn shares_never_exceed_the_connections(fault: Fault) {
    let mut fleet = Fleet::new(27, |host, second| match host {
        // The load moves from one host to another, so that shares do.
        0 if second < 6 => 130.0,
        1 if second >= 6 => 130.0,
        _ => 5.0,
    });
    fleet.run(20, fault, |fleet| {
        for upstream in 0..fleet::UPSTREAMS {
            let sum = fleet.held(upstream);
            assert!(
                sum <= USABLE,
                "{sum} at {upstream}, {:?}, {fault:?}",
                fleet.now
            );
        }
    });
    assert!(fleet.served > 2_000, "{}", fleet.served);
}

/// Guards against a busy host that is held to the share of an idle one, and against shares that follow its load late.
#[test]
fn busy_host_uses_more() {
    let mut fleet = Fleet::new(27, |host, second| match host {
        0 if second >= 5 => 130.0,
        _ => 5.0,
    });
    fleet.run(7, Fault::None, |_| ());
    let share = |fleet: &Fleet, host| -> u32 {
        let upstreams = 0..fleet::UPSTREAMS;
        upstreams.map(|upstream| fleet.share(host, upstream)).sum()
    };
    let (busy, idle) = (share(&fleet, 0), share(&fleet, 5));
    assert!(2 * busy >= 3 * idle, "{busy} and {idle}");
    fleet.waits.clear();
    fleet.run(8, Fault::None, |_| ());
    let waits = fleet.waits.entry(0).or_default();
    waits.sort();
    let late = waits[waits.len() * 95 / 100];
    // A third of the objective of bookings.
    assert!(late <= 100, "95% within {late} ms of {}", waits.len());
}

/// Guards against hosts that together send a plain upstream more than its slots and a short queue hold, as when each sends one
/// request to each, and against slots left idle for that.
#[yare::parameterized(
    usual = { 10.0, Fault::None, 12.0 },
    overload = { 30.0, Fault::None, 16.0 },
    overload_without_views = { 30.0, Fault::NoCoordinator, 13.0 },
)]
fn plain_upstreams_hold_their_slots_and_a_short_queue(rate: f64, fault: Fault, most: f64) {
    let mut fleet = Fleet::new(27, move |_, _| rate);
    fleet.run(10, fault, |_| ());
    // The views of the time before the fault count for two seconds.
    let steady = fleet.occupancy.iter().skip(650 * fleet::UPSTREAMS);
    let steady: Vec<_> = steady.copied().collect();
    let mean = steady.iter().sum::<u32>() as f64 / steady.len() as f64;
    let highest = steady.iter().max().copied().unwrap_or(0);
    assert!(f64::from(highest) <= most, "{highest}, mean {mean}");
    let capacity = 5.0 * 6.0 / 0.06 * 10.0;
    let expected = (27.0 * rate * 10.0_f64).min(capacity);
    // In an overload, requests are given up at their time limit after they have taken a slot.
    assert!(fleet.served as f64 > 0.8 * expected, "{}", fleet.served);
}
