//! Prints what announcements to control and announcements to the broker cost.
//!
//! `cargo run --release -p banyansill --example announce_cost`
//!
//! One control, one entry and 21 stand-in servers run on threads of their own in this process. The
//! processor time is that of control and the entry together, probes of the targets included.

use {
    banyansill::solo::SHEET,
    banyansill_control::{ControlHandle, settings::ControlSettings},
    banyansill_core::names::SharedName,
    banyansill_entry::{EntryHandle, session::CallerSettings, settings::EntrySettings},
    banyansill_standin::{
        ServerHandle,
        settings::{StandinSettings, StartRole},
    },
    banyansill_testkit::usage::{CountedPath, processor_time},
    banyansill_wire::v1::{ApplySheetRequest, control_client::ControlClient},
    std::{
        error::Error,
        io,
        net::{Ipv4Addr, SocketAddr},
        path::Path,
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        runtime::{Builder, Runtime},
        time::{sleep, timeout},
    },
};

type AnyError = Box<dyn Error + Send + Sync>;

/// Database groups of three servers; 20 targets per entry is the design size.
const DATABASES: usize = 7;

/// Length of one measured interval.
const INTERVAL: Duration = Duration::from_secs(4);

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn system_time() -> io::Result<Duration> {
    processor_time(|name| !name.starts_with("standin") && !name.starts_with("announce_cost"))
}

fn control_settings(folder: &Path) -> ControlSettings {
    ControlSettings {
        host: SharedName::from("control-1"),
        region: SharedName::from("local"),
        zone: SharedName::from("local"),
        listen: ANY_PORT,
        address: None,
        http: ANY_PORT,
        data: Some(folder.to_owned()),
        replicas: Vec::new(),
        join: false,
        snapshot_entries: banyansill_control::replica::SNAPSHOT_ENTRIES,
        tokens: None,
        log: "warn".to_owned(),
        log_folder: None,
        statsd: None,
    }
}

fn entry_settings(control: SocketAddr) -> EntrySettings {
    let (region, zone) = (SharedName::from("local"), SharedName::from("local"));
    EntrySettings {
        host: SharedName::from("entry-1"),
        region: region.clone(),
        zone: zone.clone(),
        callers: CallerSettings::new(ANY_PORT, region, zone),
        peer_listen: ANY_PORT,
        peer_address: None,
        admin_listen: ANY_PORT,
        control: vec![control],
        target_user: "banyansill".to_owned(),
        tokens: None,
        drain_timeout: Duration::from_secs(1),
        statsd: None,
        log_levels: "warn".to_owned(),
        log_directory: None,
    }
}

fn database_name(number: usize) -> String {
    format!("database-{number:05}")
}

async fn spawn_group(
    number: usize,
    control: SocketAddr,
    to_broker: bool,
) -> Result<Vec<ServerHandle>, AnyError> {
    let mut servers = Vec::new();
    let mut role = StartRole::Primary;
    for server in ["server-1", "server-2", "server-3"] {
        let mut standin = StandinSettings::loopback(&database_name(number), server, role);
        standin.control = vec![control];
        standin.broker_announcements = to_broker;
        let handle = banyansill_standin::spawn(standin).await?;
        if servers.is_empty() {
            role = StartRole::Replica(Some(handle.replication_address()));
        }
        servers.push(handle);
    }
    Ok(servers)
}

async fn apply_sheet(control: SocketAddr) -> Result<(), AnyError> {
    let request = ApplySheetRequest {
        number: 1,
        content: SHEET.as_bytes().to_vec().into(),
        request_id: "announce-cost".to_owned(),
        operator: "announce-cost".to_owned(),
    };
    let mut client = ControlClient::connect(format!("http://{control}")).await?;
    while client.apply_sheet(request.clone()).await.is_err() {
        sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

/// System whose parts run on runtimes of their own.
struct SplitSystem {
    runtimes: Vec<Runtime>,
    control: ControlHandle,
    entry: EntryHandle,
    servers: Vec<ServerHandle>,
    /// Heartbeats and the watch of the entry.
    path: CountedPath,
    /// Announcements to control.
    announcements: CountedPath,
    _folder: tempfile::TempDir,
}

fn runtime(name: &str, threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(threads).thread_name(name).enable_all().build()
}

impl SplitSystem {
    fn start(databases: usize, to_broker: bool) -> Result<Self, AnyError> {
        let folder = tempfile::tempdir()?;
        let runtimes = vec![runtime("control", 2)?, runtime("standin", 4)?, runtime("entry", 4)?];
        let control =
            runtimes[0].block_on(banyansill_control::spawn(control_settings(folder.path())))?;
        let http = control.http_address();
        let announcements = runtimes[1].block_on(CountedPath::open(http))?;
        let http = announcements.address();
        let servers = runtimes[1].block_on(async {
            let mut servers = Vec::new();
            for number in 0..databases {
                servers.extend(spawn_group(number, http, to_broker).await?);
            }
            Ok::<_, AnyError>(servers)
        })?;
        let path = runtimes[1].block_on(CountedPath::open(control.address()))?;
        let entry =
            runtimes[2].block_on(banyansill_entry::spawn(entry_settings(path.address())))?;
        let mut names = Vec::new();
        for number in 0..databases {
            names.push(database_name(number));
        }
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        runtimes[1].block_on(async {
            apply_sheet(control.address()).await?;
            timeout(Duration::from_secs(20), entry.wait_ready(&names)).await?;
            sleep(Duration::from_secs(2)).await;
            Ok::<_, AnyError>(())
        })?;
        Ok(Self { runtimes, control, entry, servers, path, announcements, _folder: folder })
    }

    fn stop(self) {
        self.runtimes[2].block_on(self.entry.stop());
        self.runtimes[0].block_on(self.control.stop());
        drop(self.servers);
        for runtime in self.runtimes {
            runtime.shutdown_background();
        }
    }
}

fn main() -> Result<(), AnyError> {
    println!(
        "{:>10} {:>22} {:>22} {:>14}",
        "mode", "announcements B/s", "entry's control B/s", "% of a core"
    );
    for (mode, to_broker) in [("control", false), ("broker", true)] {
        let system = SplitSystem::start(DATABASES, to_broker)?;
        for _ in 0..3 {
            let (announced, path) = (system.announcements.bytes(), system.path.bytes());
            let (used, start) = (system_time()?, Instant::now());
            thread::sleep(INTERVAL);
            let seconds = start.elapsed().as_secs_f64();
            println!(
                "{mode:>10} {:>22.0} {:>22.0} {:>14.2}",
                (system.announcements.bytes() - announced) as f64 / seconds,
                (system.path.bytes() - path) as f64 / seconds,
                (system_time()? - used).as_secs_f64() / seconds * 100.0
            );
        }
        system.stop();
    }
    Ok(())
}
