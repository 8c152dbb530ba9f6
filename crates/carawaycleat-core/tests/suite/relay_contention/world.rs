//! One host and its engines under a given load, with callers that disconnect and come back as those of the users do.

use std::collections;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::key;
use carawaycleat_core::relay;

use crate::relay_fake;
use crate::relay_fake::millis;
use crate::relay_fake::name;

/// The time from dispatch to the first event.
const FIRST_EVENT: time::Duration = time::Duration::from_millis(40);
/// The slots of an engine.
pub(super) const SLOTS: u64 = 4;
const STEP: time::Duration = time::Duration::from_millis(5);

/// A steady stream of requests of one workspace and route.
#[derive(Clone, Copy)]
pub(super) struct Load {
    pub(super) workspace: &'static str,
    pub(super) path: &'static str,
    pub(super) per_second: u64,
    /// The seconds in which it arrives.
    pub(super) from: u64,
    pub(super) until: u64,
}

/// What became of the requests of one load.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    pub(super) callers: u32,
    pub(super) in_time: u32,
    pub(super) late: u32,
    pub(super) refusals: u32,
    pub(super) returns: u32,
}

impl Tally {
    pub(super) fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.callers.max(1))
    }
}

struct Caller {
    load: usize,
    first_arrived: clock::Instant,
    arrived: clock::Instant,
    is_sent: bool,
}

pub(super) fn path_objective(path: &str) -> time::Duration {
    match path {
        "/live/1" => millis(250),
        _ => millis(10_000),
    }
}

fn path_timeout(path: &str) -> time::Duration {
    match path {
        "/live/1" => millis(5_000),
        _ => millis(60_000),
    }
}

pub(super) fn config(balancing: relay::Balancing) -> relay::Config {
    let mut live = relay_fake::route("/live/", relay::Kind::Streaming, "models");
    live.objective = path_objective("/live/1");
    live.timeout = path_timeout("/live/1");
    live.priority = 0;
    live.gap_objective = millis(100);
    let mut patient = relay_fake::route("/batch/", relay::Kind::Streaming, "models");
    patient.objective = path_objective("/batch/1");
    patient.timeout = path_timeout("/batch/1");
    patient.priority = 2;
    let service = relay::Service {
        max_connections: 320,
        engine: Some(relay_fake::engine(&["small"])),
        cold_start: None,
        balancing,
    };
    let workspace = |text: &str| relay::Workspace {
        name: name(text),
        keys: vec![key::Digest::of(text)],
        ..relay_fake::workspace(1_000_000)
    };
    let names = ["one", "two", "three", "four"];
    relay::Config::new(
        1,
        vec![live, patient],
        [(name("models"), service)].into_iter().collect(),
        names.map(workspace).to_vec(),
        None,
    )
    .with_balancing(balancing)
}

pub(super) fn request(workspace: &str, path: &str) -> relay::Request {
    relay::Request {
        credential: relay::Credential::Key(key::Digest::of(workspace)),
        model: Some(name("small")),
        timeout: None,
        ..relay_fake::request(path)
    }
}

/// Returns a host with `engines` engines that has served nothing yet.
pub(super) fn host(balancing: relay::Balancing, engines: usize) -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::unconfigured("host-1", relay::Options::default());
    harness.feed(relay::Event::Configured(Box::new(config(balancing))));
    harness.confirm();
    for index in 0..engines {
        let id = format!("engine-{index}");
        harness.register(relay_fake::registration(&id, "models", &["small"]));
    }
    harness
}

/// Plays loads at one engine that serves [`SLOTS`] requests at a time, each in `service`, until all callers are gone.
pub(super) fn play(
    balancing: relay::Balancing,
    service: time::Duration,
    loads: &[Load],
) -> Vec<Tally> {
    let mut harness = host(balancing, 1);
    let start = harness.now;
    let mut tallies = vec![Tally::default(); loads.len()];
    let mut arrivals = collections::BTreeSet::new();
    for (index, load) in loads.iter().enumerate() {
        for number in load.from * load.per_second..load.until * load.per_second {
            // Loads are out of phase with each other.
            let micros = (number * 1_000 + index as u64 * 137) * 1_000 / load.per_second;
            let at = start + time::Duration::from_micros(micros);
            arrivals.insert((at, index, at));
            tallies[index].callers += 1;
        }
    }
    let mut callers = collections::BTreeMap::<relay::Id, Caller>::new();
    let mut ends = collections::BTreeSet::new();
    let mut steps = 0_u64;
    while !(arrivals.is_empty() && callers.is_empty()) {
        harness.now = harness.now + STEP;
        let now = harness.now;
        while let Some((_, load, first_arrived)) = arrivals.first().filter(|next| next.0 <= now) {
            let (load, first_arrived) = (*load, *first_arrived);
            arrivals.pop_first();
            let (workspace, path) = (loads[load].workspace, loads[load].path);
            let mut request = request(workspace, path);
            request.request_id = format!("{load}-{}", first_arrived.as_micros());
            request.timeout = Some(path_timeout(path).saturating_sub(now.since(first_arrived)));
            let id = harness.arrive(request);
            let caller = Caller {
                load,
                first_arrived,
                arrived: now,
                is_sent: false,
            };
            callers.insert(id, caller);
        }
        while let Some((at, id)) = ends.first().filter(|next: &&(_, _)| next.0 <= now) {
            let (_, id): (clock::Instant, relay::Id) = (*at, *id);
            ends.pop_first();
            let attempt = harness.begin_stream(id);
            harness.feed(relay::Event::StreamProgress(id, attempt, Some(0)));
            harness.feed(relay::Event::StreamEnded(id, attempt));
        }
        steps += 1;
        if steps.is_multiple_of(5) {
            harness.confirm();
            harness.feed(relay::Event::Tick);
        }
        let ids: Vec<_> = callers.keys().copied().collect();
        for id in ids {
            let caller = callers.get_mut(&id).expect("a caller");
            let objective = path_objective(loads[caller.load].path);
            let tally = &mut tallies[caller.load];
            match harness.last_command(id) {
                Some(relay::Command::Send(_)) if !caller.is_sent => {
                    caller.is_sent = true;
                    ends.insert((now + service, id));
                    let waited = (now + FIRST_EVENT).since(caller.first_arrived);
                    match waited <= objective {
                        true => tally.in_time += 1,
                        false => tally.late += 1,
                    }
                    callers.remove(&id);
                }
                Some(relay::Command::Refuse(refusal)) => {
                    tally.refusals += 1;
                    let route_timeout = path_timeout(loads[caller.load].path);
                    let left = route_timeout.saturating_sub(now.since(caller.first_arrived));
                    let pause = refusal.retry_after.unwrap_or_default();
                    if pause <= left / 3 {
                        tally.returns += 1;
                        arrivals.insert((now + pause, caller.load, caller.first_arrived));
                    }
                    callers.remove(&id);
                }
                _ if now.since(caller.arrived) > (objective * 4).max(millis(2_000)) => {
                    harness.feed(relay::Event::CallerDisconnected(id));
                    callers.remove(&id);
                }
                _ => {}
            }
        }
    }
    tallies
}
