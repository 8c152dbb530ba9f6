//! A store, engines, a service, their sidecars and entry hosts, each a process of its own.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process as std_process;
use std::sync::atomic;
use std::thread;
use std::time;

use carawaycleat_core::key;
use carawaycleat_standin::engine;
use carawaycleat_standin::service;
use serde_json::json;

use crate::caller;
use crate::process;
use crate::turn;

const STANDIN: &str = env!("CARGO_BIN_EXE_carawaycleat-standin");
const ENTRY: &str = env!("CARGO_BIN_EXE_standin-entry");
const SIDE: &str = env!("CARGO_BIN_EXE_standin-side");

/// The time between two looks at whether something has come true.
const LOOK: time::Duration = time::Duration::from_millis(20);

const GIGABYTE: u64 = 1_000_000_000;
const MODEL_BYTES: u64 = 16 * GIGABYTE;

/// The requests at the same time that make a second replica worth its load, and their tokens.
const WARM_REQUESTS: usize = 24;
const WARM_TOKENS: u32 = 40;

/// The entry hosts; three is the smallest number that tolerates the loss of one during a store outage.
pub(crate) const ENTRIES: usize = 3;

/// The engines.
pub(crate) const ENGINES: usize = 2;

/// What differs between tests.
pub(crate) struct Plan {
    /// The models.
    pub(crate) models: usize,
    /// The memory of each engine, in bytes.
    pub(crate) memory_bytes: u64,
    /// Whether each engine holds the first model; else the placement decides.
    pub(crate) replicated: bool,
    /// The time of a token, in microseconds.
    pub(crate) token_us: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            models: 1,
            memory_bytes: 80 * GIGABYTE,
            replicated: false,
            token_us: 10_000,
        }
    }
}

impl Plan {
    /// Returns a plan in which the model is on each engine, so that a stream can be resumed.
    pub(crate) fn replicated() -> Self {
        Self {
            replicated: true,
            ..Self::default()
        }
    }

    /// Returns a plan in which each engine has room for one of two models.
    pub(crate) fn model_per_engine() -> Self {
        Self {
            models: 2,
            memory_bytes: MODEL_BYTES + GIGABYTE,
            token_us: 2_000,
            ..Self::default()
        }
    }
}

/// An entry host.
pub(crate) struct Entry {
    pub(crate) process: process::Process,
    pub(crate) callers: net::SocketAddr,
    pub(crate) operators: net::SocketAddr,
    peers: net::SocketAddr,
}

/// A stand-in or a sidecar.
pub(crate) struct Host {
    pub(crate) process: process::Process,
    pub(crate) address: net::SocketAddr,
}

/// All processes of a test. The sidecar of the service comes after those of the engines.
pub(crate) struct World {
    pub(crate) entries: Vec<Entry>,
    pub(crate) sides: Vec<Host>,
    pub(crate) engines: Vec<Host>,
    pub(crate) service: Host,
    pub(crate) store: Host,
    plan: Plan,
    directory: Directory,
    _turn: turn::Turn,
}

/// A temporary folder that is removed with the value.
struct Directory(path::PathBuf);

impl Directory {
    fn create() -> Self {
        static NUMBER: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("processes-{}-{number}", std_process::id());
        let path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&path).expect("the folder of cargo for tests can be written to");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, text).expect("the folder can be written to");
        path.to_str().expect("the path is text").to_owned()
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn standin(name: &str, arguments: &[String]) -> Host {
    let process = process::Process::start(name, STANDIN, arguments);
    let address = process.wait_for_line(|line| line.strip_prefix("listening on ")?.parse().ok());
    Host { process, address }
}

fn after(line: &str, label: &str) -> Option<net::SocketAddr> {
    let rest = line.split_once(label)?.1;
    rest.split([',', ' ']).next()?.parse().ok()
}

fn list(addresses: impl Iterator<Item = net::SocketAddr>) -> String {
    let quoted: Vec<_> = addresses.map(|a| format!("\"{a}\"")).collect();
    format!("[{}]", quoted.join(", "))
}

