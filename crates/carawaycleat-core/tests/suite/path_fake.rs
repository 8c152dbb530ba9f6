//! Fakes around the reducers: the store, upstreams, and the record of what callers and upstreams received.

use std::collections;

use carawaycleat_core::claim;
use carawaycleat_core::clock;
use carawaycleat_core::config;
use carawaycleat_core::key;
use carawaycleat_core::name;
use carawaycleat_core::outcome;
use carawaycleat_core::rate;
use carawaycleat_core::request;
use carawaycleat_core::resource;
use carawaycleat_core::side;

use super::routing as support;

pub(crate) const HOSTS: usize = 3;
pub(crate) const UPSTREAMS: usize = 4;
pub(crate) const RATE: u64 = 16;
pub(crate) const BURST: u64 = 64;

/// Returns the name of the upstream at `index`. The first two are engines, the others services.
pub(crate) fn upstream(index: usize) -> name::Name {
    support::name(&format!("u{index}"))
}

pub(crate) fn host(index: usize) -> name::Name {
    support::name(&format!("e{index}"))
}

/// The part of a response that an upstream actually sent: the request that it belongs to, and its position.
pub(crate) type Content = (request::Id, u64);

/// A fake store with its log of changes, its claims and its faults.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) log: Vec<config::Change>,
    pub(crate) claims: collections::BTreeMap<String, (claim::Record, u64)>,
    pub(crate) revision: u64,
    pub(crate) down_until: u64,
    pub(crate) slow_until: u64,
    /// Number of next responses to writes that are lost after the write took effect.
    pub(crate) responses_to_lose: u32,
}

impl Store {
    pub(crate) fn put(&mut self, key: String, value: Option<Vec<u8>>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        self.log.push(config::Change {
            key,
            value,
            revision,
        });
        revision
    }

    pub(crate) fn write(&mut self, kind: resource::Kind, name: &str, value: resource::Resource) {
        let record = config::Record {
            operation: "o".to_owned(),
            resource: value,
        };
        let id = resource::Id::new(kind, support::name(name));
        let value = serde_json::to_vec(&record).expect("a valid record");
        self.put(config::key(&id), Some(value));
    }

    pub(crate) fn latest(&self, key: &str) -> Option<&config::Change> {
        self.log.iter().rev().find(|change| change.key == key)
    }

    pub(crate) fn since(&self, revision: u64) -> Vec<config::Change> {
        let later = self.log.iter().filter(|c| c.revision > revision);
        later.cloned().collect()
    }

    fn loses_response(&mut self) -> bool {
        let loses = self.responses_to_lose > 0;
        self.responses_to_lose = self.responses_to_lose.saturating_sub(1);
        loses
    }

    /// Writes shards, and returns the result as the host receives it.
    pub(crate) fn shards(&mut self, write: &rate::Write) -> rate::Outcome {
        let is_as_expected = |put: &rate::Put| {
            let found = self.latest(&rate::shard_key(put.number));
            found.map_or(0, |change| change.revision) == put.expected_revision
        };
        if !write.puts.iter().all(is_as_expected) {
            return rate::Outcome::Rejected;
        }
        self.revision += 1;
        for put in &write.puts {
            self.log.push(config::Change {
                key: rate::shard_key(put.number),
                value: Some(serde_json::to_vec(&put.shard).expect("a valid shard")),
                revision: self.revision,
            });
        }
        match self.loses_response() {
            true => rate::Outcome::Unknown,
            false => rate::Outcome::Written(self.revision),
        }
    }

    pub(crate) fn read_shards(&self, numbers: &[u32]) -> Vec<rate::Observation> {
        let observe = |number: &u32| {
            let found = self.latest(&rate::shard_key(*number));
            rate::Observation {
                number: *number,
                shard: found.and_then(|change| serde_json::from_slice(change.value.as_ref()?).ok()),
                revision: found.map_or(0, |change| change.revision),
            }
        };
        numbers.iter().map(observe).collect()
    }

    /// Performs an action on a claim, and returns the event for its state machine.
    pub(crate) fn claim(&mut self, key: &str, action: &claim::Action) -> claim::Event {
        let found = self.claims.get(key).cloned();
        match (action, found) {
            (claim::Action::Create(_), Some((record, revision))) => {
                claim::Event::Found(record, revision)
            }
            (claim::Action::Create(record), None) => {
                self.revision += 1;
                self.claims
                    .insert(key.to_owned(), (record.clone(), self.revision));
                match self.loses_response() {
                    true => claim::Event::NoResponse,
                    false => claim::Event::Written(self.revision),
                }
            }
            (claim::Action::Replace(record, expected), Some((_, revision)))
                if *expected == revision =>
            {
                self.revision += 1;
                self.claims
                    .insert(key.to_owned(), (record.clone(), self.revision));
                claim::Event::Written(self.revision)
            }
            (claim::Action::Delete(expected), Some((_, revision))) if *expected == revision => {
                self.claims.remove(key);
                claim::Event::Written(self.revision)
            }
            (_, Some((record, revision))) => claim::Event::Found(record, revision),
            (_, None) => claim::Event::Absent,
        }
    }

