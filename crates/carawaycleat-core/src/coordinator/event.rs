use crate::name;
use crate::relay;

/// What an engine says of its weights and work.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// The models with their adapters.
    pub models: Vec<(name::Name, Vec<name::Name>)>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// The number of orders accepted.
    pub sequence: u64,
    /// The requests that run.
    pub running: u32,
    /// The requests that wait.
    pub queued: u32,
    /// The adapters in transit, with their models.
    pub loading_adapters: Vec<(name::Name, name::Name)>,
    /// The models whose weights are in host memory.
    pub in_memory: Option<Vec<name::Name>>,
    /// The models whose weights are on disk.
    pub on_disk: Option<Vec<name::Name>>,
}

/// The result of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The engine carries it out.
    Accepted,
    /// It holds already, or was carried out at once.
    Completed,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The engine refused it for good, or another engine has the address.
    Refused,
    /// There was no answer; it may still be carried out.
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

/// Something that the coordinator learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// This host has become the coordinator with this fencing token.
    Elected(u64),
    /// This host has become the coordinator again with this fencing token, and nobody else was meanwhile.
    Resumed(u64),
    /// The configuration has changed.
    Configured {
        /// The engines of each service that has models.
        services: Vec<(name::Name, relay::EngineSpec)>,
        /// The workspaces.
        workspaces: Vec<relay::Workspace>,
    },
    /// The entry hosts that may serve.
    HostsChanged(Vec<name::Name>),
    /// An upstream has been seen.
    UpstreamUpdated(Box<relay::Registration>),
    /// The entry of an upstream has been removed.
    UpstreamRemoved(name::Name),
    /// An entry host has reported.
    Reported(Box<relay::Report>),
    /// An engine has answered a probe.
    Probed(name::Name, Box<Status>),
    /// An order has been answered.
    OrderResolved(name::Name, u64, Outcome),
    /// Time has passed. Orders are sent only while this host may.
    Tick {
        /// Whether this host may send orders.
        may_order: bool,
    },
}
