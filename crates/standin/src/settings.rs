//! Settings of one server.
//!
//! ```json
//! {
//!     "database": "hamper", "server": "hamper-2",
//!     "listen": "127.0.0.1:5002", "replication_listen": "127.0.0.1:6002",
//!     "region": "red-river", "zone": "selkirk-yard",
//!     "role": "replica", "follow": "127.0.0.1:6001", "term": 1,
//!     "slots": 5, "connections": 70, "connection_cost_ms": 12, "statement_cost_us": 0,
//!     "lag_ms": 200, "log_entries": 50000, "leave_ms": 3000, "leave_limit_ms": 30000,
//!     "control": ["127.0.0.1:7001", "127.0.0.1:7002"],
//!     "log": "info"
//! }
//! ```

use {
    banyansill_core::names::SharedName,
    banyansill_runtime::{
        logs::LogLevels,
        settings::{SettingsReader, SettingsSource},
    },
    std::net::{Ipv4Addr, SocketAddr},
};

/// Most slots or connections of one server; more only uses up the machine.
const CAPACITY_LIMIT: u64 = 10_000;

/// Most log entries kept; an entry takes about 300 bytes for a small row.
const LOG_ENTRIES_LIMIT: u64 = 10_000_000;

/// Longest settable delay: one hour.
const DELAY_LIMIT_MS: u64 = 3_600_000;

/// Role in which a server starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRole {
    /// First primary of the group, without data.
    Primary,
    /// Replica of the primary at a replication address, or without one until it is told.
    Replica(Option<SocketAddr>),
}

/// Settings of one server of a database group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandinSettings {
    /// Database that the group holds.
    pub database: SharedName,
    /// Name of the server, unique in its group.
    pub server: SharedName,
    /// Address for PostgreSQL connections; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address for the replication of other servers; port 0 takes a free one.
    pub replication_listen: SocketAddr,
    /// Address that is announced for PostgreSQL connections; the listener's own unless given.
    pub announce_address: Option<SocketAddr>,
    /// Address that is announced for replication; the listener's own unless given.
    pub announce_replication_address: Option<SocketAddr>,
    /// Region of the server.
    pub region: SharedName,
    /// Availability zone of the server.
    pub zone: SharedName,
    /// Role at the start.
    pub role: StartRole,
    /// Term at the start.
    pub term: u64,
    /// Statements that execute at a time.
    pub slots: u64,
    /// Connections that are accepted.
    pub connections: u64,
    /// Time that a new connection takes.
    pub connection_cost_ms: u64,
    /// Time that each statement takes besides its own work.
    pub statement_cost_us: u64,
    /// Delay between a commit and its visibility on a replica.
    pub lag_ms: u64,
    /// Applied log entries that are kept for replicas; a replica further behind gets everything.
    pub log_entries: u64,
    /// HTTP addresses of control replicas.
    pub control: Vec<SocketAddr>,
    /// Whether the server announces itself to its broker once control names it.
    pub broker_announcements: bool,
    /// Least time between the announcement that the server is leaving and its end.
    pub leave_ms: u64,
    /// Greatest time between them; until then the server waits for its running statements, and for its
    /// successor if it is the primary of a group under control.
    pub leave_limit_ms: u64,
    /// Levels of the log.
    pub log: String,
}

impl StandinSettings {
    /// Returns settings for a server on free loopback ports with the default capacity.
    #[must_use]
    pub fn loopback(database: &str, server: &str, role: StartRole) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            database: SharedName::from(database),
            server: SharedName::from(server),
            listen: any,
            replication_listen: any,
            announce_address: None,
            announce_replication_address: None,
            region: SharedName::from("local"),
            zone: SharedName::from("local"),
            role,
            term: 1,
            slots: 5,
            connections: 70,
            connection_cost_ms: 12,
            statement_cost_us: 0,
            lag_ms: 0,
            log_entries: 50_000,
            control: Vec::new(),
            broker_announcements: true,
            leave_ms: 3_000,
            leave_limit_ms: 30_000,
            log: "info".to_owned(),
        }
    }
}

impl SettingsSource for StandinSettings {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        let mut settings = Self::loopback("", "", StartRole::Primary);
        settings.database = SharedName::from(reader.string("database"));
        settings.server = SharedName::from(reader.string("server"));
        if let Some(address) = reader.parsed("listen") {
            settings.listen = address;
        }
        if let Some(address) = reader.parsed("replication_listen") {
            settings.replication_listen = address;
        }
        settings.announce_address = reader.optional_parsed("announce_address");
        settings.announce_replication_address =
            reader.optional_parsed("announce_replication_address");
        settings.region = SharedName::from(reader.string("region"));
        settings.zone = SharedName::from(reader.string("zone"));
        let role = reader.optional_string("role");
        let follow = reader.optional_parsed("follow");
        settings.role = match role.as_deref() {
            Some("primary") if follow.is_some() => {
                reader.fault("follow", "is only for the role \"replica\"");
                StartRole::Primary
            }
            Some("primary") => StartRole::Primary,
            Some("replica") => StartRole::Replica(follow),
            Some(_) => {
                reader.fault("role", "must be \"primary\" or \"replica\"");
                StartRole::Primary
            }
            None => {
                reader.fault("role", "must be given as \"primary\" or \"replica\"");
                StartRole::Primary
            }
        };
        settings.term = reader.number("term", settings.term, 1, u64::MAX / 2);
        settings.slots = reader.number("slots", settings.slots, 1, CAPACITY_LIMIT);
        settings.connections =
            reader.number("connections", settings.connections, 1, CAPACITY_LIMIT);
        settings.connection_cost_ms =
            reader.number("connection_cost_ms", settings.connection_cost_ms, 0, DELAY_LIMIT_MS);
        settings.statement_cost_us = reader.number(
            "statement_cost_us",
            settings.statement_cost_us,
            0,
            DELAY_LIMIT_MS * 1_000,
        );
        settings.lag_ms = reader.number("lag_ms", settings.lag_ms, 0, DELAY_LIMIT_MS);
        settings.log_entries =
            reader.number("log_entries", settings.log_entries, 1, LOG_ENTRIES_LIMIT);
        settings.leave_ms = reader.number("leave_ms", settings.leave_ms, 0, DELAY_LIMIT_MS);
        settings.leave_limit_ms =
            reader.number("leave_limit_ms", settings.leave_limit_ms, 0, DELAY_LIMIT_MS);
        settings.control = reader.list("control");
        settings.broker_announcements = reader.boolean("broker_announcements", true);
        if let Some(log) = reader.optional_parsed::<LogLevels>("log") {
            settings.log = log.into();
        }
        settings
    }
}
