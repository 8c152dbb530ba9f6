use std::sync;

use carawaycleat_core::entry;
use carawaycleat_core::memory;
use carawaycleat_core::name;
use carawaycleat_core::placement;
use carawaycleat_core::resource;
use carawaycleat_core::routing;
use carawaycleat_net as net;
use carawaycleat_wire as wire;

use super::exchange;
use super::members;
use super::placing;
use super::shared;

/// Answers a peer or a sidecar.
pub(super) async fn answer(
    shared: sync::Arc<shared::Shared>,
    request: net::Request,
) -> net::Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/peer/exchange") => with_body(&request, |digest: wire::Digest| {
            shared.receive(&digest.stamp);
            shared.note_demand(&digest);
            exchange::digest(&shared)
        }),
        ("POST", "/peer/report") => with_body(&request, |report| reported(&shared, report)),
        ("POST", "/peer/config") => with_body(&request, |fetch| bundle(&shared, &fetch)),
        ("POST", "/peer/tokens") => with_body(&request, |ask| lend(&shared, ask)),
        ("GET", "/timeline") => shared.timeline(request.query.as_deref().unwrap_or_default()),
        _ => net::Response::new(404),
    }
}

fn with_body<T, R>(request: &net::Request, answer: impl FnOnce(T) -> R) -> net::Response
where
    T: serde::de::DeserializeOwned,
    R: serde::Serialize,
{
    let message = match wire::decode(&request.body) {
        Ok(message) => message,
        Err(error) => return net::Response::new(400).body(error.to_string()),
    };
    match wire::encode(&answer(message)) {
        Ok(bytes) => net::Response::new(200)
            .header("content-type", "application/msgpack")
            .body(bytes),
        Err(error) => net::Response::new(500).body(error.to_string()),
    }
}

fn lend(shared: &sync::Arc<shared::Shared>, ask: wire::Borrow) -> wire::Transfer {
    let id = u128::from(fastrand::u64(..)) << 64 | u128::from(fastrand::u64(..));
    let event = entry::Event::TokensRequested {
        transfer: id,
        workspace: ask.workspace.clone(),
        tokens: ask.tokens,
    };
    let tokens = shared.lend(id, event);
    wire::Transfer {
        id: wire::Id::from_u128(id),
        workspace: ask.workspace,
        tokens,
    }
}

fn bundle(shared: &shared::Shared, fetch: &wire::Fetch) -> wire::Update {
    let (revision, changes, whole) = shared.with(|reducer, _| {
        let history = reducer.configuration();
        match history.changes_since(fetch.since) {
            Some(changes) => (history.revision(), changes, false),
            None => (history.revision(), history.listing(), true),
        }
    });
    let pair = |change: carawaycleat_core::config::Change| wire::Pair {
        key: change.key,
        value: change.value.map(serde_bytes::ByteBuf::from),
        revision: change.revision,
    };
    wire::Update {
        revision,
        whole,
        pairs: changes.into_iter().map(pair).collect(),
    }
}

fn reported(shared: &sync::Arc<shared::Shared>, report: wire::Report) -> wire::Directive {
    shared.receive(&report.stamp);
    let upstream = report.upstream.clone();
    shared.observe(&report);
    shared.step(entry::Event::SidecarReported(Box::new(load(report))));
    directive(shared, &upstream)
}

fn load(report: wire::Report) -> routing::Report {
    let resident = |item: wire::Residence| routing::Resident {
        model: item.model,
        adapter: item.adapter,
        answered: item.answered,
    };
    routing::Report {
        upstream: report.upstream,
        incarnation: report.incarnation,
        sequence: report.sequence,
        leaving: report.leaving,
        reachable: report.reachable,
        resident: report.resident.into_iter().map(resident).collect(),
        in_flight: report.in_flight,
        waiting: report.waiting,
        capacity: report.capacity,
    }
}

fn directive(shared: &shared::Shared, upstream: &name::Name) -> wire::Directive {
    let stamp = shared.stamp();
    shared.with(|reducer, now| {
        let history = reducer.configuration();
        let found = history.snapshot().upstream(upstream);
        // A plan that does not name the upstream says nothing about what it holds.
        let plan = found.and_then(|resource| plan(history, resource));
        let plan = plan.filter(|plan| plan.holdings(upstream).is_some());
        let items = plan
            .as_ref()
            .and_then(|plan| plan.holdings(upstream))
            .unwrap_or_default();
        wire::Directive {
            stamp,
            host: shared.host().clone(),
            incarnation: shared.member.incarnation,
            sent_us: now.as_micros(),
            revision: history.revision(),
            known: found.is_some(),
            leaving: found.is_some_and(|resource| resource.leaving),
            plan_revision: plan.as_ref().map_or(0, |plan| plan.revision),
            holdings: items.iter().map(holding).collect(),
            // Each entry host routes by the reports that it hears itself.
            members: members::of(history),
        }
    })
}

fn plan(
    history: &carawaycleat_core::config::Cache,
    upstream: &resource::Upstream,
) -> Option<placement::Plan> {
    let (value, revision) = history.value(&placing::plan_key(&upstream.group))?;
    let plan: placement::Plan = serde_json::from_slice(value).ok()?;
    Some(plan.at_revision(revision))
}

fn holding(item: &memory::Item) -> wire::Holding {
    wire::Holding {
        model: item.id.model.clone(),
        version: item.id.version.clone(),
        adapter: item.id.adapter.clone(),
        bytes: item.bytes,
    }
}
