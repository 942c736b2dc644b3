//! Simulation of hosts with replicated logs, fake disks and a fake network in virtual time.

mod checks;
mod host;

pub use {checks::RunReport, host::DiskFault};

use {
    banyansill_core::{
        consensus::{
            LogInput, LogOutput, LogProposal, MemberChange, MemberRecord, MemberSet, MessageBody,
            PeerMessage, ReplicaIdentity, SnapshotImage,
        },
        names::SharedName,
        time::Micros,
    },
    bytes::Bytes,
    checks::HistoryChecker,
    host::{SimulatedHost, decode_commands, encode_commands},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
    },
};

/// Length and faults of a simulated run.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub hosts: usize,
    /// Virtual time with faults; a period without faults follows, in which the hosts converge.
    pub length: Micros,
    /// Percentage of messages that are lost.
    pub loss: u32,
    /// Percentage of messages that are delivered twice.
    pub duplicates: u32,
    /// Whether hosts crash.
    pub crashes: bool,
    /// Whether processes are paused.
    pub pauses: bool,
    /// Whether links between hosts fail, in one direction or both.
    pub partitions: bool,
    /// Whether hosts lose their disks.
    pub replacements: bool,
    pub fault: DiskFault,
}

#[derive(Debug)]
enum Event {
    Deliver(PeerMessage),
    Tick { host: usize, incarnation: u64 },
    SyncDisk { host: usize, incarnation: u64 },
    ProcessOutputs { host: usize, incarnation: u64, outputs: Vec<LogOutput> },
    Resume { host: usize, incarnation: u64 },
    Restart { host: usize },
    ClientCall,
    InjectFault,
    HealLink { from: usize, to: usize },
    RunOperator,
}

/// Simulated cluster and its queue of events.
pub struct Simulation {
    schedule: Schedule,
    random: StdRng,
    now: u64,
    order: u64,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub hosts: Vec<SimulatedHost>,
    blocked: BTreeSet<(usize, usize)>,
    /// Host whose disk was lost and its old identity, until its new identity is a voter.
    replacing: Option<(usize, ReplicaIdentity)>,
    next_ticket: u64,
    /// Host and its incarnation of each pending call, by ticket.
    calls: BTreeMap<u64, (usize, u64)>,
    pub checker: HistoryChecker,
    fault_free: bool,
}

/// Number of applied entries between snapshots.
const SNAPSHOT_ENTRIES: u64 = 60;

/// Time without faults at the end of a run; enough for a replacement in progress, including a
/// snapshot that is sent again.
const FAULT_FREE_PERIOD: Micros = Micros::from_secs(15);

impl Simulation {
    pub fn new(schedule: Schedule) -> Self {
        let mut random = StdRng::seed_from_u64(schedule.seed);
        let mut records = Vec::new();
        for number in 0..schedule.hosts {
            records.push(MemberRecord {
                host: SharedName::from(format!("host-{number}")),
                address: SharedName::default(),
                identity: ReplicaIdentity(random.random()),
                voter: true,
            });
        }
        let mut hosts = Vec::new();
        for record in &records {
            let offset = random.random_range(0..10_000_000);
            hosts.push(SimulatedHost::new(record.identity, offset, schedule.fault));
        }
        let mut simulation = Self {
            schedule,
            random,
            now: 0,
            order: 0,
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            hosts,
            blocked: BTreeSet::new(),
            replacing: None,
            next_ticket: 0,
            calls: BTreeMap::new(),
            checker: HistoryChecker::default(),
            fault_free: false,
        };
        for host in 0..schedule.hosts {
            simulation.start(host);
        }
        let members = MemberSet::new(1, records);
        simulation.step(0, LogInput::Bootstrap(members));
        simulation.push(1_000, Event::ClientCall);
        simulation.push(2_000_000, Event::InjectFault);
        simulation.push(100_000, Event::RunOperator);
        simulation
    }

