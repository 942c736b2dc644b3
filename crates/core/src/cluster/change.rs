//! Recent changes of the cluster state, for watchers.

use {
    crate::names::SharedName,
    std::collections::{BTreeSet, VecDeque},
};

/// Changes that are kept; a watcher that is further behind gets the whole state.
pub const CHANGES_KEPT: usize = 8_192;

/// What a change affects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangedItem {
    /// A database group.
    Database(SharedName),
    /// An entry.
    Entry(SharedName),
    /// The sheet in force.
    Sheet,
}

/// Items that changed since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeSet {
    /// Nothing.
    Unchanged,
    /// Only these items.
    Items(BTreeSet<ChangedItem>),
    /// The version is too old; everything must be sent.
    Reset,
    /// The version is newer than this replica's state, which must catch up first.
    Ahead,
}

/// Bounded list of changes in ascending order of versions.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeList {
    /// Changes up to and including this version are not listed.
    floor: u64,
    changes: VecDeque<(u64, ChangedItem)>,
}

impl ChangeList {
    pub(super) const fn starting_at(floor: u64) -> Self {
        Self { floor, changes: VecDeque::new() }
    }

    pub(super) fn push(&mut self, version: u64, item: ChangedItem) {
        self.changes.push_back((version, item));
        while self.changes.len() > CHANGES_KEPT {
            let Some((dropped, _)) = self.changes.pop_front() else { break };
            self.floor = self.floor.max(dropped);
        }
    }

    pub(super) fn since(&self, since: u64, current: u64) -> ChangeSet {
        if since > current {
            return ChangeSet::Ahead;
        }
        if since == current && since > 0 {
            return ChangeSet::Unchanged;
        }
        if since < self.floor || since == 0 {
            return ChangeSet::Reset;
        }
        let start = self.changes.partition_point(|(version, _)| *version <= since);
        let mut items = BTreeSet::new();
        for (_, item) in self.changes.range(start..) {
            items.insert(item.clone());
        }
        ChangeSet::Items(items)
    }
}
