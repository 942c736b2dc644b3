//! Leader: replication, commits, read confirmation and member changes.

use {
    super::{
        ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, LEADER_HEARTBEAT_INTERVAL, MAX_APPEND_BYTES,
        MAX_APPEND_ENTRIES, MAX_UNCOMMITTED_ENTRIES, SNAPSHOT_RESEND_TIMEOUT,
        machine::{LeaderState, LogMachine, Role},
        progress::{PeerProgress, RoundTable, SendMode},
        reads::ReadQueue,
        types::{
            EntryPayload, LogEntry, LogOutput, LogProposal, MemberChange, MemberRecord, MemberSet,
            MessageBody, RejectReason, ReplicaIdentity,
        },
    },
    crate::time::Micros,
    std::collections::BTreeMap,
};

impl LogMachine {
    /// Becomes leader; `contact` is the time at which the vote requests were sent.
    pub(super) fn become_leader(&mut self, now: Micros, contact: Micros) {
        let next_index = self.log.last_index() + 1;
        let mut progress = BTreeMap::new();
        for record in self.log.members().records() {
            if record.identity != self.identity {
                progress.insert(record.identity, PeerProgress::new(next_index, contact));
            }
        }
        self.role = Role::Leader(Box::new(LeaderState {
            progress,
            rounds: RoundTable::default(),
            reads: ReadQueue::default(),
            pending: BTreeMap::new(),
            term_start: next_index,
            next_heartbeat: now + LEADER_HEARTBEAT_INTERVAL,
        }));
        self.leader = Some(self.identity);
        self.last_leader_contact = None;
        self.has_been_leader = true;
        self.emit_role_change();
        self.append_payloads(vec![EntryPayload::Empty]);
        self.broadcast_round(now);
    }

    /// Steps down if no majority has replied within the longest election timeout.
    pub(super) fn check_quorum(&mut self, now: Micros) {
        if now.since(self.quorum_contact(now)) > ELECTION_TIMEOUT_MAX {
            self.step_down(now);
            self.emit_role_change();
        }
    }

    /// Returns the latest time at which a majority still accepted this replica as leader.
    fn quorum_contact(&self, now: Micros) -> Micros {
        let Role::Leader(leader) = &self.role else { return Micros::ZERO };
        let contact = self.log.members().majority_value(|identity| {
            if identity == self.identity {
                return now;
            }
            leader.progress.get(&identity).map_or(Micros::ZERO, |progress| progress.last_contact)
        });
        contact.unwrap_or(now)
    }

    pub(super) fn tick_leader(&mut self, now: Micros) {
        let Role::Leader(leader) = &mut self.role else { return };
        if now >= leader.next_heartbeat {
            leader.next_heartbeat = now + LEADER_HEARTBEAT_INTERVAL;
            let peers: Vec<ReplicaIdentity> = leader.progress.keys().copied().collect();
            for peer in peers {
                self.promote_learner(now, peer);
            }
            self.broadcast_round(now);
        }
    }

    /// Starts a confirmation round and sends an append to every follower.
    fn broadcast_round(&mut self, now: Micros) {
        let Role::Leader(leader) = &mut self.role else { return };
        let round = leader.rounds.begin(now);
        if leader.reads.needs_round() && self.commit_index >= leader.term_start {
            leader.reads.begin(round, self.commit_index);
        }
        let peers: Vec<ReplicaIdentity> = leader.progress.keys().copied().collect();
        for peer in peers {
            self.replicate(now, peer, true);
        }
        self.finish_reads(now);
    }

    fn append_payloads(&mut self, payloads: Vec<EntryPayload>) {
        let term = self.hard_state.term;
        let mut entries = Vec::new();
        for (index, payload) in (self.log.last_index() + 1..).zip(payloads) {
            entries.push(LogEntry { term, index, payload });
        }
        self.append_entries(entries);
    }

    fn replicate_all(&mut self, now: Micros) {
        let Role::Leader(leader) = &self.role else { return };
        let peers: Vec<ReplicaIdentity> = leader.progress.keys().copied().collect();
        for peer in peers {
            self.replicate(now, peer, false);
        }
    }

    pub(super) fn propose(&mut self, now: Micros, proposals: Vec<LogProposal>) {
        let last = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else {
            for proposal in proposals {
                self.reject(proposal.ticket, RejectReason::NotLeader { leader: self.leader });
            }
            return;
        };
        let capacity = (self.commit_index + MAX_UNCOMMITTED_ENTRIES).saturating_sub(last);
        let mut payloads = Vec::new();
        let mut rejected = Vec::new();
        for LogProposal { ticket, command } in proposals {
            if payloads.len() as u64 >= capacity {
                rejected.push(ticket);
                continue;
            }
            payloads.push(EntryPayload::Command(command));
            leader.pending.insert(last + payloads.len() as u64, ticket);
        }
        for ticket in rejected {
            self.reject(ticket, RejectReason::Overloaded);
        }
        if payloads.is_empty() {
            return;
        }
        self.append_payloads(payloads);
        self.replicate_all(now);
    }