    /// Runs the schedule and the period without faults, and checks the whole history.
    pub fn run(mut self) -> Result<RunReport, String> {
        self.advance_to(self.schedule.length.0)?;
        self.fault_free = true;
        self.blocked.clear();
        for host in 0..self.hosts.len() {
            if self.hosts[host].machine.is_none() {
                self.start(host);
            }
        }
        self.advance_to(self.schedule.length.0 + FAULT_FREE_PERIOD.0)?;
        if self.replacing.is_some() {
            return Err("the replacement of a host did not finish".to_owned());
        }
        self.checker.finish(&self.hosts)
    }

    pub fn advance_to(&mut self, time: u64) -> Result<(), String> {
        while let Some(Reverse((at, order))) = self.queue.peek().copied() {
            if at > time {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&order) {
                self.handle(event);
            }
            if let Some(violation) = self.checker.violation.take() {
                return Err(format!("at {} us: {violation}", self.now));
            }
        }
        self.now = time;
        Ok(())
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.order += 1;
        self.events.insert(self.order, event);
        self.queue.push(Reverse((self.now + delay, self.order)));
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn start(&mut self, host: usize) {
        let random = self.random.random();
        self.hosts[host].start(self.now, random);
        let incarnation = self.hosts[host].incarnation;
        self.push(0, Event::Tick { host, incarnation });
    }

    /// Returns the event if it belongs to the host's current process and the host is not paused.
    ///
    /// Events of a paused host are queued until the end of the pause, others are dropped.
    fn ready_event(&mut self, host: usize, incarnation: u64, event: Event) -> Option<Event> {
        if self.hosts[host].machine.is_none() || self.hosts[host].incarnation != incarnation {
            return None;
        }
        if self.hosts[host].paused_until > self.now {
            let delay = self.hosts[host].paused_until - self.now;
            self.push(delay, event);
            return None;
        }
        Some(event)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(message) => {
                let Some(host) = self.host_of(message.to) else { return };
                let incarnation = self.hosts[host].incarnation;
                if let Some(Event::Deliver(message)) =
                    self.ready_event(host, incarnation, Event::Deliver(message))
                {
                    self.step(host, LogInput::Received(message));
                }
            }
            Event::Tick { host, incarnation } => {
                if self.ready_event(host, incarnation, Event::Tick { host, incarnation }).is_none()
                {
                    return;
                }
                let random = self.random.random();
                self.step(host, LogInput::Tick { random });
                let delay = self.random.random_range(1_000..20_000);
                self.push(delay, Event::Tick { host, incarnation });
            }
            Event::SyncDisk { host, incarnation } => {
                if self
                    .ready_event(host, incarnation, Event::SyncDisk { host, incarnation })
                    .is_none()
                {
                    return;
                }
                for input in self.hosts[host].sync_queue() {
                    self.step(host, input);
                }
            }
            Event::ProcessOutputs { host, incarnation, outputs } => {
                if self.hosts[host].incarnation == incarnation && self.hosts[host].machine.is_some()
                {
                    self.process_outputs(host, outputs);
                }
            }
            Event::Resume { host, incarnation } => {
                if self.hosts[host].incarnation == incarnation {
                    self.hosts[host].paused_until = 0;
                }
            }
            Event::Restart { host } => {
                if self.hosts[host].machine.is_none() {
                    self.start(host);
                }
            }
            Event::ClientCall => self.start_call(),
            Event::InjectFault => self.inject_fault(),
            Event::HealLink { from, to } => {
                self.blocked.remove(&(from, to));
            }
            Event::RunOperator => self.run_operator(),
        }
    }

    fn host_of(&self, identity: ReplicaIdentity) -> Option<usize> {
        // A message to an old identity still reaches the host after its disk was lost; the replica
        // there has to drop it.
        self.hosts.iter().position(|host| host.identities.contains(&identity))
    }

