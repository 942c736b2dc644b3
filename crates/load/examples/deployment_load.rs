//! Runs a deployment's mix against a whole system of processes and prints the four load measures.
//!
//! `cargo build --release --workspace && cargo run --release -p banyansill-load --example
//! deployment_load -- --mix hamper-board --rate 1000 --seconds 3 --seeds 3 --side both`
//!
//! One control, three entries and three stand-ins with the deployment's sizes run as processes. The
//! naive proxy runs in this process before a group of its own without entries, so that it has all of
//! the primary's connections.

use {
    banyansill_load::{
        driver, mix::RequestMix, naive::NaiveProxy, report, report::SlotCapacity, sweep::RunOptions,
    },
    banyansill_testkit::process::{TestProcess, free_address},
    banyansill_wire::v1::{ApplySheetRequest, control_client::ControlClient},
    serde_json::{Value, json},
    std::{
        error::Error,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
};

type AnyError = Box<dyn Error + Send + Sync>;

mod flags {
    #![allow(missing_docs, clippy::all, clippy::must_use_candidate, clippy::missing_errors_doc)]
    #![allow(clippy::missing_const_for_fn, clippy::unwrap_used)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Load measures of a whole deployment on loopback.
        cmd deployment-load {
            /// Mix: hamper-board or magnolia.
            optional --mix mix: String
            /// Short requests per second before the crest.
            optional --rate rate: f64
            /// Long requests per second while reports run.
            optional --reports reports: f64
            /// Factor of the crest.
            optional --crest crest: f64
            /// Seconds per phase.
            optional --seconds seconds: u64
            /// First seed.
            optional --seed seed: u64
            /// Number of seeds.
            optional --seeds seeds: u64
            /// Side: banyansill, naive or both.
            optional --side side: String
            /// Microseconds that a short statement takes on a server.
            optional --statement-us statement_us: u64
            /// Lag of the replicas in milliseconds.
            optional --lag-ms lag_ms: u64
            /// Lag of the last replica in milliseconds, if it differs.
            optional --last-lag-ms last_lag_ms: u64
            /// Sheet to apply instead of the deployment's own.
            optional --sheet sheet: PathBuf
            /// Folder for CSV, JSON and SVG.
            optional --output output: PathBuf
        }
    }
}

/// Sizes of a deployment, from `docs/design.md`, section 1.
struct DeploymentSize {
    slots: u64,
    connections: u64,
    database: &'static str,
    sheet: &'static str,
}

impl DeploymentSize {
    fn of(mix: &RequestMix) -> Self {
        if mix.name == "magnolia" {
            return Self {
                slots: 3,
                connections: 90,
                database: "shopbooks-1",
                sheet: include_str!("../../../examples/magnolia/sheet.csv"),
            };
        }
        Self {
            slots: 5,
            connections: 70,
            database: "hamper-db-1",
            sheet: include_str!("../../../examples/hamper-board/sheet.csv"),
        }
    }
}

struct Deployment {
    folder: PathBuf,
    database: &'static str,
    entries: Vec<SocketAddr>,
    admins: Vec<SocketAddr>,
    servers: Vec<SocketAddr>,
    processes: Vec<TestProcess>,
}

impl Deployment {
    fn url(&self, address: SocketAddr) -> String {
        let (host, port) = (address.ip(), address.port());
        format!("host={host} port={port} user=load dbname={} connect_timeout=5", self.database)
    }

    fn start(&mut self, binary: &str, name: &str, settings: &Value) -> Result<(), AnyError> {
        let path = self.folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings.to_string())?;
        let path = path.to_string_lossy().into_owned();
        let process = TestProcess::spawn(binary, name, &self.folder, &["--config", &path])?;
        self.processes.push(process);
        Ok(())
    }

    async fn open(
        folder: &Path,
        size: &DeploymentSize,
        lags: [u64; 3],
        sheet: &[u8],
        entries: usize,
        statement_us: u64,
    ) -> Result<Self, AnyError> {
        let mut deployment = Self {
            folder: folder.to_owned(),
            database: size.database,
            entries: Vec::new(),
            admins: Vec::new(),
            servers: Vec::new(),
            processes: Vec::new(),
        };
        let (control, http) = (free_address()?, free_address()?);
        let place = json!({ "region": "local", "zone": "local" });
        let mut settings = json!({
            "host": "control-1", "listen": control.to_string(), "http": http.to_string(),
            "data": folder.join("control-data").to_string_lossy(), "log": "warn",
            "replicas": [{ "host": "control-1", "address": control.to_string() }],
        });
        add(&mut settings, &place);
        deployment.start("banyansill-control", "control-1", &settings)?;
        let mut follow = None;
        for (index, lag) in lags.iter().enumerate() {
            let (address, replication) = (free_address()?, free_address()?);
            let name = format!("server-{}", index + 1);
            let role = if index == 0 { "primary" } else { "replica" };
            let mut settings = json!({
                "database": size.database, "server": name, "listen": address.to_string(),
                "replication_listen": replication.to_string(), "role": role,
                "slots": size.slots, "connections": size.connections, "connection_cost_ms": 12,
                "statement_cost_us": statement_us, "lag_ms": lag, "control": [http.to_string()],
                "log": "warn",
            });
            add(&mut settings, &place);
            if let Some(first) = &follow {
                settings["follow"] = json!(first);
            } else {
                follow = Some(replication.to_string());
            }
            deployment.start("banyansill-standin", &name, &settings)?;
            deployment.servers.push(address);
        }
        for number in 1..=entries {
            let (callers, peer, admin) = (free_address()?, free_address()?, free_address()?);
            let host = format!("entry-{number}");
            let mut settings = json!({
                "host": host, "callers": { "listen": callers.to_string(), "workers": 2 },
                "peer_listen": peer.to_string(), "admin_listen": admin.to_string(),
                "control": [control.to_string()], "target_user": "load", "log_levels": "warn",
            });
            add(&mut settings, &place);
            deployment.start("banyansill-entry", &host, &settings)?;
            deployment.entries.push(callers);
            deployment.admins.push(admin);
        }
        apply_sheet(control, sheet).await?;
        Ok(deployment)
    }

    /// Prints what the entries counted: where reads went and how often a request moved on.
    async fn print_counters(&self) {
        for admin in &self.admins {
            match read_status(*admin).await {
                Ok(status) => println!("entry {admin}: {}", status["counters"]),
                Err(error) => println!("entry {admin}: {error}"),
            }
        }
    }
}

