/// Joins the events of several processes, ordered by stamp and without duplicates.
pub fn merge(parts: Vec<Vec<super::Event>>) -> Vec<super::Event> {
    let mut events: Vec<_> = parts.into_iter().flatten().collect();
    events.sort_unstable();
    events.dedup();
    events
}
