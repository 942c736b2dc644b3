//! How a statement ended, and what its caller and the log are told.

use {
    crate::attempt::StatementFailure,
    banyansill_core::{names::SharedName, position::LogPosition},
    banyansill_target::StatementAnswer,
};

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
