//! In-memory log entries after the compacted part of the log.

use {
    super::types::{EntryPayload, LogEntry, MemberSet},
    std::collections::VecDeque,
};

/// Log entries in memory, with the members in effect at each index.
#[derive(Clone, Debug, Default)]
pub struct EntryLog {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<LogEntry>,
    /// Members with the index from which they are in effect; the first index is at or below the base.
    members: Vec<(u64, MemberSet)>,
}

impl EntryLog {
    /// Creates an empty log that starts after `base_index`, with the members in effect there.
    #[must_use]
    pub fn new(base_index: u64, base_term: u64, members: MemberSet) -> Self {
        let members = vec![(base_index, members)];
        Self { base_index, base_term, entries: VecDeque::new(), members }
    }

    /// Returns the index of the last compacted entry, before the first entry in memory.
    #[must_use]
    pub const fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Returns the index of the last entry, or the base index if there is none.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Returns the term of the last entry, or of the base index if there is none.
    #[must_use]
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of the entry at an index, or `None` if it is compacted or beyond the end.
    #[must_use]
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at an index, or `None` if it is compacted or beyond the end.
    #[must_use]
    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `from` on, limited to `count` entries and `bytes` bytes.
    ///
    /// The first entry is returned even if it alone exceeds `bytes`.
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

    /// Returns the first index in memory of the consecutive entries with the same term as `index`.
    #[must_use]
    pub fn first_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Appends an entry, whose index must be the last index plus one.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let EntryPayload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries from an index to the end of the log.
    pub fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base_index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        while self.members.len() > 1 && self.members.last().is_some_and(|last| last.0 >= from) {
            self.members.pop();
        }
    }

    /// Removes the entries up to and including an index; does nothing if the index is not in the log.
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

    /// Returns the members in effect after the last entry.
    #[must_use]
    pub fn members(&self) -> &MemberSet {
        &self.members[self.members.len() - 1].1
    }

    /// Returns the index from which the current members are in effect.
    #[must_use]
    pub fn members_index(&self) -> u64 {
        self.members[self.members.len() - 1].0
    }

    /// Returns the members in effect at an index, which must not be below the base.
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
