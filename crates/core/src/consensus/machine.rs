//! State and dispatch of the log machine.

use {
    super::{
        COMMIT_NOTE_INTERVAL, ELECTION_MAX, ELECTION_MIN, FIRST_ELECTION_MAX, FIRST_ELECTION_MIN,
        LEADER_HEARTBEAT,
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

/// Durable state that a replica starts from.
#[derive(Clone, Debug, Default)]
pub struct RestoredLog {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot; the default stands for an empty state.
    pub snapshot: SnapshotImage,
    /// Index and term before the first of `entries`; at or below the snapshot's.
    pub base: (u64, u64),
    /// Entries after `base`.
    pub entries: Vec<LogEntry>,
}

#[derive(Clone, Debug)]
pub(super) enum Role {
    Follower,
    PreCandidate { votes: BTreeSet<ReplicaIdentity> },
    Candidate { votes: BTreeSet<ReplicaIdentity>, own_vote: u64, started: Micros },
    Leader(Box<LeaderState>),
}

#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<ReplicaIdentity, PeerProgress>,
    pub(super) rounds: RoundTable,
    pub(super) reads: ReadQueue,
    /// Tickets of proposals by index.
    pub(super) pending: BTreeMap<u64, u64>,
    /// Index of the empty entry that opened the term.
    pub(super) term_start: u64,
    pub(super) next_heartbeat: Micros,
}

/// Replicated log of one replica, as a state machine without I/O.
#[derive(Clone, Debug)]
pub struct LogMachine {
    pub(super) identity: ReplicaIdentity,
    pub(super) hard_state: HardState,
    pub(super) log: EntryLog,
    pub(super) snapshot: SnapshotImage,
    pub(super) commit_index: u64,
    /// When the commit index was last written.
    commit_noted: Micros,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaIdentity>,
    /// When the leader was last heard, or a vote was granted, or an election started.
    pub(super) timer_start: Micros,
    pub(super) heard_leader: Option<Micros>,
    /// Whether this replica has led since it started.
    pub(super) led: bool,
    pub(super) timeout: Micros,
    pub(super) failed: bool,
    pub(super) issued: u64,
    pub(super) synced: u64,
    pub(super) hard_state_sequence: u64,
    /// Highest index up to which the whole log is durable.
    pub(super) synced_index: u64,
    /// Last index of each append that is not yet synced.
    pub(super) unsynced: VecDeque<(u64, u64)>,
    /// Messages that wait for a sync.
    held: VecDeque<(u64, PeerMessage)>,
    /// Highest index known to equal the current leader's log.
    pub(super) leader_match: u64,
    pub(super) leader_round: u64,
    pub(super) reply_due: bool,
    pub(super) outputs: Vec<LogOutput>,
}

impl LogMachine {
    /// Creates the machine of a replica from its durable state.
    ///
    /// A replica that is the only voter starts an election at its first tick.
    #[must_use]
    pub fn new(identity: ReplicaIdentity, restored: RestoredLog, now: Micros, random: u64) -> Self {
        let RestoredLog { hard_state, snapshot, base, entries } = restored;
        let mut log = EntryLog::new(base.0, base.1, snapshot.members.clone());
        for entry in entries {
            log.push(entry);
        }
        let alone = log.members().voters().eq([identity]);
        let synced_index = log.last_index();
        let known_commit = hard_state.commit.min(synced_index);
        let mut machine = Self {
            identity,
            hard_state,
            commit_index: snapshot.index,
            commit_noted: now,
            snapshot,
            log,
            role: Role::Follower,
            leader: None,
            timer_start: now,
            heard_leader: None,
            led: false,
            timeout: if alone { Micros::ZERO } else { first_timeout(random) },
            failed: false,
            issued: 0,
            synced: 0,
            hard_state_sequence: 0,
            synced_index,
            unsynced: VecDeque::new(),
            held: VecDeque::new(),
            leader_match: 0,
            leader_round: 0,
            reply_due: false,
            outputs: Vec::new(),
        };
        // What is committed stays: nobody has to be asked before it is used.
        machine.commit_to(known_commit);
        machine
    }

    /// Processes one input and returns what the caller has to do.
    pub fn step(&mut self, now: Micros, input: LogInput) -> Vec<LogOutput> {
        if self.failed {
            self.reject_all(&input);
            return std::mem::take(&mut self.outputs);
        }
        // A process can be paused between two steps for any time, so the role is checked against
        // the clock before the input is looked at.
        self.expire_role(now);
        match input {
            LogInput::Bootstrap(members) => self.bootstrap(members),
            LogInput::Tick { random } => self.tick(now, random),
            LogInput::Received(message) => self.receive(now, message),
            LogInput::Propose(proposals) => self.propose(now, proposals),
            LogInput::Confirm { ticket } => self.confirm(now, ticket),
            LogInput::ChangeMember { ticket, change } => self.change_member(now, ticket, change),
            LogInput::Synced { sequence } => self.finish_sync(now, sequence),
            LogInput::SnapshotSaved(image) => self.adopt_snapshot(image),
            LogInput::DiskFailed => self.fail_disk(now),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns when the next tick is needed.
    ///
    /// A follower that hears from its leader needs none for an election, but has to write down how far
    /// the log is committed.
    #[must_use]
    pub fn deadline(&self, now: Micros) -> Micros {
        if !self.outputs.is_empty() {
            return now;
        }
        let role = match &self.role {
            Role::Leader(leader) => leader.next_heartbeat,
            _ if self.failed || !self.log.members().is_voter(self.identity) => now + ELECTION_MAX,
            _ => self.timer_start + self.timeout,
        };
        if self.failed || self.commit_index <= self.hard_state.commit {
            return role;
        }
        role.min(self.commit_noted + COMMIT_NOTE_INTERVAL)
    }

    /// Returns this replica's identity.
    #[must_use]
    pub const fn identity(&self) -> ReplicaIdentity {
        self.identity
    }

    /// Returns term and vote.
    #[must_use]
    pub const fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Returns the log.
    #[must_use]
    pub const fn log(&self) -> &EntryLog {
        &self.log
    }

    /// Returns the highest committed index that this replica knows.
    #[must_use]
    pub const fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the members in force.
    #[must_use]
    pub fn members(&self) -> &MemberSet {
        self.log.members()
    }

    /// Returns the members in force at an index that is not compacted.
    #[must_use]
    pub fn members_at(&self, index: u64) -> &MemberSet {
        self.log.members_at(index)
    }

    /// Returns the leader, if known.
    #[must_use]
    pub const fn leader(&self) -> Option<ReplicaIdentity> {
        self.leader
    }

    /// Returns whether this replica leads.
    #[must_use]
    pub const fn is_leading(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether the disk has failed.
    #[must_use]
    pub const fn is_failed(&self) -> bool {
        self.failed
    }

    /// Returns the match index of each follower, or nothing unless this replica leads.
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

    /// Returns when each follower last answered, or nothing unless this replica leads.
    #[must_use]
    pub fn contacts(&self) -> Vec<(ReplicaIdentity, Micros)> {
        let mut contacts = Vec::new();
        if let Role::Leader(leader) = &self.role {
            for (identity, progress) in &leader.progress {
                contacts.push((*identity, progress.contact));
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
        self.timeout = Micros::ZERO;
    }

    fn expire_role(&mut self, now: Micros) {
        match &self.role {
            Role::Leader(_) => self.check_quorum(now),
            Role::Candidate { started, .. } if now.since(*started) > ELECTION_MAX => {
                self.role = Role::Follower;
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: Micros, random: u64) {
        self.note_commit(now);
        if self.is_leading() {
            self.lead_tick(now);
            return;
        }
        if !self.log.members().is_voter(self.identity) {
            self.timer_start = now;
            return;
        }
        if now.since(self.timer_start) >= self.timeout {
            // Until a leader was heard, nobody is known whose place an early election would take.
            let started = self.heard_leader.is_none() && !self.led;
            self.timeout = if started { first_timeout(random) } else { random_timeout(random) };
            self.start_pre_vote(now);
        }
    }

    /// Appends entries that follow the log and writes them.
    pub(super) fn append_entries(&mut self, entries: Vec<LogEntry>) {
        let members_index = self.log.members_index();
        for entry in &entries {
            self.log.push(entry.clone());
        }
        let sequence = self.write(StorageWrite::Append(entries));
        self.unsynced.push_back((sequence, self.log.last_index()));
        if self.log.members_index() != members_index {
            self.announce_members();
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
            self.announce_members();
        }
    }

    fn finish_sync(&mut self, now: Micros, sequence: u64) {
        self.synced = self.synced.max(sequence);
        while let Some((front, last)) = self.unsynced.front().copied() {
            if front > self.synced {
                break;
            }
            self.unsynced.pop_front();
            self.synced_index = self.synced_index.max(last);
        }
        while self.held.front().is_some_and(|(needed, _)| *needed <= self.synced) {
            if let Some((_, message)) = self.held.pop_front() {
                self.outputs.push(LogOutput::Send(message));
            }
        }
        if self.reply_due && matches!(self.role, Role::Follower) {
            self.reply_append();
        }
        if let Role::Candidate { votes, own_vote, .. } = &mut self.role
            && *own_vote <= self.synced
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
        // Followers that are a little behind are served from the log rather than by a snapshot.
        let through = image.index.saturating_sub(super::KEPT_ENTRIES).max(self.log.base_index());
        self.snapshot = image;
        if through > self.log.base_index() {
            self.log.compact(through);
            self.write(StorageWrite::Compact { through });
        }
    }

    fn fail_disk(&mut self, now: Micros) {
        self.step_down(now);
        self.failed = true;
        self.held.clear();
        self.announce_role();
    }

    fn reject_all(&mut self, input: &LogInput) {
        match input {
            LogInput::Propose(proposals) => {
                for proposal in proposals {
                    self.reject(proposal.ticket, RejectReason::DiskFailed);
                }
            }
            LogInput::Confirm { ticket } | LogInput::ChangeMember { ticket, .. } => {
                self.reject(*ticket, RejectReason::DiskFailed);
            }
            _ => {}
        }
    }

    /// Moves to a higher term without a leader.
    pub(super) fn adopt_term(&mut self, now: Micros, term: u64) {
        self.step_down(now);
        self.set_term(term, None);
        self.leader_match = 0;
        self.leader_round = 0;
        self.reply_due = false;
        self.announce_role();
    }

    pub(super) fn set_term(&mut self, term: u64, vote: Option<ReplicaIdentity>) {
        self.hard_state = HardState { term, vote, ..self.hard_state };
        self.hard_state_sequence = self.write(StorageWrite::HardState(self.hard_state));
    }

    fn note_commit(&mut self, now: Micros) {
        let is_due = now.since(self.commit_noted) >= COMMIT_NOTE_INTERVAL;
        if self.commit_index > self.hard_state.commit && is_due {
            self.commit_noted = now;
            self.hard_state.commit = self.commit_index;
            self.write(StorageWrite::HardState(self.hard_state));
        }
    }

    pub(super) fn write(&mut self, write: StorageWrite) -> u64 {
        self.issued += 1;
        self.outputs.push(LogOutput::Write { sequence: self.issued, write });
        self.issued
    }

    /// Raises the commit index and hands the new entries out.
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

    /// Sends a message that depends on nothing that is not yet durable.
    pub(super) fn send_now(&mut self, to: ReplicaIdentity, body: MessageBody) {
        let term = self.hard_state.term;
        let message = PeerMessage { from: self.identity, to, term, body };
        self.outputs.push(LogOutput::Send(message));
    }

    /// Sends a message once everything written so far is durable.
    pub(super) fn send_synced(&mut self, to: ReplicaIdentity, term: u64, body: MessageBody) {
        let message = PeerMessage { from: self.identity, to, term, body };
        if self.synced >= self.issued {
            self.outputs.push(LogOutput::Send(message));
        } else {
            self.held.push_back((self.issued, message));
        }
    }

    pub(super) fn announce_role(&mut self) {
        self.outputs.push(LogOutput::RoleChanged {
            term: self.hard_state.term,
            leading: self.is_leading(),
            leader: self.leader,
        });
    }

    pub(super) fn announce_members(&mut self) {
        let members = self.log.members().clone();
        self.outputs.push(LogOutput::MembersChanged(members));
    }

    pub(super) fn heard_leader_recently(&self, now: Micros) -> bool {
        self.is_leading() || self.heard_leader.is_some_and(|heard| now.since(heard) < ELECTION_MIN)
    }
}

const fn first_timeout(random: u64) -> Micros {
    let span = FIRST_ELECTION_MAX.0 - FIRST_ELECTION_MIN.0;
    Micros(FIRST_ELECTION_MIN.0 + random % (span + 1))
}

const fn random_timeout(random: u64) -> Micros {
    let span = ELECTION_MAX.0 - ELECTION_MIN.0;
    Micros(ELECTION_MIN.0 + random % (span + 1))
}

const _: () = assert!(LEADER_HEARTBEAT.0 * 3 < ELECTION_MIN.0);
