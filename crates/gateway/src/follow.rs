//! Client that follows the directory at a control replica and reports unreachable targets to it.

use {
    crate::{
        gateway::ReachabilityChange,
        settings::ZoneMap,
        team_access::{ProbeConfirmation, TeamAccess},
    },
    banyansill_core::{
        collections::FastMap,
        directory::{DirectoryUpdate, ProcessHost},
        event::EventNumber,
        gateway::{
            ContactPace, ContactPlan, ContactStep, FollowPatience, ReplicaHistory, RoutingTable,
            is_nearest, nearest_replicas, rendezvous_weight,
        },
        log_rate_limit::LogRateLimiter,
        names::SharedName,
        time::Micros,
    },
    banyansill_runtime::clock::MonotonicClock,
    banyansill_wire::directory_v1::{self as v1, directory_client::DirectoryClient},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
        time::{Instant, interval, sleep, timeout},
    },
    tokio_stream::wrappers::ReceiverStream,
    tonic::{
        Code, Streaming,
        transport::{Channel, Endpoint},
    },
};

/// Timeout of the next message of a control replica; one that is connected to its leader sends a message every
/// 400 ms.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval at which targets that stay unreachable are reported again.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval of probes, which confirm keys and carry the usage of teams, while the directory has teams.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two probes; replicas ask the leader every 100 ms, so more frequent ones would wait there.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of reports that may wait to be sent to the control replica.
const REPORT_QUEUE_CAPACITY: usize = 16;

/// Maximum size of a message of the directory; 10,000 routes of 100 B take 1 MB.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Inputs and output of the follower.
#[derive(Debug)]
pub(crate) struct FollowSources {
    pub(crate) own: ProcessHost,
    pub(crate) zones: ZoneMap,
    /// Addresses of control replicas from the settings.
    pub(crate) seeds: watch::Receiver<Vec<SharedName>>,
    pub(crate) clock: MonotonicClock,
    pub(crate) table: watch::Sender<Arc<RoutingTable>>,
    pub(crate) teams: TeamAccess,
    pub(crate) reachability_changes: mpsc::UnboundedReceiver<ReachabilityChange>,
}

/// Keeps the routing table in line with the directory.
#[derive(Debug)]
pub(crate) struct DirectoryFollower {
    sources: FollowSources,
    /// Targets that do not answer, by name, with their group and the start of the failure.
    failing: FastMap<SharedName, (SharedName, Micros)>,
    history: ReplicaHistory,
    patience: FollowPatience,
    /// Limits the lines about lost replicas; an entry that is cut off loses one every 250 ms.
    log_limit: LogRateLimiter,
    started_at: Micros,
}

/// Control replica that accepted a request for updates.
struct FollowedReplica {
    address: SharedName,
    /// Version of the directory that the request named.
    version: u64,
    reports: mpsc::Sender<v1::FollowRequest>,
    replies: Streaming<v1::FollowReply>,
}

/// Progress of a contact with the control replica at an address.
enum ContactEvent {
    /// The replica accepted a connection.
    Connected(SharedName, Channel),
    /// The replica accepted the request for updates.
    Followed(FollowedReplica),
    /// No connection was accepted.
    Unreachable(SharedName, String),
    /// The replica was asked for updates and did not accept.
    Refused(SharedName, String),
    /// The replica has no directory yet.
    Unready(SharedName, String),
}

/// Reason why the follower leaves a control replica.
enum FollowEnd {
    /// The replica at this address was lost.
    Failed(SharedName, String),
    /// There is a nearer replica than the followed one.
    Nearer,
}

impl DirectoryFollower {
    pub(crate) fn new(sources: FollowSources) -> Self {
        let started_at = sources.clock.now();
        let history = ReplicaHistory::default();
        let patience = FollowPatience::default();
        let log_limit = LogRateLimiter::default();
        Self { sources, failing: FastMap::default(), history, patience, log_limit, started_at }
    }

