//! What the control leader logs next: expiry, assignment, liveness and changes of primary.
//!
//! Every function is pure: it looks at the applied state, the leader's observations and the time, and
//! returns commands with the preconditions that they were decided under. Nothing is remembered between
//! calls, so a new leader continues where the log ends.

mod assign;
mod change;

pub use {
    assign::{FIRST_ASSIGNMENT_DELAY, REBALANCE_LIMIT, preferred_entry},
    change::{
        ADOPTION_DELAY, CANDIDATE_TIMEOUT, ChangeOutlook, next_step, outlook, required_answers,
    },
};

use crate::{
    cluster::{ClusterCommand, ClusterState},
    detector::{LivenessTable, TargetCondition},
    time::Micros,
};

/// Returns everything that is to be logged now.
///
/// Entries that are expired by the result are refused renewals until `LivenessTable::expiry_settled`.
pub fn decide(state: &ClusterState, table: &mut LivenessTable, now: Micros) -> Vec<ClusterCommand> {
    table.tick(state, now);
    let mut commands = Vec::new();
    for entry in table.begin_expiry(state, now) {
        let Some(record) = state.entries().get(&entry.host) else { continue };
        let expected_version = record.version;
        commands.push(ClusterCommand::ExpireEntry { host: entry.host, expected_version });
    }
    assign::assignments(state, table, now, &mut commands);
    for (name, group) in state.databases() {
        liveness(state, table, name, group, now, &mut commands);
        commands.extend(next_step(state, table, name, group, now));
    }
    commands
}

fn liveness(
    state: &ClusterState,
    table: &LivenessTable,
    name: &crate::names::SharedName,
    group: &crate::cluster::DatabaseRecord,
    now: Micros,
    commands: &mut Vec<ClusterCommand>,
) {
    for (server, target) in &group.targets {
        let key = (name.clone(), server.clone());
        let live = match table.condition(state, &key, target, now) {
            TargetCondition::Healthy | TargetCondition::Unheard => true,
            TargetCondition::Unreachable => false,
            TargetCondition::PathSilent | TargetCondition::Unknown => target.live,
        };
        if live == target.live || (live && target.info.address.is_empty()) {
            continue;
        }
        commands.push(ClusterCommand::SetTargetLive {
            database: name.clone(),
            server: server.clone(),
            expected_version: target.version,
            live,
        });
    }
}
