//! Rules of the replicated log, each tested against the failure that it prevents.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    banyansill_core::{
        consensus::{
            ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, EntryPayload, HardState, LogEntry,
            LogInput, LogMachine, LogOutput, LogProposal, MAX_APPENDS_IN_FLIGHT, MemberChange,
            MemberRecord, MemberSet, MessageBody, PeerMessage, RETAINED_ENTRIES, RejectReason,
            ReplicaIdentity, RestoredLog, SnapshotImage, StorageWrite,
        },
        names::SharedName,
        time::Micros,
    },
    bytes::Bytes,
    std::collections::{BTreeSet, VecDeque},
};

const STEP: Micros = Micros::from_millis(10);

fn record(number: u64, voter: bool) -> MemberRecord {
    let host = SharedName::from(format!("host-{number}"));
    let identity = ReplicaIdentity(number);
    MemberRecord { host, address: SharedName::default(), identity, voter }
}

fn members(count: u64) -> MemberSet {
    MemberSet::new(1, (1..=count).map(|number| record(number, true)).collect())
}

fn command(text: &str) -> EntryPayload {
    EntryPayload::Command(Bytes::copy_from_slice(text.as_bytes()))
}

/// Returns a log whose first entry sets the members, followed by commands of the given terms.
fn restored(count: u64, terms: &[u64]) -> RestoredLog {
    let mut entries =
        vec![LogEntry { term: 1, index: 1, payload: EntryPayload::Members(members(count)) }];
    for (index, term) in (2..).zip(terms) {
        entries.push(LogEntry { term: *term, index, payload: command(&format!("{index}")) });
    }
    let term = terms.last().copied().unwrap_or(1);
    let hard_state = HardState { term, vote: None, commit: 0 };
    RestoredLog { hard_state, entries, ..RestoredLog::default() }
}

const fn message(from: u64, to: u64, term: u64, body: MessageBody) -> LogInput {
    let (from, to) = (ReplicaIdentity(from), ReplicaIdentity(to));
    LogInput::Received(PeerMessage { from, to, term, body })
}

const fn heartbeat(previous: (u64, u64), entries: Vec<LogEntry>) -> MessageBody {
    MessageBody::AppendRequest {
        previous_index: previous.0,
        previous_term: previous.1,
        entries,
        commit_index: 0,
        round: 1,
    }
}

fn sent(outputs: &[LogOutput]) -> Vec<&MessageBody> {
    let mut bodies = Vec::new();
    for output in outputs {
        if let LogOutput::Send(message) = output {
            bodies.push(&message.body);
        }
    }
    bodies
}

/// Replicas with disks and a network without delay; identities count from 1.
struct TestCluster {
    now: Micros,
    machines: Vec<LogMachine>,
    /// Replicas whose messages are dropped in both directions.
    isolated: BTreeSet<u64>,
    network: VecDeque<PeerMessage>,
    /// Outputs other than messages and writes.
    outcomes: Vec<LogOutput>,
    /// Number of messages delivered so far.
    delivered: usize,
}

impl TestCluster {
    fn new(logs: Vec<RestoredLog>) -> Self {
        let mut machines = Vec::new();
        for (number, log) in (1..).zip(logs) {
            // The first machine has the shortest election timeout.
            let random = if number == 1 { 0 } else { 300_000 };
            machines.push(LogMachine::new(ReplicaIdentity(number), log, Micros::ZERO, random));
        }
        Self {
            now: Micros::ZERO,
            machines,
            isolated: BTreeSet::new(),
            network: VecDeque::new(),
            outcomes: Vec::new(),
            delivered: 0,
        }
    }

    fn step(&mut self, number: u64, input: LogInput) {
        let outputs = self.machines[number as usize - 1].step(self.now, input);
        self.collect(number, outputs);
        self.deliver();
    }

    fn collect(&mut self, number: u64, outputs: Vec<LogOutput>) {
        let mut last = None;
        for output in outputs {
            match output {
                LogOutput::Send(message) => self.network.push_back(message),
                LogOutput::Write { sequence, .. } => last = Some(sequence),
                other => self.outcomes.push(other),
            }
        }
        if let Some(sequence) = last {
            let input = LogInput::Synced { sequence };
            let outputs = self.machines[number as usize - 1].step(self.now, input);
            self.collect(number, outputs);
        }
    }

