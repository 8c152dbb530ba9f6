//! Selection of the entry hosts that watch the store on behalf of all.

use std::cmp;

use sha2::Digest as _;

use crate::name;

/// The number of entry hosts that watch the store; the other hosts receive changes from them.
///
/// Three hosts tolerate the loss of one host and of one availability zone at the same time as a planned stop.
pub const WATCHER_COUNT: usize = 3;

/// Returns the hosts among `live` that watch the store.
///
/// They are selected by rendezvous hashing: every host computes the same watchers, and a host that joins or leaves
/// changes at most one of them.
///
/// # Examples
///
/// ```
/// use carawaycleat_core::{membership, name};
///
/// let hosts = ["a", "b", "c", "d", "e"].map(|host| name::Name::parse(host).expect("a valid name"));
/// let watchers = membership::watchers(&hosts);
/// assert_eq!(watchers.len(), membership::WATCHER_COUNT);
/// ```
pub fn watchers(live: &[name::Name]) -> Vec<name::Name> {
    let mut ranked: Vec<_> = live
        .iter()
        .map(|host| (cmp::Reverse(weight(host)), host))
        .collect();
    ranked.sort();
    ranked.dedup();
    ranked
        .into_iter()
        .take(WATCHER_COUNT)
        .map(|(_, host)| host.clone())
        .collect()
}

/// Returns the weight of a host in the rendezvous hash.
///
/// It must be the same in every process and version, so it does not use the standard library's hasher.
fn weight(host: &name::Name) -> u64 {
    let digest = sha2::Sha256::digest(host.as_bytes());
    let first = digest.first_chunk::<8>().expect("a digest has 32 bytes");
    u64::from_be_bytes(*first)
}
