//! Start and stop of an entry with its caller server, brokers, membership and administration listener.

use {
    crate::{
        admin::{AdminHandle, AdminServer, AdminSources},
        announcements::AnnouncementRegistry,
        broker::{self, BrokerHandle, BrokerHub, BrokerSettings},
        lease::NodeLease,
        membership::{MembershipHandle, MembershipLinks, MembershipSettings},
        session::{CallerHandle, CallerServer},
        settings::EntrySettings,
    },
    banyansill_core::{event::EventNumber, names::SharedName, route::RouteTable},
    banyansill_runtime::{
        clock::{MonotonicClock, wall_millis},
        events::EventSink,
        metrics::{self, MetricsError},
        tokens::{AccessPolicy, TokenError},
    },
    banyansill_wire::v1,
    miette::Diagnostic,
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
    tokio::{
        net::TcpListener,
        sync::watch,
        task::JoinHandle,
        time::{Instant, sleep},
    },
    tonic::transport::{Server, server::TcpIncoming},
};

/// Interval between HTTP/2 pings to other entries.
const PEER_KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Timeout for the answer to a ping, after which the connection of another entry is closed.
const PEER_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the lease and the number of open grants are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for grants that still run when the caller server closes.
///
/// A cancel takes up to one second, and the cancelled statement up to another second to end.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why an entry cannot be started.
#[derive(Debug, Error, Diagnostic)]
pub enum EntryError {
    /// A listener cannot be opened.
    #[error("listener {address}: {source}")]
    #[diagnostic(code(banyansill::entry::listen))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Metrics cannot be sent.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Metrics(#[from] MetricsError),
    /// The token file cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tokens(#[from] TokenError),
}

/// Running entry.
#[derive(Debug)]
#[must_use]
pub struct EntryHandle {
    settings: EntrySettings,
    events: EventSink,
    lease: NodeLease,
    routes: watch::Receiver<Arc<RouteTable>>,
    callers: CallerHandle,
    brokers: BrokerHandle,
    membership: MembershipHandle,
    admin: AdminHandle,
    peers: JoinHandle<()>,
}

/// Starts an entry on the current tokio runtime.
///
/// # Errors
///
/// Returns an error if a listener cannot be opened or the token file is not valid.
pub async fn spawn(settings: EntrySettings) -> Result<EntryHandle, EntryError> {
    let clock = MonotonicClock::start();
    let lease = NodeLease::new(clock);
    let events = EventSink::new(settings.host.clone());
    let access = AccessPolicy::load(settings.tokens.as_deref())?;
    let (publisher, routes) = watch::channel(Arc::new(RouteTable::default()));
    let brokers = BrokerHub::spawn(
        BrokerSettings::new(settings.host.clone(), &settings.target_user),
        clock,
        lease.clone(),
        routes.clone(),
        events.clone(),
        metrics::open(settings.statsd)?,
    );
    let peer_listen = settings.peer_listen;
    let listener = TcpListener::bind(peer_listen).await.map_err(listen_error(peer_listen))?;
    let peer_address = listener.local_addr().map_err(listen_error(peer_listen))?;
    let peers = tokio::spawn(serve_peers(listener, brokers.clone()));
    let caller_listen = settings.callers.listen;
    let callers = CallerServer::bind(
        settings.callers.clone(),
        brokers.clone(),
        routes.clone(),
        lease.clone(),
        events.clone(),
        metrics::open(settings.statsd)?,
    )
    .await
    .map_err(listen_error(caller_listen))?;
    let announcements =
        AnnouncementRegistry::new(settings.host.clone(), clock, lease.clone(), routes.clone());
    let sources = AdminSources {
        host: settings.host.clone(),
        announcements: announcements.clone(),
        lease: lease.clone(),
        routes: routes.clone(),
        events: events.clone(),
        registry: callers.registry().clone(),
        counters: callers.counters().clone(),
        access,
    };
    let admin_listen = settings.admin_listen;
    let admin =
        AdminServer::bind(admin_listen, sources).await.map_err(listen_error(admin_listen))?;
    let announce_address = announce_address(admin.address(), peer_address);
    if let Some(address) = announce_address {
        announcements.set_address(address);
    }
    let links = MembershipLinks {
        clock,
        lease: lease.clone(),
        routes: publisher,
        reports: brokers.reports(),
        announcements,
        events: events.clone(),
    };
    let peer_address = settings.peer_address.unwrap_or(peer_address);
    let info = entry_info(&settings, peer_address, callers.address(), announce_address);
    let membership = MembershipHandle::spawn(membership_settings(&settings, info), links);
    events.record(EventNumber::ProcessReady, &[("callers", callers.address().to_string())]);
    Ok(EntryHandle { settings, events, lease, routes, callers, brokers, membership, admin, peers })
}

