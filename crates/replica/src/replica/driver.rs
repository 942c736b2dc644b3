//! Task that owns the log machine and the state machine.

use {
    super::{
        convert::{message_from_wire, message_to_wire},
        disk_thread::{DiskJob, DiskReport, DiskThread},
        members::{MemberError, MemberStatus},
        peers::PeerPool,
        requests::{Delivered, ProposeReply, ReplicaRequest},
        settings::{ReplicaError, ReplicaSettings},
    },
    crate::{
        command_log::{LogError, LogStatus},
        storage::RestoredReplica,
    },
    banyansill_core::{
        collections::FastMap,
        consensus::{
            AppliedEntry, EntryPayload, LogInput, LogMachine, LogOutput, LogProposal, MemberRecord,
            MemberSet, RejectReason, ReplicaIdentity, SnapshotImage,
        },
        event::EventNumber,
        names::SharedName,
        state_machine::StateMachine,
        time::Micros,
    },
    banyansill_runtime::{clock::MonotonicClock, events::EventSink},
    banyansill_wire::v1::IdentifyReply,
    bytes::Bytes,
    std::time::Duration,
    tokio::{
        sync::{mpsc, oneshot, watch},
        task, time,
    },
};

/// Maximum number of requests or messages received from a queue at once.
const MAX_RECEIVE_BATCH: usize = 256;

/// Maximum number of learned sender addresses, since a sender need not be a member.
const MAX_LEARNED_ADDRESSES: usize = 64;

/// Maximum time that the task waits before it checks its timers again.
const MAX_TIMER_WAIT: Duration = Duration::from_millis(100);

/// Reply channel of a request whose outcome is pending.
enum Waiter<M>
where
    M: StateMachine,
{
    Propose(oneshot::Sender<ProposeReply<M>>),
    Confirm(oneshot::Sender<Result<u64, LogError>>),
    Change(oneshot::Sender<Result<(), MemberError>>),
}

/// Task that runs one replica.
pub(super) struct ReplicaDriver<M>
where
    M: StateMachine,
{
    settings: ReplicaSettings,
    state: M,
    machine: LogMachine,
    events: EventSink,
    clock: MonotonicClock,
    disk: DiskThread,
    peers: PeerPool,
    /// Addresses learned from messages, for replicas that are not known as members yet.
    addresses: FastMap<ReplicaIdentity, SharedName>,
    /// Pending requests by ticket.
    waiters: FastMap<u64, Waiter<M>>,
    next_ticket: u64,
    applied: u64,
    applied_term: u64,
    snapshot_index: u64,
    snapshot_running: bool,
    leading: bool,
    disk_full: bool,
    /// Reason why the disk or the state machine failed, if it did.
    failure: Option<String>,
    publisher: watch::Sender<LogStatus>,
}

