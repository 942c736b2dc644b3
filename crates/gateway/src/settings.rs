//! Settings of a gateway.

use {
    banyansill_core::{collections::FastMap, gateway::Distance, names::SharedName, time::Micros},
    banyansill_runtime::{
        logs::LogLevels,
        settings::{SettingsReader, SettingsSource},
    },
    std::{
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        time::Duration,
    },
};

/// Default of [`GatewaySettings::grace`], in milliseconds.
const DEFAULT_GRACE_MS: u64 = 6_000;

/// Minimum and maximum of [`GatewaySettings::grace`], in milliseconds; below the minimum, a stop would
/// cut off requests.
const GRACE_BOUNDS_MS: (u64, u64) = (1_000, 600_000);

/// Minimum and maximum of [`GatewaySettings::withdrawal`], in milliseconds; below the minimum, keys would often be
/// unconfirmed, since they are confirmed every 200 ms and a lost control replica is noticed after 1.2 s.
const WITHDRAWAL_BOUNDS_MS: (u64, u64) = (1_000, 600_000);

/// Assignment of an availability zone to a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSettings {
    /// Name of the availability zone.
    pub zone: SharedName,
    /// Name of the region that contains the zone.
    pub region: SharedName,
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Host name, which identifies the gateway to control, other gateways and targets.
    pub host: SharedName,
    /// Availability zone of the host.
    pub zone: SharedName,
    /// Regions of all zones, including the own one.
    pub zones: Vec<ZoneSettings>,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address at which readiness and metrics are served.
    pub status: SocketAddr,
    /// Additional address at which metrics are served; `None` for none.
    pub metrics: Option<SocketAddr>,
    /// Address of the listener for other gateways.
    pub peers: SocketAddr,
    /// Hosts of control replicas, some of which may be gone; only their IP addresses are used.
    pub control: Vec<SocketAddr>,
    /// Port at which control replicas listen, on every host in `control`.
    pub control_port: u16,
    /// Grace period: time between the stop signal and the end of the process.
    pub grace: Duration,
    /// Time after the acknowledgement of its withdrawal at which a key must not be used any more, even if control
    /// cannot be reached; `None` to use keys until their withdrawal is known.
    pub withdrawal: Option<Micros>,
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
        let (withdrawal_low, withdrawal_high) = WITHDRAWAL_BOUNDS_MS;
        let settings = Self {
            host: reader.string("host").into(),
            zone: reader.string("zone").into(),
            zones: reader.objects("zones"),
            callers: reader.parsed("callers").unwrap_or(UNSPECIFIED_ADDRESS),
            status: reader.parsed("status").unwrap_or(UNSPECIFIED_ADDRESS),
            metrics: reader.optional_parsed("metrics"),
            peers: reader.parsed("peers").unwrap_or(UNSPECIFIED_ADDRESS),
            control: reader.list("control"),
            control_port: u16::try_from(reader.number("control_port", 0, 1, u16::MAX.into()))
                .unwrap_or(0),
            grace: Duration::from_millis(reader.number("grace_ms", DEFAULT_GRACE_MS, low, high)),
            // An absent field is the only way to obtain 0, which is below the minimum.
            withdrawal: Some(reader.number("withdrawal_ms", 0, withdrawal_low, withdrawal_high))
                .filter(|millis| *millis > 0)
                .map(Micros::from_millis),
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

/// Regions of all zones, from which the distances between a gateway and its targets follow.
#[derive(Clone, Debug)]
pub struct ZoneMap {
    zone: SharedName,
    regions: FastMap<SharedName, SharedName>,
}

impl ZoneMap {
    /// Creates the map from the settings, with distances from the gateway's own zone.
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

/// Placeholder for an address that is missing or invalid, which the reader reports as a fault.
const UNSPECIFIED_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