    fn deliver(&mut self) {
        while let Some(message) = self.network.pop_front() {
            let (from, to) = (message.from.0, message.to.0);
            if self.isolated.contains(&from) || self.isolated.contains(&to) {
                continue;
            }
            self.delivered += 1;
            let outputs =
                self.machines[to as usize - 1].step(self.now, LogInput::Received(message));
            self.collect(to, outputs);
        }
    }

    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for number in 1..=self.machines.len() as u64 {
                self.step(number, LogInput::Tick { random: number * 90_000 });
            }
        }
    }

    fn with_leader(logs: Vec<RestoredLog>) -> Self {
        let mut cluster = Self::new(logs);
        cluster.run(Micros::from_millis(500));
        assert!(cluster.machines[0].is_leading());
        cluster
    }

    fn propose(&mut self, number: u64, count: u64) {
        let mut proposals = Vec::new();
        for ticket in 1..=count {
            proposals.push(LogProposal { ticket, command: Bytes::from_static(b"x") });
        }
        self.step(number, LogInput::Propose(proposals));
    }

    fn rejected(&self, ticket: u64) -> Option<&RejectReason> {
        self.outcomes.iter().rev().find_map(|outcome| match outcome {
            LogOutput::Rejected { ticket: found, reason } if *found == ticket => Some(reason),
            _ => None,
        })
    }

    fn confirmations(&self) -> usize {
        let confirmed = |output: &&LogOutput| matches!(output, LogOutput::ReadConfirmed { .. });
        self.outcomes.iter().filter(confirmed).count()
    }
}

/// Guards against a leader that is paused during a confirmation round and then confirms a read with
/// replies that were sent before the pause.
#[test]
fn paused_leader_confirms_no_read() {
    let mut cluster = TestCluster::with_leader(vec![restored(3, &[]); 3]);
    let outputs = cluster.machines[0].step(cluster.now, LogInput::ConfirmRead { ticket: 7 });
    let mut replies = Vec::new();
    for output in outputs {
        if let LogOutput::Send(message) = output {
            let to = message.to.0 as usize - 1;
            for reply in cluster.machines[to].step(cluster.now, LogInput::Received(message)) {
                if let LogOutput::Send(reply) = reply {
                    replies.push(reply);
                }
            }
        }
    }
    assert_eq!(replies.len(), 2);
    let mut in_time = cluster.machines[0].clone();
    let outputs = in_time.step(cluster.now, LogInput::Received(replies[0].clone()));
    let valid = LogOutput::ReadConfirmed {
        ticket: 7,
        index: 2,
        valid_until: cluster.now + ELECTION_TIMEOUT_MIN,
    };
    assert!(outputs.contains(&valid), "{outputs:?}");
    let resumed = cluster.now + ELECTION_TIMEOUT_MAX + STEP;
    let outputs = cluster.machines[0].step(resumed, LogInput::Received(replies[0].clone()));
    let refused = LogOutput::Rejected { ticket: 7, reason: RejectReason::NoMajority };
    assert!(outputs.contains(&refused) && !cluster.machines[0].is_leading(), "{outputs:?}");
    assert!(sent(&outputs).is_empty());
}

/// Guards against a leader that counts old replies, which it receives late, as recent contact with its
/// followers.
#[test]
fn contact_counts_from_the_send_time_of_the_round() {
    let mut cluster = TestCluster::with_leader(vec![restored(3, &[]); 3]);
    let reply =
        MessageBody::AppendReply { success: true, match_index: 2, conflict_index: 0, round: 1 };
    // Replies to the first round, received shortly before the leader's contact expires.
    let pause = Micros(ELECTION_TIMEOUT_MAX.0 - 2 * STEP.0);
    let leader = &mut cluster.machines[0];
    let term = leader.hard_state().term;
    for from in [2, 3] {
        leader.step(cluster.now + pause, message(from, 1, term, reply.clone()));
    }
    leader.step(cluster.now + ELECTION_TIMEOUT_MAX + STEP, LogInput::Tick { random: 0 });
    assert!(!leader.is_leading());
}

