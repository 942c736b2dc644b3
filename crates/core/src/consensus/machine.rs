//! State of the replicated log and dispatch of its inputs.

use {
    super::{
        COMMIT_PERSIST_INTERVAL, ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN,
        FIRST_ELECTION_TIMEOUT_MAX, FIRST_ELECTION_TIMEOUT_MIN, LEADER_HEARTBEAT_INTERVAL,
        entry_log::EntryLog,
        progress::{PeerProgress, RoundTable},
        reads::ReadQueue,
        types::{
            AppliedEntry, EntryPayload, HardState, LogEntry, LogInput, LogOutput, MemberSet,
            MessageBody, PeerMessage, RejectReason, ReplicaIdentity, SnapshotImage, StorageWrite,
        },
    },
    crate::time::Micros,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Durable state from which a replica starts.
#[derive(Clone, Debug, Default)]
pub struct RestoredLog {
    /// Term, vote and persisted commit index.
    pub hard_state: HardState,
    /// Latest snapshot; the default value represents an empty state.
    pub snapshot: SnapshotImage,
    /// Index and term of the entry before the first of `entries`; at or below the snapshot's index.
    pub base: (u64, u64),
    /// Entries after `base`.
    pub entries: Vec<LogEntry>,
}

#[derive(Clone, Debug)]
pub(super) enum Role {
    Follower,
    PreCandidate {
        votes: BTreeSet<ReplicaIdentity>,
    },
    Candidate {
        votes: BTreeSet<ReplicaIdentity>,
        /// Sequence number of the write of the replica's own vote.
        vote_sequence: u64,
        started: Micros,
    },
    Leader(Box<LeaderState>),
}

#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<ReplicaIdentity, PeerProgress>,
    pub(super) rounds: RoundTable,
    pub(super) reads: ReadQueue,
    /// Tickets of uncommitted proposals and member changes, by index.
    pub(super) pending: BTreeMap<u64, u64>,
    /// Index of the empty entry that the leader appended first in its term.
    pub(super) term_start: u64,
    pub(super) next_heartbeat: Micros,
}

/// Replicated log (Raft) of one replica, as a state machine without I/O.
#[derive(Clone, Debug)]
pub struct LogMachine {
    pub(super) identity: ReplicaIdentity,
    pub(super) hard_state: HardState,
    pub(super) log: EntryLog,
    pub(super) snapshot: SnapshotImage,
    pub(super) commit_index: u64,
    /// Time at which the commit index was last persisted.
    commit_persisted_at: Micros,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaIdentity>,
    /// Time of the last message from the leader, granted vote or election start.
    pub(super) election_timer_start: Micros,
    /// Time of the last message from a leader; `None` before the first and after this replica has won an
    /// election.
    pub(super) last_leader_contact: Option<Micros>,
    /// Whether this replica has been leader since its process started.
    pub(super) has_been_leader: bool,
    pub(super) election_timeout: Micros,
    /// Whether the disk has failed; the replica then rejects all requests and ignores other inputs.
    pub(super) failed: bool,
    /// Sequence number of the last write handed to the caller.
    pub(super) issued_sequence: u64,
    /// Sequence number of the last durable write.
    pub(super) synced_sequence: u64,
    /// Sequence number of the write of the current term and vote.
    pub(super) hard_state_sequence: u64,
    /// Highest index up to which the whole log is durable.
    pub(super) synced_index: u64,
    /// Sequence number and last index of each append that is not yet synced.
    pub(super) unsynced: VecDeque<(u64, u64)>,
    /// Messages to send once the write with the given sequence number is durable.
    awaiting_sync: VecDeque<(u64, PeerMessage)>,
    /// Highest index up to which the log is known to match the current leader's.
    pub(super) leader_match: u64,
    /// Latest round received from the current leader.
    pub(super) leader_round: u64,
    /// Whether an append reply is sent after the next sync.
    pub(super) reply_due: bool,
    pub(super) outputs: Vec<LogOutput>,
}

