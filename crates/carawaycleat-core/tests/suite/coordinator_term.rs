//! Elections of the coordinator, its term and its resignation.

use carawaycleat_core::clock;
use carawaycleat_core::coordinator;
use carawaycleat_core::relay;
use carawaycleat_core::revision;

use crate::relay_fake;

/// A coordinator among hosts of which the test lets some report.
struct Harness {
    reducer: coordinator::Reducer,
    now: clock::Instant,
}

impl Harness {
    fn new(hosts: usize) -> Self {
        let mut harness = Self {
            reducer: coordinator::Reducer::new(coordinator::Options::default()),
            now: clock::Instant::from_millis(100_000),
        };
        let names = (0..hosts).map(host);
        harness.feed(coordinator::Event::HostsChanged(names.collect()));
        harness.feed(coordinator::Event::Elected(1));
        harness
    }

    fn feed(&mut self, event: coordinator::Event) -> Vec<coordinator::Effect> {
        self.reducer.step(self.now, event)
    }

    /// Advances the clock while the first `reporting` hosts send reports, and returns whether the coordinator resigns.
    fn advance(&mut self, millis: u64, reporting: usize) -> bool {
        let mut resigns = false;
        for _ in 0..millis / 100 {
            self.now = self.now + relay_fake::millis(100);
            for index in 0..reporting {
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
                    limits: Vec::new(),
                    leaving: Vec::new(),
                    zone: relay_fake::name("zone-1"),
                    requests_per_second: 0.0,
                    stopping: false,
                    colds: relay::Colds::default(),
                    evacuated: Vec::new(),
                    work: Vec::new(),
                    connections: Vec::new(),
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

/// Guards against a coordinator that is partitioned from the other hosts, but not from the store: they would be without
/// placement and shares until the partition ends.
#[test]
fn coordinator_with_few_reports_resigns() {
    let mut harness = Harness::new(30);
    assert!(!harness.advance(3_000, 30));
    assert!(harness.advance(2_500, 10));
}

/// Guards against a host that is elected while it is partitioned from the other hosts.
#[test]
fn coordinator_without_reports_resigns() {
    let mut harness = Harness::new(5);
    assert!(harness.advance(2_500, 1));
}

/// Guards against a resignation because few hosts are lost, and against one before hosts have had time to report.
#[test]
fn coordinator_with_reports_of_most_hosts_stays() {
    let mut harness = Harness::new(30);
    assert!(!harness.advance(1_500, 1));
    assert!(!harness.advance(10_000, 16));
}

/// Guards against repeated resignations of two hosts, of which neither can tell which one is partitioned.
#[test]
fn coordinator_of_two_hosts_stays() {
    let mut harness = Harness::new(2);
    assert!(!harness.advance(10_000, 1));
}

/// Guards against a term that ended while the renewal of its lease was in flight, and that continues with the response.
#[test]
fn ended_term_is_not_renewed() {
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

/// Guards against hosts without a coordinator while the store is unreachable and no host can be elected.
#[test]
fn coordinator_stays_active_without_orders_after_its_lease() {
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

/// Returns the delay before the first order after another coordinator's lease expired.
fn order_delay() -> std::time::Duration {
    let millis = relay_fake::millis;
    coordinator::Term::order_delay(millis(LEASE_MS), millis(GAP_MS))
}

fn held(holder: &str, revision: u64) -> coordinator::Leadership {
    coordinator::Leadership::Held {
        holder: relay_fake::name(holder),
        revision,
    }
}

/// Returns the state of a host that has been running for longer than [`GAP_MS`] before each test.
fn election(name: &str, is_first: bool) -> coordinator::Election {
    let delays = coordinator::Delays {
        candidacy: relay_fake::millis(200),
        order: order_delay(),
        gap: relay_fake::millis(GAP_MS),
    };
    let start = clock::Instant::default();
    coordinator::Election::new(start, relay_fake::name(name), delays, is_first)
}

/// Guards against orders of two coordinators close together where engines do not check fencing tokens.
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

    // The store removes the entry when the lease expires, counted from the arrival of the call.
    let mut election = election("host-2", false);
    election.observe(sent, held("host-1", 7));
    election.observe(at(LEASE_MS), coordinator::Leadership::Vacant);
    let applied = (LEASE_MS..9_000).find(|millis| election.candidacy(at(*millis)).is_some());
    let applied = applied.expect("a candidacy");
    let candidacy = election.candidacy(at(applied)).expect("a candidacy");
    let mut second = coordinator::Term::new(lease);
    second.begin(at(applied), 8, at(applied) + candidacy.order_delay);
    let next = (0..9_000).find(|millis| {
        second.renew(at(*millis));
        second.may_order(at(*millis))
    });
    let (last, next) = (last.expect("an order"), next.expect("an order"));
    assert!(next - last >= GAP_MS, "{last} and {next}");
}

/// Guards against a delay before the first order when there was no earlier coordinator whose orders could be close.
#[test]
fn first_coordinator_of_all_orders_at_once() {
    let mut election = election("host-1", true);
    let now = clock::Instant::from_millis(10_000);
    election.observe(now, coordinator::Leadership::Vacant);
    assert_eq!(
        election.candidacy(now),
        None,
        "better suited hosts run first"
    );
    let candidacy = election.candidacy(now + relay_fake::millis(200));
    let candidacy = candidacy.expect("a candidacy");
    assert_eq!(candidacy.order_delay, relay_fake::millis(0));
    assert!(!candidacy.resumes);
}

/// Guards against a coordinator that waits, and discards its state, after its lease expired in an outage of the store
/// in which no other host could be elected.
#[test]
fn coordinator_whose_lease_ended_in_an_outage_resumes() {
    let mut election = election("host-1", false);
    let now = clock::Instant::from_millis(10_000);
    election.record_win();
    election.observe(now, held("host-1", 7));
    election.observe(now, coordinator::Leadership::Vacant);
    let candidacy = election.candidacy(now).expect("a candidacy");
    assert_eq!(candidacy.order_delay, relay_fake::millis(0));
    assert!(candidacy.resumes);
}

/// Guards against the use of state from before the term of another coordinator.
#[test]
fn coordinator_after_another_one_does_not_resume() {
    let mut election = election("host-1", false);
    let now = clock::Instant::from_millis(10_000);
    election.record_win();
    election.observe(now, held("host-1", 7));
    election.observe(now, held("host-2", 9));
    assert!(election.is_held_by_other());
    assert_eq!(election.candidacy(now), None);
    election.observe(now, coordinator::Leadership::Vacant);
    let later = now + relay_fake::millis(200);
    let candidacy = election.candidacy(later).expect("a candidacy");
    assert_eq!(candidacy.order_delay, order_delay());
    assert!(!candidacy.resumes);
}

/// Guards against the reelection of the host that resigned before others have run for election, and against a long
/// delay of the first order after a release.
#[test]
fn released_leadership_goes_to_another_host_soon() {
    let (mut old, mut new) = (election("host-1", false), election("host-2", false));
    let now = clock::Instant::from_millis(10_000);
    old.record_win();
    old.record_release(now);
    let released = coordinator::Leadership::Released { revision: 12 };
    old.observe(now, released.clone());
    new.observe(now, released);
    let later = now + relay_fake::millis(500);
    assert_eq!(old.candidacy(later), None);
    let candidacy = new.candidacy(later).expect("a candidacy");
    assert_eq!(candidacy.revision, 12);
    assert!(candidacy.order_delay < relay_fake::millis(500));
    assert!(old.candidacy(now + relay_fake::millis(3_500)).is_some());
}

/// Guards against a host that is elected by a write whose response was lost, and sends its first order without the delay
/// that it would have waited.
#[test]
fn delay_holds_for_an_election_without_a_response() {
    let mut election = election("host-1", false);
    let now = clock::Instant::from_millis(10_000);
    election.observe(now, coordinator::Leadership::Vacant);
    let at = |millis| now + relay_fake::millis(millis);
    let submitted = election.candidacy(at(200)).expect("a candidacy");
    election.record_candidacy(at(200), &submitted);
    election.observe(at(1_000), held("host-1", 7));
    let candidacy = election.candidacy(at(1_000)).expect("a candidacy");
    assert_eq!(
        at(1_000) + candidacy.order_delay,
        at(200) + submitted.order_delay
    );
}

/// Guards against a host that takes itself for the last coordinator because it has missed the whole term of another one.
#[test]
fn missed_term_of_another_host_is_noticed() {
    let mut election = election("host-1", false);
    let now = clock::Instant::from_millis(10_000);
    election.record_win();
    let mut holders = election.holders_to_record(now).expect("a record");
    holders.revision = revision::Revision::new(0, 8);
    election.record_written(holders.clone());
    election.observe(now, held("host-1", 7));
    election.record_loss(now);
    let mut later = holders.succeeded_by(relay_fake::name("host-2"));
    later.revision = revision::Revision::new(0, 9);
    election.observe_holders(&later);
    election.observe(now, coordinator::Leadership::Vacant);
    assert_eq!(election.candidacy(now), None);
    let candidacy = election.candidacy(now + relay_fake::millis(200));
    let candidacy = candidacy.expect("a candidacy");
    assert_eq!(candidacy.order_delay, relay_fake::millis(GAP_MS - 200));
    assert!(!candidacy.resumes);
}