    /// Follows one control replica at a time until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            // Notes a lapse that no session has noticed.
            self.sources.teams.keys_are_confirmed(self.sources.clock.now());
            let addresses = self.addresses();
            let Some(followed) = self.contact(&addresses).await else {
                self.pause().await;
                continue;
            };
            let end = self.follow(followed).await;
            self.sources.teams.record_disconnect();
            if let FollowEnd::Failed(address, reason) = end {
                self.lose(address, &reason);
                self.pause().await;
            }
        }
    }

    /// Waits before the next contact.
    async fn pause(&self) {
        sleep(self.patience.reconnect_delay(&self.sources.own.host).as_duration()).await;
    }

    /// Logs the loss of a replica and contacts the others before it for a while.
    fn lose(&mut self, address: SharedName, reason: &str) {
        let now = self.sources.clock.now();
        self.log_loss(&address, reason, now);
        self.history.record_loss(address, now);
    }

    fn log_loss(&mut self, address: &SharedName, reason: &str, now: Micros) {
        if let Some(left_out) = self.log_limit.admit("control lost", now) {
            log::warn!(
                target: "event",
                event:display = EventNumber::ControlLost,
                address:display,
                reason,
                directory = self.sources.table.borrow().version,
                left_out;
                ""
            );
        }
    }

    /// Returns the addresses of the control replicas in order of preference: first the known ones, the nearest before the
    /// others, then those from the settings, and last those that were just lost.
    fn addresses(&mut self) -> Vec<SharedName> {
        let table = self.sources.table.borrow();
        let own = &self.sources.own;
        let distance = |zone: &SharedName| self.sources.zones.distance(zone);
        let mut addresses = nearest_replicas(own, table.controls.values(), distance);
        let mut seeds = self.sources.seeds.borrow().clone();
        seeds.sort_by_key(|seed| rendezvous_weight(seed, &own.host));
        for seed in seeds {
            if !addresses.contains(&seed) {
                addresses.push(seed);
            }
        }
        drop(table);
        self.history.order(&mut addresses, self.sources.clock.now());
        addresses
    }

    /// Opens the update stream of the first replica that answers.
    async fn contact(&mut self, addresses: &[SharedName]) -> Option<FollowedReplica> {
        let has_routes = self.sources.table.borrow().version > 0;
        let running_for = self.sources.clock.now().since(self.started_at);
        let pace = ContactPace::new(has_routes, running_for);
        let mut plan = ContactPlan::new(addresses.to_vec(), pace);
        // Dropping the set ends the contacts that were slower than the first answer.
        let mut contacts = JoinSet::new();
        loop {
            let now = self.sources.clock.now();
            let wait = match plan.next_step(now) {
                ContactStep::Connect(address) => {
                    contacts.spawn(connect(address, pace.connect_timeout()));
                    continue;
                }
                ContactStep::WaitUntil(time) => time.since(now).as_duration(),
                ContactStep::Wait => UPDATE_TIMEOUT,
                ContactStep::Exhausted => return None,
            };
            let event = match timeout(wait, contacts.join_next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(error))) => {
                    log::error!("contact with a control replica failed: {error}");
                    plan.record_refusal();
                    continue;
                }
                Ok(None) | Err(_) => continue,
            };
            match event {
                ContactEvent::Connected(address, channel) => {
                    if plan.record_connected(&address, self.sources.clock.now()) {
                        contacts.spawn(self.request_updates(address, channel));
                    }
                }
                ContactEvent::Followed(followed) => return Some(followed),
                ContactEvent::Unreachable(address, reason) => {
                    self.lose(address, &reason);
                    plan.record_failure();
                }
                ContactEvent::Refused(address, reason) => {
                    self.lose(address, &reason);
                    plan.record_refusal();
                }
                ContactEvent::Unready(address, reason) => {
                    let now = self.sources.clock.now();
                    self.log_loss(&address, &reason, now);
                    self.history.record_unready(address, now);
                    plan.record_refusal();
                }
            }
        }
    }

    /// Returns the task that opens the update stream of a connected replica.
    fn request_updates(
        &self,
        address: SharedName,
        channel: Channel,
    ) -> impl Future<Output = ContactEvent> + use<> {
        let version = self.sources.table.borrow().version;
        let first = v1::FollowRequest {
            since: version,
            entry: Some(self.sources.own.clone().into()),
            reach: self.unreachable_targets(),
            ..v1::FollowRequest::default()
        };
        async move {
            let (reports, receiver) = mpsc::channel(REPORT_QUEUE_CAPACITY);
            let _ = reports.send(first).await;
            let mut client =
                DirectoryClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
            let reply = client.follow(ReceiverStream::new(receiver));
            match timeout(UPDATE_TIMEOUT, reply).await {
                Ok(Ok(reply)) => {
                    let replies = reply.into_inner();
                    ContactEvent::Followed(FollowedReplica { address, version, reports, replies })
                }
                Ok(Err(status)) if status.code() == Code::FailedPrecondition => {
                    ContactEvent::Unready(address, status.message().to_owned())
                }
                Ok(Err(status)) => ContactEvent::Refused(address, status.to_string()),
                Err(_) => ContactEvent::Refused(address, "no answer in time".to_owned()),
            }
        }
    }

    fn is_nearest(&self, address: &SharedName) -> bool {
        let table = self.sources.table.borrow();
        is_nearest(address, table.controls.values(), |zone| self.sources.zones.distance(zone))
    }

    /// Applies the updates of a replica until it is lost, or until a nearer one is known that was not lost lately.
    async fn follow(&mut self, followed: FollowedReplica) -> FollowEnd {
        let FollowedReplica { address, version, reports, mut replies } = followed;
        let failed = |reason: &str| FollowEnd::Failed(address.clone(), reason.to_owned());
        log::info!(
            target: "event",
            event:display = EventNumber::ControlFollowed,
            address:display,
            directory = version;
            ""
        );
        let mut ticks = interval(REPORT_INTERVAL);
        let teams = self.sources.teams.clone();
        let mut last_probe = Micros::ZERO;
        let mut last_probe_at = Instant::now();
        let mut probe_due = Box::pin(sleep(Duration::ZERO));
        let first_timeout = self.patience.first_timeout(version > 0);
        self.patience.record_loss();
        let mut update_timeout = Box::pin(sleep(first_timeout.as_duration()));
        loop {
            tokio::select! {
                reply = replies.message() => {
                    match reply {
                        Ok(Some(reply)) => {
                            let is_leaderless = reply.leaderless;
                            self.apply(reply, last_probe);
                            // Another replica may know a leader.
                            if is_leaderless {
                                continue;
                            }
                            self.patience.record_message();
                        }
                        Ok(None) => return failed("stream closed"),
                        Err(status) => return failed(&status.to_string()),
                    }
                    update_timeout.as_mut().reset(Instant::now() + UPDATE_TIMEOUT);
                    let now = self.sources.clock.now();
                    if !self.is_nearest(&address) && self.history.is_clear(now) {
                        return FollowEnd::Nearer;
                    }
                }
                change = self.sources.reachability_changes.recv() => {
                    let Some(change) = change else { continue };
                    self.record_change(change);
                    self.report(&reports);
                }
                _ = ticks.tick() => {
                    if !self.failing.is_empty() {
                        self.report(&reports);
                    }
                }
                () = &mut probe_due, if teams.has_teams() => {
                    last_probe = self.send_probe(&reports).unwrap_or(last_probe);
                    last_probe_at = Instant::now();
                    probe_due.as_mut().reset(last_probe_at + PROBE_INTERVAL);
                }
                () = teams.report_requested(), if teams.has_teams() => {
                    let next = probe_due.deadline().min(last_probe_at + MIN_PROBE_INTERVAL);
                    probe_due.as_mut().reset(next);
                }
                () = &mut update_timeout => return failed("no message in time"),
            }
        }
    }

    /// Applies a message of the replica to which the last probe was sent at `last_probe`.
    fn apply(&self, mut reply: v1::FollowReply, last_probe: Micros) {
        let mut paces = Vec::new();
        for pace in std::mem::take(&mut reply.paces) {
            paces.push(pace.into());
        }
        let (probe, version) = (Micros(reply.confirmed_probe), reply.confirmed_version);
        let bounded = Micros(reply.bounded_probe);
        self.apply_update(DirectoryUpdate::from(reply));
        // Control returns the times of this process's own probes, so any other time is a fault that proves nothing.
        if probe > Micros::ZERO && probe <= last_probe {
            let confirmation = ProbeConfirmation { probe, version, paces };
            self.sources.teams.record_confirmation(&confirmation, self.sources.clock.now());
        } else if bounded > Micros::ZERO && bounded <= last_probe {
            self.sources.teams.record_bounds(bounded, &paces, self.sources.clock.now());
        }
    }

    fn apply_update(&self, update: DirectoryUpdate) {
        let teams_changed = update.reset
            || !update.teams.is_empty()
            || !update.removed_teams.is_empty()
            || !update.entries.is_empty()
            || !update.removed_entries.is_empty();
        let current = self.sources.table.borrow().clone();
        let Some(table) = current.updated(update) else { return };
        log::info!(
            target: "event",
            event:display = EventNumber::DirectoryApplied,
            directory = table.version,
            before = current.version,
            routes = table.book_version;
            ""
        );
        let table = Arc::new(table);
        self.sources.table.send_replace(Arc::clone(&table));
        // Only now, when sessions see the table, may a confirmation of its version count.
        self.sources.teams.set_table(&table, teams_changed, self.sources.clock.now());
    }

    fn record_change(&mut self, change: ReachabilityChange) {
        match change.failing_since {
            Some(since) => {
                self.failing.insert(change.target, (change.group, since));
            }
            None => {
                self.failing.remove(&change.target);
            }
        }
    }

    fn unreachable_targets(&self) -> Vec<v1::Reach> {
        let now = self.sources.clock.now();
        let mut reach = Vec::new();
        for (target, (group, since)) in &self.failing {
            let failing = now.since(*since).as_millis().max(1);
            reach.push(v1::Reach {
                group: group.to_string(),
                target: target.to_string(),
                failing_ms: u32::try_from(failing).unwrap_or(u32::MAX),
            });
        }
        reach
    }

    /// Sends a probe with the usage of teams; returns its time, or `None` if the queue is full.
    fn send_probe(&self, reports: &mpsc::Sender<v1::FollowRequest>) -> Option<Micros> {
        // The place is reserved first: usage that is taken and not sent would be lost with the next confirmation.
        let place = reports.try_reserve().ok()?;
        let probe = self.sources.clock.now();
        self.sources.teams.keys_are_confirmed(probe);
        let mut usage = Vec::new();
        for team in self.sources.teams.take_report(probe) {
            usage.push(team.into());
        }
        let reach = self.unreachable_targets();
        place.send(v1::FollowRequest {
            probe: probe.0,
            usage,
            reach,
            ..v1::FollowRequest::default()
        });
        Some(probe)
    }

    fn report(&self, reports: &mpsc::Sender<v1::FollowRequest>) {
        let reach = self.unreachable_targets();
        let request = v1::FollowRequest { reach, ..v1::FollowRequest::default() };
        // A report that does not fit in the queue is superseded by a later one.
        let _ = reports.try_send(request);
    }
}

/// Connects to the control replica at an address.
async fn connect(address: SharedName, limit: Micros) -> ContactEvent {
    let opened = async {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?;
        endpoint.connect_timeout(limit.as_duration()).tcp_nodelay(true).connect().await
    };
    match opened.await {
        Ok(channel) => ContactEvent::Connected(address, channel),
        Err(error) => ContactEvent::Unreachable(address, error.to_string()),
    }
}
