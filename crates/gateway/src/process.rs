//! Startup and graceful stop of a gateway process.

use {
    crate::{
        follow::{DirectoryFollower, FollowSources},
        relay::RelayService,
        session::{CallerListener, CallerSources, StopStage},
        settings::{GatewaySettings, ZoneMap},
        team_access::TeamAccess,
    },
    banyansill_core::{
        directory::ProcessHost, event::EventNumber, gateway::RoutingTable, names::SharedName,
        time::Micros,
    },
    banyansill_runtime::{
        clock::MonotonicClock,
        metric_registry::MetricRegistry,
        status::{ReadyState, StatusListener},
        stop::StopFlag,
    },
    banyansill_target::StatementProtocol,
    miette::Diagnostic,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        task::JoinHandle,
        time::{Instant, sleep, sleep_until},
    },
    tonic::transport::{Server, server::TcpIncoming},
};

/// Prefix of the names of all metrics.
const METRIC_PREFIX: &str = "banyansill.gateway";

/// Clock value at startup. It is above zero because other gateways report marks that are older than this process;
/// marks are kept for ten seconds.
const CLOCK_START: Micros = Micros::from_secs(3_600);

/// Delay between the end of readiness and the close of idle sessions. Load balancers probe every second and remove
/// an entry after two failures, so callers of sessions that end earlier would reconnect to this entry.
const IDLE_SESSION_CLOSE_DELAY: Duration = Duration::from_millis(2_200);

/// Divisor of the grace period that yields the time for open transactions to end: half of it.
const TRANSACTION_GRACE_DIVISOR: u32 = 2;

/// Part of the grace period, in tenths, after which the remaining sessions are cut off.
const FORCED_STOP_TENTHS: u32 = 9;

/// Interval at which a stop checks for open sessions.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of HTTP/2 keep-alive pings to other entries that are connected to this one.
const PEER_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which an unanswered ping closes the connection of another entry.
const PEER_KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why a gateway could not be started.
#[derive(Debug, Error, Diagnostic)]
pub enum GatewayError {
    /// A listener cannot be opened.
    #[error("listener {address}: {source}")]
    #[diagnostic(code(banyansill::gateway::listen))]
    Listen {
        /// Address that the listener was to use.
        address: SocketAddr,
        /// Error reported by the operating system.
        source: io::Error,
    },
}

