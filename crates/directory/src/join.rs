//! Replicas that join by themselves and a leader that repairs the set of replicas.

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

/// Time for which a request to join stands; the replica repeats it.
const REQUEST_LIFE: Micros = Micros::from_millis(1_500);

/// Interval at which a replica that is no voter asks to join.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the leader looks for something to repair.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the leader waits for a new replica to catch up before it looks around again.
const ADD_LIMIT: Duration = Duration::from_secs(2);

/// Time without a leader after which a voter asks whether it was replaced.
const LEADERLESS_LIMIT: Micros = Micros::from_secs(2);

/// Requests to join that the leader knows; clones share the book.
#[derive(Clone, Debug, Default)]
pub(crate) struct JoinBook {
    requests: Arc<Mutex<FastMap<ReplicaIdentity, (WaitingReplica, Micros)>>>,
}

impl JoinBook {
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

    fn waiting(&self, now: Micros) -> Vec<WaitingReplica> {
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.retain(|_, (_, asked)| now.since(*asked) < REQUEST_LIFE);
        let mut waiting: Vec<WaitingReplica> =
            requests.values().map(|(replica, _)| replica.clone()).collect();
        waiting.sort_by_key(|replica| replica.identity);
        waiting
    }
}

/// Replica of the directory as a process runs it.
pub(crate) type Node = DirectoryNode<ReplicaHandle<DirectoryState>>;

/// Asks to join whenever this replica is no voter, until the process ends.
pub(crate) async fn ask(node: Node, seeds: watch::Receiver<Vec<SharedName>>) {
    let mut turn = 0;
    let mut led = node.clock.now();
    let mut addresses = Vec::new();
    loop {
        sleep(ASK_INTERVAL).await;
        add_new(&mut addresses, seeds.borrow().iter().cloned());
        let status = node.log.status().borrow().clone();
        if status.leader.is_some() {
            led = node.clock.now();
        }
        let Ok(members) = node.log.members().await else { continue };
        let Ok(identity) = node.log.identity().await else { continue };
        let voter =
            members.iter().any(|member| member.record.identity == identity && member.record.voter);
        if voter && node.clock.now().since(led) < LEADERLESS_LIMIT {
            record_own(&node).await;
            continue;
        }
        add_new(&mut addresses, members.iter().map(|member| member.record.address.clone()));
        let own = &node.own;
        let others: Vec<SharedName> =
            addresses.iter().filter(|address| **address != own.address).cloned().collect();
        let Some(address) = others.get(turn % others.len().max(1)) else { continue };
        turn += 1;
        let request = v1::JoinRequest {
            host: own.host.to_string(),
            address: own.address.to_string(),
            identity: identity.0,
        };
        match node.leader.join(address, request).await {
            Ok(reply) => {
                turn -= 1;
                add_new(&mut addresses, reply.members.into_iter().map(SharedName::from));
            }
            Err(error) => log::debug!("replica {address} took no request to join: {error}"),
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

/// Makes this replica's address known to entries.
async fn record_own(node: &Node) {
    let own = node.own.clone();
    let host = own.host.clone();
    let known = node.log.inspect(move |state| state.controls().get(&host).cloned()).await;
    let led = node.log.status().borrow().leader.is_some();
    if led && known.is_ok_and(|known| known.as_ref() != Some(&own)) {
        let command = DirectoryCommand::RecordProcess { kind: ProcessKind::Control, process: own };
        // Repeated at the next look.
        let _ = node.change(&command, "record of a control replica").await;
    }
}

/// Repairs the set of replicas while this one leads, until the process ends.
pub(crate) async fn repair(node: Node, joins: JoinBook, voters_wanted: usize) {
    let mut ticks = interval(REPAIR_INTERVAL);
    loop {
        ticks.tick().await;
        if !node.log.status().borrow().leading {
            continue;
        }
        let Ok(members) = node.log.members().await else { continue };
        let mut contacts = Vec::new();
        for member in members {
            // Without a contact this replica does not lead any more.
            let Some(silent_for) = member.silent_for else { continue };
            contacts.push(MemberContact { record: member.record, silent_for });
        }
        forget_departed(&node, &contacts).await;
        let waiting = joins.waiting(node.clock.now());
        let Some(step) = next_repair(&contacts, &waiting, voters_wanted) else { continue };
        take(&node, step).await;
    }
}

async fn take(node: &Node, step: RepairStep) {
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
            timeout(ADD_LIMIT, added).await.unwrap_or(Err(MemberError::CatchingUp))
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

/// Removes the addresses of replicas that are no members any more.
async fn forget_departed(node: &Node, contacts: &[MemberContact]) {
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
        // Repeated at the next look.
        let _ = node.change(&command, "departure of a control replica").await;
    }
}
