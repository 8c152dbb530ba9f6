//! Loads under which requests contend for engines, where the load is measured by work.

mod world;

use std::collections;

use carawaycleat_core::coordinator::Event;
use carawaycleat_core::relay;

use crate::coordinator;
use crate::relay_fake;
use crate::relay_fake::millis;
use crate::relay_fake::name;

const WORK: relay::Balancing = relay::Balancing::Work;

const fn load(workspace: &'static str, path: &'static str, per_second: u64) -> world::Load {
    world::Load {
        workspace,
        path,
        per_second,
        from: 0,
        until: 16,
    }
}

/// Load: an engine of 40 requests per second with 28 urgent ones per second, and 30 patient ones per second for three
/// seconds. Guards against urgent requests that wait behind patient ones, and against patient ones that are starved or refused.
#[test]
fn patient_requests_yield_and_are_in_time() {
    let mut patient = load("two", "/batch/1", 30);
    (patient.from, patient.until) = (2, 5);
    let loads = [load("one", "/live/1", 28), patient];
    let tallies = world::play(WORK, millis(100), &loads);
    let [urgent, patient] = tallies[..] else {
        panic!("two loads");
    };
    let in_time = f64::from(urgent.in_time) / f64::from(urgent.callers);
    assert!(in_time > 0.99, "{urgent:?}");
    assert_eq!(patient.in_time, patient.callers, "{patient:?}");
    assert_eq!(patient.refusals, 0, "{patient:?}");
}

/// Load: an engine that urgent requests fill, and patient ones. Guards against patient requests that are starved.
#[test]
fn patient_requests_are_not_starved_by_urgent_ones() {
    let loads = [load("one", "/live/1", 48), load("two", "/batch/1", 4)];
    let tallies = world::play(WORK, millis(100), &loads);
    assert!(tallies[1].served() > 0.99, "{tallies:?}");
    assert!(
        tallies[1].in_time * 20 >= tallies[1].callers * 19,
        "{tallies:?}"
    );
}

/// Load: four workspaces that use 70% of an engine, one of which sends ten times its usual requests for eight seconds. Guards
/// against a workspace whose surge takes the share of the others.
#[test]
fn workspace_at_ten_times_its_usual_pays_itself() {
    let others = ["one", "two", "three"].map(|workspace| load(workspace, "/live/1", 7));
    let usual = load("four", "/live/1", 7);
    let mut surge = load("four", "/live/1", 63);
    (surge.from, surge.until) = (7, 15);
    let [one, two, three] = others;
    let share = |balancing, loads: &[world::Load]| {
        let tallies = world::play(balancing, millis(100), loads);
        let shares = tallies[..3].iter().map(world::Tally::served);
        (shares.sum::<f64>() / 3.0, tallies)
    };
    let (without, _) = share(WORK, &[one, two, three, usual]);
    let (with, tallies) = share(WORK, &[one, two, three, usual, surge]);
    assert!(
        with >= without - 0.02,
        "{with} after {without}: {tallies:?}"
    );
    let (unfair, _) = share(relay::Balancing::Requests, &[one, two, three, usual, surge]);
    assert!(unfair < without - 0.02, "the load is harmless: {unfair}");
}

/// Load: one and a half times what an engine serves, for five seconds, with callers that return after refusals. Guards against
/// refusals after which callers find the same queue again until they give up.
#[test]
fn refused_callers_return_and_are_served() {
    let loads = ["one", "two", "three", "four"].map(|workspace| {
        let mut surge = load(workspace, "/live/1", 11);
        (surge.from, surge.until) = (4, 9);
        [load(workspace, "/live/1", 4), surge]
    });
    let loads = loads.concat();
    let play = |balancing| {
        let tallies = world::play(balancing, millis(100), &loads);
        let callers: u32 = tallies.iter().map(|tally| tally.callers).sum();
        let served: u32 = tallies.iter().map(|tally| tally.in_time + tally.late).sum();
        (callers, served, tallies)
    };
    let (callers, served, tallies) = play(WORK);
    assert!(served * 100 >= callers * 98, "{tallies:?}");
}

/// Returns the requests that fill the slots of a host's engines.
fn fill(harness: &mut relay_fake::Harness, engines: u64) -> Vec<relay::Id> {
    let requests = (0..engines * world::SLOTS).map(|_| {
        let id = harness.arrive(world::request("one", "/live/1"));
        assert!(harness.is_sent(id));
        id
    });
    requests.collect()
}

fn finish(harness: &mut relay_fake::Harness, id: relay::Id) {
    let attempt = harness.begin_stream(id);
    harness.feed(relay::Event::StreamProgress(id, attempt, Some(0)));
    harness.feed(relay::Event::StreamEnded(id, attempt));
}

