//! What follows an attempt to run a statement on a target.

use crate::failure::FailureKind;

/// Failure that a target reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// Its queue is full; the statement did not run.
    Busy,
    /// It knows no prepared statement of that name; the statement did not run.
    UnknownStatement,
    /// Its log lacks the position that the read asked for; the statement did not run.
    Lagging,
    /// It does not lead; the statement did not run.
    ReadOnly,
    /// It is another server or serves another group; the statement did not run.
    Misrouted,
    /// It accepts no more connections.
    TooManyConnections,
    /// The transaction was rolled back.
    Aborted,
    /// The statement ran and failed.
    Failed,
    /// The statement ran into the target's own limit.
    TimedOut,
    /// The outcome is unknown to the target itself.
    InDoubt,
    /// It could not read the statement, or refuses it in this state.
    Malformed,
}

impl TargetError {
    /// Returns the failure that a caller is told of.
    #[must_use]
    pub const fn failure(self) -> FailureKind {
        match self {
            Self::Busy => FailureKind::Overloaded,
            Self::UnknownStatement => FailureKind::UnknownStatement,
            Self::Lagging => FailureKind::TooStale,
            Self::ReadOnly => FailureKind::NoPrimary,
            Self::Misrouted => FailureKind::Unreachable,
            Self::TooManyConnections => FailureKind::TargetRefused,
            Self::Aborted => FailureKind::TransactionLost,
            Self::Failed => FailureKind::TargetFailed,
            Self::TimedOut => FailureKind::RunTimeout,
            Self::InDoubt => FailureKind::ConnectionLost,
            Self::Malformed => FailureKind::ProtocolViolation,
        }
    }
}

/// What a statement may do when it runs, which decides whether it may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementWork {
    /// Reads only, outside a transaction; may run any number of times.
    Read,
    /// Writes and commits by itself; may run at most once.
    Write,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Nothing of the statement was sent.
    NotSent,
    /// The target answered with a failure.
    Reported(TargetError),
    /// The statement was sent and no whole answer came.
    Lost,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another target, or the same one later.
    Retry,
    /// Tell the caller.
    GiveUp(FailureKind),
}

/// Returns what follows a failed attempt while time is left; `budget` tells whether a retry after a
/// real failure is allowed.
///
/// A refusal costs the target nothing, so moving on after it draws on no budget.
#[must_use]
pub const fn next_step(work: StatementWork, end: AttemptEnd, budget: bool) -> NextStep {
    match end {
        AttemptEnd::NotSent => NextStep::Retry,
        AttemptEnd::Reported(error) => match error {
            TargetError::Busy
            | TargetError::UnknownStatement
            | TargetError::Lagging
            | TargetError::ReadOnly
            | TargetError::Misrouted
            | TargetError::TooManyConnections => NextStep::Retry,
            TargetError::Failed | TargetError::TimedOut | TargetError::InDoubt
                if matches!(work, StatementWork::Read) && budget =>
            {
                NextStep::Retry
            }
            _ => NextStep::GiveUp(error.failure()),
        },
        AttemptEnd::Lost => match work {
            StatementWork::Read if budget => NextStep::Retry,
            StatementWork::Read | StatementWork::Write => {
                NextStep::GiveUp(FailureKind::ConnectionLost)
            }
        },
    }
}
