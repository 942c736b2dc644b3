//! Commands of the cluster state and the answers to their proposers.

use {
    super::{
        record::{BrokerRef, EntryInfo, TargetInfo},
        scope::{OperatorScope, RowDifference},
    },
    crate::{names::SharedName, position::LogPosition},
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// One change of the cluster state, with the preconditions that it was decided under.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClusterCommand {
    /// Records an entry that holds or asks for a node lease.
    JoinEntry {
        /// The entry's own account of itself.
        entry: EntryInfo,
    },
    /// Marks an entry whose lease has run out and ends its brokerships.
    ExpireEntry {
        /// Host name.
        host: SharedName,
        /// Version of the entry's record that the decision was based on.
        expected_version: u64,
    },
    /// Sets an operator's drain mark on an entry.
    DrainEntry {
        /// Host name.
        host: SharedName,
        /// Whether the entry gets no new work.
        drain: bool,
        /// Identifies a resend; may be empty.
        request_id: String,
    },
    /// Records a target that announced itself.
    RecordTarget {
        /// Database group.
        database: SharedName,
        /// Server name.
        server: SharedName,
        /// The target's own account of itself.
        info: TargetInfo,
    },
    /// Marks a server that lost its log, or removes the mark once it has caught up.
    SetRejoining {
        /// Database group.
        database: SharedName,
        /// Server name.
        server: SharedName,
        /// Incarnation that began without the log.
        incarnation: u64,
        /// Whether the server still lacks what it had confirmed before.
        rejoining: bool,
    },
    /// Sets whether a target is reachable.
    SetTargetLive {
        /// Database group.
        database: SharedName,
        /// Server name.
        server: SharedName,
        /// Version of the target's record that the decision was based on.
        expected_version: u64,
        /// Whether control hears from the target or its broker.
        live: bool,
    },
    /// Sets an operator's drain mark on a target.
    DrainTarget {
        /// Database group.
        database: SharedName,
        /// Server name.
        server: SharedName,
        /// Whether the target gets no new work.
        drain: bool,
        /// Identifies a resend; may be empty.
        request_id: String,
    },
    /// Removes a target that has left.
    ForgetTarget {
        /// Database group.
        database: SharedName,
        /// Server name.
        server: SharedName,
        /// Version of the target's record that the decision was based on.
        expected_version: u64,
    },
    /// Assigns or revokes the broker of a target; the epoch rises by one.
    AssignBroker {
        /// Database group.
        database: SharedName,
        /// Server name.
        server: SharedName,
        /// Epoch that the decision was based on.
        expected_epoch: u64,
        /// New broker; `None` revokes.
        broker: Option<BrokerRef>,
    },
    /// Adopts the primary that a new group announces.
    AdoptPrimary {
        /// Database group.
        database: SharedName,
        /// Server name of the primary.
        server: SharedName,
        /// Incarnation of the primary.
        incarnation: u64,
        /// Term that the primary announces.
        term: u64,
        /// Position at which that term begins, as far as it is known.
        start: LogPosition,
    },
    /// Closes a term, after which its primary is not acknowledged any more.
    CloseTerm {
        /// Database group.
        database: SharedName,
        /// Term that is closed.
        expected_term: u64,
        /// Whether the primary still serves, so that its broker may finish running writes first.
        planned: bool,
    },
    /// Chooses the server that is told to promote.
    ChooseCandidate {
        /// Database group.
        database: SharedName,
        /// Closed term that the decision was based on.
        expected_term: u64,
        /// Highest term given to a candidate so far that the decision was based on.
        expected_candidate_term: u64,
        /// Server name of the candidate.
        candidate: SharedName,
        /// Incarnation of the candidate.
        incarnation: u64,
        /// Position of the candidate when it was chosen.
        position: LogPosition,
    },
    /// Puts the candidate's term in force.
    Promote {
        /// Database group.
        database: SharedName,
        /// Closed term that the decision was based on.
        expected_term: u64,
        /// Server name of the candidate.
        candidate: SharedName,
        /// The candidate's term, which comes into force.
        term: u64,
        /// Last position of earlier terms that the new term's history contains.
        start: LogPosition,
    },
    /// Accepts a sheet; the proposer has checked its content.
    ApplySheet {
        /// Number of the sheet.
        number: u64,
        /// CSV text.
        content: String,
        /// Operator who applies it.
        operator: String,
        /// Identifies a resend; may be empty.
        request_id: String,
    },
    /// A command of a scoped operator, checked against the state at its log index.
    Scoped {
        /// Scope of the operator when it sent the command.
        scope: OperatorScope,
        /// The command; only sheets and drains of targets are allowed.
        command: Box<ClusterCommand>,
    },
}

impl ClusterCommand {
    /// Returns the command as bytes for the replicated log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a command that `encode` wrote.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the bytes are not a command.
    pub fn decode(bytes: &[u8]) -> Result<Self, ClusterRejection> {
        serde_json::from_slice(bytes)
            .map_err(|error| ClusterRejection::Malformed { detail: error.to_string() })
    }
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ClusterRejection {
    /// The bytes are not a command.
    #[error("malformed command: {detail}")]
    Malformed {
        /// What the decoder reported.
        detail: String,
    },
    /// No such entry, database or target.
    #[error("unknown {what}")]
    Unknown {
        /// What was not found.
        what: String,
    },
    /// A newer incarnation is recorded.
    #[error("incarnation {recorded} is newer")]
    OldIncarnation {
        /// Recorded incarnation.
        recorded: u64,
    },
    /// Another target with a newer incarnation has the address.
    #[error("address belongs to {holder}")]
    AddressTaken {
        /// Database and server of the holder.
        holder: String,
    },
    /// A precondition does not hold any more.
    #[error("stale {what}: expected {expected}, found {found}")]
    Stale {
        /// Which precondition.
        what: String,
        /// Value that the decision was based on.
        expected: u64,
        /// Value now.
        found: u64,
    },
    /// The command does not fit the state of the record.
    #[error("not allowed: {detail}")]
    NotAllowed {
        /// Why.
        detail: String,
    },
    /// A sheet number is taken by other content, or is lower than the number in force.
    #[error("sheet {number} ({digest}) of operator {operator} takes precedence")]
    SheetConflict {
        /// Number of the winning sheet.
        number: u64,
        /// Digest of the winning sheet.
        digest: String,
        /// Operator of the winning sheet.
        operator: String,
    },
    /// A sheet changes rows that are not in the operator's scope.
    #[error(
        "{total} row(s) differ from the last accepted sheet out of the operator's scope: {}",
        list(rows)
    )]
    OutOfScope {
        /// The rows, at most `FAULT_LIMIT` of them.
        rows: Vec<RowDifference>,
        /// Number of all such rows.
        total: usize,
    },
    /// The operator's scope does not contain what the command changes.
    #[error("forbidden: {detail}")]
    Forbidden {
        /// Why.
        detail: String,
    },
}

fn list(rows: &[RowDifference]) -> String {
    let rows: Vec<String> = rows.iter().map(ToString::to_string).collect();
    rows.join(", ")
}

/// Answer to the proposer of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClusterReply {
    /// The command holds since `version`.
    Done {
        /// Version at which the command took effect first.
        version: u64,
        /// Whether this command changed the state.
        changed: bool,
    },
    /// The command changed nothing.
    Rejected(ClusterRejection),
}
