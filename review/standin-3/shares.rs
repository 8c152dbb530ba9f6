//! Streams of hosts that are killed at the same moment, the coordinator among them, and what the hosts that are left may use:
//! the allowance of the tenant, or the slots of the engines.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::engine;
use crate::engine::Engine;
use crate::host::Host;
use crate::http;
use crate::record::Record;
use crate::store::Store;

/// The hosts of the first site.
const HOSTS: usize = 5;
const ENGINES: usize = 4;
const SLOTS: u32 = 64;
/// The events of a stream, which takes 2.4 s.
const EVENTS: u64 = 47;
const KEY: &str = "i9n73hh2b9wu3fexd9dn";
/// Tokens of a stream: 715 of the prompt and 282 that it may write.
const TOKEN_COUNT: &str = "715,282";
const TOKENS: u64 = 997;
const TIMEOUT_MS: u64 = 12_000;
/// The time from the beginning of the traffic to the kills, until the hosts that were killed start again, and to the end.
const TIME_BEFORE_KILLS: Duration = Duration::from_secs(12);
const DOWN_TIME: Duration = Duration::from_secs(1);
const TIME_AFTER_KILLS: Duration = Duration::from_secs(12);
/// The streams from which the rule judges.
const MIN_TAKE_UPS: usize = 12;

/// What differs between the cases.
pub struct Plan {
    /// The hosts that are killed.
    killed: usize,
    /// The streams that begin per second over all hosts.
    streams_per_second: u64,
    /// The allowance of the tenant in terms of the tokens of these streams; none for a tenant without a limit.
    allowance_factor: Option<f64>,
}

/// A tenant within its allowance, and engines whose slots are half used.
pub const ALLOWANCE: Plan = Plan {
    killed: 3,
    streams_per_second: 50,
    allowance_factor: Some(1.8),
};

/// A tenant without a limit, and engines whose slots are used to four fifths.
pub const SLOTS_IN_USE: Plan = Plan {
    killed: 4,
    streams_per_second: 88,
    allowance_factor: None,
};

/// What has become of the streams.
#[derive(Clone, Default)]
struct Counts {
    new: Arc<AtomicUsize>,
    begun: Arc<AtomicUsize>,
    taken_up: Arc<AtomicUsize>,
    gone_on: Arc<AtomicUsize>,
}

pub fn run(folder: &Path, is_disturbed: bool, plan: &Plan) -> crate::Result {
    crate::in_temporary_folder(|temporary| {
        let record = Record::create(&folder.join("record.txt"))?;
        play(temporary, &record, is_disturbed, plan)
    })
}