impl World {
    /// Starts all processes, writes the resources, and waits until each model answers through each entry host, and from
    /// each engine if the plan says so.
    pub(crate) fn start(plan: Plan) -> Self {
        let turn = turn::Turn::take();
        let directory = Directory::create();
        let store = standin("store", &["store".to_owned()]);
        let arguments = [
            "engine".to_owned(),
            format!("--memory-bytes={}", plan.memory_bytes),
            format!("--step-base-us={}", plan.token_us),
            "--step-per-request-us=0".to_owned(),
        ];
        let engines = (1..=ENGINES).map(|n| standin(&format!("engine-{n}"), &arguments));
        let mut world = Self {
            engines: engines.collect(),
            service: standin("service", &["service".to_owned()]),
            entries: Vec::new(),
            sides: Vec::new(),
            store,
            plan,
            directory,
            _turn: turn,
        };
        for number in 0..ENTRIES {
            let entry = world.start_entry(number);
            world.entries.push(entry);
        }
        for number in 0..=ENGINES {
            let side = world.start_side(number);
            world.sides.push(side);
        }
        wait_until("each entry host is ready", || {
            world.entries.iter().all(Entry::is_ready)
        });
        world.write_resources();
        for number in 0..ENTRIES {
            for model in 0..world.plan.models {
                wait_until("each model answers", || {
                    let outcome = world.chat(model, "warm", 2).stream(world.callers(number));
                    outcome.end == caller::End::Done
                });
            }
        }
        if world.plan.replicated {
            world.wait_for_replicas();
        }
        world
    }

    /// Sends requests through all entry hosts until each engine has answered.
    ///
    /// The placement adds a replica when the demand that its decider knows is worth it.
    fn wait_for_replicas(&self) {
        let before = self.execution_counts();
        wait_until("each engine answers", || {
            self.send_load(0..ENTRIES);
            let now = self.execution_counts();
            now.iter().zip(&before).all(|(now, before)| now > before)
        });
    }

    /// Returns the number of requests that each engine has accepted.
    pub(crate) fn execution_counts(&self) -> Vec<usize> {
        let engines = 0..ENGINES;
        engines.map(|n| self.records(n).executions.len()).collect()
    }

    /// Sends requests at the same time through entry hosts, and waits for their answers.
    pub(crate) fn send_load(&self, entries: impl Iterator<Item = usize>) {
        thread::scope(|scope| {
            for entry in entries {
                for warm in 0..WARM_REQUESTS {
                    let request = self.chat(0, &format!("warm {warm}"), WARM_TOKENS);
                    scope.spawn(move || request.stream(self.callers(entry)));
                }
            }
        });
    }

    fn start_entry(&self, number: usize) -> Entry {
        let name = format!("entry-{}", number + 1);
        let settings = format!(
            "host = \"{name}\"\navailability_zone = \"zone-{zone}\"\npeers = {peers}\n\
             [listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             [store]\nendpoints = [\"{store}\"]\n\
             [placement]\nloads_per_second = 1000.0\nloads_in_flight = 100\n\
             [shutdown]\ndrain_delay_ms = 500\ndrain_limit_ms = 30000\n",
            zone = number + 1,
            peers = list(self.entries.iter().map(|entry| entry.peers)),
            store = self.store.address,
        );
        let file = self.directory.write(&format!("{name}.toml"), &settings);
        let process = process::Process::start(&name, ENTRY, &["--settings".to_owned(), file]);
        let (callers, operators, peers) = process.wait_for_line(|line| {
            Some((
                after(line, "listening for callers on ")?,
                after(line, "operators on ")?,
                after(line, "peers on ")?,
            ))
        });
        Entry {
            process,
            callers,
            operators,
            peers,
        }
    }

