//! An entry host's real reducer, driven by the events of its callers and upstreams.

use std::collections;

use carawaycleat_core::admission;
use carawaycleat_core::entry;
use carawaycleat_core::outcome;
use carawaycleat_core::rate;
use carawaycleat_core::request;
use carawaycleat_core::resource;

use super::path_fake as fake;
use super::routing as support;

/// The interval between two ticks of the host, in milliseconds.
pub(crate) const TICK_MS: u64 = 50;
/// The interval between two reports of a sidecar, in milliseconds.
pub(crate) const REPORT_MS: u64 = 250;
/// Longer than each timeout for an attempt without progress, in milliseconds.
pub(crate) const SILENCE_MS: u64 = 2_500;
/// The time limit of a request, in milliseconds.
pub(crate) const LIMIT_MS: u64 = 30_000;
/// The number of tokens, or of bytes, of a response.
pub(crate) const LENGTH: u64 = 6;

/// A request in progress as its caller and its upstreams see it.
#[derive(Default)]
pub(crate) struct Seen {
    /// The attempts in their order: identifier, upstream, position and time.
    pub(crate) dispatched: Vec<(request::Id, usize, u64, u64)>,
    pub(crate) cancelled: Vec<request::Id>,
    pub(crate) refused: Option<(outcome::Reason, outcome::Outcome)>,
    pub(crate) finished: bool,
}

/// An entry host with its real reducer, and what happened to its requests.
pub(crate) struct Host {
    reducer: entry::Reducer,
    now: u64,
    store: fake::Store,
    sequence: u64,
    /// The upstreams whose sidecars report, with the capacity that they report.
    pub(crate) reporting: Vec<(usize, u32)>,
    pub(crate) requests: collections::BTreeMap<request::Id, Seen>,
}

pub(crate) const SERVICE: &str = "desk";
pub(crate) const MODELS: &str = "models";

impl Host {
    /// Returns a host with `upstreams` upstreams that serve the model `m` and a service.
    pub(crate) fn new(upstreams: usize, max_requests: usize) -> Self {
        let owner = rate::Owner {
            host: fake::host(0),
            address: ([127, 0, 0, 1], 9_000).into(),
            incarnation: 1,
        };
        let mut options = entry::Options::default();
        options.admission = admission::Limits {
            max_requests,
            ..options.admission
        };
        let mut host = Self {
            reducer: entry::Reducer::new(owner, support::name("a"), options),
            now: 1_000,
            store: fake::Store::default(),
            sequence: 0,
            reporting: (0..upstreams).map(|index| (index, 0)).collect(),
            requests: collections::BTreeMap::new(),
        };
        let model = resource::Model {
            version: support::name("v"),
            group: support::name("g"),
        };
        host.store
            .write(resource::Kind::Model, "m", resource::Resource::Model(model));
        for (route, target) in [
            (MODELS, resource::Target::Models),
            (SERVICE, resource::Target::Service),
        ] {
            let route_resource = resource::Route {
                prefix: format!("/{route}"),
                target,
                group: Some(support::name("g")),
                open: true,
                workspaces: Vec::new(),
                non_idempotent: vec!["PUT".to_owned()],
                cost_tokens: 1,
                timeout_ms: LIMIT_MS,
            };
            let value = resource::Resource::Route(route_resource);
            host.store.write(resource::Kind::Route, route, value);
        }
        for index in 0..upstreams {
            let upstream = resource::Upstream {
                group: support::name("g"),
                address: ([127, 0, 0, 1], 7_000 + index as u16).into(),
                side_address: Some(([127, 0, 0, 1], 8_000 + index as u16).into()),
                availability_zone: support::name("a"),
                memory_bytes: 1,
                fencing: resource::Fencing::Checked,
                leaving: false,
            };
            let value = resource::Resource::Upstream(upstream);
            let name = format!("u{index}");
            host.store.write(resource::Kind::Upstream, &name, value);
        }
        host.configure();
        host.run(2 * REPORT_MS);
        host
    }

    /// Passes the contents of the store to the host.
    pub(crate) fn configure(&mut self) {
        let (revision, pairs) = (self.store.revision, self.store.log.clone());
        self.step(entry::Event::Listing { revision, pairs });
    }

    /// Removes the route, the model and the upstreams from the configuration.
    pub(crate) fn remove_configuration(&mut self) {
        self.store.log.clear();
        self.store.revision += 1;
        self.configure();
    }

