//! Helpers that read and check values of several settings sections.

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

/// Returns the required name `key`. A missing or invalid one is reported and replaced by `default`.
pub(super) fn name(
    table: &document::Table<'_>,
    key: &'static str,
    default: name::Name,
) -> name::Name {
    table.required_name(key).unwrap_or(default)
}

/// Returns the address `key`, or `default` if it is missing or invalid.
pub(super) fn address(
    table: &document::Table<'_>,
    key: &'static str,
    default: net::SocketAddr,
) -> net::SocketAddr {
    table.parsed(key, ADDRESS).unwrap_or(default)
}

/// Returns the addresses `key`, or `default` if the key is missing. Reports duplicates and addresses with port 0.
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
            table.report(
                key,
                format_args!("the duplicate {address}"),
                "each address once",
            );
        }
        check_port(table, key, *address);
    }
    addresses
}

/// Reports an address with port 0, to which no connection is possible.
pub(super) fn check_port(table: &document::Table<'_>, key: &str, address: net::SocketAddr) {
    if address.port() == 0 {
        table.report(key, address, "a port from 1 to 65535");
    }
}

/// Returns the IPv4 loopback address with `port`.
pub(super) const fn loopback(port: u16) -> net::SocketAddr {
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), port)
}

/// Parses a default name.
///
/// # Panics
///
/// Panics if `text` is not a valid name.
pub(super) fn valid_name(text: &str) -> name::Name {
    name::Name::parse(text).expect("the default names are valid")
}
