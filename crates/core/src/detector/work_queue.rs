//! Database groups that the leader's next passes have to look at.

use {
    super::{
        ANNOUNCEMENT_GAP, BrokerReport, EntrySignal, LivenessTable, NO_EVIDENCE,
        TargetAnnouncement, TargetCondition, TargetKey, TargetSignal, condition::REPORT_AGE,
    },
    crate::{
        cluster::{BrokerRef, ChangeSet, ChangedItem, ClusterState, DatabaseRecord, TargetRecord},
        collections::FastMap,
        names::SharedName,
        time::Micros,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Delay before a group with unfinished work is looked at again; the leader's regular passes come
/// every 100 ms.
const RECHECK_DELAY: Micros = Micros::from_millis(100);

/// Delay before a target that has left is looked at again; it is removed after 60 s of silence.
const REMOVAL_RECHECK: Micros = Micros::from_secs(1);

/// Groups by the time at which they are due; each group is listed at most once.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkAgenda {
    order: BTreeSet<(Micros, SharedName)>,
    due: FastMap<SharedName, Micros>,
}

impl WorkAgenda {
    /// Lists a group; an earlier time that is already listed stays.
    pub(super) fn mark(&mut self, name: &SharedName, at: Micros) {
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

    /// Takes the groups that are due, the longest overdue first.
    fn take(&mut self, now: Micros, limit: usize) -> Vec<SharedName> {
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
    /// Takes at most `limit` groups that have changed or are due.
    pub(crate) fn take_due(&mut self, now: Micros, limit: usize) -> Vec<SharedName> {
        self.agenda.take(now, limit)
    }

    /// Lists every group as due, as a new leader does.
    ///
    /// Needed after a pause of this process too, which changes the silence of every target.
    pub const fn reconsider_all(&mut self) {
        self.state_seen = None;
    }

    /// Lists the groups that changed in the applied state since the last pass.
    ///
    /// Returns their names for the rules that depend on the state alone.
    pub(super) fn note_changes(&mut self, state: &ClusterState, now: Micros) -> Vec<SharedName> {
        let seen = self.state_seen.replace(state.version());
        let changes = seen.map_or(ChangeSet::Reset, |seen| state.changes_since(seen));
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
                                self.agenda.mark(database, now);
                            }
                        }
                        ChangedItem::Sheet => {}
                    }
                }
            }
            ChangeSet::Reset | ChangeSet::Ahead => {
                // A gap in the changes may hide one of an entry.
                if seen.is_some() || self.entries_changed.is_none() {
                    self.entries_changed = Some(now);
                }
                changed.extend(state.databases().keys().cloned());
            }
        }
        for name in &changed {
            self.agenda.mark(name, now);
        }
        changed
    }

    /// Lists the groups of entries whose reports have just become too old to count.
    pub(super) fn note_silence(&mut self, state: &ClusterState, now: Micros) {
        for (entry, signal) in &mut self.entries {
            if signal.silent || now.since(signal.heard) <= REPORT_AGE {
                continue;
            }
            signal.silent = true;
            for (database, _) in signal.reports.keys().chain(state.held_by(entry)) {
                self.agenda.mark(database, now);
            }
        }
    }

    /// Lists the groups for which a heartbeat brings news.
    pub(super) fn note_reports(
        &mut self,
        now: Micros,
        entry: &BrokerRef,
        trusted: bool,
        reports: &BTreeMap<TargetKey, BrokerReport>,
    ) {
        let previous = self.entries.get(entry);
        let known = previous.filter(|signal| !signal.silent && signal.trusted == trusted);
        for (key, report) in reports {
            let same = known
                .and_then(|signal| signal.reports.get(key))
                .is_some_and(|last| is_same(last, report));
            // A change of primary in progress depends on positions too.
            if !same || self.fences.contains_key(&key.0) {
                self.agenda.mark(&key.0, now);
            }
        }
        for key in previous.into_iter().flat_map(|signal: &EntrySignal| signal.reports.keys()) {
            if !reports.contains_key(key) {
                self.agenda.mark(&key.0, now);
            }
        }
    }

    /// Lists the group of a target whose announcement brings news.
    pub(super) fn note_announcement(
        &mut self,
        now: Micros,
        key: &TargetKey,
        announcement: &TargetAnnouncement,
    ) {
        let same = self.targets.get(key).is_some_and(|signal: &TargetSignal| {
            let last = &signal.announcement;
            now.since(signal.heard) < ANNOUNCEMENT_GAP
                && (last.incarnation, last.role, last.term)
                    == (announcement.incarnation, announcement.role, announcement.term)
        });
        if !same || self.fences.contains_key(&key.0) {
            self.agenda.mark(&key.0, now);
        }
    }

    /// Lists a group again for the time at which the rules may give another result although nothing
    /// is heard; `unfinished` says that commands for it are about to be logged.
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
            self.agenda.mark(name, at);
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
        let removal = (!target.live && target.is_draining()).then_some(now + REMOVAL_RECHECK);
        let condition = self.condition(state, key, target, now);
        let reported = self.report(state, key, target, now).is_some();
        let change = match condition {
            TargetCondition::PathSilent | TargetCondition::Unknown => Some(soon),
            // Only an announcement or a report ends this condition.
            TargetCondition::Unreachable => None,
            // With a report, only another report or the broker's silence ends these.
            TargetCondition::Healthy | TargetCondition::Unheard if reported => None,
            TargetCondition::Healthy | TargetCondition::Unheard => {
                let silent_since = now - self.silent_for(key, now);
                Some((silent_since + NO_EVIDENCE).max(soon))
            }
        };
        removal.into_iter().chain(change).min()
    }

    /// Notes that a target is about to be removed from the state, so that what was heard of it is
    /// dropped later.
    pub(crate) fn note_removal(&mut self, key: TargetKey, now: Micros) {
        self.removals.insert(key, now);
    }
}

/// Returns whether no rule outside a change of primary can tell two reports apart.
fn is_same(last: &BrokerReport, report: &BrokerReport) -> bool {
    // The time for which a target was not reached grows with every report.
    let comparable = |report: &BrokerReport| BrokerReport {
        position: crate::position::LogPosition::ZERO,
        open_connections: report.open_connections.min(1),
        ..*report
    };
    report.reachable && comparable(last) == comparable(report)
}
