//! Settings, counters and state that the sessions of an entry share.

use {
    super::{auth::PasswordTable, registry::CallerRegistry},
    crate::lease::NodeLease,
    banyansill_core::{
        names::SharedName, retry::RetryBudget, route::RouteTable, statement::ProfileCache,
    },
    banyansill_runtime::tls::{TlsFiles, TlsListener},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        path::PathBuf,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// Number of connections above the limit that still receive an error response before they are closed.
pub(super) const REFUSAL_MARGIN: usize = 64;

/// Maximum number of statement classifications that each worker caches per generation.
const PROFILE_CACHE_SIZE: usize = 1_024;

/// Authentication method for callers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum CallerAuthentication {
    /// Every caller is accepted without a password.
    #[default]
    Trust,
    /// SCRAM-SHA-256 with a file of one `name:verifier` per line, in PostgreSQL's format for stored passwords.
    Scram(PathBuf),
}

/// Settings of the callers' listener.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Address of the listener; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Region of this entry.
    pub region: SharedName,
    /// Availability zone of this entry.
    pub zone: SharedName,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Maximum number of callers.
    pub max_callers: usize,
    /// Maximum size of a message, in bytes.
    pub message_limit: usize,
    /// Maximum size of a message before authentication, in bytes.
    pub startup_limit: usize,
    /// Time within which a caller must be authenticated.
    pub startup_timeout: Duration,
    /// Time after which a caller that stops in the middle of a message or does not read is disconnected.
    pub stall_timeout: Duration,
    /// Time after which a caller that is idle inside a transaction is disconnected.
    pub transaction_timeout: Duration,
    /// Authentication method for callers.
    pub authentication: CallerAuthentication,
    /// Certificate and key for callers that request TLS; `None` disables TLS.
    pub tls: Option<TlsFiles>,
    /// Whether callers without TLS are rejected.
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

/// Counters of all sessions of an entry since it started.
#[derive(Debug, Default)]
pub struct SessionCounters {
    /// Requests that were routed to a target.
    pub requests: AtomicU64,
    /// Reads that were served by a replica.
    pub replica_reads: AtomicU64,
    /// Reads that were served by a primary.
    pub primary_reads: AtomicU64,
    /// Retries of requests after a failure.
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

/// State that all sessions of an entry share.
#[derive(Debug)]
pub(super) struct EntryShared<R> {
    pub(super) settings: CallerSettings,
    pub(super) router: R,
    pub(super) routes: watch::Receiver<Arc<RouteTable>>,
    pub(super) lease: NodeLease,
    pub(super) registry: Arc<CallerRegistry>,
    pub(super) counters: Arc<SessionCounters>,
    pub(super) passwords: Option<PasswordTable>,
    pub(super) tls: Option<TlsListener>,
}

/// State that the sessions of one worker thread share.
#[derive(Debug)]
pub(super) struct WorkerState {
    pub(super) cache: RefCell<ProfileCache>,
    pub(super) retries: Cell<RetryBudget>,
}

impl WorkerState {
    pub(super) fn new() -> Self {
        Self {
            cache: RefCell::new(ProfileCache::new(PROFILE_CACHE_SIZE)),
            retries: Cell::new(RetryBudget::default()),
        }
    }

    pub(super) fn record_attempt(&self) {
        let mut budget = self.retries.get();
        budget.record_attempt();
        self.retries.set(budget);
    }

    pub(super) fn try_retry(&self) -> bool {
        let mut budget = self.retries.get();
        let allowed = budget.try_retry();
        self.retries.set(budget);
        allowed
    }
}