    fn start_side(&self, number: usize) -> Host {
        let (name, kind) = match self.engines.get(number) {
            Some(_) => (format!("engine-{}", number + 1), "engine"),
            None => ("service-1".to_owned(), "service"),
        };
        let upstream = self.engines.get(number).unwrap_or(&self.service).address;
        let is_engine = kind == "engine";
        let memory_bytes = if is_engine { self.plan.memory_bytes } else { 0 };
        let fencing = if is_engine { "checked" } else { "ignored" };
        let settings = format!(
            "host = \"{name}\"\nupstream = \"{name}\"\navailability_zone = \"zone-{zone}\"\nentries = {entries}\n\
             report_ms = 100\norder_settle_ms = 200\n[listen]\nwork = \"127.0.0.1:0\"\n\
             [engine]\naddress = \"{upstream}\"\nkind = \"{kind}\"\nmemory_bytes = {memory_bytes}\n\
             fencing = \"{fencing}\"\n[shutdown]\ndrain_delay_ms = 500\ndrain_limit_ms = 30000\n",
            zone = number + 1,
            entries = list(self.entries.iter().map(|entry| entry.peers)),
        );
        let file = self
            .directory
            .write(&format!("side-{}.toml", number + 1), &settings);
        let title = format!("side-{}", number + 1);
        let process = process::Process::start(&title, SIDE, &["--settings".to_owned(), file]);
        let address = process.wait_for_line(|line| after(line, "listening for work on "));
        Host { process, address }
    }

    fn write_resources(&self) {
        for workspace in 1..=2 {
            let title = format!("workspace-{workspace}");
            let digest = key::Digest::of(secret(workspace - 1)).to_hex();
            self.apply("workspace", &title, &json!({"weight": 1}));
            self.apply(
                "key",
                &format!("key-{workspace}"),
                &json!({"workspace": title, "digest": digest}),
            );
            let rate =
                json!({"workspace": title, "tokens_per_second": 100_000, "burst_tokens": 400_000});
            self.apply("rate", &title, &rate);
        }
        for model in 0..self.plan.models {
            let (title, version) = (model_name(model), format!("{}@1", model_name(model)));
            let bytes = json!({"model": title, "bytes": MODEL_BYTES});
            self.apply("version", &version, &bytes);
            self.apply(
                "model",
                &title,
                &json!({"version": version, "group": "engines"}),
            );
        }
        for number in 0..=ENGINES {
            let (name, resource) = self.upstream(number, false);
            self.apply("upstream", &name, &resource);
        }
        // Shorter than the caller's patience, so that a request that can't be served ends with an error.
        let models = json!({"prefix": "/v1", "target": "models", "timeout_ms": 12_000});
        self.apply("route", "models", &models);
        let jobs = json!({"prefix": "/jobs", "target": "service", "group": "services",
            "non_idempotent": ["POST"], "cost_tokens": 1, "timeout_ms": 20_000});
        self.apply("route", "jobs", &jobs);
        let catalogue = json!({"prefix": "/catalogue", "target": "service", "group": "services",
            "open": true, "cost_tokens": 1, "timeout_ms": 20_000});
        self.apply("route", "catalogue", &catalogue);
    }

    /// Returns the name and the resource of an upstream.
    pub(crate) fn upstream(&self, number: usize, leaving: bool) -> (String, serde_json::Value) {
        let is_engine = number < ENGINES;
        let name = if is_engine {
            format!("engine-{}", number + 1)
        } else {
            "service-1".to_owned()
        };
        let host = self.engines.get(number).unwrap_or(&self.service);
        let resource = json!({
            "group": if is_engine { "engines" } else { "services" },
            "address": host.address.to_string(),
            "side_address": self.sides[number].address.to_string(),
            "availability_zone": format!("zone-{}", number + 1),
            "memory_bytes": if is_engine { self.plan.memory_bytes } else { 0 },
            "fencing": if is_engine { "checked" } else { "ignored" },
            "leaving": leaving,
        });
        (name, resource)
    }

    /// Writes a resource through the first entry host.
    #[track_caller]
    pub(crate) fn apply(&self, kind: &str, name: &str, resource: &serde_json::Value) {
        let request = put(kind, name, resource);
        let answer = request.send(self.entries[0].operators).expect("an answer");
        let body = String::from_utf8_lossy(&answer.body);
        assert!(
            matches!(answer.status, 200..=202),
            "{kind} {name}: {} {body}",
            answer.status
        );
    }

