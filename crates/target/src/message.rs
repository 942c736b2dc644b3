//! Messages exchanged with callers and targets, independent of their encoding.

use {
    banyansill_core::{
        failure::FailureKind,
        gateway::TargetError,
        hidden::Hidden,
        names::SharedName,
        position::{LogPosition, LogTerm},
        route::TargetRole,
        time::Micros,
        transaction::TransactionStatus,
    },
    bytes::Bytes,
};

/// Whether a prepared statement writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StatementAccess {
    /// The statement only reads.
    Read,
    /// The statement may write.
    Write,
}

/// Statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction only reads.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Runs a statement that only reads.
    Read {
        /// Text, passed on unchanged.
        text: Bytes,
    },
    /// Runs a statement that may write.
    Write {
        /// Text, passed on unchanged.
        text: Bytes,
    },
    /// Sets a variable of the session.
    Set {
        /// Name of the session variable.
        name: Bytes,
        /// New value, passed on unchanged.
        value: Bytes,
    },
    /// Prepares a statement under a name that is local to the session.
    Prepare {
        /// Name within the session.
        name: Bytes,
        /// Whether it writes.
        access: StatementAccess,
        /// Statement to prepare, without arguments; passed on unchanged.
        shape: Bytes,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name within the session.
        name: Bytes,
        /// Arguments, passed on unchanged.
        arguments: Bytes,
    },
    /// Removes a prepared statement.
    Close {
        /// Name within the session.
        name: Bytes,
    },
}

/// Message from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session.
    Start {
        /// Requested database.
        database: SharedName,
        /// What the caller identifies itself with: a key where routes need one, or else any name. It is never
        /// logged.
        credential: Hidden<Bytes>,
    },
    /// Runs a statement.
    Statement {
        /// Caller's identifier of the request, which appears in logs.
        id: Bytes,
        /// Statement to run.
        statement: Statement,
    },
    /// A complete message that cannot be decoded.
    Malformed,
    /// Ends the session.
    End,
}

/// Message to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerReply<'a> {
    /// Row of an answer, as the target sent it.
    Row(&'a [u8]),
    /// End of a successful answer, with the target's signature if a target ran the statement.
    Complete(Option<&'a [u8]>),
    /// End of a failed answer.
    Failure {
        /// Kind of the failure.
        kind: FailureKind,
        /// Error message for the caller.
        detail: &'a str,
    },
    /// The session is ready for the next message.
    Ready {
        /// Transaction status of the session.
        status: TransactionStatus,
        /// Log position of the target after the session's last statement, if a target ran it.
        position: Option<LogPosition>,
    },
}

/// First message on a connection to a target, which states who connects and which target is expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// Group that the target is expected to serve.
    pub group: SharedName,
    /// Team that the connection serves, or the name of the connecting host if it serves none.
    pub user: SharedName,
    /// Name that the target is expected to have.
    pub target: SharedName,
}

/// Message to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetRequest<'a> {
    /// Starts the connection; sent first.
    Start(&'a StartRequest),
    /// Runs a caller's statement.
    Run {
        /// Caller's identifier of the request.
        id: &'a [u8],
        /// Log position that the target must have reached; `None` for no requirement.
        floor: Option<LogPosition>,
        /// Text of the statement, unchanged.
        text: &'a [u8],
    },
    /// Runs a statement that was prepared on this connection.
    Execute {
        /// Caller's identifier of the request.
        id: &'a [u8],
        /// Log position that the target must have reached; `None` for no requirement.
        floor: Option<LogPosition>,
        /// Name on this connection.
        name: &'a str,
        /// Caller's arguments.
        arguments: &'a [u8],
    },
    /// Commits the transaction at the caller's request.
    Commit {
        /// Caller's identifier of the request.
        id: &'a [u8],
    },
    /// Begins a transaction.
    Begin {
        /// Whether it only reads; the statements of any other transaction run only while the target is the primary.
        read_only: bool,
        /// Log position that the target must have reached; `None` for no requirement.
        floor: Option<LogPosition>,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Sets a session variable on the connection.
    Set {
        /// Name of the session variable.
        name: &'a [u8],
        /// New value.
        value: &'a [u8],
    },
    /// Prepares a statement on this connection.
    Prepare {
        /// Name on this connection.
        name: &'a str,
        /// Whether it writes.
        access: StatementAccess,
        /// Statement to prepare, without arguments.
        shape: &'a [u8],
    },
    /// Clears the session variables and prepared statements of the connection.
    Reset,
    /// Requests a [`ProbeRow`].
    Probe,
    /// Pauses a replica under the given term, so that it receives no commits, and requests a [`ProbeRow`].
    Pause(LogTerm),
    /// Allows a paused replica to receive commits again.
    Resume,
    /// Demotes a primary of a lower term to a replica, and requests a [`ProbeRow`].
    Demote(LogTerm),
    /// Ends the connection.
    End,
}

/// Message from a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetReply {
    /// Row of an answer.
    Row(Bytes),
    /// End of a successful answer with the target's signature.
    Complete(Bytes),
    /// End of a failed answer.
    Failure {
        /// Reported failure.
        error: TargetError,
        /// Description of the failure by the target.
        detail: Bytes,
    },
    /// The target is ready for the next message.
    Ready {
        /// Transaction status of the connection.
        status: TransactionStatus,
        /// Position of the target's log, if the target reported one.
        position: Option<LogPosition>,
    },
}

/// Role and replication state of a target, as reported by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRow {
    /// Role that the target has.
    pub role: TargetRole,
    /// Term of the primary that it is or follows.
    pub term: LogTerm,
    /// Highest term under which it was paused or demoted.
    pub promised: LogTerm,
    /// Last log position that it has received.
    pub received: LogPosition,
    /// Replication lag: age of the state that it has applied.
    pub lag: Micros,
}
