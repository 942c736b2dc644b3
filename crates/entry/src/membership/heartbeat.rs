//! Heartbeats that the entry sends to control.

use {
    super::{MembershipLinks, MembershipSettings, ReplicaRotation, connect},
    crate::announcements::AnnouncedSet,
    banyansill_core::{
        event::EventNumber,
        names::SharedName,
        route::RouteTable,
        time::{HEARTBEAT_INTERVAL, NODE_LEASE, holder_expiry},
    },
    banyansill_wire::v1::{self, control_client::ControlClient},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{MissedTickBehavior, interval, timeout},
    },
    tonic::transport::Channel,
};

/// Timeout for the reply to a heartbeat.
///
/// Three attempts fit into one lease, so one lost reply does not end the lease.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval at which the heartbeat task checks for targets that have stopped announcing themselves.
///
/// A target counts as silent after `ANNOUNCEMENT_TIMEOUT`, which is one second; this interval is the
/// longest additional delay until the check detects it.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before a heartbeat that is sent ahead of its interval, and so the shortest time between two
/// of them.
const URGENT_DELAY: Duration = Duration::from_millis(20);

pub(super) struct HeartbeatTask {
    settings: MembershipSettings,
    links: MembershipLinks,
    routes: watch::Receiver<Arc<RouteTable>>,
    drain: watch::Receiver<bool>,
    committed: watch::Sender<u64>,
    replicas: ReplicaRotation,
    client: Option<(SharedName, ControlClient<Channel>)>,
    sequence: u64,
    lease_held: bool,
    /// Reports in the last heartbeat.
    sent_reports: Vec<v1::TargetReport>,
    /// Targets that the last heartbeat reported as announced.
    announced: AnnouncedSet,
}

impl HeartbeatTask {
    pub(super) fn new(
        settings: MembershipSettings,
        links: MembershipLinks,
        routes: watch::Receiver<Arc<RouteTable>>,
        drain: watch::Receiver<bool>,
        committed: watch::Sender<u64>,
    ) -> Self {
        let replicas = ReplicaRotation::new(settings.control.clone(), &settings.entry.host);
        Self {
            settings,
            links,
            routes,
            drain,
            committed,
            replicas,
            client: None,
            sequence: 0,
            lease_held: false,
            sent_reports: Vec::new(),
            announced: AnnouncedSet::new(),
        }
    }

    pub(super) async fn run(mut self) {
        let mut ticks = interval(HEARTBEAT_INTERVAL.as_duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reports = self.links.reports.clone();
        let mut routes = self.routes.clone();
        let mut drain = self.drain.clone();
        let announcements = self.links.announcements.clone();
        let mut silence_checks = interval(SILENCE_CHECK_INTERVAL);
        silence_checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // The branch of a closed channel is disabled, since `changed` then returns an error.
            tokio::select! {
                _ = ticks.tick() => {}
                _ = silence_checks.tick() => {
                    if announcements.announced() == self.announced {
                        continue;
                    }
                }
                () = announcements.wait_for_urgent_change() => tokio::time::sleep(URGENT_DELAY).await,
                Ok(()) = reports.changed() => {
                    if !self.is_urgent(&reports.borrow_and_update()) {
                        continue;
                    }
                    tokio::time::sleep(URGENT_DELAY).await;
                }
                Ok(()) = routes.changed() => tokio::time::sleep(URGENT_DELAY).await,
                Ok(()) = drain.changed() => {}
            }
            reports.mark_unchanged();
            routes.mark_unchanged();
            self.send_heartbeat().await;
            self.observe_lease();
        }
    }

    /// Returns whether the reports must be sent before the next regular heartbeat.
    ///
    /// Positions change continuously and can wait for the regular heartbeat. When each change was sent
    /// at once, an entry with 13 to 18 targets used up its limit of control traffic.
    fn is_urgent(&self, reports: &[v1::TargetReport]) -> bool {
        if reports.len() != self.sent_reports.len() {
            return true;
        }
        let table = self.routes.borrow();
        for (report, sent) in reports.iter().zip(&self.sent_reports) {
            let route = table.databases.get(report.database.as_str());
            let changing = route.is_none_or(|route| route.closed || route.candidate.is_some());
            if changing || !report.reachable || stable_fields(report) != stable_fields(sent) {
                return true;
            }
        }
        false
    }

    /// Sends one heartbeat; after a failure the next one uses a new connection to another replica.
    async fn send_heartbeat(&mut self) {
        let Some((address, mut client)) = self.client() else { return };
        self.sequence += 1;
        let mut request = self.request();
        self.sent_reports.clone_from(&request.reports);
        self.announced = self.links.announcements.annotate(&mut request.reports);
        let reported = request.reports.clone();
        let sent_at = self.links.clock.now();
        let reply = match timeout(REPLY_TIMEOUT, client.heartbeat(request)).await {
            Ok(Ok(reply)) => reply.into_inner(),
            Ok(Err(status)) => {
                log::debug!("heartbeat to {address} failed: {status}");
                self.client = None;
                return;
            }
            Err(_) => {
                log::debug!("heartbeat to {address} timed out");
                self.client = None;
                return;
            }
        };
        if reply.sequence != self.sequence {
            return;
        }
        if !reply.leader.is_empty() && !reply.renewed {
            self.follow_leader(&address, &reply.leader);
            return;
        }
        if reply.version > *self.committed.borrow() {
            self.committed.send_replace(reply.version);
        }
        if reply.renewed {
            self.links.lease.extend(holder_expiry(sent_at, NODE_LEASE));
            self.links.announcements.confirm(&reported);
        } else if reply.version == 0 {
            // The replica does not know the leader; another replica may know it.
            self.client = None;
        }
    }

    fn request(&self) -> v1::HeartbeatRequest {
        let table = self.routes.borrow();
        let mut entry = self.settings.entry.clone();
        entry.draining = *self.drain.borrow();
        let stamp = self.links.events.stamp();
        v1::HeartbeatRequest {
            entry: Some(entry),
            sequence: self.sequence,
            applied_version: table.version,
            sheet_number: table.sheet_number,
            reports: self.links.reports.borrow().clone(),
            stamp: Some(v1::Stamp { millis: stamp.millis, counter: stamp.counter }),
        }
    }

    fn client(&mut self) -> Option<(SharedName, ControlClient<Channel>)> {
        if self.client.is_none() {
            let address = self.replicas.advance()?;
            self.open(&address);
        }
        self.client.clone()
    }

    fn open(&mut self, address: &SharedName) {
        match connect(address) {
            Ok(channel) => self.client = Some((address.clone(), ControlClient::new(channel))),
            Err(error) => log::warn!("invalid control address {address}: {error}"),
        }
    }

    fn follow_leader(&mut self, current: &str, leader: &str) {
        self.client = None;
        if current != leader {
            self.open(&SharedName::from(leader));
        }
    }

    fn observe_lease(&mut self) {
        let held = self.links.lease.is_valid();
        if held == self.lease_held {
            return;
        }
        self.lease_held = held;
        let number = if held { EventNumber::LeaseGained } else { EventNumber::LeaseLost };
        self.links.events.record(number, &[]);
    }
}

/// Returns a report without the values that change with every probe.
fn stable_fields(report: &v1::TargetReport) -> v1::TargetReport {
    v1::TargetReport {
        position: None,
        unreachable_ms: 0,
        open_connections: u32::from(report.open_connections > 0),
        ..report.clone()
    }
}
