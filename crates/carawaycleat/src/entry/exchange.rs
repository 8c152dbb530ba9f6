use std::net as std_net;
use std::sync;
use std::time;

use carawaycleat_core::config;
use carawaycleat_core::entry;
use carawaycleat_core::freshness;
use carawaycleat_core::membership;
use carawaycleat_core::name;
use carawaycleat_net as net;
use carawaycleat_wire as wire;

use super::members;
use super::shared;

/// The time between two exchanges with a peer.
const EVERY: time::Duration = time::Duration::from_millis(500);

/// The time allowed for an answer of a peer.
const TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// The longest answer of a peer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The most peers that one host exchanges digests with.
const MAX_PEERS: usize = 16;

/// The most models and adapters of a digest. With 16 peers, they take about 18 KB a second; a host that is asked for 55
/// has told of each within 2 s.
const MAX_ASKED: usize = 16;

/// Exchanges digests with peers for as long as the process runs.
pub(super) async fn run(shared: sync::Arc<shared::Shared>) {
    loop {
        async_io::Timer::after(EVERY).await;
        with_all(&shared);
    }
}

/// Starts an exchange with each peer.
pub(super) fn with_all(shared: &sync::Arc<shared::Shared>) {
    for address in peers(shared) {
        shared.spawn(exchange(shared.clone(), address));
    }
}

/// Returns the addresses to exchange digests with: those of the watchers, and others at random up to the bound.
fn peers(shared: &shared::Shared) -> Vec<std_net::SocketAddr> {
    let roster = shared.with(|reducer, _| members::of(reducer.configuration()));
    let hosts: Vec<_> = roster.iter().map(|member| member.host.clone()).collect();
    let watchers = membership::watchers(&hosts);
    let (first, rest): (Vec<_>, Vec<_>) = roster
        .into_iter()
        .partition(|member| watchers.contains(&member.host));
    let mut others: Vec<_> = rest.iter().map(|member| member.peer_address).collect();
    others.extend(&shared.settings.peers);
    fastrand::shuffle(&mut others);
    let mut chosen = Vec::new();
    for address in first.iter().map(|member| member.peer_address).chain(others) {
        if address != shared.member.peer_address && !chosen.contains(&address) {
            chosen.push(address);
        }
    }
    chosen.truncate(MAX_PEERS);
    chosen
}

/// Returns what this host tells its peers.
pub(super) fn digest(shared: &shared::Shared) -> wire::Digest {
    let (revision, store_age, offers) = shared.with(|reducer, now| {
        let offers = reducer.offers(now);
        (
            reducer.monitor().revision(),
            reducer.monitor().store_age(now),
            offers,
        )
    });
    let offers = offers
        .into_iter()
        .map(|(workspace, tokens)| wire::Offer { workspace, tokens });
    wire::Digest {
        stamp: shared.stamp(),
        host: shared.host().clone(),
        incarnation: shared.member.incarnation,
        revision,
        store_age_ms: store_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        leaving: shared.is_draining(),
        offers: offers.collect(),
        demand: shared.asked(part(shared), MAX_ASKED),
    }
}

/// Returns the place at which the part of the demand that is told now begins.
fn part(shared: &shared::Shared) -> usize {
    let period = EVERY.as_micros().max(1);
    let number = u128::from(shared.now().as_micros()) / period;
    usize::try_from(number).unwrap_or(0).wrapping_mul(MAX_ASKED)
}

async fn exchange(shared: sync::Arc<shared::Shared>, address: std_net::SocketAddr) {
    let sent = shared.now();
    let digest = digest(&shared);
    if let Some(answer) = call::<wire::Digest>(&shared, address, "/peer/exchange", &digest).await {
        shared.receive(&answer.stamp);
        shared.note_heard(&answer.host);
        shared.note_demand(&answer);
        let offers = answer
            .offers
            .into_iter()
            .map(|offer| (offer.workspace, offer.tokens));
        let report = freshness::Report {
            host: answer.host,
            incarnation: answer.incarnation,
            revision: answer.revision,
            store_age: answer.store_age_ms.map(time::Duration::from_millis),
            sent_at: sent,
        };
        shared.step(entry::Event::PeerReported {
            report,
            offers: offers.collect(),
        });
    }
}

/// Fetches from a peer what changed after `since`.
pub(super) async fn fetch(shared: sync::Arc<shared::Shared>, host: name::Name, since: u64) {
    let Some(address) = address_of(&shared, &host) else {
        return;
    };
    let request = wire::Fetch { since };
    let Some(bundle) = call::<wire::Update>(&shared, address, "/peer/config", &request).await
    else {
        return;
    };
    let change = |pair: wire::Pair| config::Change {
        key: pair.key,
        value: pair.value.map(serde_bytes::ByteBuf::into_vec),
        revision: pair.revision,
    };
    let changes = bundle.pairs.into_iter().map(change).collect();
    shared.step(if bundle.whole {
        entry::Event::Listing {
            revision: bundle.revision,
            pairs: changes,
        }
    } else {
        entry::Event::Changes {
            since,
            through: bundle.revision,
            changes,
        }
    });
}

/// Asks a peer for tokens.
pub(super) async fn borrow(
    shared: sync::Arc<shared::Shared>,
    host: name::Name,
    workspace: name::Name,
    tokens: u64,
) {
    let requested_at = shared.now();
    let request = wire::Borrow {
        host: shared.host().clone(),
        workspace: workspace.clone(),
        tokens,
    };
    let answer = match address_of(&shared, &host) {
        Some(address) => call::<wire::Transfer>(&shared, address, "/peer/tokens", &request).await,
        None => None,
    };
    shared.step(entry::Event::BorrowResolved {
        requested_at,
        transfer: answer.as_ref().map(|transfer| transfer.id.as_u128()),
        workspace,
        tokens: answer.map_or(0, |transfer| transfer.tokens),
    });
}

/// Tells a sidecar that the answer to an attempt is no longer wanted.
pub(super) async fn cancel(shared: sync::Arc<shared::Shared>, id: wire::Id, upstream: name::Name) {
    if let Some(address) = super::attempt::side_address(&shared, &upstream) {
        // The sidecar also sees that the connection has gone, so a lost cancel only costs time.
        call::<()>(&shared, address, "/cancel", &wire::Cancel { id }).await;
    }
}

fn address_of(shared: &shared::Shared, host: &name::Name) -> Option<std_net::SocketAddr> {
    let roster = shared.with(|reducer, _| members::of(reducer.configuration()));
    roster
        .into_iter()
        .find(|member| member.host == *host)
        .map(|member| member.peer_address)
}

async fn call<T: serde::de::DeserializeOwned>(
    shared: &shared::Shared,
    address: std_net::SocketAddr,
    path: &str,
    message: &impl serde::Serialize,
) -> Option<T> {
    let body = wire::encode(message).ok()?;
    let request = net::Request::new("POST", path).body(body);
    let exchange = async {
        let reply = shared.pool.send(address, request, TIMEOUT).await.ok()?;
        if reply.status != 200 {
            return None;
        }
        let bytes = reply.bytes(MAX_ANSWER_BYTES).await.ok()?;
        wire::decode(&bytes).ok()
    };
    let expired = async {
        async_io::Timer::after(TIMEOUT).await;
        None
    };
    futures_lite::future::or(exchange, expired).await
}
