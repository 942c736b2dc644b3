//! Inputs, outputs, messages and stored data of the replicated log.

use {
    crate::{names::SharedName, time::Micros},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Random number that identifies a replica's data folder, generated when the folder is created.
///
/// A host whose disk was lost returns with a new identity, so votes and acknowledgements of the lost disk
/// are never attributed to the empty one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ReplicaIdentity(pub u64);

impl fmt::Display for ReplicaIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Member of a cluster: a voter or a learner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Host name.
    pub host: SharedName,
    /// IP address and port of the replica's tonic listener.
    pub address: SharedName,
    /// Identity of the replica's data folder.
    pub identity: ReplicaIdentity,
    /// Whether the replica counts towards majorities; a learner only receives the log.
    pub voter: bool,
}

/// Members of one cluster, ordered by identity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSet {
    cluster: u64,
    records: Vec<MemberRecord>,
}

impl MemberSet {
    /// Creates a set from the cluster's random number and its members.
    ///
    /// Of several records with one identity, the first is kept.
    #[must_use]
    pub fn new(cluster: u64, mut records: Vec<MemberRecord>) -> Self {
        records.sort_by_key(|record| record.identity);
        records.dedup_by_key(|record| record.identity);
        Self { cluster, records }
    }

    /// Returns the random number that identifies the cluster, generated at its bootstrap; 0 before that.
    ///
    /// It prevents a data folder of another cluster from being added.
    #[must_use]
    pub const fn cluster(&self) -> u64 {
        self.cluster
    }

    /// Returns the members in the order of their identities.
    #[must_use]
    pub fn records(&self) -> &[MemberRecord] {
        &self.records
    }

    /// Returns the member with the given identity, or `None` if there is none.
    #[must_use]
    pub fn find(&self, identity: ReplicaIdentity) -> Option<&MemberRecord> {
        self.records.iter().find(|record| record.identity == identity)
    }

    /// Returns whether the given identity belongs to a voter.
    #[must_use]
    pub fn is_voter(&self, identity: ReplicaIdentity) -> bool {
        self.find(identity).is_some_and(|record| record.voter)
    }

    /// Returns the identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaIdentity> + '_ {
        self.records.iter().filter(|record| record.voter).map(|record| record.identity)
    }

    /// Returns the number of voters that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the highest value that a majority of the voters has reached, or `None` if there are no
    /// voters.
    pub fn majority_value<T, F>(&self, value_of: F) -> Option<T>
    where
        T: Ord + Copy,
        F: Fn(ReplicaIdentity) -> T,
    {
        let mut values: Vec<T> = self.voters().map(value_of).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.majority() - 1).copied()
    }

    /// Returns a copy with the given member added, or replaced if its identity is in the set.
    #[must_use]
    pub fn with(&self, record: MemberRecord) -> Self {
        let mut set = self.without(record.identity);
        set.records.push(record);
        Self::new(set.cluster, set.records)
    }

    /// Returns a copy without the given member.
    #[must_use]
    pub fn without(&self, identity: ReplicaIdentity) -> Self {
        let mut set = self.clone();
        set.records.retain(|record| record.identity != identity);
        set
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryPayload {
    /// No operation; a new leader appends it as the first entry of its term.
    Empty,
    /// Encoded command for the state machine.
    Command(Bytes),
    /// Members in effect from this entry on, committed or not.
    Members(MemberSet),
}

impl EntryPayload {
    /// Returns the approximate size in bytes, which counts towards the size limit of an append message.
    #[must_use]
    pub const fn size(&self) -> usize {
        match self {
            Self::Empty => 0,
            Self::Command(command) => command.len(),
            Self::Members(members) => members.records.len() * 64,
        }
    }
}

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Command, members or nothing.
    pub payload: EntryPayload,
}

/// Durable term, vote and commit index; term and vote ensure that a replica votes at most once per term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Replica that this replica voted for in that term, if any.
    pub vote: Option<ReplicaIdentity>,
    /// Commit index when it was last persisted; the real one may be higher.
    pub commit: u64,
}

/// Snapshot that replaces all entries up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotImage {
    /// Index of the last entry that the snapshot includes.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members in effect at that entry.
    pub members: MemberSet,
    /// Encoded state of the state machine.
    pub data: Bytes,
}

/// Message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// Identity of the sender.
    pub from: ReplicaIdentity,
    /// Identity of the receiver; any other replica drops the message.
    pub to: ReplicaIdentity,
    /// Sender's term; for a pre-vote, the term that the candidate would use.
    pub term: u64,
    /// Request or reply.
    pub body: MessageBody,
}

/// Content of a message between replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// Requests a vote or a pre-vote.
    VoteRequest {
        /// Whether to report only if a vote would be granted, without changing any term.
        pre_vote: bool,
        /// Candidate's last index.
        last_index: u64,
        /// Term of the candidate's last entry.
        last_term: u64,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the request was a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; without entries, serves as heartbeat or probe.
    AppendRequest {
        /// Index of the entry before the first of `entries`.
        previous_index: u64,
        /// Term of the entry at that index.
        previous_term: u64,
        /// Consecutive entries after `previous_index`.
        entries: Vec<LogEntry>,
        /// Leader's commit index.
        commit_index: u64,
        /// Leader's latest read confirmation round.
        round: u64,
    },
    /// Reply to an append request or a snapshot request.
    AppendReply {
        /// Whether the follower's log contained the previous entry.
        success: bool,
        /// On success, the highest synced index up to which the log is known to match the leader's;
        /// otherwise the previous index of the request, or the index of its snapshot.
        match_index: u64,
        /// On failure, the index from which the leader continues; 0 on success.
        conflict_index: u64,
        /// On success, the latest round received from this leader; otherwise the round of the request.
        round: u64,
    },
    /// Replaces the follower's log up to an index.
    SnapshotRequest {
        /// The snapshot.
        image: SnapshotImage,
        /// Leader's latest read confirmation round.
        round: u64,
    },
}

