//! Inference of the parts of prompts that crash upstreams.

use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::name;
use carawaycleat_core::quarantine;

fn parts(text: &str) -> Vec<name::Name> {
    let parts = text.split(',');
    parts
        .map(|part| name::Name::parse(part).expect("a name"))
        .collect()
}

fn crash(upstream: &str, prompts: &[&str]) -> quarantine::Crash {
    quarantine::Crash {
        upstream: name::Name::parse(upstream).expect("a name"),
        started: 1,
        prompts: prompts.iter().map(|prompt| parts(prompt)).collect(),
    }
}

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(100_000 + millis)
}

/// Returns a registry with a crash for each prompt, each of another upstream.
fn registry(prompts: &[&str]) -> quarantine::Registry {
    let mut registry = quarantine::Registry::default();
    for (index, prompt) in prompts.iter().enumerate() {
        registry.record_crash(at(0), crash(&format!("engine-{index}"), &[prompt]));
    }
    registry
}

fn is_quarantined(registry: &quarantine::Registry, prompt: &str) -> bool {
    registry.quarantined_until(at(0), &parts(prompt)).is_some()
}

/// Guards against a part that goes on crashing upstreams, and against refusals of prompts that share only harmless
/// parts with it.
#[test]
fn part_of_three_crashes_is_quarantined() {
    let registry = registry(&["a,fatal", "a,b,fatal", "c,fatal"]);
    assert!(is_quarantined(&registry, "x,fatal,y"));
    for prompt in ["a", "a,b", "c"] {
        assert!(!is_quarantined(&registry, prompt), "{prompt}");
    }
}

/// Guards against a quarantine because of crashes with another cause, which cut a request by chance.
#[test]
fn part_of_two_crashes_is_not_quarantined() {
    assert!(!is_quarantined(&registry(&["a,b", "a,b"]), "a,b"));
}

/// Guards against counting a crash once for each host that observed it.
#[test]
fn observations_of_one_crash_count_once() {
    let mut registry = quarantine::Registry::default();
    for _ in 0..4 {
        registry.record_crash(at(0), crash("engine-1", &["fatal"]));
    }
    assert!(!is_quarantined(&registry, "fatal"));
    let restarted = quarantine::Crash {
        started: 2,
        ..crash("engine-1", &["fatal"])
    };
    registry.record_crash(at(0), restarted);
    let added = registry.record_crash(at(0), crash("engine-2", &["fatal"]));
    assert_eq!(added, parts("fatal"));
}

/// Guards against a quarantine of the popular beginning of prompts: requests with it make progress all the time.
#[test]
fn progress_before_or_after_a_crash_shows_that_a_part_is_harmless() {
    let mut registry = quarantine::Registry::default();
    registry.record_progress(at(0), &parts("common"));
    for (index, upstream) in ["engine-1", "engine-2", "engine-3"].iter().enumerate() {
        let now = at(500 * index as u64);
        registry.record_crash(now, crash(upstream, &["common", "rare"]));
    }
    assert!(!is_quarantined(&registry, "common"));
    assert!(is_quarantined(&registry, "rare"));
    let released = registry.record_progress(at(2_000), &parts("common,rare"));
    assert_eq!(released, parts("rare"));
    assert!(!is_quarantined(&registry, "rare"));
}

/// Guards against a quarantine of a part that only accompanies the one that crashes upstreams.
#[test]
fn part_that_explains_the_most_crashes_is_quarantined_alone() {
    let registry = registry(&["fatal,b", "fatal,b", "fatal,b", "fatal,c", "c,fatal"]);
    assert!(is_quarantined(&registry, "fatal"));
    assert!(!is_quarantined(&registry, "b"));
    assert!(!is_quarantined(&registry, "c"));
}

/// Guards against a quarantine of a common beginning when its requests and those that crash upstreams cannot be told
/// apart yet: fewer prompts share a later part.
#[test]
fn later_part_is_quarantined_among_equals() {
    let registry = registry(&["a,b,fatal", "a,b,fatal", "a,b,fatal"]);
    assert!(is_quarantined(&registry, "fatal"));
    assert!(!is_quarantined(&registry, "a,b"));
}

/// Guards against a wrong choice among equals that is kept although later crashes show another part to be the cause.
#[test]
fn later_crashes_correct_the_choice() {
    let mut registry = registry(&["fatal,b", "fatal,b", "fatal,b"]);
    assert!(is_quarantined(&registry, "b"));
    registry.record_crash(at(0), crash("engine-9", &["fatal,c"]));
    assert!(is_quarantined(&registry, "fatal"));
    assert!(!is_quarantined(&registry, "b"));
}

/// Guards against one part that hides a second one.
#[test]
fn several_parts_are_quarantined() {
    let registry = registry(&["a,one", "b,one", "c,one", "d,two", "e,two", "f,two"]);
    assert!(is_quarantined(&registry, "one"));
    assert!(is_quarantined(&registry, "two"));
}

/// Guards against a quarantine without end: the upstreams may have been repaired.
#[test]
fn quarantine_ends() {
    let registry = registry(&["fatal", "fatal", "fatal"]);
    let end = registry
        .quarantined_until(at(0), &parts("fatal"))
        .expect("quarantined");
    assert_eq!(end.since(at(0)), time::Duration::from_secs(600));
    assert!(registry.quarantined_until(end, &parts("fatal")).is_none());
}

/// Guards against memory that grows with the number of crashes.
#[test]
fn number_of_crashes_is_bounded() {
    let mut registry = quarantine::Registry::default();
    for index in 0..1_000 {
        registry.record_crash(at(0), crash(&format!("engine-{index}"), &["fatal"]));
    }
    assert_eq!(registry.crash_count(at(0), &parts("fatal")), 256);
}