    /// Returns the callers' address of an entry host.
    pub(crate) fn callers(&self, entry: usize) -> net::SocketAddr {
        self.entries[entry].callers
    }

    /// Returns a streamed chat of the first workspace.
    pub(crate) fn chat(&self, model: usize, prompt: &str, max_tokens: u32) -> caller::Request {
        chat(0, model, prompt, max_tokens, true)
    }

    /// Returns the executions of the service.
    pub(crate) fn executions(&self) -> Vec<service::Execution> {
        let answer = caller::Request::new("GET", "/standin/executions").send(self.service.address);
        serde_json::from_slice(&answer.expect("the service answers").body).expect("executions")
    }

    /// Returns what an engine recorded.
    pub(crate) fn records(&self, engine: usize) -> engine::Records {
        let answer =
            caller::Request::new("GET", "/standin/records").send(self.engines[engine].address);
        serde_json::from_slice(&answer.expect("the engine answers").body).expect("records")
    }

    /// Waits until an engine runs `count` requests together with the others, and returns the one that runs most.
    pub(crate) fn busiest_engine(&self) -> usize {
        let mut found = 0;
        wait_until("an engine runs requests", || {
            let running = |engine: &Host| {
                let answer = caller::Request::new("GET", "/engine/state").send(engine.address);
                answer.map_or(0, |answer| answer.json()["running"].as_u64().unwrap_or(0))
            };
            let counts: Vec<_> = self.engines.iter().map(running).collect();
            let best = (0..counts.len()).max_by_key(|n| counts[*n]);
            found = best.unwrap_or(0);
            counts[found] > 0
        });
        found
    }
}

impl Entry {
    /// Returns whether a load balancer may send requests.
    pub(crate) fn is_ready(&self) -> bool {
        let answer = caller::Request::new("GET", "/readyz").send(self.operators);
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

/// Returns the key of a workspace.
pub(crate) fn secret(workspace: usize) -> &'static str {
    ["secret-of-workspace-1", "secret-of-workspace-2"][workspace]
}

fn model_name(model: usize) -> String {
    format!("model-{}", model + 1)
}

/// Returns a chat request.
pub(crate) fn chat(
    workspace: usize,
    model: usize,
    prompt: &str,
    max_tokens: u32,
    stream: bool,
) -> caller::Request {
    let body = json!({
        "model": model_name(model), "max_tokens": max_tokens, "stream": stream,
        "messages": [{"role": "user", "content": prompt}],
    });
    caller::Request::new("POST", "/v1/chat/completions")
        .header("authorization", format!("Bearer {}", secret(workspace)))
        .json(&body)
}

/// Returns a booking of the first workspace.
pub(crate) fn book(idempotency_key: &str) -> caller::Request {
    caller::Request::new("POST", "/jobs/book")
        .header("authorization", format!("Bearer {}", secret(0)))
        .header("idempotency-key", idempotency_key)
        .body(format!("{{\"for\":\"{idempotency_key}\"}}"))
}

/// Returns the write of a resource.
pub(crate) fn put(kind: &str, name: &str, resource: &serde_json::Value) -> caller::Request {
    caller::Request::new("PUT", format!("/v1/resources/{kind}/{name}")).json(resource)
}

/// Returns the text that an engine generates for a chat.
pub(crate) fn expected(model: usize, prompt: &str, max_tokens: u32) -> String {
    let prompt = engine::chat_prompt([prompt]);
    engine::expected(&model_name(model), None, &prompt, max_tokens).concat()
}

/// Switches the faults of a stand-in.
pub(crate) fn fault(host: &Host, faults: &serde_json::Value) {
    let request = caller::Request::new("POST", "/standin/faults").json(faults);
    let answer = request.send(host.address).expect("the stand-in answers");
    assert_eq!(answer.status, 204, "{faults}");
}

/// Waits until `holds`.
#[track_caller]
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = time::Instant::now();
    while !holds() {
        assert!(
            started.elapsed() < process::PATIENCE,
            "waited too long until {what}"
        );
        thread::sleep(LOOK);
    }
}
