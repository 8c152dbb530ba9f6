//! Runs a site with the present policies and with baselines on the same load and seeds, and compares them.
//!
//! `cargo run --release -p carawaycleat-standin --example policy -- --help` lists the options.

use std::collections;
use std::error;
use std::future;
use std::path;
use std::sync;
use std::thread;
use std::time;

use bpaf::Parser as _;
use carawaycleat::entry;
use carawaycleat_core::admission;
use carawaycleat_core::placement;
use carawaycleat_core::rate;
use carawaycleat_core::routing;
use carawaycleat_net as http;
use carawaycleat_standin::load;
use carawaycleat_standin::setup;
use carawaycleat_standin::store;

type Failure = Box<dyn error::Error + Send + Sync>;

const THREADS: usize = 8;

/// The policies that are compared.
const POLICIES: [&str; 8] = [
    "present",
    "round robin",
    "least reported",
    "equal split",
    "after the fact",
    "fixed",
    "least recent",
    "fifo",
];

const FAULTS: [&str; 6] = [
    "engine lost",
    "engine silent",
    "zone cut",
    "store down",
    "rolling",
    "five times",
];

#[derive(Clone, Debug)]
struct Options {
    file: path::PathBuf,
    seeds: u64,
    parallel: usize,
    load: f64,
    seconds: f64,
    scale: setup::Scale,
    only: Vec<String>,
    json: Option<path::PathBuf>,
    plot: Option<path::PathBuf>,
}

fn options() -> Options {
    let number = |name, help, default| {
        let argument = bpaf::long(name).help(help).argument::<f64>("N");
        argument.fallback(default)
    };
    let seeds = bpaf::long("seeds")
        .help("The number of seeds")
        .argument("N");
    let seeds = seeds.fallback(5);
    let parallel = bpaf::long("parallel").help("The sites that run at the same time");
    let parallel = parallel.argument("N").fallback(5);
    let load = number("load", "The factor on the load", 1.0);
    let seconds = number("seconds", "The real time of a run", 20.0);
    let engine_speed = number("engine-speed", "The factor on the engines' speed", 1.0);
    let weight_speed = number("weight-speed", "The factor on the weight store's rate", 4.0);
    let only = bpaf::long("only").help("A policy or fault to run; all by default");
    let only = only.argument("NAME").many();
    let json = bpaf::long("json").argument("FILE").optional();
    let plot = bpaf::long("plot").argument("FILE").optional();
    let scale = bpaf::construct!(setup::Scale {
        engine_speed,
        weight_speed
    });
    let file = bpaf::positional("FILE");
    bpaf::construct!(Options {
        seeds,
        parallel,
        load,
        seconds,
        scale,
        only,
        json,
        plot,
        file
    })
    .to_options()
    .run()
}

/// The figures of one run.
#[derive(Clone, Debug, serde::Serialize)]
struct Run {
    name: String,
    seed: u64,
    load_average: f64,
    attainment: f64,
    per_accelerator: Option<f64>,
    moves: Option<f64>,
    worst_to_best: Option<f64>,
    refused_within: f64,
    refused_within_per_1000: f64,
    refused_within_warming_up: f64,
    over_rate: f64,
    cut: f64,
    wrong: f64,
    doubled: Option<f64>,
    store_calls: Option<f64>,
    lateness_p99_ms: f64,
    warm: usize,
    workspaces: Vec<load::Summary>,
}

fn main() -> Result<(), Failure> {
    let options = options();
    let executor = sync::Arc::new(http::Executor::new());
    for _ in 1..THREADS {
        let executor = executor.clone();
        thread::spawn(move || {
            futures_lite::future::block_on(executor.run(future::pending::<()>()))
        });
    }
    futures_lite::future::block_on(executor.run(compare(&executor, &options)))
}

