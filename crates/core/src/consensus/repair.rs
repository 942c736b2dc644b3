//! Which change of members repairs a cluster.

use {
    super::types::{MemberRecord, ReplicaIdentity},
    crate::{names::SharedName, time::Micros},
};

/// Silence after which a member's place is given to a replica that waits for one. Elections take up to
/// 0.8 s, so a member that only lost its leader is not silent for that long.
const REPLACE_AFTER: Micros = Micros::from_millis(1_500);

/// A member as its leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberContact {
    /// The member.
    pub record: MemberRecord,
    /// Time since the leader last heard from it.
    pub silent_for: Micros,
}

/// A replica that asks to become a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingReplica {
    /// Host name.
    pub host: SharedName,
    /// Address of its listener.
    pub address: SharedName,
    /// Identity of its data folder.
    pub identity: ReplicaIdentity,
}

/// Change that repairs the set of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RepairStep {
    /// Add a replica where a place is free.
    Add(WaitingReplica),
    /// Remove a member whose place another replica takes.
    Remove {
        /// Identity of the member.
        identity: ReplicaIdentity,
        /// Why.
        reason: RepairReason,
    },
}

/// Why a member is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairReason {
    /// Its host came back with an empty disk.
    DiskLost,
    /// It has been silent for long and another replica waits.
    Silent,
}

/// Returns the next change of members, or `None` if nothing is to be done.
///
/// A member is removed only when another replica waits for its place: a silent member that returns is
/// worth more than a smaller set. An address belongs to one process, so a replica with another identity
/// at the address of a member proves that the member's disk is gone.
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
            .filter(|member| member.silent_for >= REPLACE_AFTER)
            .max_by_key(|member| member.silent_for);
        if let Some(member) = silent {
            let (identity, reason) = (member.record.identity, RepairReason::Silent);
            return Some(RepairStep::Remove { identity, reason });
        }
    }
    None
}