/// Load: a sudden burst at a host that has just started. Guards against refusals while slots are free, and while the burst can
/// be served in time.
#[test]
fn burst_at_free_slots_is_not_refused() {
    let mut harness = world::host(WORK, 10);
    fill(&mut harness, 10);
    for _ in 0..80 {
        let id = harness.arrive(world::request("one", "/live/1"));
        assert!(harness.last_command(id).is_none(), "{id} was refused");
    }
}

/// Load: a queue that grows without bound. Guards against callers that wait although it is known that they cannot be
/// served, that all return at one moment, or that return too late for an attempt.
#[test]
fn hopeless_requests_are_refused_at_once_and_return_spread() {
    let mut harness = world::host(WORK, 1);
    fill(&mut harness, 1);
    let mut pauses = collections::BTreeSet::new();
    for index in 0..100 {
        let mut request = world::request("one", "/live/1");
        request.request_id = format!("request-{index}");
        request.timeout = Some(millis(4_950));
        let id = harness.arrive(request);
        if let Some(relay::Command::Refuse(refusal)) = harness.last_command(id) {
            assert_eq!(refusal.status(), 503);
            let pause = refusal.retry_after.expect("a time");
            assert!(pause >= millis(300) && pause <= millis(1_650), "{pause:?}");
            pauses.insert(pause);
        }
    }
    let (_, waiting) = harness.reducer.counts();
    assert!(waiting < 30, "{waiting} wait");
    assert!(pauses.len() > 60, "{} different times", pauses.len());
    let range = *pauses.last().expect("a refusal") - *pauses.first().expect("a refusal");
    assert!(range >= millis(500), "{range:?}");
}

/// Load: requests at one of 27 hosts for an engine that others use. Guards against refusals by an equal share of the engine
/// when no other host has requests that wait for it, and against a long queue when all have. An engine of four slots
/// and 0.5 s for each request serves 16 before a caller disconnects.
#[yare::parameterized(
    alone = { Some(0), 8, 17 },
    all_wait = { Some(100), 0, 4 },
    unknown = { None, 0, 4 },
)]
fn queue_depends_on_the_requests_of_other_hosts(competing: Option<u32>, min: usize, max: usize) {
    let mut harness = world::host(WORK, 1);
    harness.feed(relay::Event::HostsChanged(27));
    let engine = relay::EngineView {
        upstream: name("engine-0"),
        models: vec![name("small")],
        loading: Vec::new(),
        unloading: Vec::new(),
        adapters: Vec::new(),
        other_requests: 4,
        usable_slots: 0,
        other_prompt_ms: 0,
        other_work_ms: 0,
    };
    let backlog = |waiting| relay::Backlog {
        service: name("models"),
        model: name("small"),
        waiting,
    };
    let view = relay::View {
        backlogs: competing.map(|waiting| vec![backlog(waiting)]),
        ..relay_fake::view(vec![engine])
    };
    harness.feed(relay::Event::ViewReceived(Box::new(view)));
    for _ in 0..30 {
        harness.arrive(world::request("one", "/live/1"));
        harness.feed(relay::Event::Tick);
    }
    let (_, waiting) = harness.reducer.counts();
    assert!((min..=max).contains(&waiting), "{waiting} wait");
}

/// Load: a full engine with a queue, and a caller who comes back after a refusal elsewhere. Guards against newer requests that
/// are served first.
#[test]
fn caller_who_comes_back_precedes_newer_requests() {
    let mut harness = world::host(WORK, 1);
    let running = fill(&mut harness, 1);
    let mut back = world::request("one", "/live/1");
    back.timeout = Some(millis(3_500));
    let before = harness.arrive(world::request("one", "/live/1"));
    harness.advance(millis(50));
    let back = harness.arrive(back);
    let newer = harness.arrive(world::request("one", "/live/1"));
    // The newer ones would be in time, the one that came back would not.
    harness.advance(millis(200));
    let fresh = harness.arrive(world::request("one", "/live/1"));
    finish(&mut harness, running[0]);
    assert!(harness.is_sent(back));
    finish(&mut harness, running[1]);
    assert!(harness.is_sent(newer) || harness.is_sent(fresh));
    assert!(!harness.is_sent(before), "it is late");
}

