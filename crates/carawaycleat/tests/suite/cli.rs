use std::io;
use std::io::BufRead as _;
use std::io::Read as _;
use std::net;
use std::process;
use std::thread;

use crate::fake;
use crate::manifest;

const WORKSPACE: &str = "[[workspace]]\nname = \"city\"\nweight = 3\n";

fn path(test: &str, text: &str) -> String {
    fake::file(test, "a.toml", text)
        .to_str()
        .expect("UTF-8")
        .to_owned()
}

fn workspace(weight: u32) -> serde_json::Value {
    serde_json::json!({ "kind": "workspace", "weight": weight })
}

/// Guards against commands and options that are missing from the help text.
#[yare::parameterized(
    all = { &["--help"], "check" },
    check = { &["check", "--help"], "FILE" },
    apply = { &["apply", "--help"], "--if-match" },
    get = { &["get", "--help"], "KIND" },
    delete = { &["delete", "--help"], "NAME" },
    watch = { &["watch", "--help"], "KIND" },
    status = { &["status", "--help"], "--server" },
    timeline = { &["timeline", "--help"], "--request" },
)]
fn help_is_complete(args: &[&str], expected: &str) {
    let output = fake::run(args);
    assert_eq!(output.code, 0);
    assert!(output.out.contains(expected), "{}", output.out);
    assert!(output.out.contains("--server"), "{}", output.out);
}

#[yare::parameterized(
    nothing = { &[] },
    unknown_command = { &["frobnicate"] },
    unknown_kind = { &["get", "gadget"] },
    no_file = { &["check"] },
    name = { &["get", "model", "a/b"] },
    server = { &["--server", "localhost", "status"] },
    output = { &["--output", "xml", "status"] },
)]
fn a_wrong_command_line_ends_with_2(args: &[&str]) {
    let output = fake::run(args);
    assert_eq!((output.code, output.out.as_str()), (2, ""));
    assert!(!output.err.is_empty());
}

/// Guards against a check that needs a server or stops at the first file.
#[test]
fn check_reports_all_files() {
    let first = path("cli-check-1", "[[workspace]]\nname = \"w\"\nweight = 0\n");
    let second = path("cli-check-2", "[[model]]\nname = \"m\"\n");
    let output = fake::run(&["check", &first, &second, "no-such-file.toml"]);
    assert_eq!(output.code, 2);
    for expected in [
        "a.toml: line 3: `workspace.weight`",
        "`model.group`",
        "`model.version`",
        "no-such-file.toml",
    ] {
        assert!(
            output.err.contains(expected),
            "{expected} is missing in {}",
            output.err
        );
    }
    let json = fake::run(&["check", "--output", "json", &first]);
    let value: serde_json::Value = serde_json::from_str(&json.out).expect("JSON");
    assert_eq!(
        (json.code, &value["problems"][0]["line"]),
        (2, &serde_json::json!(3))
    );
}