fn play(temporary: &Path, record: &Record, is_disturbed: bool, plan: &Plan) -> crate::Result {
    let store = Store::start();
    store.put("op/config", &config(plan));
    let _engines: Vec<_> = (0..ENGINES)
        .map(|number| {
            Engine::start(
                &store,
                record,
                &format!("i-000000c{number}"),
                "v1",
                SLOTS,
                EVENTS,
            )
        })
        .collect();
    let mut hosts = Vec::new();
    for number in 1..=HOSTS {
        let mut host = Host::start(temporary, &format!("entry-{number}"), store.address)?;
        if !host.wait_until_ready() {
            return Err(format!("{} is not ready: {}", host.name, host.log()).into());
        }
        hosts.push(host);
    }
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    // The entrance of the platform knows which hosts take connections.
    let is_up: Arc<Vec<AtomicBool>> = Arc::new((0..HOSTS).map(|_| AtomicBool::new(true)).collect());
    let counts = Counts::default();
    let started = Instant::now();
    let mut clients = Vec::new();
    let mut kills = is_disturbed.then_some(TIME_BEFORE_KILLS);
    let mut restart = None;
    let mut killed = Vec::new();
    let interval = Duration::from_nanos(1_000_000_000 / plan.streams_per_second);
    let mut number = 0;
    while started.elapsed() < TIME_BEFORE_KILLS + TIME_AFTER_KILLS {
        if kills.is_some_and(|at| started.elapsed() >= at) {
            kills = None;
            restart = Some(started.elapsed() + DOWN_TIME);
            killed = with_the_coordinator(&hosts, plan.killed);
            for index in &killed {
                is_up[*index].store(false, Ordering::SeqCst);
            }
            for index in &killed {
                record.add(format!("{} is killed", hosts[*index].name));
                hosts[*index].kill();
            }
        }
        if restart.is_some_and(|at| started.elapsed() >= at) {
            restart = None;
            for index in &killed {
                record.add(format!("{} starts again", hosts[*index].name));
                hosts[*index].restart()?;
            }
        }
        for index in &killed {
            if restart.is_none()
                && !is_up[*index].load(Ordering::SeqCst)
                && hosts[*index].is_ready()
            {
                record.add(format!("{} is ready", hosts[*index].name));
                is_up[*index].store(true, Ordering::SeqCst);
            }
        }
        number += 1;
        let (fronts, is_up, counts, record) = (
            fronts.clone(),
            is_up.clone(),
            counts.clone(),
            record.clone(),
        );
        clients.push(thread::spawn(move || {
            let entrance = |draw: usize| {
                let up = (0..HOSTS).filter(|index| is_up[*index].load(Ordering::SeqCst));
                let up: Vec<_> = up.collect();
                fronts[up[draw % up.len()]]
            };
            play_client(number, &entrance, &counts, &record);
        }));
        let due = interval * u32::try_from(number).unwrap_or(u32::MAX);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    for client in clients {
        let _ = client.join();
    }
    judge(&counts, record, is_disturbed)
}

fn judge(counts: &Counts, record: &Record, is_disturbed: bool) -> crate::Result {
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let (new, begun) = (count(&counts.new), count(&counts.begun));
    let (taken_up, gone_on) = (count(&counts.taken_up), count(&counts.gone_on));
    record.add(format!(
        "{taken_up} streams taken up, {gone_on} went on; {new} new ones, {begun} began"
    ));
    if is_disturbed && taken_up < MIN_TAKE_UPS {
        return Err("too few streams were taken up".into());
    }
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    let is_broken = taken_up >= MIN_TAKE_UPS && share(gone_on, taken_up) < share(begun, new) / 2.0;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Returns the hosts to kill: the coordinator, which is the host elected last, and the next ones.
fn with_the_coordinator(hosts: &[Host], count: usize) -> Vec<usize> {
    let elections = hosts
        .iter()
        .map(|host| host.log().matches("\"event\":\"elected\"").count());
    let elections: Vec<_> = elections.collect();
    let coordinator = (0..hosts.len())
        .max_by_key(|index| elections[*index])
        .unwrap_or(0);
    (0..count)
        .map(|next| (coordinator + next) % hosts.len())
        .collect()
}

/// Returns the operator's configuration.
fn config(plan: &Plan) -> String {
    let service = engine::SERVICE;
    let tokens_per_second = (plan.streams_per_second * TOKENS) as f64;
    let rate = plan.allowance_factor.unwrap_or(0.0) * tokens_per_second;
    let rate = rate as u64;
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","hostname":"ficu95.example","prefix":"/lohu930/","route_type":"streaming","timeout_ms":{TIMEOUT_MS},"target_latency_ms":500,"priority":1,"service":"{service}","max_attempts":2,"public":false,"sticky":false,"resumable":true,"gap_aim_ms":150}}],"services":[{{"name":"{service}","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":{rate},"burst":{rate}}}]}}"#
    )
}

/// Begins a stream, and takes it up once if it breaks off, as the sheet allows one repeat.
fn play_client(
    number: usize,
    entrance: &dyn Fn(usize) -> SocketAddr,
    counts: &Counts,
    record: &Record,
) {
    let first = format!("request-{number}");
    counts.new.fetch_add(1, Ordering::SeqCst);
    let (status, events, is_complete) = read_stream(entrance(number), &first, None);
    record.add(format!(
        "client gets {status} for {first}: {events} events, complete: {is_complete}"
    ));
    if events > 0 {
        counts.begun.fetch_add(1, Ordering::SeqCst);
    }
    if is_complete || events == 0 {
        return;
    }
    counts.taken_up.fetch_add(1, Ordering::SeqCst);
    let second = format!("{first}-again");
    let (status, more, is_complete) =
        read_stream(entrance(number), &second, Some((&first, events)));
    record.add(format!(
        "client gets {status} for {second}: {more} events, complete: {is_complete}"
    ));
    if more > 0 {
        counts.gone_on.fetch_add(1, Ordering::SeqCst);
    }
}

/// Returns the status, the number of events and whether the stream was complete.
fn read_stream(address: SocketAddr, id: &str, resumed: Option<(&str, u64)>) -> (u16, u64, bool) {
    let (mut status, mut events) = (0, 0);
    let result = receive(address, id, resumed, &mut status, &mut events);
    (status, events, result.unwrap_or(false))
}

fn receive(
    address: SocketAddr,
    id: &str,
    resumed: Option<(&str, u64)>,
    status: &mut u16,
    events: &mut u64,
) -> io::Result<bool> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut connection = http::Connection::new(stream);
    let resumption = resumed.map_or(String::new(), |(stream, last)| {
        format!("Resumes: {stream}\r\nLast-Event-Id: {last}\r\n")
    });
    connection.send(
        format!(
            "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Token-Count: {TOKEN_COUNT}\r\n\
             X-Deadline-Ms: {TIMEOUT_MS}\r\nX-Credential: {KEY}\r\n{resumption}Content-Length: 0\r\n\r\n"
        )
        .as_bytes(),
    )?;
    let head = connection.head()?;
    *status = head.status();
    if *status != 200 {
        return Ok(false);
    }
    loop {
        let chunk = connection.chunk()?;
        if chunk.is_empty() {
            return Ok(true);
        }
        *events += String::from_utf8_lossy(&chunk).matches("id: ").count() as u64;
    }
}
