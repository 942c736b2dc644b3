//! Streams of directory updates to the entries that follow this replica.

use {
    crate::{
        confirm::{PendingProbes, ProbeBoard},
        node::DirectoryNode,
        reachability::EntryReports,
    },
    banyansill_core::{
        directory::{DirectoryCommand, DirectoryState, ProcessHost, ProcessKind},
        names::SharedName,
        team_limit::TeamUsage,
    },
    banyansill_replica::command_log::CommandLog,
    banyansill_wire::directory_v1 as v1,
    std::time::Duration,
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep, sleep_until},
    },
    tonic::{Status, Streaming},
};

/// Maximum number of updates queued for a slow follower; later changes are merged into one update.
pub(crate) const FOLLOWER_QUEUE_CAPACITY: usize = 4;

/// Interval of empty messages; a follower switches to another replica after 1.2 s without a message.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum time between two updates, so that several successive changes are sent as one.
const UPDATE_INTERVAL: Duration = Duration::from_millis(40);

/// Wait before the record of an entry is checked again after an attempt to write it.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which the record of an entry is checked; the leader removes it if the entry's reports are lost for
/// long.
const RECORD_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Update stream of one follower.
pub(crate) struct FollowStream<L> {
    pub(crate) node: DirectoryNode<L>,
    pub(crate) followers: EntryReports,
    pub(crate) probes: ProbeBoard,
    pub(crate) replies: mpsc::Sender<Result<v1::FollowReply, Status>>,
    pub(crate) stopping: watch::Receiver<bool>,
}

impl<L> FollowStream<L>
where
    L: CommandLog<Machine = DirectoryState>,
{
    /// Serves the follower until it disconnects or this replica stops.
    pub(crate) async fn run(self, mut requests: Streaming<v1::FollowRequest>) {
        let Ok(Some(mut first)) = requests.message().await else { return };
        let entry = ProcessHost::from(first.entry.take().unwrap_or_default());
        let host = entry.host.clone();
        let since = first.since;
        let pending = PendingProbes::default();
        let number = self.followers.open_stream(&host);
        self.record(&entry, first, &pending);
        let recorder = tokio::spawn(keep_recorded(self.node.clone(), entry.clone()));
        let reports = async {
            while let Ok(Some(report)) = requests.message().await {
                self.record(&entry, report, &pending);
            }
        };
        let mut stopping = self.stopping.clone();
        tokio::select! {
            () = reports => {}
            () = self.send_updates(since, &host, &pending) => {}
            _ = stopping.wait_for(|stop| *stop) => {}
        }
        recorder.abort();
        if self.followers.close_stream(&host, number) {
            self.probes.remove(&host);
        }
    }

    fn record(&self, entry: &ProcessHost, request: v1::FollowRequest, pending: &PendingProbes) {
        let now = self.node.clock.now();
        if request.probe > 0 {
            let usage: Vec<TeamUsage> = request.usage.into_iter().map(TeamUsage::from).collect();
            pending.add(self.probes.record(&entry.host, &usage, now), request.probe);
        }
        let report = v1::EntryReach {
            entry: entry.host.to_string(),
            address: entry.address.to_string(),
            reach: request.reach,
        };
        self.followers.record(report, now);
    }

    async fn send_updates(&self, mut since: u64, host: &SharedName, pending: &PendingProbes) {
        let mut status = self.node.log.status();
        let mut rounds = self.probes.rounds();
        let mut bounds = self.probes.bounded();
        loop {
            let has_leader = status.borrow_and_update().leader.is_some();
            let round = *rounds.borrow_and_update();
            let bounded = *bounds.borrow_and_update();
            let update = self.node.log.inspect(move |state| state.update_since(since)).await;
            let Ok(update) = update else { return };
            let keepalive = Instant::now() + KEEPALIVE_INTERVAL;
            let updated = update.is_some();
            let mut reply = update.map(v1::FollowReply::from).unwrap_or_default();
            if updated {
                since = reply.version;
            }
            // A confirmation must not precede the update to its version.
            let confirmed = if since >= round.version { pending.take(round) } else { None };
            if let Some(probe) = confirmed {
                reply.confirmed_probe = probe;
                reply.confirmed_version = round.version;
            }
            let bounded = if confirmed.is_none() { pending.take_bounded(bounded) } else { None };
            reply.bounded_probe = bounded.unwrap_or_default();
            reply.leaderless = !has_leader && !updated && confirmed.is_none();
            if confirmed.is_some() || bounded.is_some() {
                for pace in self.probes.paces_for(host, self.node.clock.now()) {
                    reply.paces.push(pace.into());
                }
            }
            // A replica without a leader sends no empty messages, so that its followers switch to another one.
            if (updated || confirmed.is_some() || bounded.is_some() || has_leader)
                && self.replies.send(Ok(reply)).await.is_err()
            {
                return;
            }
            if updated {
                sleep(UPDATE_INTERVAL).await;
            }
            let sent_version = since;
            let changed = async {
                loop {
                    if status.changed().await.is_err() {
                        return false;
                    }
                    let version = self.node.log.inspect(DirectoryState::version).await;
                    if version.is_ok_and(|version| version > sent_version) {
                        return true;
                    }
                }
            };
            let probe_confirmed = async {
                while rounds.changed().await.is_ok() {
                    let round = *rounds.borrow_and_update();
                    if pending.includes_any(round) {
                        return;
                    }
                }
            };
            let probe_bounded = async {
                while bounds.changed().await.is_ok() {
                    let bounded = *bounds.borrow_and_update();
                    if pending.includes_bounded(bounded) {
                        return;
                    }
                }
            };
            tokio::select! {
                running = changed => if !running { return },
                () = probe_confirmed => {}
                () = probe_bounded => {}
                () = sleep_until(keepalive) => {}
                () = self.replies.closed() => return,
            }
        }
    }
}

/// Keeps an entry recorded in the directory until the task is aborted.
async fn keep_recorded<L>(node: DirectoryNode<L>, entry: ProcessHost)
where
    L: CommandLog<Machine = DirectoryState>,
{
    loop {
        let host = entry.host.clone();
        let recorded = node.log.inspect(move |state| state.entries().get(&host).cloned()).await;
        if recorded.is_ok_and(|recorded| recorded.as_ref() == Some(&entry)) {
            sleep(RECORD_CHECK_INTERVAL).await;
            continue;
        }
        if node.log.status().borrow().leader.is_none() {
            sleep(RECORD_RETRY_INTERVAL).await;
            continue;
        }
        let kind = ProcessKind::Entry;
        let command = DirectoryCommand::RecordProcess { kind, process: entry.clone() };
        // The next round checks whether it was recorded.
        let _ = node.change(&command, "record of an entry").await;
        sleep(RECORD_RETRY_INTERVAL).await;
    }
}
