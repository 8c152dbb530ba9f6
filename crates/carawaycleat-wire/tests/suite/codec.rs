//! Encoding and decoding of frames.

use carawaycleat_core::clock;
use carawaycleat_core::name;
use carawaycleat_wire as wire;

fn stamp() -> clock::Stamp {
    let host = name::Name::parse("engine-1").expect("a valid name");
    clock::Hybrid::new(host).tick(1)
}

/// Guards against frames that are lost or joined when they cross a read boundary.
#[test]
fn frames_split_at_every_byte_are_decoded() {
    let id = wire::Id::from_u128(u128::MAX - 1);
    let frames = [
        wire::Frame::new(id, wire::Part::Started { stamp: stamp() }),
        wire::Frame::new(
            id,
            wire::Part::Token {
                position: 0,
                text: "word".to_owned(),
            },
        ),
        wire::Frame::new(id, wire::Part::Body(vec![0, 255, 7])),
        wire::Frame::new(id, wire::Part::End { count: 1 }),
    ];
    let mut bytes = Vec::new();
    for frame in &frames {
        wire::encode_frame(frame, &mut bytes).expect("a short frame");
    }
    for split in 0..=bytes.len() {
        let mut decoder = wire::Decoder::default();
        let mut found = Vec::new();
        for piece in [&bytes[..split], &bytes[split..]] {
            decoder.push(piece);
            while let Some(frame) = decoder.next_frame().expect("valid bytes") {
                found.push(frame);
            }
        }
        assert_eq!(found, frames, "split at byte {split}");
        assert!(decoder.is_empty());
    }
}

/// Guards against memory that is allocated for the length that a hostile peer declares.
#[test]
fn a_length_over_the_limit_is_refused() {
    let mut decoder = wire::Decoder::default();
    decoder.push(&u32::MAX.to_be_bytes());
    assert!(matches!(decoder.next_frame(), Err(wire::Error::TooLong(_))));
}

/// Guards against sending a frame that every receiver would refuse.
#[test]
fn a_frame_over_the_limit_is_not_encoded() {
    let part = wire::Part::Body(vec![0; wire::MAX_FRAME_BYTES + 1]);
    let mut out = vec![1, 2];
    let refused = wire::encode_frame(&wire::Frame::new(wire::Id::from_u128(1), part), &mut out);
    assert!(matches!(refused, Err(wire::Error::TooLong(_))));
    assert_eq!(out, [1, 2], "a refused frame leaves no bytes behind");
}
