//! Tests of `carawaycleat cuts`.

use crate::fake;

/// A refusal of a request without a response, a response that ended at its time limit, and a caller that left.
const SOUND: &str = r#"  3.1 host-1 {"time":1000,"uptime_us":1,"host":"host-1","boot":1,"event":"refused","request":"r-1","reason":"no_upstream","status":503,"delivered":false,"ms":3}
{"time":1100,"uptime_us":2,"host":"host-1","boot":1,"event":"refused","request":"r-2","reason":"timeout","status":504,"delivered":true,"ms":4000}
{"time":1101,"uptime_us":3,"host":"host-1","boot":1,"event":"unanswered","request":"r-2","reason":"stream_aborted","head_written":true,"ms":4000}
{"time":1200,"uptime_us":4,"host":"host-1","boot":1,"event":"unanswered","request":"r-3","reason":"gone_during_stream","head_written":true,"ms":50}
"#;
/// A response that was cut, after the time and the name of a log collector, out of order.
const CUT: &str = r#"  9.9 host-2 {"time":2001,"uptime_us":3,"host":"host-2","boot":4,"event":"unanswered","request":"r-4","reason":"stream_aborted","head_written":true,"ms":1800}
  9.9 host-2 {"time":2000,"uptime_us":2,"host":"host-2","boot":4,"event":"refused","request":"r-4","reason":"no_upstream","status":502,"delivered":true,"ms":1800}
"#;
/// A response that a host cut when its time to stop was over.
const STOPPED: &str = r#"{"time":3000,"uptime_us":5,"host":"host-2","boot":4,"event":"unanswered","request":"r-5","reason":"server_aborted","head_written":true,"ms":2500}
"#;
/// Refusals that a host did not log.
const LEFT_OUT: &str = r#"{"time":3100,"uptime_us":6,"host":"host-2","boot":4,"event":"log_suppressed","of":"refused","lines":12}
"#;

fn cuts(test: &str, logs: &[&str], options: &[&str]) -> fake::Output {
    let files = logs.iter().enumerate();
    let files = files.map(|(index, log)| fake::file(test, &format!("{index}.log"), log));
    let files: Vec<_> = files.collect();
    let files = files.iter().map(|file| file.to_str().expect("UTF-8"));
    let options = options.iter().copied();
    let arguments: Vec<_> = ["cuts"].into_iter().chain(options).chain(files).collect();
    fake::run(&arguments)
}

/// Guards against a failure because of refusals, responses that ended at their time limit or callers that left.
#[test]
fn time_limits_and_refusals_are_no_failure() {
    let output = cuts("cuts-sound", &[SOUND], &[]);
    assert_eq!(output.code, 0, "{}{}", output.out, output.err);
    assert!(
        output
            .out
            .contains("1 timeout\n    r-2 1100 host-1 refused"),
        "{}",
        output.out
    );
    assert!(
        output.out.contains("cut before their time limit: 0"),
        "{}",
        output.out
    );
}

/// Guards against a response that was cut and is missing, counted twice or without its reason.
#[test]
fn cut_response_is_a_failure() {
    let output = cuts("cuts-cut", &[SOUND, CUT, STOPPED], &[]);
    assert_eq!(output.code, 1, "{}{}", output.out, output.err);
    assert!(
        output
            .out
            .contains("1 no_upstream\n    r-4 2000 host-2 refused"),
        "{}",
        output.out
    );
    assert!(
        output.out.contains("1 server_aborted\n    r-5 3000 host-2"),
        "{}",
        output.out
    );
    assert!(!output.out.contains("stream_aborted"), "{}", output.out);
    assert!(output.err.contains("cut responses: 2"), "{}", output.err);
}

/// Guards against JSON without the cut responses.
#[test]
fn json_has_the_lines_by_reason() {
    let output = cuts("cuts-json", &[SOUND, CUT], &["--output", "json"]);
    assert_eq!(output.code, 1, "{}{}", output.out, output.err);
    let value: serde_json::Value = serde_json::from_str(&output.out).expect("JSON");
    assert_eq!(value["cuts"]["no_upstream"][0]["request"], "r-4");
    assert_eq!(value["early"], 1);
}

/// Guards against success when hosts did not log all refusals.
#[test]
fn incomplete_log_is_a_failure() {
    let output = cuts("cuts-left-out", &[SOUND, LEFT_OUT], &[]);
    assert_eq!(output.code, 4, "{}{}", output.out, output.err);
    assert!(output.err.contains("left 12 lines out"), "{}", output.err);
}

/// Guards against success with a file that is no log.
#[test]
fn file_without_log_lines_is_an_error() {
    let output = cuts("cuts-empty", &["\n"], &[]);
    assert_eq!(output.code, 2, "{}{}", output.out, output.err);
    assert!(output.err.contains("no log line"), "{}", output.err);
}
