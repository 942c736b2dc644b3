//! One control, one entry and a stand-in group of three servers in one process.

use {
    banyansill_control::{ControlHandle, settings::ControlSettings},
    banyansill_core::names::SharedName,
    banyansill_entry::{EntryHandle, session::CallerSettings, settings::EntrySettings},
    banyansill_standin::{
        ServerHandle,
        settings::{StandinSettings, StartRole},
    },
    banyansill_wire::v1::{ApplySheetRequest, control_client::ControlClient},
    miette::{IntoDiagnostic, Result, miette},
    std::{
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Database that the stand-in group serves.
pub const DATABASE: &str = "demo";

/// Sheet that is applied at the start: reads of up to one second from replicas, writes on the primary.
pub const SHEET: &str = "\
database,application,kind,access,targets,max_age_ms,ack,repeatable,priority,deadline_ms,max_concurrent
*,*,read,read,any,1000,primary,yes,4,30000,
*,*,write,write,primary,,primary,no,4,30000,
";

/// Time within which the parts must be ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Interval at which the first sheet is offered until control has a leader.
const SHEET_RETRY: Duration = Duration::from_millis(100);

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings of the whole system in one process.
#[derive(Clone, Debug)]
pub struct SoloSettings {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Folder of the control state.
    pub data: PathBuf,
    /// Replication lag of the two replicas, in milliseconds.
    pub lag_ms: u64,
}

/// Running system.
#[derive(Debug)]
#[must_use]
pub struct SoloHandle {
    control: ControlHandle,
    entry: EntryHandle,
    servers: Vec<ServerHandle>,
}

/// Starts everything on loopback and waits until callers are served.
///
/// # Errors
///
/// Returns an error if a part cannot be started or is not ready in time.
pub async fn spawn(settings: SoloSettings) -> Result<SoloHandle> {
    let control = banyansill_control::spawn(control_settings(&settings)).await?;
    let servers = spawn_group(&settings, control.http_address()).await?;
    let entry = banyansill_entry::spawn(entry_settings(&settings, control.address())).await?;
    let ready = async {
        apply_sheet(control.address()).await?;
        entry.wait_ready(&[DATABASE]).await;
        Ok::<_, miette::Report>(())
    };
    timeout(START_LIMIT, ready).await.map_err(|_| miette!("not ready in time"))??;
    Ok(SoloHandle { control, entry, servers })
}

impl SoloHandle {
    /// Returns the connection string for callers.
    #[must_use]
    pub fn url(&self) -> String {
        let address = self.entry.address();
        format!("postgresql://demo@{}:{}/{DATABASE}", address.ip(), address.port())
    }

    /// Returns the stand-in servers, the first primary first.
    pub fn servers(&self) -> &[ServerHandle] {
        &self.servers
    }

    /// Stops the entry first, then the control and the servers.
    pub async fn stop(self) {
        self.entry.stop().await;
        self.control.stop().await;
        drop(self.servers);
    }
}

fn control_settings(settings: &SoloSettings) -> ControlSettings {
    ControlSettings {
        host: SharedName::from("control-1"),
        region: SharedName::from("local"),
        zone: SharedName::from("local"),
        listen: ANY_PORT,
        address: None,
        http: ANY_PORT,
        data: Some(settings.data.clone()),
        replicas: Vec::new(),
        join: false,
        snapshot_entries: banyansill_control::replica::SNAPSHOT_ENTRIES,
        tokens: None,
        log: "warn".to_owned(),
        log_folder: None,
        statsd: None,
    }
}

fn entry_settings(settings: &SoloSettings, control: SocketAddr) -> EntrySettings {
    let (region, zone) = (SharedName::from("local"), SharedName::from("local"));
    EntrySettings {
        host: SharedName::from("entry-1"),
        region: region.clone(),
        zone: zone.clone(),
        callers: CallerSettings::new(settings.listen, region, zone),
        peer_listen: ANY_PORT,
        peer_address: None,
        admin_listen: ANY_PORT,
        tokens: None,
        control: vec![control],
        target_user: "banyansill".to_owned(),
        drain_timeout: Duration::from_secs(5),
        statsd: None,
        log_levels: "warn".to_owned(),
        log_directory: None,
    }
}

async fn spawn_group(settings: &SoloSettings, control: SocketAddr) -> Result<Vec<ServerHandle>> {
    let mut servers = Vec::new();
    let mut role = StartRole::Primary;
    for server in ["server-1", "server-2", "server-3"] {
        let mut standin = StandinSettings::loopback(DATABASE, server, role);
        standin.lag_ms = settings.lag_ms;
        standin.control = vec![control];
        let handle = banyansill_standin::spawn(standin).await.into_diagnostic()?;
        if servers.is_empty() {
            role = StartRole::Replica(Some(handle.replication_address()));
        }
        servers.push(handle);
    }
    Ok(servers)
}

/// Applies the first sheet; with a kept data folder it is already in force.
async fn apply_sheet(control: SocketAddr) -> Result<()> {
    let request = ApplySheetRequest {
        number: 1,
        content: SHEET.as_bytes().to_vec().into(),
        request_id: "solo".to_owned(),
        operator: "solo".to_owned(),
    };
    loop {
        let url = format!("http://{control}");
        let Ok(mut client) = ControlClient::connect(url).await else {
            sleep(SHEET_RETRY).await;
            continue;
        };
        match client.apply_sheet(request.clone()).await {
            Ok(reply) if reply.get_ref().accepted => return Ok(()),
            Ok(reply) => return Err(miette!("sheet refused: {}", reply.get_ref().conflict)),
            Err(_) => sleep(SHEET_RETRY).await,
        }
    }
}
