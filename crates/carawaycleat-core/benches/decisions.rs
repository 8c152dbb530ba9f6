//! Measures the time of the decisions of an entry host, by the number of upstreams, workspaces, hosts or events.
//!
//! `cargo bench -p carawaycleat-core --bench decisions`

use std::hint;
use std::time;

use carawaycleat_core::admission;
use carawaycleat_core::clock;
use carawaycleat_core::config;
use carawaycleat_core::entry;
use carawaycleat_core::freshness;
use carawaycleat_core::name;
use carawaycleat_core::rate;
use carawaycleat_core::request;
use carawaycleat_core::resource;
use carawaycleat_core::routing;
use carawaycleat_core::timeline;

const UPSTREAMS: [usize; 4] = [10, 120, 1_200, 12_000];
const WORKSPACES: [usize; 4] = [5, 20, 100, 500];
const HOSTS: [usize; 4] = [3, 20, 100, 340];
const EVENTS: [usize; 4] = [64, 512, 4_096, 32_768];

/// The time of all events. It does not advance, so no report or measurement expires during a run.
const NOW: clock::Instant = clock::Instant::from_millis(10_000);

fn name(text: &str) -> name::Name {
    name::Name::parse(text).expect("a valid name")
}

fn upstream(index: usize) -> resource::Resource {
    resource::Resource::Upstream(resource::Upstream {
        group: name("group"),
        address: ([127, 0, 0, 1], 7_000).into(),
        side_address: Some(([10, 0, (index >> 8) as u8, index as u8], 8_000).into()),
        availability_zone: name("zone"),
        memory_bytes: 1,
        fencing: resource::Fencing::Checked,
        leaving: false,
    })
}

fn report(index: usize) -> routing::Report {
    routing::Report {
        upstream: name(&format!("u{index}")),
        incarnation: 1,
        sequence: 1,
        leaving: false,
        reachable: true,
        resident: vec![routing::Resident {
            model: name("model"),
            adapter: None,
            answered: true,
        }],
        in_flight: 0,
        waiting: 0,
        capacity: 0,
    }
}

fn routing_pick(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("routing_pick");
    for size in UPSTREAMS {
        let mut snapshot = config::Snapshot::new(1);
        for index in 0..size {
            let resource = upstream(index);
            let entry = config::Entry {
                revision: 1,
                resource,
            };
            snapshot.insert(name(&format!("u{index}")), entry);
        }
        let mut table = routing::Table::new(routing::Policy::default());
        table.configure(&snapshot);
        for index in 0..size {
            table.apply_report(NOW, report(index));
        }
        let (model, group_name, zone) = (name("model"), name("group"), name("zone"));
        let criteria = routing::Criteria {
            model: Some(&model),
            adapter: None,
            group: &group_name,
            prefixes: &[],
            zone: &zone,
            exclude: &[],
        };
        let mut random = fastrand::Rng::with_seed(1);
        group.bench_function(size.to_string(), |bencher| {
            bencher.iter(|| table.pick(NOW, &criteria, &mut || random.u64(..)));
        });
    }
}

fn reducer(size: usize) -> entry::Reducer {
    let owner = rate::Owner {
        host: name("entry-1"),
        address: ([127, 0, 0, 1], 8_082).into(),
        incarnation: 1,
    };
    let mut reducer = entry::Reducer::new(owner, name("zone"), entry::Options::default());
    let route = resource::Route {
        prefix: "/v1".to_owned(),
        target: resource::Target::Models,
        group: None,
        open: true,
        workspaces: Vec::new(),
        non_idempotent: Vec::new(),
        cost_tokens: 1,
        timeout_ms: 30_000,
    };
    let version = resource::Version {
        model: name("model"),
        bytes: 1,
    };
    let model = resource::Model {
        version: name("version"),
        group: name("group"),
    };
    let mut resources = vec![
        ("models".to_owned(), resource::Resource::Route(route)),
        ("version".to_owned(), resource::Resource::Version(version)),
        ("model".to_owned(), resource::Resource::Model(model)),
    ];
    resources.extend((0..size).map(|index| (format!("u{index}"), upstream(index))));
    let pair = |(title, resource): (String, resource::Resource)| {
        let id = resource::Id::new(resource.kind(), name(&title));
        let record = config::Record {
            operation: "1".to_owned(),
            resource,
        };
        config::Change {
            key: config::key(&id),
            value: Some(serde_json::to_vec(&record).expect("a record")),
            revision: 1,
        }
    };
    let pairs = resources.into_iter().map(pair).collect();
    reducer.step(NOW, entry::Event::Listing { revision: 1, pairs });
    reducer.step(NOW, entry::Event::StoreContact(NOW));
    for index in 0..size {
        reducer.step(NOW, entry::Event::SidecarReported(Box::new(report(index))));
    }
    reducer
}

fn arrival(id: u128) -> entry::Event {
    entry::Event::Arrived(Box::new(entry::Request {
        id: request::Id::from_u128(id),
        key_digest: None,
        route: name("models"),
        method: "POST".to_owned(),
        model: Some(name("model")),
        adapter: None,
        class: admission::Class::Live,
        prompt_tokens: 10,
        max_tokens: 1,
        bytes: 100,
        prefixes: Vec::new(),
        idempotency_key: None,
        deadline: NOW + time::Duration::from_secs(30),
    }))
}