/// Guards against a leader that counts its own entries towards the majority before they are synced, and
/// against a new leader that serves reads before it knows which entries are committed.
#[test]
fn commits_and_reads_wait_for_own_sync() {
    let mut machine = LogMachine::new(ReplicaIdentity(1), restored(3, &[1]), Micros::ZERO, 0);
    let now = ELECTION_TIMEOUT_MIN;
    machine.step(now, LogInput::Tick { random: 0 });
    let granted = |pre_vote| MessageBody::VoteReply { pre_vote, granted: true };
    machine.step(now, message(2, 1, 2, granted(true)));
    machine.step(now, LogInput::Synced { sequence: 1 });
    machine.step(now, message(2, 1, 2, granted(false)));
    assert!(machine.is_leading());
    let mut outputs = machine.step(now, LogInput::ConfirmRead { ticket: 1 });
    for (match_index, round) in [(2, 1), (2, 2), (2, 9), (3, 1)] {
        let body =
            MessageBody::AppendReply { success: true, match_index, conflict_index: 0, round };
        outputs.extend(machine.step(now, message(2, 1, 2, body)));
    }
    assert_eq!(machine.commit_index(), 0, "the majority includes this replica's own disk");
    outputs.extend(machine.step(now, LogInput::Synced { sequence: 2 }));
    assert_eq!(machine.commit_index(), 3);
    let confirmed = |output: &LogOutput| matches!(output, LogOutput::ReadConfirmed { .. });
    assert!(!outputs.iter().any(confirmed), "the round of the read is not acknowledged");
    let body =
        MessageBody::AppendReply { success: true, match_index: 3, conflict_index: 0, round: 2 };
    assert!(machine.step(now, message(2, 1, 2, body)).iter().any(confirmed));
}

/// Guards against entries that are acknowledged as synced after they were replaced by others at the same
/// indexes.
#[test]
fn replacing_entries_are_acknowledged_after_their_own_sync() {
    let log = restored(3, &[2, 2, 2, 2]);
    let mut machine = LogMachine::new(ReplicaIdentity(2), log, Micros::ZERO, 0);
    let entry = |index| LogEntry { term: 3, index, payload: command("new") };
    let entries = vec![entry(3), entry(4)];
    machine.step(STEP, message(1, 2, 3, heartbeat((2, 2), entries)));
    machine.step(STEP, LogInput::Synced { sequence: 1 });
    let outputs = machine.step(STEP, message(1, 2, 3, heartbeat((4, 3), vec![])));
    assert!(matches!(sent(&outputs)[..], [MessageBody::AppendReply { match_index: 2, .. }]));
    let outputs = machine.step(STEP, LogInput::Synced { sequence: 3 });
    assert!(matches!(sent(&outputs)[..], [MessageBody::AppendReply { match_index: 4, .. }]));
}

/// Guards against a vote for a candidate whose log lacks committed entries, and against a vote while a
/// leader is active.
#[test]
fn votes_require_an_up_to_date_log_and_no_recent_leader() {
    let granted = |now: Micros, last_index, last_term, recent_leader: bool| {
        let log = restored(3, &[2, 2]);
        let mut machine = LogMachine::new(ReplicaIdentity(2), log, Micros::ZERO, 0);
        if recent_leader {
            machine.step(Micros::ZERO, message(3, 2, 2, heartbeat((3, 2), vec![])));
        }
        let request = MessageBody::VoteRequest { pre_vote: false, last_index, last_term };
        let mut outputs = machine.step(now, message(1, 2, 3, request));
        outputs.extend(machine.step(now, LogInput::Synced { sequence: 2 }));
        let vote = MessageBody::VoteReply { pre_vote: false, granted: true };
        sent(&outputs).contains(&&vote)
    };
    assert!(granted(STEP, 3, 2, false));
    assert!(!granted(STEP, 2, 2, false), "shorter log");
    assert!(!granted(STEP, 9, 1, false), "older last term");
    assert!(!granted(STEP, 3, 2, true), "recent message from a leader");
    assert!(granted(ELECTION_TIMEOUT_MIN + STEP, 3, 2, true));
}

