use std::net;
use std::path;

use carawaycleat_core::name;

use super::read;
use crate::document;

/// The settings of a sidecar.
///
/// # Examples
///
/// ```
/// use carawaycleat::settings;
///
/// let side = settings::Side::parse(settings::Side::example()).expect("a valid example");
/// assert_eq!(side, settings::Side::default());
/// ```
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Side {
    /// The name of the host.
    pub host: name::Name,
    /// The name of the `upstream` resource that describes the engine or service of this sidecar.
    pub upstream: name::Name,
    /// The availability zone of the host.
    pub availability_zone: name::Name,
    /// The peer addresses of the entry hosts to report to until one of them has sent the current list.
    pub entries: Vec<net::SocketAddr>,
    /// The report interval, in milliseconds.
    pub report_ms: u64,
    /// How long an order sent by an earlier process of this sidecar may take to reach the engine, in milliseconds.
    pub order_settle_ms: u64,
    /// The address to listen on.
    pub listen: super::SideListen,
    /// The engine or service that the sidecar serves.
    pub engine: super::Engine,
    /// The limits on the requests and connections of entry hosts; the queue limits do not apply.
    pub limits: super::Limits,
    /// The delays of a graceful shutdown.
    pub shutdown: super::Shutdown,
    /// The format and level of the log.
    pub log: super::Log,
    /// The size of the timeline.
    pub timeline: super::Timeline,
}

impl Default for Side {
    fn default() -> Self {
        Self {
            host: read::valid_name("engine-1"),
            upstream: read::valid_name("engine-1"),
            availability_zone: read::valid_name("zone-1"),
            entries: vec![read::loopback(8082)],
            report_ms: 500,
            order_settle_ms: 10_000,
            listen: super::SideListen::default(),
            engine: super::Engine::default(),
            limits: super::Limits::default(),
            shutdown: super::Shutdown::default(),
            log: super::Log::default(),
            timeline: super::Timeline::default(),
        }
    }
}

impl Side {
    /// Returns a commented settings file that shows every setting with its default.
    pub const fn example() -> &'static str {
        include_str!("../../settings/side.toml")
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
        let side = Self {
            host: read::name(table, "host", default.host),
            upstream: read::name(table, "upstream", default.upstream),
            availability_zone: read::name(table, "availability_zone", default.availability_zone),
            entries: read::addresses(table, "entries", &default.entries),
            report_ms: table.integer("report_ms", 50..=1_000, default.report_ms),
            order_settle_ms: table.integer("order_settle_ms", 0..=600_000, default.order_settle_ms),
            listen: super::SideListen::read(&table.table("listen")),
            engine: super::Engine::read(&table.table("engine")),
            limits: super::Limits::read_side(&table.table("limits")),
            shutdown: super::Shutdown::read(&table.table("shutdown")),
            log: super::Log::read(&table.table("log")),
            timeline: super::Timeline::read(&table.table("timeline")),
        };
        table.finish();
        side.check(table);
        side
    }

    fn check(&self, table: &document::Table<'_>) {
        if self.entries.is_empty() && table.line_of("entries").is_some() {
            table.report("entries", "no valid address", "at least one address");
        }
        if self.order_settle_ms < self.report_ms {
            let key = table
                .line_of("order_settle_ms")
                .map_or("report_ms", |_| "order_settle_ms");
            let found = format!(
                "`order_settle_ms` = {} with `report_ms` = {}",
                self.order_settle_ms, self.report_ms
            );
            table.report(key, found, "an `order_settle_ms` of at least `report_ms`");
        }
        if self.engine.address == self.listen.work {
            let found = format!("{}, which is also `listen.work`", self.engine.address);
            table
                .table("engine")
                .report("address", found, "a distinct address");
        }
    }
}
