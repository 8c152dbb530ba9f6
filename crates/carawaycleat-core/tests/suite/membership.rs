use carawaycleat_core::membership;
use carawaycleat_core::name;

fn hosts(count: usize) -> Vec<name::Name> {
    let host = |number| name::Name::parse(&format!("entry-{number}")).expect("a valid name");
    (0..count).map(host).collect()
}

/// Guards against hosts that select different watchers because they list the hosts in different orders: then possibly
/// no host watches the store.
#[test]
fn the_order_in_which_hosts_are_known_does_not_matter() {
    let mut known = hosts(340);
    let watchers = membership::watchers(&known);
    assert_eq!(watchers.len(), membership::WATCHER_COUNT);
    known.reverse();
    assert_eq!(membership::watchers(&known), watchers);
    assert_eq!(
        membership::watchers(&hosts(2)).len(),
        2,
        "with few hosts, all watch"
    );
}

/// Guards against the loss of one host changing all watchers, so that all watches are reopened at once.
#[test]
fn a_host_that_leaves_changes_at_most_one_watcher() {
    let known = hosts(340);
    let watchers = membership::watchers(&known);
    for removed in &known {
        let rest: Vec<_> = known
            .iter()
            .filter(|host| *host != removed)
            .cloned()
            .collect();
        let after = membership::watchers(&rest);
        let kept = after.iter().filter(|host| watchers.contains(host)).count();
        let was_watcher = watchers.contains(removed);
        assert_eq!(
            kept,
            membership::WATCHER_COUNT - usize::from(was_watcher),
            "{removed} left"
        );
        assert!(!after.contains(removed));
    }
}
