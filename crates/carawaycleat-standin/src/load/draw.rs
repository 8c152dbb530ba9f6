//! Random choices.

use super::plan;
use super::workspace;

/// Returns a random number generator for one purpose of a run.
pub(super) fn generator(seed: u64, purpose: u64) -> fastrand::Rng {
    // A generator's first numbers resemble those of the neighbouring seed, hence the detour over a drawn seed.
    let mut first = fastrand::Rng::with_seed(seed ^ purpose.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    first.u64(..);
    first.fork()
}

/// Returns the time until the next event of a Poisson process, in seconds.
pub(super) fn gap(random: &mut fastrand::Rng, rate: f64) -> f64 {
    -(1.0 - random.f64()).ln() / rate
}

/// Returns an index with a probability in proportion to its weight; the first when all weights are 0.
pub(super) fn index(random: &mut fastrand::Rng, weights: &[f64]) -> usize {
    let mut left = random.f64() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights
        .iter()
        .rposition(|weight| *weight > 0.0)
        .unwrap_or(0)
}

/// Returns a length in tokens.
pub(super) fn length(random: &mut fastrand::Rng, length: &workspace::Length) -> u32 {
    let part = 1.0 + length.spread * (2.0 * random.f64() - 1.0);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "lengths are checked to be from 1 to 65536"
    )]
    let tokens = (length.mean * part).round().max(1.0) as u32;
    tokens
}

/// Returns the weight of place `place`, counted from 0.
#[expect(clippy::cast_precision_loss, reason = "lists are short")]
pub(super) fn zipf(place: usize, exponent: f64) -> f64 {
    ((place + 1) as f64).powf(-exponent)
}

/// Returns the weights of `models` at `seconds` of the file.
pub(super) fn weights(plan: &plan::Plan, models: &[usize], seconds: f64) -> Vec<f64> {
    let weight = |index: &usize| {
        let model = &plan.models[*index];
        let base = model
            .weight
            .unwrap_or_else(|| zipf(*index, plan.popularity.zipf));
        let steps = plan.demand.iter();
        let steps = steps.filter(|d| d.models.iter().any(|name| *name.get_ref() == model.name));
        steps.fold(base, |weight, step| weight * progress(step, seconds))
    };
    models.iter().map(weight).collect()
}

/// Returns the factor of a step, which grows by equal ratios in equal times.
fn progress(step: &plan::Demand, seconds: f64) -> f64 {
    let since = seconds - step.at_s;
    if since < 0.0 {
        1.0
    } else if since >= step.over_s {
        step.factor
    } else {
        step.factor.powf(since / step.over_s)
    }
}
