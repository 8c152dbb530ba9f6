//! A harness for the reducer of an entry host; the tests act as its upstreams, store and coordinator.

use std::collections;
use std::net;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::key;
use carawaycleat_core::name;
use carawaycleat_core::quarantine;
use carawaycleat_core::relay;

pub(crate) const HOST: &str = "shop.example";
pub(crate) const KEY: &str = "key-one";

pub(crate) fn name(text: &str) -> name::Name {
    name::Name::parse(text).expect("a valid name")
}

pub(crate) fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

pub(crate) fn route(prefix: &str, kind: relay::Kind, service: &str) -> relay::Route {
    relay::Route {
        name: name("route"),
        host: HOST.into(),
        prefix: prefix.into(),
        kind,
        timeout: millis(4_000),
        objective: millis(500),
        gap_objective: millis(150),
        max_attempts: 2,
        priority: 1,
        targets: vec![relay::Target {
            service: name(service),
            weight: 1,
        }],
        public: false,
        resumable: true,
    }
}

pub(crate) fn model(weights_mb: f64) -> relay::Model {
    relay::Model {
        weights_mb,
        store_load_time: millis(5_000),
        memory_load_time: millis(600),
        disk_load_time: millis(1_200),
        adapter_mb: 60.0,
        adapters: Vec::new(),
    }
}

pub(crate) fn engine(models: &[&str]) -> relay::EngineSpec {
    relay::EngineSpec {
        models: models
            .iter()
            .map(|text| (name(text), model(72_000.0)))
            .collect(),
        slots: 4,
        kv_tokens: 100_000,
        weight_memory_mb: 200_000.0,
        adapter_slots: 2,
        loads_per_second: 1.4,
        balancing: relay::Balancing::Requests,
    }
}

pub(crate) fn workspace(rate: u64) -> relay::Workspace {
    relay::Workspace {
        name: name("designers"),
        priority: None,
        rate,
        burst: rate,
        default_cost: 100,
        keys: vec![key::Digest::of(KEY)],
    }
}

pub(crate) fn config(version: u64, rate: u64) -> relay::Config {
    let mut booking = route("/book/", relay::Kind::NonIdempotent, "plain");
    booking.max_attempts = 1;
    let mut batch = route("/batch/", relay::Kind::Streaming, "models");
    batch.resumable = false;
    batch.objective = millis(900);
    let routes = vec![
        route("/live/", relay::Kind::Streaming, "models"),
        batch,
        route("/read/", relay::Kind::Idempotent, "plain"),
        booking,
    ];
    let plain = relay::Service {
        max_connections: 100,
        engine: None,
        cold_start: None,
        balancing: relay::Balancing::Requests,
    };
    let models = relay::Service {
        max_connections: 100,
        engine: Some(engine(&["small", "large", "rare"])),
        cold_start: None,
        balancing: relay::Balancing::Requests,
    };
    let services = [(name("plain"), plain), (name("models"), models)];
    relay::Config::new(
        version,
        routes,
        services.into_iter().collect(),
        vec![workspace(rate)],
        None,
    )
}

