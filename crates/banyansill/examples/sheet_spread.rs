//! Prints how long a sheet takes to be applied everywhere, and what the entries' control traffic costs.
//!
//! `cargo run --release -p banyansill --example sheet_spread`
//!
//! One control replica with a data folder and the membership part of N entries run in this process.

use {
    banyansill_control::{ControlHandle, settings::ControlSettings},
    banyansill_core::{names::SharedName, route::RouteTable},
    banyansill_entry::{
        announcements::AnnouncementRegistry,
        lease::NodeLease,
        membership::{MembershipHandle, MembershipLinks, MembershipSettings},
    },
    banyansill_runtime::{clock::MonotonicClock, events::EventSink},
    banyansill_testkit::usage::{CountedPath, median, processor_time},
    banyansill_wire::v1::{
        ApplySheetRequest, EntryInfo, Role, TargetReport, control_client::ControlClient,
    },
    std::{
        error::Error,
        io,
        net::{Ipv4Addr, SocketAddr},
        path::Path,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        runtime::{Builder, Runtime},
        sync::watch,
        time::{sleep, timeout},
    },
};

type AnyError = Box<dyn Error + Send + Sync>;

/// Prefix of the names of threads that run the entries.
const CLIENT: &str = "client";

/// Targets that one entry is the broker of at the design size: 54,000 behind 2,700.
const TARGETS: usize = 20;

/// Time over which the traffic without changes is observed.
const IDLE_TIME: Duration = Duration::from_millis(2_500);

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn server_time() -> io::Result<Duration> {
    processor_time(|name| !name.starts_with(CLIENT) && !name.starts_with("sheet_spread"))
}

