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
    /// Statement text from the caller.
    Text(Bytes),
    /// Prepared statement with arguments from the caller.
    Prepared { shape: PreparedShape, arguments: Bytes },
}

/// Failure of a statement as it is reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StatementFailure {
    pub(crate) kind: FailureKind,
    /// Delay after which a retry may succeed; zero selects the default of the kind.
    pub(crate) retry_after: Micros,
    /// Message of the target; empty if there is none.
    pub(crate) detail: Bytes,
}

impl StatementFailure {
    pub(crate) const fn new(kind: FailureKind) -> Self {
        Self { kind, retry_after: Micros::ZERO, detail: Bytes::new() }
    }

    /// Returns the message for the caller: that of the target, or else the default message of the kind.
    pub(crate) fn message(&self) -> String {
        if !self.detail.is_empty() {
            return String::from_utf8_lossy(&self.detail).into_owned();
        }
        let answer = self.kind.answer();
        let retry_after_ms = match self.retry_after {
            Micros::ZERO => u64::from(answer.retry_after_ms),
            after => after.as_millis().max(1),
        };
        if retry_after_ms == 0 {
            return answer.message.to_owned();
        }
        format!("{}; retry after {retry_after_ms} ms", answer.message)
    }
}

/// Successful response of a target, or how the attempt failed.
pub(crate) type AttemptResult = Result<StatementAnswer, FailedAttempt>;

/// Attempt without a successful response.
#[derive(Clone, Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) end: AttemptEnd,
    /// Failure that the target reported, or the reason why no connection was available.
    pub(crate) failure: StatementFailure,
    /// Log position of the target, if it responded.
    pub(crate) position: Option<LogPosition>,
}

impl FailedAttempt {
    pub(crate) const fn new(end: AttemptEnd, kind: FailureKind) -> Self {
        Self { end, failure: StatementFailure::new(kind), position: None }
    }

    /// Returns the failed attempt of a statement whose deadline passed; `sent` is whether any part of it was sent.
    pub(crate) const fn timed_out(sent: bool) -> Self {
        if sent {
            Self::new(AttemptEnd::Lost, FailureKind::RunTimeout)
        } else {
            Self::new(AttemptEnd::NotSent, FailureKind::QueueTimeout)
        }
    }

    /// Returns whether the request was refused because the target's queue is too long.
    pub(crate) fn is_refusal(&self) -> bool {
        self.failure.kind == FailureKind::Overloaded && self.end == AttemptEnd::NotSent
    }

    /// Returns the failed attempt for a connection that could not be leased.
    pub(crate) const fn no_connection(failure: LeaseFailure) -> Self {
        let LeaseFailure { kind, retry_after } = failure;
        let failure = StatementFailure { kind, retry_after, detail: Bytes::new() };
        Self { end: AttemptEnd::NotSent, failure, position: None }
    }
}

/// Converts a response that reports a failure, or a missing response, to a failed attempt.
pub(crate) fn attempt_result(result: Result<StatementAnswer, AttemptEnd>) -> AttemptResult {
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

/// Runs a statement on a leased connection; the target's log must have reached `floor`, if one is given.
///
/// Sets `sent` before any part of the statement is sent, so that the caller of a statement that never left the entry is
/// not told that its outcome is unknown.
///
/// # Errors
///
/// Returns how the attempt ended if no complete response arrived.
pub(crate) async fn run_body<P>(
    lease: &mut TargetLease<P>,
    id: &Bytes,
    body: &StatementBody,
    floor: Option<LogPosition>,
    sent: &mut bool,
) -> Result<StatementAnswer, AttemptEnd>
where
    P: StatementProtocol,
{
    match body {
        StatementBody::Text(text) => {
            *sent = true;
            lease.run(TargetRequest::Run { id, floor, text }).await
        }
        StatementBody::Prepared { shape, arguments } => {
            let name = lease.pooled.prepare(shape).await?;
            *sent = true;
            let request = TargetRequest::Execute { id, floor, name: &name, arguments };
            let answer = lease.run(request).await?;
            if matches!(answer.outcome, Err((TargetError::UnknownStatement, _))) {
                lease.pooled.remove_prepared(shape);
            }
            Ok(answer)
        }
    }
}
