//! The directory as a replicated state machine.

use {
    super::{
        command::{DirectoryCommand, DirectoryRejection, DirectoryReply},
        routes::{RouteBook, RouteDraft},
        targets::{DepartedTarget, TargetReport},
    },
    crate::{
        change::{ChangeList, ChangeSet},
        compression::{compress, decompress},
        names::SharedName,
        route::TargetRole,
        state_machine::{SnapshotError, StateMachine},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// Departed targets that are remembered; delayed reports are seconds late, not hours.
const DEPARTED_KEPT: usize = 1_024;

/// One process of the system.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessHost {
    /// Host name.
    pub host: SharedName,
    /// IP address and port at which other processes reach it.
    pub address: SharedName,
    /// Availability zone.
    pub zone: SharedName,
}

/// What a process does in the system.
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

/// Change of primary that has begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionRecord {
    /// Log index of its beginning; higher than that of every earlier promotion.
    pub fence: u64,
    /// Host that orders it.
    pub holder: SharedName,
    /// Target that was chosen; from then on the order may have been given.
    pub candidate: Option<SharedName>,
}

/// Primary of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Target that last became primary, by its own account or by a promotion.
    pub primary: Option<SharedName>,
    /// Change of primary under way.
    pub promotion: Option<PromotionRecord>,
}

/// What a change of the directory affects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DirectoryItem {
    /// Version and limits of the routes.
    Book,
    /// The route of a database.
    Route(SharedName),
    /// The rule of a group.
    Rule(SharedName),
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

/// The part of the directory that snapshots hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct DirectoryData {
    version: u64,
    book: RouteBook,
    targets: BTreeMap<SharedName, TargetReport>,
    departed: VecDeque<DepartedTarget>,
    groups: BTreeMap<SharedName, GroupRecord>,
    entries: BTreeMap<SharedName, ProcessHost>,
    controls: BTreeMap<SharedName, ProcessHost>,
}

/// The replicated directory.
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

    /// Returns the routes in force.
    #[must_use]
    pub const fn book(&self) -> &RouteBook {
        &self.data.book
    }

    /// Returns the targets by name.
    #[must_use]
    pub const fn targets(&self) -> &BTreeMap<SharedName, TargetReport> {
        &self.data.targets
    }

    /// Returns the groups that have or had a primary.
    #[must_use]
    pub const fn groups(&self) -> &BTreeMap<SharedName, GroupRecord> {
        &self.data.groups
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
    pub fn is_news(&self, report: &TargetReport) -> bool {
        match self.data.targets.get(&report.target) {
            Some(known) => known.order < report.order && known.differs(report),
            None => !self.has_departed(report),
        }
    }

    fn has_departed(&self, report: &TargetReport) -> bool {
        self.data.departed.iter().any(|departed| {
            departed.target == report.target && report.order.incarnation <= departed.incarnation
        })
    }

    fn touch(&mut self, index: u64, item: DirectoryItem) {
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
                self.touch(index, DirectoryItem::Group(group));
                Ok(true)
            }
            DirectoryCommand::EndPromotion { group, fence, primary } => {
                self.promotion(&group, fence)?;
                let record = self.data.groups.entry(group.clone()).or_default();
                record.promotion = None;
                if primary.is_some() {
                    record.primary = primary;
                }
                self.touch(index, DirectoryItem::Group(group));
                Ok(true)
            }
        }
    }

    fn apply_routes(&mut self, index: u64, draft: RouteDraft, document: String) -> bool {
        if draft.version <= self.data.book.version {
            return false;
        }
        let book = RouteBook::new(draft, document);
        let before = std::mem::replace(&mut self.data.book, book);
        let routes = changed_keys(&before.routes, &self.data.book.routes);
        let rules = changed_keys(&before.groups, &self.data.book.groups);
        for database in routes {
            self.touch(index, DirectoryItem::Route(database));
        }
        for group in rules {
            self.touch(index, DirectoryItem::Rule(group));
        }
        self.touch(index, DirectoryItem::Book);
        true
    }

    fn record_target(&mut self, index: u64, report: TargetReport) -> bool {
        if !self.is_news(&report) {
            return false;
        }
        // A server at the address of another one has taken its place.
        let mut replaced = Vec::new();
        for (name, known) in &self.data.targets {
            if known.address == report.address
                && *name != report.target
                && known.order.incarnation <= report.order.incarnation
            {
                replaced.push(name.clone());
            }
        }
        for name in replaced {
            self.remove_target(index, &name);
        }
        let before = self.data.targets.insert(report.target.clone(), report.clone());
        self.touch(index, DirectoryItem::Target(report.target.clone()));
        let was_primary = before.is_some_and(|before| before.role == TargetRole::Primary);
        let record = self.data.groups.entry(report.group.clone()).or_default();
        if report.role == TargetRole::Primary
            && record.primary.as_ref() != Some(&report.target)
            && (!was_primary || record.primary.is_none())
        {
            record.primary = Some(report.target);
            self.touch(index, DirectoryItem::Group(report.group));
        }
        true
    }

    fn remove_target(&mut self, index: u64, target: &SharedName) -> bool {
        let Some(report) = self.data.targets.remove(target) else { return false };
        let incarnation = report.order.incarnation;
        self.data.departed.push_back(DepartedTarget { target: target.clone(), incarnation });
        while self.data.departed.len() > DEPARTED_KEPT {
            self.data.departed.pop_front();
        }
        self.touch(index, DirectoryItem::Target(target.clone()));
        if let Some(record) = self.data.groups.get_mut(&report.group)
            && record.primary.as_ref() == Some(target)
        {
            record.primary = None;
            self.touch(index, DirectoryItem::Group(report.group));
        }
        true
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
        self.touch(index, kind.item(host));
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
        self.touch(index, kind.item(host.clone()));
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
        self.touch(index, DirectoryItem::Group(group));
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
        record.promotion = Some(PromotionRecord { fence: index, holder, candidate: None });
        self.touch(index, DirectoryItem::Group(group));
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
        let snapshot = decompress(snapshot)
            .ok_or_else(|| SnapshotError("the bytes cannot be unpacked".to_owned()))?;
        let data: DirectoryData =
            serde_json::from_slice(&snapshot).map_err(|error| SnapshotError(error.to_string()))?;
        self.changes = ChangeList::starting_at(data.version);
        self.data = data;
        Ok(())
    }
}
