use std::time;

use carawaycleat_core::clock;
use carawaycleat_standin::hosts;

fn list(name: &str) -> hosts::List {
    hosts::List {
        hosts: vec![hosts::Host {
            name: name.to_owned(),
            address: ([127, 0, 0, 1], 80).into(),
            availability_zone: "east".to_owned(),
            state: hosts::HostState::Leaving,
        }],
    }
}

/// Guards against a list that shows a change early or skips one between two reads.
#[test]
fn the_list_lags() {
    let mut state = hosts::State::new(time::Duration::from_secs(2));
    let at = |s: u64| clock::Instant::from_millis(s * 1_000);
    state.set(at(0), list("a"));
    assert_eq!(state.get(at(1)), hosts::List::default());
    state.set(at(3), list("b"));
    state.set(at(4), list("c"));
    assert_eq!(state.get(at(4)), list("a"));
    assert_eq!(state.get(at(5)), list("b"));
    assert_eq!(state.get(at(6)), list("c"));
}