pub(crate) fn registration(id: &str, service: &str, models: &[&str]) -> relay::Registration {
    relay::Registration {
        id: name(id),
        started: 1,
        service: name(service),
        version: None,
        address: ([10, 0, 0, 1], 8_000).into(),
        zone: name("zone-a"),
        slots: 4,
        state: relay::State::Ready,
        remaining: None,
        cold_remaining: None,
        models: models.iter().map(|text| (name(text), Vec::new())).collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

/// The fingerprint of a request that gets its own when it arrives.
const UNSET_FINGERPRINT: &str = "unset";

pub(crate) fn request(path: &str) -> relay::Request {
    relay::Request {
        request_id: "request".to_owned(),
        host: HOST.to_owned(),
        path: path.to_owned(),
        credential: relay::Credential::Key(key::Digest::of(KEY)),
        timeout: Some(millis(12_000)),
        model: path.starts_with("/live").then(|| name("small")),
        adapter: None,
        prompt: Vec::new(),
        fingerprint: name(UNSET_FINGERPRINT),
        tokens: Some((60, 40)),
        resumption: None,
        seed: 7,
    }
}

/// Returns the first view of a coordinator.
pub(crate) fn view(engines: Vec<relay::EngineView>) -> relay::View {
    relay::View {
        epoch: 1,
        report_number: 0,
        grants: Vec::new(),
        shares: Vec::new(),
        full: true,
        engines,
        suspects: Vec::new(),
        ready_in_ms: Vec::new(),
        permits: Vec::new(),
        leaving: Vec::new(),
        loads: Vec::new(),
        cold: relay::ColdPermits::default(),
        connections: Vec::new(),
        overuse: None,
        backlogs: None,
    }
}

/// Returns the request of a caller that goes on with the stream of the request `stream`.
pub(crate) fn take_up(stream: &str) -> relay::Request {
    relay::Request {
        request_id: "take-up".to_owned(),
        resumption: Some(relay::Resumption {
            stream: Some(stream.to_owned()),
        }),
        ..request("/live/1")
    }
}

/// An entry host with a simulated clock.
pub(crate) struct Harness {
    pub(crate) reducer: relay::Reducer,
    pub(crate) now: clock::Instant,
    next: relay::Id,
    /// The commands of each request, in order.
    pub(crate) commands: collections::HashMap<relay::Id, Vec<relay::Command>>,
    /// The events of log records, in order.
    pub(crate) records: Vec<&'static str>,
    /// Whether a report to the coordinator was requested.
    pub(crate) is_report_due: bool,
    /// The upstreams that are to be probed, in order.
    pub(crate) probes: Vec<name::Name>,
    /// The published crashes, in order.
    pub(crate) crashes: Vec<quarantine::Crash>,
    /// The records of streams that were written to the store, in order.
    pub(crate) stored_streams: Vec<relay::StreamRecord>,
    /// How often the records of streams were read from the store.
    pub(crate) stream_reads: usize,
    /// The software versions in service that were written to the store, in order.
    pub(crate) stored_versions: Vec<Vec<relay::Origin>>,
    /// The eras in which the host recorded that the versions are complete again.
    pub(crate) settlements: Vec<u64>,
    /// The summaries of requests that have ended.
    pub(crate) summaries: Vec<relay::Summary>,
    /// The limits on connections, by address.
    pub(crate) limits: collections::HashMap<net::SocketAddr, Option<u32>>,
}

impl Harness {
    /// Returns a host with a configuration and no upstreams.
    pub(crate) fn new() -> Self {
        Self::with_options(relay::Options::default())
    }

    pub(crate) fn with_options(options: relay::Options) -> Self {
        Self::of_host("host-1", options)
    }

    pub(crate) fn of_host(host: &str, options: relay::Options) -> Self {
        let mut harness = Self::unconfigured(host, options);
        harness.feed(relay::Event::Configured(Box::new(config(1, 1_000_000))));
        harness.confirm();
        harness
    }

    /// Returns a host that has read nothing from the store.
    pub(crate) fn unconfigured(host: &str, options: relay::Options) -> Self {
        Self::in_zone(host, "zone-a", options)
    }

    /// Returns a host in an availability zone that has read nothing from the store.
    pub(crate) fn in_zone(host: &str, zone: &str, options: relay::Options) -> Self {
        Self {
            reducer: relay::Reducer::new(name(host), name(zone), options),
            now: clock::Instant::from_millis(100_000),
            next: 0,
            commands: collections::HashMap::new(),
            records: Vec::new(),
            is_report_due: false,
            probes: Vec::new(),
            crashes: Vec::new(),
            stored_streams: Vec::new(),
            stream_reads: 0,
            stored_versions: Vec::new(),
            settlements: Vec::new(),
            summaries: Vec::new(),
            limits: collections::HashMap::new(),
        }
    }

    /// Confirms the configuration as of now.
    pub(crate) fn confirm(&mut self) {
        self.feed(relay::Event::ConfigConfirmed(self.now));
    }

    pub(crate) fn feed(&mut self, event: relay::Event) {
        for effect in self.reducer.step(self.now, event) {
            match effect {
                relay::Effect::Command(id, command) => {
                    self.commands.entry(id).or_default().push(command);
                }
                relay::Effect::Record(record) => self.records.push(record.event),
                relay::Effect::LimitConnections(address, limit) => {
                    self.limits.insert(address, limit);
                }
                relay::Effect::Measure(summary) => self.summaries.push(summary),
                relay::Effect::Probe(upstream, _) => self.probes.push(upstream),
                relay::Effect::Publish(crash) => self.crashes.push(crash),
                relay::Effect::Report => self.is_report_due = true,
                relay::Effect::StoreStreams(records) => self.stored_streams.extend(records),
                relay::Effect::ReadStreams => self.stream_reads += 1,
                relay::Effect::StoreVersions(origins) => self.stored_versions.push(origins),
                relay::Effect::StoreSettlement(era) => self.settlements.push(era),
            }
        }
    }

    pub(crate) fn register(&mut self, registration: relay::Registration) {
        self.feed(relay::Event::UpstreamUpdated(Box::new(registration)));
    }

    /// Advances the clock in steps of 25 ms, with the store reachable.
    pub(crate) fn advance(&mut self, span: time::Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + millis(25);
            self.confirm();
            self.feed(relay::Event::Tick);
            self.feed(relay::Event::LimitsDue);
        }
    }

    /// Lets a request arrive. Gives it a fingerprint of its own, unless it has one.
    pub(crate) fn arrive(&mut self, mut request: relay::Request) -> relay::Id {
        self.next += 1;
        if request.fingerprint == name(UNSET_FINGERPRINT) {
            request.fingerprint = name(&format!("fingerprint-{}", self.next));
        }
        self.feed(relay::Event::Arrived(self.next, Box::new(request)));
        self.next
    }

    /// Returns the last command of a request, other than those that end the earlier one of two attempts.
    pub(crate) fn last_command(&self, id: relay::Id) -> Option<&relay::Command> {
        let commands = self.commands.get(&id)?;
        let is_end = |command: &relay::Command| matches!(command, relay::Command::End(_));
        let last = commands.iter().rfind(|command| !is_end(command))?;
        let ended = commands.iter().rfind(|command| match (last, command) {
            (relay::Command::Send(dispatch), relay::Command::End(attempt)) => {
                dispatch.attempt == *attempt
            }
            _ => false,
        });
        Some(ended.unwrap_or(last))
    }

    /// Returns the last attempt of a request, which must be in progress.
    pub(crate) fn dispatch(&self, id: relay::Id) -> relay::Dispatch {
        match self.last_command(id) {
            Some(relay::Command::Send(dispatch)) => (**dispatch).clone(),
            other => panic!("not sent: {other:?}"),
        }
    }

    /// Returns the upstream of the last attempt of a request.
    pub(crate) fn upstream(&self, id: relay::Id) -> String {
        self.dispatch(id).upstream.as_str().to_owned()
    }

    /// Returns the upstream that a request was last sent to.
    pub(crate) fn upstream_of(&self, id: relay::Id) -> String {
        let commands = self.commands.get(&id).into_iter().flatten().rev();
        let upstream = commands.into_iter().find_map(|command| match command {
            relay::Command::Send(dispatch) => Some(dispatch.upstream.as_str().to_owned()),
            _ => None,
        });
        upstream.expect("sent")
    }

    pub(crate) fn is_sent(&self, id: relay::Id) -> bool {
        matches!(self.last_command(id), Some(relay::Command::Send(_)))
    }

    /// Returns the refusal that a request ended with.
    pub(crate) fn refusal(&self, id: relay::Id) -> relay::Refusal {
        match self.last_command(id) {
            Some(relay::Command::Refuse(refusal)) => *refusal,
            other => panic!("not refused: {other:?}"),
        }
    }

    /// Responds to the last attempt of a request.
    pub(crate) fn respond(&mut self, id: relay::Id, status: u16, not_run: bool) {
        let attempt = self.dispatch(id).attempt;
        let response = relay::Response {
            status,
            not_run,
            is_stream: false,
            request_limit: None,
            pause: None,
        };
        self.feed(relay::Event::Responded(id, attempt, response));
    }

    /// Begins the stream of the last attempt of a request.
    pub(crate) fn begin_stream(&mut self, id: relay::Id) -> u32 {
        let attempt = self.dispatch(id).attempt;
        let response = relay::Response {
            status: 200,
            not_run: false,
            is_stream: true,
            request_limit: None,
            pause: None,
        };
        self.feed(relay::Event::Responded(id, attempt, response));
        attempt
    }

    /// Lets an attempt of a request fail.
    pub(crate) fn fail_attempt(&mut self, request: relay::Id, attempt: u32, sent: bool) {
        self.feed(relay::Event::AttemptFailed {
            request,
            attempt,
            failure: match sent {
                true => relay::Failure::BrokenOff,
                false => relay::Failure::Refused,
            },
        });
    }
}
