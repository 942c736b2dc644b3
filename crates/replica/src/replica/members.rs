//! Members as the operator sees them.

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
    /// Whether it is the leader, as far as the answering replica knows.
    pub leader: bool,
    /// Highest synced index that the leader knows of; 0 if the answering replica does not lead.
    pub match_index: u64,
    /// Time since the leader last heard from it; zero for the leader itself, `None` if the answering
    /// replica does not lead.
    pub silent_for: Option<Micros>,
}

/// Member change that was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MemberError {
    /// The log refused the change.
    #[error(transparent)]
    Log(#[from] LogError),
    /// Another change is not finished, or the leader is new.
    #[error("another member change is not finished")]
    Pending,
    /// The change makes no sense for the current members.
    #[error("{0}")]
    Invalid(String),
    /// The new replica did not answer.
    #[error("replica at {address} did not answer: {reason}")]
    Unreachable {
        /// Address asked.
        address: String,
        /// Cause.
        reason: String,
    },
    /// The new replica is a learner but has not caught up in time.
    #[error("the new replica has not caught up yet")]
    CatchingUp,
}
