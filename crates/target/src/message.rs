//! Messages of callers and targets, independent of their encoding.

use {
    banyansill_core::{
        failure::FailureKind,
        gateway::TargetError,
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
    /// Reads.
    Read,
    /// Writes.
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
    /// Reads.
    Read {
        /// Text, passed on unchanged.
        text: Bytes,
    },
    /// Writes.
    Write {
        /// Text, passed on unchanged.
        text: Bytes,
    },
    /// Sets a value of the session.
    Set {
        /// Name.
        name: Bytes,
        /// Value.
        value: Bytes,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// Name.
        name: Bytes,
        /// Whether it writes.
        access: StatementAccess,
        /// What it runs.
        shape: Bytes,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name.
        name: Bytes,
        /// Arguments, passed on unchanged.
        arguments: Bytes,
    },
    /// Forgets a prepared statement.
    Close {
        /// Name.
        name: Bytes,
    },
}

/// Message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session.
    Start {
        /// Database that the caller asks for.
        database: SharedName,
    },
    /// Runs a statement.
    Statement {
        /// Caller's identifier of the request.
        id: Bytes,
        /// The statement.
        statement: Statement,
    },
    /// A message that cannot be understood.
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
        /// Sentence for the caller.
        detail: &'a str,
    },
    /// The session takes the next message.
    Ready {
        /// Transaction status.
        status: TransactionStatus,
        /// Position of the session's last statement, if a target ran it.
        position: Option<LogPosition>,
    },
}

/// How a connection introduces itself to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// Group that the target is expected to serve.
    pub group: SharedName,
    /// Name of the connecting host.
    pub user: SharedName,
    /// Name that the target is expected to have.
    pub target: SharedName,
}

/// Message to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetRequest<'a> {
    /// Opens the connection.
    Start(&'a StartRequest),
    /// Runs a caller's statement.
    Run {
        /// Caller's identifier of the request.
        id: &'a [u8],
        /// Position that the target's log must have.
        floor: Option<LogPosition>,
        /// Text of the statement.
        text: &'a [u8],
    },
    /// Runs a statement that was prepared on this connection.
    Execute {
        /// Caller's identifier of the request.
        id: &'a [u8],
        /// Position that the target's log must have.
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
        /// Whether it only reads; any other transaction needs the lead for each of its statements.
        read_only: bool,
        /// Position that the target's log must have.
        floor: Option<LogPosition>,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Sets a value of the connection.
    Set {
        /// Name.
        name: &'a [u8],
        /// Value.
        value: &'a [u8],
    },
    /// Prepares a statement on this connection.
    Prepare {
        /// Name on this connection.
        name: &'a str,
        /// Whether it writes.
        access: StatementAccess,
        /// What it runs.
        shape: &'a [u8],
    },
    /// Forgets the values and prepared statements of the connection.
    Reset,
    /// Asks for a [`ProbeRow`].
    Probe,
    /// Stops a replica from receiving commits, and asks for a [`ProbeRow`].
    Pause(LogTerm),
    /// Lets a paused replica receive commits again.
    Resume,
    /// Makes a primary of a lower term a replica, and asks for a [`ProbeRow`].
    Demote(LogTerm),
    /// Ends the connection.
    End,
}

/// Message of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetReply {
    /// Row of an answer.
    Row(Bytes),
    /// End of a successful answer with the target's signature.
    Complete(Bytes),
    /// End of a failed answer.
    Failure {
        /// What the target reports.
        error: TargetError,
        /// The target's text.
        detail: Bytes,
    },
    /// The target takes the next message.
    Ready {
        /// Transaction status of the connection.
        status: TransactionStatus,
        /// Position of the target's log.
        position: Option<LogPosition>,
    },
}

/// What a target says of its part in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRow {
    /// Role.
    pub role: TargetRole,
    /// Term of the primary that it is or follows.
    pub term: LogTerm,
    /// Highest term under which it was paused or demoted.
    pub promised: LogTerm,
    /// Last position that it has received.
    pub received: LogPosition,
    /// Age of what it has applied.
    pub lag: Micros,
}