impl LogMachine {
    /// Creates a replica from its durable state.
    ///
    /// A replica that is the only voter starts an election at its first tick. `random` selects the first
    /// election timeout.
    #[must_use]
    pub fn new(identity: ReplicaIdentity, restored: RestoredLog, now: Micros, random: u64) -> Self {
        let RestoredLog { hard_state, snapshot, base, entries } = restored;
        let mut log = EntryLog::new(base.0, base.1, snapshot.members.clone());
        for entry in entries {
            log.push(entry);
        }
        let sole_voter = log.members().voters().eq([identity]);
        let synced_index = log.last_index();
        let known_commit = hard_state.commit.min(synced_index);
        let mut machine = Self {
            identity,
            hard_state,
            commit_index: snapshot.index,
            commit_persisted_at: now,
            snapshot,
            log,
            role: Role::Follower,
            leader: None,
            election_timer_start: now,
            last_leader_contact: None,
            has_been_leader: false,
            election_timeout: if sole_voter {
                Micros::ZERO
            } else {
                first_election_timeout(random)
            },
            failed: false,
            issued_sequence: 0,
            synced_sequence: 0,
            hard_state_sequence: 0,
            synced_index,
            unsynced: VecDeque::new(),
            awaiting_sync: VecDeque::new(),
            leader_match: 0,
            leader_round: 0,
            reply_due: false,
            outputs: Vec::new(),
        };
        // Committed entries are final, so they are applied without waiting for a leader.
        machine.commit_to(known_commit);
        machine
    }