    /// Writes the configuration of the scenario.
    pub(crate) fn fill(&mut self) {
        for workspace in ["w1", "w2", "w3"] {
            let weight = resource::Workspace { weight: 1 };
            self.write(
                resource::Kind::Workspace,
                workspace,
                resource::Resource::Workspace(weight),
            );
            let key = resource::Key {
                workspace: support::name(workspace),
                digest: digest(workspace).to_hex(),
            };
            self.write(
                resource::Kind::Key,
                &format!("k-{workspace}"),
                resource::Resource::Key(key),
            );
            let is_limited = workspace == "w3";
            let rate = resource::Rate {
                workspace: support::name(workspace),
                tokens_per_second: if is_limited { RATE } else { 100_000 },
                burst_tokens: if is_limited { BURST } else { 1_000_000 },
            };
            self.write(
                resource::Kind::Rate,
                workspace,
                resource::Resource::Rate(rate),
            );
        }
        let version = resource::Version {
            model: support::name("m"),
            bytes: 1,
        };
        self.write(
            resource::Kind::Version,
            "v",
            resource::Resource::Version(version),
        );
        let model = resource::Model {
            version: support::name("v"),
            group: support::name("g"),
        };
        self.write(resource::Kind::Model, "m", resource::Resource::Model(model));
        for (route, prefix, target) in [
            ("models", "/v1", resource::Target::Models),
            ("desk", "/desk", resource::Target::Service),
        ] {
            let value = resource::Route {
                prefix: prefix.to_owned(),
                target,
                group: Some(support::name(if route == "desk" { "s" } else { "g" })),
                open: false,
                workspaces: Vec::new(),
                non_idempotent: if route == "desk" {
                    vec!["POST".to_owned()]
                } else {
                    Vec::new()
                },
                cost_tokens: 1,
                timeout_ms: 30_000,
            };
            self.write(
                resource::Kind::Route,
                route,
                resource::Resource::Route(value),
            );
        }
        for index in 0..UPSTREAMS {
            self.write_upstream(index, false);
        }
        for index in 0..HOSTS {
            self.put(
                format!("{}roster/{}", config::PREFIX, host(index)),
                Some(b"{}".to_vec()),
            );
        }
    }

    pub(crate) fn write_upstream(&mut self, index: usize, leaving: bool) {
        let number = u16::try_from(index).expect("a small number");
        let upstream = resource::Upstream {
            group: support::name(if index < 2 { "g" } else { "s" }),
            address: ([127, 0, 0, 1], 7_000 + number).into(),
            side_address: Some(([127, 0, 0, 1], 8_000 + number).into()),
            availability_zone: support::name("a"),
            memory_bytes: 1,
            fencing: resource::Fencing::Checked,
            leaving,
        };
        self.write(
            resource::Kind::Upstream,
            &format!("u{index}"),
            resource::Resource::Upstream(upstream),
        );
    }
}

/// Returns the secret API key of a workspace.
pub(crate) fn secret(workspace: &str) -> String {
    format!("secret-of-{workspace}")
}

pub(crate) fn digest(workspace: &str) -> key::Digest {
    key::Digest::of(&secret(workspace))
}

/// A job in transit to a sidecar.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) host: usize,
    pub(crate) sent: side::Timestamp,
    pub(crate) request: request::Id,
    pub(crate) attempt: request::Id,
    pub(crate) workspace: Option<name::Name>,
    pub(crate) idempotent: bool,
    pub(crate) claim: Option<String>,
    pub(crate) position: u64,
    /// The caller's key as forwarded to the upstream; empty unless a naive rule forwards it.
    pub(crate) forwarded_key: String,
}

/// A request that runs at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) job: Job,
    pub(crate) next: u64,
    pub(crate) has_sent_head: bool,
}

/// An upstream with its sidecar.
pub(crate) struct Upstream {
    pub(crate) side: Option<side::Reducer>,
    pub(crate) incarnation: u64,
    pub(crate) restart_at: u64,
    pub(crate) paused_until: u64,
    pub(crate) silent_until: u64,
    pub(crate) truncations: u32,
    pub(crate) swaps: u32,
    pub(crate) runs: Vec<Run>,
    /// Time from which no new request may start; none while the upstream is not leaving.
    pub(crate) leaving_since: Option<u64>,
    pub(crate) leaving: bool,
}

impl Upstream {
    pub(crate) fn new(incarnation: u64) -> Self {
        let now = clock::Instant::from_millis(0);
        Self {
            side: Some(side::Reducer::new(
                now,
                resource::Fencing::Checked,
                incarnation,
            )),
            incarnation,
            restart_at: 0,
            paused_until: 0,
            silent_until: 0,
            truncations: 0,
            swaps: 0,
            runs: Vec::new(),
            leaving_since: None,
            leaving: false,
        }
    }
}

/// A caller's request, and what the test has recorded about it.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) host: usize,
    pub(crate) workspace: &'static str,
    pub(crate) is_model: bool,
    pub(crate) method: &'static str,
    pub(crate) claim: Option<String>,
    /// Number of parts of the complete response.
    pub(crate) length: u64,
    pub(crate) received: Vec<Content>,
    pub(crate) heads: u32,
    pub(crate) executions: u32,
    pub(crate) is_finished: bool,
    pub(crate) refused: Option<(outcome::Reason, outcome::Outcome)>,
    /// Whether the caller disconnected or its entry host was killed.
    pub(crate) is_disconnected: bool,
}
