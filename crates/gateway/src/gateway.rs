//! State shared by the sessions of a gateway: pools, freshness of the groups and the routing table.

use {
    crate::{
        pool::{
            ConnectionUser, LeaseFailure, LeaseOptions, SessionValues, SlotOptions, TargetLease,
            TargetPaths, TargetPool,
        },
        relay::RelayClients,
        settings::ZoneMap,
        team_access::TeamAccess,
        uneven::{GroupOutages, GroupOutliers},
    },
    banyansill_core::{
        collections::FastMap,
        directory::{ProcessHost, TargetReport},
        failure::FailureKind,
        gateway::{
            ConnectionRule, DirectEntries, Distance, FreshnessLog, FreshnessMark, GroupRoute,
            MarkSource, ReadCandidate, ReturnPlan, RoutingTable, connection_share, detour_entries,
            direct_entries, mark_source,
        },
        names::SharedName,
        position::LogPosition,
        retry::RetryBudget,
        team_limit::AdmissionPeers,
        time::Micros,
    },
    banyansill_runtime::clock::MonotonicClock,
    banyansill_target::StatementProtocol,
    bytes::Bytes,
    cadence::{CountedExt, StatsdClient, Timed},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{Notify, mpsc, watch},
        time::{MissedTickBehavior, interval, sleep, timeout},
    },
};

/// Interval at which idle connections are closed and silent primaries are checked.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum wait for a change of the routing table before a target that refused as a replica is tried again.
const PRIMARY_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum wait of a read for a mark: enough for a new connection and two round trips between regions that are
/// 20 ms apart. Beyond it, reading from the primary is no slower.
const MARK_TIMEOUT: Micros = Micros::from_millis(150);

/// Maximum number of connections per target of a group without a rule.
const DEFAULT_CONNECTIONS: u32 = 20;

/// Change in the reachability of a target, as reported to control.
#[derive(Clone, Debug)]
pub(crate) struct ReachabilityChange {
    pub(crate) group: SharedName,
    pub(crate) target: SharedName,
    /// Start of the failure; `None` if the target answers again.
    pub(crate) failing_since: Option<Micros>,
}

/// Services of the process that pools and sessions use.
#[derive(Debug)]
pub(crate) struct GatewayCore<P> {
    pub(crate) own: ProcessHost,
    pub(crate) protocol: P,
    pub(crate) clock: MonotonicClock,
    pub(crate) relay: RelayClients,
    pub(crate) teams: TeamAccess,
    pub(crate) reachability_changes: mpsc::UnboundedSender<ReachabilityChange>,
    pub(crate) metrics: StatsdClient,
    /// Entries that count operations while this one is out of touch with control.
    pub(crate) peers: RefCell<AdmissionPeers>,
    pub(crate) freshness: RefCell<FastMap<SharedName, Rc<GroupFreshness>>>,
}

impl<P> GatewayCore<P> {
    /// Returns the freshness of a group, which is created on first use.
    pub(crate) fn freshness(&self, group: &SharedName) -> Rc<GroupFreshness> {
        if let Some(known) = self.freshness.borrow().get(group) {
            return Rc::clone(known);
        }
        let created: Rc<GroupFreshness> = Rc::default();
        self.freshness.borrow_mut().insert(group.clone(), Rc::clone(&created));
        created
    }

    /// Adds one to a counter.
    pub(crate) fn count(&self, name: &str) {
        // Writing to the metric board never fails.
        let _ = self.metrics.incr(name);
    }

    /// Adds a duration, in milliseconds, to a histogram.
    pub(crate) fn time(&self, name: &str, span: Micros) {
        let _ = self.metrics.time(name, span.as_millis());
    }

    pub(crate) fn report_reachability(
        &self,
        group: &SharedName,
        target: &SharedName,
        failing_since: Option<Micros>,
    ) {
        let note =
            ReachabilityChange { group: group.clone(), target: target.clone(), failing_since };
        // The receiver ends with the process.
        let _ = self.reachability_changes.send(note);
    }
}

/// Known positions of a group's primary, and the demand for newer ones.
#[derive(Debug, Default)]
pub(crate) struct GroupFreshness {
    log: RefCell<FreshnessLog>,
    /// Notifies reads that wait for a mark.
    recorded: Notify,
    /// Time at which a read of this entry last needed a mark.
    needed_at: Cell<Micros>,
    /// Time at which another entry last requested a mark.
    shared_at: Cell<Micros>,
}

/// Who used the marks of a group lately.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MarkDemand {
    /// Reads of this entry.
    pub(crate) own: bool,
    /// Other entries.
    pub(crate) shared: bool,
}

