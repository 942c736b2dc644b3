//! Task of a group that finds out whether replicas that have left are still needed by a promotion.

use {
    crate::{
        group_snapshot::GroupSnapshot,
        node::DirectoryNode,
        probe::{ControlRequest, request_row, request_rows, server_log},
        supervisor::SupervisorSources,
    },
    banyansill_core::{
        directory::{
            DirectoryCommand, DirectoryState, HolderProof, ProofStep, ServerLog, TargetReport,
        },
        event::EventNumber,
        names::SharedName,
        route::TargetRole,
    },
    banyansill_replica::command_log::CommandLog,
    banyansill_target::{ProbeRow, StatementProtocol},
    std::time::Duration,
    tokio::time::sleep,
};

/// Interval between two steps of a proof.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Proof of one group, repeated while this replica is the leader.
pub(crate) struct HolderTask<L, P> {
    node: DirectoryNode<L>,
    protocol: P,
    group: SharedName,
    proof: HolderProof,
    /// Primary to which the proof refers.
    primary: Option<SharedName>,
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
        }
    }

    /// Takes steps until the task is aborted or the directory is unavailable.
    pub(crate) async fn run(mut self) {
        loop {
            let group = self.group.clone();
            let read = self.node.log.inspect(move |state| GroupSnapshot::of(state, &group));
            let Ok(snapshot) = read.await else { return };
            self.take_step(&snapshot).await;
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
