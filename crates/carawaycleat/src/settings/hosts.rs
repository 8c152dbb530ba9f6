use std::net;

use super::read;
use crate::document;

/// The platform's list of live and leaving hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Hosts {
    /// The address of the list, if there is one.
    pub endpoint: Option<net::SocketAddr>,
}

impl Hosts {
    pub(super) fn read(table: &document::Table<'_>) -> Self {
        let endpoint = table.parsed("endpoint", read::ADDRESS);
        if let Some(address) = endpoint {
            read::check_port(table, "endpoint", address);
        }
        table.finish();
        Self { endpoint }
    }
}