    pub(crate) fn step(&mut self, event: entry::Event) {
        for effect in self.reducer.step(support::at(self.now), event) {
            match effect {
                entry::Effect::Dispatch {
                    request,
                    attempt,
                    upstream,
                    position,
                    ..
                } => {
                    let index = upstream.as_str()[1..].parse().expect("a number");
                    let dispatched = (attempt, index, position, self.now);
                    self.seen(request).dispatched.push(dispatched);
                }
                entry::Effect::Cancel { attempt, .. } => {
                    let mut seen = self.requests.values_mut();
                    let owner = seen.find(|seen| {
                        let mut attempts = seen.dispatched.iter();
                        attempts.any(|dispatched| dispatched.0 == attempt)
                    });
                    owner
                        .expect("the attempt was dispatched")
                        .cancelled
                        .push(attempt);
                }
                entry::Effect::Refuse(id, refusal) => {
                    self.seen(id).refused = Some((refusal.reason, refusal.outcome));
                }
                entry::Effect::Finish { request, .. } => self.seen(request).finished = true,
                _ => {}
            }
        }
    }

    pub(crate) fn seen(&mut self, id: request::Id) -> &mut Seen {
        self.requests.entry(id).or_default()
    }

    /// Lets time pass, with ticks of the host and reports of the upstreams.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += TICK_MS;
            if self.now.is_multiple_of(REPORT_MS) {
                self.sequence += 1;
                for (index, capacity) in self.reporting.clone() {
                    let mut report = support::report(&format!("u{index}"), self.sequence);
                    report.capacity = capacity;
                    self.step(entry::Event::SidecarReported(Box::new(report)));
                }
            }
            self.step(entry::Event::Tick);
        }
    }

    pub(crate) fn arrive(&mut self, route: &str, method: &str) -> request::Id {
        let id = support::id((self.requests.len() as u128 + 1) * 256);
        self.requests.insert(id, Seen::default());
        let request = entry::Request {
            id,
            key_digest: None,
            route: support::name(route),
            method: method.to_owned(),
            model: (route == MODELS).then(|| support::name("m")),
            adapter: None,
            class: admission::Class::Short,
            prompt_tokens: 1,
            max_tokens: LENGTH,
            bytes: 1,
            prefixes: Vec::new(),
            idempotency_key: None,
            deadline: support::at(self.now + LIMIT_MS),
        };
        self.step(entry::Event::Arrived(Box::new(request)));
        id
    }

    /// Returns the attempt at a request with this number.
    pub(crate) fn attempt(&self, id: request::Id, number: usize) -> request::Id {
        self.requests[&id].dispatched[number].0
    }

    pub(crate) fn progress(&mut self, id: request::Id, number: usize, progress: entry::Progress) {
        let attempt = self.attempt(id, number);
        self.step(entry::Event::Attempt(attempt, progress));
    }

    /// Delivers the parts at `positions` from the attempt with this number: tokens of a model, or bytes of a service.
    pub(crate) fn deliver(
        &mut self,
        id: request::Id,
        number: usize,
        is_model: bool,
        positions: std::ops::Range<u64>,
    ) {
        let frame_attempt = self.attempt(id, number);
        if positions.start == 0 {
            self.progress(id, number, entry::Progress::Started);
            if !is_model {
                self.progress(id, number, entry::Progress::Head(Some(LENGTH)));
            }
        }
        for position in positions {
            let part = match is_model {
                true => entry::Progress::Token {
                    frame_attempt,
                    position,
                },
                false => entry::Progress::Bytes(1),
            };
            self.progress(id, number, part);
        }
    }

    pub(crate) fn end(&mut self, id: request::Id, number: usize) {
        let (frame_attempt, count) = (self.attempt(id, number), LENGTH);
        let ended = entry::Progress::Ended {
            frame_attempt,
            count,
        };
        self.progress(id, number, ended);
    }

    pub(crate) fn fail(&mut self, id: request::Id, number: usize, failure: Failure) {
        let (reason, outcome, sent) = failure;
        let failed = entry::Progress::Failed {
            outcome,
            reason,
            sent,
            message: String::new(),
        };
        self.progress(id, number, failed);
    }

    /// Uses up the retry budget with requests whose first attempt fails.
    pub(crate) fn use_up_budget(&mut self) {
        for _ in 0..40 {
            let id = self.arrive(SERVICE, "GET");
            self.fail(id, 0, FULL);
            self.step(entry::Event::CallerDisconnected(id));
        }
    }

    #[track_caller]
    pub(crate) fn assert_served(&self, id: request::Id) {
        let seen = &self.requests[&id];
        assert_eq!(seen.refused, None, "refused");
        assert!(seen.finished, "no complete response");
    }
}

pub(crate) type Failure = (outcome::Reason, outcome::Outcome, bool);

/// The upstream has no place for the request.
pub(crate) const FULL: Failure = (outcome::Reason::QueueFull, outcome::Outcome::NotRun, false);
/// No connection was accepted in time.
pub(crate) const UNCONNECTED: Failure = (
    outcome::Reason::UpstreamTimeout,
    outcome::Outcome::NotRun,
    false,
);
/// The connection was refused.
pub(crate) const REFUSED: Failure = (
    outcome::Reason::UpstreamFailed,
    outcome::Outcome::NotRun,
    false,
);
/// The connection was lost after the request was sent.
pub(crate) const BROKEN: Failure = (
    outcome::Reason::UpstreamFailed,
    outcome::Outcome::Unknown,
    true,
);
