use std::collections;
use std::time;

use super::bucket;
use super::caller;
use super::collector;
use super::observe;
use super::plan;
use super::sample;
use super::workspace;

/// The result of a run.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Report {
    /// The time until the last request had ended, in seconds.
    pub elapsed_s: f64,
    /// All workspaces together.
    pub total: Summary,
    /// The workspaces.
    pub workspaces: Vec<Summary>,
    /// The lowest attainment within the rate over the highest.
    pub worst_to_best: Option<f64>,
    /// The number of accelerators.
    pub accelerators: Option<u32>,
    /// The attained requests a second per accelerator.
    pub attained_per_accelerator: Option<f64>,
    /// The time from the intended to the real start of requests. A high value says that the load tool was too slow.
    pub lateness_ms: Quantiles,
    /// The repetitions that were sent to another entry host.
    pub repeated: u64,
    /// The repetitions that were refused as `duplicate_request`.
    pub repeated_refused: u64,
    /// What the stand-ins counted.
    pub observed: observe::Observed,
    /// The course of the run.
    pub seconds: Vec<Second>,
}

/// The requests of a workspace.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize)]
pub struct Summary {
    /// The name.
    pub name: String,
    /// The requests sent.
    pub sent: u64,
    /// The requests that attained what their class promises.
    pub attained: u64,
    /// The attained part of the sent requests.
    pub attainment: f64,
    /// The attained part of the requests that were not refused beyond the rate.
    pub attainment_within_rate: f64,
    /// The sent and attained requests by class.
    pub classes: collections::BTreeMap<workspace::Class, Attained>,
    /// The refused requests by code.
    pub refused: collections::BTreeMap<String, u64>,
    /// The `rate_limited` requests that were within the rate.
    pub refused_within_rate: u64,
    /// Those of them that started in the time to warm up.
    pub refused_within_rate_warming_up: u64,
    /// The cut answers.
    pub cut: u64,
    /// The wrong answers.
    pub wrong: u64,
    /// The tokens that were certainly used.
    pub tokens_admitted: f64,
    /// The rate times the time of admissions plus the burst, without a limit none.
    pub tokens_allowed: Option<f64>,
    /// Whether more tokens were admitted than allowed.
    pub exceeds_rate: bool,
    /// The time to the first token.
    pub first_token_ms: Quantiles,
    /// The time between two tokens.
    pub gap_ms: Quantiles,
}

/// The requests of a class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Attained {
    /// The requests sent.
    pub sent: u64,
    /// The requests that attained what the class promises.
    pub attained: u64,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// The requests whose intended start was in one second of the run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize)]
pub struct Second {
    /// The attained requests by workspace.
    pub attained: Vec<u64>,
    /// The refused requests.
    pub refused: u64,
    /// The 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms: Option<f64>,
}

impl Quantiles {
    fn new(histogram: &collector::Histogram) -> Self {
        let value = |part| bucket::as_float(histogram.value_at_quantile(part)) / 1_000.0;
        Self {
            p50: value(0.5),
            p95: value(0.95),
            p99: value(0.99),
        }
    }
}

impl Report {
    pub(super) fn new(
        plan: &plan::Plan,
        collector: &collector::Collector,
        observed: observe::Observed,
        elapsed: time::Duration,
    ) -> Self {
        let mut samples: Vec<_> = collector.samples.iter().collect();
        samples.sort_by_key(|sample| sample.at);
        let each = plan.workspaces.iter().zip(&collector.times).enumerate();
        let workspaces = each.map(|(index, (workspace, times))| {
            let own: Vec<_> = samples
                .iter()
                .copied()
                .filter(|sample| sample.workspace == index)
                .collect();
            Summary::new(plan, workspace, &own).with_times(times)
        });
        let workspaces: Vec<_> = workspaces.collect();
        let mut times = collector::Times::new();
        collector.times.iter().for_each(|other| times.add(other));
        let total = Summary::total(&workspaces).with_times(&times);
        let rated = workspaces.iter().filter(|w| w.sent > 0);
        let rated: Vec<_> = rated.map(|w| w.attainment_within_rate).collect();
        let best = rated.iter().copied().fold(0.0, f64::max);
        let worst = rated.iter().copied().fold(f64::INFINITY, f64::min);
        let accelerators = plan.accelerators();
        let seconds = plan.real(plan.duration_s).as_secs_f64();
        let per_second = bucket::as_float(total.attained) / seconds;
        Self {
            elapsed_s: elapsed.as_secs_f64(),
            worst_to_best: (best > 0.0).then_some(worst / best),
            accelerators,
            attained_per_accelerator: accelerators.map(|count| per_second / f64::from(count)),
            lateness_ms: Quantiles::new(&collector.lateness),
            repeated: collector.repeated.len() as u64,
            repeated_refused: duplicates(&collector.repeated),
            observed,
            seconds: course(plan, &samples),
            total,
            workspaces,
        }
    }
}

