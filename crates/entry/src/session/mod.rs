//! Caller connections, their sessions and the routing of each request to a target.

mod auth;
mod caller_io;
mod caller_stream;
mod connection;
mod exchange;
mod filter;
pub mod frame;
mod held_grant;
mod local;
mod prepared;
mod registry;
mod replay;
mod request;
pub mod response;
mod shared;
mod startup;
mod state;
mod stream;

pub use {
    prepared::{CallerBatch, StatementStore},
    registry::{CallerRegistry, CancelKey},
    shared::{CallerAuthentication, CallerSettings, SessionCounters},
    startup::{StartupPacket, parse_startup},
};

use {
    crate::{lease::NodeLease, link::GrantRouter},
    banyansill_core::route::RouteTable,
    banyansill_runtime::{
        events::EventSink,
        server::ServerHandle,
        tls::{self, TlsListener},
    },
    cadence::{Counted, Gauged, StatsdClient},
    ntex::{fn_service, io::Io},
    shared::{EntryShared, WorkerState},
    socket2::{Domain, Protocol, Socket, TcpKeepalive, Type},
    std::{
        io,
        net::{SocketAddr, TcpListener},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::sync::watch,
};

/// Idle time before TCP keep-alive probes; a caller that vanished is detected within two minutes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(60);

/// Interval between TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(15);

/// Interval at which counters are sent to statsd.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Listener for callers.
#[derive(Debug)]
pub struct CallerServer;

impl CallerServer {
    /// Binds the listener and serves callers until the handle is drained.
    ///
    /// # Errors
    ///
    /// Returns an error if the password file or the certificate is not valid, the address cannot be bound or the server
    /// thread cannot be started.
    pub async fn bind<R>(
        settings: CallerSettings,
        router: R,
        routes: watch::Receiver<Arc<RouteTable>>,
        lease: NodeLease,
        events: EventSink,
        metrics: StatsdClient,
    ) -> io::Result<CallerHandle>
    where
        R: GrantRouter,
    {
        let passwords = match &settings.authentication {
            CallerAuthentication::Trust => None,
            CallerAuthentication::Scram(path) => Some(auth::PasswordTable::load(path)?),
        };
        let tls = settings.tls.clone().map(|files| {
            TlsListener::spawn(files, events.clone(), tls::CHECK_INTERVAL).map_err(io::Error::other)
        });
        let tls = tls.transpose()?;
        let listener = listen(settings.listen)?;
        let address = listener.local_addr()?;
        let workers = settings.workers;
        let registry = Arc::new(CallerRegistry::new(settings.max_callers));
        let counters = Arc::new(SessionCounters::default());
        let shared = Arc::new(EntryShared {
            settings,
            router,
            routes,
            lease,
            registry: registry.clone(),
            counters: counters.clone(),
            passwords,
            tls: tls.clone(),
        });
        let server = ServerHandle::spawn("callers", workers, move |builder| {
            builder.listen("callers", listener, async move |_| {
                // Called once on each worker thread.
                let worker = Rc::new(WorkerState::new());
                let shared = shared.clone();
                fn_service(async move |io: Io| {
                    connection::serve(io, shared.clone(), worker.clone()).await;
                    Ok::<_, ()>(())
                })
            })
        })
        .await?;
        let reports = tokio::spawn(report_counters(registry.clone(), counters.clone(), metrics));
        let reporter = reports.abort_handle();
        Ok(CallerHandle { address, server, registry, counters, events, reporter, tls })
    }
}

/// Running listener for callers.
#[derive(Debug)]
#[must_use]
pub struct CallerHandle {
    address: SocketAddr,
    server: ServerHandle,
    registry: Arc<CallerRegistry>,
    counters: Arc<SessionCounters>,
    events: EventSink,
    reporter: tokio::task::AbortHandle,
    tls: Option<TlsListener>,
}

impl CallerHandle {
    /// Returns the address of the listener.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the registry of connected callers.
    #[must_use]
    pub const fn registry(&self) -> &Arc<CallerRegistry> {
        &self.registry
    }

    /// Returns the counters of all sessions.
    #[must_use]
    pub const fn counters(&self) -> &Arc<SessionCounters> {
        &self.counters
    }

    /// Returns the sink of the entry's events.
    #[must_use]
    pub const fn events(&self) -> &EventSink {
        &self.events
    }

    /// Stops gracefully: idle callers receive an error and are disconnected; the others have until the end
    /// of the grace period to finish.
    ///
    /// Returns the number of callers that were still connected at the end of the grace period and were
    /// disconnected.
    pub async fn drain(&self, grace_period: Duration) -> usize {
        let open = self.drain_callers(grace_period).await;
        self.close().await;
        open
    }

    /// Signals all sessions to end and waits until they have; the session threads keep running.
    ///
    /// Returns the number of callers that were still connected at the end of the grace period.
    pub async fn drain_callers(&self, grace_period: Duration) -> usize {
        let open = self.registry.drain(grace_period).await;
        if open > 0 {
            log::warn!("{open} callers were still connected at the end of the grace period");
        }
        open
    }

    /// Stops the session threads and disconnects the callers that are still connected.
    pub async fn close(&self) {
        self.server.stop(false).await;
        self.reporter.abort();
        if let Some(tls) = &self.tls {
            tls.stop();
        }
    }
}

/// Binds a listener whose connections inherit TCP keep-alive.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.bind(&address.into())?;
    socket.listen(1_024)?;
    Ok(socket.into())
}

async fn report_counters(
    registry: Arc<CallerRegistry>,
    counters: Arc<SessionCounters>,
    metrics: StatsdClient,
) {
    let mut sent = counters.values();
    let mut ticks = tokio::time::interval(REPORT_INTERVAL);
    loop {
        ticks.tick().await;
        let _ = metrics.gauge("session.callers", registry.open() as u64);
        let values = counters.values();
        for (index, (name, value)) in values.iter().enumerate() {
            let count = i64::try_from(value - sent[index].1).unwrap_or(i64::MAX);
            let _ = metrics.count(&format!("session.{name}"), count);
        }
        sent = values;
    }
}
