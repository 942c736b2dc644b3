//! How a statement ended, and what its caller and the log are told.

use {
    banyansill_core::{
        failure::FailureKind, names::SharedName, position::LogPosition, time::Micros,
    },
    banyansill_target::StatementAnswer,
    bytes::Bytes,
};

/// Failure of a statement as its caller is told of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StatementFailure {
    pub(super) kind: FailureKind,
    /// Time after which a retry may succeed; zero takes the kind's default.
    pub(super) retry_after: Micros,
    /// What the target said, if it said anything.
    pub(super) detail: Bytes,
}

impl StatementFailure {
    pub(super) const fn new(kind: FailureKind) -> Self {
        Self { kind, retry_after: Micros::ZERO, detail: Bytes::new() }
    }

    /// Returns the sentence for the caller.
    pub(super) fn sentence(&self) -> String {
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

/// What decided about a statement, for its log line.
#[derive(Clone, Debug, Default)]
pub(super) struct StatementTrace {
    /// Target that answered last.
    pub(super) target: Option<SharedName>,
    /// Position that the target's log had to have.
    pub(super) floor: Option<LogPosition>,
    /// Attempts on targets.
    pub(super) attempts: u32,
    /// Whether a second target was asked because the first one was silent.
    pub(super) hedged: bool,
}

/// Result of a statement.
pub(super) type StatementResult = Result<StatementAnswer, StatementFailure>;

/// Returns a position as log lines show it.
pub(super) fn position_text(position: Option<LogPosition>) -> String {
    position.map_or_else(|| "-".to_owned(), |position| position.to_string())
}
