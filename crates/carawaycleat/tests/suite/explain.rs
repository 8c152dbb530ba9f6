//! Tests of `carawaycleat explain`.

use crate::fake;

/// Lines of two hosts, out of order, one of them after the timestamp of a log collector and one truncated.
const LOG: &str = r#"  4.2 host-1 {"time":2000,"uptime_us":9000000,"host":"host-1","boot":1,"event":"answered","request":"r-1","subject":"engine-2","status":200,"attempts":2,"ms":180}
{"time":1000,"uptime_us":8000000,"host":"host-1","boot":1,"event":"upstream","subject":"engine-1","state":"Ready"}
{"time":1500,"uptime_us":8500000,"host":"host-1","boot":1,"event":"dispatched","request":"r-1","subject":"engine-1","attempt":1,"config":12}
{"time":1600,"uptime_us":8600000,"host":"host-1","boot":1,"event":"attempt_failed","request":"r-1","subject":"engine-1","sent":"true"}
{"time":1600,"uptime_us":8600001,"host":"host-1","boot":1,"event":"dispatched","request":"r-1","subject":"engine-2","attempt":2,"config":12}
{"time":1700,"host":"host-1","event":"disp
{"time":1800,"uptime_us":700,"host":"host-2","boot":4,"event":"refused","request":"r-2","reason":"configuration_stale","status":503,"config_age_ms":3600}
{"time":1900,"uptime_us":800,"host":"host-2","boot":4,"event":"dispatched","request":"r-3","subject":"engine-1","attempt":1}
{"time":1950,"uptime_us":850,"host":"host-2","boot":4,"event":"attempt_failed","request":"r-4","subject":"engine-1","failure":"timed_out","sent":"true"}
{"time":1950,"uptime_us":851,"host":"host-2","boot":4,"event":"refused","request":"r-4","reason":"timeout","status":504}
"#;

fn explain(test: &str, id: &str) -> fake::Output {
    let file = fake::file(test, "host.log", LOG);
    fake::run(&["explain", id, file.to_str().expect("UTF-8")])
}

/// Guards against an explanation that lacks an event or the upstream state known at that time, or has the wrong order.
#[test]
fn shows_events_in_order_with_observations() {
    let output = explain("explain-order", "r-1");
    assert_eq!(output.code, 0, "{}", output.err);
    let lines: Vec<_> = output.out.lines().collect();
    assert_eq!(lines.len(), 8, "{}", output.out);
    assert!(lines[0].contains("dispatched engine-1") && lines[0].contains("config=12"));
    assert!(lines[1].contains("heard of engine-1 500 ms before: state=Ready"));
    assert!(lines[2].contains("attempt_failed"));
    assert!(lines[6].contains("1 damaged"));
    let cause = "cause: answered by engine-2 with status 200 after attempt_failed at engine-1";
    assert_eq!(lines[7], cause);
}

/// Guards against a refusal without a stated cause.
#[test]
fn names_the_cause_of_a_refusal() {
    let output = explain("explain-refusal", "r-2");
    assert!(
        output
            .out
            .contains("the host had not reached the store for 3600 ms"),
        "{}",
        output.out
    );
}

/// Guards against an upstream that is named as the cause although it kept to its time limit.
#[test]
fn tells_a_time_limit_from_a_failure() {
    let output = explain("explain-limit", "r-4");
    let cause = "(the time for the request was over) after the time limit of engine-1";
    assert!(output.out.contains(cause), "{}", output.out);
}

/// Guards against an invented cause for a request whose end is not in the log.
#[test]
fn reports_a_missing_end() {
    let output = explain("explain-open", "r-3");
    assert!(
        output.out.contains("the log has no end of the request"),
        "{}",
        output.out
    );
}

/// Guards against empty output for an id that occurs in no line.
#[test]
fn unknown_id_is_an_error() {
    let output = explain("explain-unknown", "r-9");
    assert_eq!(output.code, 2);
    assert!(
        output.err.contains("no line about request r-9"),
        "{}",
        output.err
    );
}

/// Guards against an empty id that matches all lines without a request.
#[test]
fn empty_id_is_an_error() {
    let output = explain("explain-empty", "");
    assert_eq!(output.code, 2);
    assert!(output.err.contains("must not be empty"), "{}", output.err);
}

/// Guards against an unreadable file that is skipped without an error.
#[test]
fn missing_file_is_an_error() {
    let output = fake::run(&["explain", "r-1", "/nonexistent/host.log"]);
    assert_eq!(output.code, 2);
    assert!(output.err.contains("cannot read"), "{}", output.err);
}