/// Guards against rejecting a valid file because it refers to a resource that exists only on the server.
#[test]
fn check_accepts_references_to_the_server() {
    let path = path(
        "cli-check-reference",
        "[[rate]]\nname = \"r\"\nworkspace = \"w\"\ntokens_per_second = 1\nburst_tokens = 1\n",
    );
    let output = fake::run(&["check", &path]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(output.err.contains("workspace/w"), "{output:?}");
}

/// Guards against writes in the wrong order, and against writing an unchanged resource.
#[test]
fn apply_creates_then_keeps_then_updates() {
    let server = fake::Server::start();
    let path = path("cli-apply", manifest::ALL);
    let output = server.run(&["apply", &path]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(
        output
            .out
            .starts_with("workspace/city created (revision 1, applied by 2 of 3 entry hosts)"),
        "{}",
        output.out
    );
    assert_eq!(server.lock().resources.len(), 8);

    let output = server.run(&["apply", &path]);
    assert_eq!(
        (output.code, output.out.matches("unchanged").count()),
        (0, 8),
        "{output:?}"
    );
    assert_eq!(server.lock().revision, 8);

    let changed = fake::file("cli-apply", "b.toml", WORKSPACE.replace('3', "4").as_str());
    let changed = changed.to_str().expect("UTF-8");
    let output = server.run(&["apply", "--dry-run", changed]);
    assert!(
        output.out.contains("workspace/city updated (dry run"),
        "{output:?}"
    );
    assert_eq!(server.lock().revision, 8);
    let output = server.run(&["apply", changed]);
    assert_eq!(output.code, 0, "{output:?}");
    assert_eq!(server.lock().resources["workspace/city"], (9, workspace(4)));
}

/// Guards against sending or printing a secret.
#[test]
fn apply_sends_the_digest_and_not_the_secret() {
    let server = fake::Server::start();
    fake::file("cli-secret", "key.secret", "s3cret\n");
    let path = path(
        "cli-secret",
        "[[key]]\nname = \"k\"\nworkspace = \"w\"\nsecret_file = \"key.secret\"\n",
    );
    let output = server.run(&["apply", &path]);
    assert_eq!(output.code, 0, "{output:?}");
    let requests = format!("{:?}", server.lock().requests);
    assert!(
        requests.contains("digest") && !requests.contains("s3cret"),
        "{requests}"
    );
    assert!(!format!("{output:?}").contains("s3cret"));
}

/// Guards against silently overwriting a concurrent change by another operator.
#[test]
fn apply_reports_a_concurrent_change() {
    let server = fake::Server::start();
    let path = path("cli-conflict", WORKSPACE);
    for existing in [false, true] {
        if existing {
            server
                .lock()
                .resources
                .insert("workspace/city".to_owned(), (1, workspace(1)));
        }
        server.lock().interfere = true;
        let output = server.run(&["apply", &path]);
        assert_eq!(output.code, 3, "{output:?}");
        let state = server.lock();
        assert_eq!(
            state.resources["workspace/city"],
            (state.revision, workspace(999))
        );
    }
}

/// Guards against --if-match that is ignored because the read was made after the change.
#[test]
fn if_match_must_be_the_current_revision() {
    let server = fake::Server::start();
    let path = path("cli-if-match", WORKSPACE);
    assert_eq!(server.run(&["apply", "--if-match", "1", &path]).code, 3);
    server
        .lock()
        .resources
        .insert("workspace/city".to_owned(), (7, workspace(1)));
    let output = server.run(&["apply", "--if-match", "6", &path]);
    assert_eq!(output.code, 3);
    assert!(output.err.contains("current revision 7"), "{output:?}");
    assert_eq!(
        server
            .run(&["delete", "workspace", "city", "--if-match", "6"])
            .code,
        3
    );
    assert_eq!(server.run(&["apply", "--if-match", "7", &path]).code, 0);
    let all = fake::file("cli-if-match", "all.toml", manifest::ALL);
    assert_eq!(
        server
            .run(&["apply", "--if-match", "7", all.to_str().expect("UTF-8")])
            .code,
        2
    );
}

/// Guards against reporting a write with status 202 as if all entry hosts had applied it.
#[test]
fn a_partially_applied_write_is_reported() {
    let server = fake::Server::start();
    server.lock().partial = true;
    let output = server.run(&["apply", &path("cli-partial", WORKSPACE)]);
    assert_eq!(output.code, 0);
    assert!(
        output
            .out
            .contains("stored; applied by 2 of 3 entry hosts so far"),
        "{output:?}"
    );
}

/// Guards against output of `get` that cannot be applied again.
#[test]
fn get_shows_what_can_be_applied() {
    let server = fake::Server::start();
    let path = path("cli-get", manifest::ALL);
    assert_eq!(server.run(&["apply", &path]).code, 0);
    let mut text = String::new();
    for kind in [
        "model",
        "adapter",
        "version",
        "workspace",
        "key",
        "rate",
        "route",
        "upstream",
    ] {
        let output = server.run(&["get", kind]);
        assert_eq!(output.code, 0, "{output:?}");
        text.push_str(&output.out);
    }
    let again = fake::file("cli-get", "b.toml", &text);
    let output = server.run(&["apply", again.to_str().expect("UTF-8")]);
    assert_eq!(
        output.out.matches("unchanged").count(),
        8,
        "{output:?}\n{text}"
    );
    let one = server.run(&["get", "workspace", "city", "--output", "json"]);
    let value: serde_json::Value = serde_json::from_str(&one.out).expect("JSON");
    assert_eq!(value["resource"], workspace(3));
    assert_eq!(server.run(&["get", "workspace", "village"]).code, 1);
}

#[test]
fn delete_removes_a_resource() {
    let server = fake::Server::start();
    server
        .lock()
        .resources
        .insert("workspace/city".to_owned(), (1, workspace(1)));
    let output = server.run(&["delete", "workspace", "city"]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(server.lock().resources.is_empty());
    assert_eq!(server.run(&["delete", "workspace", "city"]).code, 1);
}

/// Guards against an endless wait or a wrong exit code when no server can be reached.
#[yare::parameterized(
    get = { &["get", "model"] },
    delete = { &["delete", "model", "m"] },
    watch = { &["watch"] },
    status = { &["status"] },
    timeline = { &["timeline"] },
)]
fn an_unreachable_server_ends_with_4(args: &[&str]) {
    let address = fake::unreachable().to_string();
    let output = fake::run(&[&["--server", &address], args].concat());
    assert_eq!(output.code, 4, "{output:?}");
    assert!(output.err.contains(&address), "{output:?}");
}

/// Guards against a command that fails because one host is unreachable although another one is available.
#[test]
fn the_next_server_is_tried() {
    let server = fake::Server::start();
    let address = fake::unreachable().to_string();
    let output = server.run(&["get", "model"]);
    assert_eq!(output.code, 0);
    let path = path("cli-next", WORKSPACE);
    let args = [
        "--server",
        &address,
        "apply",
        "--server",
        &server.address.to_string(),
        &path,
    ];
    let output = fake::run(&args);
    assert_eq!(output.code, 0, "{output:?}");
}

/// Guards against a watch that loses changes when its connection ends, and against output that is not flushed.
#[test]
fn watch_continues_after_reconnections() {
    let server = fake::Server::start();
    let written = serde_json::json!({ "revision": 5, "kind": "workspace", "name": "city", "resource": workspace(3) });
    let deleted =
        serde_json::json!({ "revision": 6, "kind": "workspace", "name": "city", "resource": null });
    server
        .lock()
        .watches
        .extend([format!("{written}\n\n"), format!("{deleted}\n")]);
    let address = server.address.to_string();
    let args = [
        "watch",
        "workspace",
        "--server",
        &address,
        "--output",
        "json",
    ];
    let mut command = fake::program(&args);
    let mut child = fake::Child::start(command.stdout(process::Stdio::piped()));
    let mut lines = io::BufReader::new(child.output()).lines();
    for expected in [written, deleted] {
        let line = lines.next().expect("a line").expect("UTF-8");
        assert_eq!(
            serde_json::from_str::<serde_json::Value>(&line).expect("JSON"),
            expected
        );
    }
    drop(child);
    let targets: Vec<_> = server
        .lock()
        .requests
        .iter()
        .map(|(_, target, _)| target.clone())
        .collect();
    assert_eq!(
        targets[..2],
        [
            "/v1/watch?kind=workspace",
            "/v1/watch?kind=workspace&since=5"
        ]
    );
}

/// Guards against a status of only some hosts that is reported as complete.
#[test]
fn an_incomplete_status_ends_with_4() {
    let server = fake::Server::start();
    let status = serde_json::json!({ "host": "entry-1", "revision": 5, "peers": [{ "host": "entry-2", "age_ms": 3 }] });
    server
        .lock()
        .answers
        .insert("/v1/status".to_owned(), status);
    let output = server.run(&["status"]);
    assert_eq!(output.code, 0);
    assert!(
        output
            .out
            .contains("  host: entry-1\n  peers: 1\n    age_ms=3 host=entry-2\n"),
        "{}",
        output.out
    );
    let address = fake::unreachable().to_string();
    let output = server.run(&["--server", &address, "status"]);
    assert_eq!(output.code, 4);
    assert!(
        output.out.contains("entry-1") && output.err.contains(&address),
        "{output:?}"
    );
}

fn event(host: &str, wall_ms: u64, kind: &str) -> serde_json::Value {
    serde_json::json!({
        "stamp": { "wall_ms": wall_ms, "counter": 0, "host": host }, "host": host, "kind": kind,
        "request": "r1", "workspace": "city", "detail": "a\nb",
    })
}

/// Guards against events of several hosts in the wrong order, and against a filter that is not sent.
#[test]
fn timeline_merges_hosts() {
    let (first, second) = (fake::Server::start(), fake::Server::start());
    let events = [
        event("a", 1_764_822_167_005, "arrived"),
        event("b", 1_764_822_167_006, "started"),
    ];
    let last = event("a", 1_764_822_167_007, "finished");
    let path = "/timeline".to_owned();
    first
        .lock()
        .answers
        .insert(path.clone(), serde_json::json!([last, events[0]]));
    second
        .lock()
        .answers
        .insert(path, serde_json::json!([events[1], last]));
    let address = second.address.to_string();
    let args = [
        "--server",
        &address,
        "timeline",
        "--local",
        "--request",
        "r1",
        "--limit",
        "2",
    ];
    let output = first.run(&args);
    assert_eq!(output.code, 0, "{output:?}");
    let lines: Vec<_> = output.out.lines().collect();
    let expected = [
        "2025-12-04T04:22:47.006Z b            started               request=r1 workspace=city a\\nb",
        "2025-12-04T04:22:47.007Z a            finished              request=r1 workspace=city a\\nb",
    ];
    assert_eq!(lines, expected);
    let targets: Vec<_> = second
        .lock()
        .requests
        .iter()
        .map(|(_, target, _)| target.clone())
        .collect();
    assert_eq!(targets, ["/timeline?request=r1&limit=2"]);
    assert_eq!(first.run(&["timeline", "--request", "a&limit=9"]).code, 2);
}

/// Guards against a timeline without the sidecars or the other entry hosts, and against an unreachable process that is
/// not reported.
#[test]
fn timeline_queries_all_processes() {
    let [first, peer, side] = [(); 3].map(|()| fake::Server::start());
    let unreachable = fake::unreachable().to_string();
    let set_response = |server: &fake::Server, path: &str, value| {
        server.lock().answers.insert(path.to_owned(), value);
    };
    let member = |host, address| serde_json::json!({ "host": host, "peer_address": address });
    let peers = [
        member("entry-1", first.address.to_string()),
        member("entry-2", peer.address.to_string()),
        member("entry-3", unreachable.clone()),
    ];
    let status = serde_json::json!({ "host": "entry-1", "peers": peers });
    set_response(&first, "/v1/status", status);
    let upstream = serde_json::json!({
        "kind": "upstream", "group": "g", "address": "127.0.0.1:1", "side_address": side.address,
        "availability_zone": "z", "memory_bytes": 1, "fencing": "checked", "leaving": false,
    });
    let resources = [("upstream/engine-1".to_owned(), (1, upstream))];
    first.lock().resources.extend(resources);
    for (server, host, wall_ms, kind) in [
        (&first, "entry-1", 1_000, "dispatched"),
        (&side, "engine-1", 1_001, "started"),
        (&peer, "entry-2", 1_002, "state_changed"),
    ] {
        let events = serde_json::json!([event(host, wall_ms, kind)]);
        set_response(server, "/timeline", events);
    }
    let output = first.run(&["timeline"]);
    let lines = output.out.lines();
    let hosts: Vec<_> = lines.map(|line| line.split_whitespace().nth(1)).collect();
    assert_eq!(
        hosts,
        [Some("entry-1"), Some("engine-1"), Some("entry-2")],
        "{output:?}"
    );
    assert_eq!(output.code, 4, "{output:?}");
    assert!(
        output.err.contains("entry-3") && output.err.contains(&unreachable),
        "{output:?}"
    );
    assert!(!output.err.contains("entry-2"), "{output:?}");
}

/// Guards against resending a write that may already have taken effect.
#[test]
fn a_write_without_a_response_is_not_resent() {
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let silent = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.read(&mut [0; 1024]).expect("a request")
    });
    let second = fake::Server::start();
    let args = [
        "--server",
        &address,
        "--server",
        &second.address.to_string(),
        "delete",
        "workspace",
        "city",
    ];
    let output = fake::run(&args);
    assert!(silent.join().expect("no panic") > 0);
    assert_eq!(output.code, 4, "{output:?}");
    assert!(output.err.contains("may have taken effect"), "{output:?}");
    assert!(second.lock().requests.is_empty());
}
