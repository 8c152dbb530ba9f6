//! The time for which a host is the coordinator.

use carawaycleat_core::clock;
use carawaycleat_core::coordinator;
use carawaycleat_core::relay;

use crate::relay_fake;

/// A coordinator among hosts that it hears or not.
struct World {
    reducer: coordinator::Reducer,
    now: clock::Instant,
}

impl World {
    fn new(hosts: usize) -> Self {
        let mut world = Self {
            reducer: coordinator::Reducer::new(coordinator::Options::default()),
            now: clock::Instant::from_millis(100_000),
        };
        let names = (0..hosts).map(host);
        world.feed(coordinator::Event::HostsChanged(names.collect()));
        world.feed(coordinator::Event::Elected(1));
        world
    }

    fn feed(&mut self, event: coordinator::Event) -> Vec<coordinator::Effect> {
        self.reducer.step(self.now, event)
    }

    /// Lets time pass in which the first `heard` hosts report, and returns whether the coordinator resigns.
    fn pass(&mut self, millis: u64, heard: usize) -> bool {
        let mut resigns = false;
        for _ in 0..millis / 100 {
            self.now = self.now + relay_fake::millis(100);
            for index in 0..heard {
                let report = relay::Report {
                    host: host(index),
                    number: 1,
                    full: false,
                    token_requests: Vec::new(),
                    interval_ms: 100,
                    demands: Vec::new(),
                    running: Vec::new(),
                    usage: Vec::new(),
                    suspects: Vec::new(),
                };
                self.feed(coordinator::Event::Reported(Box::new(report)));
            }
            let effects = self.feed(coordinator::Event::Tick { may_order: true });
            let is_resignation = |effect| matches!(effect, coordinator::Effect::Resign);
            resigns |= effects.into_iter().any(is_resignation);
        }
        resigns
    }
}

fn host(index: usize) -> carawaycleat_core::name::Name {
    relay_fake::name(&format!("host-{index}"))
}

/// Guards against a coordinator that is cut off from the other hosts, but not from the store, and keeps them without
/// placement and shares for as long as the cut lasts.
#[test]
fn coordinator_that_hears_few_hosts_resigns() {
    let mut world = World::new(30);
    assert!(!world.pass(3_000, 30));
    assert!(world.pass(2_500, 10));
}

/// Guards against a host that is elected while it is cut off.
#[test]
fn coordinator_that_has_never_been_heard_resigns() {
    let mut world = World::new(5);
    assert!(world.pass(2_500, 1));
}

/// Guards against a hand-over for the loss of a few hosts, and against one before hosts have had the time to report.
#[test]
fn coordinator_that_hears_most_hosts_stays() {
    let mut world = World::new(30);
    assert!(!world.pass(1_500, 1));
    assert!(!world.pass(10_000, 16));
}

/// Guards against hand-overs between two hosts, of which neither can tell who is cut off.
#[test]
fn one_of_two_hosts_stays() {
    let mut world = World::new(2);
    assert!(!world.pass(10_000, 1));
}

/// Guards against a lease that was given up while its renewal was on the way, and that goes on with the answer.
#[test]
fn lease_that_was_given_up_is_not_extended() {
    let second = relay_fake::millis(1_000);
    let mut term = coordinator::Term::new(3 * second);
    let sent = clock::Instant::from_millis(1_000);
    term.begin(sent, 7, sent);
    term.end();
    term.renew(sent + second);
    assert_eq!(term.epoch(sent + second), None);
    term.begin(sent, 8, sent);
    term.renew(sent + 2 * second);
    assert!(term.may_order(sent + 3 * second));
}

/// Guards against hosts without a coordinator while the store is away and nobody can be elected.
#[test]
fn coordinator_stays_without_orders_when_its_lease_ends() {
    let second = relay_fake::millis(1_000);
    let mut term = coordinator::Term::new(3 * second);
    let sent = clock::Instant::from_millis(1_000);
    term.begin(sent, 7, sent);
    assert!(!term.may_order(sent + 3 * second));
    assert_eq!(term.epoch(sent + 5 * second), Some(7));
    assert_eq!(term.epoch(sent + 15 * second), None);
}

const GAP_MS: u64 = 3_000;
const LEASE_MS: u64 = 2_500;

/// Returns the pause after the lease of another coordinator.
fn pause() -> std::time::Duration {
    let millis = relay_fake::millis;
    coordinator::Term::order_delay(millis(LEASE_MS), millis(GAP_MS))
}

