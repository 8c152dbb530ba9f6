//! The decoder and encoder of server-sent events.

use carawaycleat_net::sse;
use proptest::prelude::*;

fn decode(bytes: &[u8], step: usize) -> Vec<sse::Event> {
    let mut decoder = sse::Decoder::default();
    let mut events = Vec::new();
    for piece in bytes.chunks(step) {
        decoder.push(piece);
        while let Some(event) = decoder.next_event().expect("valid events") {
            events.push(event);
        }
    }
    events
}

/// Guards against rejecting valid streams of other servers.
#[test]
fn tolerates_comments_and_carriage_returns() {
    let bytes = b": comment\r\n\r\nevent: a\r\nid: 1\r\ndata:x\r\ndata: y\r\n\r\nretry: 5\n\ndata\n\ndata: cut";
    let events = decode(bytes, bytes.len());
    let first = sse::Event {
        event: Some("a".to_owned()),
        data: "x\ny".to_owned(),
    };
    assert_eq!(events, [first, sse::Event::new("")]);
}

fn split(bytes: &[u8], step: usize) -> (Vec<u8>, Vec<u64>, bool) {
    let mut splitter = sse::Splitter::default();
    let (mut passed, mut ids, mut is_malformed) = (Vec::new(), Vec::new(), false);
    for piece in bytes.chunks(step) {
        let batch = splitter.push(piece).expect("short events");
        assert!(!is_malformed || batch.bytes.is_empty());
        passed.extend(batch.bytes);
        ids.extend(batch.ids.iter().map(|(id, _)| *id));
        is_malformed |= batch.is_malformed;
    }
    (passed, ids, is_malformed)
}

/// Guards against bytes of another response that are passed on as a part of a stream, at any split of the bytes.
#[yare::parameterized(
    head = { "HTTP/1.1 500 Error\r\nx-server-stamp: a\r\n\r\n" },
    text = { "internal error\n\n" },
    event_without_identifier = { "data: internal error\n\n" },
    head_in_event = { "id: 3\ndata: aHTTP/1.1 500 Error\r\nX-Server-Stamp: a\r\n\r\n" },
    head_in_field_name = { "id: 3\ndaHTTP/1.1 500 Error\r\n\r\n" },
    fields_of_a_head = { "id: 3\ncontent-length: 16\n\n" },
    identifier_is_no_number = { "id: three\ndata: a\n\n" },
)]
fn reports_what_is_no_event(text: &str) {
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let bytes = format!("{events}{text}id: 4\ndata: c\n\n");
    for step in 1..bytes.len() {
        let (passed, ids, is_malformed) = split(bytes.as_bytes(), step);
        assert_eq!(String::from_utf8_lossy(&passed), events, "step {step}");
        assert_eq!(ids, [1, 2], "step {step}");
        assert!(is_malformed, "step {step}");
    }
}

/// Guards against streams that are cut although all of their events are proper.
#[test]
fn accepts_comments_and_further_fields() {
    let text = ": comment\n\nx-weight-versions: 3\nid: 1\ndata: a\n\n:\nid: 2\r\nevent: b\r\nretry: 5\r\ndata\r\n\r\n\n";
    for step in 1..text.len() {
        let (passed, ids, is_malformed) = split(text.as_bytes(), step);
        assert_eq!(String::from_utf8_lossy(&passed), text, "step {step}");
        assert_eq!(ids, [1, 2], "step {step}");
        assert!(!is_malformed, "step {step}");
    }
}

/// Guards against unbounded memory for an event that never ends.
#[yare::parameterized(
    line = { "data: " , "a" },
    lines = { "", "data: a\n" },
)]
fn bounds_event(start: &str, more: &str) {
    let mut decoder = sse::Decoder::default();
    decoder.push(start.as_bytes());
    let piece = more.repeat(10_000);
    let refused = (0..10_000).any(|_| {
        decoder.push(piece.as_bytes());
        decoder.next_event().is_err()
    });
    assert!(refused);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against events that change when they are encoded and decoded, at any split of the bytes.
    #[test]
    fn round_trip(events in prop::collection::vec((prop::option::of("[a-z]{1,8}"), "[^\r]{0,40}"), 0..8), step in 1usize..40) {
        let events: Vec<_> = events.into_iter().map(|(event, data)| sse::Event { event, data }).collect();
        let mut bytes = Vec::new();
        events.iter().for_each(|event| event.encode(&mut bytes));
        prop_assert_eq!(decode(&bytes, step), events);
    }
}
