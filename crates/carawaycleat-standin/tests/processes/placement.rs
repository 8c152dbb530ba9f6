//! The placement of models.

use crate::world;

/// Guards against a placement that knows only the demand of the entry host that decides (section 4.6: replicas follow
/// demand).
#[test]
fn replicas_follow_the_demand_of_the_other_entry_hosts() {
    let world = world::World::start(world::Plan::default());
    let decides = |n: &usize| {
        let log = world.entries[*n].process.log();
        log.contains("this host decides the placement of group engines")
    };
    let decider = (0..world::ENTRIES).find(decides).expect("a decider");
    let before = world.execution_counts();
    world::wait_until("each engine answers", || {
        world.send_load((0..world::ENTRIES).filter(|n| *n != decider));
        let now = world.execution_counts();
        now.iter().zip(&before).all(|(now, before)| now > before)
    });
}
