//! Follower: incoming messages, appends and snapshots from a leader.

use {
    super::{
        entry_log::EntryLog,
        machine::{LogMachine, Role},
        types::{
            LogEntry, LogOutput, MessageBody, PeerMessage, ReplicaIdentity, SnapshotImage,
            StorageWrite,
        },
    },
    crate::time::Micros,
};

impl LogMachine {
    pub(super) fn receive(&mut self, now: Micros, message: PeerMessage) {
        if message.to != self.identity || message.from == self.identity {
            return;
        }
        let PeerMessage { from, term, body, .. } = message;
        if let MessageBody::VoteRequest { pre_vote, last_index, last_term } = body {
            self.handle_vote_request(now, from, term, pre_vote, (last_term, last_index));
            return;
        }
        let pre_vote_granted =
            matches!(body, MessageBody::VoteReply { pre_vote: true, granted: true });
        if term > self.hard_state.term && !pre_vote_granted {
            self.adopt_term(now, term);
        }
        let is_current_term = term == self.hard_state.term;
        match body {
            MessageBody::VoteRequest { .. } => {}
            MessageBody::VoteReply { pre_vote: true, granted } => {
                self.count_pre_vote(now, from, term, granted);
            }
            MessageBody::VoteReply { pre_vote: false, granted } => {
                if is_current_term && granted {
                    self.count_vote(now, from);
                }
            }
            MessageBody::AppendReply { success, match_index, conflict_index, round } => {
                if is_current_term {
                    self.handle_append_reply(
                        now,
                        from,
                        success,
                        (match_index, conflict_index),
                        round,
                    );
                }
            }
            MessageBody::AppendRequest {
                previous_index,
                previous_term,
                entries,
                commit_index,
                round,
            } => {
                if !is_current_term || self.is_leading() {
                    self.reject_append(from, previous_index, self.log.last_index() + 1, round);
                    return;
                }
                self.accept_leader(now, from, round);
                self.handle_append(
                    from,
                    (previous_index, previous_term),
                    entries,
                    commit_index,
                    round,
                );
            }
            MessageBody::SnapshotRequest { image, round } => {
                if !is_current_term || self.is_leading() {
                    self.reject_append(from, image.index, self.log.last_index() + 1, round);
                    return;
                }
                self.accept_leader(now, from, round);
                self.install_snapshot(from, image);
            }
        }
    }

    /// Accepts the sender as leader of the current term.
    fn accept_leader(&mut self, now: Micros, from: ReplicaIdentity, round: u64) {
        self.election_timer_start = now;
        self.last_leader_contact = Some(now);
        self.leader_round = self.leader_round.max(round);
        if !matches!(self.role, Role::Follower) || self.leader != Some(from) {
            self.role = Role::Follower;
            self.leader = Some(from);
            self.emit_role_change();
        }
    }

    fn handle_append(
        &mut self,
        from: ReplicaIdentity,
        previous: (u64, u64),
        entries: Vec<LogEntry>,
        commit_index: u64,
        round: u64,
    ) {
        let (previous_index, previous_term) = previous;
        // Committed entries match the log of every leader.
        let matches = previous_index <= self.commit_index
            || self.log.term_at(previous_index) == Some(previous_term);
        if !matches {
            let last = self.log.last_index();
            let conflict = if previous_index > last {
                last + 1
            } else {
                self.log.first_of_term(previous_index).max(self.commit_index + 1)
            };
            self.reject_append(from, previous_index, conflict, round);
            return;
        }
        let mut matched = previous_index;
        let mut new_entries = Vec::new();
        for entry in entries {
            matched = entry.index;
            if entry.index <= self.commit_index {
                continue;
            }
            if new_entries.is_empty() && self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            new_entries.push(entry);
        }
        let has_entries = matched > previous_index;
        if let Some(first) = new_entries.first() {
            if first.index <= self.log.last_index() {
                self.truncate(first.index);
            }
            self.append_entries(new_entries);
        }
        self.leader_match = self.leader_match.max(matched);
        self.commit_to(commit_index.min(self.leader_match));
        if has_entries && self.leader_match > self.synced_index {
            self.reply_due = true;
        } else {
            self.reply_append();
        }
    }

    /// Acknowledges the durable entries to the leader, or defers the reply until the term is durable.
    pub(super) fn reply_append(&mut self) {
        if self.synced_sequence < self.hard_state_sequence {
            self.reply_due = true;
            return;
        }
        let Some(leader) = self.leader else { return };
        self.reply_due = self.leader_match > self.synced_index;
        let body = MessageBody::AppendReply {
            success: true,
            match_index: self.leader_match.min(self.synced_index),
            conflict_index: 0,
            round: self.leader_round,
        };
        self.send_now(leader, body);
    }

    fn reject_append(
        &mut self,
        to: ReplicaIdentity,
        previous_index: u64,
        conflict_index: u64,
        round: u64,
    ) {
        let body = MessageBody::AppendReply {
            success: false,
            match_index: previous_index,
            conflict_index,
            round,
        };
        self.send_synced(to, self.hard_state.term, body);
    }

    fn install_snapshot(&mut self, from: ReplicaIdentity, image: SnapshotImage) {
        // A delayed copy must not remove entries after the snapshot that were already acknowledged.
        if self.log.term_at(image.index) == Some(image.term) {
            self.leader_match = self.leader_match.max(image.index);
            self.commit_to(image.index);
        }
        if image.index > self.commit_index {
            self.log = EntryLog::new(image.index, image.term, image.members.clone());
            self.commit_index = image.index;
            self.leader_match = image.index;
            self.synced_index = 0;
            self.unsynced.clear();
            self.snapshot = image.clone();
            let sequence = self.write(StorageWrite::Install(image.clone()));
            self.unsynced.push_back((sequence, image.index));
            self.outputs.push(LogOutput::Restore(image));
            self.emit_member_change();
            self.reply_due = true;
        } else {
            self.leader_match = self.leader_match.max(image.index);
            debug_assert_eq!(self.leader, Some(from));
            self.reply_append();
        }
    }
}