/// Returns the attempt that the effects of a step dispatch.
fn dispatched(effects: &[entry::Effect]) -> request::Id {
    let attempt = effects.iter().find_map(|effect| match effect {
        entry::Effect::Dispatch { attempt, .. } => Some(*attempt),
        _ => None,
    });
    attempt.expect("a dispatch")
}

fn entry_request(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("entry_request");
    for size in UPSTREAMS {
        let (mut reducer, mut id) = (reducer(size), 0);
        group.bench_function(size.to_string(), |bencher| {
            bencher.iter(|| {
                id += 1;
                let attempt = dispatched(&reducer.step(NOW, arrival(id << 32)));
                for progress in [
                    entry::Progress::Started,
                    entry::Progress::Token {
                        frame_attempt: attempt,
                        position: 0,
                    },
                    entry::Progress::Ended {
                        frame_attempt: attempt,
                        count: 1,
                    },
                ] {
                    hint::black_box(reducer.step(NOW, entry::Event::Attempt(attempt, progress)));
                }
            });
        });
    }
}

fn entry_token(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("entry_token");
    for size in UPSTREAMS {
        let mut reducer = reducer(size);
        let attempt = dispatched(&reducer.step(NOW, arrival(1)));
        let mut position = 0;
        group.bench_function(size.to_string(), |bencher| {
            bencher.iter(|| {
                let progress = entry::Progress::Token {
                    frame_attempt: attempt,
                    position,
                };
                position += 1;
                reducer.step(NOW, entry::Event::Attempt(attempt, progress))
            });
        });
    }
}

fn admission_push_pop(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("admission_push_pop");
    for size in WORKSPACES {
        let mut queue = admission::Queue::new(admission::Limits::default());
        let names: Vec<_> = (0..size).map(|index| name(&format!("w{index}"))).collect();
        let request = |id: u128| admission::Request {
            id: request::Id::from_u128(id),
            workspace: names[id as usize % size].clone(),
            model: None,
            adapter: None,
            class: admission::Class::Live,
            tokens: 100,
            bytes: 100,
            deadline: NOW + time::Duration::from_secs(30),
        };
        let mut id = 0;
        while (id as usize) < size {
            queue.push(NOW, request(id)).expect("space in the queue");
            id += 1;
        }
        group.bench_function(size.to_string(), |bencher| {
            bencher.iter(|| {
                let popped = queue.pop(NOW, |_| true).expect("a queued request");
                queue.push(NOW, popped).expect("space in the queue");
            });
        });
    }
}

fn rate_reserve_settle(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("rate_reserve_settle");
    for size in WORKSPACES {
        let names: Vec<_> = (0..size).map(|index| name(&format!("w{index}"))).collect();
        let rates: Vec<_> = names
            .iter()
            .map(|workspace| resource::Rate {
                workspace: workspace.clone(),
                tokens_per_second: 1_000,
                burst_tokens: 1_000,
            })
            .collect();
        let mut ledger = rate::Ledger::new();
        ledger.set_rates(clock::Instant::from_millis(0), &rates);
        ledger.set_held(clock::Instant::from_millis(0), 64, 64);
        let mut index = 0;
        group.bench_function(size.to_string(), |bencher| {
            bencher.iter(|| {
                index = (index + 1) % size;
                let reservation = ledger.reserve(NOW, &names[index], 100).expect("tokens");
                ledger.settle(NOW, reservation, 0);
            });
        });
    }
}

fn freshness_state(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("freshness_heard_state");
    for size in HOSTS {
        let hosts: Vec<_> = (0..size).map(|index| name(&format!("h{index}"))).collect();
        let mut monitor = freshness::Monitor::new(hosts[0].clone());
        monitor.set_roster(&hosts);
        let report = |index: usize| freshness::Report {
            host: hosts[index].clone(),
            incarnation: 1,
            revision: 1,
            store_age: Some(time::Duration::from_secs(10)),
            sent_at: NOW,
        };
        for index in 1..size {
            monitor.record_report(NOW, report(index));
        }
        let mut index = 0;
        group.bench_function(size.to_string(), |bencher| {
            bencher.iter(|| {
                index = index % (size - 1) + 1;
                monitor.record_report(NOW, report(index));
                monitor.state(NOW)
            });
        });
    }
}

fn timeline_push(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("timeline_push");
    for size in EVENTS {
        let mut ring = timeline::Ring::new(size);
        let stamp = clock::Stamp {
            wall_ms: 1,
            counter: 1,
            host: name("entry-1"),
        };
        let push = |ring: &mut timeline::Ring| {
            let event = timeline::Event::new(stamp.clone(), timeline::Kind::Arrived);
            ring.push(event.with_request("0123456789abcdef0123456789abcdef"));
        };
        (0..size).for_each(|_| push(&mut ring));
        group.bench_function(size.to_string(), |bencher| {
            bencher.iter(|| push(&mut ring));
        });
    }
}

fn main() {
    let mut criterion = criterion::Criterion::default()
        .sample_size(10)
        .warm_up_time(time::Duration::from_millis(100))
        .measurement_time(time::Duration::from_millis(300));
    routing_pick(&mut criterion);
    entry_request(&mut criterion);
    entry_token(&mut criterion);
    admission_push_pop(&mut criterion);
    rate_reserve_settle(&mut criterion);
    freshness_state(&mut criterion);
    timeline_push(&mut criterion);
    criterion.final_summary();
}
