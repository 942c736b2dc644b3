//! One attempt to run a statement on a target.

use {
    crate::pool::{LeaseFailure, PreparedShape, TargetLease},
    banyansill_core::{
        failure::FailureKind,
        gateway::{AttemptEnd, TargetError},
        position::LogPosition,
        time::Micros,
    },
    banyansill_target::{StatementAnswer, StatementProtocol, TargetRequest},
    bytes::Bytes,
};

/// Statement that a target runs.
#[derive(Clone, Debug)]
pub(crate) enum StatementBody {
    /// Text of the caller.
    Text(Bytes),
    /// Prepared statement with the caller's arguments.
    Prepared { shape: PreparedShape, arguments: Bytes },
}

/// Failure of a statement as its caller is told of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StatementFailure {
    pub(crate) kind: FailureKind,
    /// Time after which a retry may succeed; zero takes the kind's default.
    pub(crate) retry_after: Micros,
    /// What the target said, if it said anything.
    pub(crate) detail: Bytes,
}

impl StatementFailure {
    pub(crate) const fn new(kind: FailureKind) -> Self {
        Self { kind, retry_after: Micros::ZERO, detail: Bytes::new() }
    }

    /// Returns the sentence for the caller.
    pub(crate) fn sentence(&self) -> String {
        if !self.detail.is_empty() {
            return String::from_utf8_lossy(&self.detail).into_owned();
        }
        let answer = self.kind.answer();
        let hint = match self.retry_after {
            Micros::ZERO => u64::from(answer.retry_after_ms),
            after => after.as_millis().max(1),
        };
        if hint == 0 {
            return answer.message.to_owned();
        }
        format!("{}; retry after {hint} ms", answer.message)
    }
}

/// How one attempt ended, with its answer or the target's word.
pub(crate) type AttemptResult = Result<StatementAnswer, FailedAttempt>;

/// Attempt without a successful answer.
#[derive(Clone, Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) end: AttemptEnd,
    /// What the target said, or why there was no connection.
    pub(crate) failure: StatementFailure,
    /// Position of the target's log, if it answered.
    pub(crate) position: Option<LogPosition>,
}

impl FailedAttempt {
    pub(crate) const fn new(end: AttemptEnd, kind: FailureKind) -> Self {
        Self { end, failure: StatementFailure::new(kind), position: None }
    }

    /// Returns whether the queue of the target is too long for the request.
    pub(crate) fn is_refusal(&self) -> bool {
        self.failure.kind == FailureKind::Overloaded && self.end == AttemptEnd::NotSent
    }

    pub(crate) const fn unleased(failure: LeaseFailure) -> Self {
        let LeaseFailure { kind, retry_after } = failure;
        let failure = StatementFailure { kind, retry_after, detail: Bytes::new() };
        Self { end: AttemptEnd::NotSent, failure, position: None }
    }
}

/// Turns an answer that reports a failure into a failed attempt.
pub(crate) fn judge(result: Result<StatementAnswer, AttemptEnd>) -> AttemptResult {
    match result {
        Ok(answer) => match answer.outcome.clone() {
            Ok(_) => Ok(answer),
            Err((error, detail)) => {
                let failure = StatementFailure { detail, ..StatementFailure::new(error.failure()) };
                let position = answer.position;
                Err(FailedAttempt { end: AttemptEnd::Reported(error), failure, position })
            }
        },
        Err(end) => {
            let kind = match end {
                AttemptEnd::NotSent => FailureKind::Unreachable,
                _ => FailureKind::ConnectionLost,
            };
            Err(FailedAttempt::new(end, kind))
        }
    }
}

/// Runs a statement on a leased connection, at a position that the target's log must have if one is given.
///
/// # Errors
///
/// Returns how the attempt ended if no whole answer came.
pub(crate) async fn run_body<P>(
    lease: &mut TargetLease<P>,
    id: &Bytes,
    body: &StatementBody,
    floor: Option<LogPosition>,
) -> Result<StatementAnswer, AttemptEnd>
where
    P: StatementProtocol,
{
    match body {
        StatementBody::Text(text) => lease.run(TargetRequest::Run { id, floor, text }).await,
        StatementBody::Prepared { shape, arguments } => {
            let name = lease.pooled.prepare(shape).await?;
            let request = TargetRequest::Execute { id, floor, name: &name, arguments };
            let answer = lease.run(request).await?;
            if matches!(answer.outcome, Err((TargetError::UnknownStatement, _))) {
                lease.pooled.remove_prepared(shape);
            }
            Ok(answer)
        }
    }
}