/// Guards against a paused candidate that becomes leader with votes that it receives after the pause.
#[test]
fn paused_candidate_does_not_become_leader() {
    let mut machine = LogMachine::new(ReplicaIdentity(1), restored(3, &[]), Micros::ZERO, 0);
    machine.step(ELECTION_TIMEOUT_MIN, LogInput::Tick { random: 0 });
    let granted = |pre_vote| MessageBody::VoteReply { pre_vote, granted: true };
    machine.step(ELECTION_TIMEOUT_MIN, message(2, 1, 2, granted(true)));
    machine.step(ELECTION_TIMEOUT_MIN, LogInput::Synced { sequence: 1 });
    let mut in_time = machine.clone();
    in_time.step(ELECTION_TIMEOUT_MIN + STEP, message(2, 1, 2, granted(false)));
    assert!(in_time.is_leading());
    let late = ELECTION_TIMEOUT_MIN + ELECTION_TIMEOUT_MAX + STEP;
    machine.step(late, message(2, 1, 2, granted(false)));
    assert!(!machine.is_leading());
}

/// Guards against a replica that loses an election in the term for which it stood itself and takes the entries and the
/// round of the former leader for the new leader's: it would commit entries that no majority holds, and confirm rounds
/// that it has not received.
#[test]
fn a_lost_candidacy_forgets_the_former_leader() {
    let mut machine = LogMachine::new(ReplicaIdentity(2), restored(3, &[2]), Micros::ZERO, 0);
    let unreplicated = |index| LogEntry { term: 2, index, payload: command("former leader") };
    let append = |round, commit_index, entries| MessageBody::AppendRequest {
        previous_index: 2,
        previous_term: 2,
        entries,
        commit_index,
        round,
    };
    let entries = vec![unreplicated(3), unreplicated(4)];
    machine.step(STEP, message(1, 2, 2, append(90, 2, entries)));
    machine.step(STEP, LogInput::Synced { sequence: 1 });
    let elected = STEP + ELECTION_TIMEOUT_MAX;
    machine.step(elected, LogInput::Tick { random: 0 });
    let granted = MessageBody::VoteReply { pre_vote: true, granted: true };
    machine.step(elected, message(3, 2, 3, granted));
    assert_eq!(machine.hard_state().term, 3, "stands for election");
    machine.step(elected, LogInput::Synced { sequence: 9 });

    let outputs = machine.step(elected + STEP, message(3, 2, 3, append(4, 4, vec![])));
    let reply =
        MessageBody::AppendReply { success: true, match_index: 2, conflict_index: 0, round: 4 };
    assert_eq!(machine.leader(), Some(ReplicaIdentity(3)));
    assert_eq!(sent(&outputs), [&reply]);
    assert_eq!(machine.commit_index(), 2);
}

/// Guards against a sync of entries of a former leader that is reported to the winner of an election which this replica
/// lost.
#[test]
fn a_lost_candidacy_owes_the_new_leader_no_reply() {
    let mut machine = LogMachine::new(ReplicaIdentity(2), restored(3, &[2]), Micros::ZERO, 0);
    let entry = LogEntry { term: 2, index: 3, payload: command("former leader") };
    machine.step(STEP, message(1, 2, 2, heartbeat((2, 2), vec![entry])));
    let elected = STEP + ELECTION_TIMEOUT_MAX;
    machine.step(elected, LogInput::Tick { random: 0 });
    let granted = MessageBody::VoteReply { pre_vote: true, granted: true };
    machine.step(elected, message(3, 2, 3, granted));
    assert_eq!(machine.hard_state().term, 3, "stands for election");
    // Proves nothing about entry 3, whose predecessor differs here.
    machine.step(elected, message(3, 2, 3, heartbeat((9, 3), vec![])));
    let outputs = machine.step(elected, LogInput::Synced { sequence: 9 });
    for body in sent(&outputs) {
        let matched = matches!(body, MessageBody::AppendReply { success: true, .. });
        assert!(!matched, "{body:?}");
    }
}

