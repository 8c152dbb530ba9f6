use std::path;

use carawaycleat::manifest;
use carawaycleat_core::resource;

use crate::fake;

/// A resource of each kind.
pub(crate) const ALL: &str = r#"
[[model]]
name = "small"
version = "small-1"
group = "assistants"

[[adapter]]
name = "tone"
model = "small"
bytes = 1000

[[version]]
name = "small-1"
model = "small"
bytes = 16_000_000_000

[[workspace]]
name = "city"
weight = 3

[[key]]
name = "city-1"
workspace = "city"
digest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

[[rate]]
name = "city"
workspace = "city"
tokens_per_second = 1000
burst_tokens = 5000

[[route]]
name = "booking"
prefix = "/booking"
target = "service"
group = "bookings"
workspaces = ["city"]
non_idempotent = ["POST"]

[[upstream]]
name = "engine-1"
group = "assistants"
address = "127.0.0.1:8000"
side_address = "127.0.0.1:8083"
availability_zone = "zone-1"
memory_bytes = 80_000_000_000
fencing = "checked"
"#;

fn parse(text: &str) -> Result<Vec<manifest::Item>, Vec<manifest::Problem>> {
    manifest::parse(path::Path::new("test.toml"), text)
}

/// Guards against a kind without a reader, and against a resource that is written before those it references.
#[test]
fn all_kinds_are_read_in_the_order_of_references() {
    let path = fake::file("manifest-order", "all.toml", ALL);
    let items = manifest::load(&[path]).expect("a valid manifest");
    let ids: Vec<_> = items.iter().map(|item| item.id.to_string()).collect();
    let expected = [
        "workspace/city",
        "key/city-1",
        "rate/city",
        "version/small-1",
        "model/small",
        "adapter/tone",
        "upstream/engine-1",
        "route/booking",
    ];
    assert_eq!(ids, expected);
    assert!(items.iter().all(|item| item.resource.validate().is_ok()));
    assert!(manifest::undefined_references(&items).is_empty());
}

/// Guards against a default in a manifest that differs from the one in the JSON form of the resource.
#[test]
fn defaults_are_those_of_the_resources() {
    let text = "[[workspace]]\nname = \"w\"\n[[route]]\nname = \"r\"\nprefix = \"/\"\ntarget = \"models\"\n\
        [[upstream]]\nname = \"u\"\ngroup = \"g\"\naddress = \"127.0.0.1:1\"\navailability_zone = \"z\"\n";
    let items = parse(text).expect("a valid manifest");
    let expected = [
        r#"{"kind":"workspace"}"#,
        r#"{"kind":"route","prefix":"/","target":"models"}"#,
        r#"{"kind":"upstream","group":"g","address":"127.0.0.1:1","availability_zone":"z"}"#,
    ];
    for (item, json) in items.iter().zip(expected) {
        let resource: resource::Resource = serde_json::from_str(json).expect("a resource");
        assert_eq!(item.resource, resource);
    }
    assert_eq!(items.len(), expected.len());
}

/// Guards against a parser that stops at the first problem of a file or resource.
#[test]
fn all_problems_are_reported_with_their_lines() {
    let text = "[[workspace]]\nname = \"a b\"\nweight = 0\nwieght = 3\n\n[[rate]]\nname = \"r\"\nburst_tokens = \"many\"\n\
        [[gadget]]\nname = \"g\"\n";
    let problems = parse(text).expect_err("an invalid manifest");
    let found: Vec<_> = problems
        .iter()
        .map(|p| (p.problem.line, p.problem.key.as_str()))
        .collect();
    let expected = [
        (2, "workspace.name"),
        (3, "workspace.weight"),
        (4, "workspace.wieght"),
        (6, "rate.tokens_per_second"),
        (6, "rate.workspace"),
        (8, "rate.burst_tokens"),
        (9, "gadget"),
    ];
    assert_eq!(found, expected);
}

