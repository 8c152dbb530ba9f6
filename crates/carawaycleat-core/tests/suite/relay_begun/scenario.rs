//! Steps of tests that follow one request.

use std::time;

use carawaycleat_core::relay;

use super::upstream;
use super::world;

/// Returns a world of sound upstreams, whose caller has ten events of a stream.
pub(super) fn begun(
    options: relay::Options,
    ids: &[&'static str],
    request: relay::Request,
) -> world::World {
    let sound = |id: &&'static str| upstream::Upstream::new(id, upstream::Behavior::Sound);
    let mut world = world::World::new(options, ids.iter().map(sound).collect());
    world.arrive(request);
    world.run_to_event(10);
    world
}

impl world::World {
    /// Lets the caller of the request leave, if it is still there, and another request arrive. Its caller has received
    /// `received_before` events.
    pub(super) fn arrive_next(&mut self, request: relay::Request, received_before: u64) {
        self.harness.feed(relay::Event::CallerDisconnected(self.id));
        self.attempts.clear();
        self.received.clear();
        self.received_before = received_before;
        self.has_begun = false;
        self.end = None;
        self.carried_out = 0;
        self.arrive(request);
    }

    /// Steps until the caller has `count` events.
    pub(super) fn run_to_event(&mut self, count: usize) {
        self.run(|world| world.received.len() >= count);
        assert_eq!((self.received.len(), self.end), (count, None));
    }

    /// Breaks off the attempts in progress. Until `until`, the upstreams then treat requests in this way.
    pub(super) fn break_off(&mut self, behavior: upstream::Behavior, until: time::Duration) {
        let now = self.harness.now;
        for entry in &mut self.upstreams {
            entry.breaks_at = Some(now);
            entry.behavior = (behavior, Some(now + until));
        }
    }

    /// Steps to the end, and fails unless the caller gets a complete response by the rules.
    pub(super) fn assert_goes_on(&mut self) {
        self.run(|_| false);
        self.check_complete();
        let commands = &self.harness.commands[&self.id];
        assert!(
            self.violations.is_empty(),
            "{:?} after {:?}: {commands:?}",
            self.violations,
            self.running
        );
    }
}
