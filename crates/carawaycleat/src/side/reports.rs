use std::net as std_net;
use std::sync;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::memory;
use carawaycleat_core::side;
use carawaycleat_net as net;
use carawaycleat_wire as wire;

use super::context;

/// The time after which a report without a response counts as failed.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The maximum size of a directive, in bytes.
const MAX_DIRECTIVE_BYTES: usize = 4 << 20;

/// Sends a report to all entry hosts and applies the directives that they return.
pub(super) fn send(context: &sync::Arc<context::Context>, report: &wire::Report) {
    for address in context.entry_hosts() {
        context.spawn(exchange(context.clone(), address, report.clone()));
    }
}

async fn exchange(
    context: sync::Arc<context::Context>,
    address: std_net::SocketAddr,
    report: wire::Report,
) {
    let Ok(body) = wire::encode(&report) else {
        return;
    };
    let request = net::Request::new("POST", "/peer/report").body(body);
    let exchange = async {
        let reply = context
            .pool
            .send(address, request, REPORT_TIMEOUT)
            .await
            .ok()?;
        if reply.status != 200 {
            return None;
        }
        let bytes = reply.bytes(MAX_DIRECTIVE_BYTES).await.ok()?;
        wire::decode::<wire::Directive>(&bytes).ok()
    };
    let expired = async {
        async_io::Timer::after(REPORT_TIMEOUT).await;
        None
    };
    let directive = futures_lite::future::or(exchange, expired).await;
    context.metric.count_report(directive.is_some());
    if let Some(directive) = directive {
        apply(&context, directive);
    }
}

fn apply(context: &sync::Arc<context::Context>, directive: wire::Directive) {
    context.receive_stamp(&directive.stamp);
    if !directive.members.is_empty() {
        let addresses = directive.members.iter().map(|member| member.peer_address);
        context.set_entry_hosts(directive.revision, addresses.collect());
    }
    if !directive.known {
        return;
    }
    context.step(side::Event::Directive(side::Directive {
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
