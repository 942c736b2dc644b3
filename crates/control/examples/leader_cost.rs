//! Prints what heartbeats, announcements and watches cost the control leader.
//!
//! `cargo run --release -p banyansill-control --example leader_cost`
//!
//! One control replica with a data folder runs in this process; the clients run on threads of their
//! own, whose processor time is not counted.

use {
    banyansill_control::{ControlHandle, settings::ControlSettings},
    banyansill_core::names::SharedName,
    banyansill_testkit::usage::{CountedPath, median, processor_time},
    banyansill_wire::v1::{
        DrainRequest, EntryInfo, HeartbeatRequest, Position, Role, StatusRequest, TargetReport,
        WatchRequest, control_client::ControlClient,
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
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        runtime::{Builder, Runtime},
        sync::{Semaphore, watch},
        task::JoinSet,
        time::sleep,
    },
    tonic::transport::Channel,
};

type AnyError = Box<dyn Error + Send + Sync>;

/// Prefix of the names of threads that do the clients' work.
const CLIENT: &str = "client";

/// Requests that the clients have open at a time.
const OPEN_REQUESTS: usize = 16;

/// Version that satisfies every precondition on the applied version.
const APPLIED: u64 = u64::MAX / 2;

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn server_time() -> io::Result<Duration> {
    processor_time(|name| !name.starts_with(CLIENT) && !name.starts_with("leader_cost"))
}

