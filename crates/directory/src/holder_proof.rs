//! Task of a group that finds out whether replicas that have left are still needed by a promotion.

use {
    crate::{
        group_snapshot::GroupSnapshot,
        node::DirectoryNode,
        probe::{
            ControlRequest, ReplicaCheck, check_replicas, request_row, request_rows, server_log,
        },
        supervisor::SupervisorSources,
    },
    banyansill_core::{
        directory::{
            DirectoryCommand, DirectoryState, EndedReplicas, HolderProof, ProofStep, ServerLog,
            TargetReport, is_covered,
        },
        event::EventNumber,
        names::SharedName,
        route::TargetRole,
        time::Micros,
    },
    banyansill_replica::command_log::CommandLog,
    banyansill_target::{ProbeRow, StatementProtocol},
    std::time::Duration,
    tokio::time::sleep,
};

/// Interval between two checks of the replicas.
const CHECK_INTERVAL: Micros = Micros::from_secs(1);

/// Interval between two steps of a proof.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Removal of replicas that have ended, once the others have the log that the primary had afterwards.
struct PlannedRemoval {
    /// Names and start times of the processes.
    processes: Vec<(SharedName, u64)>,
    primary: ServerLog,
}

fn process(report: &TargetReport) -> (SharedName, u64) {
    (report.target.clone(), report.order.incarnation)
}

/// Proof of one group, repeated while this replica is the leader.
pub(crate) struct HolderTask<L, P> {
    node: DirectoryNode<L>,
    protocol: P,
    group: SharedName,
    proof: HolderProof,
    /// Primary to which the proof refers.
    primary: Option<SharedName>,
    ended: EndedReplicas,
    removal: Option<PlannedRemoval>,
    checked_at: Option<Micros>,
}

