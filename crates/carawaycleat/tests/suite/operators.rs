//! The operators' guide against the code.

use std::path;

use carawaycleat::metric;
use carawaycleat::settings;
use carawaycleat_core::memory;
use carawaycleat_core::outcome;
use carawaycleat_core::resource;

use crate::manifest;

const PAGE: &str = include_str!("../../../../docs/OPERATIONS.md");

/// Returns the text from a heading to the next one of the same or a higher level.
fn section(heading: &str) -> &'static str {
    let start = PAGE.find(&format!("\n{heading}\n"));
    let rest = &PAGE[start.unwrap_or_else(|| panic!("no heading `{heading}`")) + 1..];
    let level = heading.chars().take_while(|letter| *letter == '#').count();
    let ends = (2..=level).filter_map(|level| {
        rest[1..]
            .find(&format!("\n{} ", "#".repeat(level)))
            .map(|end| end + 1)
    });
    &rest[..ends.min().unwrap_or(rest.len())]
}

#[track_caller]
fn check<'a>(heading: &str, names: impl IntoIterator<Item = &'a str>) {
    let section = section(heading);
    let is_missing = |name: &&str| !section.contains(&format!("`{name}`"));
    let missing: Vec<_> = names.into_iter().filter(is_missing).collect();
    assert!(missing.is_empty(), "missing in `{heading}`: {missing:?}");
}

/// Returns the paths of all fields, such as `listen.callers`.
fn paths(value: &serde_json::Value) -> Vec<String> {
    let fields = value.as_object().expect("an object");
    let of = |(key, value): (&String, &serde_json::Value)| match value {
        serde_json::Value::Object(_) => paths(value)
            .into_iter()
            .map(|path| format!("{key}.{path}"))
            .collect(),
        _ => vec![key.clone()],
    };
    fields.iter().flat_map(of).collect()
}

/// Guards against a metric or label that an operator cannot look up.
#[test]
fn every_metric_is_documented() {
    let entry = metric::Entry::new().names();
    assert!(entry.len() > 10);
    check(
        "### Metrics of the entry host",
        entry.iter().map(String::as_str),
    );
    check(
        "### Metrics of the entry host",
        metric::Flow::ALL.iter().map(|flow| flow.as_str()),
    );
    check(
        "### Metrics of the entry host",
        metric::Decision::ALL.iter().map(|each| each.as_str()),
    );
    check(
        "### Metrics of the entry host",
        metric::Call::ALL.iter().map(|call| call.as_str()),
    );
    let side = metric::Side::new();
    let names = side.names();
    assert!(names.len() > 5);
    check(
        "### Metrics of the sidecar",
        names.iter().map(String::as_str),
    );
    check(
        "### Metrics of the sidecar",
        memory::Transition::ALL.iter().map(|each| each.as_str()),
    );
    check("### Metrics of the sidecar", memory::Change::KINDS);
    let text = side.render();
    let reasons = outcome::Reason::ALL.iter().map(|reason| reason.as_str());
    let given = reasons.filter(|reason| text.contains(&format!("reason=\"{reason}\"")));
    check("### Metrics of the sidecar", given);
}

/// Guards against a metric in the guide that no daemon has.
#[test]
fn every_documented_metric_exists() {
    let names = [metric::Entry::new().names(), metric::Side::new().names()].concat();
    let quoted = PAGE.split('`').skip(1).step_by(2);
    let unknown: Vec<_> = quoted
        .filter(|text| text.starts_with("carawaycleat_"))
        .filter(|text| !names.iter().any(|name| name == text))
        .collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}

/// Guards against a reason without its status and what to do.
#[test]
fn every_reason_is_documented() {
    let section = section("## Refusals and failures");
    for reason in outcome::Reason::ALL {
        let row = format!("\n| `{}` | {}", reason.as_str(), reason.status());
        assert!(section.contains(&row), "{row} is missing");
    }
}

/// Guards against a setting that an operator cannot look up.
#[test]
fn every_setting_is_documented() {
    let entry = serde_json::to_value(settings::Entry::default()).expect("JSON");
    let side = serde_json::to_value(settings::Side::default()).expect("JSON");
    for (heading, value) in [
        ("### Settings of the entry host", entry),
        ("### Settings of the sidecar", side),
    ] {
        check(heading, paths(&value).iter().map(String::as_str));
    }
}

/// Guards against a resource field without its meaning, and against an example that is refused.
#[test]
fn every_resource_field_is_documented() {
    let path = path::Path::new("a.toml");
    let items = carawaycleat::manifest::parse(path, manifest::ALL).expect("valid resources");
    let mut kinds = Vec::new();
    for item in &items {
        let id = &item.id;
        let value = serde_json::to_value(&item.resource).expect("JSON");
        let heading = format!("### `{}`", id.kind);
        let section = section(&heading);
        for field in paths(&value).iter().filter(|field| *field != "kind") {
            let row = format!("\n| `{field}` |");
            assert!(section.contains(&row), "{row} is missing in {heading}");
        }
        kinds.push(id.kind);
    }
    for kind in resource::Kind::ALL {
        assert!(kinds.contains(&kind), "{kind} is not checked");
    }
    let examples = section("## Resources");
    let examples: String = examples
        .split("```toml\n")
        .skip(1)
        .filter_map(|block| block.split("```").next())
        .collect();
    let items = carawaycleat::manifest::parse(path, &examples).expect("valid examples");
    assert_eq!(items.len(), resource::Kind::ALL.len());
}
