//! A whole system of real processes on loopback, with a fault-injecting proxy before each target.

use {
    crate::{
        inspect::target_status,
        process::{TestProcess, free_address, port_holders},
        proxy::FaultProxy,
    },
    banyansill_wire::v1::{ApplySheetReply, ApplySheetRequest, control_client::ControlClient},
    serde_json::{Value, json},
    std::{
        fs, io,
        net::SocketAddr,
        path::Path,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time::{sleep, timeout},
    tokio_postgres::{Client, NoTls},
};

/// Time within which a cluster must be ready, on a slow and busy machine.
const READY_LIMIT: Duration = Duration::from_secs(60);

/// Interval at which a wait looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time that one control replica gets to answer an operator.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// Environment variable that keeps the folder with settings, data and logs after a test.
const KEEP_VARIABLE: &str = "BANYANSILL_KEEP";

/// Shape of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Control replicas.
    pub controls: usize,
    /// Entries.
    pub entries: usize,
    /// Replication lag in milliseconds.
    pub lag_ms: u64,
    /// Slots of each server.
    pub slots: u64,
    /// Connections that each server accepts.
    pub connections: u64,
    /// Time between a server's announcement that it leaves and its end, in milliseconds.
    pub leave_ms: u64,
    /// Time that a caller may be idle inside a transaction, in milliseconds.
    pub transaction_idle_ms: u64,
    /// Applied log entries after which a control replica takes a snapshot.
    pub snapshot_entries: u64,
    /// Execution cost of each statement in microseconds.
    pub statement_cost_us: u64,
    /// Sheet to apply at the start.
    pub sheet: String,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            controls: 1,
            entries: 2,
            lag_ms: 0,
            slots: 5,
            connections: 70,
            leave_ms: 3_000,
            transaction_idle_ms: 60_000,
            snapshot_entries: 1_000,
            statement_cost_us: 0,
            sheet: DEFAULT_SHEET.to_owned(),
        }
    }
}

/// Sheet that lets reads go anywhere up to ten seconds old and confirms orders by a second server.
pub const DEFAULT_SHEET: &str = "\
database,application,kind,access,targets,max_age_ms,ack,repeatable,priority,deadline_ms,max_concurrent
*,*,read,read,any,10000,primary,yes,4,10000,
*,*,fresh,read,any,0,primary,yes,4,10000,
*,*,write,write,primary,,primary,no,4,10000,
*,*,order,write,primary,,replica,no,1,10000,
";

/// Database of the cluster's one group.
pub const DATABASE: &str = "hamper-db-1";

/// One stand-in server behind a fault-injecting proxy.
#[derive(Debug)]
pub struct TestTarget {
    /// Server name.
    pub name: String,
    /// Process of the server.
    pub process: TestProcess,
    /// Proxy before its PostgreSQL listener; banyansill connects through it.
    pub proxy: FaultProxy,
    /// Proxy from the server to the control's HTTP listener.
    pub announcements: FaultProxy,
    /// Address of the server itself, past the proxy.
    pub address: SocketAddr,
}

/// One entry.
#[derive(Debug)]
pub struct TestEntry {
    /// Host name.
    pub host: String,
    /// Process of the entry.
    pub process: TestProcess,
    /// Proxy before its listener for other entries, which connect through it.
    pub peers: FaultProxy,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address of the administration listener.
    pub admin: SocketAddr,
}

/// One control replica.
#[derive(Debug)]
pub struct TestControl {
    /// Host name.
    pub host: String,
    /// Process of the replica.
    pub process: TestProcess,
    /// Address of its tonic listener.
    pub address: SocketAddr,
    /// Address of its HTTP listener.
    pub http: SocketAddr,
}

/// Running cluster; dropping it kills its processes.
#[derive(Debug)]
#[must_use]
pub struct TestCluster {
    /// Entries.
    pub entries: Vec<TestEntry>,
    /// Servers; the first is the first primary.
    pub targets: Vec<TestTarget>,
    /// Control replicas.
    pub controls: Vec<TestControl>,
    folder: TempDir,
}

