use std::net;

use super::read;
use crate::document;

/// The settings of the platform's host list, which contains the live and the leaving hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Hosts {
    /// The address that serves the list; none when the platform has no list.
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
