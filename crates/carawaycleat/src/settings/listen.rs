use std::net;

use super::read;
use crate::document;

/// The addresses on which an entry host listens. With port 0 the operating system chooses a port.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Listen {
    /// The address for callers.
    pub callers: net::SocketAddr,
    /// The address for operators.
    pub operators: net::SocketAddr,
    /// The address for other entry hosts and sidecars.
    pub peers: net::SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        Self {
            callers: read::loopback(8080),
            operators: read::loopback(8081),
            peers: read::loopback(8082),
        }
    }
}

impl Listen {
    pub(super) fn read(table: &document::Table<'_>) -> Self {
        let default = Self::default();
        let listen = Self {
            callers: read::address(table, "callers", default.callers),
            operators: read::address(table, "operators", default.operators),
            peers: read::address(table, "peers", default.peers),
        };
        table.finish();
        listen.check(table);
        listen
    }

    fn check(&self, table: &document::Table<'_>) {
        let addresses = [
            ("callers", self.callers),
            ("operators", self.operators),
            ("peers", self.peers),
        ];
        for (index, (key, address)) in addresses.iter().enumerate() {
            let is_same =
                |other: &&(&str, net::SocketAddr)| other.1 == *address && address.port() != 0;
            if let Some((other, _)) = addresses[..index].iter().find(is_same) {
                let found = format!("{address}, which is also `listen.{other}`");
                table.report(key, found, "a distinct address");
            }
        }
    }
}

/// The addresses that an entry host publishes to other hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Advertise {
    /// The address for other entry hosts and sidecars; none to publish `listen.peers`.
    pub peers: Option<net::SocketAddr>,
}

impl Advertise {
    pub(super) fn read(table: &document::Table<'_>, listen: &Listen) -> Self {
        let peers = table.parsed::<net::SocketAddr>("peers", read::ADDRESS);
        match peers {
            Some(address) if address.ip().is_unspecified() => {
                table.report(
                    "peers",
                    address,
                    "an address that other hosts can connect to",
                );
            }
            Some(address) => read::check_port(table, "peers", address),
            None if listen.peers.ip().is_unspecified() && table.line_of("peers").is_none() => {
                let found = format!("nothing, with `listen.peers` = {}", listen.peers);
                table.report("peers", found, "an address that other hosts can connect to");
            }
            None => {}
        }
        table.finish();
        Self { peers }
    }
}

/// The address on which a sidecar listens. With port 0 the operating system chooses a port.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct SideListen {
    /// The address for entry hosts.
    pub work: net::SocketAddr,
}

impl Default for SideListen {
    fn default() -> Self {
        Self {
            work: read::loopback(8083),
        }
    }
}

impl SideListen {
    pub(super) fn read(table: &document::Table<'_>) -> Self {
        let work = read::address(table, "work", Self::default().work);
        table.finish();
        Self { work }
    }
}
