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

/// Maximum of `tolerated_losses`; each tolerated loss adds two replicas that every change is sent to.
const MAX_TOLERATED_LOSSES: u64 = 4;

/// Settings of a replica of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectorySettings {
    /// Host name.
    pub host: SharedName,
    /// Availability zone of the host.
    pub zone: SharedName,
    /// Address of the listener for other processes of the system.
    pub listen: SocketAddr,
    /// Addresses of replicas to contact when joining, some of which may be gone; only their IP addresses are
    /// used, since all replicas listen on the port of `listen`.
    pub seeds: Vec<SocketAddr>,
    /// Whether the replica forms a new cluster, on the first start of the whole system, instead of joining one.
    pub found: bool,
    /// Number of replicas that may be lost at the same time, up to 4.
    pub tolerated_losses: u64,
    /// Data folder of the replicated log.
    pub data: PathBuf,
    /// Address at which metrics are served; `None` serves none.
    pub metrics: Option<SocketAddr>,
    /// Log levels such as `info` or `info,event=warn`.
    pub log_levels: String,
}

impl SettingsSource for DirectorySettings {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        let settings = Self {
            host: reader.string("host").into(),
            zone: reader.string("zone").into(),
            listen: reader.parsed("listen").unwrap_or(UNSPECIFIED_ADDRESS),
            seeds: reader.list("seeds"),
            found: reader.boolean("found", false),
            tolerated_losses: reader.number("tolerated_losses", 1, 0, MAX_TOLERATED_LOSSES),
            data: PathBuf::from(reader.string("data")),
            metrics: reader.optional_parsed("metrics"),
            log_levels: reader
                .optional_parsed::<LogLevels>("log_levels")
                .map_or_else(|| "info".into(), Into::into),
        };
        if settings.seeds.is_empty() {
            reader.fault("seeds", "must name at least one replica");
        }
        settings
    }
}

impl DirectorySettings {
    /// Returns the address at which other processes reach this replica.
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

    /// Returns the number of voters that tolerates the losses.
    #[must_use]
    pub fn voters_wanted(&self) -> usize {
        usize::try_from(2 * self.tolerated_losses + 1).unwrap_or(1)
    }
}

/// Placeholder for an address that could not be read.
const UNSPECIFIED_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
