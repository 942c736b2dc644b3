//! Elections: pre-votes, votes and stepping down.

use {
    super::{
        machine::{LogMachine, Role},
        types::{MessageBody, RejectReason, ReplicaIdentity},
    },
    crate::time::Micros,
    std::collections::BTreeSet,
};

impl LogMachine {
    /// Requests pre-votes, in which voters report whether they would grant a vote, without changing any
    /// term.
    ///
    /// A replica that returns from a network partition therefore cannot depose a working leader.
    pub(super) fn start_pre_vote(&mut self, now: Micros) {
        self.election_timer_start = now;
        self.role = Role::PreCandidate { votes: BTreeSet::from([self.identity]) };
        if self.leader.take().is_some() {
            self.emit_role_change();
        }
        self.request_votes(true, self.hard_state.term + 1);
        self.check_pre_votes(now);
    }

    pub(super) fn count_pre_vote(
        &mut self,
        now: Micros,
        from: ReplicaIdentity,
        term: u64,
        granted: bool,
    ) {
        if !granted || term != self.hard_state.term + 1 {
            return;
        }
        if let Role::PreCandidate { votes } = &mut self.role {
            votes.insert(from);
            self.check_pre_votes(now);
        }
    }

    fn check_pre_votes(&mut self, now: Micros) {
        if let Role::PreCandidate { votes } = &self.role
            && self.is_majority(votes)
        {
            self.start_election(now);
        }
    }

    fn start_election(&mut self, now: Micros) {
        self.election_timer_start = now;
        let term = self.hard_state.term + 1;
        self.begin_term(term, Some(self.identity));
        self.role = Role::Candidate {
            votes: BTreeSet::new(),
            vote_sequence: self.issued_sequence,
            started: now,
        };
        self.emit_role_change();
        self.request_votes(false, term);
    }

    fn request_votes(&mut self, pre_vote: bool, term: u64) {
        let body = MessageBody::VoteRequest {
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let voters: Vec<ReplicaIdentity> = self.log.members().voters().collect();
        for voter in voters {
            if voter != self.identity {
                self.send_synced(voter, term, body.clone());
            }
        }
    }

    /// Processes a vote request; `last` is the candidate's last term and index.
    pub(super) fn handle_vote_request(
        &mut self,
        now: Micros,
        from: ReplicaIdentity,
        term: u64,
        pre_vote: bool,
        last: (u64, u64),
    ) {
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let recent_leader = self.has_recent_leader(now);
        if pre_vote {
            let granted = term > self.hard_state.term && up_to_date && !recent_leader;
            let term = if granted { term } else { self.hard_state.term };
            self.send_synced(from, term, MessageBody::VoteReply { pre_vote, granted });
            return;
        }
        if term > self.hard_state.term {
            if recent_leader {
                return;
            }
            self.adopt_term(now, term);
        }
        let vote_available = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted =
            term == self.hard_state.term && vote_available && up_to_date && self.leader.is_none();
        if granted {
            self.election_timer_start = now;
            self.role = Role::Follower;
            if self.hard_state.vote.is_none() {
                self.set_term(term, Some(from));
            }
        }
        let term = self.hard_state.term;
        self.send_synced(from, term, MessageBody::VoteReply { pre_vote, granted });
    }

    pub(super) fn count_vote(&mut self, now: Micros, from: ReplicaIdentity) {
        if let Role::Candidate { votes, .. } = &mut self.role {
            votes.insert(from);
            self.finish_election(now);
        }
    }

    /// Becomes leader once a majority has granted its vote, including this replica's own durable vote.
    pub(super) fn finish_election(&mut self, now: Micros) {
        let Role::Candidate { votes, vote_sequence, started } = &self.role else { return };
        if *vote_sequence <= self.synced_sequence && self.is_majority(votes) {
            let started = *started;
            self.become_leader(now, started);
        }
    }

    fn is_majority(&self, votes: &BTreeSet<ReplicaIdentity>) -> bool {
        let members = self.log.members();
        let count = members.voters().filter(|voter| votes.contains(voter)).count();
        count >= members.majority()
    }

    /// Returns to follower; a leader rejects all its pending proposals and reads.
    pub(super) fn step_down(&mut self, now: Micros) {
        self.leader = None;
        let role = std::mem::replace(&mut self.role, Role::Follower);
        let Role::Leader(state) = role else { return };
        self.election_timer_start = now;
        for ticket in state.pending.into_values() {
            self.reject(ticket, RejectReason::OutcomeUnknown);
        }
        for ticket in state.reads.into_tickets() {
            self.reject(ticket, RejectReason::NoMajority);
        }
    }
}
