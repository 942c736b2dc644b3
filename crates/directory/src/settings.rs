//! Settings of a replica of the directory.

use {
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

/// Most losses that a set of replicas may be asked to bear; each costs two more replicas per change.
const LOSSES_LIMIT: u64 = 4;

/// Settings of a replica of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectorySettings {
    /// Host name.
    pub host: SharedName,
    /// Availability zone of the host.
    pub zone: SharedName,
    /// Address of the listener for other processes of the system.
    pub listen: SocketAddr,
    /// Hosts of replicas, of which some may be gone; replicas listen at the port of `listen`.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub found: bool,
    /// Replicas that may be lost at the same time.
    pub tolerated_losses: u64,
    /// Folder of the replicated log.
    pub data: PathBuf,
    /// Address at which metrics are shown.
    pub metrics: Option<SocketAddr>,
    /// Log levels such as `info` or `info,event=warn`.
    pub log_levels: String,
}

impl SettingsSource for DirectorySettings {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        let settings = Self {
            host: reader.string("host").into(),
            zone: reader.string("zone").into(),
            listen: reader.parsed("listen").unwrap_or(ANY),
            seeds: reader.list("seeds"),
            found: reader.boolean("found", false),
            tolerated_losses: reader.number("tolerated_losses", 1, 0, LOSSES_LIMIT),
            data: PathBuf::from(reader.string("data")),
            metrics: reader.optional_parsed("metrics"),
            log_levels: reader
                .optional_parsed::<LogLevels>("log_levels")
                .map_or_else(|| "info".into(), Into::into),
        };
        if settings.seeds.is_empty() {
            reader.fault("seeds", "names no replica");
        }
        settings
    }
}

impl DirectorySettings {
    /// Returns the address of this replica as others know it.
    #[must_use]
    pub fn address(&self) -> SharedName {
        self.listen.to_string().into()
    }

    /// Returns the addresses of the seeds' listeners.
    #[must_use]
    pub fn seed_addresses(&self) -> Vec<SharedName> {
        let mut addresses = Vec::new();
        for seed in &self.seeds {
            addresses.push(SocketAddr::new(seed.ip(), self.listen.port()).to_string().into());
        }
        addresses
    }

    /// Returns the number of voters that bears the losses.
    #[must_use]
    pub fn voters_wanted(&self) -> usize {
        usize::try_from(2 * self.tolerated_losses + 1).unwrap_or(1)
    }
}

/// Stands in for an address that could not be read.
const ANY: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