    pub(super) fn confirm_read(&mut self, now: Micros, ticket: u64) {
        let Role::Leader(leader) = &mut self.role else {
            self.reject(ticket, RejectReason::NotLeader { leader: self.leader });
            return;
        };
        leader.reads.push(ticket);
        self.start_reads(now);
    }

    /// Starts a round for waiting reads if an entry of the current term is committed.
    ///
    /// Before that, a new leader does not know which entries of earlier terms are committed.
    fn start_reads(&mut self, now: Micros) {
        let Role::Leader(leader) = &self.role else { return };
        if leader.reads.needs_round() && self.commit_index >= leader.term_start {
            self.broadcast_round(now);
        }
    }

    fn finish_reads(&mut self, now: Micros) {
        let Role::Leader(leader) = &self.role else { return };
        let latest = leader.rounds.latest();
        let answered = self.log.members().majority_value(|identity| {
            if identity == self.identity {
                return latest;
            }
            leader.progress.get(&identity).map_or(0, |progress| progress.acked_round)
        });
        // No other replica can become leader before the shortest election timeout of the majority has
        // passed.
        let valid_until = self.quorum_contact(now) + ELECTION_TIMEOUT_MIN;
        let commit_index = self.commit_index;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some((index, tickets)) = leader.reads.finish(answered.unwrap_or(latest)) else {
            return;
        };
        let index = index.max(commit_index);
        for ticket in tickets {
            self.outputs.push(LogOutput::ReadConfirmed { ticket, index, valid_until });
        }
    }

    /// Sends a follower the entries or the snapshot that it lacks.
    ///
    /// With `force`, sends at least an empty append, which serves as heartbeat.
    fn replicate(&mut self, now: Micros, peer: ReplicaIdentity, mut force: bool) {
        loop {
            let Role::Leader(leader) = &mut self.role else { return };
            let round = leader.rounds.latest();
            let Some(progress) = leader.progress.get_mut(&peer) else { return };
            let previous_index = match progress.mode {
                SendMode::Snapshot { sent, .. } if now.since(sent) >= SNAPSHOT_RESEND_TIMEOUT => {
                    progress.probe_from(progress.match_index + 1);
                    continue;
                }
                // Index 0 matches every log, so the follower acknowledges heartbeats while it
                // installs the snapshot.
                SendMode::Snapshot { .. } if force => 0,
                SendMode::Snapshot { .. } => return,
                SendMode::Probe { paused: true } if !force => return,
                _ => progress.next_index - 1,
            };
            let previous_term =
                if previous_index == 0 { Some(0) } else { self.log.term_at(previous_index) };
            let previous_term = match previous_term {
                Some(term) if previous_index >= self.log.base_index() => term,
                Some(term) if matches!(progress.mode, SendMode::Snapshot { .. }) => term,
                _ => {
                    let image = self.snapshot.clone();
                    progress.mode = SendMode::Snapshot { index: image.index, sent: now };
                    progress.next_index = image.index + 1;
                    progress.in_flight.clear();
                    self.send_now(peer, MessageBody::SnapshotRequest { image, round });
                    return;
                }
            };
            let mut entries = Vec::new();
            match progress.mode {
                SendMode::Stream if !progress.window_full() => {
                    entries =
                        self.log.slice(progress.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES);
                }
                SendMode::Probe { .. } => progress.mode = SendMode::Probe { paused: true },
                _ => {}
            }
            if entries.is_empty() && !force && progress.mode == SendMode::Stream {
                return;
            }
            if let Some(last) = entries.last() {
                progress.next_index = last.index + 1;
                progress.in_flight.push_back(last.index);
            }
            let finished = entries.is_empty();
            force = false;
            let commit_index = self.commit_index;
            let body = MessageBody::AppendRequest {
                previous_index,
                previous_term,
                entries,
                commit_index,
                round,
            };
            self.send_now(peer, body);
            if finished {
                return;
            }
        }
    }

