//! Checks of a run against the single copy of the log that all hosts must agree on.

use {
    super::host::SimulatedHost,
    banyansill_core::consensus::{
        EntryPayload, LogEntry, LogMachine, MemberSet, ReplicaIdentity, StorageWrite,
    },
    std::collections::BTreeMap,
};

#[derive(Clone, Copy, Debug)]
struct ClientCall {
    started: u64,
    finished: Option<u64>,
    /// Commands in the state that the call saw, its own included.
    length: usize,
    read: bool,
}

/// What a run has done, so that a test can require that it was not idle.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunReport {
    pub runs: usize,
    pub writes: usize,
    pub reads: usize,
    pub terms: usize,
    pub replaced: usize,
    pub snapshots_sent: usize,
}

#[derive(Default)]
pub struct HistoryChecker {
    pub violation: Option<String>,
    pub snapshots_sent: usize,
    pub replaced: usize,
    /// Committed entries; entry 1 is the first.
    committed: Vec<LogEntry>,
    /// Commands in them, which is the single-copy model's state.
    list: Vec<u64>,
    leaders: BTreeMap<u64, ReplicaIdentity>,
    /// Every entry ever written, by index and term.
    written: BTreeMap<(u64, u64), EntryPayload>,
    calls: BTreeMap<u64, ClientCall>,
}

impl HistoryChecker {
    pub fn require(&mut self, holds: bool, text: &str) {
        if !holds && self.violation.is_none() {
            self.violation = Some(text.to_owned());
        }
    }

    /// Log matching: an index and a term name one entry.
    pub fn observe_write(&mut self, write: &StorageWrite) {
        let StorageWrite::Append(entries) = write else { return };
        for entry in entries {
            let key = (entry.index, entry.term);
            let known = self.written.entry(key).or_insert_with(|| entry.payload.clone());
            if *known != entry.payload {
                self.require(false, &format!("two entries with index and term {key:?}"));
            }
        }
    }

    /// Election safety, and leader completeness: a leader has every committed entry.
    pub fn observe_leader(&mut self, machine: &LogMachine) {
        let term = machine.hard_state().term;
        let leader = *self.leaders.entry(term).or_insert(machine.identity());
        self.require(leader == machine.identity(), &format!("two leaders in term {term}"));
        let log = machine.log();
        let newest = self.committed.len() as u64;
        self.require(log.last_index() >= newest, &format!("leader of {term} has a short log"));
        let holds = |entry: &&LogEntry| {
            entry.index <= log.base_index() || log.get(entry.index) == Some(entry)
        };
        let lacking = self.committed.iter().find(|entry| !holds(entry)).map(|entry| entry.index);
        self.require(lacking.is_none(), &format!("leader of {term} lacks entry {lacking:?}"));
    }

    /// State machine safety: hosts apply the same entries.
    pub fn observe_apply(&mut self, entry: &LogEntry) {
        let position = entry.index as usize - 1;
        if position == self.committed.len() {
            self.committed.push(entry.clone());
            if let EntryPayload::Command(command) = &entry.payload {
                self.list.extend(super::decode_list(command));
            }
            return;
        }
        let holds = self.committed.get(position) == Some(entry);
        self.require(holds, &format!("entry {} was applied with two contents", entry.index));
    }

    pub fn observe_state(&mut self, list: &[u64]) {
        self.require(self.list.starts_with(list), "a snapshot differs from the committed commands");
    }

    pub fn members(&self) -> MemberSet {
        for entry in self.committed.iter().rev() {
            if let EntryPayload::Members(members) = &entry.payload {
                return members.clone();
            }
        }
        MemberSet::default()
    }

    pub fn start_write(&mut self, ticket: u64, now: u64) {
        let call = ClientCall { started: now, finished: None, length: 0, read: false };
        self.calls.insert(ticket, call);
    }

    pub fn start_read(&mut self, ticket: u64, now: u64) {
        let call = ClientCall { started: now, finished: None, length: 0, read: true };
        self.calls.insert(ticket, call);
    }

    pub fn finish_write(&mut self, ticket: u64, now: u64, length: usize) {
        let Some(call) = self.calls.get_mut(&ticket) else { return };
        call.finished = Some(now);
        call.length = length;
        let holds = self.list.get(length - 1) == Some(&ticket);
        self.require(holds, &format!("write {ticket} is acknowledged at another's place"));
    }

    pub fn finish_read(&mut self, ticket: u64, now: u64, list: &[u64]) {
        let Some(call) = self.calls.get_mut(&ticket) else { return };
        call.finished = Some(now);
        call.length = list.len();
        self.require(self.list.starts_with(list), "a read differs from the committed commands");
    }

    /// Checks that all hosts have converged and that the calls are linearizable.
    pub fn finish(mut self, hosts: &[SimulatedHost]) -> Result<RunReport, String> {
        for host in hosts {
            let tail = self.list.len().saturating_sub(host.list.len());
            let holds = self.list.starts_with(&host.list) && tail < 50;
            self.require(holds, &format!("a host is {tail} commands behind after the end"));
        }
        let mut report = RunReport {
            runs: 1,
            terms: self.leaders.len(),
            replaced: self.replaced,
            snapshots_sent: self.snapshots_sent,
            ..RunReport::default()
        };
        // Every call takes effect at one place in the list: between its start and its end, and in
        // the order of any two calls that do not overlap.
        let mut ends: Vec<(u64, usize)> = Vec::new();
        for call in self.calls.values() {
            let Some(finished) = call.finished else { continue };
            ends.push((finished, call.length));
            *(if call.read { &mut report.reads } else { &mut report.writes }) += 1;
        }
        ends.sort_unstable();
        let mut latest_start = vec![0];
        for ticket in &self.list {
            let started = self.calls[ticket].started;
            latest_start.push(started.max(latest_start[latest_start.len() - 1]));
        }
        let mut calls: Vec<(u64, ClientCall)> =
            self.calls.iter().map(|(ticket, call)| (*ticket, *call)).collect();
        calls.sort_by_key(|(_, call)| call.started);
        let (mut next, mut floor) = (0, 0);
        for (ticket, call) in calls {
            while next < ends.len() && ends[next].0 < call.started {
                floor = floor.max(ends[next].1);
                next += 1;
            }
            let Some(finished) = call.finished else { continue };
            let fresh = call.length >= floor + usize::from(!call.read);
            self.require(fresh, &format!("call {ticket} saw {} of {floor}", call.length));
            let caused = latest_start[call.length] <= finished;
            self.require(caused, &format!("call {ticket} saw a command from the future"));
        }
        self.violation.map_or(Ok(report), Err)
    }
}
