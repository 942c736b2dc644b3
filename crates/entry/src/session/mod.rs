//! Callers: their connections, their sessions and the way of each request to a target.

pub mod answer;
mod auth;
mod connection;
mod exchange;
mod filter;
pub mod frame;
mod local;
mod prepared;
mod registry;
mod replay;
mod request;
mod secure;
mod startup;
mod stream;

pub use {
    prepared::{CallerBatch, StatementStore},
    registry::{CallerRegistry, CancelKey},
    startup::{StartupPacket, parse_startup},
};

use {
    crate::{lease::NodeLease, link::GrantRouter},
    banyansill_core::{
        names::SharedName, retry::RetryBudget, route::RouteTable, statement::ProfileCache,
    },
    banyansill_runtime::{
        events::EventSink,
        server::ServerHandle,
        tls::{self, TlsFiles, TlsListener},
    },
    cadence::{Counted, Gauged, StatsdClient},
    ntex::{fn_service, io::Io},
    socket2::{Domain, Protocol, Socket, TcpKeepalive, Type},
    std::{
        cell::{Cell, RefCell},
        io,
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// Connections over the limit that are still told why they are refused.
const REFUSAL_MARGIN: usize = 64;

/// Idle time before TCP keep-alive probes; a caller that vanished is noticed within two minutes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(60);

/// Interval between TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(15);

/// Interval between two reports of the counters to statsd.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Classifications that each worker caches, per generation.
const PROFILE_CACHE_SIZE: usize = 1_024;

/// How callers prove who they are.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum CallerAuthentication {
    /// Every caller is let in.
    #[default]
    Trust,
    /// SCRAM-SHA-256 with a file of one `name:verifier` per line, as PostgreSQL keeps passwords.
    Scram(PathBuf),
}

/// Settings of the callers' listener.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Address of the listener; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Region of this entry.
    pub region: SharedName,
    /// Availability zone of this entry.
    pub zone: SharedName,
    /// Threads that serve callers.
    pub workers: usize,
    /// Greatest number of callers.
    pub max_callers: usize,
    /// Greatest size of a message.
    pub message_limit: usize,
    /// Greatest size of a message before authentication.
    pub startup_limit: usize,
    /// Time within which a caller must be authenticated.
    pub startup_timeout: Duration,
    /// Time after which a caller is closed that stops in the middle of a message or does not read.
    pub stall_timeout: Duration,
    /// Time after which a caller is closed that is idle inside a transaction.
    pub transaction_timeout: Duration,
    /// How callers prove who they are.
    pub authentication: CallerAuthentication,
    /// Certificate and key for callers that ask for TLS.
    pub tls: Option<TlsFiles>,
    /// Whether callers without TLS are refused.
    pub tls_required: bool,
}

impl CallerSettings {
    /// Returns the default settings for a listener at `listen`.
    #[must_use]
    pub const fn new(listen: SocketAddr, region: SharedName, zone: SharedName) -> Self {
        Self {
            listen,
            region,
            zone,
            workers: 4,
            max_callers: 10_000,
            message_limit: 16 << 20,
            startup_limit: 10_000,
            startup_timeout: Duration::from_secs(10),
            stall_timeout: Duration::from_secs(30),
            transaction_timeout: Duration::from_secs(60),
            authentication: CallerAuthentication::Trust,
            tls: None,
            tls_required: false,
        }
    }
}

/// Numbers of what the sessions of an entry did since it started.
#[derive(Debug, Default)]
pub struct SessionCounters {
    /// Requests that were routed to a target.
    pub requests: AtomicU64,
    /// Reads that a replica answered.
    pub replica_reads: AtomicU64,
    /// Reads that a primary answered.
    pub primary_reads: AtomicU64,
    /// Requests that were sent to another target after a failure.
    pub retries: AtomicU64,
    /// Failures that the proxy itself reported to callers.
    pub failures: AtomicU64,
}

impl SessionCounters {
    /// Returns the names and values of all counters.
    #[must_use]
    pub fn values(&self) -> [(&'static str, u64); 5] {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("requests", load(&self.requests)),
            ("replica_reads", load(&self.replica_reads)),
            ("primary_reads", load(&self.primary_reads)),
            ("retries", load(&self.retries)),
            ("failures", load(&self.failures)),
        ]
    }
}

/// What all sessions of an entry share.
#[derive(Debug)]
struct EntryShared<R> {
    settings: CallerSettings,
    router: R,
    routes: watch::Receiver<Arc<RouteTable>>,
    lease: NodeLease,
    registry: Arc<CallerRegistry>,
    counters: Arc<SessionCounters>,
    passwords: Option<auth::PasswordTable>,
    tls: Option<TlsListener>,
}

/// What the sessions of one worker thread share.
#[derive(Debug)]
struct WorkerState {
    cache: RefCell<ProfileCache>,
    retries: Cell<RetryBudget>,
}

impl WorkerState {
    fn new() -> Self {
        Self {
            cache: RefCell::new(ProfileCache::new(PROFILE_CACHE_SIZE)),
            retries: Cell::new(RetryBudget::default()),
        }
    }

    fn earn_retry(&self) {
        let mut budget = self.retries.get();
        budget.record_attempt();
        self.retries.set(budget);
    }

    fn take_retry(&self) -> bool {
        let mut budget = self.retries.get();
        let allowed = budget.try_retry();
        self.retries.set(budget);
        allowed
    }
}

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
        let reports = tokio::spawn(report(registry.clone(), counters.clone(), metrics));
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

    /// Stops gracefully: idle callers are told and closed, the others finish within the bound.
    ///
    /// Returns the number of callers that were still open at the bound and were cut off.
    pub async fn drain(&self, bound: Duration) -> usize {
        let open = self.drain_callers(bound).await;
        self.close().await;
        open
    }

    /// Tells callers to end and waits for that; the threads of the sessions go on.
    ///
    /// Returns the number of callers that were still open at the bound.
    pub async fn drain_callers(&self, bound: Duration) -> usize {
        let open = self.registry.drain(bound).await;
        if open > 0 {
            log::warn!("{open} callers were still open when the stop's bound passed");
        }
        open
    }

    /// Ends the threads of the sessions and cuts off the callers that are still open.
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

async fn report(
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
