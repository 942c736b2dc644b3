//! Watches the route table and the node lease, and runs one broker per assigned target.

use {
    super::{
        grant::GrantTask,
        pool_maintenance, probe,
        refusal::failure,
        remote::PeerPool,
        settings::BrokerSettings,
        shared::{GrantCount, HubShared},
        target::{TargetContext, TargetGate, TargetShared},
    },
    crate::{
        lease::NodeLease,
        link::{self, GrantLink, GrantPeer, GrantRequest, GrantRouter, LinkOutput},
    },
    banyansill_core::{
        event::EventNumber,
        failure::FailureKind,
        names::SharedName,
        position::LogPosition,
        route::{DatabaseRoute, RouteTable, TargetRoute},
    },
    banyansill_runtime::{clock::MonotonicClock, events::EventSink},
    banyansill_wire::v1::TargetReport,
    cadence::StatsdClient,
    std::{
        sync::{
            Arc, Mutex, PoisonError, RwLock,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        runtime::Handle,
        sync::watch,
        task::JoinHandle,
        time::{interval, sleep},
    },
};

/// Interval between checks of an invalid lease.
const INVALID_LEASE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum interval between checks of a valid lease.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl HubShared {
    /// Serves a grant at the broker on this host.
    pub(super) fn serve(self: &Arc<Self>, peer: GrantPeer) {
        let request = &peer.request;
        let Some(shared) = self.local_target(&request.database, &request.server) else {
            let kind = FailureKind::WrongEpoch;
            refuse(&peer, kind, "this host is not the target's broker");
            return;
        };
        let count = GrantCount::new(self);
        // Spawned on the session's thread: another thread would cost a wake-up per message.
        tokio::spawn(GrantTask::run(shared, Arc::clone(self), peer, count));
    }
}

fn refuse(peer: &GrantPeer, kind: FailureKind, detail: &str) {
    let _ = peer.output.try_send(LinkOutput::Refused(failure(kind, detail)));
}

/// Opens and closes the brokers of this host as the route table and the node lease change.
#[derive(Debug)]
pub struct BrokerHub {
    shared: Arc<HubShared>,
    routes: watch::Receiver<Arc<RouteTable>>,
    leased: bool,
}

impl BrokerHub {
    /// Starts the brokers of this host.
    #[must_use]
    pub fn spawn(
        settings: BrokerSettings,
        clock: MonotonicClock,
        lease: NodeLease,
        routes: watch::Receiver<Arc<RouteTable>>,
        events: EventSink,
        metrics: StatsdClient,
    ) -> BrokerHandle {
        let shared = Arc::new(HubShared {
            settings: Arc::new(settings),
            clock,
            lease,
            events,
            runtime: Handle::current(),
            routes: routes.clone(),
            peers: PeerPool::new(clock),
            targets: RwLock::default(),
            report_store: Mutex::default(),
            limits: Mutex::default(),
            reports: watch::Sender::new(Vec::new()),
            grants: AtomicU64::new(0),
            mark_coalescers: Mutex::default(),
            metrics,
        });
        let hub = Self { shared: Arc::clone(&shared), routes, leased: false };
        let task = Arc::new(AbortOnDrop(tokio::spawn(hub.run())));
        BrokerHandle { shared, task }
    }

    async fn run(mut self) {
        let mut second = interval(Duration::from_secs(1));
        self.leased = self.shared.lease.is_valid();
        self.apply_routes();
        loop {
            let remaining = self.shared.lease.remaining().as_duration();
            let poll_interval = if self.leased {
                remaining.min(LEASE_POLL_INTERVAL)
            } else {
                INVALID_LEASE_POLL_INTERVAL
            };
            tokio::select! {
                biased;
                () = sleep(poll_interval) => self.check_lease(),
                changed = self.routes.changed() => {
                    if changed.is_err() {
                        self.close_all();
                        return;
                    }
                    self.check_lease();
                    self.apply_routes();
                }
                _ = second.tick() => {
                    self.shared.send_metrics();
                    self.shared.remove_expired_reports();
                }
            }
        }
    }

    fn check_lease(&mut self) {
        let leased = self.shared.lease.is_valid();
        if leased == self.leased {
            return;
        }
        self.leased = leased;
        for shared in self.shared.local_targets() {
            if leased {
                shared.gate.send_modify(|gate| gate.open = true);
                self.shared.record(EventNumber::BrokerOpened, &shared, shared.epoch());
            } else {
                shared.close(FailureKind::NoLease);
                self.shared.record(EventNumber::BrokerClosed, &shared, shared.epoch());
            }
            self.shared.publish(&shared);
        }
    }

    fn apply_routes(&mut self) {
        let table = self.routes.borrow_and_update().clone();
        let mut previous = self.shared.local_targets();
        previous.retain(|shared| !self.is_unchanged(&table, shared));
        for shared in previous {
            self.release(&table, &shared);
        }
        for (database, route) in &table.databases {
            for target in &route.targets {
                if target.broker == self.shared.settings.host {
                    self.assign(database, route, target);
                }
            }
        }
    }

    // Returns whether the assignment is unchanged.
    fn is_unchanged(&self, table: &RouteTable, shared: &TargetShared) -> bool {
        let Some(route) = table.databases.get(&shared.database) else { return false };
        let Some(target) = route.target(&shared.server) else { return false };
        target.broker == self.shared.settings.host
            && target.epoch == shared.epoch()
            && target.address == shared.address
    }

    fn release(&self, table: &RouteTable, shared: &Arc<TargetShared>) {
        let target = table
            .databases
            .get(&shared.database)
            .and_then(|route| route.target(&shared.server).map(|target| (route, target)));
        // Until another broker is assigned, running work may finish, so that a planned move
        // interrupts nothing.
        let unassigned = target.is_some_and(|(_, target)| target.broker.is_empty());
        if let Some((route, target)) = target
            && unassigned
            && self.leased
        {
            shared.begin_closing(Arc::clone(route), target.draining);
        } else {
            shared.retire();
            let key = (shared.database.clone(), shared.server.clone());
            let mut targets = self.shared.targets.write().unwrap_or_else(PoisonError::into_inner);
            targets.remove(&key);
            drop(targets);
            self.shared.record(EventNumber::BrokerClosed, shared, shared.epoch());
        }
        self.shared.publish(shared);
    }

    fn assign(&self, database: &SharedName, route: &Arc<DatabaseRoute>, target: &TargetRoute) {
        let known = self.shared.local_target(database, &target.server);
        let gate = TargetGate {
            open: self.leased,
            closing: false,
            reachable: true,
            suspect_before: None,
            epoch: target.epoch,
            draining: target.draining,
            route: Arc::clone(route),
        };
        if let Some(shared) = known {
            if shared.update(gate) {
                shared.resize(target.slots, target.connections);
                self.shared.publish(&shared);
            }
            return;
        }
        let shared = TargetShared::new(
            (database.clone(), target.server.clone(), target.address.clone()),
            (target.slots, target.connections),
            gate,
            TargetContext {
                settings: Arc::clone(&self.shared.settings),
                clock: self.shared.clock,
                lease: self.shared.lease.clone(),
                events: self.shared.events.clone(),
            },
        );
        let key = (database.clone(), target.server.clone());
        let mut targets = self.shared.targets.write().unwrap_or_else(PoisonError::into_inner);
        targets.insert(key, Arc::clone(&shared));
        drop(targets);
        if self.leased {
            self.shared.record(EventNumber::BrokerOpened, &shared, target.epoch);
        }
        self.shared.publish(&shared);
        tokio::spawn(pool_maintenance::run(Arc::clone(&shared), Arc::clone(&self.shared)));
        tokio::spawn(probe::run(shared, Arc::clone(&self.shared)));
    }

    fn close_all(&self) {
        for shared in self.shared.local_targets() {
            shared.retire();
            self.shared.publish(&shared);
        }
    }
}

#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Handle to the running brokers, which stop when its last clone is dropped.
#[derive(Clone, Debug)]
pub struct BrokerHandle {
    pub(super) shared: Arc<HubShared>,
    #[allow(dead_code, reason = "held so that the hub ends with its last handle")]
    task: Arc<AbortOnDrop>,
}

impl BrokerHandle {
    /// Returns the brokers' latest reports on their targets, for the heartbeat.
    #[must_use]
    pub fn reports(&self) -> watch::Receiver<Vec<TargetReport>> {
        self.shared.reports.subscribe()
    }

    /// Returns the number of open grants at the brokers of this host.
    #[must_use]
    pub fn open_grants(&self) -> u64 {
        self.shared.grants.load(Ordering::Acquire)
    }
}

impl GrantRouter for BrokerHandle {
    fn open(&self, request: GrantRequest) -> GrantLink {
        let (link, peer) = link::pair(request);
        let request = &peer.request;
        let address = {
            let table = self.shared.routes.borrow();
            let route = table.databases.get(&request.database);
            match route.and_then(|route| route.target(&request.server)) {
                Some(target) if target.broker == self.shared.settings.host => None,
                Some(target) if target.broker.is_empty() => {
                    refuse(&peer, FailureKind::Unreachable, "the target has no broker");
                    return link;
                }
                Some(target) => Some(target.broker_address.clone()),
                None => {
                    refuse(&peer, FailureKind::Unreachable, "unknown target");
                    return link;
                }
            }
        };
        match address {
            None => self.shared.serve(peer),
            Some(address) => self.shared.peers.run(address, peer),
        }
        link
    }

    async fn high_water_mark(&self, database: &SharedName) -> Result<LogPosition, FailureKind> {
        let route = self.shared.route(database).ok_or(FailureKind::UnknownDatabase)?;
        let primary = route.open_primary().ok_or(FailureKind::NoPrimary)?;
        if primary.broker == self.shared.settings.host {
            let shared = self.shared.local_target(database, &primary.server);
            return shared.ok_or(FailureKind::WrongEpoch)?.high_water_mark();
        }
        if primary.broker.is_empty() {
            return Err(FailureKind::Unreachable);
        }
        let coalescer = self.shared.mark_coalescer(database);
        let fetch = self.shared.peers.high_water_mark(&primary.broker_address, database);
        coalescer.request(fetch).await
    }
}
