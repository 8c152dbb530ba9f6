//! The cells of the table: what happens around one request.

use std::collections;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::relay;

use super::config;
use super::upstream;
use super::world;
use crate::relay_fake;

/// What the caller has received when the first upstream falls silent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Received {
    Nothing,
    Head,
    Events,
}

/// One combination.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cell {
    /// How long the first upstream is silent.
    pub(super) silence_ms: u64,
    /// How the second upstream behaves; none if there is none.
    pub(super) second: Option<upstream::Behavior>,
    /// How long the second upstream takes to respond.
    pub(super) response_ms: u64,
    /// Whether there is a third upstream, which is sound.
    pub(super) has_third: bool,
    /// The load that the coordinator announces.
    pub(super) announced_ms: Option<u64>,
    pub(super) received: Received,
    /// Whether the request may be repeated.
    pub(super) is_repeatable: bool,
    /// The later configuration and when it is applied.
    pub(super) change: Option<(config::Change, world::Moment)>,
    /// When the host stands still after the silence has begun, for how long, and whether it then sees a tick first.
    pub(super) late: Option<(u64, u64, bool)>,
}

const SILENCES_MS: [u64; 5] = [300, 700, 1_000, 1_300, 2_000];
/// The first one ends before the host gives up the first of two attempts, the others after it.
const RESPONSES_MS: [u64; 3] = [25, 350, 500];
const ANNOUNCED_MS: [Option<u64>; 3] = [None, Some(3_100), Some(4_240)];
const MOMENTS: [world::Moment; 4] = [
    world::Moment::Silence,
    world::Moment::Retry,
    world::Moment::Failure,
    world::Moment::Return,
];
const CHANGES: [config::Change; 3] = [
    config::Change::Timeout,
    config::Change::RouteGone,
    config::Change::ServiceGone,
];
/// The events that the caller has received under [`Received::Events`].
const EVENTS_BEFORE: u32 = 10;

/// Returns all cells with this second upstream, without a later configuration.
pub(super) fn cells(
    second: Option<upstream::Behavior>,
    received: Received,
    is_repeatable: bool,
) -> Vec<Cell> {
    let fails_late = second.is_some_and(upstream::Behavior::accepts_and_fails);
    let responses_ms = &RESPONSES_MS[..if fails_late { 3 } else { 1 }];
    let mut cells = Vec::new();
    for (silence_ms, has_third) in product(&SILENCES_MS, &[false, true]) {
        for (response_ms, announced_ms) in product(responses_ms, &ANNOUNCED_MS) {
            cells.push(Cell {
                silence_ms,
                second,
                response_ms,
                has_third,
                announced_ms,
                received,
                is_repeatable,
                change: None,
                late: None,
            });
        }
    }
    cells
}

fn product<T: Copy, U: Copy>(these: &[T], those: &[U]) -> impl Iterator<Item = (T, U)> {
    these
        .iter()
        .flat_map(|this| those.iter().map(|that| (*this, *that)))
}

/// Plays the cells, each without and with each later configuration at each moment that comes, and fails with those that
/// break a rule.
pub(super) fn play_all(cells: impl IntoIterator<Item = Cell>) {
    let mut count = 0;
    let mut failed = Vec::new();
    let mut tally = collections::BTreeMap::<_, u32>::new();
    let mut play = |cell: Cell| {
        let world = cell.play();
        count += 1;
        if !world.violations.is_empty() {
            failed.push(format!("{:?}: {cell:?}", world.violations));
        }
        for violation in world.violations {
            *tally.entry(violation).or_default() += 1;
        }
        world.moments
    };
    for cell in cells {
        let moments = play(cell);
        let moments = MOMENTS
            .iter()
            .filter(|moment| moments.contains(moment) && cell.late.is_none());
        for moment in moments {
            for change in CHANGES {
                let change = Some((change, *moment));
                play(Cell { change, ..cell });
            }
        }
    }
    let number = failed.len();
    failed.truncate(6);
    assert!(
        number == 0,
        "{number} of {count} cells: {tally:?}, such as\n{}",
        failed.join("\n")
    );
}

impl Cell {
    /// Plays the cell until the end of the response.
    pub(super) fn play(&self) -> world::World {
        let mut upstreams = vec![upstream::Upstream::new("one", upstream::Behavior::Sound)];
        let second = self.second.map(|behavior| ("two", behavior));
        let third = self
            .has_third
            .then_some(("three", upstream::Behavior::Sound));
        let others = second.into_iter().chain(third);
        upstreams.extend(others.map(|(id, behavior)| upstream::Upstream::new(id, behavior)));
        if let Some(second) = upstreams.get_mut(1) {
            second.response_time = relay_fake::millis(self.response_ms);
        }
        let mut world = world::World::new(relay::Options::default(), upstreams);
        world.announced_ms = self.announced_ms;
        let begins = world.harness.now + self.silence_after();
        let ends = begins + relay_fake::millis(self.silence_ms);
        world.upstreams[0].silence = Some((begins, ends));
        let path = match self.is_repeatable {
            true => "/live/1",
            false => "/batch/1",
        };
        world.arrive(relay::Request {
            model: Some(relay_fake::name("small")),
            ..relay_fake::request(path)
        });
        let mut change = self.change;
        let mut late = self.late;
        world.run(|world| {
            self.mark(world, begins, ends);
            if let Some((kind, moment)) = change
                && world.moments.contains(&moment)
            {
                change = None;
                world.harness.feed(kind.event());
            }
            if let Some((after_ms, length_ms, tick_first)) = late
                && world.harness.now >= begins + relay_fake::millis(after_ms)
            {
                late = None;
                let end = world.harness.now + relay_fake::millis(length_ms);
                world.late = Some((end, tick_first));
            }
            false
        });
        if world.has_begun || world.end.is_none() {
            world.check_complete();
        }
        world
    }

    /// Returns when the silence begins after the arrival of the request.
    fn silence_after(&self) -> time::Duration {
        let received = match self.received {
            Received::Nothing => return time::Duration::from_micros(1),
            Received::Head => 1,
            Received::Events => 1 + EVENTS_BEFORE,
        };
        upstream::INTERVAL * received + time::Duration::from_micros(1)
    }

    fn mark(&self, world: &mut world::World, begins: clock::Instant, ends: clock::Instant) {
        for (at, moment) in [
            (begins, world::Moment::Silence),
            (ends, world::Moment::Return),
        ] {
            if world.harness.now >= at {
                world.moments.insert(moment);
            }
        }
    }
}
