//! Role, term and log of one server of a database group.

use {
    crate::{
        error::SqlError,
        store::{DataChange, DataStore, OpenTransaction, StoreImage},
    },
    banyansill_core::position::LogPosition,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, net::SocketAddr, sync::Arc},
};

/// Smallest distance of the freshness marks that wait for their lag.
const MARK_SPACING_MS: u64 = 10;

/// Role of a server in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupRole {
    /// Takes writes.
    Primary,
    /// Applies the log of the primary at the address, if it has been told one.
    Replica(Option<SocketAddr>),
}

impl GroupRole {
    /// Returns the role's name in `group_status` and announcements.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::Replica(_) => "replica",
        }
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryBody {
    /// First entry of a term.
    TermStart {
        /// Incarnation of the server that was promoted; tells restarted servers apart.
        writer: u64,
    },
    /// Changes of one transaction.
    Commit(Vec<DataChange>),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position of the entry.
    pub position: LogPosition,
    /// Wall time of the commit in milliseconds.
    pub commit_ms: u64,
    /// Content.
    pub body: EntryBody,
}

/// Start of a term in a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermSpan {
    /// Position of the term's first entry.
    pub start: LogPosition,
    /// Incarnation of the server that wrote the term.
    pub writer: u64,
}

/// Terms of a log and its end, which together identify every entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogHistory {
    /// Terms in ascending order.
    pub spans: Vec<TermSpan>,
    /// Offset of the last entry.
    pub end: u64,
}

impl LogHistory {
    /// Returns the offset of the last entry that two logs have in common.
    pub fn common_end(&self, other: &Self) -> u64 {
        let mut common = 0;
        for (index, (left, right)) in self.spans.iter().zip(&other.spans).enumerate() {
            if left != right {
                break;
            }
            common = self.span_end(index).min(other.span_end(index));
            if self.span_end(index) != other.span_end(index) {
                break;
            }
        }
        common
    }

    fn span_end(&self, index: usize) -> u64 {
        self.spans.get(index + 1).map_or(self.end, |next| next.start.offset - 1)
    }
}

/// Whole state of a primary, for a replica whose log does not reach its kept entries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupImage {
    /// Position of the last entry that is part of the data.
    pub position: LogPosition,
    /// Commit time of that entry.
    pub commit_ms: u64,
    spans: Vec<TermSpan>,
    data: StoreImage,
}

/// State of one server that its sessions and its replication share.
#[derive(Debug)]
pub struct GroupState {
    /// Current role.
    pub role: GroupRole,
    /// Highest term the server has been told of.
    pub term: u64,
    /// Rises with every change of role, term or primary.
    pub epoch: u64,
    /// Delay between a commit and its visibility on this server as a replica.
    pub lag_ms: u64,
    /// Primary's wall time up to which all commits are visible here.
    pub replayed_at_ms: u64,
    /// Committed data up to the applied offset.
    pub data: DataStore,
    /// Whether the log cannot be cut to its common part with the primary's, so that the replica
    /// needs an image.
    pub needs_image: bool,
    incarnation: u64,
    kept: u64,
    base: LogPosition,
    log: VecDeque<Arc<LogEntry>>,
    spans: Vec<TermSpan>,
    applied: u64,
    marks: VecDeque<(u64, u64)>,
}

impl GroupState {
    /// Creates the state of a server that starts without data.
    ///
    /// About `kept` applied entries stay in the log.
    pub fn new(role: GroupRole, term: u64, lag_ms: u64, kept: u64, incarnation: u64) -> Self {
        let mut state = Self {
            role,
            term,
            epoch: 1,
            lag_ms,
            replayed_at_ms: 0,
            data: DataStore::default(),
            needs_image: false,
            incarnation,
            kept,
            base: LogPosition::ZERO,
            log: VecDeque::new(),
            spans: Vec::new(),
            applied: 0,
            marks: VecDeque::new(),
        };
        if role == GroupRole::Primary {
            state.append(EntryBody::TermStart { writer: incarnation }, incarnation);
        }
        state
    }

    /// Returns the position of the last applied entry.
    pub fn position(&self) -> LogPosition {
        self.position_at(self.applied)
    }

    /// Returns the position of the last entry received, which a promotion would keep.
    pub fn received(&self) -> LogPosition {
        self.position_at(self.log_end())
    }

    /// Returns the terms and the end of the log, including entries that are not applied yet.
    pub fn history(&self) -> LogHistory {
        LogHistory { spans: self.spans.clone(), end: self.log_end() }
    }

    /// Returns the offset of the last entry received.
    pub fn log_end(&self) -> u64 {
        self.base.offset + self.log.len() as u64
    }

