//! Prints what callers and statements cost an entry, and what an entry without callers costs.
//!
//! `cargo run --release -p banyansill --example entry_cost`
//!
//! The parts of `banyansill-solo` run in this process; stand-in servers and callers run on threads of
//! their own, whose processor time is not counted.

use {
    banyansill::solo::SHEET,
    banyansill_control::{ControlHandle, settings::ControlSettings},
    banyansill_core::names::SharedName,
    banyansill_entry::{EntryHandle, session::CallerSettings, settings::EntrySettings},
    banyansill_standin::{
        ServerHandle,
        settings::{StandinSettings, StartRole},
    },
    banyansill_testkit::usage::{CountedPath, median, processor_time, resident_bytes},
    banyansill_wire::v1::{ApplySheetRequest, control_client::ControlClient},
    std::{
        error::Error,
        io,
        net::{Ipv4Addr, SocketAddr},
        path::Path,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        runtime::{Builder, Runtime},
        task::JoinSet,
        time::{sleep, timeout},
    },
    tokio_postgres::NoTls,
};

type AnyError = Box<dyn Error + Send + Sync>;

/// Prefixes of the names of threads that are not part of the entry.
const OTHERS: [&str; 4] = ["client", "standin", "control", "entry_cost"];

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn entry_time() -> io::Result<Duration> {
    processor_time(|name| !OTHERS.iter().any(|other| name.starts_with(other)))
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
        tokens: None,
        control: vec![control],
        target_user: "banyansill".to_owned(),
        drain_timeout: Duration::from_secs(1),
        statsd: None,
        log_levels: "warn".to_owned(),
        log_directory: None,
    }
}

fn database_name(number: usize) -> String {
    format!("database-{number:05}")
}

