use std::sync;
use std::time;

use carawaycleat_core::memory;
use carawaycleat_core::name;
use carawaycleat_core::side;

use super::context;
use crate::settings;
use crate::upstream;

/// The interval between two polls of the engine's state.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The interval between two tick events for the reducer.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Polls the state of the engine or service for as long as the process runs.
pub(super) async fn poll(context: sync::Arc<context::Context>) {
    loop {
        let event = match context.settings.engine.kind {
            settings::Kind::Engine => {
                let state = context.engine.state().await;
                state.map(|state| side::Event::EngineState(memory_report(&state), state.waiting))
            }
            settings::Kind::Service => context
                .engine
                .is_reachable()
                .await
                .then_some(side::Event::ServiceReached),
        };
        context.step(event.unwrap_or(side::Event::EngineUnreachable));
        async_io::Timer::after(POLL_INTERVAL).await;
    }
}

/// Sends tick events to the reducer, so that its timeouts expire even while the engine does not respond.
pub(super) async fn tick(context: sync::Arc<context::Context>) {
    loop {
        async_io::Timer::after(TICK_INTERVAL).await;
        context.step(side::Event::Tick);
    }
}

/// Sends an order to the engine and passes the response to the reducer.
pub(super) async fn send(context: sync::Arc<context::Context>, order: memory::Order) {
    let response = match context.engine.send_command(&command(&order)).await {
        upstream::Acceptance::Accepted => memory::Response::Accepted,
        upstream::Acceptance::StaleFencing => memory::Response::StaleFencing,
        upstream::Acceptance::OutOfMemory => memory::Response::OutOfMemory,
        upstream::Acceptance::Unknown => memory::Response::NoResponse,
    };
    context.step(side::Event::OrderResponse(order.id, response));
}

fn command(order: &memory::Order) -> upstream::Command {
    let id = &order.item.id;
    let kind = match (order.kind, id.adapter.is_some()) {
        (memory::Kind::Load, false) => "load",
        (memory::Kind::Load, true) => "load_adapter",
        (memory::Kind::Unload | memory::Kind::Fence, false) => "unload",
        (memory::Kind::Unload | memory::Kind::Fence, true) => "unload_adapter",
    };
    upstream::Command {
        id: order.id.to_string(),
        fencing: order.fencing,
        kind,
        name: id.adapter.as_ref().unwrap_or(&id.model).to_string(),
        version: id.version.to_string(),
        model: id.model.to_string(),
        bytes: order.item.bytes,
    }
}

fn memory_report(state: &upstream::State) -> memory::Report {
    let models = state.models.iter().filter_map(|loaded| {
        let id = memory::Id::model(parse(&loaded.name)?, parse(&loaded.version)?);
        Some(entry(id, loaded))
    });
    let adapters = state.adapters.iter().filter_map(|loaded| {
        // The engine reports only the name of an adapter's model; the version is that of the loaded model.
        let model = state
            .models
            .iter()
            .find(|model| model.name == loaded.model)?;
        let id = memory::Id::model(parse(&loaded.model)?, parse(&model.version)?);
        Some(entry(id.with_adapter(parse(&loaded.name)?), loaded))
    });
    memory::Report {
        incarnation: state.incarnation,
        fencing: state.fencing,
        taken_at_ms: state.taken_at_ms,
        entries: models.chain(adapters).collect(),
        orders: state.orders.iter().filter_map(order_status).collect(),
        total_bytes: state.memory_bytes,
        used_bytes: state.used_bytes,
    }
}

fn entry(id: memory::Id, loaded: &upstream::Loaded) -> memory::Entry {
    let state = match loaded.state.as_str() {
        "loaded" => memory::State::Ready,
        "unloading" => memory::State::Unloading,
        _ => memory::State::Loading,
    };
    memory::Entry {
        item: memory::Item::new(id, loaded.bytes),
        state,
    }
}

fn order_status(order: &upstream::Order) -> Option<memory::Status> {
    let progress = match order.state.as_str() {
        "done" => memory::Progress::Done,
        "rejected" => memory::Progress::Failed,
        _ => memory::Progress::Running,
    };
    Some(memory::Status {
        id: order.id.parse().ok()?,
        progress,
    })
}

fn parse(text: &str) -> Option<name::Name> {
    name::Name::parse(text).ok()
}