/// Guards against votes and acknowledgements that are sent before they are durable, so that a crash could
/// revoke them.
#[test]
fn votes_and_appends_are_acknowledged_after_the_sync() {
    let mut machine = LogMachine::new(ReplicaIdentity(2), restored(3, &[]), Micros::ZERO, 0);
    let request = MessageBody::VoteRequest { pre_vote: false, last_index: 1, last_term: 1 };
    let outputs = machine.step(STEP, message(1, 2, 5, request.clone()));
    let vote =
        StorageWrite::HardState(HardState { term: 5, vote: Some(ReplicaIdentity(1)), commit: 0 });
    assert!(outputs.contains(&LogOutput::Write { sequence: 2, write: vote }), "{outputs:?}");
    assert!(sent(&outputs).is_empty());
    assert!(sent(&machine.step(STEP, LogInput::Synced { sequence: 1 })).is_empty());
    let outputs = machine.step(STEP, LogInput::Synced { sequence: 2 });
    assert_eq!(sent(&outputs), [&MessageBody::VoteReply { pre_vote: false, granted: true }]);
    let other = machine.step(STEP, message(3, 2, 5, request));
    assert_eq!(sent(&other), [&MessageBody::VoteReply { pre_vote: false, granted: false }]);
    let entry = LogEntry { term: 5, index: 2, payload: command("a") };
    let outputs = machine.step(STEP, message(1, 2, 5, heartbeat((1, 1), vec![entry])));
    assert!(sent(&outputs).is_empty());
    let reply = |match_index| MessageBody::AppendReply {
        success: true,
        match_index,
        conflict_index: 0,
        round: 1,
    };
    let outputs = machine.step(STEP, message(1, 2, 5, heartbeat((2, 5), vec![])));
    assert_eq!(sent(&outputs), [&reply(1)], "a heartbeat reports only what is synced");
    let outputs = machine.step(STEP, LogInput::Synced { sequence: 3 });
    assert_eq!(sent(&outputs), [&reply(2)]);
}

/// Guards against a replica with an empty disk that replies under the identity of the lost disk.
#[test]
fn messages_to_an_old_identity_are_dropped() {
    let mut machine = LogMachine::new(ReplicaIdentity(9), RestoredLog::default(), Micros::ZERO, 0);
    let request = MessageBody::VoteRequest { pre_vote: false, last_index: 1, last_term: 1 };
    assert!(machine.step(STEP, message(1, 2, 5, request)).is_empty());
    assert!(machine.step(STEP, message(1, 2, 5, heartbeat((0, 0), vec![]))).is_empty());
    assert!(machine.is_blank());
}

/// Guards against committing an entry of an earlier term that another leader can still replace.
#[test]
fn entries_of_earlier_terms_commit_only_with_one_of_the_current_term() {
    let mut leader = LogMachine::new(ReplicaIdentity(1), restored(3, &[2, 4]), Micros::ZERO, 0);
    let now = ELECTION_TIMEOUT_MIN;
    leader.step(now, LogInput::Tick { random: 0 });
    let granted = |pre_vote| MessageBody::VoteReply { pre_vote, granted: true };
    leader.step(now, message(2, 1, 5, granted(true)));
    leader.step(now, LogInput::Synced { sequence: 1 });
    leader.step(now, message(2, 1, 5, granted(false)));
    assert!(leader.is_leading());
    leader.step(now, LogInput::Synced { sequence: 2 });
    let reply = |match_index| MessageBody::AppendReply {
        success: true,
        match_index,
        conflict_index: 0,
        round: 1,
    };
    leader.step(now, message(2, 1, 5, reply(3)));
    assert_eq!(leader.commit_index(), 0);
    leader.step(now, message(2, 1, 5, reply(4)));
    assert_eq!(leader.commit_index(), 4);
}

/// Guards against a search for the common log prefix that takes one round trip per entry.
#[test]
fn backtracking_takes_a_round_trip_per_term() {
    let mut stale = vec![2; 200];
    stale.extend([3; 200]);
    let mut newer = vec![2; 100];
    newer.extend([5; 300]);
    let logs = vec![restored(3, &newer), restored(3, &stale), restored(3, &newer)];
    let mut cluster = TestCluster::new(logs);
    cluster.run(Micros::from_millis(400));
    cluster.run(Micros::from_millis(50));
    assert!(cluster.machines[0].is_leading());
    assert_eq!(cluster.machines[1].log().last_index(), cluster.machines[0].log().last_index());
    assert_eq!(cluster.machines[1].log().term_at(350), Some(5));
    assert!(cluster.delivered < 50, "{} messages", cluster.delivered);
}

