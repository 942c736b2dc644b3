//! Queue of the database groups that the leader's next passes evaluate.

use {
    super::{
        ANNOUNCEMENT_TIMEOUT, BrokerReport, EntrySignal, LivenessTable, SILENCE_TIMEOUT,
        TargetAnnouncement, TargetCondition, TargetKey, TargetSignal, condition::REPORT_TTL,
    },
    crate::{
        cluster::{BrokerRef, ChangeSet, ChangedItem, ClusterState, DatabaseRecord, TargetRecord},
        collections::FastMap,
        names::SharedName,
        time::Micros,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Delay before a group with unfinished work is evaluated again; the leader's regular passes run every
/// 100 ms.
const RECHECK_DELAY: Micros = Micros::from_millis(100);

/// Delay before a target that has left is evaluated again; it is removed after 60 s of silence.
const REMOVAL_RECHECK_DELAY: Micros = Micros::from_secs(1);

/// Groups ordered by the time at which they are due; each group is queued at most once.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkQueue {
    order: BTreeSet<(Micros, SharedName)>,
    due: FastMap<SharedName, Micros>,
}

impl WorkQueue {
    /// Queues a group for a time, unless it is already queued for an earlier one.
    pub(super) fn enqueue(&mut self, name: &SharedName, at: Micros) {
        if let Some(due) = self.due.get_mut(name) {
            if *due <= at {
                return;
            }
            self.order.remove(&(*due, name.clone()));
            *due = at;
        } else {
            self.due.insert(name.clone(), at);
        }
        self.order.insert((at, name.clone()));
    }

    /// Removes and returns at most `limit` groups that are due, the longest overdue first.
    fn pop_due(&mut self, now: Micros, limit: usize) -> Vec<SharedName> {
        let mut names = Vec::new();
        while names.len() < limit {
            if self.order.first().is_none_or(|(due, _)| *due > now) {
                break;
            }
            let Some((_, name)) = self.order.pop_first() else { break };
            self.due.remove(&name);
            names.push(name);
        }
        names
    }
}

impl LivenessTable {
    /// Removes and returns at most `limit` groups that have changed or are due.
    pub(crate) fn pop_due_groups(&mut self, now: Micros, limit: usize) -> Vec<SharedName> {
        self.work_queue.pop_due(now, limit)
    }

    /// Makes the next tick queue every group, as the first tick of a new leader does.
    ///
    /// A pause of this process needs this too, since it restarts the silence of every target.
    pub const fn request_full_pass(&mut self) {
        self.processed_version = None;
    }

    /// Queues the groups that changed in the applied state since the last pass.
    ///
    /// Returns their names for the rules that depend on the state alone.
    pub(super) fn enqueue_changed(&mut self, state: &ClusterState, now: Micros) -> Vec<SharedName> {
        let processed = self.processed_version.replace(state.version());
        let changes =
            processed.map_or(ChangeSet::Reset, |processed| state.changes_since(processed));
        let mut changed = Vec::new();
        match changes {
            ChangeSet::Unchanged => {}
            ChangeSet::Items(items) => {
                for item in items {
                    match item {
                        ChangedItem::Database(name) => changed.push(name),
                        ChangedItem::Entry(host) => {
                            self.entries_changed = Some(now);
                            for (database, _) in state.held_by_host(&host) {
                                self.work_queue.enqueue(database, now);
                            }
                        }
                        ChangedItem::Sheet => {}
                    }
                }
            }
            ChangeSet::Reset | ChangeSet::Ahead => {
                // The missed changes may include one of an entry.
                if processed.is_some() || self.entries_changed.is_none() {
                    self.entries_changed = Some(now);
                }
                changed.extend(state.databases().keys().cloned());
            }
        }
        for name in &changed {
            self.work_queue.enqueue(name, now);
        }
        changed
    }

    /// Queues the groups of entries whose reports have just become too old to use.
    pub(super) fn enqueue_stale(&mut self, state: &ClusterState, now: Micros) {
        for (entry, signal) in &mut self.entries {
            if signal.stale_queued || now.since(signal.last_seen) <= REPORT_TTL {
                continue;
            }
            signal.stale_queued = true;
            for (database, _) in signal.reports.keys().chain(state.held_by(entry)) {
                self.work_queue.enqueue(database, now);
            }
        }
    }

    /// Queues the groups for which a heartbeat may change a decision.
    pub(super) fn enqueue_reported(
        &mut self,
        now: Micros,
        entry: &BrokerRef,
        lease_valid: bool,
        reports: &BTreeMap<TargetKey, BrokerReport>,
    ) {
        let previous = self.entries.get(entry);
        let known =
            previous.filter(|signal| !signal.stale_queued && signal.lease_valid == lease_valid);
        for (key, report) in reports {
            let same = known
                .and_then(|signal| signal.reports.get(key))
                .is_some_and(|last| is_equivalent(last, report));
            // A change of primary in progress depends on positions too.
            if !same || self.fences.contains_key(&key.0) {
                self.work_queue.enqueue(&key.0, now);
            }
        }
        for key in previous.into_iter().flat_map(|signal: &EntrySignal| signal.reports.keys()) {
            if !reports.contains_key(key) {
                self.work_queue.enqueue(&key.0, now);
            }
        }
    }

    /// Queues the group of a target whose announcement may change a decision.
    pub(super) fn enqueue_announced(
        &mut self,
        now: Micros,
        key: &TargetKey,
        announcement: &TargetAnnouncement,
    ) {
        let same = self.targets.get(key).is_some_and(|signal: &TargetSignal| {
            let last = &signal.announcement;
            now.since(signal.last_seen) < ANNOUNCEMENT_TIMEOUT
                && (last.incarnation, last.role, last.term)
                    == (announcement.incarnation, announcement.role, announcement.term)
        });
        if !same || self.fences.contains_key(&key.0) {
            self.work_queue.enqueue(&key.0, now);
        }
    }

    /// Queues a group for the time at which the rules may give another result although nothing is
    /// received; `unfinished` tells whether commands for it are about to be logged.
    pub(crate) fn schedule(
        &mut self,
        state: &ClusterState,
        name: &SharedName,
        group: &DatabaseRecord,
        unfinished: bool,
        now: Micros,
    ) {
        let mut due = None;
        let mut earliest = |at| due = Some(due.map_or(at, |due: Micros| due.min(at)));
        let rejoining = group.targets.values().any(|target| target.rejoining.is_some());
        if unfinished || rejoining || group.closed || group.term == 0 {
            earliest(now + RECHECK_DELAY);
        } else {
            for (server, target) in &group.targets {
                let key = (name.clone(), server.clone());
                if let Some(at) = self.target_due(state, &key, target, now) {
                    earliest(at);
                }
            }
        }
        if let Some(at) = due {
            self.work_queue.enqueue(name, at);
        }
    }

    fn target_due(
        &self,
        state: &ClusterState,
        key: &TargetKey,
        target: &TargetRecord,
        now: Micros,
    ) -> Option<Micros> {
        let soon = now + RECHECK_DELAY;
        let settled = target.releasing.is_none()
            && state.live_broker(target).is_some_and(|entry| entry.is_eligible());
        if !settled && !target.info.address.is_empty() {
            return Some(soon);
        }
        let removal = (!target.live && target.is_draining()).then_some(now + REMOVAL_RECHECK_DELAY);
        let condition = self.condition(state, key, target, now);
        let reported = self.report(state, key, target, now).is_some();
        let change = match condition {
            TargetCondition::ProbesFailing | TargetCondition::Unknown => Some(soon),
            // Only an announcement or a report ends this condition.
            TargetCondition::Unreachable => None,
            // With a report, only another report or missing heartbeats of the broker end these.
            TargetCondition::Healthy | TargetCondition::AnnouncementsMissing if reported => None,
            TargetCondition::Healthy | TargetCondition::AnnouncementsMissing => {
                let silent_since = now - self.silent_for(key, now);
                Some((silent_since + SILENCE_TIMEOUT).max(soon))
            }
        };
        removal.into_iter().chain(change).min()
    }

    /// Records that a target is about to be removed from the state, so that its observations are
    /// dropped later.
    pub(crate) fn record_removal(&mut self, key: TargetKey, now: Micros) {
        self.removals.insert(key, now);
    }
}

/// Returns whether two reports lead to the same decisions outside a change of primary.
fn is_equivalent(last: &BrokerReport, report: &BrokerReport) -> bool {
    // The time for which a target was not reached grows with every report.
    let comparable = |report: &BrokerReport| BrokerReport {
        position: crate::position::LogPosition::ZERO,
        open_connections: report.open_connections.min(1),
        ..*report
    };
    report.reachable && comparable(last) == comparable(report)
}
