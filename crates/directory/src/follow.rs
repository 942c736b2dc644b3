//! Streams of updates for entries.

use {
    crate::{node::DirectoryNode, reachability::ReachTable},
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

/// Updates that wait for a slow follower before its changes are merged.
pub(crate) const FOLLOW_DEPTH: usize = 4;

/// Interval of messages without content; a follower leaves a replica after 1.2 s of silence.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);

/// Least time between two updates, so that many changes in a row go out together.
const UPDATE_GAP: Duration = Duration::from_millis(40);

/// Wait before the record of an entry is tried again.
const RECORD_RETRY: Duration = Duration::from_millis(300);

/// Interval at which the record of an entry is looked at; it is removed if reports are lost for long.
const RECORD_LOOK: Duration = Duration::from_secs(2);

/// One follower.
pub(crate) struct FollowStream<L> {
    pub(crate) node: DirectoryNode<L>,
    pub(crate) followers: ReachTable,
    pub(crate) replies: mpsc::Sender<Result<v1::FollowReply, Status>>,
    pub(crate) stopping: watch::Receiver<bool>,
}

impl<L> FollowStream<L>
where
    L: CommandLog<Machine = DirectoryState>,
{
    /// Serves a follower until it leaves, the replica stops or its process ends.
    pub(crate) async fn run(self, mut requests: Streaming<v1::FollowRequest>) {
        let Ok(Some(first)) = requests.message().await else { return };
        let entry = ProcessHost::from(first.entry.unwrap_or_default());
        let host = entry.host.clone();
        self.note_reach(&entry, first.reach);
        let recorder = tokio::spawn(record(self.node.clone(), entry.clone()));
        let reports = async {
            while let Ok(Some(report)) = requests.message().await {
                self.note_reach(&entry, report.reach);
            }
        };
        let mut stopping = self.stopping.clone();
        tokio::select! {
            () = reports => {}
            () = self.send_updates(first.since) => {}
            _ = stopping.wait_for(|stop| *stop) => {}
        }
        recorder.abort();
        self.followers.remove(&host);
    }

    fn note_reach(&self, entry: &ProcessHost, reach: Vec<v1::Reach>) {
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
            let in_touch = status.borrow_and_update().leader.is_some();
            let update = self.node.log.inspect(move |state| state.update_since(since)).await;
            let Ok(update) = update else { return };
            let keepalive = Instant::now() + KEEPALIVE_INTERVAL;
            if let Some(update) = update {
                since = update.version;
                if self.replies.send(Ok(update.into())).await.is_err() {
                    return;
                }
                sleep(UPDATE_GAP).await;
            } else if in_touch {
                // Only a replica in touch with its leader keeps its followers.
                if self.replies.send(Ok(v1::FollowReply::default())).await.is_err() {
                    return;
                }
            }
            let current = since;
            let changed = async {
                loop {
                    if status.changed().await.is_err() {
                        return false;
                    }
                    let version = self.node.log.inspect(DirectoryState::version).await;
                    if version.is_ok_and(|version| version > current) {
                        return true;
                    }
                }
            };
            tokio::select! {
                more = changed => if !more { return },
                () = sleep_until(keepalive) => {}
                () = self.replies.closed() => return,
            }
        }
    }
}

/// Keeps an entry recorded in the directory.
async fn record<L>(node: DirectoryNode<L>, entry: ProcessHost)
where
    L: CommandLog<Machine = DirectoryState>,
{
    loop {
        let host = entry.host.clone();
        let known = node.log.inspect(move |state| state.entries().get(&host).cloned()).await;
        if known.is_ok_and(|known| known.as_ref() == Some(&entry)) {
            sleep(RECORD_LOOK).await;
            continue;
        }
        if node.log.status().borrow().leader.is_none() {
            sleep(RECORD_RETRY).await;
            continue;
        }
        let kind = ProcessKind::Entry;
        let command = DirectoryCommand::RecordProcess { kind, process: entry.clone() };
        // Looked at again below.
        let _ = node.change(&command, "record of an entry").await;
        sleep(RECORD_RETRY).await;
    }
}
