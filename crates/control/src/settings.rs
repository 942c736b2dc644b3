//! Settings of a control replica.

use {
    crate::replica::SNAPSHOT_ENTRIES,
    banyansill_core::names::SharedName,
    banyansill_runtime::{
        logs::LogLevels,
        settings::{SettingsReader, SettingsSource},
    },
    std::{
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        path::PathBuf,
    },
};

/// Largest number of log entries between two snapshots; a restart reads all of them.
const MAX_SNAPSHOT_ENTRIES: u64 = 1_000_000;

/// Control replica in the list of the initial replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Host name.
    pub host: SharedName,
    /// Address of its tonic listener.
    pub address: SocketAddr,
}

/// Settings of a control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Host name, unique among the control replicas.
    pub host: SharedName,
    /// Region of the host.
    pub region: SharedName,
    /// Availability zone of the host.
    pub zone: SharedName,
    /// Address of the tonic listener.
    pub listen: SocketAddr,
    /// Address at which other hosts reach the tonic listener; the address of the listener if absent.
    pub address: Option<SocketAddr>,
    /// Address of the HTTP listener.
    pub http: SocketAddr,
    /// Folder for the replicated log; without one the state is lost when the process ends.
    pub data: Option<PathBuf>,
    /// Applied log entries after which a snapshot replaces the log's beginning.
    pub snapshot_entries: u64,
    /// All control replicas at the first start, this one included; empty for a single replica.
    pub replicas: Vec<PeerSettings>,
    /// Whether this replica joins an existing cluster instead of forming a new one.
    pub join: bool,
    /// File with one operator token per line; without one, HTTP requests that need an operator, such as
    /// those for the sheet, are rejected.
    pub tokens: Option<PathBuf>,
    /// Log levels such as `info` or `info,event=warn`.
    pub log: String,
    /// Folder for log files; standard error without one.
    pub log_folder: Option<PathBuf>,
    /// Address of a statsd server.
    pub statsd: Option<SocketAddr>,
}

impl SettingsSource for PeerSettings {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        Self {
            host: reader.string("host").into(),
            address: reader.parsed("address").unwrap_or(INVALID_ADDRESS),
        }
    }
}

impl SettingsSource for ControlSettings {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        let settings = Self {
            host: reader.string("host").into(),
            region: reader.string("region").into(),
            zone: reader.string("zone").into(),
            listen: reader.parsed("listen").unwrap_or(INVALID_ADDRESS),
            address: reader.optional_parsed("address"),
            http: reader.parsed("http").unwrap_or(INVALID_ADDRESS),
            data: reader.optional_path("data"),
            snapshot_entries: reader.number(
                "snapshot_entries",
                SNAPSHOT_ENTRIES,
                1,
                MAX_SNAPSHOT_ENTRIES,
            ),
            replicas: reader.objects("replicas"),
            join: reader.boolean("join", false),
            tokens: reader.optional_path("tokens"),
            log: reader
                .optional_parsed::<LogLevels>("log")
                .map_or_else(|| "info".into(), Into::into),
            log_folder: reader.optional_path("log_folder"),
            statsd: reader.optional_parsed("statsd"),
        };
        settings.check_replicas(reader);
        settings
    }
}

impl ControlSettings {
    fn check_replicas(&self, reader: &mut SettingsReader<'_>) {
        for (index, replica) in self.replicas.iter().enumerate() {
            let earlier = &self.replicas[..index];
            if earlier.iter().any(|other| other.host == replica.host) {
                reader.fault("replicas", &format!("host {} is listed twice", replica.host));
            }
            if earlier.iter().any(|other| other.address == replica.address) {
                reader.fault("replicas", &format!("address {} is listed twice", replica.address));
            }
        }
        if self.replicas.is_empty() {
            return;
        }
        if !self.join && !self.replicas.iter().any(|replica| replica.host == self.host) {
            reader.fault("replicas", &format!("does not list this host, {}", self.host));
        }
        if !self.join && self.replicas.len().is_multiple_of(2) {
            reader.fault("replicas", "must be an odd number of hosts");
        }
        if self.data.is_none() {
            reader.fault("data", "is missing although replicas are listed");
        }
    }
}

/// Placeholder for an address that is missing or malformed, which the reader reports as a fault.
const INVALID_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
