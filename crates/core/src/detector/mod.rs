//! Liveness of entries and targets as the control leader observes it.
//!
//! The table is the leader's soft state. A new leader starts an empty one and counts every lease that
//! it does not know as granted at the moment its leadership began.

mod condition;
mod lease;
mod work_queue;

pub use {
    condition::{ANNOUNCEMENT_GAP, BROKER_ALONE, NO_EVIDENCE, TargetCondition},
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
    work_queue::WorkAgenda,
};

/// Gap between two ticks after which the leader's own process counts as paused.
///
/// Ticks come every 100 ms; announcements that wait in the sockets of a paused leader must not count
/// as missing.
const PAUSE_GAP: Micros = Micros::from_secs(1);

/// Time after which the records of an expired lease are dropped.
const FORGET_LEASE: Micros = Micros::from_secs(60);

/// Ticks between two removals of records that are not needed any more.
const CLEAN_EVERY: u64 = 64;

/// What a target announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Role that the target claims.
    pub role: Option<TargetRole>,
    /// Term under which it acts.
    pub term: u64,
    /// Its position.
    pub position: LogPosition,
}

/// What a broker observed of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokerReport {
    /// Epoch of the brokership.
    pub epoch: u64,
    /// Whether the target answers on a fresh connection.
    pub reachable: bool,
    /// How long it has not.
    pub unreachable_for: Micros,
    /// Role that the target claims.
    pub role: Option<TargetRole>,
    /// Term that the target reports.
    pub term: u64,
    /// Position that the target reports.
    pub position: LogPosition,
    /// On a primary, the last position of earlier terms, if known.
    pub term_start: Option<LogPosition>,
    /// Highest closed term that the broker has stopped acknowledging for.
    pub fenced_term: u64,
    /// Connections that are still open.
    pub open_connections: u32,
    /// Incarnation under which the target announced itself to the broker within `ANNOUNCEMENT_GAP`.
    pub announced: Option<u64>,
}

/// Database and server of a target.
pub type TargetKey = (SharedName, SharedName);

/// One heartbeat of an entry.
#[derive(Clone, Debug)]
pub struct EntryHeartbeat {
    /// The entry process.
    pub entry: BrokerRef,
    /// Version of the cluster state that it applies.
    pub applied_version: u64,
    /// Number of the sheet that it applies.
    pub sheet_number: u64,
    /// Reports on its targets.
    pub reports: BTreeMap<TargetKey, BrokerReport>,
}

#[derive(Clone, Debug)]
struct EntrySignal {
    heard: Micros,
    lease_expiry: Micros,
    applied_version: u64,
    sheet_number: u64,
    /// Whether the lease was valid at the latest heartbeat; a process that was paused for longer
    /// reports stale observations at first.
    trusted: bool,
    /// Whether the groups of the process were listed again because its reports are too old to count.
    silent: bool,
    reports: BTreeMap<TargetKey, BrokerReport>,
}

#[derive(Clone, Debug)]
struct TargetSignal {
    first_heard: Micros,
    heard: Micros,
    /// When the present incarnation was heard first.
    begun: Micros,
    /// Highest position that the incarnation announced or its broker reported.
    highest: LogPosition,
    announcement: TargetAnnouncement,
}

#[derive(Clone, Copy, Debug)]
struct FenceSignal {
    term: u64,
    closed_version: u64,
    closed_seen: Micros,
    fenced: Option<Micros>,
    candidate_term: u64,
    candidate_seen: Micros,
}

/// What the control leader has observed of entries and targets.
#[derive(Clone, Debug)]
pub struct LivenessTable {
    lead_since: Micros,
    observing_since: Micros,
    ticked: Micros,
    ticks: u64,
    entries: FastMap<BrokerRef, EntrySignal>,
    targets: FastMap<TargetKey, TargetSignal>,
    /// When a broker reported last that it reaches or hears a target.
    reached: FastMap<TargetKey, Micros>,
    fences: BTreeMap<SharedName, FenceSignal>,
    expiring: BTreeSet<BrokerRef>,
    /// Sheets in ascending order with the time at which each was seen first; the first one may be the
    /// only one whose grace has passed.
    sheets_seen: VecDeque<(u64, Micros)>,
    /// When a change of an entry was seen last.
    entries_changed: Option<Micros>,
    /// Groups to look at in the next passes.
    agenda: WorkAgenda,
    /// Version of the state whose changes are on the agenda; `None` lists every group.
    state_seen: Option<u64>,
    /// Targets that are being removed from the state, with the time at which this was decided.
    removals: BTreeMap<TargetKey, Micros>,
    /// Group after which the search for better placement continues.
    placement_cursor: Option<SharedName>,
}

