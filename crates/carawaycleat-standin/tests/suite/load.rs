use std::path;
use std::time;

use carawaycleat_standin as standin;
use standin::load;

const LOAD: &str = r#"
duration_s = 60
seed = 7
models = [{ name = "large", adapters = ["a", "b"] }, { name = "small" }, { name = "rare" }]

[[workspaces]]
name = "press"
key = "press-key"
loads = [{ requests_per_second = 20, input = { mean = 20, spread = 0.5 }, output = { mean = 8, spread = 0.5 } }]
bookings = [{ path = "/bookings/seats", requests_per_second = 5, keyed = 0.5, repeated = 0.5 }]
"#;

pub(crate) fn plan(text: &str) -> load::Plan {
    load::Plan::parse("load.toml".as_ref(), text).expect("a valid load file")
}

fn arrivals(text: &str) -> Vec<load::Arrival> {
    load::Arrivals::new(&plan(text)).collect()
}

/// Returns the arrivals of chats whose start in seconds and model are as `wanted`.
pub(crate) fn chats(arrivals: &[load::Arrival], wanted: impl Fn(f64, &str) -> bool) -> f64 {
    let chats = arrivals.iter().filter(|arrival| match &arrival.job {
        load::Job::Chat { model, .. } => wanted(arrival.at.as_secs_f64(), model),
        load::Job::Booking { .. } => false,
    });
    chats.count() as f64
}

/// Guards against a run that cannot be repeated, and against seeds that have no effect.
#[test]
fn a_seed_fixes_the_arrivals() {
    let first = arrivals(LOAD);
    assert_eq!(first, arrivals(LOAD));
    let other = arrivals(&LOAD.replace("seed = 7", "seed = 8"));
    assert_ne!(first, other);
    assert!(first.is_sorted_by_key(|arrival| arrival.at));
    assert!(first.iter().all(|a| a.at < time::Duration::from_secs(60)));
    // 1,500 are expected; five standard deviations of a Poisson process are 194.
    assert!((1_306..1_694).contains(&first.len()), "{}", first.len());
}

/// Guards against rates, popularity and time scales that do not reach the arrivals.
#[test]
fn rates_and_popularity_follow_the_file() {
    let steady = arrivals(LOAD);
    let (large, rare) = (
        chats(&steady, |_, m| m == "large"),
        chats(&steady, |_, m| m == "rare"),
    );
    // Zipf with exponent 1 gives the first of three models three times the share of the third.
    assert!((2.2..4.2).contains(&(large / rare)), "{large} to {rare}");

    let demand = "demand = [{ at_s = 30, models = [\"rare\"], factor = 10 }]";
    let moved = arrivals(&LOAD.replace("seed = 7", demand));
    let rare = |from: f64| {
        chats(&moved, |at, m| {
            m == "rare" && (from..from + 30.0).contains(&at)
        })
    };
    assert!(
        rare(30.0) > 2.5 * rare(0.0),
        "{} after {}",
        rare(30.0),
        rare(0.0)
    );

    let surge = "key = \"press-key\"\nsurge = { from_s = 40, to_s = 50, factor = 5 }";
    let surged = arrivals(&LOAD.replace("key = \"press-key\"", surge));
    let before = chats(&surged, |at, _| (30.0..40.0).contains(&at));
    let during = chats(&surged, |at, _| (40.0..50.0).contains(&at));
    assert!(
        (3.5..7.0).contains(&(during / before)),
        "{during} after {before}"
    );

    let burst = "requests_per_second = 20, burst = { on_s = 5, off_s = 15, factor = 4 }";
    let bursts = arrivals(&LOAD.replace("requests_per_second = 20", burst));
    let on = chats(&bursts, |at, _| at % 20.0 < 5.0);
    let off = chats(&bursts, |at, _| at % 20.0 >= 5.0);
    assert!((1.1..1.6).contains(&(on / off)), "{on} to {off}");

    let scaled = arrivals(&LOAD.replace("seed = 7", "time_scale = 60"));
    assert!(scaled.iter().all(|a| a.at < time::Duration::from_secs(1)));
    assert!((5..60).contains(&scaled.len()), "{}", scaled.len());
}

