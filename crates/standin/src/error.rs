//! Errors of statements, each with its SQLSTATE.

use thiserror::Error;

/// Statement that failed; nothing of it took effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct SqlError {
    /// Five-character SQLSTATE.
    pub sqlstate: &'static str,
    /// Text for the caller.
    pub message: String,
}

impl SqlError {
    /// Creates an error.
    pub fn new(sqlstate: &'static str, message: impl Into<String>) -> Self {
        Self { sqlstate, message: message.into() }
    }

    /// Statement or feature that the stand-in does not run.
    pub fn unsupported(what: impl Into<String>) -> Self {
        Self::new("0A000", format!("{} is not supported", what.into()))
    }

    /// Operands of types that do not fit each other.
    pub fn mismatch(message: impl Into<String>) -> Self {
        Self::new("42804", message)
    }

    /// Number outside the range of its type.
    pub fn out_of_range(what: &str) -> Self {
        Self::new("22003", format!("{what} out of range"))
    }

    /// Write on a replica or in a read-only transaction.
    pub fn read_only(what: &str) -> Self {
        Self::new("25006", format!("cannot execute {what} in a read-only transaction"))
    }

    /// Row that another transaction changed after the snapshot was taken.
    pub fn conflict() -> Self {
        Self::new("40001", "could not serialize access due to concurrent update")
    }

    /// Statement stopped by a cancel request.
    pub fn cancelled() -> Self {
        Self::new("57014", "canceling statement due to user request")
    }
}

/// Reason why a statement could not be finished now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementHalt {
    /// The statement failed.
    Failed(SqlError),
    /// Another transaction holds a lock that the statement needs.
    Blocked(u64),
    /// A row that the statement writes has changed since the snapshot.
    Stale,
}

impl From<SqlError> for StatementHalt {
    fn from(error: SqlError) -> Self {
        Self::Failed(error)
    }
}
