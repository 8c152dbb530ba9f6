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
