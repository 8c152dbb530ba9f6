/// Returns the tokens a second that are delayed or lost on an upstream under `load`.
///
/// Below the capacity it grows with the square, so that equal loads are best; above, each further token is lost.
pub(super) fn strain(load: f64, capacity: f64) -> f64 {
    if load <= capacity {
        load * load / (2.0 * capacity)
    } else {
        load - capacity / 2.0
    }
}

/// Returns the derivative of [`strain`]: the part of one more token that is delayed or lost.
pub(super) fn price(load: f64, capacity: f64) -> f64 {
    (load / capacity).clamp(0.0, 1.0)
}