    /// Returns entries after `offset` with about `limit` changes, or nothing if they are not kept
    /// any more.
    pub fn entries_after(&self, offset: u64, limit: usize) -> Option<Vec<Arc<LogEntry>>> {
        let start = usize::try_from(offset.checked_sub(self.base.offset)?).ok()?;
        let mut entries = Vec::new();
        let mut changes = 0;
        for entry in self.log.iter().skip(start) {
            if changes >= limit {
                break;
            }
            changes += match &entry.body {
                EntryBody::TermStart { .. } => 1,
                EntryBody::Commit(list) => list.len(),
            };
            entries.push(entry.clone());
        }
        Some(entries)
    }

    /// Returns the whole state.
    pub fn image(&self) -> GroupImage {
        let commit_ms = self.entry(self.applied).map_or(0, |entry| entry.commit_ms);
        GroupImage {
            position: self.position(),
            commit_ms,
            spans: self.spans.clone(),
            data: self.data.image(self.applied),
        }
    }

    /// Returns the wall time before which an image must not become visible here.
    pub const fn image_due(&self, image: &GroupImage) -> u64 {
        due_at(image.commit_ms, self.lag_ms)
    }

    /// Replaces log and data by an image.
    pub fn install(&mut self, image: GroupImage) {
        self.needs_image = false;
        self.log.clear();
        self.marks.clear();
        self.spans = image.spans;
        self.base = image.position;
        self.applied = image.position.offset;
        self.replayed_at_ms = image.commit_ms.saturating_sub(1);
        self.data.install(image.position.offset, image.data);
    }

    /// Opens a transaction at the last applied entry.
    pub fn begin(&mut self) -> OpenTransaction {
        let position = self.position();
        self.data.begin(position, self.epoch)
    }

    /// Returns whether a transaction reads at the last applied entry.
    pub const fn is_current(&self, transaction: &OpenTransaction) -> bool {
        transaction.snapshot.position.offset == self.applied
            && transaction.snapshot.generation == self.data.generation
            && transaction.epoch == self.epoch
    }

    /// Moves a transaction that has not read anything yet to the last applied entry.
    pub fn refresh(&mut self, transaction: &mut OpenTransaction) {
        self.data.drop_snapshot(transaction.snapshot);
        transaction.snapshot = self.data.take_snapshot(self.position_at(self.applied));
        transaction.epoch = self.epoch;
    }

    /// Checks that the entries a transaction has read are still part of the log.
    ///
    /// # Errors
    ///
    /// Returns 40001 if they were taken back.
    pub fn check_snapshot(&self, transaction: &OpenTransaction) -> Result<(), SqlError> {
        if transaction.snapshot.generation == self.data.generation {
            return Ok(());
        }
        Err(SqlError::new("40001", "the history that the transaction has read was replaced"))
    }

    /// Commits a transaction and returns the position to report for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the server is not the primary of the transaction's epoch any more; the
    /// transaction is then rolled back.
    pub fn commit(
        &mut self,
        transaction: &OpenTransaction,
        now_ms: u64,
    ) -> Result<LogPosition, SqlError> {
        let checked = self.check_commit(transaction);
        if checked.is_ok() && transaction.has_changes() {
            self.append(EntryBody::Commit(transaction.changes()), now_ms);
        }
        self.data.end(transaction);
        checked?;
        if transaction.has_changes() {
            Ok(self.position())
        } else {
            Ok(transaction.snapshot.position)
        }
    }

    fn check_commit(&self, transaction: &OpenTransaction) -> Result<(), SqlError> {
        self.check_snapshot(transaction)?;
        if !transaction.has_changes() {
            return Ok(());
        }
        if self.role != GroupRole::Primary {
            return Err(SqlError::read_only("COMMIT"));
        }
        if transaction.epoch != self.epoch {
            return Err(SqlError::new("40001", "the term changed during the transaction"));
        }
        Ok(())
    }

    /// Becomes primary of `term` and returns the position of the term's first entry.
    ///
    /// A repeated request for the term that the server already leads returns the same position.
    ///
    /// # Errors
    ///
    /// Returns 55000 if the term is not above the server's own.
    pub fn promote(&mut self, term: u64, now_ms: u64) -> Result<LogPosition, SqlError> {
        if self.role == GroupRole::Primary
            && term == self.term
            && let Some(span) = self.spans.last()
        {
            return Ok(span.start);
        }
        if term <= self.term {
            let message = format!("term {term} is not above the server's term {}", self.term);
            return Err(SqlError::new("55000", message));
        }
        self.apply_all();
        self.needs_image = false;
        self.role = GroupRole::Primary;
        self.term = term;
        self.epoch += 1;
        self.marks.clear();
        self.append(EntryBody::TermStart { writer: self.incarnation }, now_ms);
        Ok(self.position())
    }

