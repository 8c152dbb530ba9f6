use super::entry_fake as fake;

/// What is amiss while a response that has begun has no upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    /// The retry budget is used up.
    Budget,
    /// No upstream has a place, and the queue is full of new requests.
    Queue,
    /// No sidecar reports.
    Reports,
    /// Each upstream refuses the connection once.
    Refusals,
    /// Each upstream accepts no connection once.
    Connections,
    /// Each upstream has no place for some time.
    Places,
}

/// Guards against a response that has begun and is cut by what is decided for new requests.
#[yare::parameterized(
    budget = { Trouble::Budget },
    queue = { Trouble::Queue },
    reports = { Trouble::Reports },
    refusals = { Trouble::Refusals },
    connections = { Trouble::Connections },
    places = { Trouble::Places },
)]
fn begun_response_waits_for_an_upstream(trouble: Trouble) {
    let mut host = fake::Host::new(2, 1);
    let id = host.arrive(fake::MODELS, "POST");
    host.deliver(id, 0, true, 0..3);
    match trouble {
        Trouble::Budget => host.use_up_budget(),
        Trouble::Queue => {
            host.reporting = vec![(0, 1), (1, 1)];
            host.run(fake::REPORT_MS);
            for _ in 0..3 {
                host.arrive(fake::MODELS, "POST");
            }
        }
        Trouble::Reports => {
            host.reporting.clear();
            host.run(2_000);
        }
        _ => {}
    }
    host.deliver(id, 0, true, 3..4);
    host.fail(id, 0, fake::BROKEN);
    let rejection = match trouble {
        Trouble::Refusals => Some(fake::REFUSED),
        Trouble::Connections => Some(fake::UNCONNECTED),
        Trouble::Places => Some(fake::FULL),
        _ => None,
    };
    if let Some(rejection) = rejection {
        let rejections = if trouble == Trouble::Places { 5 } else { 2 };
        for _ in 0..rejections {
            let number = host.requests[&id].dispatched.len();
            host.fail(id, number - 1, rejection);
            host.run(1_500);
        }
    }
    assert_eq!(host.requests[&id].refused, None, "cut");
    host.reporting = vec![(0, 0), (1, 0)];
    host.run(15_000);
    let (_, _, position, _) = *host.requests[&id].dispatched.last().expect("an attempt");
    assert_eq!(
        position, 4,
        "not sent again: {:?}",
        host.requests[&id].refused
    );
    let last = host.requests[&id].dispatched.len() - 1;
    host.deliver(id, last, true, 4..fake::LENGTH);
    host.end(id, last);
    host.assert_served(id);
}

/// Guards against attempts that follow each other without a pause at upstreams that reject them.
#[test]
fn rejected_attempts_are_spaced() {
    let mut host = fake::Host::new(1, 64);
    let id = host.arrive(fake::MODELS, "POST");
    host.deliver(id, 0, true, 0..3);
    host.fail(id, 0, fake::BROKEN);
    for _ in 0..100 {
        let number = host.requests[&id].dispatched.len();
        host.run(fake::TICK_MS);
        if host.requests[&id].dispatched.len() > number {
            host.fail(id, number, fake::FULL);
        }
    }
    let seen = &host.requests[&id];
    assert_eq!(seen.refused, None, "cut");
    let times: Vec<_> = seen.dispatched.iter().map(|attempt| attempt.3).collect();
    let pauses = times.windows(2).map(|pair| pair[1] - pair[0]);
    let pauses: Vec<_> = pauses.collect();
    assert!(pauses.len() >= 4, "attempts at {times:?}");
    assert!(pauses.iter().all(|pause| *pause >= 500), "{pauses:?}");
}
