//! Streams of directory updates to the entries that follow this replica.

use {
    crate::{node::DirectoryNode, reachability::EntryReports},
    banyansill_core::directory::{DirectoryCommand, DirectoryState, ProcessHost, ProcessKind},
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
    pub(crate) replies: mpsc::Sender<Result<v1::FollowReply, Status>>,
    pub(crate) stopping: watch::Receiver<bool>,
}

impl<L> FollowStream<L>
where
    L: CommandLog<Machine = DirectoryState>,
{
    /// Serves the follower until it disconnects or this replica stops.
    pub(crate) async fn run(self, mut requests: Streaming<v1::FollowRequest>) {
        let Ok(Some(first)) = requests.message().await else { return };
        let entry = ProcessHost::from(first.entry.unwrap_or_default());
        let host = entry.host.clone();
        let number = self.followers.open_stream(&host);
        self.record_reach(&entry, first.reach);
        let recorder = tokio::spawn(keep_recorded(self.node.clone(), entry.clone()));
        let reports = async {
            while let Ok(Some(report)) = requests.message().await {
                self.record_reach(&entry, report.reach);
            }
        };
        let mut stopping = self.stopping.clone();
        tokio::select! {
            () = reports => {}
            () = self.send_updates(first.since) => {}
            _ = stopping.wait_for(|stop| *stop) => {}
        }
        recorder.abort();
        self.followers.close_stream(&host, number);
    }

    fn record_reach(&self, entry: &ProcessHost, reach: Vec<v1::Reach>) {
        let report = v1::EntryReach {
            entry: entry.host.to_string(),
            address: entry.address.to_string(),
            reach,
        };
        self.followers.record(report, self.node.clock.now());
    }

    async fn send_updates(&self, mut since: u64) {
        let mut status = self.node.log.status();
        loop {
            let has_leader = status.borrow_and_update().leader.is_some();
            let update = self.node.log.inspect(move |state| state.update_since(since)).await;
            let Ok(update) = update else { return };
            let keepalive = Instant::now() + KEEPALIVE_INTERVAL;
            if let Some(update) = update {
                since = update.version;
                if self.replies.send(Ok(update.into())).await.is_err() {
                    return;
                }
                sleep(UPDATE_INTERVAL).await;
            } else if has_leader {
                // A replica without a leader sends no empty messages, so that its followers switch to another one.
                if self.replies.send(Ok(v1::FollowReply::default())).await.is_err() {
                    return;
                }
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
            tokio::select! {
                running = changed => if !running { return },
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
