//! The directory as a replicated state machine.

use {
    super::{
        command::{DirectoryCommand, DirectoryRejection, DirectoryReply},
        holders::{DepartedHolder, DepartedHolders},
        routes::{ActiveRoutes, RouteDraft},
        targets::{DepartedTarget, ReportFault, TargetReport},
    },
    crate::{
        change::{ChangeList, ChangeSet},
        compression::{MAX_SNAPSHOT_BYTES, compress, decompress},
        hidden::Hidden,
        names::SharedName,
        route::TargetRole,
        state_machine::{SnapshotError, StateMachine},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// Maximum number of departed targets that are kept to reject late reports; reports are delayed by seconds, not
/// hours.
const MAX_DEPARTED: usize = 1_024;

/// Maximum number of targets of groups without a rule: servers of a service that is about to be configured, or was.
const MAX_UNKNOWN_TARGETS: usize = 1_024;

/// Host, address and zone of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessHost {
    /// Host name.
    pub host: SharedName,
    /// IP address and port at which other processes reach it.
    pub address: SharedName,
    /// Availability zone.
    pub zone: SharedName,
}

/// Kind of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessKind {
    /// Serves callers.
    Entry,
    /// Holds a replica of the directory.
    Control,
}

impl ProcessKind {
    const fn item(self, host: SharedName) -> DirectoryItem {
        match self {
            Self::Entry => DirectoryItem::Entry(host),
            Self::Control => DirectoryItem::Control(host),
        }
    }
}

/// What may have been ordered before a promotion began, by the unfinished ones that it replaces.
///
/// The platform may carry an order out seconds after its leader is lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EarlierOrder {
    /// Anything: an earlier version wrote the record.
    #[default]
    Unknown,
    /// Nothing.
    Nothing,
    /// The promotion of this target.
    Target(SharedName),
}

/// Promotion in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionRecord {
    /// Fencing number: the log index of the command that began the promotion, higher than that of every earlier
    /// promotion.
    pub fence: u64,
    /// Host of the control replica that carries out the promotion.
    pub holder: SharedName,
    /// Chosen target; once it is set, the promotion may have been ordered.
    pub candidate: Option<SharedName>,
    /// What may have been ordered by the promotions that this one replaces, directly or through others.
    #[serde(default)]
    pub earlier: EarlierOrder,
}

impl PromotionRecord {
    /// Returns the last order that this promotion, or one that it replaces, may have given.
    #[must_use]
    pub fn last_order(&self) -> EarlierOrder {
        match &self.candidate {
            Some(candidate) => EarlierOrder::Target(candidate.clone()),
            None => self.earlier.clone(),
        }
    }
}

/// Primary of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Target that last became primary, by its own report or by a promotion.
    pub primary: Option<SharedName>,
    /// Promotion in progress.
    pub promotion: Option<PromotionRecord>,
}

/// Part of the directory that a change affects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DirectoryItem {
    /// Version and limits of the routes.
    RouteSettings,
    /// The route of a database.
    Route(SharedName),
    /// The rule of a group.
    Rule(SharedName),
    /// A team.
    Team(SharedName),
    /// A target.
    Target(SharedName),
    /// A group's primary.
    Group(SharedName),
    /// An entry.
    Entry(SharedName),
    /// A control replica.
    Control(SharedName),
}

/// Items of the directory that changed since a version.
pub type DirectorySet = ChangeSet<DirectoryItem>;

/// The part of the directory that is stored in snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct DirectoryData {
    version: u64,
    book: ActiveRoutes,
    targets: BTreeMap<SharedName, TargetReport>,
    departed: VecDeque<DepartedTarget>,
    groups: BTreeMap<SharedName, GroupRecord>,
    entries: BTreeMap<SharedName, ProcessHost>,
    controls: BTreeMap<SharedName, ProcessHost>,
    /// Of the groups whose commits wait for replicas; absent in a snapshot of an earlier version.
    #[serde(default = "DepartedHolders::unrecorded")]
    holders: DepartedHolders,
}

/// State machine of the replicated directory.
#[derive(Clone, Debug, Default)]
pub struct DirectoryState {
    data: DirectoryData,
    changes: ChangeList<DirectoryItem>,
}