#[yare::parameterized(
    open_with_workspaces = { "[[route]]\nname=\"r\"\nprefix=\"/\"\ntarget=\"models\"\nopen=true\nworkspaces=[\"w\"]", "route.workspaces" },
    service_without_group = { "[[route]]\nname=\"r\"\nprefix=\"/\"\ntarget=\"service\"", "route.group" },
    prefix = { "[[route]]\nname=\"r\"\nprefix=\"x\"\ntarget=\"models\"", "route.prefix" },
    method = { "[[route]]\nname=\"r\"\nprefix=\"/\"\ntarget=\"models\"\nnon_idempotent=[\"post\"]", "route.non_idempotent" },
    timeout = { "[[route]]\nname=\"r\"\nprefix=\"/\"\ntarget=\"models\"\ntimeout_ms=0", "route.timeout_ms" },
    port = { "[[upstream]]\nname=\"u\"\ngroup=\"g\"\naddress=\"127.0.0.1:0\"\navailability_zone=\"z\"", "upstream.address" },
    bytes = { "[[version]]\nname=\"v\"\nmodel=\"m\"\nbytes=0", "version.bytes" },
    no_digest = { "[[key]]\nname=\"k\"\nworkspace=\"w\"", "key.digest" },
    no_secret_file = { "[[key]]\nname=\"k\"\nworkspace=\"w\"\nsecret_file=\"no-such-file\"", "key.secret_file" },
    not_an_array = { "[model]\nname=\"m\"", "model" },
)]
fn an_invalid_value_is_reported_once(text: &str, key: &str) {
    let problems = parse(text).expect_err("an invalid manifest");
    let keys: Vec<_> = problems.iter().map(|p| p.problem.key.as_str()).collect();
    assert_eq!(keys, [key], "{problems:?}");
}

/// Guards against a duplicate definition that silently replaces the first one.
#[test]
fn a_duplicate_definition_is_reported_with_both_locations() {
    let first = fake::file(
        "manifest-duplicate",
        "a.toml",
        "\n[[workspace]]\nname = \"w\"\n",
    );
    let second = fake::file(
        "manifest-duplicate",
        "b.toml",
        "[[workspace]]\nname = \"w\"\n",
    );
    let error = manifest::load(&[first, second])
        .expect_err("a duplicate")
        .to_string();
    assert!(error.contains("b.toml: line 1"), "{error}");
    assert!(error.contains("a.toml line 2"), "{error}");
}

/// Guards against a secret that is stored or sent in place of its digest, and against a digest that includes the line
/// ending.
#[yare::parameterized(
    plain = { "plain", "secret" },
    lf = { "line", "secret\n" },
    crlf = { "other-line", "secret\r\n" },
)]
fn a_secret_file_gives_the_digest(case: &str, content: &str) {
    let test = format!("manifest-secret-{case}");
    fake::file(&test, "key.secret", content);
    let path = fake::file(
        &test,
        "a.toml",
        "[[key]]\nname = \"k\"\nworkspace = \"w\"\nsecret_file = \"key.secret\"\n",
    );
    let items = manifest::load(&[path]).expect("a valid manifest");
    let resource::Resource::Key(key) = &items[0].resource else {
        panic!("not a key")
    };
    assert_eq!(
        key.digest,
        "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
    );
}

/// Guards against an error message that quotes a secret, even if the secret is given under a wrong key.
#[yare::parameterized(
    in_digest = { "in-digest", "digest = \"s3cret\"" },
    in_unknown_key = { "in-unknown-key", "secret = \"s3cret\"" },
    in_both = { "in-both", "digest = \"s3cret\"\nsecret_file = \"x\"" },
    in_a_file = { "in-a-file", "secret_file = \"two-lines\"" },
)]
fn a_secret_is_never_quoted(case: &str, field: &str) {
    let test = format!("manifest-quoted-{case}");
    fake::file(&test, "two-lines", "s3cret\ns3cret\n");
    let path = fake::file(
        &test,
        "a.toml",
        &format!("[[key]]\nname = \"k\"\nworkspace = \"w\"\n{field}\n"),
    );
    let error = manifest::load(&[path])
        .expect_err("an invalid key")
        .to_string();
    assert!(!error.contains("s3cret"), "{error}");
}
