//! Random numbers.

use std::sync::atomic::{AtomicU64, Ordering};

static STATE: AtomicU64 = AtomicU64::new(0);

/// Sets the seed.
pub fn seed(seed: u64) {
    STATE.store(seed, Ordering::Relaxed);
}

fn next() -> u64 {
    let state = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns a number in a range.
pub fn between(range: std::ops::Range<u64>) -> u64 {
    range.start + next() % (range.end - range.start)
}
