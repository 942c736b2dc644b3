//! Streams of state changes to entries and other watchers.

use {
    crate::{
        command_log::{CommandLog, LogStatus},
        view,
    },
    banyansill_core::cluster::{ChangeSet, ChangedItem, ClusterState},
    banyansill_runtime::events::EventSink,
    banyansill_wire::v1,
    tokio::sync::{mpsc, watch},
    tonic::Status,
};

/// Most replies queued for a slow watcher; while the queue is full, further changes are merged.
pub const WATCH_QUEUE_CAPACITY: usize = 8;

/// Most database groups in one reply; keeps replies well under the 4 MiB that tonic accepts.
const MAX_GROUPS_PER_REPLY: usize = 1_000;

/// Sends the changes after version `since` until the watcher disconnects or the replica stops.
pub async fn run<L>(
    log: L,
    events: EventSink,
    mut since: u64,
    replies: mpsc::Sender<Result<v1::WatchReply, Status>>,
    mut stopping: watch::Receiver<bool>,
) where
    L: CommandLog<Machine = ClusterState>,
{
    let mut status: watch::Receiver<LogStatus> = log.status();
    let mut started = false;
    loop {
        status.borrow_and_update();
        let known = since;
        let first = !started;
        let batch = match log.inspect(move |state| replies_since(state, known, first)).await {
            Ok(batch) => batch,
            Err(error) => {
                let _ = replies.send(Err(Status::unavailable(error.to_string()))).await;
                return;
            }
        };
        for mut reply in batch {
            reply.stamp = Some(view::current_stamp(&events));
            started = true;
            since = reply.version;
            if replies.send(Ok(reply)).await.is_err() {
                return;
            }
        }
        tokio::select! {
            changed = status.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = replies.closed() => return,
            _ = stopping.wait_for(|stop| *stop) => return,
        }
    }
}

fn replies_since(state: &ClusterState, since: u64, first: bool) -> Vec<v1::WatchReply> {
    match state.changes_since(since) {
        ChangeSet::Ahead | ChangeSet::Unchanged => Vec::new(),
        // The state is empty until the first command; a watcher needs that reply only once.
        ChangeSet::Reset if state.version() == since && !first => Vec::new(),
        ChangeSet::Reset => split_reply(full_reply(state)),
        ChangeSet::Items(items) => {
            let mut reply =
                v1::WatchReply { version: state.version(), ..v1::WatchReply::default() };
            for item in items {
                add_item(state, item, &mut reply);
            }
            split_reply(reply)
        }
    }
}

fn full_reply(state: &ClusterState) -> v1::WatchReply {
    let mut reply = v1::WatchReply {
        reset: true,
        version: state.version(),
        sheet: view::sheet_view(state),
        ..v1::WatchReply::default()
    };
    for (name, group) in state.databases() {
        reply.databases.push(view::database_view(state, name, group));
    }
    for record in state.entries().values() {
        if record.live {
            reply.entries.push(view::entry_view(record));
        }
    }
    reply
}

fn add_item(state: &ClusterState, item: ChangedItem, reply: &mut v1::WatchReply) {
    match item {
        ChangedItem::Sheet => reply.sheet = view::sheet_view(state),
        ChangedItem::Database(name) => {
            if let Some(group) = state.databases().get(&name) {
                reply.databases.push(view::database_view(state, &name, group));
            }
        }
        ChangedItem::Entry(host) => match state.entries().get(&host) {
            Some(record) if record.live => reply.entries.push(view::entry_view(record)),
            _ => reply.removed_entries.push(host.to_string()),
        },
    }
}

/// Splits a reply with many groups; all parts but the last are marked as partial.
fn split_reply(mut reply: v1::WatchReply) -> Vec<v1::WatchReply> {
    let mut parts = Vec::new();
    while reply.databases.len() > MAX_GROUPS_PER_REPLY {
        let rest = reply.databases.split_off(MAX_GROUPS_PER_REPLY);
        let version = reply.version;
        reply.partial = true;
        parts.push(std::mem::take(&mut reply));
        reply.version = version;
        reply.databases = rest;
    }
    parts.push(reply);
    parts
}
