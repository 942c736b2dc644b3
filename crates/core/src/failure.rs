//! Failures that banyansill reports to callers, and the error response for each.

use serde::{Deserialize, Serialize};

/// Whether a failed request ran, as far as that is certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum OutcomeClass {
    /// The request did not run: nothing was sent to a target, or the target refused the whole request.
    NotRun,
    /// The target ran the request and reported an error.
    RanFailed,
    /// The request may have run.
    Unknown,
}

/// Kind of a failure that banyansill itself reports to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FailureKind {
    /// The entry holds no node lease and accepts no work.
    NoLease,
    /// The entry is stopping.
    Draining,
    /// No sheet is active.
    NoSheet,
    /// The sheet does not allow this application to send this kind of request.
    NotAllowed,
    /// The database is unknown.
    UnknownDatabase,
    /// The database has no active primary.
    NoPrimary,
    /// No target satisfies the maximum age and the session floor that the read requires.
    TooStale,
    /// The session's floor lies beyond the part of the log that survived a promotion.
    HistoryLost,
    /// The broker expects the request to miss its deadline in the queue.
    Overloaded,
    /// The deadline passed before the request was sent to a target.
    QueueTimeout,
    /// The caller cancelled the request before it was sent to a target.
    CancelledInQueue,
    /// The sender's epoch or term is older than the broker's.
    WrongEpoch,
    /// The broker or its target cannot be reached and nothing was sent.
    Unreachable,
    /// The target is leaving and accepts no new work.
    Leaving,
    /// The target refused the connection.
    TargetRefused,
    /// Too many caller connections at this entry.
    TooManyCallers,
    /// The user name or password is wrong.
    BadCredentials,
    /// Callers must use TLS.
    TlsRequired,
    /// The caller's message breaks the protocol.
    ProtocolViolation,
    /// The request uses a protocol feature that is not supported.
    Unsupported,
    /// The connection to the target was lost after the request was sent.
    ConnectionLost,
    /// The primary was replaced while the request ran.
    PrimaryReplaced,
    /// The node lease ran out while the request ran.
    LeaseLost,
    /// The commit was not confirmed by a second server before the deadline.
    UnconfirmedCommit,
    /// The deadline passed while the request ran.
    RunTimeout,
    /// The transaction was rolled back because its connection was lost before commit.
    TransactionLost,
    /// The session has no prepared statement of that name.
    UnknownStatement,
    /// The caller's message exceeds the size limit.
    MessageTooLarge,
    /// The target ran the statement and reported a failure.
    TargetFailed,
    /// The team has used up its limit.
    OverLimit,
    /// The entry cannot confirm in time that the caller's key is still valid.
    KeysUnconfirmed,
}

/// Error response that a caller receives for a failure kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureAnswer {
    /// Whether the request ran.
    pub class: OutcomeClass,
    /// SQLSTATE of the error response, five characters.
    pub sqlstate: &'static str,
    /// Message of the error response.
    pub message: &'static str,
    /// Delay after which a retry may succeed, in milliseconds; 0 if a retry does not help.
    pub retry_after_ms: u32,
}

const fn answer(
    class: OutcomeClass,
    sqlstate: &'static str,
    message: &'static str,
    retry_after_ms: u32,
) -> FailureAnswer {
    FailureAnswer { class, sqlstate, message, retry_after_ms }
}

impl FailureKind {
    /// Every kind, in the order of the table in `docs/errors.md`.
    pub const ALL: [Self; 31] = [
        Self::NoLease,
        Self::Draining,
        Self::NoSheet,
        Self::NotAllowed,
        Self::UnknownDatabase,
        Self::NoPrimary,
        Self::TooStale,
        Self::HistoryLost,
        Self::Overloaded,
        Self::QueueTimeout,
        Self::CancelledInQueue,
        Self::WrongEpoch,
        Self::Unreachable,
        Self::Leaving,
        Self::TargetRefused,
        Self::TooManyCallers,
        Self::BadCredentials,
        Self::TlsRequired,
        Self::ProtocolViolation,
        Self::Unsupported,
        Self::ConnectionLost,
        Self::PrimaryReplaced,
        Self::LeaseLost,
        Self::UnconfirmedCommit,
        Self::RunTimeout,
        Self::TransactionLost,
        Self::UnknownStatement,
        Self::MessageTooLarge,
        Self::TargetFailed,
        Self::OverLimit,
        Self::KeysUnconfirmed,
    ];

