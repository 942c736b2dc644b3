//! Persistence of the commit index across restarts.

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

/// Returns the log of a group of three: an entry that sets the members, then the given number of commands.
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

/// Returns the leader's message that appends the entry `index` and commits all entries before it.
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

fn persisted_indexes(outputs: &[LogOutput]) -> Vec<u64> {
    let mut indexes = Vec::new();
    for output in outputs {
        if let LogOutput::Write { write: StorageWrite::HardState(state), .. } = output {
            indexes.push(state.commit);
        }
    }
    indexes
}

/// Guards against replicas that serve nothing after all of them lost power until a leader is elected, although
/// their disks hold the commit index.
#[test]
fn a_restarted_replica_applies_committed_entries() {
    let mut replica = machine(restored(3, 3));
    assert_eq!(replica.deadline(Micros::ZERO), Micros::ZERO, "the first tick is due at once");
    let outputs = replica.step(STEP, LogInput::Tick { random: 0 });
    assert_eq!(applied(&outputs), [1, 2, 3]);
    assert!(replica.deadline(STEP) > STEP);
    // A persisted commit index beyond the end of the log is limited to the last entry.
    let mut replica = machine(restored(3, 9));
    assert_eq!(applied(&replica.step(STEP, LogInput::Tick { random: 0 })), [1, 2, 3, 4]);
}

/// Guards against a commit index that is never persisted, and against a sync for every entry.
#[test]
fn the_commit_index_is_persisted_periodically() {
    let mut replica = machine(restored(1, 0));
    let mut indexes = Vec::new();
    for turn in 0..10 {
        let now = Micros(STEP.0 * (turn + 1));
        let mut outputs = replica.step(now, append(turn + 3));
        outputs.extend(replica.step(now, LogInput::Tick { random: 0 }));
        outputs.extend(replica.step(now, LogInput::Synced { sequence: 100 }));
        indexes.extend(persisted_indexes(&outputs));
    }
    let later = COMMIT_PERSIST_INTERVAL + Micros(STEP.0 * 10);
    indexes.extend(persisted_indexes(&replica.step(later, LogInput::Tick { random: 0 })));
    assert!(indexes.len() <= 3, "{indexes:?}");
    assert_eq!(indexes.last(), Some(&11), "{indexes:?}");
}

/// Guards against followers that never persist the commit index because messages from their leader postpone
/// the election timeout, and with it every tick.
#[test]
fn a_follower_with_an_active_leader_persists_the_commit_index() {
    let mut replica = machine(restored(1, 0));
    let mut indexes = Vec::new();
    for turn in 0..100 {
        let now = Micros(STEP.0 * (turn + 1));
        let mut outputs = replica.step(now, append(turn + 3));
        outputs.extend(replica.step(now, LogInput::Synced { sequence: u64::MAX }));
        if replica.deadline(now) <= now {
            outputs.extend(replica.step(now, LogInput::Tick { random: 0 }));
        }
        indexes.extend(persisted_indexes(&outputs));
    }
    assert!(indexes.len() >= 2 && indexes.len() <= 4, "{indexes:?}");
    assert!(indexes.last() >= Some(&80), "{indexes:?}");
}
