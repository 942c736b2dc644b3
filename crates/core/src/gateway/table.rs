//! Routes, targets and primaries as an entry receives them from the directory.

use {
    crate::{
        collections::FastMap,
        directory::{
            DirectoryUpdate, GroupRule, GroupView, KeyDigest, ProcessHost, RouteLimits, RouteRule,
            TargetReport, TargetState, TeamRule,
        },
        names::SharedName,
        route::TargetRole,
        time::Micros,
    },
    std::sync::Arc,
};

/// One group with its targets.
#[derive(Clone, Debug, Default)]
pub struct GroupRoute {
    /// Rule of the group; a group without one serves no route.
    pub rule: Option<GroupRule>,
    /// Targets, sorted by name.
    pub targets: Vec<Arc<TargetReport>>,
    /// Target that last became primary.
    pub primary: Option<SharedName>,
    /// Whether a promotion is in progress.
    pub changing: bool,
    /// Shortest staleness limit of the routes to the group; zero if none of them has one.
    pub staleness: Micros,
}

impl GroupRoute {
    /// Returns the target of the given name.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&Arc<TargetReport>> {
        self.targets.iter().find(|report| *report.target == *name)
    }

    /// Returns the targets that may be the primary, the most likely one first.
    ///
    /// A target that reports itself as primary comes after the one that the directory names: its report
    /// may be older than the promotion of another target, and only one of them accepts writes.
    #[must_use]
    pub fn leaders(&self) -> Vec<&Arc<TargetReport>> {
        let mut leaders = Vec::new();
        if let Some(report) = self.primary.as_deref().and_then(|name| self.target(name)) {
            leaders.push(report);
        }
        for report in &self.targets {
            if report.role == TargetRole::Primary && self.primary.as_ref() != Some(&report.target) {
                leaders.push(report);
            }
        }
        leaders
    }

    /// Returns whether a commit that `target` reports may be passed on to its caller.
    ///
    /// Where commits wait for replicas, a promotion keeps only what the chosen replica has received. A primary that is
    /// being replaced goes on to confirm commits if a replica that control does not know yet receives them.
    #[must_use]
    pub fn may_acknowledge(&self, target: &SharedName) -> bool {
        let waits = self.rule.as_ref().is_some_and(|rule| rule.sync_replicas > 0);
        !waits || (!self.changing && self.primary.as_ref() == Some(target))
    }

    /// Returns the targets that accept reads.
    pub fn readable(&self) -> impl Iterator<Item = &Arc<TargetReport>> {
        self.targets.iter().filter(|report| report.state == TargetState::Ready)
    }
}

/// Routes, targets and primaries of one version of the directory.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// Version of the directory.
    pub version: u64,
    /// Version of the routes; 0 before the first.
    pub book_version: u64,
    /// Limits of the routes.
    pub limits: RouteLimits,
    /// Routes by database.
    pub routes: FastMap<SharedName, Arc<RouteRule>>,
    /// Teams by name; without any, callers need no key.
    pub teams: FastMap<SharedName, Arc<TeamRule>>,
    /// Teams by the digests of their keys.
    pub keys: FastMap<KeyDigest, SharedName>,
    /// Groups by name.
    pub groups: FastMap<SharedName, Arc<GroupRoute>>,
    /// Entries by host.
    pub entries: FastMap<SharedName, ProcessHost>,
    /// Control replicas by host.
    pub controls: FastMap<SharedName, ProcessHost>,
}

impl RoutingTable {
    /// Returns whether the operations of a team are limited.
    #[must_use]
    pub fn has_limit(&self, team: &SharedName) -> bool {
        self.teams.get(team).is_some_and(|rule| rule.limit.is_some())
    }

    /// Returns the table after an update, or `None` if the update is not newer.
    ///
    /// A control replica that is behind must not revert an entry to older routes.
    #[must_use]
    pub fn updated(&self, update: DirectoryUpdate) -> Option<Self> {
        if update.version <= self.version {
            return None;
        }
        let mut table = if update.reset { Self::default() } else { self.clone() };
        table.version = update.version;
        table.book_version = update.book_version;
        table.limits = update.limits;
        let routes_changed = !update.routes.is_empty() || !update.removed_routes.is_empty();
        for rule in update.routes {
            table.routes.insert(rule.database.clone(), Arc::new(rule));
        }
        for database in update.removed_routes {
            table.routes.remove(&database);
        }
        if routes_changed {
            table.set_staleness();
        }
        for rule in update.rules {
            let group = rule.group.clone();
            table.change_group(group, |route| route.rule = Some(rule));
        }
        for group in update.removed_rules {
            table.change_group(group, |route| route.rule = None);
        }
        table.change_teams(update.teams, &update.removed_teams);
        for name in update.removed_targets {
            table.remove_target(&name);
        }
        for report in update.targets {
            table.remove_target(&report.target);
            table.change_group(report.group.clone(), |route| {
                let index = route.targets.partition_point(|known| known.target < report.target);
                route.targets.insert(index, Arc::new(report));
            });
        }
        for GroupView { group, primary, changing } in update.groups {
            table.change_group(group, |route| {
                route.primary = primary;
                route.changing = changing;
            });
        }
        change_hosts(&mut table.entries, update.entries, &update.removed_entries);
        change_hosts(&mut table.controls, update.controls, &update.removed_controls);
        Some(table)
    }

    fn set_staleness(&mut self) {
        let mut shortest: FastMap<SharedName, Micros> = FastMap::default();
        for rule in self.routes.values() {
            let max_age = rule.reads.max_age();
            if max_age == Micros::ZERO {
                continue;
            }
            let staleness = shortest.entry(rule.group.clone()).or_insert(max_age);
            *staleness = max_age.min(*staleness);
        }
        for group in shortest.keys() {
            self.groups.entry(group.clone()).or_default();
        }
        for (group, route) in &mut self.groups {
            let staleness = shortest.get(group).copied().unwrap_or_default();
            if route.staleness != staleness {
                Arc::make_mut(route).staleness = staleness;
            }
        }
    }

    fn change_teams(&mut self, changed: Vec<TeamRule>, removed: &[SharedName]) {
        let names = changed.iter().map(|rule| &rule.team).chain(removed);
        for name in names {
            let Some(before) = self.teams.remove(name) else { continue };
            for key in &before.keys {
                // Another team may have the key by now.
                if self.keys.get(key) == Some(name) {
                    self.keys.remove(key);
                }
            }
        }
        for rule in changed {
            for key in &rule.keys {
                self.keys.insert(*key, rule.team.clone());
            }
            self.teams.insert(rule.team.clone(), Arc::new(rule));
        }
    }

    fn change_group<F>(&mut self, group: SharedName, change: F)
    where
        F: FnOnce(&mut GroupRoute),
    {
        change(Arc::make_mut(self.groups.entry(group).or_default()));
    }

    fn remove_target(&mut self, name: &SharedName) {
        for route in self.groups.values_mut() {
            if route.target(name).is_some() {
                Arc::make_mut(route).targets.retain(|report| report.target != *name);
            }
        }
    }
}

fn change_hosts(
    hosts: &mut FastMap<SharedName, ProcessHost>,
    added: Vec<ProcessHost>,
    removed: &[SharedName],
) {
    for host in removed {
        hosts.remove(host);
    }
    for process in added {
        hosts.insert(process.host.clone(), process);
    }
}