fn client_time() -> io::Result<Duration> {
    processor_time(|name| name.starts_with(CLIENT))
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

struct SimulatedEntry {
    _membership: MembershipHandle,
    routes: watch::Receiver<Arc<RouteTable>>,
    reports: watch::Sender<Vec<TargetReport>>,
    lease: NodeLease,
}

impl SimulatedEntry {
    fn start(number: usize, control: SocketAddr) -> Self {
        let clock = MonotonicClock::start();
        let lease = NodeLease::new(clock);
        let host = format!("entry-{number:05}");
        let (publisher, routes) = watch::channel(Arc::new(RouteTable::default()));
        let (reports, receiver) = watch::channel(Vec::new());
        let links = MembershipLinks {
            clock,
            lease: lease.clone(),
            routes: publisher,
            reports: receiver,
            announcements: AnnouncementRegistry::new(
                host.as_str().into(),
                clock,
                lease.clone(),
                routes.clone(),
            ),
            events: EventSink::new(host.as_str().into()),
        };
        let entry = EntryInfo {
            host,
            address: format!("10.1.{}.{}:7000", number / 250, number % 250),
            caller_address: format!("10.1.{}.{}:5432", number / 250, number % 250),
            region: "region-1".to_owned(),
            zone: "zone-1a".to_owned(),
            incarnation: 1_750_000_000_000,
            ..EntryInfo::default()
        };
        let control = vec![SharedName::from(control.to_string())];
        let membership = MembershipHandle::spawn(MembershipSettings { entry, control }, links);
        Self { _membership: membership, routes, reports, lease }
    }
}

fn target_reports(number: usize) -> Vec<TargetReport> {
    let mut reports = Vec::new();
    for index in 0..TARGETS {
        reports.push(TargetReport {
            database: format!("database-{:05}", number * TARGETS / 3 + index / 3),
            server: format!("server-{}", index % 3 + 1),
            epoch: 1,
            reachable: true,
            role: Role::Replica.into(),
            open_connections: 6,
            term: 1,
            ..TargetReport::default()
        });
    }
    reports
}

fn sheet(rows: usize) -> String {
    let mut text = "database,application,kind,access,targets,max_age_ms,ack,repeatable,priority,\
                    deadline_ms,max_concurrent\n"
        .to_owned();
    for row in 0..rows {
        text.push_str(&format!("database-{row:05},*,read,read,any,1000,primary,yes,4,30000,\n"));
    }
    text
}

/// Applies a sheet and returns the milliseconds from its acceptance to the last entry.
async fn spread(
    entries: &mut [SimulatedEntry],
    control: SocketAddr,
    number: u64,
    rows: usize,
) -> Result<f64, AnyError> {
    let mut client = ControlClient::connect(format!("http://{control}")).await?;
    let request = ApplySheetRequest {
        number,
        content: sheet(rows).into_bytes().into(),
        request_id: format!("sheet-{number}"),
        operator: "planner".to_owned(),
    };
    let reply = client.apply_sheet(request).await?.into_inner();
    let accepted = Instant::now();
    if !reply.accepted {
        return Err(format!("sheet refused: {}", reply.conflict).into());
    }
    for entry in entries {
        entry.routes.wait_for(|table| table.sheet_number >= number).await?;
    }
    Ok(accepted.elapsed().as_secs_f64() * 1e3)
}

struct IdleCost {
    server: f64,
    client: f64,
    bytes: f64,
}

/// Returns the percentage of a core on both sides and the bytes per second, for each entry.
async fn idle(path: &CountedPath, entries: usize) -> Result<IdleCost, AnyError> {
    let start = Instant::now();
    let (server, client, bytes) = (server_time()?, client_time()?, path.bytes());
    sleep(IDLE_TIME).await;
    let seconds = start.elapsed().as_secs_f64() * entries as f64;
    Ok(IdleCost {
        server: (server_time()? - server).as_secs_f64() / seconds * 100.0,
        client: (client_time()? - client).as_secs_f64() / seconds * 100.0,
        bytes: (path.bytes() - bytes) as f64 / seconds,
    })
}

async fn measure(control: &ControlHandle, count: usize) -> Result<(), AnyError> {
    // The path carries the entries' traffic, so its own processor time is part of the clients'.
    let path = CountedPath::open(control.address()).await?;
    let mut entries = Vec::new();
    for number in 0..count {
        entries.push(SimulatedEntry::start(number, path.address()));
    }
    let leased = async {
        while entries.iter().any(|entry| !entry.lease.is_valid()) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(10), leased).await?;
    let mut spreads = Vec::new();
    for rows in [20, 1_000] {
        let mut times = Vec::new();
        let mut bytes = Vec::new();
        for run in 0..7 {
            let number = if rows == 20 { run + 1 } else { run + 8 };
            let before = path.bytes();
            times.push(spread(&mut entries, control.address(), number, rows).await?);
            bytes.push((path.bytes() - before) as f64 / count as f64);
            sleep(Duration::from_millis(100)).await;
        }
        let longest = times.iter().copied().fold(0.0, f64::max);
        spreads.push((median(times), longest, median(bytes)));
    }
    sleep(Duration::from_secs(1)).await;
    let quiet = idle(&path, count).await?;
    let mut senders = Vec::new();
    for (number, entry) in entries.iter().enumerate() {
        senders.push((target_reports(number), entry.reports.clone()));
    }
    for (reports, sender) in &senders {
        sender.send_replace(reports.clone());
    }
    sleep(Duration::from_millis(500)).await;
    // Reports that do not change do not wake the heartbeat.
    let steady = idle(&path, count).await?;
    let publisher = tokio::spawn(async move {
        // Each broker probes its target every 250 ms and publishes the same report again.
        let gap = Duration::from_micros(250_000 / TARGETS as u64);
        loop {
            for (reports, sender) in &senders {
                sender.send_replace(reports.clone());
            }
            sleep(gap).await;
        }
    });
    sleep(Duration::from_millis(500)).await;
    let republished = idle(&path, count).await?;
    publisher.abort();
    println!(
        "{count:>7} {:>8.1} {:>8.1} {:>9.1} {:>8.1} {:>9.0}",
        spreads[0].0, spreads[0].1, spreads[1].0, spreads[1].1, spreads[1].2
    );
    for (label, cost) in [("none", quiet), ("constant", steady), ("republished", republished)] {
        println!(
            "{:>50} {label:>12} {:>10.3} {:>10.3} {:>10.0}",
            "", cost.server, cost.client, cost.bytes
        );
    }
    Ok(())
}

fn runtime(name: &str, threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(threads).thread_name(name).enable_all().build()
}

fn main() -> Result<(), AnyError> {
    println!(
        "time from acceptance to the last entry (median and longest of 7), without databases;"
    );
    println!("then control traffic of one entry by reports of {TARGETS} targets");
    println!(
        "{:>7} {:>8} {:>8} {:>9} {:>8} {:>9} {:>12} {:>10} {:>10} {:>10}",
        "entries",
        "20 rows",
        "longest",
        "1k rows",
        "longest",
        "B/entry",
        "reports",
        "server %",
        "client %",
        "B/s"
    );
    for count in [15, 100, 300] {
        let folder = tempfile::tempdir()?;
        let server = runtime("server", 4)?;
        let client = runtime(CLIENT, 4)?;
        let control =
            server.block_on(banyansill_control::spawn(control_settings(folder.path())))?;
        client.block_on(async {
            sleep(Duration::from_secs(1)).await;
            measure(&control, count).await
        })?;
        client.shutdown_background();
        server.block_on(control.stop());
    }
    Ok(())
}
