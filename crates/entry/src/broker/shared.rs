//! State of a host that its hub, brokers and grants share.

use {
    super::{
        mark_coalescer::MarkCoalescer, remote::PeerPool, settings::BrokerSettings,
        target::TargetShared,
    },
    crate::{lease::NodeLease, link::GrantRequest},
    banyansill_core::{
        collections::FastMap,
        event::EventNumber,
        names::SharedName,
        route::{DatabaseRoute, RouteTable},
        time::Micros,
    },
    banyansill_runtime::{clock::MonotonicClock, events::EventSink},
    banyansill_wire::v1::TargetReport,
    cadence::{Counted, Gauged, StatsdClient},
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, RwLock,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{runtime::Handle, sync::watch, time::Instant},
};

/// How long the report of a closed broker is kept, so that heartbeats confirm the release.
const CLOSED_REPORT_RETENTION: Duration = Duration::from_secs(10);

pub(super) type TargetKey = (SharedName, SharedName);

/// Latest reports of the brokers of this host, and when closed brokers were closed.
#[derive(Debug, Default)]
pub(super) struct ReportStore {
    reports: BTreeMap<(String, String), TargetReport>,
    closed: BTreeMap<(String, String), Instant>,
}

/// Concurrency limits derived from one version of the route table.
#[derive(Debug, Default)]
pub(super) struct LimitCache {
    version: u64,
    limits: FastMap<(SharedName, SharedName, SharedName), Option<u32>>,
}

/// State that the hub, the brokers and the grants share.
#[derive(Debug)]
pub(super) struct HubShared {
    pub(super) settings: Arc<BrokerSettings>,
    pub(super) clock: MonotonicClock,
    pub(super) lease: NodeLease,
    pub(super) events: EventSink,
    /// Runtime of the brokers, which outlives the threads of the sessions.
    pub(super) runtime: Handle,
    pub(super) routes: watch::Receiver<Arc<RouteTable>>,
    pub(super) peers: PeerPool,
    pub(super) targets: RwLock<FastMap<TargetKey, Arc<TargetShared>>>,
    pub(super) report_store: Mutex<ReportStore>,
    pub(super) limits: Mutex<LimitCache>,
    pub(super) reports: watch::Sender<Vec<TargetReport>>,
    pub(super) grants: AtomicU64,
    pub(super) mark_coalescers: Mutex<FastMap<SharedName, Arc<MarkCoalescer>>>,
    pub(super) metrics: StatsdClient,
}

impl HubShared {
    /// Returns the broker of a target if it runs on this host.
    pub(super) fn local_target(
        &self,
        database: &SharedName,
        server: &SharedName,
    ) -> Option<Arc<TargetShared>> {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        targets.get(&(database.clone(), server.clone())).cloned()
    }

    pub(super) fn local_targets(&self) -> Vec<Arc<TargetShared>> {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        targets.values().cloned().collect()
    }

    pub(super) fn route(&self, database: &str) -> Option<Arc<DatabaseRoute>> {
        self.routes.borrow().databases.get(database).cloned()
    }

    /// Returns how many requests of the application and kind may run concurrently per target.
    pub(super) fn concurrency_limit(&self, request: &GrantRequest) -> Option<u32> {
        let table = self.routes.borrow();
        let sheet = table.sheet.as_ref()?;
        let mut cache = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        if cache.version != table.version {
            cache.version = table.version;
            cache.limits.clear();
        }
        let key = (request.database.clone(), request.application.clone(), request.kind.clone());
        if let Some(limit) = cache.limits.get(&key) {
            return *limit;
        }
        let rule = sheet.find(&request.database, &request.application, &request.kind);
        let limit = rule.and_then(|rule| rule.max_concurrent);
        cache.limits.insert(key, limit);
        limit
    }

    pub(super) fn mark_coalescer(&self, database: &SharedName) -> Arc<MarkCoalescer> {
        let mut mark_coalescers =
            self.mark_coalescers.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(mark_coalescers.entry(database.clone()).or_default())
    }

    fn report_store(&self) -> MutexGuard<'_, ReportStore> {
        self.report_store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes the report of a broker on its target.
    pub(super) fn publish(&self, shared: &TargetShared) {
        let report = shared.report();
        let key = (report.database.clone(), report.server.clone());
        let mut store = self.report_store();
        if report.open_connections > 0 || !shared.retired() {
            store.closed.remove(&key);
        } else {
            store.closed.entry(key.clone()).or_insert_with(Instant::now);
        }
        store.reports.insert(key, report);
        let all = store.reports.values().cloned().collect();
        drop(store);
        self.reports.send_replace(all);
    }

    pub(super) fn remove_expired_reports(&self) {
        let mut store = self.report_store();
        let mut expired = Vec::new();
        for (key, since) in &store.closed {
            if since.elapsed() > CLOSED_REPORT_RETENTION {
                expired.push(key.clone());
            }
        }
        for key in &expired {
            store.closed.remove(key);
            store.reports.remove(key);
        }
    }

    pub(super) fn send_metrics(&self) {
        for shared in self.local_targets() {
            let counters = &shared.counters;
            let pairs = [
                ("broker.granted", counters.granted.swap(0, Ordering::Relaxed)),
                ("broker.refused", counters.refused.swap(0, Ordering::Relaxed)),
                ("broker.lost", counters.lost.swap(0, Ordering::Relaxed)),
                ("broker.waited_us", counters.waited_us.swap(0, Ordering::Relaxed)),
            ];
            for (name, value) in pairs {
                let value = i64::try_from(value).unwrap_or(i64::MAX);
                let metric = self.metrics.count_with_tags(name, value);
                metric
                    .with_tag("database", &shared.database)
                    .with_tag("server", &shared.server)
                    .send();
            }
            let (waiting, running) = shared.load();
            let gauges = [
                ("broker.waiting", waiting as u64),
                ("broker.running", running as u64),
                ("broker.connections", u64::from(shared.pooled.open())),
            ];
            for (name, value) in gauges {
                let metric = self.metrics.gauge_with_tags(name, value);
                metric
                    .with_tag("database", &shared.database)
                    .with_tag("server", &shared.server)
                    .send();
            }
        }
    }

    pub(super) fn record(&self, number: EventNumber, shared: &TargetShared, epoch: u64) {
        let fields = [
            ("database", shared.database.to_string()),
            ("server", shared.server.to_string()),
            ("epoch", epoch.to_string()),
        ];
        self.events.record(number, &fields);
    }
}

/// Counts an open grant of this host until it is dropped.
#[derive(Debug)]
pub(super) struct GrantCount(Arc<HubShared>);

impl GrantCount {
    pub(super) fn new(hub: &Arc<HubShared>) -> Self {
        hub.grants.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(hub))
    }
}

impl Drop for GrantCount {
    fn drop(&mut self) {
        self.0.grants.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Converts a duration to whole microseconds.
pub(super) fn micros(span: Duration) -> Micros {
    Micros(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
}
