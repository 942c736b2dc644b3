//! Content of the directory about one group.

use banyansill_core::{
    directory::{
        DepartedHolder, DirectoryState, EarlierOrder, GroupRecord, ProcessHost, PromotionRecord,
        ReportOrder, TargetReport, TargetState,
    },
    gateway::ConnectionRule,
    names::SharedName,
    route::TargetRole,
};

/// Content of the directory about one group, at one point in time.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupSnapshot {
    pub(crate) group: SharedName,
    pub(crate) record: GroupRecord,
    pub(crate) targets: Vec<TargetReport>,
    pub(crate) sync_replicas: u32,
    /// Connections that each target accepts.
    pub(crate) connections: ConnectionRule,
    pub(crate) entries: Vec<ProcessHost>,
    /// Processes that have left and may be the only replicas with a commit.
    pub(crate) holders: Vec<DepartedHolder>,
    /// Log index of the last change of the directory.
    pub(crate) version: u64,
}

impl GroupSnapshot {
    pub(crate) fn of(state: &DirectoryState, group: &SharedName) -> Self {
        let rule = state.routes().groups.get(group);
        Self {
            group: group.clone(),
            record: state.groups().get(group).cloned().unwrap_or_default(),
            targets: state
                .usable_targets()
                .filter(|report| report.group == *group)
                .cloned()
                .collect(),
            sync_replicas: rule.map_or(0, |rule| rule.sync_replicas),
            connections: ConnectionRule {
                connections: rule.map_or(0, |rule| rule.connections),
                by_team: !state.routes().teams.is_empty(),
            },
            entries: state.entries().values().cloned().collect(),
            holders: state.holders().of(group).cloned().collect(),
            version: state.version(),
        }
    }

    pub(crate) fn primary(&self) -> Option<&TargetReport> {
        let name = self.record.primary.as_ref()?;
        self.targets.iter().find(|report| report.target == *name)
    }

    /// Returns the recorded primary, unless the order to promote another target may take effect.
    pub(crate) fn undisputed_primary(&self) -> Option<&TargetReport> {
        let promotion = self.record.promotion.as_ref();
        let is_ordered =
            |promotion: &PromotionRecord| promotion.last_order() != EarlierOrder::Nothing;
        self.primary().filter(|_| !promotion.is_some_and(is_ordered))
    }

    /// Returns whether a commit of the group waits for replicas.
    pub(crate) const fn waits_for_replicas(&self) -> bool {
        self.sync_replicas > 0
    }

    /// Returns all targets except the recorded primary.
    pub(crate) fn replicas(&self) -> Vec<&TargetReport> {
        let mut replicas = Vec::new();
        for report in &self.targets {
            if self.record.primary.as_ref() != Some(&report.target) {
                replicas.push(report);
            }
        }
        replicas
    }

    /// Returns the departed holders that can be asked, as the targets that they were: a process may run on for a while.
    pub(crate) fn departed_targets(&self) -> Vec<TargetReport> {
        let mut departed = Vec::new();
        for holder in &self.holders {
            let is_listed = self.targets.iter().any(|report| report.target == holder.target);
            if is_listed || holder.target.is_empty() {
                continue;
            }
            departed.push(TargetReport {
                target: holder.target.clone(),
                group: self.group.clone(),
                address: holder.address.clone(),
                zone: SharedName::default(),
                slots: 0,
                state: TargetState::Draining,
                role: TargetRole::Replica,
                order: ReportOrder { incarnation: holder.incarnation, sequence: 0 },
            });
        }
        departed
    }
}
