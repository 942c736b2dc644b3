//! Simulated host: machine, applied state and fake disk.

use {
    banyansill_core::{
        consensus::{
            EntryPayload, LogEntry, LogInput, LogMachine, ReplicaIdentity, RestoredLog,
            SnapshotImage, StorageWrite,
        },
        time::Micros,
    },
    bytes::Bytes,
};

/// Planted fault of the fake disk, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    None,
    /// Reports a write as synced before it is.
    AnswerBeforeSync,
    /// Comes back empty under its old identity after its content was lost.
    KeepIdentity,
}

#[derive(Clone, Debug)]
enum DiskWork {
    Write { sequence: u64, write: StorageWrite },
    Snapshot(SnapshotImage),
}

pub struct SimulatedHost {
    pub identity: ReplicaIdentity,
    /// All identities that the host has had.
    pub identities: Vec<ReplicaIdentity>,
    pub machine: Option<LogMachine>,
    /// Number of the process; events of earlier processes are dropped.
    pub life: u64,
    pub paused_until: u64,
    pub applied: u64,
    pub list: Vec<u64>,
    pub snapshot_index: u64,
    offset: u64,
    fault: DiskFault,
    durable: RestoredLog,
    queue: Vec<DiskWork>,
}

impl SimulatedHost {
    pub fn new(identity: ReplicaIdentity, offset: u64, fault: DiskFault) -> Self {
        Self {
            identity,
            identities: vec![identity],
            machine: None,
            life: 0,
            paused_until: 0,
            applied: 0,
            list: Vec::new(),
            snapshot_index: 0,
            offset,
            fault,
            durable: RestoredLog::default(),
            queue: Vec::new(),
        }
    }

    /// Time on the host's own clock.
    pub const fn local(&self, now: u64) -> Micros {
        Micros(now + self.offset)
    }

    pub fn start(&mut self, now: u64, random: u64) {
        self.life += 1;
        self.paused_until = 0;
        let restored = self.durable.clone();
        self.restore(restored.snapshot.index, decode_list(&restored.snapshot.data));
        self.machine = Some(LogMachine::new(self.identity, restored, self.local(now), random));
    }

    /// Ends the process; of the queued writes a random prefix has reached the disk.
    pub fn crash(&mut self, keep: usize) {
        if self.machine.take().is_none() {
            return;
        }
        let queue = std::mem::take(&mut self.queue);
        let kept = if queue.is_empty() { 0 } else { keep % (queue.len() + 1) };
        for work in queue.into_iter().take(kept) {
            self.make_durable(work);
        }
    }

    pub fn lose_disk(&mut self, fresh: ReplicaIdentity) {
        self.durable = RestoredLog::default();
        if self.fault != DiskFault::KeepIdentity {
            self.identity = fresh;
            self.identities.push(fresh);
        }
    }

    /// Queues a write; returns whether the planted fault reports it at once.
    pub fn write(&mut self, sequence: u64, write: StorageWrite) -> bool {
        self.queue.push(DiskWork::Write { sequence, write });
        self.fault == DiskFault::AnswerBeforeSync
    }

    pub fn save_snapshot(&mut self, image: SnapshotImage) {
        self.snapshot_index = image.index;
        self.queue.push(DiskWork::Snapshot(image));
    }

    /// Syncs everything queued and returns what the machine learns of it.
    pub fn finish_disk_work(&mut self) -> Vec<LogInput> {
        let mut inputs = Vec::new();
        for work in std::mem::take(&mut self.queue) {
            inputs.push(match &work {
                DiskWork::Write { sequence, .. } => LogInput::Synced { sequence: *sequence },
                DiskWork::Snapshot(image) => LogInput::SnapshotSaved(image.clone()),
            });
            self.make_durable(work);
        }
        inputs
    }

    fn make_durable(&mut self, work: DiskWork) {
        let durable = &mut self.durable;
        match work {
            DiskWork::Snapshot(image)
            | DiskWork::Write { write: StorageWrite::Install(image), .. }
                if image.index <= durable.snapshot.index => {}
            DiskWork::Snapshot(image) => durable.snapshot = image,
            DiskWork::Write { write, .. } => match write {
                StorageWrite::HardState(state) => durable.hard_state = state,
                StorageWrite::Append(entries) => durable.entries.extend(entries),
                StorageWrite::Truncate { from } => {
                    durable.entries.retain(|entry| entry.index < from);
                }
                StorageWrite::Install(image) => {
                    durable.base = (image.index, image.term);
                    durable.entries.clear();
                    durable.snapshot = image;
                }
                StorageWrite::Compact { through } => {
                    for entry in &durable.entries {
                        if entry.index <= through {
                            durable.base = (entry.index, entry.term);
                        }
                    }
                    durable.entries.retain(|entry| entry.index > through);
                }
            },
        }
    }

    /// Applies an entry and returns the number of commands so far.
    pub fn apply(&mut self, entry: &LogEntry) -> usize {
        assert_eq!(entry.index, self.applied + 1, "entries are applied in order");
        self.applied = entry.index;
        if let EntryPayload::Command(command) = &entry.payload {
            self.list.extend(decode_list(command));
        }
        self.list.len()
    }

    pub fn restore(&mut self, index: u64, list: Vec<u64>) {
        self.applied = index;
        self.snapshot_index = index;
        self.list = list;
    }
}

pub fn encode_list(list: &[u64]) -> Bytes {
    let mut bytes = Vec::with_capacity(list.len() * 8);
    for value in list {
        bytes.extend_from_slice(&value.to_le_bytes());
    }
    Bytes::from(bytes)
}

pub fn decode_list(bytes: &[u8]) -> Vec<u64> {
    let mut list = Vec::with_capacity(bytes.len() / 8);
    for chunk in bytes.chunks_exact(8) {
        list.push(u64::from_le_bytes(chunk.try_into().unwrap()));
    }
    list
}