async fn compare(executor: &sync::Arc<http::Executor>, options: &Options) -> Result<(), Failure> {
    let names = POLICIES.iter().chain(&FAULTS).copied();
    let names = names.filter(|n| options.only.is_empty() || options.only.iter().any(|o| o == n));
    let mut all = Vec::new();
    println!("{}", header());
    for name in names {
        let seeds: Vec<_> = (1..=options.seeds).collect();
        let mut runs = Vec::new();
        for group in seeds.chunks(options.parallel.max(1)) {
            let tasks: Vec<_> = group
                .iter()
                .map(|seed| {
                    let (executor, options, seed) = (executor.clone(), options.clone(), *seed);
                    let task = run(executor.clone(), options, name, seed);
                    executor.spawn(task)
                })
                .collect();
            for task in tasks {
                match task.await {
                    Ok(run) => runs.push(run),
                    Err(error) => println!("{name}: a run failed: {error}"),
                }
            }
        }
        println!("{}", row(name, &runs));
        all.extend(runs);
        if let Some(file) = &options.json {
            std::fs::write(file, serde_json::to_string_pretty(&all)?)?;
        }
    }
    Ok(())
}

fn policy(name: &str) -> entry::Policy {
    let mut policy = entry::Policy::default();
    match name {
        "round robin" => policy.options.routing.strategy = routing::Strategy::RoundRobin,
        "least reported" => policy.options.routing.strategy = routing::Strategy::LeastReportedLoad,
        "equal split" => policy.options.borrows = false,
        "after the fact" => policy.options.rate = rate::Options::AFTER_THE_FACT,
        "fixed" => policy.placement = placement::Policy::Fixed,
        "least recent" => policy.placement = placement::Policy::LeastRecentlyUsed,
        "fifo" => policy.options.admission.policy = admission::Policy::Fifo,
        _ => {}
    }
    policy
}

async fn run(
    executor: sync::Arc<http::Executor>,
    options: Options,
    name: &'static str,
    seed: u64,
) -> Result<Run, Failure> {
    let mut plan = load::Plan::read(&options.file).map_err(|problem| problem.to_string())?;
    plan.seed = seed;
    plan.time_scale = plan.duration_s / options.seconds;
    for workspace in &mut plan.workspaces {
        workspace
            .loads
            .iter_mut()
            .for_each(|l| l.requests_per_second *= options.load);
    }
    if name == "five times" {
        // A rate and not the load is exceeded five times, whatever the workspace sends otherwise.
        let workspace = &mut plan.workspaces[0];
        let sent = workspace.loads.iter().map(|load| {
            let prefix = load.prefixes.map_or(0.0, |p| p.tokens * p.share);
            load.requests_per_second * (load.input.mean + load.output.mean + prefix)
        });
        let factor = 5.0 * workspace.tokens_per_second / sent.sum::<f64>();
        workspace
            .loads
            .iter_mut()
            .for_each(|load| load.burst = None);
        workspace.surge = Some(load::Surge {
            from_s: 0.0,
            to_s: None,
            factor,
        });
    }
    let mut site = setup::Site::start(&executor, plan, options.scale, policy(name)).await?;
    let warm = site.warm_up().await;
    let plan = site.load.clone();
    let running = load::run(&executor, &plan, |_| {});
    let third = time::Duration::from_secs_f64(options.seconds / 3.0);
    let faults = switch(&mut site, name, third);
    let (report, switched) = futures_lite::future::zip(running, faults).await;
    site.abort();
    switched?;
    let report = report?;
    if let Some(file) = options.plot.filter(|_| name == "present" && seed == 1) {
        load::plot(&report, &file)?;
    }
    Ok(Run::new(name, seed, warm, report))
}

async fn switch(site: &mut setup::Site, name: &str, third: time::Duration) -> Result<(), Failure> {
    match name {
        "engine lost" => {
            async_io::Timer::after(third).await;
            site.engines[0].stand_in.stop();
        }
        "engine silent" => {
            async_io::Timer::after(third).await;
            site.engines[0].stand_in.with(|state, _| {
                let mut faults = state.faults().clone();
                faults.silent = true;
                state.set_faults(faults);
            });
        }
        "zone cut" => {
            async_io::Timer::after(third).await;
            let zone = site.hosts[0].settings.availability_zone.to_string();
            site.cut_zone(&zone);
        }
        "store down" => site.store.with(|state, _| {
            let down = true;
            state.set_faults(store::Faults {
                down,
                ..store::Faults::default()
            });
        }),
        "rolling" => {
            for number in 0..site.hosts.len() {
                let cut = site.replace(number).await?;
                if cut > 0 {
                    println!("rolling: entry host {number} cut {cut} requests");
                }
            }
        }
        _ => {}
    }
    Ok(())
}

