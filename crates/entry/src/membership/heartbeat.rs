//! Heartbeats to control.

use {
    super::{ControlRing, MembershipLinks, MembershipSettings, connect},
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

/// Time within which a heartbeat must be answered.
///
/// Three attempts fit into one lease, so one lost answer does not end the lease.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval at which the heartbeat task looks for targets that have stopped announcing themselves; it
/// bounds what the detection adds to the second that an announcement counts.
const SILENCE_LOOK: Duration = Duration::from_millis(100);

/// Shortest time between two heartbeats that are sent out of turn.
const URGENT_GAP: Duration = Duration::from_millis(20);

pub(super) struct HeartbeatTask {
    settings: MembershipSettings,
    links: MembershipLinks,
    routes: watch::Receiver<Arc<RouteTable>>,
    drain: watch::Receiver<bool>,
    committed: watch::Sender<u64>,
    ring: ControlRing,
    client: Option<(SharedName, ControlClient<Channel>)>,
    sequence: u64,
    held: bool,
    /// Reports of the last heartbeat.
    sent: Vec<v1::TargetReport>,
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
        let ring = ControlRing::new(settings.control.clone(), &settings.entry.host);
        Self {
            settings,
            links,
            routes,
            drain,
            committed,
            ring,
            client: None,
            sequence: 0,
            held: false,
            sent: Vec::new(),
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
        let mut looks = interval(SILENCE_LOOK);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // A closed channel never changes again; its branch then stays silent.
            tokio::select! {
                _ = ticks.tick() => {}
                _ = looks.tick() => {
                    if announcements.announced() == self.announced {
                        continue;
                    }
                }
                () = announcements.news() => tokio::time::sleep(URGENT_GAP).await,
                Ok(()) = reports.changed() => {
                    if !self.is_urgent(&reports.borrow_and_update()) {
                        continue;
                    }
                    tokio::time::sleep(URGENT_GAP).await;
                }
                Ok(()) = routes.changed() => tokio::time::sleep(URGENT_GAP).await,
                Ok(()) = drain.changed() => {}
            }
            reports.mark_unchanged();
            routes.mark_unchanged();
            self.beat().await;
            self.observe_lease();
        }
    }

    /// Returns whether control waits for these reports.
    ///
    /// Positions rise all the time and can wait for the next regular heartbeat; sending each rise used
    /// up the control traffic of an entry at 13 to 18 targets.
    fn is_urgent(&self, reports: &[v1::TargetReport]) -> bool {
        if reports.len() != self.sent.len() {
            return true;
        }
        let table = self.routes.borrow();
        for (report, sent) in reports.iter().zip(&self.sent) {
            let route = table.databases.get(report.database.as_str());
            let changing = route.is_none_or(|route| route.closed || route.candidate.is_some());
            if changing || !report.reachable || fixed_part(report) != fixed_part(sent) {
                return true;
            }
        }
        false
    }

    /// Sends one heartbeat; on failure the next one goes to another replica on a new connection.
    async fn beat(&mut self) {
        let Some((address, mut client)) = self.client() else { return };
        self.sequence += 1;
        let mut request = self.request();
        self.sent.clone_from(&request.reports);
        self.announced = self.links.announcements.annotate(&mut request.reports);
        let reported = request.reports.clone();
        let sent = self.links.clock.now();
        let reply = match timeout(REPLY_TIMEOUT, client.heartbeat(request)).await {
            Ok(Ok(reply)) => reply.into_inner(),
            Ok(Err(status)) => {
                log::debug!("heartbeat to {address}: {status}");
                self.client = None;
                return;
            }
            Err(_) => {
                log::debug!("heartbeat to {address}: no answer in time");
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
            self.links.lease.extend(holder_expiry(sent, NODE_LEASE));
            self.links.announcements.confirm(&reported);
        } else if reply.version == 0 {
            // The replica knows no leader: another one may.
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
            let address = self.ring.advance()?;
            self.open(&address);
        }
        self.client.clone()
    }

    fn open(&mut self, address: &SharedName) {
        match connect(address) {
            Ok(channel) => self.client = Some((address.clone(), ControlClient::new(channel))),
            Err(error) => log::warn!("control address {address}: {error}"),
        }
    }

    fn follow_leader(&mut self, asked: &str, leader: &str) {
        self.client = None;
        if asked != leader {
            self.open(&SharedName::from(leader));
        }
    }

    fn observe_lease(&mut self) {
        let held = self.links.lease.is_valid();
        if held == self.held {
            return;
        }
        self.held = held;
        let number = if held { EventNumber::LeaseGained } else { EventNumber::LeaseLost };
        self.links.events.record(number, &[]);
    }
}

/// Returns a report without what changes from probe to probe.
fn fixed_part(report: &v1::TargetReport) -> v1::TargetReport {
    v1::TargetReport {
        position: None,
        unreachable_ms: 0,
        open_connections: u32::from(report.open_connections > 0),
        ..report.clone()
    }
}
