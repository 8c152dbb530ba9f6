//! The command line.

use std::fmt;
use std::net;
use std::path;
use std::str;
use std::time;

use bpaf::Parser as _;
use carawaycleat_core::resource;
use carawaycleat_standin::demo;
use carawaycleat_standin::engine;
use carawaycleat_standin::hosts;
use carawaycleat_standin::service;
use carawaycleat_standin::store;
use carawaycleat_standin::weights;

/// What the command line asks for.
pub(crate) enum Command {
    Serve(Server),
    Load(Load),
    Demo(demo::Options),
}

/// The stand-ins.
pub(crate) enum Server {
    Store(store::Options),
    Engine(engine::Options),
    Service(service::Options),
    Weights(weights::Options),
    Hosts(hosts::Options),
}

/// A run of the load tool.
pub(crate) struct Load {
    pub(crate) file: path::PathBuf,
    pub(crate) entries: Vec<net::SocketAddr>,
    pub(crate) output: Output,
    pub(crate) json: Option<path::PathBuf>,
    pub(crate) plot: Option<path::PathBuf>,
    pub(crate) threads: usize,
}

/// The form of the report on standard output.
#[derive(Clone, Copy)]
pub(crate) enum Output {
    Table,
    Json,
}

/// Returns the parser of the command line.
pub(crate) fn parser() -> bpaf::OptionParser<Command> {
    let store = store()
        .to_options()
        .descr("Runs the key-value service")
        .command("store");
    let engine = engine()
        .to_options()
        .descr("Runs a model engine")
        .command("engine");
    let service = service()
        .to_options()
        .descr("Runs a plain service")
        .command("service");
    let weights = weights()
        .to_options()
        .descr("Runs the weight store")
        .command("weights");
    let hosts = hosts()
        .to_options()
        .descr("Runs the list of hosts")
        .command("hosts");
    let demo = demo()
        .to_options()
        .descr("Runs the whole path in one process and sends requests through it")
        .command("demo");
    let load = load()
        .to_options()
        .descr("Sends requests to entry hosts and reports how they were answered")
        .command("load");
    let serve = bpaf::construct!([store, engine, service, weights, hosts]).map(Command::Serve);
    bpaf::construct!([serve, load, demo])
        .to_options()
        .descr("Stand-ins for the systems around carawaycleat")
}

fn demo() -> impl bpaf::Parser<Command> {
    bpaf::long("once")
        .help("End after one round of requests; the exit code is 0 only if each answer was right")
        .switch()
        .map(|once| Command::Demo(demo::Options { once }))
}

fn listen() -> impl bpaf::Parser<net::SocketAddr> {
    bpaf::long("listen")
        .help("Address to listen on; port 0 lets the system choose")
        .argument("ADDRESS")
        .fallback(([127, 0, 0, 1], 0).into())
        .display_fallback()
}

fn value<T>(name: &'static str, help: &'static str, fallback: T) -> impl bpaf::Parser<T>
where
    T: str::FromStr<Err: fmt::Display> + fmt::Display + Clone + 'static,
{
    bpaf::long(name)
        .help(help)
        .argument::<T>("N")
        .fallback(fallback)
        .display_fallback()
}

fn millis(
    name: &'static str,
    help: &'static str,
    fallback: u64,
) -> impl bpaf::Parser<time::Duration> {
    value(name, help, fallback).map(time::Duration::from_millis)
}

fn micros(
    name: &'static str,
    help: &'static str,
    fallback: time::Duration,
) -> impl bpaf::Parser<time::Duration> {
    let fallback = u64::try_from(fallback.as_micros()).unwrap_or(u64::MAX);
    value(name, help, fallback).map(time::Duration::from_micros)
}

fn site() -> impl bpaf::Parser<weights::Site> {
    bpaf::long("site")
        .help("Rates of the weight store: savannah or association")
        .argument::<String>("SITE")
        .parse(|name| match name.as_str() {
            "savannah" => Ok(weights::Site::SAVANNAH),
            "association" => Ok(weights::Site::ASSOCIATION),
            _ => Err("expected savannah or association"),
        })
        .fallback(weights::Site::SAVANNAH)
}