/// Guards against prompts that the entry host counts with another length, or that share no prefix.
#[test]
fn prompts_have_their_length_and_prefix() {
    let prefix = "{ mean = 20 }, prefixes = { count = 2, tokens = 30 }";
    let prompts = arrivals(&LOAD.replace("{ mean = 20, spread = 0.5 }", prefix));
    let mut heads = std::collections::BTreeSet::new();
    for arrival in &prompts {
        if let load::Job::Chat { prompt, .. } = &arrival.job {
            // 50 words of four bytes, and the role with two line ends.
            assert_eq!(load::counted(prompt), 52);
            heads.insert(prompt[..120].to_owned());
        }
    }
    assert_eq!(heads.len(), 2);
}

/// Guards against a site file that cannot be read, or whose numbers are not those of the site.
#[yare::parameterized(
    savannah = { "savannah", 3, 10, 3, 15, 40, 6_000.0 },
    association = { "association", 4, 20, 4, 25, 100, 12_000.0 },
)]
fn sites_are_valid(
    name: &str,
    zones: usize,
    engines: u32,
    services: u32,
    models: usize,
    adapters: usize,
    tokens: f64,
) {
    let file = path::Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("sites/{name}.toml"));
    let plan = load::Plan::read(&file).unwrap_or_else(|problem| panic!("{problem}"));
    let site = plan.site.as_ref().expect("a site");
    assert_eq!(
        (site.zones.len(), plan.accelerators()),
        (zones, Some(engines))
    );
    assert_eq!(site.upstreams[1].count, services);
    assert_eq!((plan.models.len(), plan.workspaces.len()), (models, 5));
    assert_eq!(
        plan.models.iter().map(|m| m.adapters.len()).sum::<usize>(),
        adapters
    );
    assert!(
        (plan.mean_load() - tokens).abs() < 1.0,
        "{}",
        plan.mean_load()
    );
    let weights: u64 = site.models.iter().map(|m| m.bytes).sum();
    let weights = weights + site.adapter_bytes * adapters as u64;
    let memory = u64::from(engines) * site.upstreams[0].memory_bytes;
    let twice = memory as f64 / 2.0 / weights as f64;
    assert!(
        (0.62..0.72).contains(&twice),
        "{twice} of the models fit twice"
    );
    let largest = site.models.iter().map(|m| m.bytes).max();
    assert!(largest < Some(site.upstreams[0].memory_bytes));
}

/// Guards against a site whose load is beyond the rates of its own workspaces, so that refusals would be justified.
#[yare::parameterized(savannah = { "savannah" }, association = { "association" })]
fn sites_stay_within_their_rates(name: &str) {
    let file = path::Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("sites/{name}.toml"));
    let plan = load::Plan::read(&file).unwrap_or_else(|problem| panic!("{problem}"));
    let buckets = plan.workspaces.iter();
    let mut buckets: Vec<_> = buckets
        .map(|w| load::Bucket::new(w.tokens_per_second, w.burst_tokens))
        .collect();
    for arrival in load::Arrivals::new(&plan) {
        let tokens = match &arrival.job {
            load::Job::Chat {
                prompt, max_tokens, ..
            } => load::counted(prompt) + u64::from(*max_tokens),
            load::Job::Booking { .. } => 10,
        };
        let mut request = sample(0, tokens, tokens, load::Ending::Whole);
        request.at = arrival.at;
        let workspace = &plan.workspaces[arrival.workspace].name;
        let admitted = buckets[arrival.workspace].admits(&request);
        assert!(admitted, "{workspace} at {:?}", arrival.at);
    }
}

/// Guards against errors without their line or without what is allowed.
#[yare::parameterized(
    unknown_key = { "seed = 7", "sede = 7", 3, "expected one of" },
    bad_type = { "seed = 7", "seed = \"x\"", 3, "expected u64" },
    out_of_range = { "duration_s = 60", "duration_s = 0", 2, "allowed: a time from 0.001" },
    nested = { "keyed = 0.5", "keyed = 1.5", 10, "allowed: a number from 0 to 1" },
    unknown_model = { "loads = [{", "loads = [{ models = [\"big\"],", 9, "allowed: large, small, rare" },
    bad_method = { "keyed = 0.5", "method = \"PUT\"", 10, "`GET` or `POST`" },
    bad_path = { "/bookings/seats", "bookings", 10, "allowed: a path" },
    bad_class = { "loads = [{", "loads = [{ class = \"slow\",", 9, "`live`, `short`, `batch`" },
    missing = { "key = \"press-key\"", "", 6, "missing field `key`" },
    syntax = { "seed = 7", "seed = ", 3, "" },
)]
fn problems_have_their_line(from: &str, to: &str, line: usize, allowed: &str) {
    let text = LOAD.replace(from, to);
    let problem = load::Plan::parse("load.toml".as_ref(), &text).expect_err("a problem");
    assert_eq!(problem.line, line, "{problem}");
    assert!(problem.text.contains(allowed), "{problem}");
    assert!(
        problem
            .to_string()
            .starts_with(&format!("load.toml:{line}: "))
    );
}

