//! Bounded history of the recent changes of a replicated state, for watchers.

use std::collections::{BTreeSet, VecDeque};

/// Maximum number of changes that are kept; a watcher that is further behind receives the whole state.
pub const CHANGES_KEPT: usize = 8_192;

/// Items that changed since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeSet<I>
where
    I: Ord,
{
    /// Nothing changed.
    Unchanged,
    /// Only these items changed.
    Items(BTreeSet<I>),
    /// The version is too old; everything must be sent.
    Reset,
    /// The version is newer than this replica's state, which must catch up first.
    Ahead,
}

/// Bounded list of changes in ascending order of versions.
#[derive(Clone, Debug)]
pub struct ChangeList<I> {
    /// Latest version whose changes may be missing from the list.
    floor: u64,
    changes: VecDeque<(u64, I)>,
}

impl<I> Default for ChangeList<I> {
    fn default() -> Self {
        Self { floor: 0, changes: VecDeque::new() }
    }
}

impl<I> ChangeList<I>
where
    I: Clone + Ord,
{
    /// Creates an empty list that covers only the changes after version `floor`.
    #[must_use]
    pub const fn starting_at(floor: u64) -> Self {
        Self { floor, changes: VecDeque::new() }
    }

    /// Appends a change, and drops the oldest one above `CHANGES_KEPT`.
    pub fn push(&mut self, version: u64, item: I) {
        self.changes.push_back((version, item));
        while self.changes.len() > CHANGES_KEPT {
            let Some((dropped, _)) = self.changes.pop_front() else { break };
            self.floor = self.floor.max(dropped);
        }
    }

    /// Returns the items that changed after version `since`; `current` is the version of the state.
    #[must_use]
    pub fn since(&self, since: u64, current: u64) -> ChangeSet<I> {
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
