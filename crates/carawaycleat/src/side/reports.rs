use std::net as std_net;
use std::sync;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::memory;
use carawaycleat_core::side;
use carawaycleat_net as net;
use carawaycleat_wire as wire;

use super::shared;

/// The time allowed for an answer of an entry host.
const TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The longest directive, in bytes.
const MAX_DIRECTIVE_BYTES: usize = 4 << 20;

/// Sends a report to all entry hosts.
pub(super) fn send(shared: &sync::Arc<shared::Shared>, report: &wire::Report) {
    for address in shared.entries() {
        shared.spawn(exchange(shared.clone(), address, report.clone()));
    }
}

async fn exchange(
    shared: sync::Arc<shared::Shared>,
    address: std_net::SocketAddr,
    report: wire::Report,
) {
    let Ok(body) = wire::encode(&report) else {
        return;
    };
    let request = net::Request::new("POST", "/peer/report").body(body);
    let exchange = async {
        let reply = shared.pool.send(address, request, TIMEOUT).await.ok()?;
        if reply.status != 200 {
            return None;
        }
        let bytes = reply.bytes(MAX_DIRECTIVE_BYTES).await.ok()?;
        wire::decode::<wire::Directive>(&bytes).ok()
    };
    let expired = async {
        async_io::Timer::after(TIMEOUT).await;
        None
    };
    let directive = futures_lite::future::or(exchange, expired).await;
    shared.metric.count_report(directive.is_some());
    if let Some(directive) = directive {
        take(&shared, directive);
    }
}

fn take(shared: &sync::Arc<shared::Shared>, directive: wire::Directive) {
    shared.receive(&directive.stamp);
    if !directive.members.is_empty() {
        let addresses = directive.members.iter().map(|member| member.peer_address);
        shared.set_entries(directive.revision, addresses.collect());
    }
    if !directive.known {
        return;
    }
    shared.step(side::Event::Directive(side::Directive {
        sent_at: Some(side::Timestamp {
            host: directive.host,
            incarnation: directive.incarnation,
            instant: clock::Instant::from_micros(directive.sent_us),
        }),
        revision: directive.revision,
        plan_revision: directive.plan_revision,
        holdings: directive.holdings.into_iter().map(item).collect(),
        leaving: directive.leaving,
    }));
}

fn item(holding: wire::Holding) -> memory::Item {
    let id = memory::Id::model(holding.model, holding.version);
    let id = match holding.adapter {
        Some(adapter) => id.with_adapter(adapter),
        None => id,
    };
    memory::Item::new(id, holding.bytes)
}
