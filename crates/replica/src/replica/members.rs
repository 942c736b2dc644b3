//! Status of the members and errors of member changes.

use {
    crate::command_log::LogError,
    banyansill_core::{consensus::MemberRecord, time::Micros},
    thiserror::Error,
};

/// Member with its replication state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The member.
    pub record: MemberRecord,
    /// Whether it is the leader, as far as the reporting replica knows.
    pub leader: bool,
    /// Highest index up to which the leader knows the member's log to be durable, or the leader's own last
    /// index; 0 if the reporting replica is not the leader.
    pub match_index: u64,
    /// Time since the leader sent the latest message to which the member has replied; zero for the leader
    /// itself, `None` if the reporting replica is not the leader.
    pub silent_for: Option<Micros>,
}

/// Reason why a member change was not completed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MemberError {
    /// The replicated log did not accept or commit the change.
    #[error(transparent)]
    Log(#[from] LogError),
    /// Another member change, or the first entry of the leader's term, is not committed yet.
    #[error("another member change is not finished")]
    Pending,
    /// The change does not apply to the current members; the text says why.
    #[error("{0}")]
    Invalid(String),
    /// The new replica did not reply, or another host replied.
    #[error("cannot reach the new replica at {address}: {reason}")]
    Unreachable {
        /// IP address and port at which the replica was contacted.
        address: String,
        /// Cause.
        reason: String,
    },
    /// The new replica is a member but did not become a voter in time.
    #[error("the new replica has not caught up yet")]
    CatchingUp,
}
