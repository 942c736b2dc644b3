//! Retry decisions after a failed attempt to run a statement on a target.

use crate::failure::FailureKind;

/// Failure reported by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// The target's queue is full; the statement did not run.
    Busy,
    /// The target has no prepared statement of that name; the statement did not run.
    UnknownStatement,
    /// The target's log has not reached the position that the read requires; the statement did not run.
    Lagging,
    /// The target is not the primary; the statement did not run.
    ReadOnly,
    /// The address belongs to another server or to another group; the statement did not run.
    Misrouted,
    /// The target accepts no more connections.
    TooManyConnections,
    /// The transaction was rolled back.
    Aborted,
    /// The statement ran and failed.
    Failed,
    /// The statement exceeded the target's own time limit.
    TimedOut,
    /// The target itself does not know the outcome.
    InDoubt,
    /// The target could not decode the statement, or refuses it in its current state.
    Malformed,
}

impl TargetError {
    /// Returns the failure kind that is reported to the caller.
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

/// Effect of a statement, which decides whether it may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementEffect {
    /// Only reads, outside a transaction; may run any number of times.
    Read,
    /// Writes and commits on its own; may run at most once.
    Write,
}

impl StatementEffect {
    /// Returns the failure to report to the caller: a read has no effect that could be in doubt, only no response.
    #[must_use]
    pub const fn failure(self, kind: FailureKind) -> FailureKind {
        match (self, kind) {
            (Self::Read, FailureKind::ConnectionLost) => FailureKind::RunTimeout,
            _ => kind,
        }
    }
}

/// How a failed attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No part of the statement was sent.
    NotSent,
    /// The target reported a failure.
    Reported(TargetError),
    /// The statement was sent, but no complete response arrived.
    Lost,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Retry on another target, or later on the same one.
    Retry,
    /// Report the failure to the caller.
    GiveUp(FailureKind),
}

/// Returns the next step after a failed attempt whose deadline has not passed.
///
/// `budget` is whether the retry budget allows a retry after a failure that may have cost the target work. A
/// refusal costs the target nothing, so a retry after it does not use the budget.
#[must_use]
pub const fn next_step(effect: StatementEffect, end: AttemptEnd, budget: bool) -> NextStep {
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
                if matches!(effect, StatementEffect::Read) && budget =>
            {
                NextStep::Retry
            }
            _ => NextStep::GiveUp(effect.failure(error.failure())),
        },
        AttemptEnd::Lost => match effect {
            StatementEffect::Read if budget => NextStep::Retry,
            StatementEffect::Read | StatementEffect::Write => {
                NextStep::GiveUp(effect.failure(FailureKind::ConnectionLost))
            }
        },
    }
}