fn settings(folder: &Path) -> ControlSettings {
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

fn heartbeat(entry: usize, sequence: u64, reports: usize) -> HeartbeatRequest {
    let mut request = HeartbeatRequest {
        entry: Some(EntryInfo {
            host: format!("entry-{entry:05}"),
            address: format!("10.1.{}.{}:7000", entry / 250, entry % 250),
            caller_address: format!("10.1.{}.{}:5432", entry / 250, entry % 250),
            region: "region-1".to_owned(),
            zone: "zone-1a".to_owned(),
            incarnation: 1_750_000_000_000,
            ..EntryInfo::default()
        }),
        sequence,
        applied_version: APPLIED,
        stamp: None,
        sheet_number: 1_000,
        reports: Vec::new(),
    };
    for number in 0..reports {
        let database = entry * reports / 3 + number / 3;
        request.reports.push(TargetReport {
            database: format!("database-{database:05}"),
            server: format!("server-{}", number % 3 + 1),
            epoch: 1,
            reachable: true,
            unreachable_ms: 0,
            role: Role::Replica.into(),
            position: Some(Position { term: 1, offset: 1_000_000 }),
            fenced_term: 0,
            open_connections: 6,
            term: 1,
            term_start: None,
            ..TargetReport::default()
        });
    }
    request
}

fn announcement(number: usize) -> String {
    let (database, server) = (number / 3, number % 3 + 1);
    let address = format!("10.{}.{}.{}", 16 + number / 62_500, number / 250 % 250, number % 250);
    format!(
        "{{\"database\":\"database-{database:05}\",\"server\":\"server-{server}\",\
         \"address\":\"{address}:5432\",\"replication_address\":\"{address}:5433\",\
         \"region\":\"region-1\",\"zone\":\"zone-1a\",\"role\":\"replica\",\"term\":1,\
         \"position\":\"1:1000000\",\"slots\":5,\"connections\":70,\"leaving\":false,\
         \"incarnation\":1750000000000}}"
    )
}

/// Sends one announcement and reads its answer; returns the bytes of both directions.
async fn post(stream: &mut TcpStream, number: usize) -> Result<u64, AnyError> {
    let body = announcement(number);
    let request = format!(
        "POST /v1/announce HTTP/1.1\r\nhost: 10.0.0.1:8080\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await?;
    let mut reply = Vec::new();
    loop {
        if stream.read_buf(&mut reply).await? == 0 {
            return Err("the connection ended".into());
        }
        let text = String::from_utf8_lossy(&reply);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        if !head.starts_with("HTTP/1.1 200") {
            return Err(text.into());
        }
        let length = head.lines().find_map(|line| {
            line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse::<usize>().ok()
        });
        if body.len() >= length.unwrap_or(0) {
            return Ok((request.len() + reply.len()) as u64);
        }
    }
}

/// Announces targets `from..to`, each on a connection of its own or all on a few that stay open.
async fn announce(http: SocketAddr, from: usize, to: usize, keep: bool) -> Result<u64, AnyError> {
    let mut tasks = JoinSet::new();
    for worker in 0..OPEN_REQUESTS {
        tasks.spawn(async move {
            let mut bytes = 0;
            let mut kept = None;
            for number in (from + worker..to).step_by(OPEN_REQUESTS) {
                let mut stream = match kept.take() {
                    Some(stream) => stream,
                    None => TcpStream::connect(http).await?,
                };
                bytes += post(&mut stream, number).await?;
                if keep {
                    kept = Some(stream);
                }
            }
            Ok::<_, AnyError>(bytes)
        });
    }
    let mut total = 0;
    while let Some(result) = tasks.join_next().await {
        total += result??;
    }
    Ok(total)
}

async fn connect(address: SocketAddr) -> Result<ControlClient<Channel>, AnyError> {
    Ok(ControlClient::connect(format!("http://{address}")).await?)
}

async fn measure_heartbeats(control: &ControlHandle) -> Result<(), AnyError> {
    const ENTRIES: usize = 100;
    const ROUNDS: u64 = 15;
    println!("heartbeats of {ENTRIES} entries, {OPEN_REQUESTS} open at a time, medians of 3 runs");
    println!("{:>8} {:>14} {:>10} {:>10}", "reports", "processor us", "bytes", "refused");
    let path = CountedPath::open(control.address()).await?;
    let mut clients = Vec::new();
    for _ in 0..ENTRIES {
        clients.push(connect(path.address()).await?);
    }
    for reports in [0, 20, 60, 180] {
        let (mut times, mut sizes, mut refused) = (Vec::new(), Vec::new(), 0);
        for run in 0..4 {
            let (start, bytes) = (server_time()?, path.bytes());
            let permits = Arc::new(Semaphore::new(OPEN_REQUESTS));
            let mut tasks = JoinSet::new();
            for (entry, client) in clients.iter().enumerate() {
                let (mut client, permits) = (client.clone(), Arc::clone(&permits));
                tasks.spawn(async move {
                    let mut refused = 0;
                    for sequence in 0..ROUNDS {
                        let request = heartbeat(entry, sequence, reports);
                        let _permit = permits.acquire().await?;
                        let reply = client.heartbeat(request).await?.into_inner();
                        refused += u64::from(!reply.renewed);
                    }
                    Ok::<_, AnyError>(refused)
                });
            }
            let mut count = 0;
            while let Some(result) = tasks.join_next().await {
                count += result??;
            }
            // The first run joins the entries and warms up.
            if run > 0 {
                let sent = (ENTRIES as u64 * ROUNDS) as f64;
                times.push((server_time()? - start).as_secs_f64() * 1e6 / sent);
                sizes.push((path.bytes() - bytes) as f64 / sent);
                refused += count;
            }
        }
        println!("{reports:>8} {:>14.1} {:>10.0} {refused:>10}", median(times), median(sizes));
    }
    Ok(())
}

async fn measure_announcements(control: &ControlHandle) -> Result<(), AnyError> {
    println!("\nannouncements over HTTP, medians of 3 runs");
    println!(
        "{:>8} {:>12} {:>12} {:>12} {:>12} {:>10}",
        "targets", "record us", "new conn us", "new conn B", "kept us", "kept B"
    );
    let http = control.http_address();
    let mut known = 0;
    for targets in [600, 1_800, 5_400] {
        let start = server_time()?;
        announce(http, known, targets, true).await?;
        let recorded = (server_time()? - start).as_secs_f64() * 1e6 / (targets - known) as f64;
        known = targets;
        let mut results = [(Vec::new(), 0.0), (Vec::new(), 0.0)];
        for _ in 0..3 {
            for (keep, result) in [false, true].into_iter().zip(&mut results) {
                let start = server_time()?;
                let bytes = announce(http, 0, 1_800, keep).await? as f64;
                result.0.push((server_time()? - start).as_secs_f64() * 1e6 / 1_800.0);
                result.1 = bytes / 1_800.0;
            }
        }
        let [(fresh, fresh_bytes), (kept, kept_bytes)] = results;
        println!(
            "{targets:>8} {recorded:>12.0} {:>12.1} {fresh_bytes:>12.0} {:>12.1} {kept_bytes:>10.0}",
            median(fresh),
            median(kept)
        );
    }
    Ok(())
}

/// Watches until the stream ends and publishes the version that was received last.
async fn follow(mut client: ControlClient<Channel>, versions: watch::Sender<u64>) {
    let request = WatchRequest { since_version: 0, host: "entry".to_owned() };
    let Ok(stream) = client.watch(request).await else { return };
    let mut stream = stream.into_inner();
    while let Ok(Some(reply)) = stream.message().await {
        if !reply.partial {
            versions.send_replace(reply.version);
        }
    }
}

/// Waits until the leader has logged that the targets fell silent, so that nothing else changes.
async fn settle(operator: &ControlClient<Channel>) -> Result<(), AnyError> {
    let mut operator = operator.clone().max_decoding_message_size(64 << 20);
    let mut seen = (0, Instant::now());
    while seen.1.elapsed() < Duration::from_secs(4) {
        let version = operator.status(StatusRequest::default()).await?.into_inner().version;
        if version != seen.0 {
            seen = (version, Instant::now());
        }
        sleep(Duration::from_millis(250)).await;
    }
    Ok(())
}

async fn measure_watches(control: &ControlHandle) -> Result<(), AnyError> {
    const CHANGES: usize = 60;
    println!(
        "\nwatches: {CHANGES} drain marks of targets, one after the other, over 600 databases"
    );
    println!(
        "{:>8} {:>14} {:>16} {:>14} {:>12} {:>14} {:>14}",
        "watchers",
        "change us",
        "change us/watch",
        "delta B/watch",
        "last ms",
        "first B/watch",
        "first us/watch"
    );
    announce(control.http_address(), 0, 1_800, true).await?;
    let mut operator = connect(control.address()).await?;
    settle(&operator).await?;
    for watchers in [1, 10, 50, 200] {
        let path = CountedPath::open(control.address()).await?;
        let start = server_time()?;
        let mut versions = Vec::new();
        let mut tasks = JoinSet::new();
        for _ in 0..watchers {
            let (version, receiver) = watch::channel(0);
            tasks.spawn(follow(connect(path.address()).await?, version));
            versions.push(receiver);
        }
        for receiver in &mut versions {
            receiver.wait_for(|version| *version > 0).await?;
        }
        let first = (server_time()? - start).as_secs_f64() * 1e6 / f64::from(watchers);
        let whole = path.bytes() as f64 / f64::from(watchers);
        let (start, bytes) = (server_time()?, path.bytes());
        let mut delays = Vec::new();
        for change in 0..CHANGES {
            let base = *versions[0].borrow();
            let request = DrainRequest {
                scope: "target".to_owned(),
                database: format!("database-{:05}", change / 2),
                name: "server-2".to_owned(),
                drain: change % 2 == 0,
                request_id: format!("drain-{watchers}-{change}"),
            };
            operator.drain(request).await?;
            let answered = Instant::now();
            for receiver in &mut versions {
                receiver.wait_for(|version| *version > base).await?;
            }
            delays.push(answered.elapsed().as_secs_f64() * 1e3);
        }
        let used = (server_time()? - start).as_secs_f64() * 1e6 / CHANGES as f64;
        let delta = (path.bytes() - bytes) as f64 / CHANGES as f64 / f64::from(watchers);
        println!(
            "{watchers:>8} {used:>14.0} {:>16.1} {delta:>14.0} {:>12.2} {whole:>14.0} {first:>14.0}",
            used / f64::from(watchers),
            median(delays)
        );
    }
    Ok(())
}

fn runtime(name: &str, threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(threads).thread_name(name).enable_all().build()
}

fn main() -> Result<(), AnyError> {
    let server = runtime("server", 4)?;
    let client = runtime(CLIENT, 4)?;
    let (first, second) = (tempfile::tempdir()?, tempfile::tempdir()?);
    let control = server.block_on(banyansill_control::spawn(settings(first.path())))?;
    client.block_on(async {
        sleep(Duration::from_secs(1)).await;
        measure_heartbeats(&control).await?;
        measure_announcements(&control).await
    })?;
    server.block_on(control.stop());
    let control = server.block_on(banyansill_control::spawn(settings(second.path())))?;
    client.block_on(async {
        sleep(Duration::from_secs(1)).await;
        measure_watches(&control).await
    })?;
    server.block_on(control.stop());
    Ok(())
}