    /// Processes one input and returns the actions that the caller has to carry out in order.
    pub fn step(&mut self, now: Micros, input: LogInput) -> Vec<LogOutput> {
        if self.failed {
            self.reject_all(&input);
            return std::mem::take(&mut self.outputs);
        }
        // The process can be paused between two steps for any length of time, so an expired role is
        // dropped before the input is processed.
        self.expire_role(now);
        match input {
            LogInput::Bootstrap(members) => self.bootstrap(members),
            LogInput::Tick { random } => self.tick(now, random),
            LogInput::Received(message) => self.receive(now, message),
            LogInput::Propose(proposals) => self.propose(now, proposals),
            LogInput::ConfirmRead { ticket } => self.confirm_read(now, ticket),
            LogInput::ChangeMember { ticket, change } => self.change_member(now, ticket, change),
            LogInput::Synced { sequence } => self.finish_sync(now, sequence),
            LogInput::SnapshotSaved(image) => self.adopt_snapshot(image),
            LogInput::DiskFailed => self.fail_disk(now),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the time at which the next tick is needed.
    ///
    /// Messages from the leader postpone a follower's election timeout, but the follower still needs ticks
    /// to persist its commit index.
    #[must_use]
    pub fn deadline(&self, now: Micros) -> Micros {
        if !self.outputs.is_empty() {
            return now;
        }
        let role = match &self.role {
            Role::Leader(leader) => leader.next_heartbeat,
            _ if self.failed || !self.log.members().is_voter(self.identity) => {
                now + ELECTION_TIMEOUT_MAX
            }
            _ => self.election_timer_start + self.election_timeout,
        };
        if self.failed || self.commit_index <= self.hard_state.commit {
            return role;
        }
        role.min(self.commit_persisted_at + COMMIT_PERSIST_INTERVAL)
    }

    /// Returns this replica's identity.
    #[must_use]
    pub const fn identity(&self) -> ReplicaIdentity {
        self.identity
    }

    /// Returns the term, the vote and the persisted commit index.
    #[must_use]
    pub const fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Returns the entries after the compacted part of the log.
    #[must_use]
    pub const fn log(&self) -> &EntryLog {
        &self.log
    }

    /// Returns the highest index that this replica knows to be committed.
    #[must_use]
    pub const fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the members in effect after the last entry, committed or not.
    #[must_use]
    pub fn members(&self) -> &MemberSet {
        self.log.members()
    }

    /// Returns the members in effect at an index that is not compacted.
    #[must_use]
    pub fn members_at(&self, index: u64) -> &MemberSet {
        self.log.members_at(index)
    }

    /// Returns the leader of the current term, or `None` if it is unknown.
    #[must_use]
    pub const fn leader(&self) -> Option<ReplicaIdentity> {
        self.leader
    }

    /// Returns whether this replica is the leader.
    #[must_use]
    pub const fn is_leading(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether the disk has failed, after which the replica rejects all requests and ignores other
    /// inputs.
    #[must_use]
    pub const fn is_failed(&self) -> bool {
        self.failed
    }

    /// Returns the match index of each follower; empty unless this replica is the leader.
    #[must_use]
    pub fn match_indexes(&self) -> Vec<(ReplicaIdentity, u64)> {
        let mut indexes = Vec::new();
        if let Role::Leader(leader) = &self.role {
            for (identity, progress) in &leader.progress {
                indexes.push((*identity, progress.match_index));
            }
        }
        indexes
    }

    /// Returns, for each follower, the send time of the latest message that it has answered; empty unless
    /// this replica is the leader.
    #[must_use]
    pub fn contacts(&self) -> Vec<(ReplicaIdentity, Micros)> {
        let mut contacts = Vec::new();
        if let Role::Leader(leader) = &self.role {
            for (identity, progress) in &leader.progress {
                contacts.push((*identity, progress.last_contact));
            }
        }
        contacts
    }

    /// Returns whether this replica has never voted, seen a term or stored an entry.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.hard_state.term == 0 && self.log.last_index() == 0
    }

    fn bootstrap(&mut self, members: MemberSet) {
        if !self.is_blank() {
            return;
        }
        self.set_term(1, Some(self.identity));
        let payload = EntryPayload::Members(members);
        self.append_entries(vec![LogEntry { term: 1, index: 1, payload }]);
        self.election_timeout = Micros::ZERO;
    }

    /// Ends a leadership or candidacy that has lasted too long without a majority.
    fn expire_role(&mut self, now: Micros) {
        match &self.role {
            Role::Leader(_) => self.check_quorum(now),
            Role::Candidate { started, .. } if now.since(*started) > ELECTION_TIMEOUT_MAX => {
                self.role = Role::Follower;
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: Micros, random: u64) {
        self.persist_commit_index(now);
        if self.is_leading() {
            self.tick_leader(now);
            return;
        }
        if !self.log.members().is_voter(self.identity) {
            self.election_timer_start = now;
            return;
        }
        if now.since(self.election_timer_start) >= self.election_timeout {
            // The shorter timeout applies only before any leader is known, when an early election cannot
            // disturb one.
            let is_first_election = self.last_leader_contact.is_none() && !self.has_been_leader;
            self.election_timeout = if is_first_election {
                first_election_timeout(random)
            } else {
                random_election_timeout(random)
            };
            self.start_pre_vote(now);
        }
    }

    /// Appends entries to the log and issues their write; the first must follow the last entry.
    pub(super) fn append_entries(&mut self, entries: Vec<LogEntry>) {
        let members_index = self.log.members_index();
        for entry in &entries {
            self.log.push(entry.clone());
        }
        let sequence = self.write(StorageWrite::Append(entries));
        self.unsynced.push_back((sequence, self.log.last_index()));
        if self.log.members_index() != members_index {
            self.emit_member_change();
        }
    }

    pub(super) fn truncate(&mut self, from: u64) {
        debug_assert!(from > self.commit_index, "committed entries are never removed");
        let members_index = self.log.members_index();
        self.log.truncate(from);
        self.write(StorageWrite::Truncate { from });
        self.synced_index = self.synced_index.min(from - 1);
        for (_, last) in &mut self.unsynced {
            *last = (*last).min(from - 1);
        }
        if self.log.members_index() != members_index {
            self.emit_member_change();
        }
    }

    /// Releases replies, votes and commits that waited for a sync.
    fn finish_sync(&mut self, now: Micros, sequence: u64) {
        self.synced_sequence = self.synced_sequence.max(sequence);
        while let Some((front, last)) = self.unsynced.front().copied() {
            if front > self.synced_sequence {
                break;
            }
            self.unsynced.pop_front();
            self.synced_index = self.synced_index.max(last);
        }
        while self.awaiting_sync.front().is_some_and(|(needed, _)| *needed <= self.synced_sequence)
        {
            if let Some((_, message)) = self.awaiting_sync.pop_front() {
                self.outputs.push(LogOutput::Send(message));
            }
        }
        if self.reply_due && matches!(self.role, Role::Follower) {
            self.reply_append();
        }
        if let Role::Candidate { votes, vote_sequence, .. } = &mut self.role
            && *vote_sequence <= self.synced_sequence
            && votes.insert(self.identity)
        {
            self.finish_election(now);
        }
        if self.is_leading() {
            self.advance_commit(now);
        }
    }

    fn adopt_snapshot(&mut self, image: SnapshotImage) {
        if image.index <= self.snapshot.index || image.index > self.commit_index {
            return;
        }
        // Followers that are only a few entries behind catch up from the log instead of a snapshot.
        let through =
            image.index.saturating_sub(super::RETAINED_ENTRIES).max(self.log.base_index());
        self.snapshot = image;
        if through > self.log.base_index() {
            self.log.compact(through);
            self.write(StorageWrite::Compact { through });
        }
    }

    fn fail_disk(&mut self, now: Micros) {
        self.step_down(now);
        self.failed = true;
        self.awaiting_sync.clear();
        self.emit_role_change();
    }

    /// Rejects the requests in an input, since the disk has failed.
    fn reject_all(&mut self, input: &LogInput) {
        match input {
            LogInput::Propose(proposals) => {
                for proposal in proposals {
                    self.reject(proposal.ticket, RejectReason::DiskFailed);
                }
            }
            LogInput::ConfirmRead { ticket } | LogInput::ChangeMember { ticket, .. } => {
                self.reject(*ticket, RejectReason::DiskFailed);
            }
            _ => {}
        }
    }

    /// Moves to a higher term, whose leader is not yet known.
    pub(super) fn adopt_term(&mut self, now: Micros, term: u64) {
        self.step_down(now);
        self.begin_term(term, None);
        self.emit_role_change();
    }

    /// Moves to a higher term and forgets what was learned from the leader of the former one.
    pub(super) fn begin_term(&mut self, term: u64, vote: Option<ReplicaIdentity>) {
        self.leader_match = 0;
        self.leader_round = 0;
        self.reply_due = false;
        self.set_term(term, vote);
    }

    pub(super) fn set_term(&mut self, term: u64, vote: Option<ReplicaIdentity>) {
        self.hard_state = HardState { term, vote, ..self.hard_state };
        self.hard_state_sequence = self.write(StorageWrite::HardState(self.hard_state));
    }

    /// Persists the commit index if it has advanced and the interval has passed.
    fn persist_commit_index(&mut self, now: Micros) {
        let is_due = now.since(self.commit_persisted_at) >= COMMIT_PERSIST_INTERVAL;
        if self.commit_index > self.hard_state.commit && is_due {
            self.commit_persisted_at = now;
            self.hard_state.commit = self.commit_index;
            self.write(StorageWrite::HardState(self.hard_state));
        }
    }

    /// Issues a write and returns its sequence number.
    pub(super) fn write(&mut self, write: StorageWrite) -> u64 {
        self.issued_sequence += 1;
        self.outputs.push(LogOutput::Write { sequence: self.issued_sequence, write });
        self.issued_sequence
    }

    /// Advances the commit index and outputs the newly committed entries for applying.
    pub(super) fn commit_to(&mut self, index: u64) {
        if index <= self.commit_index {
            return;
        }
        let mut applied = Vec::new();
        for next in self.commit_index + 1..=index {
            let Some(entry) = self.log.get(next).cloned() else { break };
            let ticket = match &mut self.role {
                Role::Leader(leader) => leader.pending.remove(&next),
                _ => None,
            };
            self.commit_index = next;
            applied.push(AppliedEntry { entry, ticket });
        }
        if !applied.is_empty() {
            self.outputs.push(LogOutput::Apply(applied));
        }
    }

    pub(super) fn reject(&mut self, ticket: u64, reason: RejectReason) {
        self.outputs.push(LogOutput::Rejected { ticket, reason });
    }

    /// Sends a message that depends on no pending write.
    pub(super) fn send_now(&mut self, to: ReplicaIdentity, body: MessageBody) {
        let term = self.hard_state.term;
        let message = PeerMessage { from: self.identity, to, term, body };
        self.outputs.push(LogOutput::Send(message));
    }

    /// Sends a message once all writes issued so far are durable.
    pub(super) fn send_synced(&mut self, to: ReplicaIdentity, term: u64, body: MessageBody) {
        let message = PeerMessage { from: self.identity, to, term, body };
        if self.synced_sequence >= self.issued_sequence {
            self.outputs.push(LogOutput::Send(message));
        } else {
            self.awaiting_sync.push_back((self.issued_sequence, message));
        }
    }

    pub(super) fn emit_role_change(&mut self) {
        self.outputs.push(LogOutput::RoleChanged {
            term: self.hard_state.term,
            leading: self.is_leading(),
            leader: self.leader,
        });
    }

    pub(super) fn emit_member_change(&mut self) {
        let members = self.log.members().clone();
        self.outputs.push(LogOutput::MembersChanged(members));
    }

    pub(super) fn has_recent_leader(&self, now: Micros) -> bool {
        self.is_leading()
            || self
                .last_leader_contact
                .is_some_and(|contact| now.since(contact) < ELECTION_TIMEOUT_MIN)
    }
}

const fn first_election_timeout(random: u64) -> Micros {
    let span = FIRST_ELECTION_TIMEOUT_MAX.0 - FIRST_ELECTION_TIMEOUT_MIN.0;
    Micros(FIRST_ELECTION_TIMEOUT_MIN.0 + random % (span + 1))
}

const fn random_election_timeout(random: u64) -> Micros {
    let span = ELECTION_TIMEOUT_MAX.0 - ELECTION_TIMEOUT_MIN.0;
    Micros(ELECTION_TIMEOUT_MIN.0 + random % (span + 1))
}

const _: () = assert!(LEADER_HEARTBEAT_INTERVAL.0 * 3 < ELECTION_TIMEOUT_MIN.0);
