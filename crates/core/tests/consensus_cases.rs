//! Single rules of the log machine, each against the failure that it prevents.

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

/// Log whose first entry puts the members in force, followed by commands of the given terms.
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

/// Machines with instant disks and an instant network; identities count from 1.
struct Lab {
    now: Micros,
    machines: Vec<LogMachine>,
    cut: BTreeSet<u64>,
    network: VecDeque<PeerMessage>,
    outcomes: Vec<LogOutput>,
    /// Messages delivered so far.
    delivered: usize,
}

impl Lab {
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
            cut: BTreeSet::new(),
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
            if self.cut.contains(&from) || self.cut.contains(&to) {
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

    fn elected(logs: Vec<RestoredLog>) -> Self {
        let mut lab = Self::new(logs);
        lab.run(Micros::from_millis(500));
        assert!(lab.machines[0].is_leading());
        lab
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

/// Guards against a leader that confirms with answers that were given before it was paused.
#[test]
fn paused_leader_confirms_nothing() {
    let mut lab = Lab::elected(vec![restored(3, &[]); 3]);
    let outputs = lab.machines[0].step(lab.now, LogInput::ConfirmRead { ticket: 7 });
    let mut replies = Vec::new();
    for output in outputs {
        if let LogOutput::Send(message) = output {
            let to = message.to.0 as usize - 1;
            for reply in lab.machines[to].step(lab.now, LogInput::Received(message)) {
                if let LogOutput::Send(reply) = reply {
                    replies.push(reply);
                }
            }
        }
    }
    assert_eq!(replies.len(), 2);
    let mut in_time = lab.machines[0].clone();
    let outputs = in_time.step(lab.now, LogInput::Received(replies[0].clone()));
    let valid = LogOutput::ReadConfirmed {
        ticket: 7,
        index: 2,
        valid_until: lab.now + ELECTION_TIMEOUT_MIN,
    };
    assert!(outputs.contains(&valid), "{outputs:?}");
    let resumed = lab.now + ELECTION_TIMEOUT_MAX + STEP;
    let outputs = lab.machines[0].step(resumed, LogInput::Received(replies[0].clone()));
    let refused = LogOutput::Rejected { ticket: 7, reason: RejectReason::NoMajority };
    assert!(outputs.contains(&refused) && !lab.machines[0].is_leading(), "{outputs:?}");
    assert!(sent(&outputs).is_empty());
}

/// Guards against a pause that counts as contact because old answers are read after it.
#[test]
fn contact_counts_from_the_send_time_of_the_round() {
    let mut lab = Lab::elected(vec![restored(3, &[]); 3]);
    let reply =
        MessageBody::AppendReply { success: true, match_index: 2, conflict_index: 0, round: 1 };
    // Answers to the first round, which wait until the leader's contact has almost expired.
    let pause = Micros(ELECTION_TIMEOUT_MAX.0 - 2 * STEP.0);
    let leader = &mut lab.machines[0];
    let term = leader.hard_state().term;
    for from in [2, 3] {
        leader.step(lab.now + pause, message(from, 1, term, reply.clone()));
    }
    leader.step(lab.now + ELECTION_TIMEOUT_MAX + STEP, LogInput::Tick { random: 0 });
    assert!(!leader.is_leading());
}

/// Guards against a leader that counts its own entries before they are synced, and against reads
/// that a new leader serves before it knows what is committed.
#[test]
fn commit_and_reads_wait_for_the_own_sync() {
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
    assert!(!outputs.iter().any(confirmed), "the read's round has not been answered");
    let body =
        MessageBody::AppendReply { success: true, match_index: 3, conflict_index: 0, round: 2 };
    assert!(machine.step(now, message(2, 1, 2, body)).iter().any(confirmed));
}

/// Guards against replaced entries that still count as synced.
#[test]
fn replaced_entries_are_reported_after_their_own_sync() {
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

/// Guards against a vote for a candidate whose log lacks committed entries, and against a vote
/// while a leader works.
#[test]
fn votes_need_a_complete_log_and_a_silent_leader() {
    let granted = |now: Micros, last_index, last_term, heard: bool| {
        let log = restored(3, &[2, 2]);
        let mut machine = LogMachine::new(ReplicaIdentity(2), log, Micros::ZERO, 0);
        if heard {
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
    assert!(!granted(STEP, 3, 2, true), "leader heard just now");
    assert!(granted(ELECTION_TIMEOUT_MIN + STEP, 3, 2, true));
}

/// Guards against a candidate that leads with votes that waited during a pause.
#[test]
fn paused_candidate_does_not_lead() {
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

/// Guards against a vote or an acknowledgement that a crash could take back.
#[test]
fn votes_and_appends_are_answered_after_the_sync() {
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

/// Guards against an empty disk that answers for the one that was lost.
#[test]
fn messages_to_an_old_identity_are_dropped() {
    let mut machine = LogMachine::new(ReplicaIdentity(9), RestoredLog::default(), Micros::ZERO, 0);
    let request = MessageBody::VoteRequest { pre_vote: false, last_index: 1, last_term: 1 };
    assert!(machine.step(STEP, message(1, 2, 5, request)).is_empty());
    assert!(machine.step(STEP, message(1, 2, 5, heartbeat((0, 0), vec![]))).is_empty());
    assert!(machine.is_blank());
}

/// Guards against the commit of an entry of an earlier term that another leader can still replace.
#[test]
fn entries_of_earlier_terms_commit_only_with_an_own_one() {
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

/// Guards against a search for the common prefix that takes a round trip per entry.
#[test]
fn backtracking_takes_a_round_trip_per_term() {
    let mut stale = vec![2; 200];
    stale.extend([3; 200]);
    let mut newer = vec![2; 100];
    newer.extend([5; 300]);
    let logs = vec![restored(3, &newer), restored(3, &stale), restored(3, &newer)];
    let mut lab = Lab::new(logs);
    lab.run(Micros::from_millis(400));
    lab.run(Micros::from_millis(50));
    assert!(lab.machines[0].is_leading());
    assert_eq!(lab.machines[1].log().last_index(), lab.machines[0].log().last_index());
    assert_eq!(lab.machines[1].log().term_at(350), Some(5));
    assert!(lab.delivered < 50, "{} messages", lab.delivered);
}

/// Guards against appends in flight that grow without a bound towards a silent follower, and
/// against proposals that do.
#[test]
fn window_and_uncommitted_entries_are_bounded() {
    let mut lab = Lab::elected(vec![restored(3, &[]); 3]);
    let mut appends = 0;
    for _ in 0..200 {
        let proposals = vec![LogProposal { ticket: 1, command: Bytes::from_static(b"x") }; 100];
        let outputs = lab.machines[0].step(lab.now, LogInput::Propose(proposals));
        appends += sent(&outputs).len();
    }
    assert_eq!(appends, 2 * MAX_APPENDS_IN_FLIGHT);
    assert!(lab.machines[0].log().last_index() < 10_000);
}

/// Guards against one round per read, and against reads that are answered by a round that started
/// before them.
#[test]
fn concurrent_reads_share_rounds() {
    let mut lab = Lab::elected(vec![restored(3, &[]); 3]);
    let mut outputs = Vec::new();
    for ticket in 0..100 {
        outputs.extend(lab.machines[0].step(lab.now, LogInput::ConfirmRead { ticket }));
    }
    assert_eq!(sent(&outputs).len(), 2, "one round for the first read");
    lab.collect(1, outputs);
    lab.deliver();
    assert_eq!(lab.confirmations(), 100);
    assert!(lab.delivered < 40, "{} messages", lab.delivered);
    lab.cut.extend([2, 3]);
    lab.step(1, LogInput::ConfirmRead { ticket: 100 });
    lab.run(Micros::from_secs(2));
    assert_eq!(lab.rejected(100), Some(&RejectReason::NoMajority));
    assert_eq!(lab.confirmations(), 100);
}

/// Guards against a cut-off leader that goes on leading and against a replica that deposes a
/// working leader when its partition ends.
#[test]
fn leader_without_majority_steps_down_and_does_not_return() {
    let mut lab = Lab::elected(vec![restored(3, &[]); 3]);
    lab.cut.insert(1);
    lab.propose(1, 1);
    lab.run(ELECTION_TIMEOUT_MAX + STEP + STEP);
    assert!(!lab.machines[0].is_leading());
    assert_eq!(lab.rejected(1), Some(&RejectReason::OutcomeUnknown));
    lab.run(Micros::from_secs(10));
    let term = lab.machines[1].hard_state().term;
    assert!(lab.machines[0].hard_state().term <= term, "pre-votes raise no term");
    lab.cut.clear();
    lab.run(Micros::from_secs(3));
    assert_eq!(lab.machines[0].hard_state().term, term);
    assert_eq!(lab.machines[0].leader(), lab.machines[1].leader());
}

/// Guards against a follower that stays behind once the entries it lacks are compacted.
#[test]
fn follower_more_than_500_entries_behind_gets_a_snapshot() {
    let mut lab = Lab::elected(vec![restored(3, &[]); 3]);
    lab.cut.insert(3);
    for _ in 0..8 {
        lab.propose(1, 100);
    }
    let index = lab.machines[0].commit_index();
    assert!(index > 800);
    let image = SnapshotImage { index, term: 2, members: members(3), data: Bytes::new() };
    lab.step(1, LogInput::SnapshotSaved(image.clone()));
    assert_eq!(lab.machines[0].log().base_index(), index - RETAINED_ENTRIES);
    lab.cut.clear();
    lab.run(Micros::from_secs(1));
    lab.propose(1, 10);
    lab.run(Micros::from_secs(1));
    assert!(lab.outcomes.contains(&LogOutput::Restore(image)));
    assert_eq!(lab.machines[2].commit_index(), index + 10);
}

/// Guards against a late snapshot that removes entries which the follower has acknowledged.
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

/// Guards against majorities that do not overlap while members change, and against learners or
/// removed replicas that count.
#[test]
fn members_change_one_at_a_time() {
    let mut lab = Lab::elected(vec![
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
    lab.cut.insert(4);
    lab.step(1, LogInput::ChangeMember { ticket: 1, change: add.clone() });
    lab.run(Micros::from_secs(2));
    let learner = lab.machines[0].members().find(ReplicaIdentity(4)).unwrap();
    assert!(!learner.voter, "a silent learner stays one");
    lab.cut.extend([2, 3]);
    let remove = |identity| MemberChange::Remove { identity: ReplicaIdentity(identity) };
    lab.step(1, LogInput::ChangeMember { ticket: 2, change: remove(2) });
    lab.step(1, LogInput::ChangeMember { ticket: 3, change: remove(3) });
    assert_eq!(lab.rejected(3), Some(&RejectReason::ChangePending));
    lab.cut.clear();
    lab.run(Micros::from_secs(2));
    let voters: Vec<u64> = lab.machines[0].members().voters().map(|voter| voter.0).collect();
    assert_eq!(voters, [1, 3, 4], "the learner caught up and became a voter");
    lab.step(1, LogInput::ChangeMember { ticket: 4, change: add });
    assert!(matches!(lab.rejected(4), Some(RejectReason::InvalidChange(_))));
    let term = lab.machines[0].hard_state().term;
    lab.run(Micros::from_secs(3));
    assert_eq!(lab.machines[0].hard_state().term, term, "the removed replica disturbs nobody");
    lab.step(1, LogInput::ChangeMember { ticket: 5, change: remove(1) });
    assert!(!lab.machines[0].is_leading(), "a removed leader steps down after the commit");
    lab.run(Micros::from_secs(3));
    assert!(lab.machines[2].is_leading() != lab.machines[3].is_leading());
    assert!(!lab.machines[0].is_leading() && !lab.machines[1].is_leading());
}

/// Guards against a replica with a failed disk that still votes, acknowledges or leads.
#[test]
fn failed_disk_is_final() {
    let mut lab = Lab::elected(vec![restored(3, &[]); 3]);
    lab.step(1, LogInput::DiskFailed);
    lab.step(1, LogInput::ConfirmRead { ticket: 1 });
    lab.propose(1, 1);
    assert!(!lab.machines[0].is_leading());
    assert_eq!(lab.rejected(1), Some(&RejectReason::DiskFailed));
    let request = MessageBody::VoteRequest { pre_vote: false, last_index: 99, last_term: 9 };
    assert!(lab.machines[0].step(lab.now, message(2, 1, 9, request)).is_empty());
    assert!(lab.machines[0].step(lab.now, LogInput::Synced { sequence: 99 }).is_empty());
    lab.run(Micros::from_secs(3));
    assert!(!lab.machines[0].is_leading());
    assert!(lab.machines[1].is_leading() || lab.machines[2].is_leading());
}

/// Guards against a bootstrap that replaces an existing log.
#[test]
fn only_a_blank_replica_founds_a_cluster() {
    let mut machine = LogMachine::new(ReplicaIdentity(1), restored(3, &[]), Micros::ZERO, 0);
    assert!(machine.step(STEP, LogInput::Bootstrap(members(1))).is_empty());
    let mut lab = Lab::new(vec![RestoredLog::default(); 3]);
    lab.step(1, LogInput::Bootstrap(members(3)));
    lab.run(STEP + STEP);
    assert!(lab.machines[0].is_leading(), "the founder starts at once");
    assert_eq!(lab.machines[2].members().records().len(), 3);
}
