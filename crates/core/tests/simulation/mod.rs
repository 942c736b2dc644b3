//! Hosts with log machines, fake disks and a fake network on virtual time.

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
    host::{SimulatedHost, decode_list, encode_list},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
    },
};

/// What a schedule does to the hosts.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub hosts: usize,
    /// Virtual time with faults; a quiet period to converge follows.
    pub length: Micros,
    /// Percent of messages that are lost, and percent that are delivered twice.
    pub loss: u32,
    pub duplicates: u32,
    /// Whether hosts crash, are paused, are cut off one way or both ways, or lose their disks.
    pub crashes: bool,
    pub pauses: bool,
    pub partitions: bool,
    pub replacements: bool,
    pub fault: DiskFault,
}

#[derive(Debug)]
enum Event {
    Deliver(PeerMessage),
    Tick { host: usize, life: u64 },
    DiskDone { host: usize, life: u64 },
    CarryOut { host: usize, life: u64, outputs: Vec<LogOutput> },
    Resume { host: usize, life: u64 },
    Restart { host: usize },
    ClientCall,
    Trouble,
    Heal { from: usize, to: usize },
    Operate,
}

/// Simulated cluster.
pub struct Simulation {
    schedule: Schedule,
    random: StdRng,
    now: u64,
    order: u64,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub hosts: Vec<SimulatedHost>,
    blocked: BTreeSet<(usize, usize)>,
    /// Host whose disk was lost, until its replacement is a voter.
    replacing: Option<(usize, ReplicaIdentity)>,
    next_ticket: u64,
    calls: BTreeMap<u64, (usize, u64)>,
    pub checker: HistoryChecker,
    quiet: bool,
}

const SNAPSHOT_ENTRIES: u64 = 60;

