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

use super::context;
use super::roster;

/// The time between two exchanges with a peer.
const EXCHANGE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The time after which a call to a peer or sidecar is abandoned.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// The maximum size of a response of a peer, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The maximum number of peers that a host exchanges digests with.
const MAX_PEERS: usize = 16;

/// The maximum number of models and adapters in a digest. With 16 peers, they take about 18 KB/s, and a host with
/// demand for 55 of them has sent each one within 2 s.
const MAX_DEMAND_ENTRIES: usize = 16;

/// Exchanges digests with peers for as long as the process runs.
pub(super) async fn run(context: sync::Arc<context::Context>) {
    loop {
        async_io::Timer::after(EXCHANGE_INTERVAL).await;
        start_all(&context);
    }
}

/// Starts an exchange with each peer.
pub(super) fn start_all(context: &sync::Arc<context::Context>) {
    for address in select_peers(context) {
        context.spawn(exchange(context.clone(), address));
    }
}

/// Returns the addresses to exchange digests with: those of the watchers, then random others up to [`MAX_PEERS`].
fn select_peers(context: &context::Context) -> Vec<std_net::SocketAddr> {
    let roster = context.with_reducer(|reducer, _| roster::members(reducer.configuration()));
    let hosts: Vec<_> = roster.iter().map(|member| member.host.clone()).collect();
    let watchers = membership::watchers(&hosts);
    let (watching, rest): (Vec<_>, Vec<_>) = roster
        .into_iter()
        .partition(|member| watchers.contains(&member.host));
    let mut others: Vec<_> = rest.iter().map(|member| member.peer_address).collect();
    others.extend(&context.settings.peers);
    fastrand::shuffle(&mut others);
    let mut chosen = Vec::new();
    for address in watching
        .iter()
        .map(|member| member.peer_address)
        .chain(others)
    {
        if address != context.member.peer_address && !chosen.contains(&address) {
            chosen.push(address);
        }
    }
    chosen.truncate(MAX_PEERS);
    chosen
}

/// Returns the digest of this host for its peers.
pub(super) fn digest(context: &context::Context) -> wire::Digest {
    let (revision, store_age, offers) = context.with_reducer(|reducer, now| {
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
        stamp: context.stamp(),
        host: context.host().clone(),
        incarnation: context.member.incarnation,
        revision,
        store_age_ms: store_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        leaving: context.is_draining(),
        offers: offers.collect(),
        demand: context.demand_page(demand_offset(context), MAX_DEMAND_ENTRIES),
    }
}

/// Returns the offset of the demand entries in the current digest, which advances by one page each interval.
fn demand_offset(context: &context::Context) -> usize {
    let period = EXCHANGE_INTERVAL.as_micros().max(1);
    let round = u128::from(context.now().as_micros()) / period;
    usize::try_from(round)
        .unwrap_or(0)
        .wrapping_mul(MAX_DEMAND_ENTRIES)
}

async fn exchange(context: sync::Arc<context::Context>, address: std_net::SocketAddr) {
    let sent_at = context.now();
    let digest = digest(&context);
    if let Some(response) = call::<wire::Digest>(&context, address, "/peer/exchange", &digest).await
    {
        context.receive(&response.stamp);
        context.record_contact(&response.host);
        context.record_peer_demand(&response);
        let offers = response
            .offers
            .into_iter()
            .map(|offer| (offer.workspace, offer.tokens));
        let report = freshness::Report {
            host: response.host,
            incarnation: response.incarnation,
            revision: response.revision,
            store_age: response.store_age_ms.map(time::Duration::from_millis),
            sent_at,
        };
        context.step(entry::Event::PeerReported {
            report,
            offers: offers.collect(),
        });
    }
}

/// Fetches the changes of the configuration after revision `since` from a peer.
pub(super) async fn fetch(context: sync::Arc<context::Context>, host: name::Name, since: u64) {
    let Some(address) = peer_address(&context, &host) else {
        return;
    };
    let request = wire::Fetch { since };
    let Some(update) = call::<wire::Update>(&context, address, "/peer/config", &request).await
    else {
        return;
    };
    let change = |pair: wire::Pair| config::Change {
        key: pair.key,
        value: pair.value.map(serde_bytes::ByteBuf::into_vec),
        revision: pair.revision,
    };
    let changes = update.pairs.into_iter().map(change).collect();
    context.step(if update.whole {
        entry::Event::Listing {
            revision: update.revision,
            pairs: changes,
        }
    } else {
        entry::Event::Changes {
            since,
            through: update.revision,
            changes,
        }
    });
}

/// Borrows tokens from a peer.
pub(super) async fn borrow(
    context: sync::Arc<context::Context>,
    host: name::Name,
    workspace: name::Name,
    tokens: u64,
) {
    let requested_at = context.now();
    let request = wire::Borrow {
        host: context.host().clone(),
        workspace: workspace.clone(),
        tokens,
    };
    let response = match peer_address(&context, &host) {
        Some(address) => call::<wire::Transfer>(&context, address, "/peer/tokens", &request).await,
        None => None,
    };
    context.step(entry::Event::BorrowResolved {
        requested_at,
        transfer: response.as_ref().map(|transfer| transfer.id.as_u128()),
        workspace,
        tokens: response.map_or(0, |transfer| transfer.tokens),
    });
}

/// Notifies a sidecar that an attempt is cancelled.
pub(super) async fn cancel(
    context: sync::Arc<context::Context>,
    id: wire::Id,
    upstream: name::Name,
) {
    if let Some(address) = super::attempt::sidecar_address(&context, &upstream) {
        // The sidecar also detects that the connection was closed, so a lost message only delays the cancellation.
        call::<()>(&context, address, "/cancel", &wire::Cancel { id }).await;
    }
}

fn peer_address(context: &context::Context, host: &name::Name) -> Option<std_net::SocketAddr> {
    let roster = context.with_reducer(|reducer, _| roster::members(reducer.configuration()));
    roster
        .into_iter()
        .find(|member| member.host == *host)
        .map(|member| member.peer_address)
}

async fn call<T: serde::de::DeserializeOwned>(
    context: &context::Context,
    address: std_net::SocketAddr,
    path: &str,
    message: &impl serde::Serialize,
) -> Option<T> {
    let body = wire::encode(message).ok()?;
    let request = net::Request::new("POST", path).body(body);
    let exchange = async {
        let response = context
            .pool
            .send(address, request, RESPONSE_TIMEOUT)
            .await
            .ok()?;
        if response.status != 200 {
            return None;
        }
        let bytes = response.bytes(MAX_RESPONSE_BYTES).await.ok()?;
        wire::decode(&bytes).ok()
    };
    let expired = async {
        async_io::Timer::after(RESPONSE_TIMEOUT).await;
        None
    };
    futures_lite::future::or(exchange, expired).await
}
