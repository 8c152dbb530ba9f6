/// Merges the events of several processes, ordered by stamp and without duplicates.
pub fn merge(lists: Vec<Vec<super::Event>>) -> Vec<super::Event> {
    let mut events: Vec<_> = lists.into_iter().flatten().collect();
    events.sort_unstable();
    events.dedup();
    events
}