/// Guards against unbounded growth of the appends in flight to a follower that does not reply, and of the
/// uncommitted entries.
#[test]
fn window_and_uncommitted_entries_are_bounded() {
    let mut cluster = TestCluster::with_leader(vec![restored(3, &[]); 3]);
    let mut appends = 0;
    for _ in 0..200 {
        let proposals = vec![LogProposal { ticket: 1, command: Bytes::from_static(b"x") }; 100];
        let outputs = cluster.machines[0].step(cluster.now, LogInput::Propose(proposals));
        appends += sent(&outputs).len();
    }
    assert_eq!(appends, 2 * MAX_APPENDS_IN_FLIGHT);
    assert!(cluster.machines[0].log().last_index() < 10_000);
}

/// Guards against one confirmation round per read, and against reads that are confirmed by a round that
/// started before them.
#[test]
fn concurrent_reads_share_rounds() {
    let mut cluster = TestCluster::with_leader(vec![restored(3, &[]); 3]);
    let mut outputs = Vec::new();
    for ticket in 0..100 {
        outputs.extend(cluster.machines[0].step(cluster.now, LogInput::ConfirmRead { ticket }));
    }
    assert_eq!(sent(&outputs).len(), 2, "one round for the first read");
    cluster.collect(1, outputs);
    cluster.deliver();
    assert_eq!(cluster.confirmations(), 100);
    assert!(cluster.delivered < 40, "{} messages", cluster.delivered);
    cluster.isolated.extend([2, 3]);
    cluster.step(1, LogInput::ConfirmRead { ticket: 100 });
    cluster.run(Micros::from_secs(2));
    assert_eq!(cluster.rejected(100), Some(&RejectReason::NoMajority));
    assert_eq!(cluster.confirmations(), 100);
}

/// Guards against an isolated leader that remains leader, and against a replica that deposes a working
/// leader when its partition ends.
#[test]
fn leader_without_majority_steps_down_and_does_not_return() {
    let mut cluster = TestCluster::with_leader(vec![restored(3, &[]); 3]);
    cluster.isolated.insert(1);
    cluster.propose(1, 1);
    cluster.run(ELECTION_TIMEOUT_MAX + STEP + STEP);
    assert!(!cluster.machines[0].is_leading());
    assert_eq!(cluster.rejected(1), Some(&RejectReason::OutcomeUnknown));
    cluster.run(Micros::from_secs(10));
    let term = cluster.machines[1].hard_state().term;
    assert!(cluster.machines[0].hard_state().term <= term, "pre-votes do not raise the term");
    cluster.isolated.clear();
    cluster.run(Micros::from_secs(3));
    assert_eq!(cluster.machines[0].hard_state().term, term);
    assert_eq!(cluster.machines[0].leader(), cluster.machines[1].leader());
}

/// Guards against a follower that never catches up because the entries that it lacks are compacted.
#[test]
fn follower_more_than_500_entries_behind_gets_a_snapshot() {
    let mut cluster = TestCluster::with_leader(vec![restored(3, &[]); 3]);
    cluster.isolated.insert(3);
    for _ in 0..8 {
        cluster.propose(1, 100);
    }
    let index = cluster.machines[0].commit_index();
    assert!(index > 800);
    let image = SnapshotImage { index, term: 2, members: members(3), data: Bytes::new() };
    cluster.step(1, LogInput::SnapshotSaved(image.clone()));
    assert_eq!(cluster.machines[0].log().base_index(), index - RETAINED_ENTRIES);
    cluster.isolated.clear();
    cluster.run(Micros::from_secs(1));
    cluster.propose(1, 10);
    cluster.run(Micros::from_secs(1));
    assert!(cluster.outcomes.contains(&LogOutput::Restore(image)));
    assert_eq!(cluster.machines[2].commit_index(), index + 10);
}

/// Guards against a delayed snapshot that removes entries which the follower has acknowledged.
#[test]
fn late_snapshot_keeps_acknowledged_entries() {
    let log = restored(3, &[2, 2, 2, 2]);
    let mut machine = LogMachine::new(ReplicaIdentity(2), log, Micros::ZERO, 0);
    let image = SnapshotImage { index: 3, term: 2, members: members(3), data: Bytes::new() };
    let body = MessageBody::SnapshotRequest { image, round: 1 };
    let outputs = machine.step(STEP, message(1, 2, 2, body));
    assert_eq!((machine.log().last_index(), machine.commit_index()), (5, 3));
    assert!(matches!(sent(&outputs)[..], [MessageBody::AppendReply { match_index: 3, .. }]));
}

