//! Checks of a simulated run against a single-copy model of the log.

use {
    super::host::SimulatedHost,
    banyansill_core::consensus::{
        EntryPayload, LogEntry, LogMachine, MemberSet, ReplicaIdentity, StorageWrite,
    },
    std::collections::BTreeMap,
};

/// Client request, with its start and end in simulated microseconds.
#[derive(Clone, Copy, Debug)]
struct ClientCall {
    started: u64,
    finished: Option<u64>,
    /// Number of commands in the state that the call observed, including its own.
    length: usize,
    read: bool,
}

/// Counts of what a run did, so that a test can require a minimum of activity.
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
    /// Committed entries in the order of their indexes, which start at 1.
    committed: Vec<LogEntry>,
    /// Commands of the committed entries, which form the state of the single-copy model.
    commands: Vec<u64>,
    /// Leader of each term.
    leaders: BTreeMap<u64, ReplicaIdentity>,
    /// Payload of every entry ever written, by index and term.
    written: BTreeMap<(u64, u64), EntryPayload>,
    calls: BTreeMap<u64, ClientCall>,
}

impl HistoryChecker {
    pub fn require(&mut self, holds: bool, text: &str) {
        if !holds && self.violation.is_none() {
            self.violation = Some(text.to_owned());
        }
    }

    /// Checks log matching: an index and a term identify one entry.
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

    /// Checks election safety (one leader per term) and leader completeness (a leader has every committed
    /// entry).
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

    /// Checks state machine safety: all hosts apply the same entry at an index.
    pub fn observe_apply(&mut self, entry: &LogEntry) {
        let position = entry.index as usize - 1;
        if position == self.committed.len() {
            self.committed.push(entry.clone());
            if let EntryPayload::Command(command) = &entry.payload {
                self.commands.extend(super::decode_commands(command));
            }
            return;
        }
        let holds = self.committed.get(position) == Some(entry);
        self.require(holds, &format!("entry {} was applied with two contents", entry.index));
    }

    pub fn observe_state(&mut self, commands: &[u64]) {
        self.require(
            self.commands.starts_with(commands),
            "a snapshot differs from the committed commands",
        );
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
        let holds = self.commands.get(length - 1) == Some(&ticket);
        self.require(
            holds,
            &format!("write {ticket} is acknowledged at the position of another write"),
        );
    }

    pub fn finish_read(&mut self, ticket: u64, now: u64, commands: &[u64]) {
        let Some(call) = self.calls.get_mut(&ticket) else { return };
        call.finished = Some(now);
        call.length = commands.len();
        self.require(
            self.commands.starts_with(commands),
            "a read differs from the committed commands",
        );
    }

    /// Checks that all hosts have converged and that all calls are linearizable.
    pub fn finish(mut self, hosts: &[SimulatedHost]) -> Result<RunReport, String> {
        for host in hosts {
            let tail = self.commands.len().saturating_sub(host.commands.len());
            let holds = self.commands.starts_with(&host.commands) && tail < 50;
            self.require(holds, &format!("a host is {tail} commands behind after the end"));
        }
        let mut report = RunReport {
            runs: 1,
            terms: self.leaders.len(),
            replaced: self.replaced,
            snapshots_sent: self.snapshots_sent,
            ..RunReport::default()
        };
        // Every call takes effect at one position in the sequence of commands, between its start and its
        // end; calls that do not overlap take effect in the order in which they ran.
        let mut ends: Vec<(u64, usize)> = Vec::new();
        for call in self.calls.values() {
            let Some(finished) = call.finished else { continue };
            ends.push((finished, call.length));
            *(if call.read { &mut report.reads } else { &mut report.writes }) += 1;
        }
        ends.sort_unstable();
        let mut latest_start = vec![0];
        for ticket in &self.commands {
            let started = self.calls[ticket].started;
            latest_start.push(started.max(latest_start[latest_start.len() - 1]));
        }
        let mut calls: Vec<(u64, ClientCall)> =
            self.calls.iter().map(|(ticket, call)| (*ticket, *call)).collect();
        calls.sort_by_key(|(_, call)| call.started);
        let (mut next, mut minimum_length) = (0, 0);
        for (ticket, call) in calls {
            while next < ends.len() && ends[next].0 < call.started {
                minimum_length = minimum_length.max(ends[next].1);
                next += 1;
            }
            let Some(finished) = call.finished else { continue };
            let up_to_date = call.length >= minimum_length + usize::from(!call.read);
            self.require(
                up_to_date,
                &format!(
                    "call {ticket} observed {} of at least {minimum_length} commands",
                    call.length
                ),
            );
            let no_future_command = latest_start[call.length] <= finished;
            self.require(
                no_future_command,
                &format!("call {ticket} observed a command that started after it ended"),
            );
        }
        self.violation.map_or(Ok(report), Err)
    }
}
