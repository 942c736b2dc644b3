//! Liveness of entries and targets as the control leader observes it.
//!
//! The table is the leader's soft state. A new leader starts with an empty one and treats every lease
//! that it does not know as granted at the moment its leadership began.

mod condition;
mod lease;
mod work_queue;

pub use {
    condition::{ANNOUNCEMENT_TIMEOUT, BROKER_ONLY_TIMEOUT, SILENCE_TIMEOUT, TargetCondition},
    lease::{FENCE_GRACE, RenewalRefusal},
};

use {
    crate::{
        cluster::{BrokerRef, ClusterState},
        collections::FastMap,
        names::SharedName,
        position::LogPosition,
        route::TargetRole,
        time::{Micros, NODE_LEASE, grantor_expiry},
    },
    std::collections::{BTreeMap, BTreeSet, VecDeque},
    work_queue::WorkQueue,
};

/// Gap between two ticks after which the leader's own process counts as paused.
///
/// Ticks run every 100 ms; announcements that wait in the sockets of a paused leader must not count
/// as missing.
const PAUSE_THRESHOLD: Micros = Micros::from_secs(1);

/// Time for which observations of an entry are kept after its lease or last heartbeat, and those of a
/// target after its removal was decided.
const RECORD_TTL: Micros = Micros::from_secs(60);

/// Number of ticks between two removals of observations that are no longer needed.
const CLEANUP_INTERVAL_TICKS: u64 = 64;

/// Periodic announcement of a target about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// Number of the target's process; a restart raises it.
    pub incarnation: u64,
    /// Role that the target claims, if it knows one.
    pub role: Option<TargetRole>,
    /// Term under which it acts.
    pub term: u64,
    /// Position of the target in its log.
    pub position: LogPosition,
}

/// Observations of a broker about its target, sent with each heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokerReport {
    /// Epoch of the brokership under which the observations were made.
    pub epoch: u64,
    /// Whether the target responds to probes, at the latest on a fresh connection.
    pub reachable: bool,
    /// How long the target has been unreachable; zero while it is reachable.
    pub unreachable_for: Micros,
    /// Role that the target claims, if known.
    pub role: Option<TargetRole>,
    /// Term that the target reports.
    pub term: u64,
    /// Position that the target reports.
    pub position: LogPosition,
    /// On a primary, the last position of earlier terms, if known.
    pub term_start: Option<LogPosition>,
    /// Highest closed term under which the broker has stopped acknowledging writes.
    pub fenced_term: u64,
    /// Number of connections to the target that are still open.
    pub open_connections: u32,
    /// Incarnation under which the target announced itself to the broker within `ANNOUNCEMENT_TIMEOUT`.
    pub announced: Option<u64>,
}

/// Names of a target's database and of its server.
pub type TargetKey = (SharedName, SharedName);

/// Content of one heartbeat of an entry process.
#[derive(Clone, Debug)]
pub struct EntryHeartbeat {
    /// Process that sent the heartbeat.
    pub entry: BrokerRef,
    /// Version of the cluster state that the process applies.
    pub applied_version: u64,
    /// Number of the sheet that the process applies.
    pub sheet_number: u64,
    /// Reports on the targets that the process is broker of or still has connections to.
    pub reports: BTreeMap<TargetKey, BrokerReport>,
}

#[derive(Clone, Debug)]
struct EntrySignal {
    last_seen: Micros,
    lease_expiry: Micros,
    applied_version: u64,
    sheet_number: u64,
    /// Whether the lease was valid at the latest heartbeat; a process that was paused for longer than
    /// its lease reports stale observations at first.
    lease_valid: bool,
    /// Whether the groups of the process were queued again because its reports are too old to use.
    stale_queued: bool,
    reports: BTreeMap<TargetKey, BrokerReport>,
}

#[derive(Clone, Debug)]
struct TargetSignal {
    first_seen: Micros,
    last_seen: Micros,
    /// When the first announcement of the current incarnation was received.
    started: Micros,
    /// Highest position that the incarnation announced or its broker reported.
    highest: LogPosition,
    announcement: TargetAnnouncement,
}

