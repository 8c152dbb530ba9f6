use std::net;
use std::path;

use carawaycleat_core::name;

use super::read;
use crate::document;

/// The settings of an entry host.
///
/// # Examples
///
/// ```
/// use carawaycleat::settings;
///
/// let entry = settings::Entry::parse(settings::Entry::example()).expect("a valid example");
/// assert_eq!(entry, settings::Entry::default());
/// ```
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Entry {
    /// The name of the host.
    pub host: name::Name,
    /// The availability zone of the host.
    pub availability_zone: name::Name,
    /// The peer addresses of the entry hosts to contact before the roster has been read from the store.
    pub peers: Vec<net::SocketAddr>,
    /// The addresses to listen on.
    pub listen: super::Listen,
    /// The addresses published to other hosts.
    pub advertise: super::Advertise,
    /// The key-value service.
    pub store: super::Store,
    /// The platform's host list.
    pub hosts: super::Hosts,
    /// The limits on the requests and connections of callers.
    pub limits: super::Limits,
    /// The division of workspace rates between entry hosts.
    pub rates: super::Rates,
    /// The placement of models.
    pub placement: super::Placement,
    /// The delays of a graceful shutdown.
    pub shutdown: super::Shutdown,
    /// The format and level of the log.
    pub log: super::Log,
    /// The size of the timeline.
    pub timeline: super::Timeline,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            host: read::valid_name("entry-1"),
            availability_zone: read::valid_name("zone-1"),
            peers: Vec::new(),
            listen: super::Listen::default(),
            advertise: super::Advertise::default(),
            store: super::Store::default(),
            hosts: super::Hosts::default(),
            limits: super::Limits::default(),
            rates: super::Rates::default(),
            placement: super::Placement::default(),
            shutdown: super::Shutdown::default(),
            log: super::Log::default(),
            timeline: super::Timeline::default(),
        }
    }
}

impl Entry {
    /// Returns a commented settings file that shows every setting with its default.
    pub const fn example() -> &'static str {
        include_str!("../../settings/entry.toml")
    }

    /// Reads the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or all problems if it is invalid.
    pub fn load(path: &path::Path) -> super::Result<Self> {
        read::load(path, Self::parse)
    }

    /// Parses a settings file.
    ///
    /// # Errors
    ///
    /// Returns all problems, sorted by line.
    pub fn parse(text: &str) -> Result<Self, Vec<super::Problem>> {
        document::read(text, Self::read)
    }

    fn read(table: &document::Table<'_>) -> Self {
        let default = Self::default();
        let listen = super::Listen::read(&table.table("listen"));
        let entry = Self {
            host: read::name(table, "host", default.host),
            availability_zone: read::name(table, "availability_zone", default.availability_zone),
            peers: read::addresses(table, "peers", &[]),
            advertise: super::Advertise::read(&table.table("advertise"), &listen),
            listen,
            store: super::Store::read(&table.table("store")),
            hosts: super::Hosts::read(&table.table("hosts")),
            limits: super::Limits::read(&table.table("limits")),
            rates: super::Rates::read(&table.table("rates")),
            placement: super::Placement::read(&table.table("placement")),
            shutdown: super::Shutdown::read(&table.table("shutdown")),
            log: super::Log::read(&table.table("log")),
            timeline: super::Timeline::read(&table.table("timeline")),
        };
        table.finish();
        entry
    }
}
