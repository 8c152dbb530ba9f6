//! What an entry host does at intervals.

use std::sync;
use std::time;

use carawaycleat_core::entry;
use carawaycleat_core::name;
use carawaycleat_net as net;
use carawaycleat_store as store;
use carawaycleat_wire as wire;

use super::members;
use super::shared;
use crate::log;
use crate::metric;

/// The time between two ticks of the reducer; the bound on revoked keys needs at most 250 ms.
const TICK: time::Duration = time::Duration::from_millis(50);

/// The time between two checks that this host is in the roster.
const ROSTER: time::Duration = time::Duration::from_secs(1);

/// The silence after which a host is taken out of the roster.
const SILENT_AFTER: time::Duration = time::Duration::from_secs(60);

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

/// Keeps this host in the roster, and takes hosts out of it that have been silent for long.
pub(super) async fn join(shared: sync::Arc<shared::Shared>) {
    let mut was_superseded = false;
    loop {
        async_io::Timer::after(ROSTER).await;
        let is_loaded = shared.with(|reducer, _| reducer.configuration().revision() > 0);
        if !is_loaded || shared.is_draining() {
            continue;
        }
        let members = shared.with(|reducer, _| members::of(reducer.configuration()));
        let known = members.iter().find(|member| member.host == *shared.host());
        match known {
            Some(known) if known.incarnation > shared.member.incarnation => {
                // Another process has taken the name; writing the record again would have both fight over it.
                if !std::mem::replace(&mut was_superseded, true) {
                    log::error(&format!("{} runs as another process", known.host));
                }
            }
            Some(known) if *known == shared.member => prune(&shared, &members).await,
            _ => enter(&shared).await,
        }
    }
}

/// Enters the roster.
async fn enter(shared: &shared::Shared) {
    put(shared, &shared.member).await;
}

/// Notes in the roster that this host is stopping, so that the others take over its part of the rates.
pub(super) async fn announce(shared: &shared::Shared) {
    let member = wire::Member {
        leaving: true,
        ..shared.member.clone()
    };
    put(shared, &member).await;
}

async fn put(shared: &shared::Shared, member: &wire::Member) {
    let value = serde_json::to_vec(member).expect("a member can always be written to memory");
    let put = store::Write::put(members::key(shared.host()), value);
    let answer = shared
        .store
        .commit(&store::Transaction::new().write(put))
        .await;
    shared
        .metric
        .count_store_call(metric::Call::Transaction, answer.is_ok());
    if let Err(error) = answer {
        log::debug(|| format!("cannot enter the roster: {error}"));
    }
}

/// Removes one host that has been silent for long, if this host hears a majority.
///
/// One at a time, so that the majorities before and after share a host.
async fn prune(shared: &shared::Shared, members: &[wire::Member]) {
    let hears_majority = shared.with(|reducer, now| reducer.monitor().can_acknowledge(now));
    let silent = members.iter().find(|member| {
        member.host != *shared.host() && shared.is_silent(&member.host, SILENT_AFTER)
    });
    let Some(silent) = silent.filter(|_| hears_majority) else {
        return;
    };
    let key = members::key(&silent.host);
    let revision = shared.with(|reducer, _| {
        reducer
            .configuration()
            .value(&key)
            .map(|(_, revision)| revision)
    });
    let Some(revision) = revision else { return };
    let transaction = store::Transaction::new()
        .when(store::Condition::Modified(key.clone(), revision))
        .write(store::Write::delete(key));
    let answer = shared.store.commit(&transaction).await;
    shared
        .metric
        .count_store_call(metric::Call::Transaction, answer.is_ok());
    if answer.is_ok_and(|answer| answer.succeeded) {
        log::warn(&format!(
            "{} has been silent for long and left the roster",
            silent.host
        ));
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
                shared.step(entry::Event::UpstreamListed(
                    host.name,
                    host.state == "leaving",
                ));
            }
        }
        async_io::Timer::after(HOSTS).await;
    }
}
