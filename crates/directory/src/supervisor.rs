//! The leader's watch over the primaries: one task for each group.

use {
    crate::{
        node::DirectoryNode,
        probe::{ReplicaQuestion, TargetProbe, ask},
        promotion::{PromotionOrder, PromotionPort, PromotionReply},
        reachability::ReachTable,
    },
    banyansill_core::{
        collections::FastMap,
        directory::{
            CandidateAnswer, DirectoryCommand, DirectoryState, GroupRecord, PrimaryEvidence,
            PrimaryVerdict, TargetReport, TargetState, choose_candidate,
        },
        event::EventNumber,
        names::SharedName,
        position::LogTerm,
        route::TargetRole,
        time::Micros,
    },
    banyansill_replica::command_log::CommandLog,
    banyansill_target::{ProbeRow, StatementProtocol},
    std::time::Duration,
    tokio::{task::JoinSet, time::sleep},
};

/// Interval at which the set of groups and the leadership are looked at.
const SUPERVISE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two looks at a primary that serves.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two looks at a primary that may be lost.
const DOUBT_INTERVAL: Duration = Duration::from_millis(60);

/// Time for which a group may be without a primary before one is chosen: at the start, targets report
/// themselves one by one.
const ADOPT_PATIENCE: Micros = Micros::from_secs(2);

/// Time for which the named primary answers as a replica before another one is looked for.
const FOLLOWING_PATIENCE: Micros = Micros::from_millis(400);

/// Wait before an order that was not answered is sent again.
const ORDER_RETRY: Duration = Duration::from_millis(100);

/// Age of a confirmation of the leadership with which an order may be sent. A process that was
/// suspended must not send what it decided before.
const CONFIRM_LIFE: Micros = Micros::from_millis(300);

/// Interval between two looks at a target that was promoted.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(30);

/// Time within which a promoted target must lead; the platform takes about a second.
const TAKEOVER_LIMIT: Micros = Micros::from_secs(4);

/// What a task needs of the process.
#[derive(Clone, Debug)]
pub(crate) struct SupervisorSources<L, P, O> {
    pub(crate) node: DirectoryNode<L>,
    pub(crate) reach: ReachTable,
    pub(crate) protocol: P,
    pub(crate) port: O,
}

/// Runs the tasks of all groups while this replica leads, until the process ends.
pub(crate) async fn run<L, P, O>(sources: SupervisorSources<L, P, O>)
where
    L: CommandLog<Machine = DirectoryState>,
    P: StatementProtocol,
    O: PromotionPort,
{
    let mut tasks: FastMap<SharedName, tokio::task::AbortHandle> = FastMap::default();
    let mut set = JoinSet::new();
    let mut term = 0;
    loop {
        sleep(SUPERVISE_INTERVAL).await;
        let status = sources.node.log.status().borrow().clone();
        if !status.leading || status.term != term {
            term = if status.leading { status.term } else { 0 };
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
            let task = GroupTask::new(sources.clone(), group.clone());
            tasks.insert(group, set.spawn(task.run()));
        }
        while set.try_join_next().is_some() {}
    }
}

/// What the directory holds of a group.
#[derive(Clone, Debug, Default)]
struct GroupSnapshot {
    record: GroupRecord,
    targets: Vec<TargetReport>,
    sync_replicas: u32,
}

impl GroupSnapshot {
    fn of(state: &DirectoryState, group: &SharedName) -> Self {
        let rule = state.routes().groups.get(group);
        Self {
            record: state.groups().get(group).cloned().unwrap_or_default(),
            targets: state
                .targets()
                .values()
                .filter(|report| report.group == *group)
                .cloned()
                .collect(),
            sync_replicas: rule.map_or(0, |rule| rule.sync_replicas),
        }
    }

    fn primary(&self) -> Option<&TargetReport> {
        let name = self.record.primary.as_ref()?;
        self.targets.iter().find(|report| report.target == *name)
    }

    /// Returns all targets but the named primary.
    fn replicas(&self) -> Vec<&TargetReport> {
        let mut replicas = Vec::new();
        for report in &self.targets {
            if self.record.primary.as_ref() != Some(&report.target) {
                replicas.push(report);
            }
        }
        replicas
    }
}

/// Watch over one group.
struct GroupTask<L, P, O> {
    sources: SupervisorSources<L, P, O>,
    group: SharedName,
    probe: TargetProbe<P>,
    verdict: PrimaryVerdict,
    /// Since when no primary is named.
    unnamed_since: Option<Micros>,
}

/// Why a change of primary stops.
enum PromotionEnd {
    /// The new primary leads.
    Done(SharedName),
    /// The old primary serves again and nothing was ordered.
    GivenUp,
    /// The directory does not answer or another leader took over.
    Overtaken,
}

