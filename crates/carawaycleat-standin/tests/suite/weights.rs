use carawaycleat_core::clock;
use carawaycleat_standin::weights;

/// Guards against a store that loads faster than its site's rate when more loads are in flight.
#[yare::parameterized(
    savannah = { weights::Site::SAVANNAH },
    association = { weights::Site::ASSOCIATION },
)]
fn a_busy_store_keeps_the_rate(site: weights::Site) {
    let mut state = weights::State::new(site);
    let count = site.loads_in_flight * 3;
    for _ in 0..count {
        state.fetch(clock::Instant::default(), site.load_bytes);
    }
    let mut done = 0;
    let mut last = clock::Instant::default();
    while let Some(next) = state.next() {
        last = next;
        done += state.advance(next).len();
    }
    assert_eq!(done, count);
    let rate = count as f64 / last.since(clock::Instant::default()).as_secs_f64();
    let error = (rate / site.loads_per_second - 1.0).abs();
    assert!(error < 0.01, "{rate} loads a second");
}

/// Guards against adapters that wait behind models, or that are outside of their published range.
#[test]
fn an_adapter_takes_its_own_time() {
    let site = weights::Site::SAVANNAH;
    let mut state = weights::State::new(site);
    for _ in 0..100 {
        state.fetch(clock::Instant::default(), site.load_bytes);
    }
    let ticket = state.fetch(clock::Instant::default(), site.adapter_bytes / 2);
    let next = state.next().expect("a load in flight");
    assert_eq!(next, clock::Instant::from_micros(7_500));
    assert_eq!(state.advance(next), [ticket]);
}

/// Guards against loads that speed up only at their end when others finish.
#[test]
fn loads_beyond_the_limit_slow_all_in_proportion() {
    let site = weights::Site {
        loads_per_second: 1.0,
        loads_in_flight: 1,
        ..weights::Site::SAVANNAH
    };
    let mut state = weights::State::new(site);
    let first = state.fetch(clock::Instant::default(), site.load_bytes);
    let half = clock::Instant::from_millis(500);
    let second = state.fetch(half, site.load_bytes);
    // Half of the first is left at half of the speed.
    assert_eq!(state.next(), Some(clock::Instant::from_millis(1_500)));
    assert_eq!(state.advance(clock::Instant::from_millis(1_500)), [first]);
    assert_eq!(state.advance(clock::Instant::from_millis(2_000)), [second]);
}
