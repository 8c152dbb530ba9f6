use carawaycleat_core::request;
use carawaycleat_core::stream;

const LENGTH: u64 = 6;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    Dropped,
    Duplicated,
    Swapped,
    Mismatched,
    Truncated,
    Closed,
}

const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::Dropped,
    Fault::Duplicated,
    Fault::Swapped,
    Fault::Mismatched,
    Fault::Truncated,
    Fault::Closed,
];

const ID: request::Id = request::Id::from_u128(1);
const OTHER: request::Id = request::Id::from_u128(2);

/// Returns the parts that arrive and whether the end arrives, for a response from position `start` with a fault at
/// `position`.
fn response(fault: Fault, start: u64, position: u64) -> (Vec<(request::Id, u64)>, bool) {
    let mut parts: Vec<_> = (start..LENGTH).map(|index| (ID, index)).collect();
    let Some(index) = position.checked_sub(start).map(|index| index as usize) else {
        return (parts, true);
    };
    match fault {
        Fault::None => {}
        Fault::Dropped => drop(parts.remove(index)),
        Fault::Duplicated => parts.insert(index, parts[index]),
        Fault::Swapped if index + 1 < parts.len() => parts.swap(index, index + 1),
        Fault::Swapped => {}
        Fault::Mismatched => parts[index].0 = OTHER,
        Fault::Truncated | Fault::Closed => parts.truncate(index),
    }
    (parts, fault != Fault::Closed)
}

/// Runs attempts until one completes, and returns the parts that were delivered to the caller, and whether the caller
/// was told that the response is complete. Without `is_checked` every part is delivered.
fn run(attempts: &[(Fault, u64)], is_checked: bool) -> (Vec<(request::Id, u64)>, bool) {
    let mut cursor = stream::Cursor::new(ID);
    let mut delivered = Vec::new();
    for (fault, position) in attempts {
        cursor.resume(ID);
        let (parts, has_end) = response(*fault, cursor.position(), *position);
        let is_intact = parts.into_iter().all(|part| {
            let is_accepted = cursor.accept(part.0, part.1).is_ok();
            if is_accepted || !is_checked {
                delivered.push(part);
            }
            is_accepted || !is_checked
        });
        let is_finished = is_intact && has_end && cursor.finish(ID, LENGTH).is_ok();
        if is_finished {
            let late = cursor.accept(ID, cursor.position());
            assert_eq!(late, Err(stream::Error::AfterEnd), "a part after the end");
        }
        if is_finished || !is_checked {
            return (delivered, true);
        }
        assert!(cursor.close().is_err());
    }
    (delivered, false)
}

/// Guards against delivering a truncated response, or duplicate or mismatched parts, with one fault and with pairs of
/// faults.
#[test]
fn a_caller_gets_each_part_once_or_an_error() {
    let whole: Vec<_> = (0..LENGTH).map(|position| (ID, position)).collect();
    let (mut cases, mut naive_faults) = (0, 0);
    for first in FAULTS {
        for second in FAULTS {
            for at in 0..LENGTH {
                for next in at..LENGTH {
                    let attempts = [(first, at), (second, next), (Fault::None, 0)];
                    let (delivered, complete) = run(&attempts, true);
                    assert!(
                        complete && delivered == whole,
                        "{attempts:?} delivered {delivered:?}"
                    );
                    let (delivered, complete) = run(&attempts, false);
                    naive_faults += usize::from(complete && delivered != whole);
                    cases += 1;
                }
            }
        }
    }
    println!(
        "stream: {cases} cases, {} injections, {naive_faults} wrong without the check",
        cases * 2
    );
    assert!(
        naive_faults > cases / 2,
        "the scenario does not show the fault"
    );
}

#[yare::parameterized(
    whole = { Some(10), &[4, 6], Some(10), Ok(()) },
    unknown_length = { None, &[4, 6], Some(10), Ok(()) },
    truncated = { Some(10), &[4, 5], Some(10), Err(stream::Error::Truncated(10, 9)) },
    truncated_with_matching_count = { Some(10), &[4, 5], Some(9), Err(stream::Error::Truncated(10, 9)) },
    too_long = { Some(10), &[4, 7], Some(11), Err(stream::Error::TooLong(10, 11)) },
    closed = { None, &[4, 6], None, Err(stream::Error::Closed(10)) },
    closed_early = { Some(10), &[4], None, Err(stream::Error::Truncated(10, 4)) },
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