/// Time without faults at the end; enough for a replacement that is under way, including a
/// snapshot that is sent again.
const QUIET: Micros = Micros::from_secs(15);

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
            quiet: false,
        };
        for host in 0..schedule.hosts {
            simulation.start(host);
        }
        let members = MemberSet::new(1, records);
        simulation.step(0, LogInput::Bootstrap(members));
        simulation.push(1_000, Event::ClientCall);
        simulation.push(2_000_000, Event::Trouble);
        simulation.push(100_000, Event::Operate);
        simulation
    }

    /// Runs the schedule and the quiet period, and checks the whole history.
    pub fn run(mut self) -> Result<RunReport, String> {
        self.advance_to(self.schedule.length.0)?;
        self.quiet = true;
        self.blocked.clear();
        for host in 0..self.hosts.len() {
            if self.hosts[host].machine.is_none() {
                self.start(host);
            }
        }
        self.advance_to(self.schedule.length.0 + QUIET.0)?;
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
        let life = self.hosts[host].life;
        self.push(0, Event::Tick { host, life });
    }

    /// Whether an event belongs to the host's current process and the host is not paused; events
    /// of a paused host wait for its end.
    fn admits(&mut self, host: usize, life: u64, event: Event) -> Option<Event> {
        if self.hosts[host].machine.is_none() || self.hosts[host].life != life {
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
                let life = self.hosts[host].life;
                if let Some(Event::Deliver(message)) =
                    self.admits(host, life, Event::Deliver(message))
                {
                    self.step(host, LogInput::Received(message));
                }
            }
            Event::Tick { host, life } => {
                if self.admits(host, life, Event::Tick { host, life }).is_none() {
                    return;
                }
                let random = self.random.random();
                self.step(host, LogInput::Tick { random });
                let delay = self.random.random_range(1_000..20_000);
                self.push(delay, Event::Tick { host, life });
            }
            Event::DiskDone { host, life } => {
                if self.admits(host, life, Event::DiskDone { host, life }).is_none() {
                    return;
                }
                for input in self.hosts[host].finish_disk_work() {
                    self.step(host, input);
                }
            }
            Event::CarryOut { host, life, outputs } => {
                if self.hosts[host].life == life && self.hosts[host].machine.is_some() {
                    self.carry_out(host, outputs);
                }
            }
            Event::Resume { host, life } => {
                if self.hosts[host].life == life {
                    self.hosts[host].paused_until = 0;
                }
            }
            Event::Restart { host } => {
                if self.hosts[host].machine.is_none() {
                    self.start(host);
                }
            }
            Event::ClientCall => self.call(),
            Event::Trouble => self.trouble(),
            Event::Heal { from, to } => {
                self.blocked.remove(&(from, to));
            }
            Event::Operate => self.operate(),
        }
    }

    fn host_of(&self, identity: ReplicaIdentity) -> Option<usize> {
        // A message reaches the host of an identity even after its disk was lost; the machine there
        // has to drop it.
        self.hosts.iter().position(|host| host.identities.contains(&identity))
    }

    fn step(&mut self, host: usize, input: LogInput) {
        let now = self.hosts[host].local(self.now);
        let Some(machine) = &mut self.hosts[host].machine else { return };
        let led = machine.is_leading();
        let outputs = machine.step(now, input);
        if !led && machine.is_leading() {
            self.checker.observe_leader(machine);
        }
        let pause = self.schedule.pauses && !self.quiet && self.random.random_range(0..20_000) == 0;
        if pause {
            // Paused between taking a decision and acting on it.
            let delay = self.random.random_range(100_000..3_000_000);
            let life = self.hosts[host].life;
            self.hosts[host].paused_until = self.now + delay;
            self.push(delay, Event::CarryOut { host, life, outputs });
            self.push(delay, Event::Resume { host, life });
            return;
        }
        self.carry_out(host, outputs);
    }

    fn carry_out(&mut self, host: usize, outputs: Vec<LogOutput>) {
        for output in outputs {
            match output {
                LogOutput::Send(message) => self.send(host, message),
                LogOutput::Write { sequence, write } => {
                    self.checker.observe_write(&write);
                    let early = self.hosts[host].write(sequence, write);
                    self.schedule_disk(host);
                    if early {
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
                    self.snapshot(host);
                }
                LogOutput::Restore(image) => {
                    let list = decode_list(&image.data);
                    self.checker.observe_state(&list);
                    self.hosts[host].restore(image.index, list);
                }
                LogOutput::ReadConfirmed { ticket, valid_until, index } => {
                    let simulated = &self.hosts[host];
                    if simulated.local(self.now) <= valid_until {
                        let enough = simulated.applied >= index;
                        self.checker.require(enough, "a read is confirmed before it is applied");
                        self.checker.finish_read(ticket, self.now, &simulated.list);
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

    fn schedule_disk(&mut self, host: usize) {
        let slow = self.chance(2);
        let delay = self.random.random_range(match self.schedule.fault {
            // The content of a cache that is taken for the disk.
            DiskFault::AnswerBeforeSync => 100_000..500_000,
            _ if slow => 20_000..300_000,
            _ => 100..5_000,
        });
        let life = self.hosts[host].life;
        self.push(delay, Event::DiskDone { host, life });
    }

    fn snapshot(&mut self, host: usize) {
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
            data: encode_list(&simulated.list),
        };
        simulated.save_snapshot(image);
        self.schedule_disk(host);
    }

    fn send(&mut self, from: usize, message: PeerMessage) {
        let Some(to) = self.host_of(message.to) else { return };
        if self.blocked.contains(&(from, to)) {
            return;
        }
        if matches!(message.body, MessageBody::SnapshotRequest { .. }) {
            self.checker.snapshots_sent += 1;
        }
        let copies = if self.quiet {
            1
        } else if self.chance(self.schedule.loss) {
            0
        } else {
            1 + usize::from(self.chance(self.schedule.duplicates))
        };
        for _ in 0..copies {
            let late = !self.quiet && self.chance(1);
            let delay = self.random.random_range(if late { 5_000..2_000_000 } else { 200..5_000 });
            self.push(delay, Event::Deliver(message.clone()));
        }
    }

    fn call(&mut self) {
        let delay = self.random.random_range(1_000..20_000);
        self.push(delay, Event::ClientCall);
        let mut host = self.random.random_range(0..self.hosts.len());
        if self.chance(80) {
            let leading = |simulated: &SimulatedHost| {
                simulated.machine.as_ref().is_some_and(|machine| machine.is_leading())
            };
            if let Some(found) = self.hosts.iter().position(leading) {
                host = found;
            }
        }
        if self.hosts[host].machine.is_none() || self.hosts[host].paused_until > self.now {
            return;
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.calls.insert(ticket, (host, self.hosts[host].life));
        if self.chance(40) {
            self.checker.start_read(ticket, self.now);
            self.step(host, LogInput::ConfirmRead { ticket });
            return;
        }
        self.checker.start_write(ticket, self.now);
        let command = Bytes::copy_from_slice(&ticket.to_le_bytes());
        self.step(host, LogInput::Propose(vec![LogProposal { ticket, command }]));
    }

    fn trouble(&mut self) {
        if self.quiet {
            return;
        }
        let delay = self.random.random_range(100_000..3_000_000);
        self.push(delay, Event::Trouble);
        let host = self.random.random_range(0..self.hosts.len());
        let other = self.random.random_range(0..self.hosts.len());
        match self.random.random_range(0..4) {
            0 if self.schedule.crashes => {
                // Sometimes the power fails everywhere.
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
                self.push(delay, Event::Heal { from: host, to: other });
                if both {
                    self.blocked.insert((other, host));
                    self.push(delay, Event::Heal { from: other, to: host });
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
                let fresh = ReplicaIdentity(self.random.random());
                self.hosts[host].lose_disk(fresh);
                // A disk that keeps its identity is not known to be empty, so nobody replaces it.
                if self.hosts[host].identity == fresh {
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

    /// The operator, who replaces the host that lost its disk.
    fn operate(&mut self) {
        self.push(150_000, Event::Operate);
        let Some((host, old)) = self.replacing else { return };
        let fresh = self.hosts[host].identity;
        let members = self.checker.members();
        if members.is_voter(fresh) && members.find(old).is_none() {
            self.replacing = None;
            self.checker.replaced += 1;
            return;
        }
        let change = if members.find(old).is_some() {
            MemberChange::Remove { identity: old }
        } else {
            let name = SharedName::from(format!("host-{host}"));
            MemberChange::Add { host: name, address: SharedName::default(), identity: fresh }
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
