use carawaycleat_core::request;
use carawaycleat_core::stream;

const LENGTH: u64 = 6;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    Dropped,
    Repeated,
    Swapped,
    Crossed,
    Short,
    Closed,
}

const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::Dropped,
    Fault::Repeated,
    Fault::Swapped,
    Fault::Crossed,
    Fault::Short,
    Fault::Closed,
];

const ID: request::Id = request::Id::from_u128(1);
const OTHER: request::Id = request::Id::from_u128(2);

/// Returns what arrives, and whether the end arrives, when an answer from `start` has a fault at `at`.
fn answer(fault: Fault, start: u64, at: u64) -> (Vec<(request::Id, u64)>, bool) {
    let mut parts: Vec<_> = (start..LENGTH).map(|position| (ID, position)).collect();
    let Some(index) = at.checked_sub(start).map(|index| index as usize) else {
        return (parts, true);
    };
    match fault {
        Fault::None => {}
        Fault::Dropped => drop(parts.remove(index)),
        Fault::Repeated => parts.insert(index, parts[index]),
        Fault::Swapped if index + 1 < parts.len() => parts.swap(index, index + 1),
        Fault::Swapped => {}
        Fault::Crossed => parts[index].0 = OTHER,
        Fault::Short | Fault::Closed => parts.truncate(index),
    }
    (parts, fault != Fault::Closed)
}

/// Plays attempts until one completes, and returns what the caller got and whether it was told that it is complete.
fn play(attempts: &[(Fault, u64)], is_checked: bool) -> (Vec<(request::Id, u64)>, bool) {
    let mut cursor = stream::Cursor::new(ID);
    let mut got = Vec::new();
    for (fault, at) in attempts {
        cursor.resume(ID);
        let (parts, ends) = answer(*fault, cursor.position(), *at);
        let is_whole = parts.into_iter().all(|part| {
            let is_accepted = cursor.accept(part.0, part.1).is_ok();
            if is_accepted || !is_checked {
                got.push(part);
            }
            is_accepted || !is_checked
        });
        let is_finished = is_whole && ends && cursor.finish(ID, LENGTH).is_ok();
        if is_finished {
            let late = cursor.accept(ID, cursor.position());
            assert_eq!(late, Err(stream::Error::Ended), "a part after the end");
        }
        if is_finished || !is_checked {
            return (got, true);
        }
        assert!(cursor.close().is_err());
    }
    (got, false)
}

/// Guards against a truncated, repeated or foreign part reaching a caller, with one fault and with pairs of faults.
#[test]
fn a_caller_gets_each_part_once_or_an_error() {
    let whole: Vec<_> = (0..LENGTH).map(|position| (ID, position)).collect();
    let (mut cells, mut naive_faults) = (0, 0);
    for first in FAULTS {
        for second in FAULTS {
            for at in 0..LENGTH {
                for next in at..LENGTH {
                    let attempts = [(first, at), (second, next), (Fault::None, 0)];
                    let (got, complete) = play(&attempts, true);
                    assert!(complete && got == whole, "{attempts:?} gave {got:?}");
                    let (got, complete) = play(&attempts, false);
                    naive_faults += usize::from(complete && got != whole);
                    cells += 1;
                }
            }
        }
    }
    println!(
        "stream: {cells} cells, {} injections, {naive_faults} broken without the check",
        cells * 2
    );
    assert!(
        naive_faults > cells / 2,
        "the scenario does not show the fault"
    );
}

#[yare::parameterized(
    whole = { Some(10), &[4, 6], Some(10), Ok(()) },
    unknown_length = { None, &[4, 6], Some(10), Ok(()) },
    short = { Some(10), &[4, 5], Some(10), Err(stream::Error::Short(10, 9)) },
    short_as_counted = { Some(10), &[4, 5], Some(9), Err(stream::Error::Short(10, 9)) },
    long = { Some(10), &[4, 7], Some(11), Err(stream::Error::Long(10, 11)) },
    closed = { None, &[4, 6], None, Err(stream::Error::Closed(10)) },
    closed_short = { Some(10), &[4], None, Err(stream::Error::Short(10, 4)) },
)]
fn a_body_has_its_declared_length(
    length: Option<u64>,
    pieces: &[u64],
    end: Option<u64>,
    expected: stream::Result<()>,
) {
    let mut cursor = stream::Cursor::new(ID);
    let result = length
        .map_or(Ok(()), |length| cursor.expect_length(length))
        .and_then(|()| {
            pieces
                .iter()
                .try_for_each(|bytes| cursor.accept_bytes(ID, *bytes))
        })
        .and_then(|()| end.map_or(Ok(()), |count| cursor.finish(ID, count)))
        .and_then(|()| cursor.close());
    assert_eq!(result, expected);
}
