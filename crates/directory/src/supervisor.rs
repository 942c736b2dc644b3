//! Supervision of the primaries by the leader, with one task for each group.

use {
    crate::{
        group_snapshot::GroupSnapshot,
        holder_proof::HolderTask,
        node::DirectoryNode,
        probe::{ControlRequest, TargetProbe, request_row, request_rows, server_log},
        promotion::{PromotionOrder, PromotionPort, PromotionReply},
        reachability::EntryReports,
    },
    banyansill_core::{
        collections::FastMap,
        directory::{
            AWAITED_ENTRY_TTL, AnswerWatch, CandidateAnswer, DirectoryCommand, DirectoryState,
            EarlierOrder, FinalLog, PrimaryEvidence, PrimaryVerdict, ServerLog, TargetReport,
            TargetState, choose_candidate, choose_successor, keep_ordered,
        },
        event::EventNumber,
        gateway::direct_entries,
        names::SharedName,
        position::{LogPosition, LogTerm},
        route::TargetRole,
        time::Micros,
    },
    banyansill_replica::command_log::CommandLog,
    banyansill_target::{ProbeRow, StatementProtocol},
    std::time::Duration,
    tokio::{task::JoinSet, time::sleep},
};

/// Interval at which the set of groups and the leadership are checked.
const SUPERVISE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two probes of a primary that serves.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two probes of a primary that may be lost.
const DOUBTFUL_PROBE_INTERVAL: Duration = Duration::from_millis(60);

/// Time for which a group may be without a primary before one is promoted: at the start, targets report
/// themselves one by one.
const ADOPTION_TIMEOUT: Micros = Micros::from_secs(2);

/// Time for which the recorded primary responds as a replica before the group's actual primary is searched for.
const REPLICA_ROLE_TIMEOUT: Micros = Micros::from_millis(400);

/// Wait before an order is sent again that the platform did not accept or refuse, and before candidates are
/// polled again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum age of a confirmation of the leadership with which an order may be sent. A process that was
/// suspended must not send an order that it decided on before.
const LEADERSHIP_CONFIRMATION_TTL: Micros = Micros::from_millis(300);

/// Time for which a primary is asked to stop acknowledging commits; one whose slots are all busy refuses the request.
const DEMOTION_TIMEOUT: Micros = Micros::from_millis(400);

/// Interval at which a promotion looks for targets that have joined or restarted.
const JOINED_TARGET_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two probes of a target whose promotion was accepted.
const PROMOTED_PROBE_INTERVAL: Duration = Duration::from_millis(30);

/// Time within which a target must become primary once its promotion was accepted; the platform takes about a
/// second.
const PROMOTION_TIMEOUT: Micros = Micros::from_secs(4);

/// Parts of the process that the task of a group uses.
#[derive(Clone, Debug)]
pub(crate) struct SupervisorSources<L, P, O> {
    pub(crate) node: DirectoryNode<L>,
    pub(crate) reports: EntryReports,
    pub(crate) protocol: P,
    pub(crate) port: O,
}

/// Runs the tasks of all groups while this replica is the leader, until the process ends.
pub(crate) async fn run<L, P, O>(sources: SupervisorSources<L, P, O>)
where
    L: CommandLog<Machine = DirectoryState>,
    P: StatementProtocol,
    O: PromotionPort,
{
    let mut tasks: FastMap<SharedName, tokio::task::AbortHandle> = FastMap::default();
    let mut set = JoinSet::new();
    let mut term = 0;
    let mut leading_since = sources.node.clock.now();
    loop {
        sleep(SUPERVISE_INTERVAL).await;
        let status = sources.node.log.status().borrow().clone();
        if !status.leading || status.term != term {
            term = if status.leading { status.term } else { 0 };
            leading_since = sources.node.clock.now();
            tasks.clear();
            set.shutdown().await;
            if !status.leading {
                continue;
            }
        }
        let groups =
            sources.node.log.inspect(|state| state.routes().groups.keys().cloned().collect()).await;
        let groups: Vec<SharedName> = groups.unwrap_or_default();
        tasks.retain(|group, task| {
            let kept = groups.contains(group);
            if !kept {
                task.abort();
            }
            kept
        });
        for group in groups {
            if tasks.contains_key(&group) {
                continue;
            }
            let task = GroupTask::new(sources.clone(), group.clone(), leading_since);
            tasks.insert(group, set.spawn(task.run()));
        }
        while set.try_join_next().is_some() {}
    }
}