async fn spawn_group(number: usize, control: SocketAddr) -> Result<Vec<ServerHandle>, AnyError> {
    let mut servers = Vec::new();
    let mut role = StartRole::Primary;
    for server in ["server-1", "server-2", "server-3"] {
        let mut standin = StandinSettings::loopback(&database_name(number), server, role);
        standin.control = vec![control];
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
        request_id: "entry-cost".to_owned(),
        operator: "entry-cost".to_owned(),
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
    path: CountedPath,
    _folder: tempfile::TempDir,
}

fn runtime(name: &str, threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(threads).thread_name(name).enable_all().build()
}

impl SplitSystem {
    fn start(databases: usize) -> Result<Self, AnyError> {
        let folder = tempfile::tempdir()?;
        let runtimes = vec![runtime("control", 2)?, runtime("standin", 4)?, runtime("entry", 4)?];
        let control =
            runtimes[0].block_on(banyansill_control::spawn(control_settings(folder.path())))?;
        let http = control.http_address();
        let servers = runtimes[1].block_on(async {
            let mut servers = Vec::new();
            for number in 0..databases {
                servers.extend(spawn_group(number, http).await?);
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
        Ok(Self { runtimes, control, entry, servers, path, _folder: folder })
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

/// Connects a caller without a client library, whose memory would be counted with the entry's.
async fn connect_plain(address: SocketAddr) -> Result<TcpStream, AnyError> {
    let mut stream = TcpStream::connect(address).await?;
    let mut body = 196_608_u32.to_be_bytes().to_vec();
    for text in ["user", "demo", "database", "database-00000", ""] {
        body.extend_from_slice(text.as_bytes());
        body.push(0);
    }
    let length = u32::try_from(body.len() + 4)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&body).await?;
    read_ready(&mut stream).await?;
    Ok(stream)
}

async fn read_ready(stream: &mut TcpStream) -> Result<(), AnyError> {
    loop {
        let kind = stream.read_u8().await?;
        let length = stream.read_u32().await?;
        let mut body = vec![0; length.saturating_sub(4) as usize];
        stream.read_exact(&mut body).await?;
        match kind {
            b'Z' => return Ok(()),
            b'E' => return Err(String::from_utf8_lossy(&body).into_owned().into()),
            _ => {}
        }
    }
}

async fn query_plain(stream: &mut TcpStream, text: &str) -> Result<(), AnyError> {
    let length = u32::try_from(text.len() + 5)?;
    let mut message = vec![b'Q'];
    message.extend_from_slice(&length.to_be_bytes());
    message.extend_from_slice(text.as_bytes());
    message.push(0);
    stream.write_all(&message).await?;
    read_ready(stream).await
}

async fn measure_callers(address: SocketAddr) -> Result<(), AnyError> {
    println!("\ncallers (no client library; their own sockets are part of the figure)");
    println!(
        "{:>8} {:>14} {:>16} {:>16} {:>16}",
        "callers", "idle B/caller", "one read B more", "3 reads B more", "connect us"
    );
    let mut streams = Vec::new();
    for size in [300, 900, 2_700] {
        let added = (size - streams.len()) as f64;
        let before = resident_bytes()?;
        let start = entry_time()?;
        let first = streams.len();
        while streams.len() < size {
            streams.push(connect_plain(address).await?);
        }
        let connect = (entry_time()? - start).as_secs_f64() * 1e6 / added;
        let idle = resident_bytes()?;
        for stream in &mut streams[first..] {
            query_plain(stream, "SELECT id, amount FROM stock WHERE id = 1").await?;
        }
        let active = resident_bytes()?;
        for (number, stream) in streams[first..].iter_mut().enumerate() {
            for round in 0..2 {
                let id = (number + round) % 100;
                query_plain(stream, &format!("SELECT id, amount FROM stock WHERE id = {id}"))
                    .await?;
            }
        }
        let busy = resident_bytes()?;
        println!(
            "{size:>8} {:>14.0} {:>16.0} {:>16.0} {connect:>16.1}",
            idle.saturating_sub(before) as f64 / added,
            active.saturating_sub(idle) as f64 / added,
            busy.saturating_sub(active) as f64 / added
        );
    }
    Ok(())
}

async fn client(address: SocketAddr) -> Result<tokio_postgres::Client, AnyError> {
    let text = format!(
        "host={} port={} user=demo dbname={}",
        address.ip(),
        address.port(),
        database_name(0)
    );
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn measure_statements(address: SocketAddr) -> Result<(), AnyError> {
    println!("\nstatements in a closed loop, entry's processor time, medians of 3 runs of 0.8 s");
    println!("{:>8} {:>8} {:>14} {:>14}", "callers", "kind", "statements/s", "us/statement");
    for callers in [1, 8, 64] {
        for kind in ["read", "write"] {
            let (mut rates, mut costs) = (Vec::new(), Vec::new());
            for _ in 0..3 {
                let (start, used) = (Instant::now(), entry_time()?);
                let count = run_statements(address, callers, kind == "write").await?;
                let used = (entry_time()? - used).as_secs_f64();
                rates.push(count as f64 / start.elapsed().as_secs_f64());
                costs.push(used * 1e6 / count as f64);
            }
            println!("{callers:>8} {kind:>8} {:>14.0} {:>14.1}", median(rates), median(costs));
        }
    }
    Ok(())
}

async fn run_statements(address: SocketAddr, callers: usize, write: bool) -> Result<u64, AnyError> {
    let end = Instant::now() + Duration::from_millis(800);
    let mut tasks = JoinSet::new();
    for number in 0..callers {
        tasks.spawn(async move {
            let client = client(address).await?;
            let text = if write {
                "UPDATE stock SET amount = 7 WHERE id = $1"
            } else {
                "SELECT id, amount FROM stock WHERE id = $1"
            };
            let statement = client.prepare(text).await?;
            let id = i32::try_from(number % 100)?;
            let mut count = 0;
            while Instant::now() < end {
                if write {
                    client.execute(&statement, &[&id]).await?;
                } else {
                    client.query(&statement, &[&id]).await?;
                }
                count += 1;
            }
            Ok::<_, AnyError>(count)
        });
    }
    let mut total = 0;
    while let Some(result) = tasks.join_next().await {
        total += result??;
    }
    Ok(total)
}

async fn fill(address: SocketAddr) -> Result<(), AnyError> {
    let client = client(address).await?;
    client.batch_execute("CREATE TABLE stock (id INT PRIMARY KEY, amount INT)").await?;
    for id in 0..100 {
        client.batch_execute(&format!("INSERT INTO stock VALUES ({id}, 5)")).await?;
    }
    Ok(())
}

fn measure_idle() -> Result<(), AnyError> {
    println!(
        "an entry without callers; bytes between it and control, both directions; 3 runs of 2 s"
    );
    println!("{:>9} {:>8} {:>12} {:>12}", "databases", "targets", "control B/s", "% of a core");
    for databases in [1, 3, 7] {
        let system = SplitSystem::start(databases)?;
        let (mut rates, mut shares) = (Vec::new(), Vec::new());
        for _ in 0..3 {
            let (start, used, bytes) = (Instant::now(), entry_time()?, system.path.bytes());
            std::thread::sleep(Duration::from_secs(2));
            let seconds = start.elapsed().as_secs_f64();
            rates.push((system.path.bytes() - bytes) as f64 / seconds);
            shares.push((entry_time()? - used).as_secs_f64() / seconds * 100.0);
        }
        println!(
            "{databases:>9} {:>8} {:>12.0} {:>12.2}",
            databases * 3,
            median(rates),
            median(shares)
        );
        system.stop();
    }
    Ok(())
}

fn main() -> Result<(), AnyError> {
    measure_idle()?;
    let callers = runtime("client", 4)?;
    let system = SplitSystem::start(1)?;
    let address = system.entry.address();
    callers.block_on(async {
        fill(address).await?;
        measure_callers(address).await?;
        measure_statements(address).await
    })?;
    callers.shutdown_background();
    system.stop();
    Ok(())
}