impl DirectoryState {
    /// Returns the log index of the last command that changed the directory.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.data.version
    }

    /// Returns the active routes.
    #[must_use]
    pub const fn routes(&self) -> &ActiveRoutes {
        &self.data.book
    }

    /// Returns the targets by name.
    #[must_use]
    pub const fn targets(&self) -> &BTreeMap<SharedName, TargetReport> {
        &self.data.targets
    }

    /// Returns the targets whose reports may be sent to followers and used; earlier versions recorded any report.
    pub fn usable_targets(&self) -> impl Iterator<Item = &TargetReport> {
        self.data.targets.values().filter(|report| report.check_content().is_ok())
    }

    /// Returns the report as it is to be proposed, or `None` if recording it would not change the directory.
    ///
    /// # Errors
    ///
    /// Returns why the report must not be recorded.
    pub fn admit(&self, report: TargetReport) -> Result<Option<TargetReport>, ReportFault> {
        report.check()?;
        if !self.is_known(&report.group) {
            // Another writer must not take a target of a group that is served away from it, nor its address.
            let is_served = |recorded: &TargetReport| self.is_known(&recorded.group);
            let at_address =
                |recorded: &TargetReport| recorded.address == report.address && is_served(recorded);
            let moves = self.data.targets.get(&report.target).is_some_and(is_served);
            if moves || self.data.targets.values().any(at_address) {
                return Err(ReportFault::UnknownGroup);
            }
        }
        let report = match self.data.targets.get(&report.target) {
            // What was recorded for another group came from another writer.
            Some(recorded) if self.is_known(&report.group) && !self.is_known(&recorded.group) => {
                report.replacing(recorded.order)
            }
            Some(recorded) => report.following(recorded.order),
            None => {
                self.check_unknown(&report)?;
                report
            }
        };
        Ok(self.would_change(&report).then_some(report))
    }

    /// Returns whether the routes name a group, or there are none yet.
    fn is_known(&self, group: &SharedName) -> bool {
        self.data.book.version == 0 || self.data.book.groups.contains_key(group)
    }

    /// Bounds the targets that belong to no group of the routes.
    fn check_unknown(&self, report: &TargetReport) -> Result<(), ReportFault> {
        if self.is_known(&report.group) {
            return Ok(());
        }
        let groups = &self.data.book.groups;
        let unknown = self.data.targets.values().filter(|known| !groups.contains_key(&known.group));
        if unknown.count() < MAX_UNKNOWN_TARGETS {
            Ok(())
        } else {
            Err(ReportFault::TooManyUnknown)
        }
    }

    /// Returns the groups that have or had a primary.
    #[must_use]
    pub const fn groups(&self) -> &BTreeMap<SharedName, GroupRecord> {
        &self.data.groups
    }

    /// Returns the departed holders that a promotion counts as replicas which do not respond.
    #[must_use]
    pub const fn holders(&self) -> &DepartedHolders {
        &self.data.holders
    }

    /// Returns the entries by host.
    #[must_use]
    pub const fn entries(&self) -> &BTreeMap<SharedName, ProcessHost> {
        &self.data.entries
    }

    /// Returns the control replicas by host.
    #[must_use]
    pub const fn controls(&self) -> &BTreeMap<SharedName, ProcessHost> {
        &self.data.controls
    }

    /// Returns what changed after `since`.
    #[must_use]
    pub fn changes_since(&self, since: u64) -> DirectorySet {
        self.changes.since(since, self.data.version)
    }

    /// Returns whether recording a report would change the directory.
    #[must_use]
    pub fn would_change(&self, report: &TargetReport) -> bool {
        match self.data.targets.get(&report.target) {
            Some(recorded) => recorded.order < report.order && recorded.differs(report),
            None => !self.has_departed(report),
        }
    }

    fn has_departed(&self, report: &TargetReport) -> bool {
        self.data.departed.iter().any(|departed| {
            departed.target == report.target && report.order.incarnation <= departed.incarnation
        })
    }

    fn record_change(&mut self, index: u64, item: DirectoryItem) {
        self.data.version = index;
        self.changes.push(index, item);
    }

    fn apply_command(
        &mut self,
        index: u64,
        command: DirectoryCommand,
    ) -> Result<bool, DirectoryRejection> {
        match command {
            DirectoryCommand::ApplyRoutes { draft, document } => {
                Ok(self.apply_routes(index, draft, document))
            }
            DirectoryCommand::RecordTarget { report } => Ok(self.record_target(index, report)),
            DirectoryCommand::RemoveTarget { target } => Ok(self.remove_target(index, &target)),
            DirectoryCommand::RemoveEnded { target, incarnation } => {
                Ok(self.remove_ended(index, target, incarnation))
            }
            DirectoryCommand::ConfirmHolders { group, until } => {
                Ok(self.data.holders.confirm(&group, until))
            }
            DirectoryCommand::RecordProcess { kind, process } => {
                Ok(self.record_process(index, kind, process))
            }
            DirectoryCommand::RemoveProcess { kind, host, address } => {
                Ok(self.remove_process(index, kind, &host, &address))
            }
            DirectoryCommand::AdoptPrimary { group, expected, primary } => {
                Ok(self.adopt_primary(index, group, &expected, primary))
            }
            DirectoryCommand::BeginPromotion { group, holder, replaces } => {
                self.begin_promotion(index, group, holder, replaces)
            }
            DirectoryCommand::ChooseCandidate { group, fence, candidate } => {
                let promotion = self.promotion(&group, fence)?;
                promotion.candidate = Some(candidate);
                self.record_change(index, DirectoryItem::Group(group));
                Ok(true)
            }
            DirectoryCommand::EndPromotion { group, fence, primary } => {
                self.promotion(&group, fence)?;
                let record = self.data.groups.entry(group.clone()).or_default();
                record.promotion = None;
                if primary.is_some() {
                    record.primary = primary;
                }
                self.record_change(index, DirectoryItem::Group(group));
                Ok(true)
            }
        }
    }

    fn apply_routes(&mut self, index: u64, draft: RouteDraft, document: Hidden<String>) -> bool {
        if draft.version <= self.data.book.version {
            return false;
        }
        let active = ActiveRoutes::new(draft, document);
        let before = std::mem::replace(&mut self.data.book, active);
        let waits = |group: &SharedName| waits_for_replicas(&self.data.book, group);
        self.data.holders.retain_groups(waits);
        let routes = changed_keys(&before.routes, &self.data.book.routes);
        let rules = changed_keys(&before.groups, &self.data.book.groups);
        for database in routes {
            self.record_change(index, DirectoryItem::Route(database));
        }
        let teams = changed_keys(&before.teams, &self.data.book.teams);
        for group in rules {
            self.record_change(index, DirectoryItem::Rule(group));
        }
        for team in teams {
            self.record_change(index, DirectoryItem::Team(team));
        }
        self.record_change(index, DirectoryItem::RouteSettings);
        true
    }

    fn record_target(&mut self, index: u64, report: TargetReport) -> bool {
        if !self.would_change(&report) {
            return false;
        }
        // A server that reports the address of another one has replaced it.
        let mut replaced = Vec::new();
        for (name, recorded) in &self.data.targets {
            if recorded.address == report.address
                && *name != report.target
                && recorded.order.incarnation <= report.order.incarnation
            {
                replaced.push(name.clone());
            }
        }
        for name in replaced {
            self.remove_target(index, &name);
        }
        // The successor is asked in place of the target whose log it has.
        self.data.holders.hand_over(&report);
        let before = self.data.targets.insert(report.target.clone(), report.clone());
        if let Some(before) = &before
            && before.order.incarnation < report.order.incarnation
            && before.role != TargetRole::Primary
        {
            // A replica starts again without its log.
            self.record_holder(index, before);
        }
        self.record_change(index, DirectoryItem::Target(report.target.clone()));
        let was_primary = before.is_some_and(|before| before.role == TargetRole::Primary);
        let record = self.data.groups.entry(report.group.clone()).or_default();
        if report.role == TargetRole::Primary
            && record.primary.as_ref() != Some(&report.target)
            && (!was_primary || record.primary.is_none())
        {
            record.primary = Some(report.target);
            self.record_change(index, DirectoryItem::Group(report.group));
        }
        true
    }

    fn remove_target(&mut self, index: u64, target: &SharedName) -> bool {
        let Some(report) = self.data.targets.remove(target) else { return false };
        let incarnation = report.order.incarnation;
        self.data.departed.push_back(DepartedTarget { target: target.clone(), incarnation });
        self.record_holder(index, &report);
        while self.data.departed.len() > MAX_DEPARTED {
            self.data.departed.pop_front();
        }
        self.record_change(index, DirectoryItem::Target(target.clone()));
        if let Some(record) = self.data.groups.get_mut(&report.group)
            && record.primary.as_ref() == Some(target)
        {
            record.primary = None;
            self.record_change(index, DirectoryItem::Group(report.group));
        }
        true
    }

    /// Removes a replica that is recorded again as soon as it reports itself, also under the same start time.
    fn remove_ended(&mut self, index: u64, target: SharedName, incarnation: u64) -> bool {
        let Some(report) = self.data.targets.get(&target) else { return false };
        let record = self.data.groups.get(&report.group);
        let is_primary = record.is_some_and(|record| record.primary.as_ref() == Some(&target));
        if is_primary || report.order.incarnation != incarnation {
            return false;
        }
        self.data.targets.remove(&target);
        self.record_change(index, DirectoryItem::Target(target));
        true
    }

    /// Records that the process of a replica has ended, if commits of its group wait for replicas; a primary keeps its log.
    fn record_holder(&mut self, index: u64, report: &TargetReport) {
        let record = self.data.groups.get(&report.group);
        let is_primary =
            record.is_some_and(|record| record.primary.as_ref() == Some(&report.target));
        // Others have each commit that a primary acknowledged.
        if !is_primary && waits_for_replicas(&self.data.book, &report.group) {
            self.data.holders.push(&report.group, DepartedHolder::of(report, index));
        }
    }

    const fn processes(&mut self, kind: ProcessKind) -> &mut BTreeMap<SharedName, ProcessHost> {
        match kind {
            ProcessKind::Entry => &mut self.data.entries,
            ProcessKind::Control => &mut self.data.controls,
        }
    }

    fn record_process(&mut self, index: u64, kind: ProcessKind, process: ProcessHost) -> bool {
        let processes = self.processes(kind);
        if processes.get(&process.host) == Some(&process) {
            return false;
        }
        let host = process.host.clone();
        processes.insert(host.clone(), process);
        self.record_change(index, kind.item(host));
        true
    }

    fn remove_process(
        &mut self,
        index: u64,
        kind: ProcessKind,
        host: &SharedName,
        address: &SharedName,
    ) -> bool {
        let processes = self.processes(kind);
        if processes.get(host).is_none_or(|process| process.address != *address) {
            return false;
        }
        processes.remove(host);
        self.record_change(index, kind.item(host.clone()));
        true
    }

    fn adopt_primary(
        &mut self,
        index: u64,
        group: SharedName,
        expected: &Option<SharedName>,
        primary: SharedName,
    ) -> bool {
        let record = self.data.groups.entry(group.clone()).or_default();
        if record.primary != *expected || record.promotion.is_some() {
            return false;
        }
        record.primary = Some(primary);
        self.record_change(index, DirectoryItem::Group(group));
        true
    }

    fn begin_promotion(
        &mut self,
        index: u64,
        group: SharedName,
        holder: SharedName,
        replaces: u64,
    ) -> Result<bool, DirectoryRejection> {
        let record = self.data.groups.entry(group.clone()).or_default();
        let pending = record.promotion.as_ref().map_or(0, |promotion| promotion.fence);
        if pending != replaces {
            return Err(DirectoryRejection::PromotionPending { fence: pending });
        }
        let pending = record.promotion.take();
        let earlier = pending.map_or(EarlierOrder::Nothing, |pending| pending.last_order());
        record.promotion = Some(PromotionRecord { fence: index, holder, candidate: None, earlier });
        self.record_change(index, DirectoryItem::Group(group));
        Ok(true)
    }

    fn promotion(
        &mut self,
        group: &SharedName,
        fence: u64,
    ) -> Result<&mut PromotionRecord, DirectoryRejection> {
        let record = self.data.groups.get_mut(group);
        let promotion = record.and_then(|record| record.promotion.as_mut());
        promotion
            .filter(|promotion| promotion.fence == fence)
            .ok_or(DirectoryRejection::PromotionOver { fence })
    }
}