    /// Processes an append reply; `indexes` holds its match index and its conflict index.
    pub(super) fn handle_append_reply(
        &mut self,
        now: Micros,
        from: ReplicaIdentity,
        success: bool,
        indexes: (u64, u64),
        round: u64,
    ) {
        let last_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&from) else { return };
        if let Some(sent) = leader.rounds.sent_at(round) {
            progress.acked_round = progress.acked_round.max(round);
            progress.last_contact = progress.last_contact.max(sent);
        }
        let (match_index, conflict_index) = indexes;
        if success {
            if progress.record_match(match_index.min(last_index)) {
                self.advance_commit(now);
                self.promote_learner(now, from);
            }
        } else {
            let stale = match progress.mode {
                SendMode::Probe { .. } => match_index != progress.next_index - 1,
                SendMode::Stream => match_index <= progress.match_index,
                SendMode::Snapshot { .. } => true,
            };
            if !stale {
                let next = conflict_index.min(match_index).max(progress.match_index + 1);
                progress.probe_from(next);
            }
        }
        self.replicate(now, from, false);
        self.finish_reads(now);
        self.start_reads(now);
    }

    /// Commits the entries that a majority has synced, if the last of them is of the current term.
    pub(super) fn advance_commit(&mut self, now: Micros) {
        let Role::Leader(leader) = &self.role else { return };
        let matched = self.log.members().majority_value(|identity| {
            if identity == self.identity {
                return self.synced_index;
            }
            leader.progress.get(&identity).map_or(0, |progress| progress.match_index)
        });
        let Some(index) = matched else { return };
        // An entry of an earlier term can still be replaced although a majority stores it, so it is
        // committed only together with a later entry of the current term.
        if index <= self.commit_index || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit_to(index);
        let members_index = self.log.members_index();
        if members_index <= index && !self.log.members().is_voter(self.identity) {
            self.step_down(now);
            self.emit_role_change();
            return;
        }
        self.start_reads(now);
    }

    pub(super) fn change_member(&mut self, now: Micros, ticket: u64, change: MemberChange) {
        let Role::Leader(leader) = &self.role else {
            self.reject(ticket, RejectReason::NotLeader { leader: self.leader });
            return;
        };
        // The first entry of the term must be committed before a change; otherwise two leaders could
        // each change one member and commit with majorities that do not overlap.
        if self.log.members_index() > self.commit_index || leader.term_start > self.commit_index {
            self.reject(ticket, RejectReason::ChangePending);
            return;
        }
        match changed_members(self.log.members(), change) {
            Ok(members) => {
                let index = self.change_members(now, members);
                if let Role::Leader(leader) = &mut self.role {
                    leader.pending.insert(index, ticket);
                }
                self.advance_commit(now);
            }
            Err(text) => self.reject(ticket, RejectReason::InvalidChange(text)),
        }
    }

    /// Appends a new set of members, which takes effect at once, and returns the entry's index.
    fn change_members(&mut self, now: Micros, members: MemberSet) -> u64 {
        self.append_payloads(vec![EntryPayload::Members(members)]);
        let last_index = self.log.last_index();
        let members = self.log.members().clone();
        let Role::Leader(leader) = &mut self.role else { return last_index };
        leader.progress.retain(|identity, _| members.find(*identity).is_some());
        for record in members.records() {
            if record.identity != self.identity {
                leader
                    .progress
                    .entry(record.identity)
                    .or_insert_with(|| PeerProgress::new(last_index, now));
            }
        }
        self.replicate_all(now);
        last_index
    }

    /// Promotes a learner that has caught up to a voter, unless a member change is pending.
    fn promote_learner(&mut self, now: Micros, identity: ReplicaIdentity) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(record) = self.log.members().find(identity) else { return };
        let caught_up = leader.progress.get(&identity).is_some_and(|progress| {
            progress.match_index >= self.commit_index
                && now.since(progress.last_contact) < ELECTION_TIMEOUT_MIN
        });
        let members_committed =
            self.log.members_index().max(leader.term_start) <= self.commit_index;
        if record.voter || !caught_up || !members_committed {
            return;
        }
        let record = MemberRecord { voter: true, ..record.clone() };
        let members = self.log.members().with(record);
        self.change_members(now, members);
    }
}

fn changed_members(members: &MemberSet, change: MemberChange) -> Result<MemberSet, String> {
    match change {
        MemberChange::Add { host, address, identity } => {
            for record in members.records() {
                if record.identity == identity {
                    return Err(format!("replica {identity} is already a member"));
                }
                if record.host == host {
                    let old = record.identity;
                    return Err(format!("host {host} is a member under the identity {old}"));
                }
            }
            Ok(members.with(MemberRecord { host, address, identity, voter: false }))
        }
        MemberChange::Remove { identity } => {
            if members.find(identity).is_none() {
                return Err(format!("replica {identity} is not a member"));
            }
            let remaining = members.without(identity);
            if remaining.voters().next().is_none() {
                return Err("the last voter cannot be removed".to_owned());
            }
            Ok(remaining)
        }
    }
}