    fn step(&mut self, host: usize, input: LogInput) {
        let now = self.hosts[host].local_time(self.now);
        let Some(machine) = &mut self.hosts[host].machine else { return };
        let was_leader = machine.is_leading();
        let outputs = machine.step(now, input);
        if !was_leader && machine.is_leading() {
            self.checker.observe_leader(machine);
        }
        let pause =
            self.schedule.pauses && !self.fault_free && self.random.random_range(0..20_000) == 0;
        if pause {
            // The process is paused between a decision and its outputs.
            let delay = self.random.random_range(100_000..3_000_000);
            let incarnation = self.hosts[host].incarnation;
            self.hosts[host].paused_until = self.now + delay;
            self.push(delay, Event::ProcessOutputs { host, incarnation, outputs });
            self.push(delay, Event::Resume { host, incarnation });
            return;
        }
        self.process_outputs(host, outputs);
    }

    fn process_outputs(&mut self, host: usize, outputs: Vec<LogOutput>) {
        for output in outputs {
            match output {
                LogOutput::Send(message) => self.send(host, message),
                LogOutput::Write { sequence, write } => {
                    self.checker.observe_write(&write);
                    let reports_early = self.hosts[host].write(sequence, write);
                    self.schedule_sync(host);
                    if reports_early {
                        self.step(host, LogInput::Synced { sequence });
                    }
                }
                LogOutput::Apply(entries) => {
                    for applied in entries {
                        self.checker.observe_apply(&applied.entry);
                        let length = self.hosts[host].apply(&applied.entry);
                        if let Some(ticket) = applied.ticket {
                            self.checker.finish_write(ticket, self.now, length);
                            self.calls.remove(&ticket);
                        }
                    }
                    self.take_snapshot(host);
                }
                LogOutput::Restore(image) => {
                    let commands = decode_commands(&image.data);
                    self.checker.observe_state(&commands);
                    self.hosts[host].restore(image.index, commands);
                }
                LogOutput::ReadConfirmed { ticket, valid_until, index } => {
                    let simulated = &self.hosts[host];
                    if simulated.local_time(self.now) <= valid_until {
                        let reached = simulated.applied >= index;
                        self.checker
                            .require(reached, "a read is confirmed before its index is applied");
                        self.checker.finish_read(ticket, self.now, &simulated.commands);
                    }
                    self.calls.remove(&ticket);
                }
                LogOutput::Rejected { ticket, .. } => {
                    self.calls.remove(&ticket);
                }
                LogOutput::RoleChanged { .. } | LogOutput::MembersChanged(_) => {}
            }
        }
    }

    fn schedule_sync(&mut self, host: usize) {
        let slow = self.chance(2);
        let delay = self.random.random_range(match self.schedule.fault {
            // A volatile write cache whose content takes long to reach the disk.
            DiskFault::AcknowledgeBeforeSync => 100_000..500_000,
            _ if slow => 20_000..300_000,
            _ => 100..5_000,
        });
        let incarnation = self.hosts[host].incarnation;
        self.push(delay, Event::SyncDisk { host, incarnation });
    }

    fn take_snapshot(&mut self, host: usize) {
        let simulated = &mut self.hosts[host];
        let Some(machine) = &simulated.machine else { return };
        let Some(term) = machine.log().term_at(simulated.applied) else { return };
        if simulated.applied < simulated.snapshot_index + SNAPSHOT_ENTRIES {
            return;
        }
        let image = SnapshotImage {
            index: simulated.applied,
            term,
            members: machine.members_at(simulated.applied).clone(),
            data: encode_commands(&simulated.commands),
        };
        simulated.save_snapshot(image);
        self.schedule_sync(host);
    }

    fn send(&mut self, from: usize, message: PeerMessage) {
        let Some(to) = self.host_of(message.to) else { return };
        if self.blocked.contains(&(from, to)) {
            return;
        }
        if matches!(message.body, MessageBody::SnapshotRequest { .. }) {
            self.checker.snapshots_sent += 1;
        }
        let copies = if self.fault_free {
            1
        } else if self.chance(self.schedule.loss) {
            0
        } else {
            1 + usize::from(self.chance(self.schedule.duplicates))
        };
        for _ in 0..copies {
            let late = !self.fault_free && self.chance(1);
            let delay = self.random.random_range(if late { 5_000..2_000_000 } else { 200..5_000 });
            self.push(delay, Event::Deliver(message.clone()));
        }
    }