/// Handle of a running gateway.
#[derive(Debug)]
#[must_use]
pub struct GatewayHandle {
    settings: GatewaySettings,
    callers: CallerListener,
    status: StatusListener,
    ready: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
    stage: watch::Sender<StopStage>,
    seeds: watch::Sender<Vec<SharedName>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts a gateway whose callers and targets use `protocol`.
///
/// It reports itself as not ready once `stop` is set.
///
/// # Errors
///
/// Returns an error if a listener cannot be opened.
pub async fn spawn<P>(
    settings: GatewaySettings,
    protocol: P,
    stop: StopFlag,
) -> Result<GatewayHandle, GatewayError>
where
    P: StatementProtocol,
{
    let clock = MonotonicClock::start_at(CLOCK_START);
    let board = MetricRegistry::default();
    let own = ProcessHost {
        host: settings.host.clone(),
        address: settings.peers.to_string().into(),
        zone: settings.zone.clone(),
    };
    let zones = ZoneMap::new(&settings);
    let (table, routes) = watch::channel(Arc::new(RoutingTable::default()));
    let (stage, stage_receiver) = watch::channel(StopStage::default());
    let (reachability_changes, changes_receiver) = mpsc::unbounded_channel();
    let (seeds, known_seeds) = watch::channel(seed_addresses(&settings));
    let (relay, inbox) = RelayService::new();
    let peers = settings.peers;
    let listener = TcpListener::bind(peers).await.map_err(listen_error(peers))?;
    let teams = TeamAccess::new(settings.withdrawal, board.client(METRIC_PREFIX));
    let sources = CallerSources {
        settings: settings.clone(),
        own: own.clone(),
        protocol,
        clock,
        table: routes.clone(),
        stage: stage_receiver,
        reachability_changes,
        inbox,
        teams: teams.clone(),
        metrics: board.client(METRIC_PREFIX),
    };
    let callers = CallerListener::bind(sources).await.map_err(listen_error(settings.callers))?;
    let ready = Arc::new(AtomicBool::new(false));
    let mut addresses = vec![settings.status];
    addresses.extend(settings.metrics);
    let state = ReadyState { ready: Arc::clone(&ready), stop: Some(stop) };
    let status = StatusListener::bind(&addresses, state, board)
        .await
        .map_err(listen_error(settings.status))?;
    let stopping = Arc::new(AtomicBool::new(false));
    let follower = DirectoryFollower::new(FollowSources {
        own,
        zones,
        seeds: known_seeds,
        clock,
        table,
        teams,
        reachability_changes: changes_receiver,
    });
    let tasks = vec![
        tokio::spawn(follower.run()),
        tokio::spawn(serve_peers(listener, relay)),
        tokio::spawn(watch_readiness(routes, Arc::clone(&ready), Arc::clone(&stopping))),
    ];
    log::info!(
        target: "event",
        event:display = EventNumber::ProcessReady,
        callers:display = settings.callers,
        version = env!("CARGO_PKG_VERSION");
        ""
    );
    Ok(GatewayHandle { settings, callers, status, ready, stopping, stage, seeds, tasks })
}

fn listen_error(address: SocketAddr) -> impl FnOnce(io::Error) -> GatewayError {
    move |source| GatewayError::Listen { address, source }
}

fn seed_addresses(settings: &GatewaySettings) -> Vec<SharedName> {
    let mut addresses = Vec::new();
    for seed in &settings.control {
        addresses.push(SocketAddr::new(seed.ip(), settings.control_port).to_string().into());
    }
    addresses
}

async fn serve_peers(
    listener: TcpListener,
    relay: banyansill_wire::directory_v1::relay_server::RelayServer<RelayService>,
) {
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = Server::builder()
        .http2_keepalive_interval(Some(PEER_KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(PEER_KEEPALIVE_TIMEOUT))
        .add_service(relay);
    if let Err(error) = server.serve_with_incoming(incoming).await {
        log::error!("listener for other entries: {error}");
    }
}

/// Sets `ready` once routes are known, unless a stop has begun.
async fn watch_readiness(
    mut routes: watch::Receiver<Arc<RoutingTable>>,
    ready: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
) {
    let known = routes.wait_for(|table| table.book_version > 0).await.is_ok();
    if known && !stopping.load(Ordering::Acquire) {
        ready.store(true, Ordering::Release);
    }
}

impl GatewayHandle {
    /// Applies the settings that can change while the process runs: the addresses of the control replicas.
    pub fn reload(&self, settings: &GatewaySettings) {
        let changed = self.seeds.send_if_modified(|seeds| {
            let addresses = seed_addresses(settings);
            let differs = *seeds != addresses;
            *seeds = addresses;
            differs
        });
        log::info!(
            target: "event",
            event:display = EventNumber::SettingsReloaded,
            outcome = if changed { "changed" } else { "unchanged" };
            ""
        );
    }

    /// Stops gracefully within the grace period of the settings.
    pub async fn stop(self) {
        let begun = Instant::now();
        let grace = self.settings.grace;
        log::info!(
            target: "event",
            event:display = EventNumber::ProcessStopping,
            sessions = self.callers.open_sessions();
            ""
        );
        self.stopping.store(true, Ordering::Release);
        self.ready.store(false, Ordering::Release);
        sleep_until(begun + IDLE_SESSION_CLOSE_DELAY.min(grace / TRANSACTION_GRACE_DIVISOR)).await;
        self.stage.send_replace(StopStage::Closing);
        self.wait_closed(begun + grace / TRANSACTION_GRACE_DIVISOR).await;
        self.stage.send_replace(StopStage::Ending);
        self.wait_closed(begun + grace * FORCED_STOP_TENTHS / 10).await;
        let left = self.callers.open_sessions();
        self.callers.close().await;
        self.status.close().await;
        for task in &self.tasks {
            task.abort();
        }
        log::info!(
            target: "event",
            event:display = EventNumber::ProcessStopped,
            cut_off = left;
            ""
        );
    }

    async fn wait_closed(&self, end: Instant) {
        while self.callers.open_sessions() > 0 && Instant::now() < end {
            sleep(STOP_POLL_INTERVAL).await;
        }
    }
}