impl Summary {
    /// Returns the summary of a workspace's requests in the order of their intended starts, without the histograms.
    pub fn new(
        plan: &plan::Plan,
        workspace: &workspace::Workspace,
        samples: &[&sample::Sample],
    ) -> Self {
        let mut summary = Self {
            name: workspace.name.clone(),
            ..Self::default()
        };
        let has_limit = workspace.tokens_per_second > 0.0;
        let mut bucket = bucket::Bucket::new(workspace.tokens_per_second, workspace.burst_tokens);
        let warm = time::Duration::from_secs_f64(plan.warm_up_s);
        let mut beyond = 0;
        for sample in samples {
            // Without a limit in the file, no refusal can be justified.
            let is_within = bucket.admits(sample) || !has_limit;
            summary.count(sample, sample.attains(plan));
            if sample.ending.is_over_rate() {
                let within = u64::from(is_within);
                summary.refused_within_rate += within;
                summary.refused_within_rate_warming_up += within * u64::from(sample.at < warm);
                beyond += 1 - within;
            }
        }
        summary.attainment = part(summary.attained, summary.sent);
        summary.attainment_within_rate = part(summary.attained, summary.sent - beyond);
        summary.tokens_admitted = caller::used(samples.iter().copied());
        if has_limit {
            // Admission comes before the head of the answer, so this is the longest time that the rate had.
            let heads = samples.iter().filter(|sample| sample.used > 0);
            let time = heads.filter_map(|sample| sample.head).max();
            let time = time.unwrap_or_default().as_secs_f64();
            let allowed = workspace.tokens_per_second * time + workspace.burst_tokens;
            summary.tokens_allowed = Some(allowed);
            summary.exceeds_rate = summary.tokens_admitted > allowed;
        }
        summary
    }

    fn count(&mut self, sample: &sample::Sample, attained: bool) {
        self.sent += 1;
        self.attained += u64::from(attained);
        let class = self.classes.entry(sample.class).or_default();
        class.sent += 1;
        class.attained += u64::from(attained);
        match &sample.ending {
            sample::Ending::Whole => {}
            sample::Ending::Wrong => self.wrong += 1,
            sample::Ending::Cut => self.cut += 1,
            sample::Ending::Refused { code, .. } => {
                *self.refused.entry(code.clone()).or_default() += 1;
            }
        }
    }

    fn total(workspaces: &[Self]) -> Self {
        let mut total = Self {
            name: "total".to_owned(),
            ..Self::default()
        };
        let mut within = 0.0;
        for summary in workspaces {
            total.sent += summary.sent;
            total.attained += summary.attained;
            for (class, counts) in &summary.classes {
                let class = total.classes.entry(*class).or_default();
                class.sent += counts.sent;
                class.attained += counts.attained;
            }
            for (code, count) in &summary.refused {
                *total.refused.entry(code.clone()).or_default() += count;
            }
            total.refused_within_rate += summary.refused_within_rate;
            total.refused_within_rate_warming_up += summary.refused_within_rate_warming_up;
            total.cut += summary.cut;
            total.wrong += summary.wrong;
            total.tokens_admitted += summary.tokens_admitted;
            total.exceeds_rate |= summary.exceeds_rate;
            if summary.attained > 0 {
                within += bucket::as_float(summary.attained) / summary.attainment_within_rate;
            } else {
                within += bucket::as_float(summary.sent);
            }
        }
        total.attainment = part(total.attained, total.sent);
        total.attainment_within_rate = bucket::as_float(total.attained) / within.max(1.0);
        total
    }

    fn with_times(mut self, times: &collector::Times) -> Self {
        self.first_token_ms = Quantiles::new(&times.first);
        self.gap_ms = Quantiles::new(&times.gap);
        self
    }
}

fn duplicates(endings: &[sample::Ending]) -> u64 {
    let refused = endings.iter().filter(|ending| match ending {
        sample::Ending::Refused { code, .. } => code == "duplicate_request",
        _ => false,
    });
    refused.count() as u64
}

fn part(count: u64, of: u64) -> f64 {
    bucket::as_float(count) / bucket::as_float(of.max(1))
}

fn course(plan: &plan::Plan, samples: &[&sample::Sample]) -> Vec<Second> {
    let mut seconds = Vec::<Second>::new();
    let mut firsts = Vec::<Vec<time::Duration>>::new();
    for sample in samples {
        let second = usize::try_from(sample.at.as_secs()).unwrap_or(usize::MAX);
        while seconds.len() <= second {
            seconds.push(Second {
                attained: vec![0; plan.workspaces.len()],
                ..Second::default()
            });
            firsts.push(Vec::new());
        }
        seconds[second].attained[sample.workspace] += u64::from(sample.attains(plan));
        let is_refused = matches!(sample.ending, sample::Ending::Refused { .. });
        seconds[second].refused += u64::from(is_refused);
        firsts[second].extend(sample.first_token());
    }
    for (second, mut firsts) in seconds.iter_mut().zip(firsts) {
        firsts.sort();
        // The nearest rank: the value that 95 in 100 do not exceed.
        let rank = (firsts.len() * 95).div_ceil(100);
        let first = rank.checked_sub(1).map(|index| firsts[index]);
        second.first_token_p95_ms = first.map(|first| first.as_secs_f64() * 1_000.0);
    }
    seconds
}
