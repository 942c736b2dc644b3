//! Entries after the compacted part of the log.

use {
    super::types::{EntryPayload, LogEntry, MemberSet},
    std::collections::VecDeque,
};

/// Entries in memory, with the members that each prefix of the log puts in force.
#[derive(Clone, Debug, Default)]
pub struct EntryLog {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<LogEntry>,
    /// Members by the index that put them in force; the first is at or below the base.
    members: Vec<(u64, MemberSet)>,
}

impl EntryLog {
    /// Creates a log that starts after an index.
    #[must_use]
    pub fn new(base_index: u64, base_term: u64, members: MemberSet) -> Self {
        let members = vec![(base_index, members)];
        Self { base_index, base_term, entries: VecDeque::new(), members }
    }

    /// Returns the index before the first entry.
    #[must_use]
    pub const fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Returns the index of the last entry.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    #[must_use]
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term at an index, or `None` if it is compacted or beyond the end.
    #[must_use]
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at an index.
    #[must_use]
    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `from` on, at most `count` of them and, after the first, `bytes` bytes.
    #[must_use]
    pub fn slice(&self, from: u64, count: usize, bytes: usize) -> Vec<LogEntry> {
        let mut entries = Vec::new();
        let mut size = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            size += entry.payload.size();
            if entries.len() == count || (size > bytes && !entries.is_empty()) {
                break;
            }
            entries.push(entry.clone());
            index += 1;
        }
        entries
    }

    /// Returns the first index of the run of entries that has the same term as `index`.
    #[must_use]
    pub fn first_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Appends an entry, whose index must follow the last.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let EntryPayload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries from an index on.
    pub fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base_index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        while self.members.len() > 1 && self.members.last().is_some_and(|last| last.0 >= from) {
            self.members.pop();
        }
    }

    /// Drops the entries up to an index that is in the log.
    pub fn compact(&mut self, through: u64) {
        let Some(term) = self.term_at(through) else { return };
        let count = usize::try_from(through - self.base_index).unwrap_or(usize::MAX);
        self.entries.drain(..count);
        self.base_index = through;
        self.base_term = term;
        while self.members.len() > 1 && self.members[1].0 <= through {
            self.members.remove(0);
        }
    }

    /// Returns the members in force after the last entry.
    #[must_use]
    pub fn members(&self) -> &MemberSet {
        &self.members[self.members.len() - 1].1
    }

    /// Returns the index that put the current members in force.
    #[must_use]
    pub fn members_index(&self) -> u64 {
        self.members[self.members.len() - 1].0
    }

    /// Returns the members in force at an index that is not below the base.
    #[must_use]
    pub fn members_at(&self, index: u64) -> &MemberSet {
        let mut found = &self.members[0].1;
        for (from, members) in &self.members {
            if *from <= index {
                found = members;
            }
        }
        found
    }
}
