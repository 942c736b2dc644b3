//! Selection of the membership change that repairs a cluster.

use {
    super::types::{MemberRecord, ReplicaIdentity},
    crate::{names::SharedName, time::Micros},
};

/// Time without a reply after which a waiting replica may replace a member.
///
/// Elections take up to 0.8 s, so a member that only lost its leader does not reach this limit.
const MEMBER_SILENCE_TIMEOUT: Micros = Micros::from_millis(1_500);

/// Member and the time since its last reply to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberContact {
    /// The member.
    pub record: MemberRecord,
    /// Time since the leader last received a reply from it.
    pub silent_for: Micros,
}

/// Replica that has requested to become a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingReplica {
    /// Host name.
    pub host: SharedName,
    /// Address of its listener.
    pub address: SharedName,
    /// Identity of its data folder.
    pub identity: ReplicaIdentity,
}

/// Single membership change that brings a cluster closer to its intended set of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RepairStep {
    /// Add a replica, since the cluster has fewer members than wanted.
    Add(WaitingReplica),
    /// Remove a member so that a waiting replica can replace it.
    Remove {
        /// Identity of the member.
        identity: ReplicaIdentity,
        /// Cause of the removal.
        reason: RepairReason,
    },
}

/// Reason for removing a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairReason {
    /// Its host returned with an empty disk, and so with a new identity.
    DiskLost,
    /// It has not replied for `MEMBER_SILENCE_TIMEOUT` and another replica waits to replace it.
    Silent,
}

/// Returns the next membership change, or `None` if none is needed.
///
/// A member is removed only when another replica waits to replace it: keeping a silent member that may
/// return is better than shrinking the cluster. An address belongs to one process, so a replica with a
/// different identity at a member's address proves that the member's disk is lost.
#[must_use]
pub fn next_repair(
    members: &[MemberContact],
    waiting: &[WaitingReplica],
    voters_wanted: usize,
) -> Option<RepairStep> {
    let known =
        |identity: ReplicaIdentity| members.iter().any(|member| member.record.identity == identity);
    for replica in waiting {
        if known(replica.identity) {
            continue;
        }
        for member in members {
            let record = &member.record;
            if record.address == replica.address || record.host == replica.host {
                let reason = RepairReason::DiskLost;
                return Some(RepairStep::Remove { identity: record.identity, reason });
            }
        }
        if members.len() < voters_wanted {
            return Some(RepairStep::Add(replica.clone()));
        }
        let silent = members
            .iter()
            .filter(|member| member.silent_for >= MEMBER_SILENCE_TIMEOUT)
            .max_by_key(|member| member.silent_for);
        if let Some(member) = silent {
            let (identity, reason) = (member.record.identity, RepairReason::Silent);
            return Some(RepairStep::Remove { identity, reason });
        }
    }
    None
}
