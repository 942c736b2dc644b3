//! Following the directory at a control replica.

use {
    crate::gateway::ReachabilityChange,
    banyansill_core::{
        collections::FastMap,
        directory::{DirectoryUpdate, ProcessHost},
        event::EventNumber,
        gateway::{RoutingTable, rendezvous_weight},
        names::SharedName,
        time::Micros,
    },
    banyansill_runtime::clock::MonotonicClock,
    banyansill_wire::directory_v1::{self as v1, directory_client::DirectoryClient},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{interval, sleep, timeout},
    },
    tokio_stream::wrappers::ReceiverStream,
    tonic::{Status, Streaming, transport::Endpoint},
};

/// Longest silence of a control replica that is in touch with its leader; it speaks every 400 ms.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// The same before the first routes: callers wait, and another replica may have a leader already.
const FIRST_SILENCE_LIMIT: Duration = Duration::from_millis(500);

/// Time for the connection to a control replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Wait between two control replicas.
const NEXT_DELAY: Duration = Duration::from_millis(50);

/// Interval at which targets that stay unreachable are reported again.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Reports that wait for the control replica.
const REPORT_DEPTH: usize = 16;

/// Largest message of the directory: 10,000 routes of 100 B.
const MESSAGE_BYTES: usize = 16 << 20;

/// What the follower needs of the process.
#[derive(Debug)]
pub(crate) struct FollowSources {
    pub(crate) own: ProcessHost,
    /// Addresses from the settings.
    pub(crate) seeds: watch::Receiver<Vec<SharedName>>,
    pub(crate) clock: MonotonicClock,
    pub(crate) table: watch::Sender<Arc<RoutingTable>>,
    pub(crate) reachability_changes: mpsc::UnboundedReceiver<ReachabilityChange>,
}

/// Follower of the directory.
#[derive(Debug)]
pub(crate) struct DirectoryFollower {
    sources: FollowSources,
    /// Targets that do not answer, by name, with their group and the time since when.
    failing: FastMap<SharedName, (SharedName, Micros)>,
    turn: usize,
}

/// Why a control replica is left.
enum FollowEnd {
    Failed(String),
    /// A replica in this entry's zone serves as well.
    Nearer,
}

impl DirectoryFollower {
    pub(crate) fn new(sources: FollowSources) -> Self {
        Self { sources, failing: FastMap::default(), turn: 0 }
    }

    /// Follows one control replica after the other until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            let Some(address) = self.next_address() else {
                sleep(NEXT_DELAY).await;
                continue;
            };
            match self.follow(&address).await {
                FollowEnd::Nearer => self.turn = 0,
                FollowEnd::Failed(reason) => {
                    log::warn!(
                        target: "event",
                        event:display = EventNumber::ControlLost,
                        address:display,
                        reason,
                        directory = self.sources.table.borrow().version;
                        ""
                    );
                    self.turn += 1;
                    sleep(NEXT_DELAY).await;
                }
            }
        }
    }

    /// Returns the replica to follow: those in this zone first, then all others, then the seeds.
    fn next_address(&self) -> Option<SharedName> {
        let table = self.sources.table.borrow();
        let own = &self.sources.own;
        let mut controls: Vec<&ProcessHost> = table.controls.values().collect();
        controls.sort_by_key(|control| {
            (control.zone != own.zone, rendezvous_weight(&control.host, &own.host))
        });
        let mut addresses: Vec<SharedName> = Vec::new();
        for control in controls {
            addresses.push(control.address.clone());
        }
        let mut seeds = self.sources.seeds.borrow().clone();
        seeds.sort_by_key(|seed| rendezvous_weight(seed, &own.host));
        for seed in seeds {
            if !addresses.contains(&seed) {
                addresses.push(seed);
            }
        }
        let count = addresses.len().max(1);
        addresses.get(self.turn % count).cloned()
    }

    fn is_nearest(&self, address: &SharedName) -> bool {
        let table = self.sources.table.borrow();
        let zone = &self.sources.own.zone;
        let in_zone = |control: &ProcessHost| control.zone == *zone;
        !table.controls.values().any(in_zone)
            || table
                .controls
                .values()
                .any(|control| in_zone(control) && control.address == *address)
    }

    async fn follow(&mut self, address: &SharedName) -> FollowEnd {
        let (reports, receiver) = mpsc::channel(REPORT_DEPTH);
        let version = self.sources.table.borrow().version;
        let first = v1::FollowRequest {
            since: version,
            entry: Some(self.sources.own.clone().into()),
            reach: self.reach(),
        };
        let _ = reports.send(first).await;
        let opened = timeout(SILENCE_LIMIT, open(address, receiver)).await;
        let mut replies = match opened {
            Ok(Ok(replies)) => replies,
            Ok(Err(reason)) => return FollowEnd::Failed(reason),
            Err(_) => return FollowEnd::Failed("no answer".to_owned()),
        };
        log::info!(
            target: "event",
            event:display = EventNumber::ControlFollowed,
            address:display,
            directory = version;
            ""
        );
        let mut ticks = interval(REPORT_INTERVAL);
        let first_limit = if version == 0 { FIRST_SILENCE_LIMIT } else { SILENCE_LIMIT };
        let mut silence = Box::pin(sleep(first_limit));
        loop {
            tokio::select! {
                reply = replies.message() => {
                    match reply {
                        Ok(Some(reply)) => self.apply(reply),
                        Ok(None) => return FollowEnd::Failed("the replica ended".to_owned()),
                        Err(status) => return FollowEnd::Failed(status.to_string()),
                    }
                    silence.as_mut().reset(tokio::time::Instant::now() + SILENCE_LIMIT);
                    if self.turn == 0 && !self.is_nearest(address) {
                        return FollowEnd::Nearer;
                    }
                }
                note = self.sources.reachability_changes.recv() => {
                    let Some(note) = note else { continue };
                    self.take_note(note);
                    self.report(&reports);
                }
                _ = ticks.tick() => {
                    if !self.failing.is_empty() {
                        self.report(&reports);
                    }
                }
                () = &mut silence => return FollowEnd::Failed("silent".to_owned()),
            }
        }
    }

    fn apply(&self, reply: v1::FollowReply) {
        let update = DirectoryUpdate::from(reply);
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
        self.sources.table.send_replace(Arc::new(table));
    }

    fn take_note(&mut self, note: ReachabilityChange) {
        match note.failing_since {
            Some(since) => {
                self.failing.insert(note.target, (note.group, since));
            }
            None => {
                self.failing.remove(&note.target);
            }
        }
    }

    fn reach(&self) -> Vec<v1::Reach> {
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

    fn report(&self, reports: &mpsc::Sender<v1::FollowRequest>) {
        let request = v1::FollowRequest { since: 0, entry: None, reach: self.reach() };
        // A report that does not fit is followed by a newer one.
        let _ = reports.try_send(request);
    }
}

async fn open(
    address: &SharedName,
    reports: mpsc::Receiver<v1::FollowRequest>,
) -> Result<Streaming<v1::FollowReply>, String> {
    let text = |error: tonic::transport::Error| error.to_string();
    let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(text)?;
    let channel = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .connect()
        .await
        .map_err(text)?;
    let mut client = DirectoryClient::new(channel).max_decoding_message_size(MESSAGE_BYTES);
    let replies = client.follow(ReceiverStream::new(reports)).await;
    replies.map(tonic::Response::into_inner).map_err(|status: Status| status.to_string())
}