fn listen_error(address: SocketAddr) -> impl FnOnce(io::Error) -> EntryError {
    move |source| EntryError::Listen { address, source }
}

/// Returns the address at which targets reach the administration listener, or `None` if only this host
/// can reach it.
fn announce_address(admin: SocketAddr, peer: SocketAddr) -> Option<SocketAddr> {
    if admin.ip().is_unspecified() {
        return Some(SocketAddr::new(peer.ip(), admin.port()));
    }
    (!admin.ip().is_loopback() || peer.ip().is_loopback()).then_some(admin)
}

fn entry_info(
    settings: &EntrySettings,
    peer_address: SocketAddr,
    caller_address: SocketAddr,
    announce_address: Option<SocketAddr>,
) -> v1::EntryInfo {
    v1::EntryInfo {
        host: settings.host.to_string(),
        address: peer_address.to_string(),
        caller_address: caller_address.to_string(),
        announce_address: announce_address.map(|it| it.to_string()).unwrap_or_default(),
        region: settings.region.to_string(),
        zone: settings.zone.to_string(),
        incarnation: wall_millis(),
        draining: false,
    }
}

fn membership_settings(settings: &EntrySettings, entry: v1::EntryInfo) -> MembershipSettings {
    let mut control = Vec::new();
    for address in &settings.control {
        control.push(SharedName::from(address.to_string()));
    }
    MembershipSettings { entry, control }
}

async fn serve_peers(listener: TcpListener, brokers: BrokerHandle) {
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = Server::builder()
        .http2_keepalive_interval(Some(PEER_KEEP_ALIVE))
        .http2_keepalive_timeout(Some(PEER_KEEP_ALIVE_TIMEOUT))
        .add_service(broker::service(&brokers));
    if let Err(error) = server.serve_with_incoming(incoming).await {
        log::error!("peer listener: {error}");
    }
}

impl EntryHandle {
    /// Returns the address that callers connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address of the administration listener.
    #[must_use]
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Waits until the entry accepts requests for all of `databases`.
    pub async fn wait_ready(&self, databases: &[&str]) {
        let mut routes = self.routes.clone();
        let _ = routes
            .wait_for(|table| {
                table.sheet.is_some()
                    && databases.iter().all(|name| {
                        let route = table.databases.get(*name);
                        route.is_some_and(|route| route.open_primary().is_some())
                    })
            })
            .await;
        while !self.lease.is_valid() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Stops gracefully: callers and grants of other entries may finish within the drain timeout of the
    /// settings.
    ///
    /// Returns the number of callers that were disconnected at the timeout.
    pub async fn stop(self) -> usize {
        self.events.record(EventNumber::ProcessStopping, &[]);
        let end = Instant::now() + self.settings.drain_timeout;
        self.membership.set_draining(true);
        let disconnected = self.callers.drain_callers(self.settings.drain_timeout).await;
        // Grants run on the threads of the sessions, so the caller server closes after them.
        self.wait_for_grants(end).await;
        self.callers.close().await;
        self.wait_for_grants(Instant::now() + CANCEL_TIMEOUT).await;
        self.peers.abort();
        self.admin.stop().await;
        self.events.record(EventNumber::ProcessStopped, &[("cut", disconnected.to_string())]);
        disconnected
    }

    async fn wait_for_grants(&self, end: Instant) {
        while self.brokers.open_grants() > 0 && Instant::now() < end {
            sleep(POLL_INTERVAL).await;
        }
    }
}