impl TestCluster {
    /// Starts the processes and waits until every entry serves callers.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or the cluster is not ready in time.
    pub async fn spawn(plan: ClusterPlan) -> io::Result<Self> {
        let mut folder = tempfile::tempdir()?;
        if std::env::var_os(KEEP_VARIABLE).is_some() {
            folder.disable_cleanup(true);
            println!("settings, data and logs in {}", folder.path().display());
        }
        let controls = spawn_controls(folder.path(), &plan)?;
        let targets = spawn_targets(folder.path(), &plan, &controls).await?;
        let entries = spawn_entries(folder.path(), &plan, &controls).await?;
        let cluster = Self { entries, targets, controls, folder };
        let reply = cluster.apply_sheet(1, &plan.sheet, "first").await?;
        if !reply.accepted {
            return Err(io::Error::other(format!("sheet refused: {reply:?}")));
        }
        for target in &cluster.targets {
            cluster.wait_target(target).await?;
        }
        for index in 0..cluster.entries.len() {
            cluster.wait_serving(index).await?;
        }
        Ok(cluster)
    }

    /// Returns the folder that holds settings, data and logs.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Connects a caller to an entry.
    ///
    /// # Errors
    ///
    /// Returns the entry's refusal.
    pub async fn caller(
        &self,
        entry: usize,
        application: &str,
    ) -> Result<Client, tokio_postgres::Error> {
        connect(self.entries[entry].address, application).await
    }

    /// Offers a sheet until a control replica answers.
    ///
    /// # Errors
    ///
    /// Returns an error if none answers in time.
    pub async fn apply_sheet(
        &self,
        number: u64,
        sheet: &str,
        request_id: &str,
    ) -> io::Result<ApplySheetReply> {
        let end = Instant::now() + READY_LIMIT;
        let mut reason = String::new();
        while Instant::now() < end {
            for control in &self.controls {
                let url = format!("http://{}", control.address);
                let connecting = timeout(ANSWER_LIMIT, ControlClient::connect(url));
                let Ok(Ok(mut client)) = connecting.await else { continue };
                let request = ApplySheetRequest {
                    number,
                    content: sheet.as_bytes().to_vec().into(),
                    request_id: request_id.to_owned(),
                    operator: "test".to_owned(),
                };
                // A paused replica accepts the connection and never answers.
                match timeout(ANSWER_LIMIT, client.apply_sheet(request)).await {
                    Ok(Ok(reply)) => return Ok(reply.into_inner()),
                    Ok(Err(status)) => reason = status.to_string(),
                    Err(_) => reason = format!("{} does not answer", control.host),
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("sheet not accepted: {reason}")))
    }

    /// Waits until a server accepts connections; a server that failed to start would only be missed
    /// once the others leave.
    async fn wait_target(&self, target: &TestTarget) -> io::Result<()> {
        let end = Instant::now() + READY_LIMIT;
        // Whoever took the port may be gone at the end.
        let mut holders = None;
        while connect(target.address, "test").await.is_err() {
            let log = fs::read_to_string(target.process.log()).unwrap_or_default();
            if holders.is_none() && log.contains("os error 98") {
                holders = refused_port(&log).map(port_holders);
            }
            if Instant::now() > end {
                let message = format!(
                    "{} does not accept connections:\n{log}\nsockets with its port: {}",
                    target.name,
                    holders.as_deref().unwrap_or("not looked up")
                );
                return Err(io::Error::new(io::ErrorKind::TimedOut, message));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until an entry serves a read and a write transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not in time.
    pub async fn wait_serving(&self, entry: usize) -> io::Result<()> {
        let end = Instant::now() + READY_LIMIT;
        let mut reason = String::from("no connection");
        while Instant::now() < end {
            match self.try_serving(entry).await {
                Ok(()) => return Ok(()),
                Err(error) => reason = format!("{error:?}"),
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("entry {entry}: {reason}")))
    }

    async fn try_serving(&self, entry: usize) -> Result<(), tokio_postgres::Error> {
        let client = self.caller(entry, "test").await?;
        client.simple_query("BEGIN; SELECT 1; COMMIT").await?;
        client.simple_query("SELECT 1").await?;
        Ok(())
    }

    /// Starts an entry's process again with the same settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_entry(&mut self, entry: usize) -> io::Result<()> {
        let entry = &mut self.entries[entry];
        entry.process = start(self.folder.path(), "banyansill-entry", &entry.host)?;
        Ok(())
    }

    /// Starts a control replica's process again with the same settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_control(&mut self, control: usize) -> io::Result<()> {
        let control = &mut self.controls[control];
        control.process = start(self.folder.path(), "banyansill-control", &control.host)?;
        Ok(())
    }

    /// Replaces a control host: starts a process with a new name and an empty folder on the address of
    /// the old one, which must have ended. It takes part once `change_member` has added it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn replace_control(&mut self, control: usize, host: &str) -> io::Result<()> {
        let folder = self.folder.path();
        let old = &mut self.controls[control];
        let mut settings = read_settings(folder, &old.host)?;
        settings["host"] = json!(host);
        settings["data"] = json!(folder.join(format!("{host}-data")).to_string_lossy());
        settings["join"] = json!(true);
        old.process = start_with(folder, "banyansill-control", host, &settings)?;
        host.clone_into(&mut old.host);
        Ok(())
    }

    /// Starts a server that has ended again, without data and as a replica that waits for its primary.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_target(&mut self, target: usize) -> io::Result<()> {
        let target = &mut self.targets[target];
        let mut settings = read_settings(self.folder.path(), &target.name)?;
        settings["role"] = json!("replica");
        if let Some(settings) = settings.as_object_mut() {
            settings.remove("follow");
        }
        target.process =
            start_with(self.folder.path(), "banyansill-standin", &target.name, &settings)?;
        Ok(())
    }

