//! Task of the leader, which derives commands from the observations and proposes them.

use {
    crate::{
        command_log::{CommandLog, LogError},
        members::MemberControl,
        node::{ControlNode, LeaderTable, NodeError, lock},
    },
    banyansill_core::{
        cluster::{BrokerRef, ClusterCommand, ClusterState},
        detector::LivenessTable,
        promotion,
    },
    futures::future::join_all,
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// Interval between two passes over the observations when nothing wakes the task.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after each pass, so that many urgent heartbeats do not occupy the leader.
const PASS_PAUSE: Duration = Duration::from_millis(10);

/// Runs passes until the task is aborted or the log ends; does nothing while another replica leads.
pub async fn run<L, M>(node: ControlNode<L, M>)
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let mut ticks = time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut status = node.log.status();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = node.wake.notified() => {}
            changed = status.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        if update_leader_table(&node) {
            decide(&node).await;
            time::sleep(PASS_PAUSE).await;
        }
    }
}

/// Creates the table of observations when a leadership begins and drops it when it ends; returns
/// whether this replica leads.
fn update_leader_table<L, M>(node: &ControlNode<L, M>) -> bool
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let status = node.log.status().borrow().clone();
    let mut leader = lock(&node.leader);
    let current = leader.as_ref().map(|leader| leader.term);
    if !status.leading {
        *leader = None;
        return false;
    }
    if current != Some(status.term) {
        let table = LivenessTable::new(node.clock.now());
        *leader = Some(LeaderTable { term: status.term, table });
    }
    true
}

async fn decide<L, M>(node: &ControlNode<L, M>)
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let leader = Arc::clone(&node.leader);
    let clock = node.clock;
    let decided = node
        .log
        .inspect(move |state| {
            let mut leader = lock(&leader);
            let Some(leader) = leader.as_mut() else { return Vec::new() };
            let mut decisions = Vec::new();
            for command in promotion::decide(state, &mut leader.table, clock.now()) {
                decisions.push((expiring_entry(state, &command), command));
            }
            decisions
        })
        .await;
    let decisions = match decided {
        Ok(decisions) => decisions,
        Err(error) => {
            log::warn!("cannot read the state for a pass: {error}");
            return;
        }
    };
    let mut proposals = Vec::new();
    for (entry, command) in decisions {
        proposals.push(propose(node, entry, command));
    }
    join_all(proposals).await;
}

fn expiring_entry(state: &ClusterState, command: &ClusterCommand) -> Option<BrokerRef> {
    let ClusterCommand::ExpireEntry { host, .. } = command else { return None };
    let record = state.entries().get(host)?;
    Some(BrokerRef { host: host.clone(), incarnation: record.info.incarnation })
}

async fn propose<L, M>(node: &ControlNode<L, M>, entry: Option<BrokerRef>, command: ClusterCommand)
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let result = node.propose(command).await;
    match &result {
        Ok(_) => {}
        Err(NodeError::Rejected(rejection)) => log::debug!("command rejected: {rejection}"),
        Err(NodeError::Log(LogError::NotLeader { .. })) => {}
        Err(error) => log::warn!("command not confirmed: {error}"),
    }
    // While the outcome is unknown the command may still be committed, so renewals stay refused.
    if let (Some(entry), Ok(_) | Err(NodeError::Rejected(_))) = (entry, &result) {
        let _ = node.with_table(|table| table.finish_expiry(&entry));
    }
}