#[derive(Clone, Copy, Debug)]
struct FenceState {
    term: u64,
    closed_version: u64,
    closed_observed_at: Micros,
    fenced_at: Option<Micros>,
    candidate_term: u64,
    candidate_observed_at: Micros,
}

/// Observations of the control leader about entries and targets.
#[derive(Clone, Debug)]
pub struct LivenessTable {
    leader_since: Micros,
    observing_since: Micros,
    last_tick: Micros,
    ticks: u64,
    entries: FastMap<BrokerRef, EntrySignal>,
    targets: FastMap<TargetKey, TargetSignal>,
    /// When a broker last reported that it reaches a target or receives its announcements.
    reached: FastMap<TargetKey, Micros>,
    fences: BTreeMap<SharedName, FenceState>,
    expiring: BTreeSet<BrokerRef>,
    /// Sheets in ascending order with the time at which each was first observed. Only the first one can
    /// be past its grace period.
    observed_sheets: VecDeque<(u64, Micros)>,
    /// When a change of an entry was last observed.
    entries_changed: Option<Micros>,
    /// Groups to evaluate in the next passes.
    work_queue: WorkQueue,
    /// Version of the state up to which changes have been queued; `None` queues every group.
    processed_version: Option<u64>,
    /// Targets that are being removed from the state, with the time at which this was decided.
    removals: BTreeMap<TargetKey, Micros>,
    /// Group after which the search for better placement continues.
    placement_cursor: Option<SharedName>,
}

/// Observations about one entry process for the operator's status view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryObservation {
    /// Time since the last heartbeat.
    pub heartbeat_age: Micros,
    /// Version of the cluster state that the entry applies.
    pub applied_version: u64,
    /// Number of the sheet that the entry applies.
    pub sheet_number: u64,
}

