//! Simulated host: replica, applied state and fake disk.

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

/// Fault injected into the fake disk, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    None,
    /// Reports a write as synced before it is.
    AcknowledgeBeforeSync,
    /// Keeps the old identity after its content was lost.
    KeepIdentity,
}

#[derive(Clone, Debug)]
enum DiskOperation {
    Write { sequence: u64, write: StorageWrite },
    Snapshot(SnapshotImage),
}

pub struct SimulatedHost {
    pub identity: ReplicaIdentity,
    /// All identities that the host has had, the current one last.
    pub identities: Vec<ReplicaIdentity>,
    pub machine: Option<LogMachine>,
    /// Number of process starts; events for an earlier process are dropped.
    pub incarnation: u64,
    pub paused_until: u64,
    /// Index of the last applied entry.
    pub applied: u64,
    /// Commands applied so far; each is the ticket of its write.
    pub commands: Vec<u64>,
    pub snapshot_index: u64,
    clock_offset: u64,
    fault: DiskFault,
    durable: RestoredLog,
    queue: Vec<DiskOperation>,
}

impl SimulatedHost {
    pub fn new(identity: ReplicaIdentity, clock_offset: u64, fault: DiskFault) -> Self {
        Self {
            identity,
            identities: vec![identity],
            machine: None,
            incarnation: 0,
            paused_until: 0,
            applied: 0,
            commands: Vec::new(),
            snapshot_index: 0,
            clock_offset,
            fault,
            durable: RestoredLog::default(),
            queue: Vec::new(),
        }
    }

    /// Returns the time on the host's own clock, which has an clock_offset from the simulated time.
    pub const fn local_time(&self, now: u64) -> Micros {
        Micros(now + self.clock_offset)
    }

    pub fn start(&mut self, now: u64, random: u64) {
        self.incarnation += 1;
        self.paused_until = 0;
        let restored = self.durable.clone();
        self.restore(restored.snapshot.index, decode_commands(&restored.snapshot.data));
        self.machine = Some(LogMachine::new(self.identity, restored, self.local_time(now), random));
    }

    /// Ends the process; a random prefix of the queued writes has reached the disk.
    pub fn crash(&mut self, keep: usize) {
        if self.machine.take().is_none() {
            return;
        }
        let queue = std::mem::take(&mut self.queue);
        let durable_count = if queue.is_empty() { 0 } else { keep % (queue.len() + 1) };
        for operation in queue.into_iter().take(durable_count) {
            self.make_durable(operation);
        }
    }

    pub fn erase_disk(&mut self, new_identity: ReplicaIdentity) {
        self.durable = RestoredLog::default();
        if self.fault != DiskFault::KeepIdentity {
            self.identity = new_identity;
            self.identities.push(new_identity);
        }
    }

    /// Queues a write and returns whether the injected fault reports it as synced at once.
    pub fn write(&mut self, sequence: u64, write: StorageWrite) -> bool {
        self.queue.push(DiskOperation::Write { sequence, write });
        self.fault == DiskFault::AcknowledgeBeforeSync
    }

    pub fn save_snapshot(&mut self, image: SnapshotImage) {
        self.snapshot_index = image.index;
        self.queue.push(DiskOperation::Snapshot(image));
    }

    /// Syncs all queued writes and returns the resulting inputs of the replica.
    pub fn sync_queue(&mut self) -> Vec<LogInput> {
        let mut inputs = Vec::new();
        for operation in std::mem::take(&mut self.queue) {
            inputs.push(match &operation {
                DiskOperation::Write { sequence, .. } => LogInput::Synced { sequence: *sequence },
                DiskOperation::Snapshot(image) => LogInput::SnapshotSaved(image.clone()),
            });
            self.make_durable(operation);
        }
        inputs
    }

    fn make_durable(&mut self, operation: DiskOperation) {
        let durable = &mut self.durable;
        match operation {
            DiskOperation::Snapshot(image)
            | DiskOperation::Write { write: StorageWrite::Install(image), .. }
                if image.index <= durable.snapshot.index => {}
            DiskOperation::Snapshot(image) => durable.snapshot = image,
            DiskOperation::Write { write, .. } => match write {
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

    /// Applies an entry and returns the number of commands applied so far.
    pub fn apply(&mut self, entry: &LogEntry) -> usize {
        assert_eq!(entry.index, self.applied + 1, "entries are applied in order");
        self.applied = entry.index;
        if let EntryPayload::Command(command) = &entry.payload {
            self.commands.extend(decode_commands(command));
        }
        self.commands.len()
    }

    pub fn restore(&mut self, index: u64, commands: Vec<u64>) {
        self.applied = index;
        self.snapshot_index = index;
        self.commands = commands;
    }
}

pub fn encode_commands(commands: &[u64]) -> Bytes {
    let mut bytes = Vec::with_capacity(commands.len() * 8);
    for value in commands {
        bytes.extend_from_slice(&value.to_le_bytes());
    }
    Bytes::from(bytes)
}

pub fn decode_commands(bytes: &[u8]) -> Vec<u64> {
    let mut commands = Vec::with_capacity(bytes.len() / 8);
    for chunk in bytes.chunks_exact(8) {
        commands.push(u64::from_le_bytes(chunk.try_into().unwrap()));
    }
    commands
}
