//! Incremental updates for followers of the directory.

use {
    super::{
        routes::{GroupRule, RouteLimits, RouteRule},
        state::{DirectoryItem, DirectorySet, DirectoryState, ProcessHost},
        targets::TargetReport,
        teams::TeamRule,
    },
    crate::{change::ChangeSet, names::SharedName},
};

/// Primary of a group as sent to followers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupView {
    /// Group.
    pub group: SharedName,
    /// Target that last became primary.
    pub primary: Option<SharedName>,
    /// Whether a promotion is in progress.
    pub changing: bool,
}

/// Changes of the directory since a version, or its whole content.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryUpdate {
    /// Whether the update replaces all of the follower's state.
    pub reset: bool,
    /// Version of the directory after the update.
    pub version: u64,
    /// Version of the routes.
    pub book_version: u64,
    /// Limits of the routes.
    pub limits: RouteLimits,
    /// Routes that are new or changed.
    pub routes: Vec<RouteRule>,
    /// Databases whose route was removed.
    pub removed_routes: Vec<SharedName>,
    /// Rules of groups that are new or changed.
    pub rules: Vec<GroupRule>,
    /// Groups whose rule was removed.
    pub removed_rules: Vec<SharedName>,
    /// Teams that are new or changed.
    pub teams: Vec<TeamRule>,
    /// Teams that were removed.
    pub removed_teams: Vec<SharedName>,
    /// Targets that are new or changed.
    pub targets: Vec<TargetReport>,
    /// Targets that were removed.
    pub removed_targets: Vec<SharedName>,
    /// Groups whose primary is new or changed.
    pub groups: Vec<GroupView>,
    /// Entries that are new or changed.
    pub entries: Vec<ProcessHost>,
    /// Entries that were removed.
    pub removed_entries: Vec<SharedName>,
    /// Control replicas that are new or changed.
    pub controls: Vec<ProcessHost>,
    /// Control replicas that were removed.
    pub removed_controls: Vec<SharedName>,
}

impl DirectoryState {
    /// Returns the changes that a follower at version `since` has not received; `None` if this replica has none.
    #[must_use]
    pub fn update_since(&self, since: u64) -> Option<DirectoryUpdate> {
        let mut update = DirectoryUpdate {
            version: self.version(),
            book_version: self.routes().version,
            limits: self.routes().limits,
            ..DirectoryUpdate::default()
        };
        match self.changes_since(since) {
            DirectorySet::Unchanged | DirectorySet::Ahead => return None,
            ChangeSet::Reset => self.add_all(&mut update),
            ChangeSet::Items(items) => {
                for item in items {
                    self.add_item(item, &mut update);
                }
            }
        }
        Some(update)
    }

    fn add_all(&self, update: &mut DirectoryUpdate) {
        update.reset = true;
        update.routes = self.routes().routes.values().cloned().collect();
        update.rules = self.routes().groups.values().cloned().collect();
        update.teams = self.routes().teams.values().cloned().collect();
        update.targets = self.usable_targets().cloned().collect();
        update.entries = self.entries().values().cloned().collect();
        update.controls = self.controls().values().cloned().collect();
        for group in self.groups().keys() {
            update.groups.push(self.group_view(group));
        }
    }

    fn add_item(&self, item: DirectoryItem, update: &mut DirectoryUpdate) {
        match item {
            DirectoryItem::RouteSettings => {}
            DirectoryItem::Route(name) => match self.routes().routes.get(&name) {
                Some(rule) => update.routes.push(rule.clone()),
                None => update.removed_routes.push(name),
            },
            DirectoryItem::Rule(name) => match self.routes().groups.get(&name) {
                Some(rule) => update.rules.push(rule.clone()),
                None => update.removed_rules.push(name),
            },
            DirectoryItem::Team(name) => match self.routes().teams.get(&name) {
                Some(rule) => update.teams.push(rule.clone()),
                None => update.removed_teams.push(name),
            },
            DirectoryItem::Target(name) => match self.targets().get(&name) {
                Some(report) if report.check_content().is_ok() => {
                    update.targets.push(report.clone());
                }
                _ => update.removed_targets.push(name),
            },
            DirectoryItem::Group(name) => update.groups.push(self.group_view(&name)),
            DirectoryItem::Entry(name) => match self.entries().get(&name) {
                Some(entry) => update.entries.push(entry.clone()),
                None => update.removed_entries.push(name),
            },
            DirectoryItem::Control(name) => match self.controls().get(&name) {
                Some(control) => update.controls.push(control.clone()),
                None => update.removed_controls.push(name),
            },
        }
    }

    fn group_view(&self, group: &SharedName) -> GroupView {
        let record = self.groups().get(group).cloned().unwrap_or_default();
        GroupView {
            group: group.clone(),
            primary: record.primary,
            changing: record.promotion.is_some(),
        }
    }
}