    /// Returns the error response for this kind.
    #[must_use]
    pub const fn answer(self) -> FailureAnswer {
        use OutcomeClass::{NotRun, RanFailed, Unknown};
        match self {
            Self::NoLease => answer(
                NotRun,
                "57P03",
                "this entry cannot confirm its configuration; not run",
                1_000,
            ),
            Self::Draining => answer(NotRun, "57P01", "this entry is stopping; not run", 100),
            Self::NoSheet => answer(NotRun, "57P03", "no sheet is in force; not run", 5_000),
            Self::NotAllowed => {
                answer(NotRun, "42501", "the sheet does not allow this request; not run", 0)
            }
            Self::UnknownDatabase => answer(NotRun, "3D000", "unknown database; not run", 0),
            Self::NoPrimary => answer(NotRun, "57P03", "no primary is in force; not run", 1_000),
            Self::TooStale => {
                answer(NotRun, "57P03", "no target is fresh enough for this read; not run", 500)
            }
            Self::HistoryLost => answer(
                NotRun,
                "72000",
                "the session's history did not survive a change of primary; not run",
                0,
            ),
            Self::Overloaded => {
                answer(NotRun, "53400", "the deadline cannot be met; not run", 1_000)
            }
            Self::QueueTimeout => {
                answer(NotRun, "53400", "the deadline passed in the queue; not run", 1_000)
            }
            Self::CancelledInQueue => {
                answer(NotRun, "57014", "cancelled before it was sent; not run", 0)
            }
            Self::WrongEpoch => answer(NotRun, "57P03", "the target's broker moved; not run", 100),
            Self::Unreachable => {
                answer(NotRun, "57P03", "the target cannot be reached; not run", 500)
            }
            Self::Leaving => answer(NotRun, "57P03", "the target is leaving; not run", 100),
            Self::TargetRefused => {
                answer(NotRun, "53300", "the target refused a connection; not run", 500)
            }
            Self::TooManyCallers => {
                answer(NotRun, "53300", "too many connections at this entry; not run", 1_000)
            }
            Self::BadCredentials => answer(NotRun, "28P01", "authentication failed", 0),
            Self::TlsRequired => answer(NotRun, "28000", "TLS is required; not run", 0),
            Self::ProtocolViolation => answer(NotRun, "08P01", "protocol violation; not run", 0),
            Self::Unsupported => answer(NotRun, "0A000", "not supported; not run", 0),
            Self::ConnectionLost => answer(
                Unknown,
                "40003",
                "the connection to the target was lost; the outcome is unknown",
                0,
            ),
            Self::PrimaryReplaced => {
                answer(Unknown, "40003", "the primary was replaced; the outcome is unknown", 0)
            }
            Self::LeaseLost => answer(
                Unknown,
                "40003",
                "this entry lost its lease while the request ran; the outcome is unknown",
                0,
            ),
            Self::UnconfirmedCommit => answer(
                Unknown,
                "40003",
                "no second server confirmed the commit in time; the outcome is unknown",
                0,
            ),
            Self::RunTimeout => answer(
                Unknown,
                "40003",
                "the deadline passed while the request ran; the outcome is unknown",
                0,
            ),
            Self::TransactionLost => answer(
                RanFailed,
                "40001",
                "the connection to the target was lost before commit; rolled back",
                100,
            ),
            Self::UnknownStatement => {
                answer(NotRun, "26000", "no prepared statement of that name; not run", 0)
            }
            Self::MessageTooLarge => {
                answer(NotRun, "54000", "the message is too large; not run", 0)
            }
            Self::TargetFailed => answer(RanFailed, "58000", "the target reported a failure", 0),
            Self::OverLimit => {
                answer(NotRun, "53400", "the team has used up its limit; not run", 1_000)
            }
            Self::KeysUnconfirmed => {
                answer(NotRun, "57P03", "this entry cannot confirm keys now; not run", 500)
            }
        }
    }

    /// Returns the name of the kind, as in `docs/errors.md` and in messages between processes.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoLease => "no-lease",
            Self::Draining => "draining",
            Self::NoSheet => "no-sheet",
            Self::NotAllowed => "not-allowed",
            Self::UnknownDatabase => "unknown-database",
            Self::NoPrimary => "no-primary",
            Self::TooStale => "too-stale",
            Self::HistoryLost => "history-lost",
            Self::Overloaded => "overloaded",
            Self::QueueTimeout => "queue-timeout",
            Self::CancelledInQueue => "cancelled-in-queue",
            Self::WrongEpoch => "wrong-epoch",
            Self::Unreachable => "unreachable",
            Self::Leaving => "leaving",
            Self::TargetRefused => "target-refused",
            Self::TooManyCallers => "too-many-callers",
            Self::BadCredentials => "bad-credentials",
            Self::TlsRequired => "tls-required",
            Self::ProtocolViolation => "protocol-violation",
            Self::Unsupported => "unsupported",
            Self::ConnectionLost => "connection-lost",
            Self::PrimaryReplaced => "primary-replaced",
            Self::LeaseLost => "lease-lost",
            Self::UnconfirmedCommit => "unconfirmed-commit",
            Self::RunTimeout => "run-timeout",
            Self::TransactionLost => "transaction-lost",
            Self::UnknownStatement => "unknown-statement",
            Self::MessageTooLarge => "message-too-large",
            Self::TargetFailed => "target-failed",
            Self::OverLimit => "over-limit",
            Self::KeysUnconfirmed => "keys-unconfirmed",
        }
    }

    /// Returns the kind with the given name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}
