//! Readers of values that several settings share.

use std::fs;
use std::net;
use std::path;

use carawaycleat_core::name;

use crate::document;

pub(super) const ADDRESS: &str = "an IP address with a port, such as \"127.0.0.1:8080\"";

/// Reads and parses the file at `path`.
pub(super) fn load<T>(
    path: &path::Path,
    parse: impl FnOnce(&str) -> Result<T, Vec<document::Problem>>,
) -> super::Result<T> {
    let text = fs::read_to_string(path).map_err(|e| super::Error::Read(path.to_owned(), e))?;
    parse(&text).map_err(|problems| super::Error::Invalid(path.to_owned(), problems))
}

/// Returns the required name `key`; `default` stands in for one that is reported.
pub(super) fn name(
    table: &document::Table<'_>,
    key: &'static str,
    default: name::Name,
) -> name::Name {
    table.required_name(key).unwrap_or(default)
}

/// Returns the address `key`, or `default`.
pub(super) fn address(
    table: &document::Table<'_>,
    key: &'static str,
    default: net::SocketAddr,
) -> net::SocketAddr {
    table.parsed(key, ADDRESS).unwrap_or(default)
}

/// Returns the addresses `key`, or `default`; reports an entry that is given twice or has the port 0.
pub(super) fn addresses(
    table: &document::Table<'_>,
    key: &'static str,
    default: &[net::SocketAddr],
) -> Vec<net::SocketAddr> {
    let Some(addresses) = table.list::<net::SocketAddr>(key, ADDRESS) else {
        return default.to_owned();
    };
    for (index, address) in addresses.iter().enumerate() {
        if addresses[..index].contains(address) {
            table.report(key, format_args!("{address} twice"), "each address once");
        }
        check_port(table, key, *address);
    }
    addresses
}

/// Reports an address to connect to that has the port 0.
pub(super) fn check_port(table: &document::Table<'_>, key: &str, address: net::SocketAddr) {
    if address.port() == 0 {
        table.report(key, address, "a port from 1 to 65535");
    }
}

/// Returns the loopback address with `port`.
pub(super) const fn loopback(port: u16) -> net::SocketAddr {
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), port)
}

/// Returns a name that is known to be valid.
pub(super) fn valid_name(text: &str) -> name::Name {
    name::Name::parse(text).expect("the names of the examples are valid")
}