impl GroupFreshness {
    /// Returns the lowest position that covers every commit acknowledged more than `max_age` ago.
    pub(crate) fn floor(&self, now: Micros, max_age: Micros) -> Option<LogPosition> {
        self.needed_at.set(now);
        self.log.borrow().floor(now, max_age)
    }

    /// Records the position in an answer that proves that its sender was the primary.
    pub(crate) fn record(&self, sent_at: Micros, position: Option<LogPosition>) {
        if let Some(position) = position {
            self.log.borrow_mut().record(FreshnessMark { sent_at, position });
            self.recorded.notify_waiters();
        }
    }

    /// Records a mark that another entry reported as `age` old, in answer to a request sent at `sent_at`.
    pub(crate) fn record_reported(
        &self,
        sent_at: Micros,
        age: Micros,
        position: Option<LogPosition>,
    ) {
        let Some(position) = position else { return };
        if let Some(mark) = FreshnessMark::reported(sent_at, age, position) {
            self.record(mark.sent_at, Some(mark.position));
        }
    }

    /// Returns the time of the newest proof that a primary leads the group.
    pub(crate) fn newest_proof(&self) -> Option<Micros> {
        self.log.borrow().newest().map(|mark| mark.sent_at)
    }

    /// Waits until a mark is recorded, at most for `max_wait`.
    async fn wait_for_record(&self, max_wait: Duration) {
        // Without a mark by then, the read runs at the primary.
        let _ = timeout(max_wait, self.recorded.notified()).await;
    }

    /// Returns the newest mark for another entry, and records the demand for it.
    pub(crate) fn share_newest(&self, now: Micros) -> Option<FreshnessMark> {
        self.shared_at.set(now);
        self.log.borrow().newest()
    }

    /// Returns whether reads of this entry, or else other entries, used the marks within `ttl`.
    pub(crate) fn demand(&self, now: Micros, ttl: Micros) -> MarkDemand {
        let is_current = |used_at: Micros| used_at > Micros::ZERO && now.since(used_at) < ttl;
        MarkDemand {
            own: is_current(self.needed_at.get()),
            shared: is_current(self.shared_at.get()),
        }
    }

    /// Returns the age of the newest mark.
    pub(crate) fn age(&self, now: Micros) -> Option<Micros> {
        self.log.borrow().newest().map(|mark| now.since(mark.sent_at))
    }
}

/// State of the thread that runs a gateway's sessions.
#[derive(Debug)]
pub(crate) struct Gateway<P>
where
    P: StatementProtocol,
{
    pub(crate) core: Rc<GatewayCore<P>>,
    zones: ZoneMap,
    table: watch::Receiver<Arc<RoutingTable>>,
    pools: RefCell<FastMap<SharedName, Rc<TargetPool<P>>>>,
    retries: Cell<RetryBudget>,
    /// Targets that serve reads worse than the others of their group.
    pub(crate) outliers: RefCell<GroupOutliers>,
    /// Groups without a reachable leader.
    pub(crate) outages: RefCell<GroupOutages>,
    /// When refused callers come again, by group.
    pub(crate) returns: RefCell<FastMap<SharedName, ReturnPlan>>,
    /// Wakes the task that refreshes marks when a group has no recent one.
    pub(crate) mark_needed: Notify,
}

