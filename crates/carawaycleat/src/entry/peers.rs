use std::sync;

use carawaycleat_core::entry;
use carawaycleat_core::memory;
use carawaycleat_core::name;
use carawaycleat_core::placement;
use carawaycleat_core::resource;
use carawaycleat_core::routing;
use carawaycleat_net as net;
use carawaycleat_wire as wire;

use super::context;
use super::exchange;
use super::planning;
use super::roster;

/// Handles the request of a peer or a sidecar.
pub(super) async fn handle(
    context: sync::Arc<context::Context>,
    request: net::Request,
) -> net::Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/peer/exchange") => handle_message(&request, |digest: wire::Digest| {
            context.receive(&digest.stamp);
            context.record_peer_demand(&digest);
            exchange::digest(&context)
        }),
        ("POST", "/peer/report") => {
            handle_message(&request, |report| handle_report(&context, report))
        }
        ("POST", "/peer/config") => {
            handle_message(&request, |fetch| configuration_update(&context, &fetch))
        }
        ("POST", "/peer/tokens") => handle_message(&request, |borrow| lend(&context, borrow)),
        ("GET", "/timeline") => context.timeline(request.query.as_deref().unwrap_or_default()),
        _ => net::Response::new(404),
    }
}

fn handle_message<T, R>(request: &net::Request, handler: impl FnOnce(T) -> R) -> net::Response
where
    T: serde::de::DeserializeOwned,
    R: serde::Serialize,
{
    let message = match wire::decode(&request.body) {
        Ok(message) => message,
        Err(error) => return net::Response::new(400).body(error.to_string()),
    };
    match wire::encode(&handler(message)) {
        Ok(bytes) => net::Response::new(200)
            .header("content-type", "application/msgpack")
            .body(bytes),
        Err(error) => net::Response::new(500).body(error.to_string()),
    }
}

fn lend(context: &sync::Arc<context::Context>, borrow: wire::Borrow) -> wire::Transfer {
    let id = u128::from(fastrand::u64(..)) << 64 | u128::from(fastrand::u64(..));
    let event = entry::Event::TokensRequested {
        transfer: id,
        workspace: borrow.workspace.clone(),
        tokens: borrow.tokens,
    };
    let tokens = context.lend(id, event);
    wire::Transfer {
        id: wire::Id::from_u128(id),
        workspace: borrow.workspace,
        tokens,
    }
}

fn configuration_update(context: &context::Context, fetch: &wire::Fetch) -> wire::Update {
    let (revision, changes, whole) = context.with_reducer(|reducer, _| {
        let cache = reducer.configuration();
        match cache.changes_since(fetch.since) {
            Some(changes) => (cache.revision(), changes, false),
            None => (cache.revision(), cache.listing(), true),
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

fn handle_report(context: &sync::Arc<context::Context>, report: wire::Report) -> wire::Directive {
    context.receive(&report.stamp);
    let upstream = report.upstream.clone();
    context.record_report(&report);
    context.step(entry::Event::SidecarReported(Box::new(routing_report(
        report,
    ))));
    directive(context, &upstream)
}

fn routing_report(report: wire::Report) -> routing::Report {
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

fn directive(context: &context::Context, upstream: &name::Name) -> wire::Directive {
    let stamp = context.stamp();
    context.with_reducer(|reducer, now| {
        let cache = reducer.configuration();
        let configured = cache.snapshot().upstream(upstream);
        // A plan that does not contain the upstream does not determine its holdings.
        let plan = configured.and_then(|resource| stored_plan(cache, resource));
        let plan = plan.filter(|plan| plan.holdings(upstream).is_some());
        let items = plan
            .as_ref()
            .and_then(|plan| plan.holdings(upstream))
            .unwrap_or_default();
        wire::Directive {
            stamp,
            host: context.host().clone(),
            incarnation: context.member.incarnation,
            sent_us: now.as_micros(),
            revision: cache.revision(),
            known: configured.is_some(),
            leaving: configured.is_some_and(|resource| resource.leaving),
            plan_revision: plan.as_ref().map_or(0, |plan| plan.revision),
            holdings: items.iter().map(to_holding).collect(),
            // The sidecar reports to every member, since each entry host routes by the reports that it receives itself.
            members: roster::members(cache),
        }
    })
}

fn stored_plan(
    cache: &carawaycleat_core::config::Cache,
    upstream: &resource::Upstream,
) -> Option<placement::Plan> {
    let (value, revision) = cache.value(&planning::plan_key(&upstream.group))?;
    let plan: placement::Plan = serde_json::from_slice(value).ok()?;
    Some(plan.at_revision(revision))
}

fn to_holding(item: &memory::Item) -> wire::Holding {
    wire::Holding {
        model: item.id.model.clone(),
        version: item.id.version.clone(),
        adapter: item.id.adapter.clone(),
        bytes: item.bytes,
    }
}
