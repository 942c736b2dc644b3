//! What a session needs on a connection before its first statement.

use {
    super::connection::{PreparedShape, SessionValues},
    banyansill_core::position::LogPosition,
};

/// Transaction that a session begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TransactionStart {
    pub(crate) read_only: bool,
    /// Position that the target's log must have.
    pub(crate) floor: Option<LogPosition>,
}

/// What a session needs on a connection before its first statement.
///
/// An entry that lends the connection does it beside the target, so that a caller in another region waits for one round
/// trip between the regions instead of up to four.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseStart {
    /// Values of the session; others are reset.
    pub(crate) values: SessionValues,
    /// Statement that the session runs prepared.
    pub(crate) prepare: Option<PreparedShape>,
    pub(crate) begin: Option<TransactionStart>,
}
