use std::sync;
use std::time;

use super::collector;
use super::observe;
use super::plan;
use super::sample;
use crate::handle;

const PERIOD: time::Duration = time::Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    attained: usize,
    refused: usize,
    cut: usize,
    wrong: usize,
}

/// Passes a line on the run to `print` each second.
pub(super) async fn report(
    plan: &plan::Plan,
    collector: &sync::Mutex<collector::Collector>,
    print: impl Fn(&str),
) {
    let mut counts = Counts::default();
    let mut known = 0;
    for second in 1.. {
        handle::pause(PERIOD).await;
        let line = {
            let collector = observe::lock(collector);
            for sample in &collector.samples[known..] {
                counts.attained += usize::from(sample.attains(plan));
                match sample.ending {
                    sample::Ending::Whole => {}
                    sample::Ending::Wrong => counts.wrong += 1,
                    sample::Ending::Cut => counts.cut += 1,
                    sample::Ending::Refused { .. } => counts.refused += 1,
                }
            }
            known = collector.samples.len();
            format!(
                "{second} s: {} started, {known} ended, {} attained, {} refused, {} cut, {} wrong",
                collector.started, counts.attained, counts.refused, counts.cut, counts.wrong,
            )
        };
        print(&line);
    }
}
