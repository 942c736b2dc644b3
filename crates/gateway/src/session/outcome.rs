//! Results of statements and the details that are logged with them.

use {
    crate::attempt::StatementFailure,
    banyansill_core::{names::SharedName, position::LogPosition},
    banyansill_target::StatementAnswer,
};

/// Details of how a statement ran, for its log line.
#[derive(Clone, Debug, Default)]
pub(super) struct StatementTrace {
    /// Target of the last attempt, or of the response that was used.
    pub(super) target: Option<SharedName>,
    /// Log position that the target had to have reached.
    pub(super) floor: Option<LogPosition>,
    /// Number of attempts on targets.
    pub(super) attempts: u32,
    /// Whether the read was also sent to a second target because the first one did not respond.
    pub(super) hedged: bool,
}

/// Response of a target, or the failure that is reported to the caller.
pub(super) type StatementResult = Result<StatementAnswer, StatementFailure>;

/// Formats a position for a log line.
pub(super) fn position_text(position: Option<LogPosition>) -> String {
    position.map_or_else(|| "-".to_owned(), |position| position.to_string())
}
