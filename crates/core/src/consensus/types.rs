//! Plain data that enters and leaves the log machine.

use {
    crate::{names::SharedName, time::Micros},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Random number that a data folder gets when it is created.
///
/// A host whose disk was lost comes back under a new identity, so votes and acknowledgements of the
/// lost disk are never attributed to the empty one.
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

/// One replica of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Host name.
    pub host: SharedName,
    /// IP address and port of the replica's tonic listener.
    pub address: SharedName,
    /// Identity of the replica's data folder.
    pub identity: ReplicaIdentity,
    /// Whether the replica counts in majorities; a learner only receives the log.
    pub voter: bool,
}

/// Replicas of one cluster, ordered by identity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSet {
    cluster: u64,
    records: Vec<MemberRecord>,
}

impl MemberSet {
    /// Creates a set from the cluster's number and its members.
    #[must_use]
    pub fn new(cluster: u64, mut records: Vec<MemberRecord>) -> Self {
        records.sort_by_key(|record| record.identity);
        records.dedup_by_key(|record| record.identity);
        Self { cluster, records }
    }

    /// Returns the random number that the cluster got at its bootstrap; 0 before that.
    ///
    /// It keeps a data folder of another cluster from being added.
    #[must_use]
    pub const fn cluster(&self) -> u64 {
        self.cluster
    }

    /// Returns the members in the order of their identities.
    #[must_use]
    pub fn records(&self) -> &[MemberRecord] {
        &self.records
    }

    /// Returns the member with an identity.
    #[must_use]
    pub fn find(&self, identity: ReplicaIdentity) -> Option<&MemberRecord> {
        self.records.iter().find(|record| record.identity == identity)
    }

    /// Returns whether an identity is a voter.
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

    /// Returns the highest value that a majority of the voters has reached, or `None` without voters.
    pub fn majority_value<T, F>(&self, value_of: F) -> Option<T>
    where
        T: Ord + Copy,
        F: Fn(ReplicaIdentity) -> T,
    {
        let mut values: Vec<T> = self.voters().map(value_of).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.majority() - 1).copied()
    }

    /// Returns the set with a member added or replaced.
    #[must_use]
    pub fn with(&self, record: MemberRecord) -> Self {
        let mut set = self.without(record.identity);
        set.records.push(record);
        Self::new(set.cluster, set.records)
    }

    /// Returns the set without a member.
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
    /// First entry of a leader's term.
    Empty,
    /// Command for the state machine.
    Command(Bytes),
    /// Members from this entry on.
    Members(MemberSet),
}

impl EntryPayload {
    /// Returns the size that counts against the byte limit of a message.
    #[must_use]
    pub const fn size(&self) -> usize {
        match self {
            Self::Empty => 0,
            Self::Command(command) => command.len(),
            Self::Members(members) => members.records.len() * 64,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Content.
    pub payload: EntryPayload,
}

/// What a replica must remember to vote at most once per term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Replica that got this replica's vote in that term.
    pub vote: Option<ReplicaIdentity>,
    /// Index up to which entries were known to be committed; it may be behind.
    pub commit: u64,
}

/// State that stands for all entries up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotImage {
    /// Index of the last entry contained.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members in force at that entry.
    pub members: MemberSet,
    /// State machine's bytes.
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
    /// Content.
    pub body: MessageBody,
}