/// Supervision of one group.
struct GroupTask<L, P, O> {
    sources: SupervisorSources<L, P, O>,
    group: SharedName,
    /// When this replica became the leader.
    leading_since: Micros,
    probe: TargetProbe<P>,
    verdict: PrimaryVerdict,
    /// When the group was first seen without a primary; `None` while the recorded one may be it.
    no_primary_since: Option<Micros>,
    /// Fence of the last own order whose target did not become primary.
    failed_order: Option<u64>,
}

/// What a promotion is about to do.
struct PromotionPlan {
    fence: u64,
    /// What the promotions that this one replaces may have ordered.
    earlier: EarlierOrder,
    /// Primary that is replaced.
    replaced: Option<SharedName>,
    /// Target whose promotion another leader may have ordered.
    ordered: Option<SharedName>,
}

/// Target to promote.
struct CandidateChoice {
    target: TargetReport,
    /// Term under which replicas are paused, above every term that they know.
    pause_term: LogTerm,
    /// Whether the target is the primary, and an earlier order for another one may still take effect.
    is_disputed: bool,
}

impl PromotionPlan {
    /// Makes the plan from the directory as the start of the promotion has left it; `None` if the promotion is over.
    ///
    /// The order of a lost leader may take effect at any time; `has_failed` is whether that of the replaced promotion was an
    /// own one whose target has not become primary.
    fn new(snapshot: &GroupSnapshot, fence: u64, has_failed: bool) -> Option<Self> {
        let record = snapshot.record.promotion.as_ref().filter(|record| record.fence == fence)?;
        let earlier = record.earlier.clone();
        let ordered = match &earlier {
            EarlierOrder::Target(target) if !has_failed => Some(target.clone()),
            _ => None,
        };
        let replaced = snapshot.record.primary.clone();
        let replaced = replaced.filter(|name| ordered.as_ref() != Some(name));
        Some(Self { fence, earlier, replaced, ordered })
    }

    fn may_be_ordered(&self) -> bool {
        self.earlier != EarlierOrder::Nothing
    }
}

impl CandidateChoice {
    fn new(target: &TargetReport, rows: &[ProbeRow]) -> Self {
        Self { target: target.clone(), pause_term: next_term(rows), is_disputed: false }
    }
}

/// Answers of the replicas that may be promoted.
struct CandidateRows {
    /// By name.
    rows: Vec<(SharedName, ProbeRow)>,
    /// Term under which they are paused.
    pause_term: LogTerm,
}

impl CandidateRows {
    /// Returns the last log position that one of them has received.
    fn furthest(&self) -> Option<LogPosition> {
        self.rows.iter().map(|(_, row)| row.received).max()
    }

    fn answers(&self, snapshot: &GroupSnapshot) -> Vec<CandidateAnswer> {
        let replicas = snapshot.replicas();
        let mut answers = Vec::new();
        for (target, row) in &self.rows {
            let report = replicas.iter().find(|report| report.target == *target);
            let eligible = report.is_some_and(|report| report.state == TargetState::Ready);
            let (target, log) = (target.clone(), server_log(row));
            answers.push(CandidateAnswer { target, log, eligible });
        }
        answers
    }

    /// Returns the listed target that answers as primary, if the directory names another one or none.
    fn primary(&self, snapshot: &GroupSnapshot) -> Option<SharedName> {
        let mut newest: Option<(&SharedName, LogTerm)> = None;
        for (target, row) in &self.rows {
            let is_listed = snapshot.targets.iter().any(|report| report.target == *target);
            let newer = newest.is_none_or(|(_, term)| term < row.term);
            if row.role == TargetRole::Primary && is_listed && newer {
                newest = Some((target, row.term));
            }
        }
        newest.map(|(target, _)| target.clone())
    }
}

/// Returns a term above every one that the targets know.
fn next_term(rows: &[ProbeRow]) -> LogTerm {
    let newest = rows.iter().map(|row| row.term.max(row.promised)).max();
    LogTerm(newest.unwrap_or_default().0.saturating_add(1))
}

/// Targets that join a group, or restart, while one of its replicas is being promoted.
///
/// Each that receives commits lets the old primary confirm them, although the candidate lacks them.
struct JoinedTargets<L, P> {
    node: DirectoryNode<L>,
    protocol: P,
    group: SharedName,
    pause_term: LogTerm,
    /// Start times of the targets that are paused, by name.
    paused: FastMap<SharedName, u64>,
}