fn float(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

impl Run {
    fn new(name: &str, seed: u64, warm: usize, report: load::Report) -> Self {
        let total = &report.total;
        // The workspace that exceeds its rate is not among those that are compared.
        let first = usize::from(name == "five times");
        let within = &report.workspaces[first..];
        let refused = |of: fn(&load::Summary) -> u64| within.iter().map(of).sum::<u64>();
        let warming_up = refused(|w| w.refused_within_rate_warming_up);
        let late = refused(|w| w.refused_within_rate) - warming_up;
        let sent = refused(|w| w.sent);
        let served = within.iter().map(|w| w.attainment_within_rate);
        let best = served.clone().fold(0.0, f64::max);
        let worst = served.fold(f64::INFINITY, f64::min);
        let over = report
            .workspaces
            .iter()
            .filter_map(|workspace| Some(workspace.tokens_admitted - workspace.tokens_allowed?));
        let doubled = report.observed.doubled.as_ref();
        Self {
            name: name.to_owned(),
            seed,
            load_average: load_average(),
            attainment: total.attainment,
            per_accelerator: report.attained_per_accelerator,
            moves: report.observed.model_loads.map(float),
            worst_to_best: (best > 0.0).then_some(worst / best),
            refused_within: float(late),
            refused_within_per_1000: 1_000.0 * float(late) / float(sent.max(1)),
            refused_within_warming_up: float(warming_up),
            over_rate: over.fold(0.0, f64::max),
            cut: float(total.cut),
            wrong: float(total.wrong),
            doubled: doubled.map(|ids| float(ids.len() as u64)),
            store_calls: report.observed.store_calls_per_second,
            lateness_p99_ms: report.lateness_ms.p99,
            warm,
            workspaces: report.workspaces,
        }
    }
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

type Column = (&'static str, usize, fn(&Run) -> Option<f64>);

const COLUMNS: [Column; 13] = [
    ("attainment", 3, |run| Some(run.attainment)),
    ("per accelerator", 2, |run| run.per_accelerator),
    ("moves", 0, |run| run.moves),
    ("worst/best", 3, |run| run.worst_to_best),
    ("refused", 0, |run| Some(run.refused_within)),
    ("per 1,000", 2, |run| Some(run.refused_within_per_1000)),
    ("first 10 s", 0, |run| Some(run.refused_within_warming_up)),
    ("over rate", 0, |run| Some(run.over_rate)),
    ("cut", 0, |run| Some(run.cut)),
    ("wrong", 0, |run| Some(run.wrong)),
    ("doubled", 0, |run| run.doubled),
    ("store calls/s", 1, |run| run.store_calls),
    ("load average", 0, |run| Some(run.load_average)),
];

fn header() -> String {
    let titles: Vec<_> = COLUMNS.iter().map(|(title, ..)| *title).collect();
    let line = "---|".repeat(COLUMNS.len() + 2);
    format!(
        "| policy or fault | runs | {} |\n|{line}",
        titles.join(" | ")
    )
}

fn row(name: &str, runs: &[Run]) -> String {
    let cells = COLUMNS.iter().map(|(_, digits, value)| {
        let mut values: Vec<_> = runs.iter().filter_map(value).collect();
        values.sort_by(f64::total_cmp);
        match (values.first(), values.get(values.len() / 2), values.last()) {
            (Some(least), Some(median), Some(most)) if least < most => {
                format!("{median:.digits$} ({least:.digits$} to {most:.digits$})")
            }
            (_, Some(median), _) => format!("{median:.digits$}"),
            _ => "-".to_owned(),
        }
    });
    let cells: Vec<_> = cells.collect();
    let mut codes = collections::BTreeMap::<&str, u64>::new();
    for workspace in runs.iter().flat_map(|run| &run.workspaces) {
        for (code, count) in &workspace.refused {
            *codes.entry(code).or_default() += count;
        }
    }
    let line = format!("| {name} | {} | {} |", runs.len(), cells.join(" | "));
    eprintln!("{name}: refusals of all runs by code: {codes:?}");
    line
}
