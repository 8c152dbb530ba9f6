//! Inference of the requests and the parts of prompts that crash upstreams.

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

fn name(text: &str) -> name::Name {
    name::Name::parse(text).expect("a name")
}

/// Returns a crash at which a request with each prompt had begun. Each request is another one.
fn crash(upstream: &str, prompts: &[&str]) -> quarantine::Crash {
    let suspects = prompts.iter().enumerate();
    let suspects = suspects.map(|(index, prompt)| quarantine::Suspect {
        parts: parts(prompt),
        fingerprint: name(&format!("{upstream}-{index}")),
        has_begun: true,
    });
    quarantine::Crash {
        upstream: name(upstream),
        started: 1,
        suspects: suspects.collect(),
    }
}

/// Returns a crash at which requests with these fingerprints were in progress, which share a part of their prompts.
fn crash_of(upstream: &str, fingerprints: &[&str], has_begun: bool) -> quarantine::Crash {
    let suspects = fingerprints.iter().map(|fingerprint| quarantine::Suspect {
        parts: parts("common"),
        fingerprint: name(fingerprint),
        has_begun,
    });
    quarantine::Crash {
        upstream: name(upstream),
        started: 1,
        suspects: suspects.collect(),
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

/// Returns whether a new request with this prompt is refused.
fn is_quarantined(registry: &quarantine::Registry, prompt: &str) -> bool {
    let end = registry.quarantined_until(at(0), &parts(prompt), &name("new"));
    end.is_some()
}

/// Returns whether a request with this fingerprint, and a part that others share, is refused.
fn is_request_quarantined(registry: &quarantine::Registry, fingerprint: &str) -> bool {
    let end = registry.quarantined_until(at(0), &parts("common"), &name(fingerprint));
    end.is_some()
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
        suspects: crash("again", &["fatal"]).suspects,
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
    registry.record_progress(at(0), &parts("common"), &name("sound"));
    for (index, upstream) in ["engine-1", "engine-2", "engine-3"].iter().enumerate() {
        let now = at(500 * index as u64);
        registry.record_crash(now, crash(upstream, &["common", "rare"]));
    }
    assert!(!is_quarantined(&registry, "common"));
    assert!(is_quarantined(&registry, "rare"));
    let released = registry.record_progress(at(2_000), &parts("common,rare"), &name("other"));
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
        .quarantined_until(at(0), &parts("fatal"), &name("new"))
        .expect("quarantined");
    assert_eq!(end.since(at(0)), time::Duration::from_secs(600));
    let later = registry.quarantined_until(end, &parts("fatal"), &name("new"));
    assert!(later.is_none());
}

/// Guards against memory that grows with the number of crashes.
#[test]
fn number_of_crashes_is_bounded() {
    let mut registry = quarantine::Registry::default();
    for index in 0..1_000 {
        registry.record_crash(at(0), crash(&format!("engine-{index}"), &["fatal"]));
    }
    let is_remembered = |index: usize| {
        let suspect = quarantine::Suspect {
            parts: Vec::new(),
            fingerprint: name(&format!("engine-{index}-0")),
            has_begun: true,
        };
        registry.is_suspect(at(0), &suspect)
    };
    assert!(!is_remembered(743));
    assert!((744..1_000).all(is_remembered));
}

/// Guards against a request that comes back and crashes one upstream after another although the parts of its prompt are
/// harmless, and against refusals of the sound requests that share them.
#[test]
fn request_that_begins_at_two_crashes_is_quarantined() {
    let mut registry = quarantine::Registry::default();
    registry.record_crash(at(0), crash_of("engine-1", &["sound", "fatal"], true));
    assert!(!is_request_quarantined(&registry, "fatal"), "may be chance");
    let added = registry.record_crash(at(100), crash_of("engine-2", &["fatal", "other"], true));
    assert_eq!(added, parts("fatal"));
    assert!(is_request_quarantined(&registry, "fatal"));
    for sound in ["sound", "other", "new"] {
        assert!(!is_request_quarantined(&registry, sound), "{sound}");
    }
    registry.record_crash(at(200), crash_of("engine-3", &["fatal"], true));
    registry.record_crash(at(300), crash_of("engine-4", &["fatal", "third"], true));
    assert!(
        !is_quarantined(&registry, "common"),
        "one request explains all"
    );
}

/// Guards against a quarantine of requests that waited at upstreams which crashed for another reason, and against a
/// request that crashes upstreams before its response begins.
#[test]
fn request_without_a_response_is_quarantined_after_three_crashes() {
    let mut registry = quarantine::Registry::default();
    registry.record_crash(at(0), crash_of("engine-1", &["fatal"], false));
    registry.record_crash(at(100), crash_of("engine-2", &["fatal"], false));
    assert!(!is_request_quarantined(&registry, "fatal"));
    registry.record_crash(at(200), crash_of("engine-3", &["fatal"], true));
    assert!(is_request_quarantined(&registry, "fatal"));
}

/// Guards against a quarantine of a request that was in progress at several crashes by chance, or is served again.
#[test]
fn progress_of_a_request_shows_that_it_is_harmless() {
    let mut registry = quarantine::Registry::default();
    registry.record_progress(at(0), &[], &name("popular"));
    for (index, upstream) in ["engine-1", "engine-2", "engine-3"].iter().enumerate() {
        let now = at(500 * index as u64);
        registry.record_crash(now, crash_of(upstream, &["popular", "rare"], true));
    }
    assert!(!is_request_quarantined(&registry, "popular"));
    assert!(is_request_quarantined(&registry, "rare"));
    let released = registry.record_progress(at(2_000), &[], &name("rare"));
    assert_eq!(released, parts("rare"));
    assert!(!is_request_quarantined(&registry, "rare"));
}

/// Guards against a part that goes on crashing upstreams because each request with it is retried once, and so explains its
/// own two crashes.
#[test]
fn part_of_requests_that_crash_twice_each_is_quarantined() {
    let mut registry = quarantine::Registry::default();
    for request in ["one", "two", "three"] {
        assert!(!is_quarantined(&registry, "common"));
        for attempt in 1..3 {
            let upstream = format!("{request}-{attempt}");
            registry.record_crash(at(0), crash_of(&upstream, &[request], true));
        }
    }
    assert!(is_quarantined(&registry, "common"));
}

/// Guards against retries of sound requests that are refused because they share a part with a request which is known to
/// be the cause of a crash, and against retries that crash a further upstream.
#[test]
fn suspects_are_requests_of_unexplained_crashes() {
    let suspect = |fingerprint: &str, has_begun| quarantine::Suspect {
        parts: parts("common"),
        fingerprint: name(fingerprint),
        has_begun,
    };
    let mut registry = quarantine::Registry::default();
    registry.record_crash(at(0), crash_of("engine-1", &["fatal"], true));
    assert!(registry.is_suspect(at(0), &suspect("other", true)));
    assert!(!registry.is_suspect(at(0), &suspect("other", false)));
    assert!(registry.is_suspect(at(0), &suspect("fatal", false)));
    registry.record_crash(at(0), crash_of("engine-2", &["fatal"], true));
    assert!(!registry.is_suspect(at(0), &suspect("other", true)));
    assert!(registry.is_suspect(at(0), &suspect("fatal", true)));
}