impl<M> ReplicaDriver<M>
where
    M: StateMachine,
{
    pub(super) fn new(
        settings: ReplicaSettings,
        mut state: M,
        events: EventSink,
        restored: RestoredReplica,
        disk: DiskThread,
        publisher: watch::Sender<LogStatus>,
    ) -> Result<Self, ReplicaError> {
        let clock = MonotonicClock::start();
        let (applied, applied_term) = (restored.log.snapshot.index, restored.log.snapshot.term);
        if applied > 0 {
            state.restore(&restored.log.snapshot.data)?;
        }
        let machine = LogMachine::new(restored.identity, restored.log, clock.now(), rand::random());
        Ok(Self {
            settings,
            state,
            machine,
            events,
            clock,
            disk,
            peers: PeerPool::default(),
            addresses: FastMap::default(),
            waiters: FastMap::default(),
            next_ticket: 0,
            applied,
            applied_term,
            snapshot_index: applied,
            snapshot_running: false,
            leading: false,
            disk_full: false,
            failure: None,
            publisher,
        })
    }

    pub(super) fn is_blank(&self) -> bool {
        self.machine.is_blank()
    }

    pub(super) async fn run(
        mut self,
        mut requests: mpsc::Receiver<ReplicaRequest<M>>,
        mut delivered: mpsc::Receiver<Delivered>,
    ) {
        self.connect_members();
        let mut request_batch = Vec::new();
        let mut message_batch = Vec::new();
        // Entries that the disk shows to be committed are applied before the first request is processed.
        self.tick_if_due();
        let stop = loop {
            let now = self.clock.now();
            let wait = self.machine.deadline(now).since(now).as_duration().min(MAX_TIMER_WAIT);
            tokio::select! {
                biased;
                Some(report) = self.disk.reports.recv() => self.finish_disk_job(report),
                count = delivered.recv_many(&mut message_batch, MAX_RECEIVE_BATCH) => {
                    if count == 0 {
                        break None;
                    }
                    for message in message_batch.drain(..) {
                        self.receive_message(message);
                    }
                }
                count = requests.recv_many(&mut request_batch, MAX_RECEIVE_BATCH) => {
                    if count == 0 {
                        break None;
                    }
                    let stop = self.process_batch(&mut request_batch);
                    if stop.is_some() {
                        break stop;
                    }
                }
                () = time::sleep(wait) => {}
            }
            self.tick_if_due();
            self.check_room();
            self.start_snapshot();
        };
        let DiskThread { jobs, thread, room, .. } = self.disk;
        drop(jobs);
        room.abandon();
        let _ = task::spawn_blocking(move || thread.join()).await;
        drop((requests, delivered));
        if let Some(reply) = stop {
            let _ = reply.send(());
        }
    }

    fn tick_if_due(&mut self) {
        let now = self.clock.now();
        if self.machine.deadline(now) <= now {
            self.step(LogInput::Tick { random: rand::random() });
        }
    }

    /// Records when the disk becomes full, and when there is room again.
    fn check_room(&mut self) {
        let full = self.disk.room.is_full();
        if std::mem::replace(&mut self.disk_full, full) == full {
            return;
        }
        let event = if full { EventNumber::DiskFull } else { EventNumber::DiskHasRoom };
        self.events.record(event, &[]);
        self.publish();
    }

    /// Processes a batch of requests, whose proposals are appended together.
    ///
    /// Returns the reply channel of a stop request, after which no more requests are processed.
    fn process_batch(&mut self, batch: &mut Vec<ReplicaRequest<M>>) -> Option<oneshot::Sender<()>> {
        let mut proposals = Vec::new();
        for request in batch.drain(..) {
            match request {
                ReplicaRequest::Propose { command, reply } => {
                    let ticket = self.add_waiter(Waiter::Propose(reply));
                    proposals.push(LogProposal { ticket, command });
                }
                ReplicaRequest::Confirm { reply } => {
                    let ticket = self.add_waiter(Waiter::Confirm(reply));
                    self.step(LogInput::ConfirmRead { ticket });
                }
                // A replica whose disk has failed no longer applies entries, so its state becomes stale.
                ReplicaRequest::Inspect(run) if self.failure.is_none() => run(&self.state),
                ReplicaRequest::Inspect(_) => {}
                ReplicaRequest::ChangeMember { change, reply } => {
                    let ticket = self.add_waiter(Waiter::Change(reply));
                    self.step(LogInput::ChangeMember { ticket, change });
                }
                ReplicaRequest::Members { reply } => {
                    let _ = reply.send(self.member_status());
                }
                ReplicaRequest::Identify { reply } => {
                    let _ = reply.send(IdentifyReply {
                        host: self.settings.host.to_string(),
                        identity: self.machine.identity().0,
                        cluster: self.machine.members().cluster(),
                        blank: self.machine.is_blank(),
                    });
                }
                ReplicaRequest::Bootstrap(members) => self.step(LogInput::Bootstrap(members)),
                ReplicaRequest::Stop { reply } => return Some(reply),
            }
        }
        if !proposals.is_empty() {
            self.step(LogInput::Propose(proposals));
        }
        None
    }

    fn add_waiter(&mut self, waiter: Waiter<M>) -> u64 {
        self.next_ticket += 1;
        self.waiters.insert(self.next_ticket, waiter);
        self.next_ticket
    }

    fn receive_message(&mut self, message: Delivered) {
        let address = SharedName::from(message.from_address.as_str());
        let Some(message) = message_from_wire(message) else { return };
        if message.to != self.machine.identity() {
            return;
        }
        if self.addresses.len() < MAX_LEARNED_ADDRESSES
            || self.addresses.contains_key(&message.from)
        {
            self.addresses.insert(message.from, address);
        }
        self.step(LogInput::Received(message));
    }

    fn finish_disk_job(&mut self, report: DiskReport) {
        match report {
            DiskReport::Synced(sequence) => self.step(LogInput::Synced { sequence }),
            DiskReport::SnapshotSaved(image) => {
                self.snapshot_running = false;
                self.snapshot_index = self.snapshot_index.max(image.index);
                self.step(LogInput::SnapshotSaved(image));
            }
            DiskReport::Failed(error) => {
                log::error!("{}: {error}", self.settings.host);
                self.fail(error.to_string());
            }
        }
    }

    fn fail(&mut self, reason: String) {
        if self.failure.is_some() {
            return;
        }
        self.events.record(EventNumber::DiskFailed, &[("reason", reason.clone())]);
        self.failure = Some(reason);
        self.step(LogInput::DiskFailed);
    }

    fn step(&mut self, input: LogInput) {
        let outputs = self.machine.step(self.clock.now(), input);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: LogOutput) {
        match output {
            LogOutput::Send(message) => {
                let Some(address) = self.address_of(message.to) else { return };
                let host = &self.settings.host;
                let message = message_to_wire(message, host, &self.settings.address);
                self.peers.send(&address, message);
            }
            LogOutput::Write { sequence, write } => {
                // A closed queue means that the thread has already reported its failure.
                let _ = self.disk.jobs.send(DiskJob::Write { sequence, write });
            }
            LogOutput::Apply(entries) => {
                for entry in entries {
                    self.apply(entry);
                }
                self.publish();
            }
            LogOutput::Restore(image) => self.restore(&image),
            LogOutput::ReadConfirmed { ticket, index, valid_until } => {
                self.finish_confirm(ticket, index, valid_until);
            }
            LogOutput::Rejected { ticket, reason } => self.reject(ticket, reason),
            LogOutput::RoleChanged { term, leading, .. } => self.change_role(term, leading),
            LogOutput::MembersChanged(members) => self.change_members(&members),
        }
    }

    fn apply(&mut self, applied: AppliedEntry) {
        let AppliedEntry { entry, ticket } = applied;
        let waiter = ticket.and_then(|ticket| self.waiters.remove(&ticket));
        self.applied = entry.index;
        self.applied_term = entry.term;
        let EntryPayload::Command(command) = entry.payload else {
            if let Some(Waiter::Change(reply)) = waiter {
                let _ = reply.send(Ok(()));
            }
            return;
        };
        let response = self.state.apply(entry.index, &command);
        if let Some(Waiter::Propose(reply)) = waiter {
            let _ = reply.send(Ok((entry.index, response)));
        }
    }

    fn restore(&mut self, image: &SnapshotImage) {
        if let Err(error) = self.state.restore(&image.data) {
            self.fail(error.to_string());
            return;
        }
        self.applied = image.index;
        self.applied_term = image.term;
        self.snapshot_index = image.index;
        let index = image.index.to_string();
        self.events.record(EventNumber::SnapshotInstalled, &[("index", index)]);
        self.publish();
    }

    fn finish_confirm(&mut self, ticket: u64, index: u64, valid_until: Micros) {
        let Some(Waiter::Confirm(reply)) = self.waiters.remove(&ticket) else { return };
        // The process may have been paused since the round was acknowledged.
        let result = if self.clock.now() <= valid_until {
            Ok(index.max(self.applied))
        } else {
            Err(LogError::NoMajority)
        };
        let _ = reply.send(result);
    }

    fn reject(&mut self, ticket: u64, reason: RejectReason) {
        let Some(waiter) = self.waiters.remove(&ticket) else { return };
        let error = match &reason {
            RejectReason::NotLeader { leader } => LogError::NotLeader {
                leader: leader.and_then(|leader| self.address_of(leader)).map(|a| a.to_string()),
            },
            RejectReason::OutcomeUnknown => LogError::OutcomeUnknown,
            RejectReason::NoMajority
            | RejectReason::Overloaded
            | RejectReason::ChangePending
            | RejectReason::InvalidChange(_) => LogError::NoMajority,
            RejectReason::DiskFailed => LogError::Stopped(self.failure.clone().unwrap_or_default()),
        };
        match waiter {
            Waiter::Propose(reply) => {
                let _ = reply.send(Err(error));
            }
            Waiter::Confirm(reply) => {
                let _ = reply.send(Err(error));
            }
            Waiter::Change(reply) => {
                let _ = reply.send(Err(match reason {
                    RejectReason::ChangePending => MemberError::Pending,
                    RejectReason::InvalidChange(text) => MemberError::Invalid(text),
                    _ => MemberError::Log(error),
                }));
            }
        }
    }

    fn change_role(&mut self, term: u64, leading: bool) {
        if leading != self.leading {
            let number = if leading { EventNumber::LeaderElected } else { EventNumber::LeaderLost };
            self.events.record(number, &[("term", term.to_string())]);
        }
        self.leading = leading;
        self.publish();
    }

    fn change_members(&mut self, members: &MemberSet) {
        let mut text = String::new();
        for MemberRecord { host, identity, voter, .. } in members.records() {
            let separator = if text.is_empty() { "" } else { "," };
            let role = if *voter { "voter" } else { "learner" };
            text.push_str(&format!("{separator}{host}/{identity}/{role}"));
        }
        self.events.record(EventNumber::MembersChanged, &[("members", text)]);
        let own_identity = self.machine.identity();
        self.addresses.retain(|identity, _| members.find(*identity).is_some());
        self.peers.retain(|address| {
            let records = members.records();
            records
                .iter()
                .any(|record| record.identity != own_identity && record.address == *address)
        });
        self.connect_members();
    }

    /// Connects to the other members, so that the first messages of an election find open connections.
    fn connect_members(&mut self) {
        let own_identity = self.machine.identity();
        for record in self.machine.members().records() {
            if record.identity != own_identity {
                self.peers.open(&record.address);
            }
        }
    }

    fn publish(&self) {
        let leader = self.machine.leader().and_then(|leader| self.address_of(leader));
        let status = LogStatus {
            term: self.machine.hard_state().term,
            leading: self.machine.is_leading(),
            leader: leader.map(|address| address.to_string()),
            applied: self.applied,
            disk_full: self.disk_full,
        };
        self.publisher.send_if_modified(|current| {
            let changed = *current != status;
            *current = status;
            changed
        });
    }

    fn address_of(&self, identity: ReplicaIdentity) -> Option<SharedName> {
        if identity == self.machine.identity() {
            return Some(self.settings.address.clone());
        }
        let member = self.machine.members().find(identity).map(|record| record.address.clone());
        member.or_else(|| self.addresses.get(&identity).cloned())
    }

    fn member_status(&self) -> Vec<MemberStatus> {
        let indexes: FastMap<_, _> = self.machine.match_indexes().into_iter().collect();
        let contacts: FastMap<_, _> = self.machine.contacts().into_iter().collect();
        let now = self.clock.now();
        let mut members = Vec::new();
        for record in self.machine.members().records() {
            let leader = self.machine.leader() == Some(record.identity);
            let is_self = record.identity == self.machine.identity();
            let match_index = if is_self && self.machine.is_leading() {
                self.machine.log().last_index()
            } else {
                indexes.get(&record.identity).copied().unwrap_or(0)
            };
            let silent_for = if is_self && self.machine.is_leading() {
                Some(Micros::ZERO)
            } else {
                contacts.get(&record.identity).map(|contact| now.since(*contact))
            };
            members.push(MemberStatus { record: record.clone(), leader, match_index, silent_for });
        }
        members
    }

    fn start_snapshot(&mut self) {
        let due = self.applied >= self.snapshot_index + self.settings.snapshot_entries;
        if !due || self.snapshot_running || self.failure.is_some() {
            return;
        }
        self.snapshot_running = true;
        let image = SnapshotImage {
            index: self.applied,
            term: self.applied_term,
            members: self.machine.members_at(self.applied).clone(),
            data: Bytes::from(self.state.snapshot()),
        };
        let _ = self.disk.jobs.send(DiskJob::Snapshot(image));
    }
}