/// Returns whether a commit of the group waits for replicas.
fn waits_for_replicas(routes: &ActiveRoutes, group: &SharedName) -> bool {
    routes.groups.get(group).is_some_and(|rule| rule.sync_replicas > 0)
}

/// Returns the keys whose values differ between two maps.
fn changed_keys<V>(
    before: &BTreeMap<SharedName, V>,
    after: &BTreeMap<SharedName, V>,
) -> Vec<SharedName>
where
    V: PartialEq,
{
    let mut keys = Vec::new();
    for (key, value) in after {
        if before.get(key) != Some(value) {
            keys.push(key.clone());
        }
    }
    for key in before.keys() {
        if !after.contains_key(key) {
            keys.push(key.clone());
        }
    }
    keys
}

impl StateMachine for DirectoryState {
    type Response = DirectoryReply;

    fn apply(&mut self, index: u64, command: &[u8]) -> DirectoryReply {
        let result = DirectoryCommand::decode(command)
            .and_then(|command| self.apply_command(index, command));
        match result {
            Ok(changed) => DirectoryReply::Done { index, changed },
            Err(rejection) => DirectoryReply::Rejected(rejection),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        compress(&serde_json::to_vec(&self.data).unwrap_or_default())
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError> {
        let snapshot = decompress(snapshot, MAX_SNAPSHOT_BYTES)
            .ok_or_else(|| SnapshotError("the bytes cannot be unpacked".to_owned()))?;
        let mut data: DirectoryData =
            serde_json::from_slice(&snapshot).map_err(|error| SnapshotError(error.to_string()))?;
        let DirectoryData { version, book, holders, .. } = &mut data;
        let waiting = book.groups.keys().filter(|group| waits_for_replicas(book, group));
        holders.complete(waiting.cloned(), *version);
        self.changes = ChangeList::starting_at(data.version);
        self.data = data;
        Ok(())
    }
}
