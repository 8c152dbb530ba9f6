//! Keys, routes and the age of the configuration.

use carawaycleat_core::key;
use carawaycleat_core::relay;

use crate::relay_fake;

fn harness() -> relay_fake::Harness {
    let mut harness = relay_fake::Harness::new();
    harness.register(relay_fake::registration("one", "plain", &[]));
    harness
}

/// Guards against an arbitrary choice among several keys.
#[test]
fn two_keys_are_refused() {
    let mut harness = harness();
    let mut request = relay_fake::request("/read/1");
    request.credential = relay::Credential::Ambiguous;
    let id = harness.arrive(request);
    assert_eq!(harness.refusal(id).status(), 400);
}

/// Guards against requests without a key or with an unknown one.
#[test]
fn missing_and_unknown_keys_are_refused() {
    let mut harness = harness();
    let unknown = relay::Credential::Key(key::Digest::of("other"));
    for credential in [relay::Credential::Absent, unknown] {
        let mut request = relay_fake::request("/read/1");
        request.credential = credential;
        let id = harness.arrive(request);
        assert_eq!(harness.refusal(id).status(), 401);
    }
}

/// Guards against a withdrawn key that still works at a host without access to the store.
#[test]
fn requests_with_a_key_are_refused_under_an_old_configuration() {
    let mut harness = harness();
    harness.now = harness.now + relay_fake::millis(3_300);
    let id = harness.arrive(relay_fake::request("/read/1"));
    assert!(harness.is_sent(id));
    harness.now = harness.now + relay_fake::millis(1_000);
    let id = harness.arrive(relay_fake::request("/read/1"));
    let refusal = harness.refusal(id);
    assert_eq!(refusal.reason, relay::Reason::ConfigurationStale);
    assert_eq!(refusal.status(), 503);
}

/// Guards against a final denial by a host that may not have the latest configuration.
#[test]
fn old_configuration_denies_nothing() {
    let mut harness = harness();
    harness.now = harness.now + relay_fake::millis(2_000);
    let mut request = relay_fake::request("/new/1");
    request.credential = relay::Credential::Absent;
    let id = harness.arrive(request);
    assert_eq!(harness.refusal(id).status(), 503);
}

/// Guards against a retryable refusal for an unknown route.
#[test]
fn unknown_route_is_denied() {
    let mut harness = harness();
    let id = harness.arrive(relay_fake::request("/new/1"));
    assert_eq!(harness.refusal(id).status(), 404);
}

/// Guards against a configuration that is replaced by an older one.
#[test]
fn older_version_is_ignored() {
    let mut harness = harness();
    let newer = relay::Config::new(
        9,
        Vec::new(),
        std::collections::BTreeMap::new(),
        Vec::new(),
        None,
    );
    harness.feed(relay::Event::Configured(Box::new(newer)));
    harness.feed(relay::Event::Configured(Box::new(relay_fake::config(
        5, 1_000,
    ))));
    let id = harness.arrive(relay_fake::request("/read/1"));
    assert_eq!(harness.refusal(id).status(), 404);
}

/// Guards against a host that serves before it has a configuration.
#[test]
fn host_without_a_configuration_is_not_ready() {
    let mut reducer = relay::Reducer::new(
        relay_fake::name("host-1"),
        relay_fake::name("zone-a"),
        relay::Options::default(),
    );
    let now = carawaycleat_core::clock::Instant::from_millis(1_000);
    assert!(!reducer.is_ready(now));
    let request = Box::new(relay_fake::request("/read/1"));
    let effects = reducer.step(now, relay::Event::Arrived(1, request));
    let refused = effects.iter().any(|effect| {
        matches!(effect, relay::Effect::Command(1, relay::Command::Refuse(refusal)) if refusal.status() == 503)
    });
    assert!(refused);
}

/// Guards against a prefix that matches requests of a longer one, and against hosts that are told apart by case or
/// port.
#[test]
fn longest_prefix_and_host_select_the_route() {
    let mut long = relay_fake::route("/read/deep/", relay::Kind::Idempotent, "plain");
    long.name = relay_fake::name("long");
    let short = relay_fake::route("/read/", relay::Kind::Idempotent, "plain");
    let catalog = relay::Config::new(
        1,
        vec![short, long],
        std::collections::BTreeMap::new(),
        Vec::new(),
        None,
    );
    let name = |host, path| catalog.route(host, path).map(|route| route.name.as_str());
    assert_eq!(name("shop.example", "/read/deep/1"), Some("long"));
    assert_eq!(name("SHOP.example:80", "/read/deep"), Some("route"));
    assert_eq!(name("shop.example", "/read"), None);
    assert_eq!(name("other.example", "/read/1"), None);
}

/// Guards against weights that send all requests of a route to one service.
#[test]
fn weights_divide_the_requests() {
    let mut route = relay_fake::route("/read/", relay::Kind::Idempotent, "plain");
    route.targets = [("old", 90), ("new", 10)]
        .map(|(service, weight)| relay::Target {
            service: relay_fake::name(service),
            weight,
        })
        .to_vec();
    let new = (0..1_000)
        .filter(|seed| route.select_service(*seed).expect("a target").as_str() == "new")
        .count();
    assert_eq!(new, 100);
}