impl<P> Gateway<P>
where
    P: StatementProtocol,
{
    pub(crate) fn new(
        core: GatewayCore<P>,
        zones: ZoneMap,
        table: watch::Receiver<Arc<RoutingTable>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            core: Rc::new(core),
            zones,
            table,
            pools: RefCell::default(),
            retries: Cell::new(RetryBudget::default()),
            outliers: RefCell::default(),
            outages: RefCell::default(),
            returns: RefCell::default(),
            mark_needed: Notify::new(),
        })
    }

    pub(crate) fn now(&self) -> Micros {
        self.core.clock.now()
    }

    /// Returns the current routes, targets and primaries.
    pub(crate) fn table(&self) -> Arc<RoutingTable> {
        self.table.borrow().clone()
    }

    /// Returns the table once it has routes, or as it is after `max_wait`.
    pub(crate) async fn routes_within(&self, max_wait: Duration) -> Arc<RoutingTable> {
        let mut table = self.table.clone();
        let known = timeout(max_wait, table.wait_for(|table| table.book_version > 0)).await;
        match known {
            Ok(Ok(table)) => Arc::clone(&table),
            _ => self.table(),
        }
    }

    /// Applies changes of the table and maintains the pools until the process ends.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut table = self.table.clone();
        let mut maintenance = interval(MAINTENANCE_INTERVAL);
        maintenance.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = table.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let table = table.borrow_and_update().clone();
                    self.apply(&table);
                }
                _ = maintenance.tick() => {
                    for pool in self.all_pools() {
                        pool.close_unused();
                        pool.check_silent_primary();
                    }
                }
            }
        }
    }

    fn all_pools(&self) -> Vec<Rc<TargetPool<P>>> {
        self.pools.borrow().values().cloned().collect()
    }

    fn apply(&self, table: &RoutingTable) {
        for route in table.groups.values() {
            if route.rule.is_none() {
                continue;
            }
            for report in route.readable() {
                self.pool(table, route, report).warm_up();
            }
        }
        let entries: Vec<ProcessHost> = table.entries.values().cloned().collect();
        for pool in self.all_pools() {
            let route = table.groups.get(&pool.group);
            let report = route.and_then(|route| route.target(&pool.target));
            match (route, report) {
                (Some(route), Some(report)) => {
                    let is_primary = route.primary.as_ref() == Some(&report.target);
                    pool.update(report, self.paths(table, route, report, &entries), is_primary);
                }
                _ => {
                    let gone = self.pools.borrow_mut().remove(&pool.target);
                    if let Some(gone) = gone {
                        gone.retire();
                    }
                }
            }
        }
    }

    fn paths(
        &self,
        table: &RoutingTable,
        route: &GroupRoute,
        report: &TargetReport,
        entries: &[ProcessHost],
    ) -> TargetPaths {
        let connections = route.rule.as_ref().map_or(DEFAULT_CONNECTIONS, |rule| rule.connections);
        let by_team = !table.teams.is_empty();
        let rule = ConnectionRule { connections, by_team };
        let is_primary = route.primary.as_ref() == Some(&report.target);
        let team_relays = match direct_entries(report, is_primary, rule, entries) {
            DirectEntries::Relays(relays) if by_team => relays.into_iter().cloned().collect(),
            _ => Vec::new(),
        };
        TargetPaths {
            share: connection_share(&self.core.own, report, is_primary, rule, entries),
            team_relays,
            detour: detour_entries(&self.core.own, &report.zone, entries),
        }
    }

    /// Returns the pool of a target, which is created on first use.
    pub(crate) fn pool(
        &self,
        table: &RoutingTable,
        route: &GroupRoute,
        report: &TargetReport,
    ) -> Rc<TargetPool<P>> {
        if let Some(pool) = self.pools.borrow().get(&report.target) {
            return Rc::clone(pool);
        }
        let entries: Vec<ProcessHost> = table.entries.values().cloned().collect();
        let paths = self.paths(table, route, report, &entries);
        let is_primary = route.primary.as_ref() == Some(&report.target);
        let pool = TargetPool::new(Rc::clone(&self.core), report, paths, is_primary);
        self.pools.borrow_mut().insert(report.target.clone(), Rc::clone(&pool));
        pool
    }

    /// Returns the distance of a zone from this entry.
    pub(crate) fn distance(&self, zone: &SharedName) -> Distance {
        self.zones.distance(zone)
    }

    /// Returns the source of the positions of a group's primary.
    pub(crate) fn mark_source(&self, group: &SharedName) -> MarkSource {
        let table = self.table();
        let Some(leader) = self.leader(&table, group, &[]) else { return MarkSource::Primary };
        let now = self.now();
        let is_failing = |entry: &ProcessHost| self.core.relay.is_failing(&entry.host, now);
        mark_source(&self.core.own, &leader.share(), table.entries.values(), is_failing)
    }

    /// Returns the newest known position of a group's primary and its age in microseconds.
    pub(crate) fn newest_mark(&self, group: &SharedName) -> (Option<LogPosition>, u64) {
        let now = self.now();
        match self.core.freshness(group).log.borrow().newest() {
            Some(mark) => (Some(mark.position), now.since(mark.sent_at).0),
            None => (None, 0),
        }
    }

    /// Returns the targets that may serve reads of a group, with the properties that decide between them.
    pub(crate) fn read_candidates(
        &self,
        table: &RoutingTable,
        route: &GroupRoute,
    ) -> (Vec<Rc<TargetPool<P>>>, Vec<ReadCandidate>) {
        let mut pools = Vec::new();
        let mut candidates = Vec::new();
        for report in route.readable() {
            let pool = self.pool(table, route, report);
            let health = pool.health();
            let (in_flight, capacity) = pool.load();
            candidates.push(ReadCandidate {
                index: pools.len(),
                distance: self.zones.distance(&report.zone),
                primary: route.primary.as_ref() == Some(&report.target),
                latency: health.latency(),
                in_flight,
                capacity,
                error_rate: health.error_rate(),
                reachable: pool.is_available(false),
                position: pool.recent_position(),
            });
            pools.push(pool);
        }
        (pools, candidates)
    }

    /// Returns the pool of the target that most likely leads a group, except those in `refused`.
    pub(crate) fn leader(
        &self,
        table: &RoutingTable,
        group: &str,
        refused: &[SharedName],
    ) -> Option<Rc<TargetPool<P>>> {
        let route = table.groups.get(group)?;
        for report in route.leaders() {
            if refused.contains(&report.target) {
                continue;
            }
            let pool = self.pool(table, route, report);
            if pool.is_available(true) {
                return Some(pool);
            }
        }
        None
    }

    /// Returns the leader of a group as [`Self::leader`] does, but none whose commits may not be passed on.
    pub(crate) fn writable_leader(
        &self,
        table: &RoutingTable,
        group: &str,
        refused: &[SharedName],
    ) -> Option<Rc<TargetPool<P>>> {
        let route = table.groups.get(group)?;
        self.leader(table, group, refused).filter(|pool| route.may_acknowledge(&pool.target))
    }

    /// Waits briefly for a change of the routing table, at most until `deadline`.
    pub(crate) async fn wait_for_change(&self, deadline: Micros) {
        let left = deadline.since(self.now()).as_duration();
        let mut table = self.table.clone();
        table.mark_unchanged();
        let _ = timeout(PRIMARY_RETRY_INTERVAL.min(left), table.changed()).await;
    }

    /// Waits for `pause`; returns false without waiting if that exceeds `deadline`.
    pub(crate) async fn pause(&self, pause: Duration, deadline: Micros) -> bool {
        let left = deadline.since(self.now()).as_duration();
        if left <= pause {
            return false;
        }
        sleep(pause).await;
        true
    }

    /// Counts a statement, which adds a fraction of a retry to the budget.
    pub(crate) fn record_attempt(&self) {
        let mut budget = self.retries.get();
        budget.record_attempt();
        self.retries.set(budget);
    }

    /// Takes a retry from the budget; returns false if none is left.
    pub(crate) fn try_retry(&self) -> bool {
        let mut budget = self.retries.get();
        let allowed = budget.try_retry();
        self.retries.set(budget);
        allowed
    }

    /// Waits for a mark of a group that has no recent one, at most until `deadline`.
    ///
    /// Without the wait, the first reads after a start would all run at the primary to prove their freshness,
    /// while the replicas are idle.
    pub(crate) async fn wait_for_mark(&self, group: &SharedName, deadline: Micros) {
        let freshness = self.core.freshness(group);
        self.mark_needed.notify_one();
        let left = deadline.since(self.now()).min(MARK_TIMEOUT);
        freshness.wait_for_record(left.as_duration()).await;
    }

    /// Records the position of a group's primary, obtained by beginning an empty read-write transaction.
    ///
    /// # Errors
    ///
    /// Returns why no target proved to be the primary.
    pub(crate) async fn refresh_mark(
        &self,
        group: &SharedName,
        limit: Micros,
    ) -> Result<(), FailureKind> {
        let table = self.table();
        let leader = self.leader(&table, group, &[]).ok_or(FailureKind::NoPrimary)?;
        let request = &Bytes::new();
        let slot = SlotOptions {
            request,
            database: group,
            team: &SharedName::default(),
            priority: 0,
            deadline: self.now() + limit,
        };
        let options = LeaseOptions {
            slot,
            values: &SessionValues::new(),
            prepare: None,
            begin: None,
            trusted_idle: Micros(u64::MAX),
            transaction: true,
            detour: true,
            user: ConnectionUser::Entry,
        };
        let lease = leader.lease(&options).await;
        let mut lease: TargetLease<P> = lease.map_err(|failure: LeaseFailure| failure.kind)?;
        let sent_at = self.now();
        let begun = timeout(limit.as_duration(), lease.begin(false, None)).await;
        match begun {
            Ok(Ok(answer)) => {
                self.core.freshness(group).record(sent_at, answer.position);
                lease.clean_up();
                Ok(())
            }
            Ok(Err(_)) => Err(FailureKind::NoPrimary),
            Err(_) => {
                leader.record_failure(sent_at, "no answer to a probe of the primary");
                Err(FailureKind::Unreachable)
            }
        }
    }
}
