//! The periodic tasks of an entry host.

use std::sync;
use std::time;

use carawaycleat_core::entry;
use carawaycleat_core::name;
use carawaycleat_net as net;
use carawaycleat_store as store;
use carawaycleat_wire as wire;

use super::context;
use super::roster;
use crate::log;
use crate::metric;

/// The time between two ticks of the reducer. The time limit for revoked keys requires at most 250 ms.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The time between two checks of the roster.
const ROSTER_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The time without a response after which a host is removed from the roster.
const ROSTER_REMOVAL_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// The time between two polls of the platform's host list, and the timeout of each.
const HOSTS_POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The maximum size of the host list, in bytes.
const MAX_HOSTS_BYTES: usize = 8 << 20;

/// Sends ticks to the reducer.
pub(super) async fn tick(context: sync::Arc<context::Context>) {
    loop {
        async_io::Timer::after(TICK_INTERVAL).await;
        context.step(entry::Event::Tick);
    }
}

/// Keeps this host in the roster and removes hosts that do not respond.
pub(super) async fn maintain_membership(context: sync::Arc<context::Context>) {
    let mut was_superseded = false;
    loop {
        async_io::Timer::after(ROSTER_CHECK_INTERVAL).await;
        let is_loaded = context.with_reducer(|reducer, _| reducer.configuration().revision() > 0);
        if !is_loaded || context.is_draining() {
            continue;
        }
        let members = context.with_reducer(|reducer, _| roster::members(reducer.configuration()));
        let registered = members.iter().find(|member| member.host == *context.host());
        match registered {
            Some(registered) if registered.incarnation > context.member.incarnation => {
                // Another process uses this host's name. Writing the record again would make both overwrite it in turn.
                if !std::mem::replace(&mut was_superseded, true) {
                    log::error(&format!(
                        "another process with a later start runs as host {}",
                        registered.host
                    ));
                }
            }
            Some(registered) if *registered == context.member => prune(&context, &members).await,
            _ => register(&context).await,
        }
    }
}

/// Adds this host to the roster, or updates its record.
async fn register(context: &context::Context) {
    put(context, &context.member).await;
}

/// Marks this host as leaving in the roster, so that the others take over its share of the rates.
pub(super) async fn announce_leaving(context: &context::Context) {
    let member = wire::Member {
        leaving: true,
        ..context.member.clone()
    };
    put(context, &member).await;
}

async fn put(context: &context::Context, member: &wire::Member) {
    let value = serde_json::to_vec(member).expect("a member can always be written to memory");
    let put = store::Write::put(roster::key(context.host()), value);
    let response = context
        .store
        .commit(&store::Transaction::new().write(put))
        .await;
    context
        .metric
        .count_store_call(metric::Call::Transaction, response.is_ok());
    if let Err(error) = response {
        log::debug(|| format!("cannot write the roster record: {error}"));
    }
}

/// Removes one host that has not responded for long, if this host is in contact with a majority.
///
/// Hosts are removed one at a time, so that any majority before a removal and any majority after it have a host in
/// common.
async fn prune(context: &context::Context, members: &[wire::Member]) {
    let has_majority = context.with_reducer(|reducer, now| reducer.monitor().can_acknowledge(now));
    let silent = members.iter().find(|member| {
        member.host != *context.host() && context.is_silent(&member.host, ROSTER_REMOVAL_TIMEOUT)
    });
    let Some(silent) = silent.filter(|_| has_majority) else {
        return;
    };
    let key = roster::key(&silent.host);
    let revision = context.with_reducer(|reducer, _| {
        reducer
            .configuration()
            .value(&key)
            .map(|(_, revision)| revision)
    });
    let Some(revision) = revision else { return };
    let transaction = store::Transaction::new()
        .when(store::Condition::Modified(key.clone(), revision))
        .write(store::Write::delete(key));
    let response = context.store.commit(&transaction).await;
    context
        .metric
        .count_store_call(metric::Call::Transaction, response.is_ok());
    if response.is_ok_and(|response| response.succeeded) {
        log::warn(&format!(
            "removed {} from the roster: no response for a long time",
            silent.host
        ));
    }
}

/// Removes this host from the roster.
pub(super) async fn deregister(context: &context::Context) {
    let remove = store::Write::delete(roster::key(context.host()));
    let response = context
        .store
        .commit(&store::Transaction::new().write(remove))
        .await;
    context
        .metric
        .count_store_call(metric::Call::Transaction, response.is_ok());
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

/// Polls the platform's host list. The list lags behind, so it is only used to learn that an upstream is leaving before
/// the upstream reports it.
pub(super) async fn poll_hosts(context: sync::Arc<context::Context>) {
    let Some(address) = context.settings.hosts.endpoint else {
        return;
    };
    loop {
        let request = net::Request::new("GET", "/hosts");
        if let Ok(response) = context
            .pool
            .send(address, request, HOSTS_POLL_INTERVAL)
            .await
            && let Ok(bytes) = response.bytes(MAX_HOSTS_BYTES).await
            && let Ok(list) = serde_json::from_slice::<Hosts>(&bytes)
        {
            for host in list.hosts {
                context.step(entry::Event::UpstreamListed(
                    host.name,
                    host.state == "leaving",
                ));
            }
        }
        async_io::Timer::after(HOSTS_POLL_INTERVAL).await;
    }
}
