//! Settings of a gateway.

use {
    banyansill_core::{collections::FastMap, gateway::Distance, names::SharedName},
    banyansill_runtime::{
        logs::LogLevels,
        settings::{SettingsReader, SettingsSource},
    },
    std::{
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        time::Duration,
    },
};

/// Time between the stop signal and the end of the process when the settings name none.
const DEFAULT_GRACE_MS: u64 = 6_000;

/// Bounds of that time; below the first one a stop would cut off requests.
const GRACE_BOUNDS_MS: (u64, u64) = (1_000, 600_000);

/// Region of one availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSettings {
    /// Availability zone.
    pub zone: SharedName,
    /// Region.
    pub region: SharedName,
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Host name.
    pub host: SharedName,
    /// Availability zone of the host.
    pub zone: SharedName,
    /// Regions of all zones.
    pub zones: Vec<ZoneSettings>,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address at which readiness and metrics are shown.
    pub status: SocketAddr,
    /// Further address at which metrics are shown.
    pub metrics: Option<SocketAddr>,
    /// Address of the listener for other gateways.
    pub peers: SocketAddr,
    /// Hosts of control replicas, of which some may be gone.
    pub control: Vec<SocketAddr>,
    /// Port at which control replicas listen, on every host in `control`.
    pub control_port: u16,
    /// Time between the stop signal and the end of the process.
    pub grace: Duration,
    /// Log levels such as `info` or `info,request=warn`.
    pub log_levels: String,
}

impl SettingsSource for ZoneSettings {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        Self { zone: reader.string("zone").into(), region: reader.string("region").into() }
    }
}

impl SettingsSource for GatewaySettings {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        let (low, high) = GRACE_BOUNDS_MS;
        let settings = Self {
            host: reader.string("host").into(),
            zone: reader.string("zone").into(),
            zones: reader.objects("zones"),
            callers: reader.parsed("callers").unwrap_or(ANY),
            status: reader.parsed("status").unwrap_or(ANY),
            metrics: reader.optional_parsed("metrics"),
            peers: reader.parsed("peers").unwrap_or(ANY),
            control: reader.list("control"),
            control_port: u16::try_from(reader.number("control_port", 0, 1, u16::MAX.into()))
                .unwrap_or(0),
            grace: Duration::from_millis(reader.number("grace_ms", DEFAULT_GRACE_MS, low, high)),
            log_levels: reader
                .optional_parsed::<LogLevels>("log_levels")
                .map_or_else(|| "info".into(), Into::into),
        };
        if settings.control.is_empty() {
            reader.fault("control", "names no control replica");
        }
        if settings.control_port == 0 {
            reader.fault("control_port", "is missing");
        }
        if !settings.zones.iter().any(|known| known.zone == settings.zone) {
            reader.fault("zones", &format!("does not list this host's zone, {}", settings.zone));
        }
        settings
    }
}

/// Distances from one zone to all others.
#[derive(Clone, Debug)]
pub struct ZoneMap {
    zone: SharedName,
    regions: FastMap<SharedName, SharedName>,
}

impl ZoneMap {
    /// Creates the map of the settings.
    #[must_use]
    pub fn new(settings: &GatewaySettings) -> Self {
        let mut regions = FastMap::default();
        for known in &settings.zones {
            regions.insert(known.zone.clone(), known.region.clone());
        }
        Self { zone: settings.zone.clone(), regions }
    }

    /// Returns the distance to a zone; an unknown one counts as remote.
    #[must_use]
    pub fn distance(&self, zone: &SharedName) -> Distance {
        if *zone == self.zone {
            return Distance::Zone;
        }
        match (self.regions.get(&self.zone), self.regions.get(zone)) {
            (Some(own), Some(other)) if own == other => Distance::Region,
            _ => Distance::Remote,
        }
    }
}

/// Stands in for an address that could not be read.
const ANY: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