    /// Returns the index of the target that is primary by its own word, with the highest term.
    ///
    /// # Errors
    ///
    /// Returns an error if no target answers.
    pub async fn primary(&self) -> io::Result<usize> {
        let mut best: Option<(u64, usize)> = None;
        for (index, target) in self.targets.iter().enumerate() {
            let Ok(status) = target_status(target.address).await else { continue };
            if status.primary && best.is_none_or(|(highest, _)| status.term > highest) {
                best = Some((status.term, index));
            }
        }
        best.map(|(_, index)| index).ok_or_else(|| io::Error::other("no primary"))
    }
}

/// Connects to a PostgreSQL listener.
///
/// # Errors
///
/// Returns an error if the connection is refused.
pub async fn connect(
    address: SocketAddr,
    application: &str,
) -> Result<Client, tokio_postgres::Error> {
    let url = format!(
        "host={} port={} user=test dbname={DATABASE} application_name={application} \
         connect_timeout=5",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&url, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

fn start(folder: &Path, binary: &str, name: &str) -> io::Result<TestProcess> {
    let settings = folder.join(format!("{name}.jsonc"));
    let settings = settings.to_string_lossy().into_owned();
    TestProcess::spawn(binary, name, folder, &["--config", &settings])
}

fn read_settings(folder: &Path, name: &str) -> io::Result<Value> {
    let text = fs::read_to_string(folder.join(format!("{name}.jsonc")))?;
    serde_json::from_str(&text).map_err(io::Error::other)
}

fn start_with(
    folder: &Path,
    binary: &str,
    name: &str,
    settings: &Value,
) -> io::Result<TestProcess> {
    fs::write(folder.join(format!("{name}.jsonc")), settings.to_string())?;
    start(folder, binary, name)
}

fn spawn_controls(folder: &Path, plan: &ClusterPlan) -> io::Result<Vec<TestControl>> {
    let mut hosts = Vec::new();
    for number in 1..=plan.controls {
        hosts.push((format!("control-{number}"), free_address()?, free_address()?));
    }
    let mut replicas = Vec::new();
    for (host, address, _) in &hosts {
        replicas.push(json!({ "host": host, "address": address.to_string() }));
    }
    let mut controls = Vec::new();
    for (host, address, http) in hosts {
        let settings = json!({
            "host": host,
            "region": "red-river",
            "zone": "selkirk-yard",
            "listen": address.to_string(),
            "http": http.to_string(),
            "data": folder.join(format!("{host}-data")).to_string_lossy(),
            "replicas": replicas,
            "snapshot_entries": plan.snapshot_entries,
            "log": "info",
        });
        let process = start_with(folder, "banyansill-control", &host, &settings)?;
        controls.push(TestControl { host, process, address, http });
    }
    Ok(controls)
}

async fn spawn_targets(
    folder: &Path,
    plan: &ClusterPlan,
    controls: &[TestControl],
) -> io::Result<Vec<TestTarget>> {
    let mut targets: Vec<TestTarget> = Vec::new();
    let mut first_replication = None;
    for number in 1..=3 {
        let name = format!("server-{number}");
        let (address, replication) = (free_address()?, free_address()?);
        let proxy = FaultProxy::bind(address).await?;
        let announcements = FaultProxy::bind(controls[0].http).await?;
        let mut http = vec![announcements.address().to_string()];
        for control in &controls[1..] {
            http.push(control.http.to_string());
        }
        let mut settings = json!({
            "database": DATABASE,
            "server": name,
            "listen": address.to_string(),
            "replication_listen": replication.to_string(),
            "announce_address": proxy.address().to_string(),
            "region": "red-river",
            "zone": "selkirk-yard",
            "role": "primary",
            "slots": plan.slots,
            "connections": plan.connections,
            "leave_ms": plan.leave_ms,
            "lag_ms": plan.lag_ms,
            "statement_cost_us": plan.statement_cost_us,
            "control": http,
            // The proxy before control stands for the whole way of a target's announcements.
            "broker_announcements": false,
            "log": "info",
        });
        if let Some(first) = &first_replication {
            settings["role"] = json!("replica");
            settings["follow"] = json!(first);
        } else {
            first_replication = Some(replication.to_string());
        }
        let process = start_with(folder, "banyansill-standin", &name, &settings)?;
        targets.push(TestTarget { name, process, proxy, announcements, address });
    }
    Ok(targets)
}

async fn spawn_entries(
    folder: &Path,
    plan: &ClusterPlan,
    controls: &[TestControl],
) -> io::Result<Vec<TestEntry>> {
    let mut control = Vec::new();
    for replica in controls {
        control.push(replica.address.to_string());
    }
    let mut entries = Vec::new();
    for number in 1..=plan.entries {
        let host = format!("entry-{number}");
        let (address, peer, admin) = (free_address()?, free_address()?, free_address()?);
        let peers = FaultProxy::bind(peer).await?;
        let settings = json!({
            "host": host,
            "region": "red-river",
            "zone": "selkirk-yard",
            "callers": {
                "listen": address.to_string(),
                "workers": 2,
                "transaction_idle_ms": plan.transaction_idle_ms,
            },
            "peer_listen": peer.to_string(),
            "peer_address": peers.address().to_string(),
            "admin_listen": admin.to_string(),
            "control": control,
            "target_user": "test",
            "drain_ms": 10_000,
            "log_levels": "info",
        });
        let process = start_with(folder, "banyansill-entry", &host, &settings)?;
        entries.push(TestEntry { host, process, peers, address, admin });
    }
    Ok(entries)
}

/// Returns the port of the address on which a server could not listen, by its log.
fn refused_port(log: &str) -> Option<u16> {
    let (_, rest) = log.rsplit_once("cannot listen on ")?;
    let (address, _) = rest.split_once(": ")?;
    address.parse::<SocketAddr>().ok().map(|address| address.port())
}
