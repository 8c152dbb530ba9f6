use std::time;

use crate::connection;
use crate::name;
use crate::relay;

/// An engine's report on its weights and its load.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// The models that the engine holds, each with its adapters.
    pub models: Vec<(name::Name, Vec<name::Name>)>,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
    /// The number of orders that the engine has accepted.
    pub sequence: u64,
    /// The number of running requests.
    pub running: u32,
    /// The number of requests in the engine's queue.
    pub queued: u32,
    /// The adapters that are being loaded, as pairs of model and adapter.
    pub loading_adapters: Vec<(name::Name, name::Name)>,
    /// The models whose weights are in host memory; none when the engine does not say so.
    pub in_memory: Option<Vec<name::Name>>,
    /// The models whose weights are on disk; none when the engine does not say so.
    pub on_disk: Option<Vec<name::Name>>,
}

/// The outcome of sending an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The engine carries the order out.
    Accepted,
    /// The engine was already in the requested state, or carried the order out at once.
    Completed,
    /// Another order is in progress, or the number of accepted orders differs from the precondition.
    Conflict,
    /// The engine refused the order for good, or another engine uses the address.
    Refused,
    /// There was no response; the engine may still carry the order out.
    Unknown,
}

impl Outcome {
    /// Returns the text used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Completed => "holds",
            Self::Conflict => "conflict",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// An input of the coordinator's reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// This host has become the coordinator, with this fencing token.
    Elected(u64),
    /// This host has become the coordinator again, with this fencing token, and no other host was it meanwhile.
    Resumed(u64),
    /// The configuration has changed.
    Configured {
        /// The version of the configuration.
        version: u64,
        /// The engine specification of each service that has models.
        services: Vec<(name::Name, relay::EngineSpec)>,
        /// All workspaces.
        workspaces: Vec<relay::Workspace>,
    },
    /// The limits after a start have changed to these, by service.
    ColdStartsConfigured(Vec<(name::Name, relay::ColdStart)>),
    /// All entries in the store have been read.
    Listed,
    /// An upstream has said in a response for how long it is still cold after a start.
    UpstreamCold {
        /// The upstream.
        upstream: name::Name,
        /// The time left.
        remaining: time::Duration,
    },
    /// An operator has evacuated an availability zone.
    ZoneEvacuated(name::Name),
    /// The evacuation of an availability zone has ended.
    EvacuationEnded(name::Name),
    /// The services whose connections are shared out among the hosts.
    ConnectionsConfigured(Vec<connection::Spec>),
    /// The set of entry hosts that may serve requests has changed to this one.
    HostsChanged(Vec<name::Name>),
    /// The registration of an upstream has been added or changed.
    UpstreamUpdated(Box<relay::Registration>),
    /// The registration of the upstream with this identifier has been removed.
    UpstreamRemoved(name::Name),
    /// An entry host has sent a report.
    Reported(Box<relay::Report>),
    /// The engine with this identifier has responded to a probe.
    Probed(name::Name, Box<Status>),
    /// The outcome of an order is known, given by the engine's identifier and the order's number.
    OrderResolved(name::Name, u64, Outcome),
    /// Time has passed.
    Tick {
        /// Whether this host may send orders now.
        may_order: bool,
    },
}
