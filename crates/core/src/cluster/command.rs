//! Commands of the cluster state and the replies to their proposers.

use {
    super::{
        record::{BrokerRef, EntryInfo, TargetInfo},
        scope::{OperatorScope, RowDifference},
    },
    crate::{names::SharedName, position::LogPosition},
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// A change of the cluster state, with the preconditions that its proposer based it on.
///
/// `request_id` is an idempotency key: a retry with the same key gets the reply to the first
/// attempt. It may be empty, and the command is then applied each time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClusterCommand {
    /// Records an entry that holds or requests a node lease.
    JoinEntry {
        /// Properties that the entry reported.
        entry: EntryInfo,
    },
    /// Marks an entry whose lease has expired as not live and revokes its broker assignments.
    ExpireEntry {
        /// Host name.
        host: SharedName,
        /// Version of the entry's record that the decision was based on.
        expected_version: u64,
    },
    /// Sets or clears an operator's drain flag of an entry.
    DrainEntry {
        /// Host name.
        host: SharedName,
        /// Whether the entry gets no new work.
        drain: bool,
        /// Idempotency key; may be empty.
        request_id: String,
    },
    /// Records a target that announced itself.
    RecordTarget {
        /// Database group.
        database: SharedName,
        /// Server name.
        server: SharedName,
        /// Properties that the target announced.
        info: TargetInfo,
    },
    /// Marks a server that lost its log as rejoining, or clears the mark once it has caught up.
    SetRejoining {
        /// Database group.
        database: SharedName,
        /// Server name.
        server: SharedName,
        /// Incarnation that started without the log.
        incarnation: u64,
        /// Whether the server still lacks entries that it had confirmed before it lost its log.
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
        /// Whether control receives announcements from the target or reports from its broker.
        live: bool,
    },
    /// Sets or clears an operator's drain flag of a target.
    DrainTarget {
        /// Database group.
        database: SharedName,
        /// Server name.
        server: SharedName,
        /// Whether the target gets no new work.
        drain: bool,
        /// Idempotency key; may be empty.
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
    /// Assigns or revokes the broker of a target and increments the epoch.
    AssignBroker {
        /// Database group.
        database: SharedName,
        /// Server name.
        server: SharedName,
        /// Epoch that the decision was based on.
        expected_epoch: u64,
        /// New broker; `None` revokes the current one.
        broker: Option<BrokerRef>,
    },
    /// Records the primary of a group that has none yet, as its server announced it.
    AdoptPrimary {
        /// Database group.
        database: SharedName,
        /// Server name of the primary.
        server: SharedName,
        /// Incarnation of the primary.
        incarnation: u64,
        /// Term that the primary announces.
        term: u64,
        /// Last position of earlier terms that the term's history contains, as far as it is known.
        start: LogPosition,
    },
    /// Closes a term, after which commits of its primary are not acknowledged any more.
    CloseTerm {
        /// Database group.
        database: SharedName,
        /// Term that is closed.
        expected_term: u64,
        /// Whether the primary still serves, so that its broker may let running writes finish.
        planned: bool,
    },
    /// Chooses the server that is to be promoted.
    ChooseCandidate {
        /// Database group.
        database: SharedName,
        /// Closed term that the decision was based on.
        expected_term: u64,
        /// Highest candidate term so far that the decision was based on.
        expected_candidate_term: u64,
        /// Server name of the candidate.
        candidate: SharedName,
        /// Incarnation of the candidate.
        incarnation: u64,
        /// Position of the candidate when it was chosen.
        position: LogPosition,
    },
    /// Makes the candidate the primary and its term the current one.
    Promote {
        /// Database group.
        database: SharedName,
        /// Closed term that the decision was based on.
        expected_term: u64,
        /// Server name of the candidate.
        candidate: SharedName,
        /// The candidate's term, which becomes the current one.
        term: u64,
        /// Last position of earlier terms that the new term's history contains.
        start: LogPosition,
    },
    /// Makes a sheet the current one; the proposer has validated its content.
    ApplySheet {
        /// Number of the sheet.
        number: u64,
        /// CSV text.
        content: String,
        /// Operator who applies it.
        operator: String,
        /// Idempotency key; may be empty.
        request_id: String,
    },
    /// A command of a scoped operator, checked against the state at its log index.
    Scoped {
        /// Scope of the operator at the time of the request.
        scope: OperatorScope,
        /// The command; a limited scope allows only sheets and drains of targets.
        command: Box<ClusterCommand>,
    },
}

impl ClusterCommand {
    /// Encodes the command as JSON for the replicated log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a command that `encode` wrote.
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
        /// Error message of the decoder.
        detail: String,
    },
    /// The entry, database or target does not exist.
    #[error("unknown {what}")]
    Unknown {
        /// Kind of the missing item: `entry`, `database` or `target`.
        what: String,
    },
    /// A newer incarnation of the entry or target is recorded.
    #[error("incarnation {recorded} is newer")]
    OldIncarnation {
        /// Recorded incarnation.
        recorded: u64,
    },
    /// Another target with the same or a newer incarnation owns the address.
    #[error("address belongs to {holder}")]
    AddressTaken {
        /// Owner of the address, as `database/server`.
        holder: String,
    },
    /// A precondition does not hold any more.
    #[error("stale {what}: expected {expected}, found {found}")]
    Stale {
        /// Name of the precondition, such as `epoch` or `target version`.
        what: String,
        /// Value that the decision was based on.
        expected: u64,
        /// Current value.
        found: u64,
    },
    /// The current state of the record does not allow the command.
    #[error("not allowed: {detail}")]
    NotAllowed {
        /// Reason, for operators and logs.
        detail: String,
    },
    /// The sheet number is used by other content, or is lower than that of the current sheet.
    #[error("sheet {number} ({digest}) of operator {operator} takes precedence")]
    SheetConflict {
        /// Number of the sheet that takes precedence.
        number: u64,
        /// Digest of the sheet that takes precedence.
        digest: String,
        /// Operator who applied the sheet that takes precedence.
        operator: String,
    },
    /// The sheet changes rows that are not in the operator's scope.
    #[error(
        "{total} row(s) differ from the last accepted sheet out of the operator's scope: {}",
        join_rows(rows)
    )]
    OutOfScope {
        /// The first `MAX_REPORTED_FAULTS` of these rows.
        rows: Vec<RowDifference>,
        /// Number of these rows, including those that are not listed.
        total: usize,
    },
    /// The operator's scope does not contain what the command changes.
    #[error("forbidden: {detail}")]
    Forbidden {
        /// Reason, for the operator.
        detail: String,
    },
}

fn join_rows(rows: &[RowDifference]) -> String {
    let rows: Vec<String> = rows.iter().map(ToString::to_string).collect();
    rows.join(", ")
}

/// Reply to the proposer of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClusterReply {
    /// The command has taken effect, now or earlier.
    Done {
        /// Version of the state in which the command has taken effect.
        version: u64,
        /// Whether this command changed the state.
        changed: bool,
    },
    /// The command changed nothing.
    Rejected(ClusterRejection),
}
