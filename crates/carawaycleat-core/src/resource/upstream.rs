use std::net;

use crate::name;

/// An upstream: a model engine with its accelerator, or a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The group, to which models and routes refer.
    pub group: name::Name,
    /// The address of the engine or service.
    pub address: net::SocketAddr,
    /// The address of the sidecar, if there is one.
    #[serde(default)]
    pub side_address: Option<net::SocketAddr>,
    /// The availability zone of the host.
    pub availability_zone: name::Name,
    /// The accelerator memory, in bytes; 0 for a service.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Whether the engine checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether the upstream is leaving, and gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Whether an engine checks the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// An order with an old fencing number is refused.
    Checked,
    /// The fencing number is ignored.
    #[default]
    Ignored,
}

impl Upstream {
    pub(super) fn validate(&self) -> super::Result<()> {
        if self.address.port() == 0 {
            return Err(super::Error::Field(
                "address",
                "an IP address with a port other than 0",
            ));
        }
        if self.side_address.is_some_and(|a| a.port() == 0) {
            return Err(super::Error::Field(
                "side_address",
                "an IP address with a port other than 0",
            ));
        }
        Ok(())
    }
}