fn sample(at_ms: u64, reserved: u64, used: u64, ending: load::Ending) -> load::Sample {
    let at = time::Duration::from_millis(at_ms);
    let end = at + time::Duration::from_millis(500);
    load::Sample {
        at,
        workspace: 0,
        class: load::Class::Live,
        reserved,
        used,
        head: Some(at),
        first: Some(at + time::Duration::from_millis(100)),
        last: Some(end),
        tokens: 10,
        end,
        ending,
    }
}

fn refused(code: &str) -> load::Ending {
    load::Ending::Refused {
        code: code.to_owned(),
        not_run: true,
    }
}

/// Guards against a bucket that forgets refunds, fills beyond its burst, or charges for refusals.
#[test]
fn the_bucket_follows_rate_burst_and_refunds() {
    let mut bucket = load::Bucket::new(100.0, 100.0);
    assert!(bucket.admits(&sample(0, 100, 40, load::Ending::Whole)));
    // 40 tokens were filled in; the refund of 60 comes at 500 ms.
    assert!(!bucket.admits(&sample(400, 50, 0, refused("rate_limited"))));
    assert!(bucket.admits(&sample(500, 100, 100, load::Ending::Whole)));
    assert!(!bucket.admits(&sample(9_000, 101, 0, refused("exceeds_burst"))));
    assert!(bucket.admits(&sample(9_000, 100, 100, load::Ending::Whole)));
}

/// Guards against a report that blames the fleet for a refusal beyond the rate, or misses an excess.
#[test]
fn the_summary_tells_refusals_within_the_rate() {
    let text = LOAD.replace(
        "key = \"press-key\"",
        "key = \"k\"\ntokens_per_second = 100\nburst_tokens = 100",
    );
    let plan = plan(&text.replace("seed = 7", "warm_up_s = 2"));
    let samples = [
        sample(0, 60, 0, refused("rate_limited")),
        sample(0, 100, 100, load::Ending::Whole),
        sample(100, 60, 0, refused("rate_limited")),
        sample(200, 5, 0, refused("queue_full")),
        sample(3_000, 60, 0, refused("rate_limited")),
        sample(3_000, 100, 100, load::Ending::Cut),
        sample(4_000, 100, 100, load::Ending::Wrong),
    ];
    let refs: Vec<_> = samples.iter().collect();
    let summary = load::Summary::new(&plan, &plan.workspaces[0], &refs);
    assert_eq!((summary.sent, summary.attained), (7, 1));
    assert_eq!(summary.refused["rate_limited"], 3);
    assert_eq!(summary.refused["queue_full"], 1);
    assert_eq!(summary.refused_within_rate, 2);
    assert_eq!(summary.refused_within_rate_warming_up, 1);
    assert_eq!((summary.cut, summary.wrong), (1, 1));
    // One of seven was beyond the rate.
    assert!((summary.attainment_within_rate - 1.0 / 6.0).abs() < 1e-9);
    assert_eq!(summary.tokens_allowed, Some(500.0));
    assert!(!summary.exceeds_rate);
    let many = vec![&samples[1]; 2];
    assert!(load::Summary::new(&plan, &plan.workspaces[0], &many).exceeds_rate);
}

/// Guards against bounds of a class that are not applied, or that count from the real start.
#[test]
fn attainment_follows_the_class() {
    let plan = plan(LOAD);
    let whole = sample(0, 1, 1, load::Ending::Whole);
    assert!(whole.attains(&plan));
    let seconds = time::Duration::from_secs;
    let late = load::Sample {
        first: Some(time::Duration::from_millis(501)),
        last: Some(time::Duration::from_millis(501)),
        ..whole.clone()
    };
    assert!(!late.attains(&plan));
    let slow = load::Sample {
        last: Some(time::Duration::from_millis(100 + 9 * 49)),
        ..whole.clone()
    };
    assert!(!slow.attains(&plan));
    for (class, bound) in [(load::Class::Short, 2), (load::Class::Batch, 60)] {
        let within = load::Sample {
            class,
            end: seconds(bound),
            ..whole.clone()
        };
        assert!(within.attains(&plan));
        let beyond = load::Sample {
            end: seconds(bound) + time::Duration::from_millis(1),
            ..within
        };
        assert!(!beyond.attains(&plan));
    }
}