fn held(holder: &str, revision: u64) -> coordinator::Leadership {
    coordinator::Leadership::Held {
        holder: relay_fake::name(holder),
        revision,
    }
}

fn election(name: &str, is_first: bool) -> coordinator::Election {
    let wait = relay_fake::millis(200);
    coordinator::Election::new(relay_fake::name(name), wait, pause(), is_first)
}

/// Guards against orders of two coordinators close together where engines check no fences.
#[test]
fn orders_of_two_coordinators_are_apart() {
    let sent = clock::Instant::from_millis(10_000);
    let lease = relay_fake::millis(LEASE_MS);
    let mut first = coordinator::Term::new(lease);
    first.begin(sent, 7, sent);
    let at = |millis| sent + relay_fake::millis(millis);
    let last = (0..9_000)
        .filter(|millis| first.may_order(at(*millis)))
        .max();

    // The store removes the entry when the lease ends, which it counts from the arrival of the call.
    let mut election = election("host-2", false);
    election.observe(sent, held("host-1", 7));
    election.observe(at(LEASE_MS), coordinator::Leadership::Vacant);
    let applied = (LEASE_MS..9_000).find(|millis| election.candidacy(at(*millis)).is_some());
    let applied = applied.expect("an application");
    let application = election.candidacy(at(applied)).expect("an application");
    let mut second = coordinator::Term::new(lease);
    second.begin(at(applied), 8, at(applied) + application.order_delay);
    let next = (0..9_000).find(|millis| {
        second.renew(at(*millis));
        second.may_order(at(*millis))
    });
    let (last, next) = (last.expect("an order"), next.expect("an order"));
    assert!(next - last >= GAP_MS, "{last} and {next}");
}

/// Guards against a pause without orders where there was no coordinator whose orders could be near.
#[test]
fn first_coordinator_of_all_orders_at_once() {
    let mut election = election("host-1", true);
    let now = clock::Instant::from_millis(1_000);
    election.observe(now, coordinator::Leadership::Vacant);
    assert_eq!(election.candidacy(now), None, "stronger hosts go first");
    let application = election.candidacy(now + relay_fake::millis(200));
    let application = application.expect("an application");
    assert_eq!(application.order_delay, relay_fake::millis(0));
    assert!(!application.resumes);
}

/// Guards against a coordinator that has to wait, and forgets what it knows, when its lease ended in an outage of the
/// store in which nobody could take its place.
#[test]
fn coordinator_whose_lease_ended_in_an_outage_resumes() {
    let mut election = election("host-1", false);
    let now = clock::Instant::from_millis(1_000);
    election.record_win();
    election.observe(now, held("host-1", 7));
    election.observe(now, coordinator::Leadership::Vacant);
    let application = election.candidacy(now).expect("an application");
    assert_eq!(application.order_delay, relay_fake::millis(0));
    assert!(application.resumes);
}

/// Guards against knowledge from before the term of another coordinator.
#[test]
fn coordinator_after_another_one_does_not_resume() {
    let mut election = election("host-1", false);
    let now = clock::Instant::from_millis(1_000);
    election.record_win();
    election.observe(now, held("host-1", 7));
    election.observe(now, held("host-2", 9));
    assert!(election.is_held_by_other());
    assert_eq!(election.candidacy(now), None);
    election.observe(now, coordinator::Leadership::Vacant);
    let later = now + relay_fake::millis(200);
    let application = election.candidacy(later).expect("an application");
    assert_eq!(application.order_delay, pause());
    assert!(!application.resumes);
}

/// Guards against the host that resigned being elected again before others have applied, and against a long pause after
/// a release.
#[test]
fn released_seat_goes_to_another_host_soon() {
    let (mut old, mut new) = (election("host-1", false), election("host-2", false));
    let now = clock::Instant::from_millis(1_000);
    old.record_win();
    old.record_release(now);
    let released = coordinator::Leadership::Released { revision: 12 };
    old.observe(now, released.clone());
    new.observe(now, released);
    let later = now + relay_fake::millis(500);
    assert_eq!(old.candidacy(later), None);
    let application = new.candidacy(later).expect("an application");
    assert_eq!(application.revision, 12);
    assert!(application.order_delay < relay_fake::millis(500));
    assert!(old.candidacy(now + relay_fake::millis(3_500)).is_some());
}
