//! Replicated log (Raft): elections, replication, read confirmation and membership, without I/O.
//!
//! [`LogMachine`] takes the current time and one [`LogInput`] per step and returns [`LogOutput`]s. The
//! caller owns the disk, the network and the applied state. Every [`StorageWrite`] has a sequence number.
//! Votes and append replies are output only after the caller has reported with [`LogInput::Synced`] that
//! all writes they depend on are durable.

mod election;
mod entry_log;
mod follower;
mod leader;
mod machine;
mod progress;
mod reads;
mod repair;
mod types;

pub use {
    entry_log::EntryLog,
    machine::{LogMachine, RestoredLog},
    repair::{MemberContact, RepairReason, RepairStep, WaitingReplica, next_repair},
    types::{
        AppliedEntry, EntryPayload, HardState, LogEntry, LogInput, LogOutput, LogProposal,
        MemberChange, MemberRecord, MemberSet, MessageBody, PeerMessage, RejectReason,
        ReplicaIdentity, SnapshotImage, StorageWrite,
    },
};

use crate::time::Micros;

/// Interval at which a leader sends heartbeats.
pub const LEADER_HEARTBEAT_INTERVAL: Micros = Micros::from_millis(100);

/// Shortest election timeout; a replica that received a message from a leader within it grants no vote.
pub const ELECTION_TIMEOUT_MIN: Micros = Micros::from_millis(400);

/// Longest election timeout; a leader without replies from a majority for this long steps down.
pub const ELECTION_TIMEOUT_MAX: Micros = Micros::from_millis(800);

/// Shortest election timeout of a replica that has had no leader since it started.
///
/// It is shorter than usual because the cluster is unavailable until a leader is elected when all replicas
/// start together. It does not disturb a running leader, which reaches a restarted replica within two
/// heartbeats and whose followers reject the early pre-vote.
pub const FIRST_ELECTION_TIMEOUT_MIN: Micros = Micros::from_millis(150);

/// Longest election timeout of a replica that has had no leader since it started.
pub const FIRST_ELECTION_TIMEOUT_MAX: Micros = Micros::from_millis(350);

/// Minimum interval between writes of the commit index.
///
/// After all replicas have crashed, the persisted commit index lets them serve committed entries without
/// waiting for an election, which takes about 0.5 s. Writing it with every entry would double the number
/// of syncs.
pub const COMMIT_PERSIST_INTERVAL: Micros = Micros::from_millis(500);

/// Maximum number of append messages in flight to one follower.
pub const MAX_APPENDS_IN_FLIGHT: usize = 16;

/// Maximum number of entries in one append message.
pub const MAX_APPEND_ENTRIES: usize = 128;

/// Maximum payload bytes in one append message, unless its first entry alone is larger.
pub const MAX_APPEND_BYTES: usize = 256 * 1024;

/// Maximum number of uncommitted entries; a leader rejects proposals beyond it.
pub const MAX_UNCOMMITTED_ENTRIES: u64 = 8_192;

/// Number of entries retained before a snapshot, so that a follower a few entries behind needs no snapshot.
pub const RETAINED_ENTRIES: u64 = 256;

/// Time after which a snapshot that a follower has not acknowledged is sent again.
pub const SNAPSHOT_RESEND_TIMEOUT: Micros = Micros::from_secs(2);