async fn read_status(admin: SocketAddr) -> Result<Value, AnyError> {
    let mut stream = TcpStream::connect(admin).await?;
    stream.write_all(b"GET /v1/status HTTP/1.0\r\n\r\n").await?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await?;
    let (_, body) = reply.split_once("\r\n\r\n").ok_or("no body")?;
    Ok(serde_json::from_str(body)?)
}

fn add(settings: &mut Value, more: &Value) {
    let (Some(settings), Some(more)) = (settings.as_object_mut(), more.as_object()) else { return };
    for (name, value) in more {
        settings.insert(name.clone(), value.clone());
    }
}

async fn apply_sheet(control: SocketAddr, sheet: &[u8]) -> Result<(), AnyError> {
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        let request = ApplySheetRequest {
            number: 1,
            content: sheet.to_vec().into(),
            request_id: "first".to_owned(),
            operator: "load".to_owned(),
        };
        if let Ok(mut client) = ControlClient::connect(format!("http://{control}")).await
            && let Ok(reply) = client.apply_sheet(request).await
        {
            let reply = reply.into_inner();
            return if reply.accepted { Ok(()) } else { Err(format!("{reply:?}").into()) };
        }
        if Instant::now() > end {
            return Err("control does not take the sheet".into());
        }
        sleep(Duration::from_millis(100)).await;
    }
}

fn load_average() -> String {
    fs::read_to_string("/proc/loadavg").unwrap_or_default().trim().to_owned()
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let arguments = flags::DeploymentLoad::from_env_or_exit();
    let name = arguments.mix.unwrap_or_else(|| "hamper-board".to_owned());
    let mix = RequestMix::named(&name).ok_or("unknown mix")?;
    let size = DeploymentSize::of(&mix);
    let options = RunOptions {
        rate: arguments.rate.unwrap_or(1_000.0),
        reports: arguments.reports.unwrap_or(1.0),
        crest: arguments.crest.unwrap_or(3.0),
        span: Duration::from_secs(arguments.seconds.unwrap_or(3)),
        connections: driver::CONNECTION_LIMIT,
        seed: arguments.seed.unwrap_or(1),
        seeds: arguments.seeds.unwrap_or(1),
    };
    let statement_us = arguments.statement_us.unwrap_or(2_000);
    let lag = arguments.lag_ms.unwrap_or(200);
    let lags = [lag, lag, arguments.last_lag_ms.unwrap_or(lag)];
    let sheet = match &arguments.sheet {
        Some(path) => fs::read(path)?,
        None => size.sheet.as_bytes().to_vec(),
    };
    let side = arguments.side.unwrap_or_else(|| "both".to_owned());
    println!("load average before: {}", load_average());
    let mut runs = Vec::new();
    for name in ["banyansill", "naive"] {
        if side != name && side != "both" {
            continue;
        }
        let folder = tempfile::tempdir()?;
        let entries = if name == "naive" { 0 } else { 3 };
        let deployment =
            Deployment::open(folder.path(), &size, lags, &sheet, entries, statement_us).await?;
        let mut urls = Vec::new();
        for address in &deployment.entries {
            urls.push(deployment.url(*address));
        }
        let naive = NaiveProxy::bind(free_address()?, deployment.servers[0]).await?;
        if name == "naive" {
            urls.push(deployment.url(naive.address()));
        }
        let end = Instant::now() + Duration::from_secs(20);
        while let Err(error) = driver::prepare(&urls[0], &mix).await {
            if Instant::now() > end {
                return Err(format!("not ready: {error:?}").into());
            }
            sleep(Duration::from_millis(200)).await;
        }
        sleep(Duration::from_millis(1_000 + lags[2].min(8_000))).await;
        runs.extend(options.run(&mix, &[(name, urls)]).await?);
        deployment.print_counters().await;
    }
    println!("load average after: {}", load_average());
    #[allow(clippy::cast_precision_loss)]
    let capacity = SlotCapacity {
        servers: 3.0,
        slots: size.slots as f64,
        statement: statement_us as f64 / 1_000_000.0,
        report: 2.0,
    };
    print!("{}", options.report(&mix, &runs, &capacity));
    if let Some(output) = arguments.output {
        report::write(&output, &runs).map_err(|error| error.to_string())?;
    }
    Ok(())
}