    fn start_call(&mut self) {
        let delay = self.random.random_range(1_000..20_000);
        self.push(delay, Event::ClientCall);
        let mut host = self.random.random_range(0..self.hosts.len());
        if self.chance(80) {
            let is_leader = |simulated: &SimulatedHost| {
                simulated.machine.as_ref().is_some_and(|machine| machine.is_leading())
            };
            if let Some(found) = self.hosts.iter().position(is_leader) {
                host = found;
            }
        }
        if self.hosts[host].machine.is_none() || self.hosts[host].paused_until > self.now {
            return;
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.calls.insert(ticket, (host, self.hosts[host].incarnation));
        if self.chance(40) {
            self.checker.start_read(ticket, self.now);
            self.step(host, LogInput::ConfirmRead { ticket });
            return;
        }
        self.checker.start_write(ticket, self.now);
        let command = Bytes::copy_from_slice(&ticket.to_le_bytes());
        self.step(host, LogInput::Propose(vec![LogProposal { ticket, command }]));
    }

    fn inject_fault(&mut self) {
        if self.fault_free {
            return;
        }
        let delay = self.random.random_range(100_000..3_000_000);
        self.push(delay, Event::InjectFault);
        let host = self.random.random_range(0..self.hosts.len());
        let other = self.random.random_range(0..self.hosts.len());
        match self.random.random_range(0..4) {
            0 if self.schedule.crashes => {
                // In a quarter of the cases all hosts lose power.
                let everywhere = self.chance(25);
                for number in 0..self.hosts.len() {
                    if everywhere || number == host {
                        self.crash(number);
                        let delay = self.random.random_range(10_000..6_000_000);
                        self.push(delay, Event::Restart { host: number });
                    }
                }
            }
            1 if self.schedule.partitions && host != other => {
                let both = self.chance(50);
                let delay = self.random.random_range(100_000..8_000_000);
                self.blocked.insert((host, other));
                self.push(delay, Event::HealLink { from: host, to: other });
                if both {
                    self.blocked.insert((other, host));
                    self.push(delay, Event::HealLink { from: other, to: host });
                }
            }
            2 if self.schedule.pauses && self.hosts[host].machine.is_some() => {
                let delay = self.random.random_range(50_000..4_000_000);
                let until = self.hosts[host].paused_until.max(self.now + delay);
                self.hosts[host].paused_until = until;
            }
            3 if self.schedule.replacements && self.replacing.is_none() => {
                self.crash(host);
                let old = self.hosts[host].identity;
                let new_identity = ReplicaIdentity(self.random.random());
                self.hosts[host].erase_disk(new_identity);
                // Nobody notices that a disk which keeps its identity is empty, so it is not replaced.
                if self.hosts[host].identity == new_identity {
                    self.replacing = Some((host, old));
                }
                let delay = self.random.random_range(10_000..2_000_000);
                self.push(delay, Event::Restart { host });
            }
            _ => {}
        }
    }

    fn crash(&mut self, host: usize) {
        let keep = self.random.random_range(0..1_000);
        self.hosts[host].crash(keep);
    }

    /// Acts as the operator, who replaces the host that lost its disk.
    fn run_operator(&mut self) {
        self.push(150_000, Event::RunOperator);
        let Some((host, old)) = self.replacing else { return };
        let new_identity = self.hosts[host].identity;
        let members = self.checker.members();
        if members.is_voter(new_identity) && members.find(old).is_none() {
            self.replacing = None;
            self.checker.replaced += 1;
            return;
        }
        let change = if members.find(old).is_some() {
            MemberChange::Remove { identity: old }
        } else {
            let name = SharedName::from(format!("host-{host}"));
            MemberChange::Add { host: name, address: SharedName::default(), identity: new_identity }
        };
        for target in 0..self.hosts.len() {
            if self.hosts[target].paused_until <= self.now {
                self.next_ticket += 1;
                let ticket = self.next_ticket;
                self.step(target, LogInput::ChangeMember { ticket, change: change.clone() });
            }
        }
    }
}