/// Guards against majorities that do not overlap while members change, and against learners or removed
/// replicas that count towards majorities.
#[test]
fn members_change_one_at_a_time() {
    let mut cluster = TestCluster::with_leader(vec![
        restored(3, &[]),
        restored(3, &[]),
        restored(3, &[]),
        RestoredLog::default(),
    ]);
    let add = MemberChange::Add {
        host: SharedName::from("host-4"),
        address: SharedName::default(),
        identity: ReplicaIdentity(4),
    };
    cluster.isolated.insert(4);
    cluster.step(1, LogInput::ChangeMember { ticket: 1, change: add.clone() });
    cluster.run(Micros::from_secs(2));
    let learner = cluster.machines[0].members().find(ReplicaIdentity(4)).unwrap();
    assert!(!learner.voter, "an unreachable learner is not promoted");
    cluster.isolated.extend([2, 3]);
    let remove = |identity| MemberChange::Remove { identity: ReplicaIdentity(identity) };
    cluster.step(1, LogInput::ChangeMember { ticket: 2, change: remove(2) });
    cluster.step(1, LogInput::ChangeMember { ticket: 3, change: remove(3) });
    assert_eq!(cluster.rejected(3), Some(&RejectReason::ChangePending));
    cluster.isolated.clear();
    cluster.run(Micros::from_secs(2));
    let voters: Vec<u64> = cluster.machines[0].members().voters().map(|voter| voter.0).collect();
    assert_eq!(voters, [1, 3, 4], "the learner caught up and became a voter");
    cluster.step(1, LogInput::ChangeMember { ticket: 4, change: add });
    assert!(matches!(cluster.rejected(4), Some(RejectReason::InvalidChange(_))));
    let term = cluster.machines[0].hard_state().term;
    cluster.run(Micros::from_secs(3));
    assert_eq!(
        cluster.machines[0].hard_state().term,
        term,
        "the removed replica triggers no election"
    );
    cluster.step(1, LogInput::ChangeMember { ticket: 5, change: remove(1) });
    assert!(!cluster.machines[0].is_leading(), "a removed leader steps down after the commit");
    cluster.run(Micros::from_secs(3));
    assert!(cluster.machines[2].is_leading() != cluster.machines[3].is_leading());
    assert!(!cluster.machines[0].is_leading() && !cluster.machines[1].is_leading());
}

/// Guards against a replica that still votes, acknowledges entries or leads after its disk has failed.
#[test]
fn failed_disk_is_final() {
    let mut cluster = TestCluster::with_leader(vec![restored(3, &[]); 3]);
    cluster.step(1, LogInput::DiskFailed);
    cluster.step(1, LogInput::ConfirmRead { ticket: 1 });
    cluster.propose(1, 1);
    assert!(!cluster.machines[0].is_leading());
    assert_eq!(cluster.rejected(1), Some(&RejectReason::DiskFailed));
    let request = MessageBody::VoteRequest { pre_vote: false, last_index: 99, last_term: 9 };
    assert!(cluster.machines[0].step(cluster.now, message(2, 1, 9, request)).is_empty());
    assert!(cluster.machines[0].step(cluster.now, LogInput::Synced { sequence: 99 }).is_empty());
    cluster.run(Micros::from_secs(3));
    assert!(!cluster.machines[0].is_leading());
    assert!(cluster.machines[1].is_leading() || cluster.machines[2].is_leading());
}

/// Guards against a bootstrap that replaces an existing log.
#[test]
fn only_a_blank_replica_bootstraps_a_cluster() {
    let mut machine = LogMachine::new(ReplicaIdentity(1), restored(3, &[]), Micros::ZERO, 0);
    assert!(machine.step(STEP, LogInput::Bootstrap(members(1))).is_empty());
    let mut cluster = TestCluster::new(vec![RestoredLog::default(); 3]);
    cluster.step(1, LogInput::Bootstrap(members(3)));
    cluster.run(STEP + STEP);
    assert!(
        cluster.machines[0].is_leading(),
        "the bootstrapped replica starts an election at once"
    );
    assert_eq!(cluster.machines[2].members().records().len(), 3);
}