impl<L, P> HolderTask<L, P>
where
    L: CommandLog<Machine = DirectoryState>,
    P: StatementProtocol,
{
    pub(crate) fn new<O>(sources: &SupervisorSources<L, P, O>, group: &SharedName) -> Self {
        Self {
            node: sources.node.clone(),
            protocol: sources.protocol.clone(),
            group: group.clone(),
            proof: HolderProof::default(),
            primary: None,
            ended: EndedReplicas::default(),
            removal: None,
            checked_at: None,
        }
    }

    /// Takes steps until the task is aborted or the directory is unavailable.
    pub(crate) async fn run(mut self) {
        loop {
            let group = self.group.clone();
            let read = self.node.log.inspect(move |state| GroupSnapshot::of(state, &group));
            let Ok(snapshot) = read.await else { return };
            self.take_step(&snapshot).await;
            let now = self.node.clock.now();
            if self.checked_at.is_none_or(|at| now.since(at) >= CHECK_INTERVAL) {
                self.checked_at = Some(now);
                self.check_replicas(&snapshot).await;
            }
            sleep(STEP_INTERVAL).await;
        }
    }

    async fn take_step(&mut self, snapshot: &GroupSnapshot) {
        // A promotion may wait for this proof, so the proof does not wait for its end.
        let primary = snapshot.undisputed_primary();
        if self.primary.as_ref() != primary.map(|primary| &primary.target) {
            self.primary = primary.map(|primary| primary.target.clone());
            self.proof.reset();
        }
        let Some(primary) = primary.filter(|_| snapshot.waits_for_replicas()) else { return };
        let now = self.node.clock.now();
        match self.proof.next_step(now, snapshot.version, !snapshot.holders.is_empty()) {
            ProofStep::Wait => {}
            ProofStep::AskPrimary => self.ask_primary(snapshot, primary).await,
            ProofStep::AskReplicas => {
                let replicas = snapshot.replicas();
                let rows = self.request_positions(&replicas).await;
                let logs: Vec<ServerLog> = rows.iter().map(server_log).collect();
                self.proof.replicas_answered(&logs, snapshot.sync_replicas);
            }
            ProofStep::Confirm { until } => self.confirm(snapshot, until).await,
        }
    }

    /// Removes replicas that have ended without a farewell, so that the loss of the primary long after theirs is no loss of the
    /// group.
    ///
    /// Each commit that one of them confirmed is in the log that the primary has after its end. They are removed once as many
    /// replicas as confirm a commit have received that log.
    async fn check_replicas(&mut self, snapshot: &GroupSnapshot) {
        let primary = snapshot.primary().filter(|_| snapshot.record.promotion.is_none());
        let Some(primary) = primary.filter(|_| snapshot.waits_for_replicas()) else {
            self.removal = None;
            return;
        };
        let replicas = snapshot.replicas();
        self.ended.retain(|name| replicas.iter().any(|report| report.target == *name));
        let checks = check_replicas(&self.protocol, &self.node.own.host, &replicas).await;
        let now = self.node.clock.now();
        let mut ended = Vec::new();
        let mut running = Vec::new();
        for (report, check) in checks {
            let is_refused = check == ReplicaCheck::Ended;
            let incarnation = report.order.incarnation;
            if self.ended.observe(now, &report.target, incarnation, is_refused) {
                ended.push(report);
            } else {
                running.push(report);
            }
        }
        let processes: Vec<(SharedName, u64)> = ended.iter().map(process).collect();
        if self.removal.as_ref().is_none_or(|removal| removal.processes != processes) {
            self.removal = None;
        }
        if ended.is_empty() {
            return;
        }
        if self.removal.is_none() {
            let request = ControlRequest::Position;
            let row = request_row(&self.protocol, &self.node.own.host, primary, request).await;
            let leading = row.filter(|row| row.role == TargetRole::Primary);
            let removal = |row| PlannedRemoval { processes, primary: server_log(&row) };
            self.removal = leading.map(removal);
        }
        let Some(primary) = self.removal.as_ref().map(|removal| removal.primary) else { return };
        let running: Vec<&TargetReport> = running.iter().collect();
        let rows = self.request_positions(&running).await;
        let logs: Vec<ServerLog> = rows.iter().map(server_log).collect();
        if is_covered(primary, &logs, snapshot.sync_replicas) {
            self.remove_ended(ended).await;
        }
    }

    async fn remove_ended(&self, ended: Vec<TargetReport>) {
        for report in ended {
            let incarnation = report.order.incarnation;
            let target = report.target.clone();
            let command = DirectoryCommand::RemoveEnded { target, incarnation };
            // If this fails, it is repeated after the next check.
            let removed = self.node.change(&command, "removal of an ended replica").await;
            if removed.is_ok_and(|removed| removed) {
                log::info!(
                    target: "event",
                    event:display = EventNumber::EndedReplicaRemoved,
                    group:display = self.group,
                    server:display = report.target,
                    address:display = report.address,
                    incarnation;
                    ""
                );
            }
        }
    }

    async fn ask_primary(&mut self, snapshot: &GroupSnapshot, primary: &TargetReport) {
        let departed = snapshot.departed_targets();
        let departed: Vec<&TargetReport> = departed.iter().collect();
        if !self.request_positions(&departed).await.is_empty() {
            // It goes on confirming commits.
            return;
        }
        let request = ControlRequest::Position;
        let row = request_row(&self.protocol, &self.node.own.host, primary, request).await;
        if let Some(row) = row.filter(|row| row.role == TargetRole::Primary) {
            self.proof.primary_answered(server_log(&row));
        }
    }

    async fn request_positions(&self, targets: &[&TargetReport]) -> Vec<ProbeRow> {
        let host = &self.node.own.host;
        let rows = request_rows(&self.protocol, host, targets, ControlRequest::Position).await;
        rows.into_iter().map(|(_, row)| row).collect()
    }

    async fn confirm(&mut self, snapshot: &GroupSnapshot, until: u64) {
        let command = DirectoryCommand::ConfirmHolders { group: self.group.clone(), until };
        // If this fails, it is repeated at the next step.
        if self.node.submit(&command, "proof of departed holders").await.is_err() {
            return;
        }
        self.proof.recorded(self.node.clock.now());
        let departed = snapshot.holders.iter().filter(|holder| holder.since <= until).count();
        if departed > 0 {
            log::info!(
                target: "event",
                event:display = EventNumber::HoldersConfirmed,
                group:display = self.group,
                departed,
                until;
                ""
            );
        }
    }
}