/// Addition or removal of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a learner, which becomes a voter once it has caught up.
    Add {
        /// Host name.
        host: SharedName,
        /// IP address and port of the replica's tonic listener.
        address: SharedName,
        /// Identity of the new replica's data folder.
        identity: ReplicaIdentity,
    },
    /// Removes a member.
    Remove {
        /// Identity of the member.
        identity: ReplicaIdentity,
    },
}

/// Command proposed for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogProposal {
    /// Number chosen by the caller and returned with the outcome.
    pub ticket: u64,
    /// Command for the state machine.
    pub command: Bytes,
}

/// Event or request that the caller passes to a [`LogMachine`](super::LogMachine).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogInput {
    /// Bootstraps a new cluster; ignored unless this replica has never voted or stored an entry.
    ///
    /// The caller has to ensure that the same holds for every other member.
    Bootstrap(MemberSet),
    /// Runs the timers; due at [`LogMachine::deadline`](super::LogMachine::deadline).
    Tick {
        /// Random number from which the next election timeout is derived.
        random: u64,
    },
    /// A message from another replica was received.
    Received(PeerMessage),
    /// Proposes commands, to be committed in this order.
    Propose(Vec<LogProposal>),
    /// Requests confirmation that this replica is still leader, for a linearizable read.
    ConfirmRead {
        /// Number chosen by the caller and returned with the outcome.
        ticket: u64,
    },
    /// Requests a change of one member.
    ChangeMember {
        /// Number chosen by the caller and returned with the outcome.
        ticket: u64,
        /// Requested change.
        change: MemberChange,
    },
    /// All writes up to a sequence number are durable.
    Synced {
        /// Sequence number of the last durable write.
        sequence: u64,
    },
    /// A snapshot of the local state is durable.
    SnapshotSaved(SnapshotImage),
    /// A write or sync failed; the content of the disk is undefined from then on.
    DiskFailed,
}

/// Change of the durable state; the caller carries out changes in the order of their sequence numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StorageWrite {
    /// Replaces the hard state.
    HardState(HardState),
    /// Appends entries after the last one.
    Append(Vec<LogEntry>),
    /// Removes all entries from an index on.
    Truncate {
        /// First index to remove.
        from: u64,
    },
    /// Replaces the whole log by a snapshot.
    Install(SnapshotImage),
    /// Allows removal of the entries up to an index, which a saved snapshot includes.
    Compact {
        /// Last index that is no longer needed.
        through: u64,
    },
}

/// Committed entry to apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedEntry {
    /// The entry.
    pub entry: LogEntry,
    /// Number of the proposal or member change that waits for the entry, if this replica received it.
    pub ticket: Option<u64>,
}

/// Reason for rejecting a proposal, read confirmation or member change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// This replica is not the leader.
    NotLeader {
        /// Identity of the leader, if known.
        leader: Option<ReplicaIdentity>,
    },
    /// This replica lost its leadership before the commit; the entry may still be committed.
    OutcomeUnknown,
    /// No majority replied before this replica lost its leadership; nothing was appended.
    NoMajority,
    /// Too many entries are uncommitted; nothing was appended.
    Overloaded,
    /// Another member change, or the first entry of the leader's term, is not committed yet.
    ChangePending,
    /// The member change does not apply to the current members; the text says why.
    InvalidChange(String),
    /// The disk of this replica has failed.
    DiskFailed,
}

/// Action that the caller of a [`LogMachine`](super::LogMachine) has to carry out, in the order returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// Sends a message to another replica.
    Send(PeerMessage),
    /// Writes to the disk; the caller reports the sequence number with [`LogInput::Synced`].
    Write {
        /// Number of the write; increases by one with each write.
        sequence: u64,
        /// Change to write.
        write: StorageWrite,
    },
    /// Applies committed entries to the state machine.
    Apply(Vec<AppliedEntry>),
    /// Replaces the state of the state machine by a snapshot.
    Restore(SnapshotImage),
    /// Allows a read from the applied state.
    ReadConfirmed {
        /// Number that the caller passed with the request.
        ticket: u64,
        /// Index that the applied state includes once the preceding outputs are carried out.
        index: u64,
        /// Time after which the confirmation is no longer valid.
        valid_until: Micros,
    },
    /// Reports that a proposal, read confirmation or member change was rejected.
    Rejected {
        /// Number that the caller passed with the request.
        ticket: u64,
        /// Reason for the rejection.
        reason: RejectReason,
    },
    /// Reports a change of the role, the term or the known leader.
    RoleChanged {
        /// Current term.
        term: u64,
        /// Whether this replica is the leader.
        leading: bool,
        /// Identity of the leader, if known.
        leader: Option<ReplicaIdentity>,
    },
    /// Reports the new members in effect.
    MembersChanged(MemberSet),
}
