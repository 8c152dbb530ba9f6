//! Numbers of a load file that are checked where they are read, so that the error has their line.

use std::ops;

use serde::Deserialize as _;
use serde::de::Error as _;

// A run is planned in memory; these bounds keep it there and the arithmetic exact.
const MAX_SECONDS: f64 = 604_800.0;
const MAX_RATE: f64 = 1e9;

fn within<'de, D>(from: D, range: ops::RangeInclusive<f64>, allowed: &str) -> Result<f64, D::Error>
where
    D: serde::Deserializer<'de>,
{
    let number = f64::deserialize(from)?;
    if range.contains(&number) {
        Ok(number)
    } else {
        Err(D::Error::custom(format!(
            "found {number}; allowed: {allowed}"
        )))
    }
}

/// Reads a time of at most a week, in seconds.
pub(super) fn seconds<'de, D: serde::Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.0..=MAX_SECONDS, "a time from 0 to 604800 seconds")
}

/// Reads a time that is not zero, in seconds.
pub(super) fn period<'de, D: serde::Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(
        from,
        0.001..=MAX_SECONDS,
        "a time from 0.001 to 604800 seconds",
    )
}

/// Reads a rate or factor.
pub(super) fn rate<'de, D: serde::Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.0..=MAX_RATE, "a number from 0 to 1000000000")
}

/// Reads a factor that is not zero.
pub(super) fn factor<'de, D: serde::Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 1e-6..=1e6, "a number from 0.000001 to 1000000")
}

/// Reads a rate that may be absent.
pub(super) fn optional_rate<'de, D: serde::Deserializer<'de>>(
    from: D,
) -> Result<Option<f64>, D::Error> {
    rate(from).map(Some)
}

/// Reads a part of a whole.
pub(super) fn fraction<'de, D: serde::Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.0..=1.0, "a number from 0 to 1")
}

/// Reads the mean of a length in tokens.
pub(super) fn tokens<'de, D: serde::Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 1.0..=65_536.0, "a number of tokens from 1 to 65536")
}