/// What an operator sees of one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryObservation {
    /// Time since the last heartbeat.
    pub heartbeat_age: Micros,
    /// Version that the entry applies.
    pub applied_version: u64,
    /// Sheet that the entry applies.
    pub sheet_number: u64,
}

impl LivenessTable {
    /// Creates the table of a leader whose leadership began at or before `now`.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self {
            lead_since: now,
            observing_since: now,
            ticked: now,
            ticks: 0,
            entries: FastMap::default(),
            targets: FastMap::default(),
            reached: FastMap::default(),
            fences: BTreeMap::new(),
            expiring: BTreeSet::new(),
            sheets_seen: VecDeque::new(),
            entries_changed: None,
            agenda: WorkAgenda::default(),
            state_seen: None,
            removals: BTreeMap::new(),
            placement_cursor: None,
        }
    }

    /// Records a heartbeat; it renews nothing by itself.
    ///
    /// Returns whether a decision may depend on it, so that the leader need not wait for its next tick.
    pub fn heartbeat(&mut self, now: Micros, heartbeat: EntryHeartbeat) -> bool {
        let urgent =
            !self.fences.is_empty() || heartbeat.reports.values().any(|report| !report.reachable);
        let previous = self.entries.get(&heartbeat.entry);
        let lease_expiry = previous.map_or(Micros::ZERO, |signal| signal.lease_expiry);
        let trusted = now < lease_expiry;
        self.note_reports(now, &heartbeat.entry, trusted, &heartbeat.reports);
        if trusted {
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
            heard: now,
            lease_expiry,
            applied_version: heartbeat.applied_version,
            sheet_number: heartbeat.sheet_number,
            trusted,
            silent: false,
            reports: heartbeat.reports,
        };
        self.entries.insert(heartbeat.entry, signal);
        urgent
    }

    /// Records an announcement; one of an older incarnation is ignored.
    pub fn announce(&mut self, now: Micros, key: TargetKey, announcement: TargetAnnouncement) {
        self.note_announcement(now, &key, &announcement);
        if let Some(signal) = self.targets.get_mut(&key) {
            if announcement.incarnation < signal.announcement.incarnation {
                return;
            }
            if announcement.incarnation > signal.announcement.incarnation {
                signal.begun = now;
                signal.highest = announcement.position;
            }
            signal.highest = signal.highest.max(announcement.position);
            signal.heard = now;
            signal.announcement = announcement;
            return;
        }
        let highest = announcement.position;
        let signal =
            TargetSignal { first_heard: now, heard: now, begun: now, highest, announcement };
        self.targets.insert(key, signal);
    }

    /// Returns whether a server announces a new incarnation that lacks what an earlier one had.
    ///
    /// A leader that has not heard the earlier incarnation cannot tell, and assumes that it does.
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

    /// Returns a time at which the present incarnation of a target ran for certain.
    ///
    /// One that this leader has not heard itself was recorded before its leadership.
    #[must_use]
    pub fn begun(&self, key: &TargetKey) -> Micros {
        self.targets.get(key).map_or(self.lead_since, |signal| signal.begun)
    }

    /// Returns the highest position that the present incarnation of a target is known to have had.
    #[must_use]
    pub fn highest(&self, key: &TargetKey) -> Option<LogPosition> {
        self.targets.get(key).map(|signal| signal.highest)
    }

    /// Advances the table: notes pauses of this process, new sheets, closed terms and fences.
    pub fn tick(&mut self, state: &ClusterState, now: Micros) {
        if now.since(self.ticked) > PAUSE_GAP {
            self.observing_since = now;
            self.reconsider_all();
        }
        self.ticked = now;
        self.ticks += 1;
        self.note_sheet(state, now);
        if self.state_seen.is_none() {
            // The removals that an earlier pass decided may be older than the observations.
            self.targets.retain(|(database, server), _| state.target(database, server).is_some());
            self.reached.retain(|(database, server), _| state.target(database, server).is_some());
        }
        let changed = self.note_changes(state, now);
        self.note_fences(state, &changed, now);
        self.note_silence(state, now);
        if self.ticks.is_multiple_of(CLEAN_EVERY) {
            self.clean(state, now);
        }
    }

    fn clean(&mut self, state: &ClusterState, now: Micros) {
        self.entries
            .retain(|_, signal| now.since(signal.heard.max(signal.lease_expiry)) <= FORGET_LEASE);
        // Kept for a while, since an entry may report a target that it has not yet seen removed.
        let (targets, reached) = (&mut self.targets, &mut self.reached);
        self.removals.retain(|key, decided| {
            if state.target(&key.0, &key.1).is_none() {
                targets.remove(key);
                reached.remove(key);
            }
            now.since(*decided) <= FORGET_LEASE
        });
    }

    /// Returns the number of ticks so far.
    #[must_use]
    pub const fn ticks(&self) -> u64 {
        self.ticks
    }

    /// Returns for how long there has been no sign of a target, by itself or by a broker.
    #[must_use]
    pub fn silent_for(&self, key: &TargetKey, now: Micros) -> Micros {
        let heard = self.targets.get(key).map_or(Micros::ZERO, |signal| signal.heard);
        let reached = self.reached.get(key).copied().unwrap_or_default();
        now.since(heard.max(reached).max(self.observing_since))
    }

    fn note_fences(&mut self, state: &ClusterState, changed: &[SharedName], now: Micros) {
        for name in changed {
            let group = state.databases().get(name);
            let Some(group) = group.filter(|group| group.closed) else {
                self.fences.remove(name);
                continue;
            };
            let known = self.fences.get(name).filter(|signal| signal.term == group.term).copied();
            let mut signal = known.unwrap_or(FenceSignal {
                term: group.term,
                closed_version: group.closed_version,
                closed_seen: now,
                fenced: None,
                candidate_term: group.candidate_term,
                candidate_seen: now,
            });
            if signal.closed_version != group.closed_version {
                signal.closed_version = group.closed_version;
                signal.closed_seen = now;
            }
            if signal.candidate_term != group.candidate_term {
                signal.candidate_term = group.candidate_term;
                signal.candidate_seen = now;
            }
            self.fences.insert(name.clone(), signal);
        }
        let mut fenced = Vec::new();
        for (name, signal) in &self.fences {
            let Some(group) = state.databases().get(name) else { continue };
            if signal.fenced.is_none() && self.is_fenced(state, name, group, now) {
                fenced.push(name.clone());
            }
        }
        for name in fenced {
            self.agenda.mark(&name, now);
            if let Some(signal) = self.fences.get_mut(&name) {
                signal.fenced = Some(now);
            }
        }
    }

    /// Returns when the leader saw that the closed term of a group was fenced.
    #[must_use]
    pub fn fenced_at(&self, database: &str) -> Option<Micros> {
        self.fences.get(database)?.fenced
    }

    /// Returns when the leader saw first that a group's term was closed, as planned or not.
    #[must_use]
    pub fn closed_seen(&self, database: &str) -> Option<Micros> {
        self.fences.get(database).map(|signal| signal.closed_seen)
    }

    /// Returns when the leader saw the present candidate first.
    #[must_use]
    pub fn candidate_seen(&self, database: &str) -> Option<Micros> {
        self.fences.get(database).map(|signal| signal.candidate_seen)
    }

    /// Returns the latest announcement of a target and when it was received.
    #[must_use]
    pub fn announcement(&self, key: &TargetKey) -> Option<(Micros, TargetAnnouncement)> {
        self.targets.get(key).map(|signal| (signal.heard, signal.announcement))
    }

    /// Returns when the leader heard a target first.
    #[must_use]
    pub fn first_heard(&self, key: &TargetKey) -> Option<Micros> {
        self.targets.get(key).map(|signal| signal.first_heard)
    }

    /// Returns what was last heard of an entry process.
    #[must_use]
    pub fn entry(&self, entry: &BrokerRef, now: Micros) -> Option<EntryObservation> {
        let signal = self.entries.get(entry)?;
        Some(EntryObservation {
            heartbeat_age: now.since(signal.heard),
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
    pub const fn lead_since(&self) -> Micros {
        self.lead_since
    }

    /// Returns whether the lease of an entry process has run out for certain.
    #[must_use]
    pub fn lease_expired(&self, entry: &BrokerRef, now: Micros) -> bool {
        // Renewals by earlier leaders are not known here.
        let inherited = grantor_expiry(self.lead_since, NODE_LEASE);
        let granted = self.entries.get(entry).map_or(Micros::ZERO, |signal| signal.lease_expiry);
        now >= inherited.max(granted)
    }

    /// Returns whether an entry process holds a lease that this leader granted.
    #[must_use]
    pub fn holds_lease(&self, entry: &BrokerRef, now: Micros) -> bool {
        self.entries.get(entry).is_some_and(|signal| now < signal.lease_expiry)
    }

    /// Returns whether a process can neither act under a lease nor get a new one.
    #[must_use]
    pub fn is_gone(&self, state: &ClusterState, entry: &BrokerRef, now: Micros) -> bool {
        let recorded = state
            .entries()
            .get(&entry.host)
            .is_some_and(|record| record.live && record.info.incarnation == entry.incarnation);
        !recorded && self.lease_expired(entry, now)
    }
}
