use std::cell;
use std::path;

use carawaycleat::api;
use carawaycleat::manifest;
use carawaycleat::settings;
use carawaycleat_net as net;
use proptest::prelude::*;
use proptest::test_runner;

const CASES: u32 = 100_000;

/// Pieces of text that have a meaning in one of the formats.
const TOKENS: &[&str] = &[
    "\"",
    "[",
    "]",
    "{",
    "}",
    "[[",
    "=",
    ":",
    ",",
    "\n",
    "-1",
    "0",
    "1e400",
    "18446744073709551616",
    "null",
    "true",
    "\\u0000",
    "\\ud800",
    "'''",
    "9223372036854775807",
    "model",
    "\u{0}",
];

/// Changes valid text at up to three places; an edit is a position with what replaces a few bytes there.
fn damage(valid: &[u8], edits: &[(usize, usize, Vec<u8>)]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for (at, removed, added) in edits {
        let at = at % (bytes.len() + 1);
        let end = (at + removed).min(bytes.len());
        bytes.splice(at..end, added.iter().copied());
    }
    bytes
}

fn hostile(valid: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let added = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..4),
        prop::sample::select(TOKENS).prop_map(|token| token.as_bytes().to_vec()),
    ];
    let edits = prop::collection::vec((any::<usize>(), 0_usize..6, added), 0..4);
    let damaged = edits.prop_map(move |edits| damage(&valid, &edits));
    prop_oneof![4 => damaged, 1 => prop::collection::vec(any::<u8>(), 0..80)]
}

/// Runs `check` on each case, and requires that some cases are accepted and some are refused.
fn run(valid: &[u8], check: impl Fn(&[u8]) -> bool) {
    let config = test_runner::Config {
        cases: CASES,
        rng_seed: test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let accepted = cell::Cell::new(0_u32);
    let outcome = test_runner::TestRunner::new(config).run(&hostile(valid.to_vec()), |bytes| {
        accepted.set(accepted.get() + u32::from(check(&bytes)));
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("seed 7: {error}"));
    let accepted = accepted.get();
    println!("hostile: {CASES} cases, {accepted} accepted");
    assert!((1..CASES).contains(&accepted), "{accepted} accepted");
}

/// Checks what reading a file gave, and returns whether it was accepted.
fn check_file<T, P>(text: &str, found: Result<T, Vec<P>>) -> Option<T>
where
    P: std::fmt::Display,
{
    match found {
        Ok(value) => Some(value),
        Err(problems) => {
            assert!(
                !problems.is_empty(),
                "{text:?} is refused without a problem"
            );
            assert!(
                problems
                    .iter()
                    .all(|problem| !problem.to_string().is_empty())
            );
            None
        }
    }
}

/// Guards against a settings file of an entry host that ends the process without a list of problems.
#[test]
fn damaged_settings_of_an_entry_host_are_refused() {
    let text = b"host = \"entry-1\"\navailability_zone = \"zone-1\"\n";
    run(text, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        check_file(&text, settings::Entry::parse(&text)).is_some()
    });
}

/// Guards against a settings file of a sidecar that ends the process without a list of problems.
#[test]
fn damaged_settings_of_a_sidecar_are_refused() {
    let text =
        b"host = \"h\"\nupstream = \"u\"\navailability_zone = \"z\"\n[engine]\nmemory_bytes = 80000\n";
    run(text, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        check_file(&text, settings::Side::parse(&text)).is_some()
    });
}

/// Guards against a resource file that ends the process, or from which an invalid resource is read.
#[test]
fn damaged_resource_files_are_refused() {
    let text = b"[[rate]]\nname = \"city\"\nworkspace = \"city\"\ntokens_per_second = 1000\nburst_tokens = 5000\n";
    run(text, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        let items = check_file(&text, manifest::parse(path::Path::new("a.toml"), &text));
        items.is_some_and(|items| {
            // An empty file is valid and has no resources.
            let resources = items.iter().map(|item| &item.resource);
            resources.for_each(|resource| resource.validate().expect("a valid resource"));
            !items.is_empty()
        })
    });
}

fn check_call(form: api::Form, bytes: &[u8]) -> bool {
    match api::Request::parse(form, &net::Headers::new(), bytes) {
        Ok(call) => {
            assert!((1..=1 << 20).contains(&call.max_tokens));
            // Invalid text cannot grow: JSON is refused unless it is valid UTF-8.
            assert!(call.prompt_tokens <= 1 + bytes.len() as u64);
            assert!(call.prefixes.len() <= 16);
            assert_eq!(call.cost(), call.prompt_tokens + call.max_tokens);
            true
        }
        Err(error) => {
            assert!(!error.to_string().is_empty());
            false
        }
    }
}

/// Guards against a body of a caller that ends the process, or whose cost does not follow from it.
#[test]
fn damaged_chats_are_refused() {
    let body = br#"{"model":"small:tone","messages":[{"role":"user","content":"hi"},{"role":"user","content":[{"text":"a"}]}],"max_tokens":9,"stream":true,"n":1}"#;
    run(body, |bytes| check_call(api::Form::Chat, bytes));
}

/// Guards against a body of a caller that ends the process, or whose cost does not follow from it.
#[test]
fn damaged_completions_are_refused() {
    let body = br#"{"model":"small","adapter":"tone","prompt":["hello"],"max_completion_tokens":9,"stream_options":{"include_usage":true}}"#;
    run(body, |bytes| check_call(api::Form::Completion, bytes));
}

/// Guards against a header of a caller that ends the process, or a deadline or class that is not allowed.
#[test]
fn damaged_headers_are_refused() {
    let body = br#"{"model":"small","prompt":"hello"}"#;
    run(b"1000", |bytes| {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let mut headers = net::Headers::new();
        headers.append("Carawaycleat-Deadline-Ms", text.clone());
        let has_class = text.len().is_multiple_of(5);
        if has_class {
            headers.append("carawaycleat-class", text);
        }
        match api::Request::parse(api::Form::Completion, &headers, body) {
            Ok(call) => {
                assert!(!has_class, "no case has the name of a class");
                assert!(call.deadline_ms.is_some_and(|millis| millis <= 3_600_000));
                true
            }
            Err(error) => {
                assert!(!error.to_string().is_empty());
                false
            }
        }
    });
}

/// Guards against nesting that exhausts the stack.
#[yare::parameterized(
    arrays = { "[" },
    objects = { "{\"a\":" },
    inline_tables = { "{a=" },
)]
fn deep_nesting_is_refused(opening: &str) {
    let deep = opening.repeat(100_000);
    let headers = net::Headers::new();
    for form in [api::Form::Chat, api::Form::Completion] {
        for field in ["x", "prompt", "messages"] {
            let body = format!(r#"{{"model":"small","{field}":{deep}"#);
            assert!(api::Request::parse(form, &headers, body.as_bytes()).is_err());
        }
    }
    let text = format!("host = {deep}");
    assert!(settings::Entry::parse(&text).is_err());
    assert!(settings::Side::parse(&text).is_err());
    assert!(manifest::parse(path::Path::new("a.toml"), &text).is_err());
}