impl<L, P> JoinedTargets<L, P>
where
    L: CommandLog<Machine = DirectoryState>,
    P: StatementProtocol,
{
    /// Pauses them until the task is aborted.
    async fn run(mut self) {
        loop {
            sleep(JOINED_TARGET_INTERVAL).await;
            let group = self.group.clone();
            let read = self.node.log.inspect(move |state| GroupSnapshot::of(state, &group));
            let Ok(snapshot) = read.await else { return };
            for report in snapshot.replicas() {
                let incarnation = report.order.incarnation;
                if self.paused.get(&report.target) == Some(&incarnation) {
                    continue;
                }
                let request = ControlRequest::Pause(self.pause_term);
                let row = request_row(&self.protocol, &self.node.own.host, report, request).await;
                let paused = row.is_some();
                log::info!(
                    target: "event",
                    event:display = EventNumber::JoinedTargetPaused,
                    group:display = self.group,
                    server:display = report.target,
                    paused;
                    ""
                );
                if paused {
                    self.paused.insert(report.target.clone(), incarnation);
                } else {
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }
}

/// What a promotion has learned from the primary that it replaces.
#[derive(Default)]
struct ReplacedPrimary {
    /// Whether it has confirmed that it does not lead any more.
    has_stepped_down: bool,
    /// Its log from then on.
    last: Option<FinalLog>,
}

/// Outcome of a promotion.
enum PromotionOutcome {
    /// The target is the primary.
    Promoted(SharedName),
    /// The old primary serves again, and no promotion was ordered.
    Abandoned,
    /// The directory is unavailable, another leader took over, the platform refused the order, or the target did
    /// not become primary in time.
    Unfinished,
}

impl<L, P, O> GroupTask<L, P, O>
where
    L: CommandLog<Machine = DirectoryState>,
    P: StatementProtocol,
    O: PromotionPort,
{
    fn new(sources: SupervisorSources<L, P, O>, group: SharedName, leading_since: Micros) -> Self {
        let node = &sources.node;
        let probe = TargetProbe::new(sources.protocol.clone(), node.own.host.clone(), node.clock);
        Self {
            sources,
            group,
            leading_since,
            probe,
            verdict: PrimaryVerdict::Serving,
            no_primary_since: None,
            failed_order: None,
        }
    }

    fn now(&self) -> Micros {
        self.sources.node.clock.now()
    }

    async fn run(mut self) {
        // Ends with this task.
        let mut proof = JoinSet::new();
        proof.spawn(HolderTask::new(&self.sources, &self.group).run());
        loop {
            let Some(snapshot) = self.snapshot().await else { return };
            if snapshot.record.promotion.is_some() {
                // The platform may still carry out its order, so it is replaced by another promotion and never
                // just dropped.
                self.change_primary(&snapshot).await;
                continue;
            }
            let pause = match snapshot.primary() {
                Some(primary) => {
                    let primary = primary.clone();
                    self.supervise(&snapshot, &primary).await
                }
                None => self.find_primary(&snapshot).await,
            };
            sleep(pause).await;
        }
    }

    async fn snapshot(&self) -> Option<GroupSnapshot> {
        let group = self.group.clone();
        let node = &self.sources.node;
        node.log.inspect(move |state| GroupSnapshot::of(state, &group)).await.ok()
    }

    /// Probes the recorded primary and replaces it if needed; returns the pause before the next probe.
    async fn supervise(&mut self, snapshot: &GroupSnapshot, primary: &TargetReport) -> Duration {
        self.probe.check(primary).await;
        let now = self.now();
        let replica_for = self.probe.replica_since.map(|since| now.since(since));
        if replica_for.is_some_and(|time| time >= REPLICA_ROLE_TIMEOUT) {
            return self.find_primary(snapshot).await;
        }
        self.no_primary_since = None;
        let mut evidence = PrimaryEvidence {
            leaving: primary.state == TargetState::Draining,
            silent_for: self.probe.silent_since.map_or(Micros::ZERO, |since| now.since(since)),
            refusing: self.probe.refusing,
            ..PrimaryEvidence::default()
        };
        let direct = direct_entries(primary, true, snapshot.connections, &snapshot.entries);
        let is_direct = |host: &SharedName| direct.contains(host);
        self.sources.reports.add_evidence(&primary.target, now, is_direct, &mut evidence);
        if now.since(self.leading_since) < AWAITED_ENTRY_TTL {
            let hosts = snapshot.entries.iter().map(|entry| &entry.host);
            let awaited = hosts.filter(|host| is_direct(host));
            evidence.entries_awaited = self.sources.reports.awaited(awaited, now);
        }
        let verdict = evidence.verdict();
        if verdict != self.verdict {
            self.verdict = verdict;
            log::info!(
                target: "event",
                event:display = EventNumber::PrimaryJudged,
                group:display = self.group,
                server:display = primary.target,
                verdict:debug,
                silent_us = evidence.silent_for.0,
                refusing = evidence.refusing,
                entries = evidence.entries,
                entries_failing = evidence.entries_failing,
                entries_failing_us = evidence.entries_failing_for.0,
                entries_vanished = evidence.entries_vanished,
                entries_awaited = evidence.entries_awaited;
                ""
            );
        }
        match verdict {
            PrimaryVerdict::Serving => PROBE_INTERVAL,
            PrimaryVerdict::Doubtful => DOUBTFUL_PROBE_INTERVAL,
            PrimaryVerdict::Lost | PrimaryVerdict::Leaving => {
                self.change_primary(snapshot).await;
                DOUBTFUL_PROBE_INTERVAL
            }
        }
    }

    /// Records the target that is primary, or promotes one if there has been none for `ADOPTION_TIMEOUT`; returns
    /// the pause before the next attempt.
    async fn find_primary(&mut self, snapshot: &GroupSnapshot) -> Duration {
        let since = *self.no_primary_since.get_or_insert(self.sources.node.clock.now());
        let targets: Vec<&TargetReport> = snapshot.targets.iter().collect();
        let rows = self.request_rows(&targets, ControlRequest::Position).await;
        let mut newest_primary: Option<(SharedName, LogTerm)> = None;
        for (target, row) in rows {
            let newer = newest_primary.as_ref().is_none_or(|(_, term)| *term < row.term);
            if row.role == TargetRole::Primary && newer {
                newest_primary = Some((target, row.term));
            }
        }
        if let Some((primary, _)) = newest_primary {
            let expected = snapshot.record.primary.clone();
            if expected.as_ref() != Some(&primary) {
                let group = self.group.clone();
                let command = DirectoryCommand::AdoptPrimary { group, expected, primary };
                // If this fails, it is repeated at the next attempt.
                let _ = self.sources.node.change(&command, "adoption of a primary").await;
            }
            return PROBE_INTERVAL;
        }
        // A primary that leaves and does not lead any more has stepped down at the request of a lost leader.
        let has_stepped_down = snapshot.waits_for_replicas()
            && snapshot.primary().is_some_and(|report| report.state == TargetState::Draining);
        let is_due = has_stepped_down || self.now().since(since) >= ADOPTION_TIMEOUT;
        if !snapshot.targets.is_empty() && is_due {
            self.change_primary(snapshot).await;
        }
        PROBE_INTERVAL
    }

    async fn request_rows(
        &self,
        targets: &[&TargetReport],
        request: ControlRequest,
    ) -> Vec<(SharedName, ProbeRow)> {
        request_rows(&self.sources.protocol, &self.sources.node.own.host, targets, request).await
    }

    /// Carries out a promotion under a new fencing number, which replaces the unfinished one if there is one.
    async fn change_primary(&mut self, snapshot: &GroupSnapshot) {
        let replaces = snapshot.record.promotion.as_ref().map_or(0, |pending| pending.fence);
        let begin = DirectoryCommand::BeginPromotion {
            group: self.group.clone(),
            holder: self.sources.node.own.host.clone(),
            replaces,
        };
        let Ok((fence, _)) = self.sources.node.submit(&begin, "start of a promotion").await else {
            return;
        };
        // What was read before the command may lag behind the log: after a restart, the choice of the promotion that this one
        // replaces may not have been applied here yet.
        let Some(begun) = self.snapshot().await else { return };
        let Some(plan) = PromotionPlan::new(&begun, fence, self.failed_order == Some(replaces))
        else {
            return;
        };
        log::info!(
            target: "event",
            event:display = EventNumber::PromotionBegun,
            group:display = self.group,
            before:display = begun.record.primary.as_deref().unwrap_or("-"),
            fence,
            replaces;
            ""
        );
        let outcome = if plan.may_be_ordered() || begun.record.primary == snapshot.record.primary {
            self.promote_candidate(&plan).await
        } else {
            // The decision was about another primary than the one that the group has by now.
            PromotionOutcome::Abandoned
        };
        let primary = match outcome {
            PromotionOutcome::Promoted(primary) => Some(primary),
            PromotionOutcome::Abandoned => {
                // While the promotion is recorded, another leader would do this in place of this one.
                self.resume_replicas().await;
                None
            }
            // The promotion stays recorded, and the task of the current leader replaces it.
            PromotionOutcome::Unfinished => return,
        };
        log::info!(
            target: "event",
            event:display = EventNumber::PromotionEnded,
            group:display = self.group,
            primary:display = primary.as_deref().unwrap_or("-"),
            fence;
            ""
        );
        let promoted = primary.is_some();
        let end = DirectoryCommand::EndPromotion { group: self.group.clone(), fence, primary };
        // If this fails, the promotion stays recorded and is replaced by the next one.
        let _ = self.sources.node.submit(&end, "end of a promotion").await;
        if promoted {
            self.resume_replicas().await;
        }
    }

    /// Lets the replicas of a group whose commits wait for them receive commits again.
    async fn resume_replicas(&self) {
        let Some(snapshot) = self.snapshot().await else { return };
        if snapshot.waits_for_replicas() {
            let targets: Vec<&TargetReport> = snapshot.targets.iter().collect();
            self.request_rows(&targets, ControlRequest::Resume).await;
        }
    }

    /// Polls the replicas until one can be chosen, and orders its promotion. Without an earlier order, the promotion is
    /// abandoned if the old primary serves again.
    async fn promote_candidate(&mut self, plan: &PromotionPlan) -> PromotionOutcome {
        let mut replaced = ReplacedPrimary::default();
        let mut watch = AnswerWatch::default();
        loop {
            // Targets join and leave while a promotion waits for a candidate.
            let Some(mut snapshot) = self.snapshot().await else {
                return PromotionOutcome::Unfinished;
            };
            snapshot.record.primary.clone_from(&plan.replaced);
            if let Some(choice) = self.ordered_primary(plan, &snapshot).await {
                return self.order_choice(choice, plan.fence, &snapshot).await;
            }
            if replaced.has_stepped_down && self.is_leading(&snapshot).await {
                // It has started again, and may have acknowledged commits since.
                replaced = ReplacedPrimary::default();
            }
            let rows = self.request_candidates(&snapshot, &mut watch).await;
            let mut choice = self.select_candidate(&snapshot, &rows, plan, replaced.last);
            if choice.is_none() && replaced.last.is_none() {
                self.request_final_log(&snapshot, &rows, plan, &mut replaced).await;
                if replaced.last.is_some() {
                    continue;
                }
            }
            if choice.is_none() {
                choice = self.demoted_primary(&snapshot, &rows, &replaced).await;
            }
            let Some(choice) = choice else {
                if plan.may_be_ordered() {
                    // Under the new fence, which outdates the earlier order, the primary stays what it is.
                    if let Some(primary) = self.present_primary(&snapshot).await {
                        return self.order_choice(primary, plan.fence, &snapshot).await;
                    }
                } else if self.serves_again(&snapshot).await {
                    return PromotionOutcome::Abandoned;
                } else if let Some(primary) = rows.primary(&snapshot) {
                    return PromotionOutcome::Promoted(primary);
                }
                if !self.confirm_leadership().await {
                    return PromotionOutcome::Unfinished;
                }
                if !plan.may_be_ordered() && !replaced.has_stepped_down {
                    // A replica that may be chosen can catch up with one that is leaving.
                    self.resume_replicas().await;
                }
                sleep(RETRY_INTERVAL).await;
                continue;
            };
            let is_replaced = plan.replaced.as_ref() != Some(&choice.target.target);
            if snapshot.waits_for_replicas() && is_replaced && !replaced.has_stepped_down {
                let last = self.demote_primary(&snapshot, choice.pause_term).await;
                if let Some(last) = last {
                    // Until now a target that has joined meanwhile may have confirmed commits.
                    replaced = ReplacedPrimary {
                        has_stepped_down: true,
                        last: FinalLog::of_replica(last),
                    };
                    continue;
                }
            }
            return self.order_choice(choice, plan.fence, &snapshot).await;
        }
    }

    /// Returns whether the recorded primary answers as primary.
    async fn is_leading(&self, snapshot: &GroupSnapshot) -> bool {
        let Some(target) = snapshot.primary() else { return false };
        let (node, protocol) = (&self.sources.node, &self.sources.protocol);
        let row = request_row(protocol, &node.own.host, target, ControlRequest::Position).await;
        row.is_some_and(|row| row.role == TargetRole::Primary)
    }

    /// Asks a primary that leaves to step down for its final log, once a replica has its whole log.
    ///
    /// Until then the primary goes on, so that the replicas can catch up with it; once it has stepped down, they cannot.
    async fn request_final_log(
        &self,
        snapshot: &GroupSnapshot,
        rows: &CandidateRows,
        plan: &PromotionPlan,
        replaced: &mut ReplacedPrimary,
    ) {
        if !snapshot.waits_for_replicas() {
            return;
        }
        let leaving = snapshot.primary().filter(|report| report.state == TargetState::Draining);
        let Some(target) = leaving else { return };
        let (node, protocol) = (&self.sources.node, &self.sources.protocol);
        let request = ControlRequest::Position;
        let Some(row) = request_row(protocol, &node.own.host, target, request).await else {
            return;
        };
        let log = server_log(&row);
        if row.role == TargetRole::Replica {
            // A lost leader has demoted it.
            replaced.last = FinalLog::of_replica(log);
            return;
        }
        let answers = rows.answers(snapshot);
        let present = FinalLog::of_primary(log, log);
        let successor = present.and_then(|log| choose_successor(&answers, log, &plan.earlier));
        if successor.is_none() {
            return;
        }
        let term = rows.pause_term.max(next_term(&[row]));
        let Some(stepped_down) = self.demote_primary(snapshot, term).await else { return };
        *replaced = ReplacedPrimary {
            has_stepped_down: true,
            last: FinalLog::of_primary(log, stepped_down),
        };
    }

    /// Records the choice, and orders the promotion.
    async fn order_choice(
        &mut self,
        choice: CandidateChoice,
        fence: u64,
        snapshot: &GroupSnapshot,
    ) -> PromotionOutcome {
        let candidate = choice.target.target.clone();
        let command =
            DirectoryCommand::ChooseCandidate { group: self.group.clone(), fence, candidate };
        if self.sources.node.submit(&command, "choice of a candidate").await.is_err() {
            return PromotionOutcome::Unfinished;
        }
        // Ends with the promotion.
        let mut joined = JoinSet::new();
        if snapshot.waits_for_replicas() {
            joined.spawn(self.joined_targets(snapshot, choice.pause_term).run());
        }
        let outcome = self.order_promotion(&choice.target, fence).await;
        if choice.is_disputed && matches!(outcome, PromotionOutcome::Promoted(_)) {
            return self.await_earlier_order(&choice.target).await;
        }
        outcome
    }

    /// Waits as long as an earlier order that the platform has accepted may take until it has effect.
    async fn await_earlier_order(&mut self, primary: &TargetReport) -> PromotionOutcome {
        let begun = self.now();
        while self.now().since(begun) < PROMOTION_TIMEOUT {
            sleep(RETRY_INTERVAL).await;
            if self.probe.check(primary).await != crate::probe::ProbeResult::Primary {
                return PromotionOutcome::Unfinished;
            }
        }
        PromotionOutcome::Promoted(primary.target.clone())
    }

    /// Returns the target that a lost leader ordered to be promoted, if it is the primary by now.
    async fn ordered_primary(
        &self,
        plan: &PromotionPlan,
        snapshot: &GroupSnapshot,
    ) -> Option<CandidateChoice> {
        let ordered = plan.ordered.as_ref()?;
        let target = snapshot.targets.iter().find(|report| report.target == *ordered)?;
        let (node, protocol) = (&self.sources.node, &self.sources.protocol);
        let row = request_row(protocol, &node.own.host, target, ControlRequest::Position).await?;
        (row.role == TargetRole::Primary).then(|| CandidateChoice::new(target, &[row]))
    }

    /// Asks the recorded primary to stop acknowledging commits, if control reaches it; returns its log once it has confirmed.
    ///
    /// Otherwise it confirms commits that the candidate lacks as soon as another target receives them.
    async fn demote_primary(&self, snapshot: &GroupSnapshot, term: LogTerm) -> Option<ServerLog> {
        let primary = snapshot.primary()?;
        // A leader that was suspended must not demote the primary of a later one.
        if self.probe.silent_since.is_some() || !self.confirm_leadership().await {
            return None;
        }
        let (node, protocol) = (&self.sources.node, &self.sources.protocol);
        let begun = self.now();
        let mut log = None;
        while log.is_none() && self.now().since(begun) < DEMOTION_TIMEOUT {
            let request = ControlRequest::Demote(term);
            let row = request_row(protocol, &node.own.host, primary, request).await;
            log = row.filter(|row| row.role == TargetRole::Replica).map(|row| server_log(&row));
            if log.is_none() {
                sleep(RETRY_INTERVAL).await;
            }
        }
        log::info!(
            target: "event",
            event:display = EventNumber::PrimaryDemoted,
            group:display = self.group,
            server:display = primary.target,
            term = term.0,
            demoted = log.is_some();
            ""
        );
        log
    }

    /// Returns the replaced primary if it has stepped down and still has its whole log: it has every commit that it
    /// acknowledged. One that leaves leads on until another one can be chosen.
    ///
    /// If its final log is not known, because another leader demoted it, it must not be behind the others.
    async fn demoted_primary(
        &self,
        snapshot: &GroupSnapshot,
        rows: &CandidateRows,
        replaced: &ReplacedPrimary,
    ) -> Option<CandidateChoice> {
        let may_lead = |report: &&TargetReport| {
            report.state == TargetState::Ready || snapshot.waits_for_replicas()
        };
        let target = snapshot.primary().filter(may_lead)?;
        let (node, protocol) = (&self.sources.node, &self.sources.protocol);
        let row = request_row(protocol, &node.own.host, target, ControlRequest::Position).await?;
        // A process that has started again without its log answers as a replica as well.
        let is_whole = match replaced.last {
            Some(last) => last.is_covered_by(server_log(&row)),
            None => rows.furthest().is_some_and(|furthest| row.received >= furthest),
        };
        let is_complete = row.role == TargetRole::Replica && is_whole;
        is_complete.then(|| CandidateChoice::new(target, &[row]))
    }

    /// Returns the target that is the primary at present, even if it is leaving.
    async fn present_primary(&self, snapshot: &GroupSnapshot) -> Option<CandidateChoice> {
        let targets: Vec<&TargetReport> = snapshot.targets.iter().collect();
        let rows = self.request_rows(&targets, ControlRequest::Position).await;
        let mut newest: Option<(SharedName, ProbeRow)> = None;
        for (target, row) in rows {
            let newer = newest.as_ref().is_none_or(|(_, newest)| newest.term < row.term);
            if row.role == TargetRole::Primary && newer {
                newest = Some((target, row));
            }
        }
        let (name, row) = newest?;
        let target = targets.into_iter().find(|report| report.target == name)?;
        Some(CandidateChoice { is_disputed: true, ..CandidateChoice::new(target, &[row]) })
    }

    fn joined_targets(&self, snapshot: &GroupSnapshot, pause_term: LogTerm) -> JoinedTargets<L, P> {
        let mut paused = FastMap::default();
        for report in &snapshot.targets {
            paused.insert(report.target.clone(), report.order.incarnation);
        }
        let SupervisorSources { node, protocol, .. } = &self.sources;
        JoinedTargets {
            node: node.clone(),
            protocol: protocol.clone(),
            group: self.group.clone(),
            pause_term,
            paused,
        }
    }

    /// Asks the replicas, and departed ones that still run, for what they have received.
    async fn request_candidates(
        &self,
        snapshot: &GroupSnapshot,
        watch: &mut AnswerWatch,
    ) -> CandidateRows {
        let replicas = snapshot.replicas();
        let departed = snapshot.departed_targets();
        let asked: Vec<&TargetReport> = replicas.iter().copied().chain(&departed).collect();
        let mut rows = self.request_rows(&asked, ControlRequest::Position).await;
        let positions: Vec<ProbeRow> = rows.iter().map(|(_, row)| *row).collect();
        let pause_term = next_term(&positions);
        if snapshot.waits_for_replicas() {
            let answered =
                |report: &TargetReport| rows.iter().any(|(name, _)| *name == report.target);
            let asked: Vec<&TargetReport> =
                asked.into_iter().filter(|report| answered(report)).collect();
            // A paused replica receives no more commits, so its position cannot change after the choice.
            rows = self.request_rows(&asked, ControlRequest::Pause(pause_term)).await;
            let now = self.now();
            for report in &replicas {
                let answer = rows.iter().position(|(target, _)| *target == report.target);
                let received = answer.map(|answer| rows[answer].1.received);
                let counts = watch.observe(now, &report.target, report.order.incarnation, received);
                if let Some(answer) = answer.filter(|_| !counts) {
                    rows.swap_remove(answer);
                }
            }
        }
        rows.sort_by(|(left, _), (right, _)| left.cmp(right));
        CandidateRows { rows, pause_term }
    }

    /// Chooses the replica with the highest received log position; returns `None` while that cannot be decided.
    ///
    /// The one that another leader may have ordered comes first: its promotion may take effect in any case. `last` is the
    /// final log of the replaced primary, if that is known.
    fn select_candidate(
        &self,
        snapshot: &GroupSnapshot,
        rows: &CandidateRows,
        plan: &PromotionPlan,
        last: Option<FinalLog>,
    ) -> Option<CandidateChoice> {
        let replicas = snapshot.replicas();
        let answers = rows.answers(snapshot);
        let holders = replicas.len() + snapshot.holders.len();
        let ordered = plan.ordered.as_ref();
        let mut chosen = choose_candidate(&answers, holders, snapshot.sync_replicas)
            .map(|best| keep_ordered(best, ordered, &answers, snapshot.sync_replicas));
        if chosen.is_none() {
            chosen = last.and_then(|last| choose_successor(&answers, last, &plan.earlier));
        }
        log::info!(
            target: "event",
            event:display = EventNumber::CandidateChosen,
            group:display = self.group,
            server:display = chosen.as_deref().unwrap_or("-"),
            replicas = replicas.len(),
            departed = snapshot.holders.len(),
            last:debug,
            answers:debug;
            ""
        );
        let chosen = chosen?;
        let target = replicas.into_iter().find(|report| report.target == chosen)?.clone();
        Some(CandidateChoice { target, pause_term: rows.pause_term, is_disputed: false })
    }

    /// Returns whether the recorded primary accepts new work and responds as primary.
    async fn serves_again(&mut self, snapshot: &GroupSnapshot) -> bool {
        match snapshot.primary() {
            Some(primary) if primary.state == TargetState::Ready => {
                self.probe.check(primary).await == crate::probe::ProbeResult::Primary
            }
            _ => false,
        }
    }

    async fn confirm_leadership(&self) -> bool {
        self.sources.node.log.confirm().await.is_ok()
    }

    /// Sends the order until the platform accepts or refuses it, then waits until the target is the primary.
    async fn order_promotion(&mut self, candidate: &TargetReport, fence: u64) -> PromotionOutcome {
        let order = PromotionOrder {
            group: self.group.clone(),
            target: candidate.target.clone(),
            holder: self.sources.node.own.host.clone(),
            fence,
        };
        // Committing the choice just before confirmed the leadership.
        let mut confirmed_at = self.now();
        loop {
            if self.now().since(confirmed_at) >= LEADERSHIP_CONFIRMATION_TTL {
                let requested_at = self.now();
                if !self.confirm_leadership().await {
                    return PromotionOutcome::Unfinished;
                }
                confirmed_at = requested_at;
                continue;
            }
            let reply = self.sources.port.promote(&order).await;
            log::info!(
                target: "event",
                event:display = EventNumber::PromotionOrdered,
                group:display = self.group,
                server:display = candidate.target,
                fence,
                reply:debug;
                ""
            );
            match reply {
                PromotionReply::Accepted => break,
                // A new fencing number is needed, for this target or another one.
                PromotionReply::Refused => {
                    self.failed_order = Some(fence);
                    return PromotionOutcome::Unfinished;
                }
                PromotionReply::Busy | PromotionReply::Unknown(_) => sleep(RETRY_INTERVAL).await,
            }
        }
        let accepted_at = self.now();
        while self.now().since(accepted_at) < PROMOTION_TIMEOUT {
            if self.probe.check(candidate).await == crate::probe::ProbeResult::Primary {
                return PromotionOutcome::Promoted(candidate.target.clone());
            }
            sleep(PROMOTED_PROBE_INTERVAL).await;
        }
        self.failed_order = Some(fence);
        PromotionOutcome::Unfinished
    }
}
