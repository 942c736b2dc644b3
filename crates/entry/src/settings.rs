//! Settings of the entry process.

use {
    crate::session::{CallerAuthentication, CallerSettings},
    banyansill_core::names::SharedName,
    banyansill_runtime::{
        logs::LogLevels,
        settings::{SettingsReader, SettingsSource},
        tls::TlsFiles,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        time::Duration,
    },
};

/// Longest duration that a settings file may set, in milliseconds.
const MAX_DURATION_MS: u64 = 3_600_000;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of this host, unique among all entries.
    pub host: SharedName,
    /// Region of this host.
    pub region: SharedName,
    /// Availability zone of this host.
    pub zone: SharedName,
    /// Listener for callers and its limits.
    pub callers: CallerSettings,
    /// Listener for other entries.
    pub peer_listen: SocketAddr,
    /// Address at which other entries reach `peer_listen`; `None` if it is the address of the listener.
    pub peer_address: Option<SocketAddr>,
    /// HTTP listener for health checks and administration.
    pub admin_listen: SocketAddr,
    /// File with the tokens of operators; without one everybody may read the status and the events.
    pub tokens: Option<PathBuf>,
    /// Addresses of all control replicas.
    pub control: Vec<SocketAddr>,
    /// Database user that brokers connect to targets as.
    pub target_user: String,
    /// Time that callers have to finish at a planned stop before they are disconnected.
    pub drain_timeout: Duration,
    /// Address of the statsd server; without one no metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// Log levels, such as `info` or `info,event=warn`.
    pub log_levels: String,
    /// Directory of log files; without one, logs go to standard error.
    pub log_directory: Option<PathBuf>,
}

impl SettingsSource for EntrySettings {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        let host = SharedName::from(reader.string("host"));
        let region = SharedName::from(reader.string("region"));
        let zone = SharedName::from(reader.string("zone"));
        let mut callers: CallerSettings = reader.nested("callers");
        callers.region = region.clone();
        callers.zone = zone.clone();
        let control: Vec<SocketAddr> = reader.list("control");
        if control.is_empty() {
            reader.fault("control", "must name at least one control replica");
        }
        for (index, address) in control.iter().enumerate() {
            if control[..index].contains(address) {
                reader.fault(&format!("control[{index}]"), "is given twice");
            }
        }
        let peer_listen = address(reader, "peer_listen");
        let peer_address = reader.optional_parsed("peer_address");
        if peer_address.is_none() && peer_listen.ip().is_unspecified() {
            reader.fault("peer_listen", "must be an address that other entries can connect to");
        }
        Self {
            host,
            region,
            zone,
            callers,
            peer_listen,
            peer_address,
            admin_listen: address(reader, "admin_listen"),
            tokens: reader.optional_path("tokens"),
            control,
            target_user: reader.string("target_user"),
            drain_timeout: duration_ms(reader, "drain_ms", 30_000),
            statsd: reader.optional_parsed("statsd"),
            log_levels: reader
                .optional_parsed::<LogLevels>("log_levels")
                .map_or_else(|| "info".into(), Into::into),
            log_directory: reader.optional_path("log_directory"),
        }
    }
}

impl SettingsSource for CallerSettings {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        let listen = address(reader, "listen");
        let defaults = Self::new(listen, SharedName::default(), SharedName::default());
        let authentication = match reader.optional_path("password_file") {
            None => CallerAuthentication::Trust,
            Some(path) => CallerAuthentication::Scram(path),
        };
        let tls: CallerTls = reader.optional_nested("tls").unwrap_or_default();
        Self {
            workers: count(reader, "workers", defaults.workers, 1, 256),
            max_callers: count(reader, "max_callers", defaults.max_callers, 1, 1_000_000),
            message_limit: count(reader, "message_limit", defaults.message_limit, 1 << 10, 1 << 30),
            startup_limit: count(reader, "startup_limit", defaults.startup_limit, 64, 1 << 20),
            startup_timeout: duration_ms(reader, "startup_ms", millis(defaults.startup_timeout)),
            stall_timeout: duration_ms(reader, "stall_ms", millis(defaults.stall_timeout)),
            transaction_timeout: duration_ms(
                reader,
                "transaction_idle_ms",
                millis(defaults.transaction_timeout),
            ),
            authentication,
            tls: tls.files,
            tls_required: tls.required,
            ..defaults
        }
    }
}

/// TLS settings for callers.
#[derive(Default)]
struct CallerTls {
    files: Option<TlsFiles>,
    required: bool,
}

impl SettingsSource for CallerTls {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        Self { files: Some(TlsFiles::read(reader)), required: reader.boolean("required", false) }
    }
}

fn address(reader: &mut SettingsReader<'_>, field: &str) -> SocketAddr {
    reader.parsed(field).unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
}

fn count(
    reader: &mut SettingsReader<'_>,
    field: &str,
    default: usize,
    low: u64,
    high: u64,
) -> usize {
    let number = reader.number(field, default as u64, low, high);
    usize::try_from(number).unwrap_or(default)
}

fn duration_ms(reader: &mut SettingsReader<'_>, field: &str, default: u64) -> Duration {
    Duration::from_millis(reader.number(field, default, 1, MAX_DURATION_MS))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