impl LivenessTable {
    /// Creates the table of a leader whose leadership began at or before `now`.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self {
            leader_since: now,
            observing_since: now,
            last_tick: now,
            ticks: 0,
            entries: FastMap::default(),
            targets: FastMap::default(),
            reached: FastMap::default(),
            fences: BTreeMap::new(),
            expiring: BTreeSet::new(),
            observed_sheets: VecDeque::new(),
            entries_changed: None,
            work_queue: WorkQueue::default(),
            processed_version: None,
            removals: BTreeMap::new(),
            placement_cursor: None,
        }
    }

    /// Records a heartbeat without renewing the lease.
    ///
    /// Returns whether a decision may depend on it, so that the leader should run a pass before its next
    /// tick.
    pub fn heartbeat(&mut self, now: Micros, heartbeat: EntryHeartbeat) -> bool {
        let urgent =
            !self.fences.is_empty() || heartbeat.reports.values().any(|report| !report.reachable);
        let previous = self.entries.get(&heartbeat.entry);
        let lease_expiry = previous.map_or(Micros::ZERO, |signal| signal.lease_expiry);
        let lease_valid = now < lease_expiry;
        self.enqueue_reported(now, &heartbeat.entry, lease_valid, &heartbeat.reports);
        if lease_valid {
            for (key, report) in &heartbeat.reports {
                if report.reachable || report.announced.is_some() {
                    self.reached.insert(key.clone(), now);
                }
                if let Some(signal) = self.targets.get_mut(key)
                    && report.reachable
                {
                    signal.highest = signal.highest.max(report.position);
                }
            }
        }
        let signal = EntrySignal {
            last_seen: now,
            lease_expiry,
            applied_version: heartbeat.applied_version,
            sheet_number: heartbeat.sheet_number,
            lease_valid,
            stale_queued: false,
            reports: heartbeat.reports,
        };
        self.entries.insert(heartbeat.entry, signal);
        urgent
    }

    /// Records an announcement; one of an older incarnation is ignored.
    pub fn announce(&mut self, now: Micros, key: TargetKey, announcement: TargetAnnouncement) {
        self.enqueue_announced(now, &key, &announcement);
        if let Some(signal) = self.targets.get_mut(&key) {
            if announcement.incarnation < signal.announcement.incarnation {
                return;
            }
            if announcement.incarnation > signal.announcement.incarnation {
                signal.started = now;
                signal.highest = announcement.position;
            }
            signal.highest = signal.highest.max(announcement.position);
            signal.last_seen = now;
            signal.announcement = announcement;
            return;
        }
        let highest = announcement.position;
        let signal =
            TargetSignal { first_seen: now, last_seen: now, started: now, highest, announcement };
        self.targets.insert(key, signal);
    }

    /// Returns whether a server announces a new incarnation whose log lacks entries of an earlier one.
    ///
    /// A leader that has received nothing from the earlier incarnation assumes that entries are missing.
    #[must_use]
    pub fn has_lost_log(
        &self,
        state: &ClusterState,
        key: &TargetKey,
        announcement: &TargetAnnouncement,
    ) -> bool {
        let Some(record) = state.target(&key.0, &key.1) else { return false };
        if record.info.incarnation >= announcement.incarnation {
            return false;
        }
        self.targets.get(key).is_none_or(|signal| announcement.position < signal.highest)
    }

    /// Returns a time at which the current incarnation of a target was certainly running.
    ///
    /// An incarnation that this leader has received nothing from was recorded before its leadership.
    #[must_use]
    pub fn incarnation_since(&self, key: &TargetKey) -> Micros {
        self.targets.get(key).map_or(self.leader_since, |signal| signal.started)
    }

    /// Returns the highest position that the current incarnation of a target is known to have had.
    #[must_use]
    pub fn highest_position(&self, key: &TargetKey) -> Option<LogPosition> {
        self.targets.get(key).map(|signal| signal.highest)
    }

    /// Detects pauses of this process, and records new sheets, closed terms and completed fences.
    pub fn tick(&mut self, state: &ClusterState, now: Micros) {
        if now.since(self.last_tick) > PAUSE_THRESHOLD {
            self.observing_since = now;
            self.request_full_pass();
        }
        self.last_tick = now;
        self.ticks += 1;
        self.record_sheet(state, now);
        if self.processed_version.is_none() {
            // A removal that an earlier pass decided may predate observations of the same target.
            self.targets.retain(|(database, server), _| state.target(database, server).is_some());
            self.reached.retain(|(database, server), _| state.target(database, server).is_some());
        }
        let changed = self.enqueue_changed(state, now);
        self.update_fences(state, &changed, now);
        self.enqueue_stale(state, now);
        if self.ticks.is_multiple_of(CLEANUP_INTERVAL_TICKS) {
            self.clean(state, now);
        }
    }

    fn clean(&mut self, state: &ClusterState, now: Micros) {
        self.entries
            .retain(|_, signal| now.since(signal.last_seen.max(signal.lease_expiry)) <= RECORD_TTL);
        // Kept for a while, since an entry may report a target whose removal it has not applied yet.
        let (targets, reached) = (&mut self.targets, &mut self.reached);
        self.removals.retain(|key, decided| {
            if state.target(&key.0, &key.1).is_none() {
                targets.remove(key);
                reached.remove(key);
            }
            now.since(*decided) <= RECORD_TTL
        });
    }

    /// Returns how often `tick` has been called.
    #[must_use]
    pub const fn ticks(&self) -> u64 {
        self.ticks
    }

    /// Returns how long ago a target last announced itself or was reached by a broker.
    #[must_use]
    pub fn silent_for(&self, key: &TargetKey, now: Micros) -> Micros {
        let last_announced = self.targets.get(key).map_or(Micros::ZERO, |signal| signal.last_seen);
        let last_reached = self.reached.get(key).copied().unwrap_or_default();
        now.since(last_announced.max(last_reached).max(self.observing_since))
    }

    fn update_fences(&mut self, state: &ClusterState, changed: &[SharedName], now: Micros) {
        for name in changed {
            let group = state.databases().get(name);
            let Some(group) = group.filter(|group| group.closed) else {
                self.fences.remove(name);
                continue;
            };
            let known = self.fences.get(name).filter(|fence| fence.term == group.term).copied();
            let mut fence = known.unwrap_or(FenceState {
                term: group.term,
                closed_version: group.closed_version,
                closed_observed_at: now,
                fenced_at: None,
                candidate_term: group.candidate_term,
                candidate_observed_at: now,
            });
            if fence.closed_version != group.closed_version {
                fence.closed_version = group.closed_version;
                fence.closed_observed_at = now;
            }
            if fence.candidate_term != group.candidate_term {
                fence.candidate_term = group.candidate_term;
                fence.candidate_observed_at = now;
            }
            self.fences.insert(name.clone(), fence);
        }
        let mut fenced = Vec::new();
        for (name, fence) in &self.fences {
            let Some(group) = state.databases().get(name) else { continue };
            if fence.fenced_at.is_none() && self.is_fenced(state, name, group, now) {
                fenced.push(name.clone());
            }
        }
        for name in fenced {
            self.work_queue.enqueue(&name, now);
            if let Some(fence) = self.fences.get_mut(&name) {
                fence.fenced_at = Some(now);
            }
        }
    }

    /// Returns when the leader observed that the closed term of a group was fenced.
    #[must_use]
    pub fn fenced_at(&self, database: &str) -> Option<Micros> {
        self.fences.get(database)?.fenced_at
    }

    /// Returns when the leader first observed the latest closing of a group's term, planned or not.
    #[must_use]
    pub fn closed_observed_at(&self, database: &str) -> Option<Micros> {
        self.fences.get(database).map(|fence| fence.closed_observed_at)
    }

    /// Returns when the leader first observed the current candidate.
    #[must_use]
    pub fn candidate_observed_at(&self, database: &str) -> Option<Micros> {
        self.fences.get(database).map(|fence| fence.candidate_observed_at)
    }

    /// Returns the latest announcement of a target and the time at which it was received.
    #[must_use]
    pub fn announcement(&self, key: &TargetKey) -> Option<(Micros, TargetAnnouncement)> {
        self.targets.get(key).map(|signal| (signal.last_seen, signal.announcement))
    }

    /// Returns when the leader first received an announcement of a target.
    #[must_use]
    pub fn first_seen(&self, key: &TargetKey) -> Option<Micros> {
        self.targets.get(key).map(|signal| signal.first_seen)
    }

    /// Returns the content and age of the last heartbeat of an entry process.
    #[must_use]
    pub fn entry(&self, entry: &BrokerRef, now: Micros) -> Option<EntryObservation> {
        let signal = self.entries.get(entry)?;
        Some(EntryObservation {
            heartbeat_age: now.since(signal.last_seen),
            applied_version: signal.applied_version,
            sheet_number: signal.sheet_number,
        })
    }

    /// Returns for how long the set of eligible entries has not changed.
    #[must_use]
    pub fn entries_stable_for(&self, now: Micros) -> Micros {
        self.entries_changed.map_or(Micros::ZERO, |changed| now.since(changed))
    }

    /// Returns the group after which the search for better placement continues.
    pub(crate) const fn placement_cursor(&self) -> Option<&SharedName> {
        self.placement_cursor.as_ref()
    }

    /// Sets the group after which the search for better placement continues.
    pub(crate) fn set_placement_cursor(&mut self, cursor: Option<SharedName>) {
        self.placement_cursor = cursor;
    }

    /// Returns when this leadership began.
    #[must_use]
    pub const fn leader_since(&self) -> Micros {
        self.leader_since
    }

    /// Returns whether the lease of an entry process has certainly expired.
    #[must_use]
    pub fn lease_expired(&self, entry: &BrokerRef, now: Micros) -> bool {
        // An earlier leader may have renewed the lease until this leadership began.
        let inherited = grantor_expiry(self.leader_since, NODE_LEASE);
        let granted = self.entries.get(entry).map_or(Micros::ZERO, |signal| signal.lease_expiry);
        now >= inherited.max(granted)
    }

    /// Returns whether an entry process holds a lease that this leader granted.
    #[must_use]
    pub fn holds_lease(&self, entry: &BrokerRef, now: Micros) -> bool {
        self.entries.get(entry).is_some_and(|signal| now < signal.lease_expiry)
    }

    /// Returns whether a process has no valid lease and cannot get a new one.
    #[must_use]
    pub fn is_gone(&self, state: &ClusterState, entry: &BrokerRef, now: Micros) -> bool {
        let recorded = state
            .entries()
            .get(&entry.host)
            .is_some_and(|record| record.live && record.info.incarnation == entry.incarnation);
        !recorded && self.lease_expired(entry, now)
    }
}