/// Content of a message between replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// Asks for a vote, or whether a vote would be granted.
    VoteRequest {
        /// Asks without changing any term.
        pre_vote: bool,
        /// Candidate's last index.
        last_index: u64,
        /// Term of the candidate's last entry.
        last_term: u64,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether the request was a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Carries entries, or only a heartbeat.
    AppendRequest {
        /// Index before the first entry.
        previous_index: u64,
        /// Term at that index.
        previous_term: u64,
        /// Entries that follow it.
        entries: Vec<LogEntry>,
        /// Leader's commit index.
        commit_index: u64,
        /// Leader's latest read confirmation round.
        round: u64,
    },
    /// Answers an append request or a snapshot.
    AppendReply {
        /// Whether the follower's log contained the previous entry.
        success: bool,
        /// On success, the highest synced index known to equal the leader's log; otherwise the
        /// request's previous index.
        match_index: u64,
        /// On failure, the index to continue from.
        conflict_index: u64,
        /// Latest round received from this leader.
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

/// Change of one member.
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

/// Command that waits for its commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogProposal {
    /// Caller's number, returned with the outcome.
    pub ticket: u64,
    /// Command for the state machine.
    pub command: Bytes,
}

/// What happens to a log machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogInput {
    /// Founds a cluster; ignored unless this replica has never voted or stored an entry.
    ///
    /// The caller has made sure that the same holds for every other member.
    Bootstrap(MemberSet),
    /// Time has passed.
    Tick {
        /// Random number for the next election timeout.
        random: u64,
    },
    /// A message arrived.
    Received(PeerMessage),
    /// Commands to commit, in this order.
    Propose(Vec<LogProposal>),
    /// Asks for a read confirmation.
    Confirm {
        /// Caller's number, returned with the outcome.
        ticket: u64,
    },
    /// Asks for a change of one member.
    ChangeMember {
        /// Caller's number, returned with the outcome.
        ticket: u64,
        /// The change.
        change: MemberChange,
    },
    /// All writes up to a sequence number are durable.
    Synced {
        /// Sequence number of the last durable write.
        sequence: u64,
    },
    /// A snapshot of the local state is durable.
    SnapshotSaved(SnapshotImage),
    /// A write or sync failed; the disk's content is unknown from here on.
    DiskFailed,
}

/// Change of the durable state, to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StorageWrite {
    /// Replaces the hard state.
    HardState(HardState),
    /// Appends entries.
    Append(Vec<LogEntry>),
    /// Removes all entries from an index on.
    Truncate {
        /// First index to remove.
        from: u64,
    },
    /// Replaces the whole log by a snapshot.
    Install(SnapshotImage),
    /// Allows removal of the entries up to an index, which a saved snapshot contains.
    Compact {
        /// Last index that is not needed.
        through: u64,
    },
}

/// Committed entry with the number of the proposal that waits for it, if it is this replica's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedEntry {
    /// The entry.
    pub entry: LogEntry,
    /// Proposal to answer.
    pub ticket: Option<u64>,
}

/// Why a proposal, confirmation or member change was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// This replica does not lead.
    NotLeader {
        /// Identity of the leader, if known.
        leader: Option<ReplicaIdentity>,
    },
    /// Leadership was lost before the commit; the entry may still be committed.
    Unknown,
    /// No majority answered in time; nothing was appended.
    NoMajority,
    /// Too many entries wait for their commit; nothing was appended.
    Overloaded,
    /// Another member change is not finished.
    ChangePending,
    /// The member change makes no sense for the current members.
    InvalidChange(String),
    /// The disk has failed.
    DiskFailed,
}

/// What the caller of a log machine has to do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// Send a message.
    Send(PeerMessage),
    /// Write to the disk; report the sequence number when it is synced.
    Write {
        /// Number of the write; rises by one.
        sequence: u64,
        /// The write.
        write: StorageWrite,
    },
    /// Apply committed entries.
    Apply(Vec<AppliedEntry>),
    /// Replace the applied state by a snapshot.
    Restore(SnapshotImage),
    /// A read may be served from the state as applied so far.
    Confirmed {
        /// Caller's number.
        ticket: u64,
        /// Index that the applied state has reached.
        index: u64,
        /// Time after which the confirmation must not be used any more.
        valid_until: Micros,
    },
    /// A proposal, confirmation or member change was refused.
    Rejected {
        /// Caller's number.
        ticket: u64,
        /// Why.
        reason: RejectReason,
    },
    /// Role, term or known leader changed.
    RoleChanged {
        /// Current term.
        term: u64,
        /// Whether this replica leads.
        leading: bool,
        /// Identity of the leader, if known.
        leader: Option<ReplicaIdentity>,
    },
    /// The members in force changed.
    MembersChanged(MemberSet),
}
