//! Membership of the directory's cluster: replicas that request to join, and a leader that repairs the cluster.

use {
    crate::node::DirectoryNode,
    banyansill_core::{
        collections::FastMap,
        consensus::{
            MemberContact, RepairReason, RepairStep, ReplicaIdentity, WaitingReplica, next_repair,
        },
        directory::{DirectoryCommand, DirectoryState, ProcessKind},
        event::EventNumber,
        names::SharedName,
        time::Micros,
    },
    banyansill_replica::{
        command_log::CommandLog,
        replica::{MemberError, ReplicaHandle},
    },
    banyansill_wire::directory_v1 as v1,
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{interval, sleep, timeout},
    },
};

/// Time for which a join request is valid; the replica repeats it every 250 ms.
const JOIN_REQUEST_TTL: Micros = Micros::from_millis(1_500);

/// Interval at which a replica checks its membership, and requests to join if it is not a voter.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the leader checks whether the cluster needs a repair.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the leader waits for a new replica to catch up before it checks the cluster again.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a leader after which a voter requests to join, in case it was removed from the cluster.
const LEADERLESS_TIMEOUT: Micros = Micros::from_secs(2);

/// Join requests that the leader has received; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingJoins {
    requests: Arc<Mutex<FastMap<ReplicaIdentity, (WaitingReplica, Micros)>>>,
}

impl PendingJoins {
    /// Records a request received at `now`; logs it unless one of the same replica is already recorded.
    pub(crate) fn record(&self, replica: WaitingReplica, now: Micros) {
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        if !requests.contains_key(&replica.identity) {
            log::info!(
                target: "event",
                event:display = EventNumber::JoinRequested,
                replica:display = replica.host,
                address:display = replica.address,
                identity:display = replica.identity;
                ""
            );
        }
        requests.insert(replica.identity, (replica, now));
    }

    /// Returns the replicas whose requests are still valid, in the order of their identities.
    fn waiting(&self, now: Micros) -> Vec<WaitingReplica> {
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.retain(|_, (_, received_at)| now.since(*received_at) < JOIN_REQUEST_TTL);
        let mut waiting: Vec<WaitingReplica> =
            requests.values().map(|(replica, _)| replica.clone()).collect();
        waiting.sort_by_key(|replica| replica.identity);
        waiting
    }
}

/// Node of a directory replica that runs in a process.
pub(crate) type Node = DirectoryNode<ReplicaHandle<DirectoryState>>;

/// Requests to join whenever this replica is not a voter, until the process ends; otherwise keeps its address
/// recorded for entries.
pub(crate) async fn keep_membership(node: Node, seeds: watch::Receiver<Vec<SharedName>>) {
    let mut failed_attempts = 0;
    let mut leader_seen_at = node.clock.now();
    let mut addresses = Vec::new();
    loop {
        sleep(JOIN_INTERVAL).await;
        add_new(&mut addresses, seeds.borrow().iter().cloned());
        let status = node.log.status().borrow().clone();
        if status.leader.is_some() {
            leader_seen_at = node.clock.now();
        }
        let Ok(members) = node.log.members().await else { continue };
        let Ok(identity) = node.log.identity().await else { continue };
        let voter =
            members.iter().any(|member| member.record.identity == identity && member.record.voter);
        if voter && node.clock.now().since(leader_seen_at) < LEADERLESS_TIMEOUT {
            record_own_address(&node).await;
            continue;
        }
        add_new(&mut addresses, members.iter().map(|member| member.record.address.clone()));
        let own = &node.own;
        let others: Vec<SharedName> =
            addresses.iter().filter(|address| **address != own.address).cloned().collect();
        let Some(address) = others.get(failed_attempts % others.len().max(1)) else { continue };
        failed_attempts += 1;
        let request = v1::JoinRequest {
            host: own.host.to_string(),
            address: own.address.to_string(),
            identity: identity.0,
        };
        match node.leader.join(address, request).await {
            Ok(reply) => {
                failed_attempts -= 1;
                add_new(&mut addresses, reply.members.into_iter().map(SharedName::from));
            }
            Err(error) => log::debug!("replica {address} did not accept the join request: {error}"),
        }
    }
}

fn add_new(addresses: &mut Vec<SharedName>, others: impl Iterator<Item = SharedName>) {
    for address in others {
        if !addresses.contains(&address) {
            addresses.push(address);
        }
    }
}

/// Records this replica's address in the directory, from which entries learn it.
async fn record_own_address(node: &Node) {
    let own = node.own.clone();
    let host = own.host.clone();
    let recorded = node.log.inspect(move |state| state.controls().get(&host).cloned()).await;
    let has_leader = node.log.status().borrow().leader.is_some();
    if has_leader && recorded.is_ok_and(|recorded| recorded.as_ref() != Some(&own)) {
        let command = DirectoryCommand::RecordProcess { kind: ProcessKind::Control, process: own };
        // If this fails, it is repeated at the next check.
        let _ = node.change(&command, "record of a control replica").await;
    }
}

/// Repairs the cluster while this replica is the leader, until the process ends.
pub(crate) async fn repair(node: Node, pending_joins: PendingJoins, voters_wanted: usize) {
    let mut ticks = interval(REPAIR_INTERVAL);
    loop {
        ticks.tick().await;
        if !node.log.status().borrow().leading {
            continue;
        }
        let Ok(members) = node.log.members().await else { continue };
        let mut contacts = Vec::new();
        for member in members {
            // `None` means that this replica is no longer the leader.
            let Some(silent_for) = member.silent_for else { continue };
            contacts.push(MemberContact { record: member.record, silent_for });
        }
        remove_former_members(&node, &contacts).await;
        let waiting = pending_joins.waiting(node.clock.now());
        let Some(step) = next_repair(&contacts, &waiting, voters_wanted) else { continue };
        apply_repair(&node, step).await;
    }
}

/// Carries out one membership change and logs its outcome.
async fn apply_repair(node: &Node, step: RepairStep) {
    let (action, subject, reason) = match &step {
        RepairStep::Add(replica) => ("add", replica.host.to_string(), "waiting"),
        RepairStep::Remove { identity, reason } => {
            let reason = match reason {
                RepairReason::DiskLost => "disk lost",
                RepairReason::Silent => "silent",
            };
            ("remove", identity.to_string(), reason)
        }
    };
    let result = match step {
        RepairStep::Add(replica) => {
            let added = node.log.add_member(&replica.host, &replica.address);
            timeout(CATCH_UP_TIMEOUT, added).await.unwrap_or(Err(MemberError::CatchingUp))
        }
        RepairStep::Remove { identity, .. } => node.log.remove_identity(identity).await,
    };
    let outcome = match &result {
        Ok(()) => "done".to_owned(),
        Err(error) => error.to_string(),
    };
    log::info!(
        target: "event",
        event:display = EventNumber::RepairDecided,
        action,
        subject:display,
        reason,
        outcome:display;
        ""
    );
}

/// Removes the addresses of replicas that are no longer members from the directory.
async fn remove_former_members(node: &Node, contacts: &[MemberContact]) {
    let listed = node.log.inspect(|state| state.controls().clone()).await;
    let Ok(listed) = listed else { return };
    if contacts.is_empty() {
        return;
    }
    for process in listed.into_values() {
        if contacts.iter().any(|contact| contact.record.address == process.address) {
            continue;
        }
        let kind = ProcessKind::Control;
        let (host, address) = (process.host, process.address);
        let command = DirectoryCommand::RemoveProcess { kind, host, address };
        // If this fails, it is repeated at the next check.
        let _ = node.change(&command, "removal of a control replica").await;
    }
}