/// Load: patient requests that fill an engine which urgent ones use. Guards against urgent requests that find no slot, and
/// against slots that stay free when no urgent request comes any more.
#[test]
fn patient_requests_leave_a_slot_to_urgent_ones() {
    let mut harness = world::host(WORK, 1);
    let first = harness.arrive(world::request("one", "/live/1"));
    let patient: Vec<_> = (0..4)
        .map(|_| harness.arrive(world::request("two", "/batch/1")))
        .collect();
    let sent = |harness: &relay_fake::Harness| {
        let sent = patient.iter().filter(|id| harness.is_sent(**id));
        sent.count()
    };
    assert_eq!(sent(&harness), 2);
    let urgent = harness.arrive(world::request("one", "/live/1"));
    assert!(harness.is_sent(urgent));
    finish(&mut harness, first);
    finish(&mut harness, urgent);
    assert_eq!(sent(&harness), 3);
    harness.advance(millis(550));
    let attempt = harness.begin_stream(patient[0]);
    harness.feed(relay::Event::StreamProgress(patient[0], attempt, Some(0)));
    harness.advance(millis(550));
    assert!(harness.is_sent(patient[3]));
}

/// Failure: a host that starts during a surge, with and without a view. Guards against a host that knows no usual use and
/// serves the surge first, and against one that takes its own first requests for a surge.
#[yare::parameterized(
    with_view = { Some(Some(vec![("two", 4.0)])), true },
    view_of_new_coordinator = { Some(None), false },
    without_view = { None, false },
)]
fn host_that_starts_in_a_surge(
    overuse: Option<Option<Vec<(&'static str, f64)>>>,
    is_delayed: bool,
) {
    let mut harness = world::host(WORK, 1);
    if let Some(overuse) = overuse {
        let overuse = overuse.map(|overuse| {
            let named = overuse.into_iter();
            named
                .map(|(workspace, ratio)| (name(workspace), ratio))
                .collect()
        });
        let view = relay::View {
            overuse,
            ..relay_fake::view(Vec::new())
        };
        harness.feed(relay::Event::ViewReceived(Box::new(view)));
    }
    let running = fill(&mut harness, 1);
    harness.advance(millis(100));
    let surge: Vec<_> = (0..8)
        .map(|_| harness.arrive(world::request("two", "/live/1")))
        .collect();
    let other = harness.arrive(world::request("one", "/live/1"));
    finish(&mut harness, running[0]);
    assert_eq!(harness.is_sent(other), is_delayed);
    assert_eq!(harness.is_sent(surge[0]), !is_delayed);
    assert_eq!(
        harness.reducer.delayed_workspaces(),
        usize::from(is_delayed)
    );
}

/// Load: a surge of one workspace over all hosts. Guards against hosts that do not learn of it, and against a coordinator that
/// takes usual use for a surge when its term has just begun.
#[test]
fn coordinator_tells_of_overuse() {
    let mut fleet = coordinator::Harness::new(&["small"]);
    fleet.configure(relay::EngineSpec {
        balancing: WORK,
        ..relay_fake::engine(&["small"])
    });
    let mut overuse = |number: u64, surge: u64| {
        fleet.advance(250);
        let demand = relay::Demand {
            service: name("models"),
            model: name("small"),
            adapter: None,
            tokens: 0,
            waiting: 0,
            traffic: relay::Traffic::default(),
        };
        let report = relay::Report {
            usage: vec![(name("one"), 1_000), (name("two"), 1_000 * surge)],
            ..coordinator::report("host-1", number, demand)
        };
        fleet.feed(Event::Reported(Box::new(report)));
        fleet.reducer.respond(fleet.now, &name("host-1")).overuse
    };
    for number in 1..16 {
        assert!(overuse(number, 1).is_none());
    }
    for number in 16..40 {
        let known = overuse(number, 1);
        assert!(known.is_none_or(|known| known.is_empty()));
    }
    let known = (40..48).map(|number| overuse(number, 10)).last().flatten();
    let known = known.expect("use is known");
    assert!(known[0].0 == name("two") && known[0].1 > 1.2, "{known:?}");
    assert_eq!(known.len(), 1);
}

/// Load: requests of two hosts that wait for models which share an engine. Guards against hosts that take the slots for their
/// own because others wait for another model, and against an engine that counts requests which others can serve.
#[test]
fn coordinator_counts_competing_requests() {
    let models = ["small", "large", "rare"];
    let mut fleet = coordinator::Harness::new(&models);
    fleet.configure(relay::EngineSpec {
        balancing: WORK,
        ..relay_fake::engine(&models)
    });
    fleet.add_engine("one", &["small", "large"]);
    fleet.add_engine("two", &["large", "rare"]);
    fleet.report_from("host-1", 1, "small", 3, ("one", 1));
    fleet.report_from("host-2", 1, "large", 8, ("one", 1));
    let view = fleet.reducer.respond(fleet.now, &name("host-1"));
    let backlogs = view.backlogs.expect("counted").into_iter();
    let waiting = backlogs.map(|backlog| (backlog.model.as_str().to_owned(), backlog.waiting));
    let expected = [("large".to_owned(), 11), ("small".to_owned(), 7)];
    assert_eq!(waiting.collect::<Vec<_>>(), expected);
}
