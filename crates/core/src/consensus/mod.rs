//! Replicated log: elections, replication, read confirmation and membership, without I/O.
//!
//! [`LogMachine`] takes the time and one [`LogInput`] per step and returns [`LogOutput`]s. The caller
//! owns the disk, the network and the applied state. Every [`StorageWrite`] has a sequence number;
//! votes and append replies leave the machine only after the caller has reported the sequence of
//! everything they depend on with [`LogInput::Synced`].

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

/// Interval between heartbeats of a leader.
pub const LEADER_HEARTBEAT: Micros = Micros::from_millis(100);

/// Shortest election timeout; a replica that heard from a leader within it grants no vote.
pub const ELECTION_MIN: Micros = Micros::from_millis(400);

/// Longest election timeout; a leader without a majority for this long steps down.
pub const ELECTION_MAX: Micros = Micros::from_millis(800);

/// Shortest election timeout of a replica that has heard no leader since it started.
///
/// When all replicas start together nobody serves until one is elected. A running leader reaches a
/// replica that restarts within two heartbeats, and its followers refuse the early pre-vote.
pub const FIRST_ELECTION_MIN: Micros = Micros::from_millis(150);

/// Longest election timeout of a replica that has heard no leader since it started.
pub const FIRST_ELECTION_MAX: Micros = Micros::from_millis(350);

/// Interval at which a replica writes down how far entries are committed.
///
/// After a loss of all replicas they serve what they know without waiting for a leader, which takes about
/// 0.5 s; writing it with every entry would double the number of syncs.
pub const COMMIT_NOTE_INTERVAL: Micros = Micros::from_millis(500);

/// Append messages in flight to one follower.
pub const APPEND_WINDOW: usize = 16;

/// Entries in one append message.
pub const APPEND_ENTRIES: usize = 128;

/// Payload bytes in one append message, unless its first entry alone is larger.
pub const APPEND_BYTES: usize = 256 * 1024;

/// Uncommitted entries above which a leader refuses proposals.
pub const UNCOMMITTED_LIMIT: u64 = 8_192;

/// Entries kept before a snapshot, so that a follower a few entries behind needs no snapshot.
pub const KEPT_ENTRIES: u64 = 256;

/// Time after which a snapshot that a follower did not confirm is sent again.
pub const SNAPSHOT_RESEND: Micros = Micros::from_secs(2);
