//! What an entry host does at intervals.

use std::sync;
use std::time;

use carawaycleat_core::entry;
use carawaycleat_core::name;
use carawaycleat_net as net;
use carawaycleat_store as store;

use super::members;
use super::shared;
use crate::log;
use crate::metric;

/// The time between two ticks of the reducer; the bound on revoked keys needs at most 250 ms.
const TICK: time::Duration = time::Duration::from_millis(50);

/// The time between two checks that this host is in the roster.
const ROSTER: time::Duration = time::Duration::from_secs(1);

/// The time between two reads of the host list.
const HOSTS: time::Duration = time::Duration::from_secs(1);

/// The longest answer of the host list, in bytes.
const MAX_HOSTS_BYTES: usize = 8 << 20;

/// Lets the reducer know that time passes.
pub(super) async fn tick(shared: sync::Arc<shared::Shared>) {
    loop {
        async_io::Timer::after(TICK).await;
        shared.step(entry::Event::Tick);
    }
}

/// Keeps this host in the roster.
pub(super) async fn join(shared: sync::Arc<shared::Shared>) {
    loop {
        let is_loaded = shared.with(|reducer, _| reducer.history().revision() > 0);
        let is_member =
            shared.with(|reducer, _| members::of(reducer.history()).contains(&shared.member));
        if is_loaded && !is_member && !shared.is_draining() {
            let value = serde_json::to_vec(&shared.member)
                .expect("a member can always be written to memory");
            let put = store::Write::put(members::key(shared.host()), value);
            let answer = shared
                .store
                .commit(&store::Transaction::new().write(put))
                .await;
            shared
                .metric
                .count_store_call(metric::Call::Transaction, answer.is_ok());
            if let Err(error) = answer {
                log::debug(|| format!("cannot join the roster: {error}"));
            }
        }
        async_io::Timer::after(ROSTER).await;
    }
}

/// Takes this host out of the roster.
pub(super) async fn leave(shared: &shared::Shared) {
    let remove = store::Write::delete(members::key(shared.host()));
    let answer = shared
        .store
        .commit(&store::Transaction::new().write(remove))
        .await;
    shared
        .metric
        .count_store_call(metric::Call::Transaction, answer.is_ok());
}

#[derive(serde::Deserialize)]
struct Hosts {
    hosts: Vec<Host>,
}

#[derive(serde::Deserialize)]
struct Host {
    name: name::Name,
    state: String,
}

/// Follows the platform's list of hosts, which lags: it only says earlier than an upstream itself that it is leaving.
pub(super) async fn hosts(shared: sync::Arc<shared::Shared>) {
    let Some(address) = shared.settings.hosts.endpoint else {
        return;
    };
    loop {
        let request = net::Request::new("GET", "/hosts");
        if let Ok(reply) = shared.pool.send(address, request, HOSTS).await
            && let Ok(bytes) = reply.bytes(MAX_HOSTS_BYTES).await
            && let Ok(list) = serde_json::from_slice::<Hosts>(&bytes)
        {
            for host in list.hosts {
                shared.step(entry::Event::Listed(host.name, host.state == "leaving"));
            }
        }
        async_io::Timer::after(HOSTS).await;
    }
}