    /// Becomes a replica of the primary of `term` at `primary`.
    ///
    /// # Errors
    ///
    /// Returns 55000 if the term is below the server's own or the server leads it itself.
    pub fn follow(&mut self, term: u64, primary: SocketAddr) -> Result<LogPosition, SqlError> {
        if term < self.term {
            let message = format!("term {term} is below the server's term {}", self.term);
            return Err(SqlError::new("55000", message));
        }
        if term == self.term && self.role == GroupRole::Primary {
            let message = format!("the server is the primary of term {term}");
            return Err(SqlError::new("55000", message));
        }
        let role = GroupRole::Replica(Some(primary));
        if role != self.role || term != self.term {
            self.role = role;
            self.term = term;
            self.epoch += 1;
            self.marks.clear();
        }
        Ok(self.position())
    }

    /// Raises the term of a replica to that of the primary it is connected to.
    pub fn adopt_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// Removes every entry after `offset`; returns false if only an image can replace them.
    pub fn truncate(&mut self, offset: u64) -> bool {
        if offset >= self.log_end() {
            return true;
        }
        let replayed = self.applied > offset;
        let Some(length) = offset.checked_sub(self.base.offset) else { return false };
        // Data is rebuilt from the start of the log, so the log has to be whole.
        if replayed && self.base != LogPosition::ZERO {
            return false;
        }
        self.log.truncate(usize::try_from(length).unwrap_or(usize::MAX));
        self.spans.retain(|span| span.start.offset <= offset);
        self.marks.clear();
        if replayed {
            self.data.reset();
            self.applied = 0;
            self.replayed_at_ms = 0;
            self.apply_all();
        }
        true
    }

    /// Adds an entry received from the primary; returns false if it is not the next one.
    pub fn receive(&mut self, entry: Arc<LogEntry>) -> bool {
        if entry.position.offset != self.log_end() + 1 {
            return false;
        }
        self.push(entry);
        true
    }

    /// Records that at the primary's time `stamp` its log ended at `offset`.
    pub fn receive_mark(&mut self, stamp: u64, offset: u64) {
        // Marks that come with every commit would pile up behind a long lag; a later one follows.
        if self.marks.back().is_some_and(|(last, _)| stamp < last + MARK_SPACING_MS) {
            return;
        }
        self.marks.push_back((stamp, offset));
    }

    /// Applies what is due and returns the wall time at which more is due.
    pub fn apply_due(&mut self, now_ms: u64) -> Option<u64> {
        if self.role == GroupRole::Primary {
            return None;
        }
        let lag = self.lag_ms;
        let mut next = None;
        while let Some(entry) = self.entry(self.applied + 1) {
            let due = due_at(entry.commit_ms, lag);
            if due > now_ms {
                next = Some(due);
                break;
            }
            self.apply_next();
        }
        while let Some(&(stamp, offset)) = self.marks.front() {
            let due = due_at(stamp, lag);
            if offset > self.applied {
                return next;
            }
            if due > now_ms {
                return Some(next.map_or(due, |next| due.min(next)));
            }
            self.replayed_at_ms = self.replayed_at_ms.max(stamp);
            self.marks.pop_front();
        }
        next
    }

    fn position_at(&self, offset: u64) -> LogPosition {
        self.entry(offset).map_or(self.base, |entry| entry.position)
    }

    fn entry(&self, offset: u64) -> Option<&Arc<LogEntry>> {
        let index = offset.checked_sub(self.base.offset)?.checked_sub(1)?;
        self.log.get(usize::try_from(index).ok()?)
    }

    fn append(&mut self, body: EntryBody, commit_ms: u64) {
        let position = LogPosition::new(self.term, self.log_end() + 1);
        self.push(Arc::new(LogEntry { position, commit_ms, body }));
        self.apply_all();
    }

    fn push(&mut self, entry: Arc<LogEntry>) {
        if let EntryBody::TermStart { writer } = entry.body {
            self.spans.push(TermSpan { start: entry.position, writer });
        }
        self.log.push_back(entry);
    }

    fn apply_all(&mut self) {
        while self.applied < self.log_end() {
            self.apply_next();
        }
    }

    fn apply_next(&mut self) {
        let Some(entry) = self.entry(self.applied + 1).cloned() else { return };
        self.applied += 1;
        if let EntryBody::Commit(changes) = &entry.body {
            self.data.apply(self.applied, changes);
        }
        // Other commits of the same millisecond may still follow.
        self.replayed_at_ms = self.replayed_at_ms.max(entry.commit_ms.saturating_sub(1));
        while self.applied - self.base.offset > self.kept
            && let Some(oldest) = self.log.pop_front()
        {
            self.base = oldest.position;
        }
    }
}

/// Stamps are cut to whole milliseconds, so one more is waited for to keep the full lag.
const fn due_at(stamp: u64, lag: u64) -> u64 {
    if lag == 0 { stamp } else { stamp + lag + 1 }
}
