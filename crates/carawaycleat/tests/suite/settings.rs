use carawaycleat::settings;

const ENTRY: &str = "host = \"entry-1\"\navailability_zone = \"zone-1\"\n";
const SIDE: &str = "host = \"engine-1\"\nupstream = \"engine-1\"\navailability_zone = \"zone-1\"\n";
const ENGINE: &str = "[engine]\nmemory_bytes = 80000000000\n";

/// Guards against a default in the code that differs from the one in the example.
#[test]
fn the_defaults_of_an_entry_host_are_those_of_the_example() {
    let default = settings::Entry::default();
    assert_eq!(
        settings::Entry::parse(settings::Entry::example()),
        Ok(default.clone())
    );
    assert_eq!(settings::Entry::parse(ENTRY), Ok(default));
}

/// Guards against a default in the code that differs from the one in the example.
#[test]
fn the_defaults_of_a_sidecar_are_those_of_the_example() {
    let default = settings::Side::default();
    assert_eq!(
        settings::Side::parse(settings::Side::example()),
        Ok(default.clone())
    );
    assert_eq!(
        settings::Side::parse(&format!("{SIDE}{ENGINE}")),
        Ok(default)
    );
}

/// Guards against a setting that is missing from the example file.
#[test]
fn the_examples_show_every_setting() {
    let entry = serde_json::to_value(settings::Entry::default()).expect("JSON");
    assert_shown(&entry, settings::Entry::example());
    let mut side = serde_json::to_value(settings::Side::default()).expect("JSON");
    let limits = side["limits"].as_object_mut().expect("a table");
    limits.retain(|key, _| !key.starts_with("queue_"));
    assert_shown(&side, settings::Side::example());
}

fn assert_shown(value: &serde_json::Value, example: &str) {
    for (key, value) in value.as_object().into_iter().flatten() {
        if value.is_object() {
            let start = example.find(&format!("\n[{key}]\n"));
            let section = &example[start.unwrap_or_else(|| panic!("no table {key}")) + 2..];
            assert_shown(value, section.split("\n[").next().unwrap_or(section));
        } else {
            let shown = |line: &str| {
                line.trim_start_matches("# ")
                    .starts_with(&format!("{key} = "))
            };
            assert!(
                example.lines().any(shown),
                "{key} is missing from the example"
            );
        }
    }
}

/// Guards against a parser that stops at the first problem.
#[test]
fn all_problems_are_reported_with_their_lines() {
    let text = "host = \"a b\"\n\
        availability_zone = 3\n\
        colour = \"red\"\n\
        [limits]\n\
        body_bytes = 12\n\
        idel_ms = 5\n\
        [listen]\n\
        callers = \"localhost\"\n\
        [store]\n\
        endpoints = [\"127.0.0.1:1\",\n\
        \"nowhere\"]\n";
    let problems = settings::Entry::parse(text).expect_err("invalid settings");
    let found: Vec<_> = problems.iter().map(|p| (p.line, p.key.as_str())).collect();
    let expected = [
        (1, "host"),
        (2, "availability_zone"),
        (3, "colour"),
        (5, "limits.body_bytes"),
        (6, "limits.idel_ms"),
        (8, "listen.callers"),
        (11, "store.endpoints"),
    ];
    assert_eq!(found, expected);
    assert_eq!(problems[3].found, "12");
    assert_eq!(problems[3].allowed, "a whole number from 1024 to 268435456");
    assert!(problems[4].allowed.contains("idle_ms"), "{}", problems[4]);
}

#[yare::parameterized(
    drain = { "[shutdown]\ndrain_limit_ms = 4000\n", "shutdown.drain_limit_ms" },
    drain_both = { "[shutdown]\ndrain_limit_ms = 4000\ndrain_delay_ms = 4000\n", "shutdown.drain_delay_ms" },
    queue = { "[limits]\nqueue_bytes = 2048\n", "limits.queue_bytes" },
    requests = { "[limits]\nconnections = 10\n", "limits.connections" },
    same_address = { "[listen]\npeers = \"127.0.0.1:8080\"\n", "listen.peers" },
    no_advertised = { "[listen]\npeers = \"0.0.0.0:8082\"\n", "advertise.peers" },
    advertised_any = { "[advertise]\npeers = \"0.0.0.0:8082\"\n", "advertise.peers" },
    no_endpoint = { "[store]\nendpoints = []\n", "store.endpoints" },
    not_a_number = { "[placement]\nloads_per_second = nan\n", "placement.loads_per_second" },
    negative = { "[rates]\nshards = -1\n", "rates.shards" },
    not_a_table = { "limits = 3\n", "limits" },
    peer_twice = { "peers = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n", "peers" },
)]
fn inconsistent_or_invalid_settings_of_an_entry_host_are_reported(text: &str, key: &str) {
    let problems = settings::Entry::parse(&format!("{ENTRY}{text}")).expect_err("invalid settings");
    let keys: Vec<_> = problems.iter().map(|p| p.key.as_str()).collect();
    assert_eq!(keys, [key], "{problems:?}");
    assert!(problems[0].line >= 1 && !problems[0].allowed.is_empty());
}

#[yare::parameterized(
    no_memory = { "[engine]\n", "engine.memory_bytes" },
    zero_memory = { "[engine]\nmemory_bytes = 0\n", "engine.memory_bytes" },
    service_memory = { "[engine]\nkind = \"service\"\nmemory_bytes = 5\n", "engine.memory_bytes" },
    service_fencing = { "[engine]\nkind = \"service\"\nfencing = \"checked\"\n", "engine.fencing" },
    settle = { "order_settle_ms = 100\n[engine]\nmemory_bytes = 5\n", "order_settle_ms" },
    same_address = { "[engine]\nmemory_bytes = 5\naddress = \"127.0.0.1:8083\"\n", "engine.address" },
    queue = { "[engine]\nmemory_bytes = 5\n[limits]\nqueue_requests = 5\n", "limits.queue_requests" },
    no_entries = { "entries = []\n[engine]\nmemory_bytes = 5\n", "entries" },
    level = { "[engine]\nmemory_bytes = 5\n[log]\nlevel = \"loud\"\n", "log.level" },
)]
fn inconsistent_or_invalid_settings_of_a_sidecar_are_reported(text: &str, key: &str) {
    let problems = settings::Side::parse(&format!("{SIDE}{text}")).expect_err("invalid settings");
    let keys: Vec<_> = problems.iter().map(|p| p.key.as_str()).collect();
    assert_eq!(keys, [key], "{problems:?}");
}

/// Guards against a syntax error that is reported without its line.
#[test]
fn a_syntax_error_has_a_line() {
    let problems =
        settings::Entry::parse("host = \"a\"\nregion = = 3\n").expect_err("a syntax error");
    assert_eq!(problems[0].line, 2);
}

/// Guards against an error that omits the path of the file.
#[test]
fn a_missing_file_is_named() {
    let path = std::path::Path::new("no-such-settings.toml");
    let error = settings::Entry::load(path).expect_err("no such file");
    assert!(
        error.to_string().contains("no-such-settings.toml"),
        "{error}"
    );
}
