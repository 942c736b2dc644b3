//! What a replica knows to be committed when it restarts.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    banyansill_core::{
        consensus::{
            COMMIT_PERSIST_INTERVAL, EntryPayload, HardState, LogEntry, LogInput, LogMachine,
            LogOutput, MemberRecord, MemberSet, MessageBody, PeerMessage, ReplicaIdentity,
            RestoredLog, StorageWrite,
        },
        names::SharedName,
        time::Micros,
    },
    bytes::Bytes,
};

const STEP: Micros = Micros::from_millis(10);

const fn command() -> EntryPayload {
    EntryPayload::Command(Bytes::from_static(b"a"))
}

/// Log of a group of three whose first entry puts the members in force.
fn restored(commands: u64, commit: u64) -> RestoredLog {
    let mut records = Vec::new();
    for number in 1..=3 {
        let host = SharedName::from(format!("host-{number}"));
        let identity = ReplicaIdentity(number);
        records.push(MemberRecord { host, address: SharedName::default(), identity, voter: true });
    }
    let members = EntryPayload::Members(MemberSet::new(1, records));
    let mut entries = vec![LogEntry { term: 1, index: 1, payload: members }];
    for index in 2..2 + commands {
        entries.push(LogEntry { term: 1, index, payload: command() });
    }
    let hard_state = HardState { term: 1, vote: None, commit };
    RestoredLog { hard_state, entries, ..RestoredLog::default() }
}

fn machine(log: RestoredLog) -> LogMachine {
    LogMachine::new(ReplicaIdentity(2), log, Micros::ZERO, 300_000)
}

/// Message of the leader that appends the entry `index` and commits all before it.
fn append(index: u64) -> LogInput {
    let entry = LogEntry { term: 1, index, payload: command() };
    let body = MessageBody::AppendRequest {
        previous_index: index - 1,
        previous_term: 1,
        entries: vec![entry],
        commit_index: index - 1,
        round: index,
    };
    let (from, to) = (ReplicaIdentity(1), ReplicaIdentity(2));
    LogInput::Received(PeerMessage { from, to, term: 1, body })
}

fn applied(outputs: &[LogOutput]) -> Vec<u64> {
    let mut indexes = Vec::new();
    for output in outputs {
        if let LogOutput::Apply(entries) = output {
            indexes.extend(entries.iter().map(|applied| applied.entry.index));
        }
    }
    indexes
}

fn noted(outputs: &[LogOutput]) -> Vec<u64> {
    let mut notes = Vec::new();
    for output in outputs {
        if let LogOutput::Write { write: StorageWrite::HardState(state), .. } = output {
            notes.push(state.commit);
        }
    }
    notes
}

/// Guards against a replica that knows nothing after a loss of all power until a leader is elected, although
/// its disk says what is committed.
#[test]
fn a_restarted_replica_applies_what_was_committed() {
    let mut replica = machine(restored(3, 3));
    assert_eq!(replica.deadline(Micros::ZERO), Micros::ZERO, "the first tick is due at once");
    let outputs = replica.step(STEP, LogInput::Tick { random: 0 });
    assert_eq!(applied(&outputs), [1, 2, 3]);
    assert!(replica.deadline(STEP) > STEP);
    // A log that lost its end holds less than it knew.
    let mut replica = machine(restored(3, 9));
    assert_eq!(applied(&replica.step(STEP, LogInput::Tick { random: 0 })), [1, 2, 3, 4]);
}

/// Guards against a commit index that is never written, and against a sync for every entry.
#[test]
fn the_commit_index_is_written_now_and_then() {
    let mut replica = machine(restored(1, 0));
    let mut notes = Vec::new();
    for turn in 0..10 {
        let now = Micros(STEP.0 * (turn + 1));
        let mut outputs = replica.step(now, append(turn + 3));
        outputs.extend(replica.step(now, LogInput::Tick { random: 0 }));
        outputs.extend(replica.step(now, LogInput::Synced { sequence: 100 }));
        notes.extend(noted(&outputs));
    }
    let later = COMMIT_PERSIST_INTERVAL + Micros(STEP.0 * 10);
    notes.extend(noted(&replica.step(later, LogInput::Tick { random: 0 })));
    assert!(notes.len() <= 3, "{notes:?}");
    assert_eq!(notes.last(), Some(&11), "{notes:?}");
}

/// Guards against followers that never write the commit index: messages of their leader put off every tick
/// that an election would need.
#[test]
fn a_follower_in_touch_with_its_leader_writes_the_commit_index() {
    let mut replica = machine(restored(1, 0));
    let mut notes = Vec::new();
    for turn in 0..100 {
        let now = Micros(STEP.0 * (turn + 1));
        let mut outputs = replica.step(now, append(turn + 3));
        outputs.extend(replica.step(now, LogInput::Synced { sequence: u64::MAX }));
        if replica.deadline(now) <= now {
            outputs.extend(replica.step(now, LogInput::Tick { random: 0 }));
        }
        notes.extend(noted(&outputs));
    }
    assert!(notes.len() >= 2 && notes.len() <= 4, "{notes:?}");
    assert!(notes.last() >= Some(&80), "{notes:?}");
}