fn store() -> impl bpaf::Parser<Server> {
    let listen = listen();
    let latency_ms = value("latency-ms", "Time before a call takes effect, in ms", 0);
    let answer_delay_ms = value(
        "answer-delay-ms",
        "Time between effect and answer, in ms",
        0,
    );
    let lose_probability = value(
        "lose-probability",
        "Probability that a write's answer is lost",
        0.0,
    );
    let seed = value("seed", "Seed of the probability", 1);
    let writes_per_second = value("writes-per-second", "Limit of writes, 0 for none", 0);
    let reads_per_second = value("reads-per-second", "Limit of reads, 0 for none", 0);
    let faults = bpaf::construct!(store::Faults {
        latency_ms,
        answer_delay_ms,
        hang(bpaf::pure(false)),
        down(bpaf::pure(false)),
        lose_answers(bpaf::pure(0)),
        lose_probability,
        seed,
        writes_per_second,
        reads_per_second,
    });
    bpaf::construct!(store::Options { listen, faults }).map(Server::Store)
}

fn engine() -> impl bpaf::Parser<Server> {
    let base = engine::Options::default();
    let listen = listen();
    let weights = bpaf::long("weights")
        .help("Address of the weight store to load from; without it, loads run at the rates of --site")
        .argument("ADDRESS")
        .optional();
    let memory_bytes = value(
        "memory-bytes",
        "Memory for models and adapters",
        base.memory_bytes,
    );
    let max_batch = value("max-batch", "Requests that run at once", base.max_batch);
    let step_base = micros(
        "step-base-us",
        "Time of an empty step, in us",
        base.step_base,
    );
    let step_per_request = micros(
        "step-per-request-us",
        "Time per request in a step, in us",
        base.step_per_request,
    );
    let prefill_per_token = micros(
        "prefill-per-token-us",
        "Time per prompt token, in us",
        base.prefill_per_token,
    );
    let cache_blocks = value(
        "cache-blocks",
        "Blocks of the prefix cache",
        base.cache_blocks,
    );
    let site = site();
    let unload_time = millis("unload-ms", "Time of an unload, in ms", 20);
    let fencing = bpaf::long("ignore-fencing")
        .help("Accept orders with an old fencing number")
        .flag(resource::Fencing::Ignored, resource::Fencing::Checked);
    let checks_memory = bpaf::long("ignore-memory")
        .help("Accept orders beyond the memory, and record the overcommit")
        .flag(false, true);
    let state_lag = millis("state-lag-ms", "Age of the reported state, in ms", 0);
    let cache_event_delay = millis("cache-event-delay-ms", "Delay of cache events, in ms", 0);
    let cache_event_gap = value(
        "cache-event-gap",
        "Lose each N-th cache event, 0 for none",
        0,
    );
    bpaf::construct!(engine::Options {
        listen,
        weights,
        memory_bytes,
        max_batch,
        step_base,
        step_per_request,
        prefill_per_token,
        cache_blocks,
        site,
        unload_time,
        fencing,
        checks_memory,
        state_lag,
        cache_event_delay,
        cache_event_gap,
    })
    .map(Server::Engine)
}

fn service() -> impl bpaf::Parser<Server> {
    listen().map(|listen| {
        Server::Service(service::Options {
            listen,
            ..Default::default()
        })
    })
}

fn weights() -> impl bpaf::Parser<Server> {
    let (listen, site) = (listen(), site());
    bpaf::construct!(weights::Options { listen, site }).map(Server::Weights)
}

fn hosts() -> impl bpaf::Parser<Server> {
    let listen = listen();
    let lag = millis("lag-ms", "Time until a change is shown, in ms", 0);
    bpaf::construct!(listen, lag).map(|(listen, lag)| {
        Server::Hosts(hosts::Options {
            listen,
            lag,
            ..Default::default()
        })
    })
}

fn load() -> impl bpaf::Parser<Command> {
    let entries = bpaf::long("entry")
        .help("Address of an entry host, in place of those of the file; may be repeated")
        .argument("ADDRESS")
        .many();
    let output = bpaf::long("output")
        .help("Form of the report: table or json")
        .argument::<String>("FORM")
        .parse(|form| match form.as_str() {
            "table" => Ok(Output::Table),
            "json" => Ok(Output::Json),
            _ => Err("expected table or json"),
        })
        .fallback(Output::Table);
    let json = bpaf::long("json")
        .help("Also write the report as JSON to a file")
        .argument("FILE")
        .optional();
    let plot = bpaf::long("plot")
        .help("Draw the run as SVG to a file")
        .argument("FILE")
        .optional();
    let threads = value("threads", "Threads that send and receive", 2);
    let file = bpaf::positional("FILE").help("The load file");
    bpaf::construct!(Load {
        entries,
        output,
        json,
        plot,
        threads,
        file,
    })
    .map(Command::Load)
}