impl<L, P, O> GroupTask<L, P, O>
where
    L: CommandLog<Machine = DirectoryState>,
    P: StatementProtocol,
    O: PromotionPort,
{
    fn new(sources: SupervisorSources<L, P, O>, group: SharedName) -> Self {
        let node = &sources.node;
        let probe = TargetProbe::new(sources.protocol.clone(), node.own.host.clone(), node.clock);
        Self { sources, group, probe, verdict: PrimaryVerdict::Serving, unnamed_since: None }
    }

    fn now(&self) -> Micros {
        self.sources.node.clock.now()
    }

    async fn run(mut self) {
        loop {
            let Some(snapshot) = self.snapshot().await else { return };
            if let Some(pending) = &snapshot.record.promotion {
                // Its order may still be carried out, so it is replaced and never just dropped.
                let fence = pending.fence;
                self.change_primary(&snapshot, fence).await;
                continue;
            }
            let pause = match snapshot.primary() {
                Some(primary) => {
                    self.unnamed_since = None;
                    let primary = primary.clone();
                    self.watch(&snapshot, &primary).await
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

    /// Looks at the named primary and replaces it if needed; returns the pause before the next look.
    async fn watch(&mut self, snapshot: &GroupSnapshot, primary: &TargetReport) -> Duration {
        self.probe.look(primary).await;
        let now = self.now();
        let following = self.probe.following_since.map(|since| now.since(since));
        if following.is_some_and(|time| time >= FOLLOWING_PATIENCE) {
            return self.find_primary(snapshot).await;
        }
        let mut evidence = PrimaryEvidence {
            leaving: primary.state == TargetState::Draining,
            silent_for: self.probe.silent_since.map_or(Micros::ZERO, |since| now.since(since)),
            refusing: self.probe.refusing,
            ..PrimaryEvidence::default()
        };
        self.sources.reach.add_evidence(&primary.target, now, &mut evidence);
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
                entries_vanished = evidence.entries_vanished;
                ""
            );
        }
        match verdict {
            PrimaryVerdict::Serving => LOOK_INTERVAL,
            PrimaryVerdict::Doubtful => DOUBT_INTERVAL,
            PrimaryVerdict::Lost | PrimaryVerdict::Leaving => {
                self.change_primary(snapshot, 0).await;
                DOUBT_INTERVAL
            }
        }
    }

    /// Looks for a target that leads; without one for long, chooses one.
    async fn find_primary(&mut self, snapshot: &GroupSnapshot) -> Duration {
        let since = *self.unnamed_since.get_or_insert(self.sources.node.clock.now());
        let targets: Vec<&TargetReport> = snapshot.targets.iter().collect();
        let rows = self.ask_all(&targets, ReplicaQuestion::Position).await;
        let mut leading: Option<(SharedName, LogTerm)> = None;
        for (target, row) in rows {
            let newer = leading.as_ref().is_none_or(|(_, term)| *term < row.term);
            if row.role == TargetRole::Primary && newer {
                leading = Some((target, row.term));
            }
        }
        if let Some((primary, _)) = leading {
            let expected = snapshot.record.primary.clone();
            if expected.as_ref() != Some(&primary) {
                let group = self.group.clone();
                let command = DirectoryCommand::AdoptPrimary { group, expected, primary };
                // Repeated at the next look.
                let _ = self.sources.node.change(&command, "adoption of a primary").await;
            }
            return LOOK_INTERVAL;
        }
        if !snapshot.targets.is_empty() && self.now().since(since) >= ADOPT_PATIENCE {
            self.change_primary(snapshot, 0).await;
        }
        LOOK_INTERVAL
    }

    async fn ask_all(
        &self,
        targets: &[&TargetReport],
        question: ReplicaQuestion,
    ) -> Vec<(SharedName, ProbeRow)> {
        let mut asking = JoinSet::new();
        for report in targets {
            let protocol = self.sources.protocol.clone();
            let host = self.sources.node.own.host.clone();
            let report = (*report).clone();
            asking.spawn(async move {
                let row = ask(&protocol, &host, &report, question).await;
                row.map(|row| (report.target, row))
            });
        }
        asking.join_all().await.into_iter().flatten().collect()
    }

    /// Changes the primary under a fence of its own; `replaces` is the fence of an unfinished change.
    async fn change_primary(&mut self, snapshot: &GroupSnapshot, replaces: u64) {
        let begin = DirectoryCommand::BeginPromotion {
            group: self.group.clone(),
            holder: self.sources.node.own.host.clone(),
            replaces,
        };
        let Ok((fence, _)) = self.sources.node.submit(&begin, "begin of a promotion").await else {
            return;
        };
        log::info!(
            target: "event",
            event:display = EventNumber::PromotionBegun,
            group:display = self.group,
            before:display = snapshot.record.primary.as_deref().unwrap_or("-"),
            fence,
            replaces;
            ""
        );
        let end = self.carry_out(snapshot, fence, replaces > 0).await;
        let primary = match end {
            PromotionEnd::Done(primary) => Some(primary),
            PromotionEnd::GivenUp => None,
            // The change stays recorded, and whoever leads replaces it.
            PromotionEnd::Overtaken => return,
        };
        log::info!(
            target: "event",
            event:display = EventNumber::PromotionEnded,
            group:display = self.group,
            primary:display = primary.as_deref().unwrap_or("-"),
            fence;
            ""
        );
        let end = DirectoryCommand::EndPromotion { group: self.group.clone(), fence, primary };
        // If this fails, the change stays recorded and is replaced at the next look.
        let _ = self.sources.node.submit(&end, "end of a promotion").await;
        if snapshot.sync_replicas > 0 {
            let targets: Vec<&TargetReport> = snapshot.targets.iter().collect();
            self.ask_all(&targets, ReplicaQuestion::Resume).await;
        }
    }

    async fn carry_out(
        &mut self,
        snapshot: &GroupSnapshot,
        fence: u64,
        may_be_ordered: bool,
    ) -> PromotionEnd {
        loop {
            let Some(candidate) = self.choose(snapshot).await else {
                if !may_be_ordered && self.serves_again(snapshot).await {
                    return PromotionEnd::GivenUp;
                }
                if !self.still_leads().await {
                    return PromotionEnd::Overtaken;
                }
                sleep(ORDER_RETRY).await;
                continue;
            };
            let choice = DirectoryCommand::ChooseCandidate {
                group: self.group.clone(),
                fence,
                candidate: candidate.target.clone(),
            };
            if self.sources.node.submit(&choice, "choice of a candidate").await.is_err() {
                return PromotionEnd::Overtaken;
            }
            return self.order(&candidate, fence).await;
        }
    }

    /// Chooses the replica that has received most.
    async fn choose(&self, snapshot: &GroupSnapshot) -> Option<TargetReport> {
        let replicas = snapshot.replicas();
        let mut rows = self.ask_all(&replicas, ReplicaQuestion::Position).await;
        if snapshot.sync_replicas > 0 {
            // What a paused replica has received cannot grow behind the choice.
            let newest =
                rows.iter().map(|(_, row)| row.term.max(row.promised).0).max().unwrap_or(0);
            let question = ReplicaQuestion::Pause(LogTerm(newest + 1));
            rows = self.ask_all(&replicas, question).await;
        }
        let mut answers = Vec::new();
        for (target, row) in rows {
            let report = replicas.iter().find(|report| report.target == target);
            let eligible = report.is_some_and(|report| report.state == TargetState::Ready);
            answers.push(CandidateAnswer { target, received: row.received, eligible });
        }
        answers.sort_by(|left, right| left.target.cmp(&right.target));
        let chosen = choose_candidate(&answers, replicas.len(), snapshot.sync_replicas);
        log::info!(
            target: "event",
            event:display = EventNumber::CandidateChosen,
            group:display = self.group,
            server:display = chosen.as_deref().unwrap_or("-"),
            replicas = replicas.len(),
            answers:debug;
            ""
        );
        let chosen = chosen?;
        replicas.into_iter().find(|report| report.target == chosen).cloned()
    }

    async fn serves_again(&mut self, snapshot: &GroupSnapshot) -> bool {
        match snapshot.primary() {
            Some(primary) if primary.state == TargetState::Ready => {
                self.probe.look(primary).await == crate::probe::LookResult::Leads
            }
            _ => false,
        }
    }

    async fn still_leads(&self) -> bool {
        self.sources.node.log.confirm().await.is_ok()
    }

    /// Sends the order until the platform has answered, then waits until the target leads.
    async fn order(&mut self, candidate: &TargetReport, fence: u64) -> PromotionEnd {
        let order = PromotionOrder {
            group: self.group.clone(),
            target: candidate.target.clone(),
            holder: self.sources.node.own.host.clone(),
            fence,
        };
        // The choice was committed just now, which confirmed the leadership.
        let mut confirmed = self.now();
        loop {
            if self.now().since(confirmed) >= CONFIRM_LIFE {
                let asked = self.now();
                if !self.still_leads().await {
                    return PromotionEnd::Overtaken;
                }
                confirmed = asked;
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
                // Another fence is needed, for this target or another one.
                PromotionReply::Refused => return PromotionEnd::Overtaken,
                PromotionReply::Busy | PromotionReply::Unknown(_) => sleep(ORDER_RETRY).await,
            }
        }
        let ordered = self.now();
        while self.now().since(ordered) < TAKEOVER_LIMIT {
            if self.probe.look(candidate).await == crate::probe::LookResult::Leads {
                return PromotionEnd::Done(candidate.target.clone());
            }
            sleep(TAKEOVER_INTERVAL).await;
        }
        PromotionEnd::Overtaken
    }
}
