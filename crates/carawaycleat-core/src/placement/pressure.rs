/// Returns the load pressure on an upstream: the tokens a second that are delayed or lost under `load`.
///
/// Up to the capacity it grows with the square of the load, so that equal loads have the lowest sum. Above the capacity
/// each further token is lost.
pub(super) fn pressure(load: f64, capacity: f64) -> f64 {
    if load <= capacity {
        load * load / (2.0 * capacity)
    } else {
        load - capacity / 2.0
    }
}

/// Returns the derivative of [`pressure`]: the fraction of one more token that is delayed or lost.
pub(super) fn marginal(load: f64, capacity: f64) -> f64 {
    (load / capacity).clamp(0.0, 1.0)
}
