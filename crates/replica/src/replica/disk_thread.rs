//! Thread that owns the storage and makes several writes durable with one sync.

use {
    crate::storage::{DiskAccess, DiskRoom, LogStorage, StorageError},
    banyansill_core::consensus::{SnapshotImage, StorageWrite},
    std::{
        io,
        sync::mpsc::{Receiver, Sender, channel},
        thread::{self, JoinHandle},
    },
    tokio::sync::mpsc,
};

/// Maximum number of writes that share one sync.
const MAX_BATCH_WRITES: usize = 1_024;

/// Job for the storage thread.
#[derive(Debug)]
pub(super) enum DiskJob {
    /// Carry out a write.
    Write {
        /// Sequence number of the write.
        sequence: u64,
        /// The write.
        write: StorageWrite,
    },
    /// Save a snapshot of the applied state.
    Snapshot(SnapshotImage),
}

/// Result reported by the storage thread.
#[derive(Debug)]
pub(super) enum DiskReport {
    /// All writes up to a sequence number are durable.
    Synced(u64),
    /// A snapshot is durable.
    SnapshotSaved(SnapshotImage),
    /// An operation failed; the thread has ended.
    Failed(StorageError),
}

/// Running storage thread, which ends once the job sender is dropped and the queue is empty.
#[derive(Debug)]
pub(super) struct DiskThread {
    pub(super) jobs: Sender<DiskJob>,
    pub(super) reports: mpsc::UnboundedReceiver<DiskReport>,
    pub(super) thread: JoinHandle<()>,
    pub(super) room: DiskRoom,
}

impl DiskThread {
    pub(super) fn spawn<D>(storage: LogStorage<D>) -> io::Result<Self>
    where
        D: DiskAccess,
        LogStorage<D>: Send,
    {
        let room = storage.room();
        let (jobs, queue) = channel();
        let (report_sender, reports) = mpsc::unbounded_channel();
        let thread = thread::Builder::new().name("log-storage".to_owned()).spawn(move || {
            if let Err(error) = run(storage, &queue, &report_sender) {
                let _ = report_sender.send(DiskReport::Failed(error));
            }
        })?;
        Ok(Self { jobs, reports, thread, room })
    }
}

fn run<D>(
    mut storage: LogStorage<D>,
    queue: &Receiver<DiskJob>,
    report_sender: &mpsc::UnboundedSender<DiskReport>,
) -> Result<(), StorageError>
where
    D: DiskAccess,
{
    let mut writes = Vec::new();
    while let Ok(job) = queue.recv() {
        let mut next = Some(job);
        let mut last = 0;
        let mut image = None;
        while let Some(job) = next.take() {
            match job {
                DiskJob::Write { sequence, write } => {
                    last = sequence;
                    writes.push(write);
                }
                DiskJob::Snapshot(snapshot) => {
                    image = Some(snapshot);
                    break;
                }
            }
            if writes.len() >= MAX_BATCH_WRITES {
                break;
            }
            next = queue.try_recv().ok();
        }
        if !writes.is_empty() {
            storage.write(&writes)?;
            writes.clear();
            let _ = report_sender.send(DiskReport::Synced(last));
        }
        if let Some(image) = image {
            storage.save_snapshot(&image)?;
            let _ = report_sender.send(DiskReport::SnapshotSaved(image));
        }
    }
    Ok(())
}
