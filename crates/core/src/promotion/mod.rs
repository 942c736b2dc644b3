//! Decisions of the control leader: lease expiry, broker assignment, liveness and changes of primary.
//!
//! The rules read the applied state, the leader's observations and the time, and return commands with
//! the preconditions under which they were decided. No decision depends on an earlier one that is not
//! in the log, so a new leader continues where the log ends.

mod assign;
mod change;

pub use {
    assign::{FIRST_ASSIGNMENT_DELAY, REBALANCE_LIMIT, preferred_entry},
    change::{
        ADOPTION_DELAY, CANDIDATE_TIMEOUT, CandidateChoice, MAX_POSITION_AGE, next_primary_change,
        required_answers, select_candidate,
    },
};

use {
    crate::{
        cluster::{BrokerRef, ClusterCommand, ClusterState, DatabaseRecord, TargetRecord},
        detector::{LivenessTable, TargetCondition, TargetKey},
        names::SharedName,
        time::Micros,
    },
    assign::AssignmentPlan,
};

/// Maximum number of database groups that one pass evaluates; bounds the time for which a pass holds
/// the state machine.
const GROUPS_PER_PASS: usize = 2_000;

/// Maximum number of commands of one pass; those beyond it are decided again in the next pass.
///
/// The proposer waits for all of them before the next pass. At 256 the loss of a zone, about 23,500
/// commands at the design size, needed 92 passes.
pub const COMMANDS_PER_PASS: usize = 1_024;

/// Time without announcements and broker contact after which a target that was leaving is removed from
/// its group.
const REMOVAL_TIMEOUT: Micros = Micros::from_secs(60);

/// Returns the commands to log now.
///
/// Entries that these commands expire are refused renewals until `LivenessTable::finish_expiry`.
pub fn decide(state: &ClusterState, table: &mut LivenessTable, now: Micros) -> Vec<ClusterCommand> {
    table.tick(state, now);
    let mut commands = Vec::new();
    for entry in table.begin_expiry(state, now) {
        let Some(record) = state.entries().get(&entry.host) else { continue };
        let expected_version = record.version;
        commands.push(ClusterCommand::ExpireEntry { host: entry.host, expected_version });
    }
    let names = table.pop_due_groups(now, GROUPS_PER_PASS);
    let mut unfinished = Vec::new();
    let mut plan = AssignmentPlan::new(state, table, now);
    for name in names {
        let Some(group) = state.databases().get(&name) else { continue };
        let count = commands.len();
        decide_group(&mut plan, &name, group, &mut commands);
        unfinished.push((name, group, commands.len() > count));
    }
    let cursor = plan.improve_placement(&mut commands);
    if let Some(cursor) = cursor {
        table.set_placement_cursor(cursor);
    }
    for (name, group, unfinished) in unfinished {
        table.schedule(state, &name, group, unfinished, now);
    }
    for command in &commands {
        if let ClusterCommand::ForgetTarget { database, server, .. } = command {
            table.record_removal((database.clone(), server.clone()), now);
        }
    }
    commands.sort_by_key(priority);
    commands.truncate(COMMANDS_PER_PASS);
    commands
}

/// Returns the rank of a command within its pass; the lowest goes first.
///
/// A database without a primary serves nothing, while one whose replica lacks a broker only serves
/// somewhat less.
const fn priority(command: &ClusterCommand) -> u8 {
    match command {
        ClusterCommand::AssignBroker { .. } => 1,
        ClusterCommand::SetTargetLive { .. } | ClusterCommand::ForgetTarget { .. } => 2,
        _ => 0,
    }
}

fn decide_group(
    plan: &mut AssignmentPlan<'_>,
    name: &SharedName,
    group: &DatabaseRecord,
    commands: &mut Vec<ClusterCommand>,
) {
    let (state, table, now) = (plan.state, plan.table, plan.now);
    for (server, target) in &group.targets {
        let key = (name.clone(), server.clone());
        if let Some(broker) = plan.next_broker(&key, target) {
            commands.push(assignment(&key, target, broker));
        }
        commands.extend(liveness_change(state, table, &key, target, now));
        commands.extend(rejoin_completion(state, table, &key, (group, target), now));
        commands.extend(removal(state, table, &key, (group, target), now));
    }
    commands.extend(next_primary_change(state, table, name, group, now));
}

fn assignment(key: &TargetKey, target: &TargetRecord, broker: Option<BrokerRef>) -> ClusterCommand {
    ClusterCommand::AssignBroker {
        database: key.0.clone(),
        server: key.1.clone(),
        expected_epoch: target.epoch,
        broker,
    }
}

fn liveness_change(
    state: &ClusterState,
    table: &LivenessTable,
    key: &TargetKey,
    target: &TargetRecord,
    now: Micros,
) -> Option<ClusterCommand> {
    let live = match table.condition(state, key, target, now) {
        TargetCondition::Healthy | TargetCondition::AnnouncementsMissing => true,
        TargetCondition::Unreachable => false,
        TargetCondition::ProbesFailing | TargetCondition::Unknown => target.live,
    };
    if live == target.live || (live && target.info.address.is_empty()) {
        return None;
    }
    Some(ClusterCommand::SetTargetLive {
        database: key.0.clone(),
        server: key.1.clone(),
        expected_version: target.version,
        live,
    })
}

/// Clears the rejoining flag of a server that lost its log once it has reached a position that the
/// primary had after the server came back.
fn rejoin_completion(
    state: &ClusterState,
    table: &LivenessTable,
    key: &TargetKey,
    (group, target): (&DatabaseRecord, &TargetRecord),
    now: Micros,
) -> Option<ClusterCommand> {
    let incarnation = target.rejoining?;
    let primary = group.primary.as_ref().filter(|_| !group.closed)?;
    // Positions that arrive sooner may have been read before the server came back.
    let since = table.incarnation_since(key) + MAX_POSITION_AGE;
    if *primary != key.1 {
        let record = group.targets.get(primary)?;
        let source = (key.0.clone(), primary.clone());
        let wanted = table.position_since(state, &source, record, since, now)?;
        if table.position_since(state, key, target, since, now)? < wanted {
            return None;
        }
    }
    Some(ClusterCommand::SetRejoining {
        database: key.0.clone(),
        server: key.1.clone(),
        incarnation,
        rejoining: false,
    })
}

/// Removes a target that was leaving and has been silent for `REMOVAL_TIMEOUT`, if a live target of its
/// group has reached its last position.
fn removal(
    state: &ClusterState,
    table: &LivenessTable,
    key: &TargetKey,
    (group, target): (&DatabaseRecord, &TargetRecord),
    now: Micros,
) -> Option<ClusterCommand> {
    if target.live || !target.is_draining() || group.closed {
        return None;
    }
    let server = &key.1;
    if group.primary.as_ref() == Some(server) || table.silent_for(key, now) < REMOVAL_TIMEOUT {
        return None;
    }
    let last = table.announcement(key).map(|(_, announcement)| announcement.position);
    let covers = |(other, record): (&SharedName, &TargetRecord)| {
        let key = (key.0.clone(), other.clone());
        let position = table.position_since(state, &key, record, Micros::ZERO, now);
        record.live && position.is_some() && position >= last
    };
    if !group.targets.iter().any(covers) {
        return None;
    }
    Some(ClusterCommand::ForgetTarget {
        database: key.0.clone(),
        server: server.clone(),
        expected_version: target.version,
    })
}
