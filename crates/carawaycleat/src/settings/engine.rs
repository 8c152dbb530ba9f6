use std::net;

use carawaycleat_core::resource;

use super::read;
use crate::document;

/// The engine or service that a sidecar serves.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Engine {
    /// The address of the engine or service.
    pub address: net::SocketAddr,
    /// Whether it is an engine or a plain service.
    pub kind: Kind,
    /// The accelerator memory, in bytes; 0 for a service.
    pub memory_bytes: u64,
    /// Whether the engine checks fencing numbers.
    pub fencing: resource::Fencing,
    /// The maximum number of concurrent requests from entry hosts; 0 for no limit.
    pub max_requests: u64,
}

/// The kind of process that a sidecar serves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine with an accelerator.
    #[default]
    Engine,
    /// A plain service, which has no accelerator and receives no orders.
    Service,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            address: read::loopback(8000),
            kind: Kind::Engine,
            memory_bytes: 80_000_000_000,
            fencing: resource::Fencing::Ignored,
            max_requests: 32,
        }
    }
}

const MAX_MEMORY_BYTES: u64 = 1 << 50;

const MAX_REQUESTS: u64 = 100_000;

impl Engine {
    pub(super) fn read(table: &document::Table<'_>) -> Self {
        let default = Self::default();
        let kind = table.text(
            "kind",
            "\"engine\" or \"service\"",
            default.kind,
            parse_kind,
        );
        let default_memory_bytes = if kind == Kind::Service {
            0
        } else {
            default.memory_bytes
        };
        let engine = Self {
            address: read::address(table, "address", default.address),
            kind,
            memory_bytes: table.integer("memory_bytes", 0..=MAX_MEMORY_BYTES, default_memory_bytes),
            fencing: table.text(
                "fencing",
                "\"checked\" or \"ignored\"",
                default.fencing,
                parse_fencing,
            ),
            max_requests: table.integer("max_requests", 0..=MAX_REQUESTS, default.max_requests),
        };
        table.finish();
        engine.check(table);
        engine
    }

    fn check(&self, table: &document::Table<'_>) {
        read::check_port(table, "address", self.address);
        match self.kind {
            // Required, because a default larger than the actual memory would overcommit the accelerator.
            Kind::Engine => table.require("memory_bytes", "the accelerator memory in bytes"),
            Kind::Service if self.memory_bytes > 0 => {
                let found = format!("{} with `engine.kind` = \"service\"", self.memory_bytes);
                table.report("memory_bytes", found, "0 for a service");
            }
            Kind::Service => {}
        }
        if self.kind == Kind::Engine && self.memory_bytes == 0 {
            let found = "0 with `engine.kind` = \"engine\"";
            table.report("memory_bytes", found, "at least 1 for an engine");
        }
        if self.kind == Kind::Service && self.fencing == resource::Fencing::Checked {
            let found = "\"checked\" with `engine.kind` = \"service\"";
            table.report(
                "fencing",
                found,
                "\"ignored\" for a service, which receives no orders",
            );
        }
    }
}

fn parse_kind(text: &str) -> Option<Kind> {
    match text {
        "engine" => Some(Kind::Engine),
        "service" => Some(Kind::Service),
        _ => None,
    }
}

fn parse_fencing(text: &str) -> Option<resource::Fencing> {
    match text {
        "checked" => Some(resource::Fencing::Checked),
        "ignored" => Some(resource::Fencing::Ignored),
        _ => None,
    }
}
