//! Simulation of control, entries and one database group on virtual time, with faults.
//!
//! The entries follow the contract of the design page: they act under a lease that they count from the
//! time at which they sent the heartbeat, drop all connections and pending writes when it expires, and
//! check lease and term at each acknowledgement. A write is acknowledged only once a second server has
//! it.

mod fault;
mod parts;

pub use {
    fault::{Fault, fault_plan},
    parts::{SimEntry, SimTarget},
};

use {
    banyansill_core::{
        cluster::{
            BrokerRef, ClusterCommand, ClusterRejection, ClusterReply, ClusterState,
            DatabaseRecord, TargetInfo,
        },
        detector::{LivenessTable, TargetAnnouncement},
        names::SharedName,
        position::LogPosition,
        promotion::decide,
        state_machine::StateMachine,
        time::Micros,
    },
    parts::Heartbeat,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
    },
};

pub const STEP: Micros = Micros::from_millis(25);
pub const DATABASE: &str = "repairs-1";

/// Time that a target waits for its broker's reply to an announcement.
const REPLY_TIMEOUT: Micros = Micros::from_millis(400);

/// Maximum delay of a decision: a group with unfinished work is evaluated every 100 ms.
const MAX_DECISION_DELAY: Micros = Micros::from_millis(125);

struct Proposal {
    due: Micros,
    command: ClusterCommand,
    expiring: Option<BrokerRef>,
}

/// Returns a key of a decision without the observations in it, which may change at every step.
fn decision_key(command: &ClusterCommand) -> String {
    match command {
        ClusterCommand::ExpireEntry { host, .. } => format!("expire {host}"),
        ClusterCommand::SetTargetLive { server, live, .. } => format!("live {server} {live}"),
        ClusterCommand::ForgetTarget { server, .. } => format!("forget {server}"),
        ClusterCommand::AssignBroker { server, expected_epoch, broker, .. } => {
            format!("assign {server} {expected_epoch} {broker:?}")
        }
        ClusterCommand::AdoptPrimary { .. } => "adopt".to_owned(),
        ClusterCommand::CloseTerm { expected_term, planned, .. } => {
            format!("close {expected_term} {planned}")
        }
        ClusterCommand::ChooseCandidate { expected_candidate_term, .. } => {
            format!("choose {expected_candidate_term}")
        }
        ClusterCommand::Promote { term, .. } => format!("promote {term}"),
        other => format!("{other:?}"),
    }
}

pub struct World {
    pub now: Micros,
    pub rng: StdRng,
    pub state: Rc<ClusterState>,
    pub entries: Vec<SimEntry>,
    pub targets: Vec<SimTarget>,
    pub acked: Vec<LogPosition>,
    pub promotions: usize,
    /// Accepted sheets with the time of acceptance.
    pub sheets: Vec<(u64, Micros)>,
    /// Earlier states with the time until which a watch may still deliver them.
    states: Vec<(Micros, Rc<ClusterState>)>,
    index: u64,
    table: Option<LivenessTable>,
    elected: Micros,
    proposals: Vec<Proposal>,
    heartbeats: Vec<Heartbeat>,
    /// Decisions of a pass over every group that the leader has not made, with the time at which each
    /// first appeared.
    outstanding: BTreeMap<String, Micros>,
    /// Number of announcements that brokers accepted.
    pub broker_announcements: usize,
}

impl World {
    pub fn new(seed: u64, entries: usize, targets: usize) -> Self {
        let mut world = Self {
            now: Micros::from_secs(100),
            rng: StdRng::seed_from_u64(seed),
            state: Rc::new(ClusterState::default()),
            entries: Vec::new(),
            targets: Vec::new(),
            acked: Vec::new(),
            promotions: 0,
            sheets: Vec::new(),
            states: Vec::new(),
            index: 0,
            table: None,
            elected: Micros::ZERO,
            proposals: Vec::new(),
            heartbeats: Vec::new(),
            outstanding: BTreeMap::new(),
            broker_announcements: 0,
        };
        for number in 0..entries {
            // The first clock is the slowest that the margin allows for; the others are fast.
            let rate = if number == 0 { 105 } else { 97 };
            world.entries.push(SimEntry::new(number, rate));
        }
        for number in 0..targets {
            world.targets.push(SimTarget::new(number));
        }
        world
    }

    pub fn group(&self) -> Option<&DatabaseRecord> {
        self.state.databases().get(DATABASE)
    }

    pub fn primary(&self) -> Option<&SimTarget> {
        let group = self.group()?;
        let primary = group.primary.as_ref().filter(|_| !group.closed)?;
        self.targets.iter().find(|target| target.name == *primary)
    }

    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds; fails the test after the limit.
    pub fn run_until(&mut self, what: &str, limit: Micros, condition: impl Fn(&Self) -> bool) {
        let end = self.now + limit;
        while !condition(self) {
            assert!(self.now < end, "{what} did not happen within {} ms", limit.as_millis());
            self.step();
        }
    }

    pub fn elect(&mut self, after: Micros) {
        // Commands of the old leader are either lost or applied before the new one starts.
        for proposal in std::mem::take(&mut self.proposals) {
            if self.rng.random_bool(0.5) {
                self.commit(&proposal.command);
            }
        }
        self.table = None;
        self.elected = self.now + after;
    }

    pub fn commit(&mut self, command: &ClusterCommand) -> ClusterReply {
        let mut state = ClusterState::clone(&self.state);
        let before = state.databases().get(DATABASE).map_or(0, |group| group.term);
        self.index += 1;
        let reply = state.apply(self.index, &command.encode());
        self.states.push((self.now + Micros::from_millis(150), Rc::clone(&self.state)));
        self.state = Rc::new(state);
        let term = self.group().map_or(0, |group| group.term);
        assert!(term >= before, "the term fell from {before} to {term}");
        if let (
            ClusterCommand::Promote { candidate, .. },
            ClusterReply::Done { changed: true, .. },
        ) = (command, &reply)
        {
            self.promotions += 1;
            let target = self.targets.iter().find(|target| target.name == *candidate).unwrap();
            for position in &self.acked {
                assert!(
                    target.contains(*position),
                    "{candidate} was promoted without the acknowledged write {position}"
                );
            }
        }
        reply
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.run_leader();
        self.deliver_heartbeats();
        let now = self.now;
        self.states.retain(|(until, _)| *until > now);
        for number in 0..self.entries.len() {
            let view = self.visible_state();
            let entry = &mut self.entries[number];
            if !entry.runs(now) {
                continue;
            }
            entry.watch(now, &view);
            entry.act(now, &mut self.targets, &mut self.rng);
            let acked = entry.acknowledge(now, &self.targets);
            for position in acked {
                let term = self.group().map_or(0, |group| group.term);
                assert!(position.term.0 >= term, "{position} was acknowledged in term {term}");
                self.acked.push(position);
            }
            let entry = &mut self.entries[number];
            if let Some(heartbeat) = entry.heartbeat(now, &mut self.rng) {
                self.heartbeats.push(heartbeat);
            }
        }
        for target in &self.targets {
            let holding = self
                .entries
                .iter()
                .filter(|entry| entry.runs(now) && entry.holds(now, &target.name));
            let holding: Vec<&str> = holding.map(|entry| entry.host.as_str()).collect();
            assert!(holding.len() <= 1, "{holding:?} hold connections of {}", target.name);
        }
        // The sheet's grace period, a lease on the slowest clock, and one pass of the leader.
        let bound = Micros::from_secs(4);
        for (number, accepted) in self.sheets.iter().filter(|(_, at)| now.since(*at) > bound) {
            for entry in self.entries.iter().filter(|entry| entry.may_act(now)) {
                let applied = entry.sheet_number();
                assert!(
                    applied >= *number,
                    "{} acts under sheet {applied} at {now:?}, sheet {number} was accepted at {accepted:?}",
                    entry.host
                );
            }
        }
        let mut terms = BTreeSet::new();
        for target in &self.targets {
            let primary = target.role_is_primary();
            assert!(!primary || terms.insert(target.term), "two primaries of term {}", target.term);
        }
        SimTarget::replicate(&mut self.targets, &mut self.rng);
        self.send_announcements();
    }

    /// Returns a state that the watch of an entry may deliver: the current one or a recent one.
    fn visible_state(&mut self) -> Rc<ClusterState> {
        let choice = self.rng.random_range(0..=self.states.len());
        self.states
            .get(choice)
            .map_or_else(|| Rc::clone(&self.state), |(_, state)| Rc::clone(state))
    }

    fn run_leader(&mut self) {
        if self.table.is_none() && self.now >= self.elected {
            self.table = Some(LivenessTable::new(self.now));
        }
        let Some(table) = &mut self.table else {
            self.outstanding.clear();
            return;
        };
        let mut complete = table.clone();
        complete.request_full_pass();
        let complete = decide(&self.state, &mut complete, self.now);
        let commands = decide(&self.state, table, self.now);
        self.check_decisions(&commands, &complete);
        for command in commands {
            let expiring = match &command {
                ClusterCommand::ExpireEntry { host, .. } => {
                    let incarnation = self.state.entries()[host].info.incarnation;
                    Some(BrokerRef { host: host.clone(), incarnation })
                }
                _ => None,
            };
            // Some commands are lost, some arrive twice.
            let copies = [0, 1, 1, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..10)];
            for _ in 0..copies {
                let due = self.now + Micros::from_millis(self.rng.random_range(0..60));
                let expiring = expiring.clone();
                self.proposals.push(Proposal { due, command: command.clone(), expiring });
            }
        }
        let now = self.now;
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.proposals).into_iter().partition(|item| item.due <= now);
        self.proposals = waiting;
        for proposal in due {
            self.commit(&proposal.command);
            if let (Some(entry), Some(table)) = (proposal.expiring, &mut self.table) {
                table.finish_expiry(&entry);
            }
        }
    }

    /// Compares the decisions of a pass over the groups that changed or are due with those of a pass over
    /// every group: it makes no other decisions, and delays none by `MAX_DECISION_DELAY` or longer.
    fn check_decisions(&mut self, commands: &[ClusterCommand], complete: &[ClusterCommand]) {
        let decided: BTreeSet<_> = commands.iter().map(decision_key).collect();
        let expected: BTreeSet<_> = complete.iter().map(decision_key).collect();
        assert!(decided.is_subset(&expected), "{commands:?} is not within {complete:?}");
        self.outstanding.retain(|key, _| expected.contains(key) && !decided.contains(key));
        for key in expected.difference(&decided) {
            let since = *self.outstanding.entry(key.clone()).or_insert(self.now);
            assert!(self.now.since(since) < MAX_DECISION_DELAY, "{key} has waited since {since:?}");
        }
    }

    fn deliver_heartbeats(&mut self) {
        let now = self.now;
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.heartbeats).into_iter().partition(|item| item.due <= now);
        self.heartbeats = waiting;
        for heartbeat in due {
            let Some(table) = &mut self.table else { continue };
            let holder = heartbeat.body.entry.clone();
            table.heartbeat(now, heartbeat.body);
            if table.holds_lease(&holder, now) {
                for (server, info, announcement) in heartbeat.unrecorded {
                    self.record_announcement(&server, info, announcement);
                }
            }
            let record = self.state.entries().get(&holder.host);
            if !record.is_some_and(|record| record.live && record.info == heartbeat.info) {
                let reply = self.commit(&ClusterCommand::JoinEntry { entry: heartbeat.info });
                if matches!(reply, ClusterReply::Rejected(ClusterRejection::OldIncarnation { .. }))
                {
                    continue;
                }
            }
            let Some(table) = &mut self.table else { continue };
            let renewed = table.renew(&self.state, &holder, now, now).is_ok();
            // Replies are lost like requests.
            if renewed && self.rng.random_bool(0.95) {
                self.entries[heartbeat.number].renewed(&holder, heartbeat.sent);
            }
        }
    }

    fn send_announcements(&mut self) {
        for number in 0..self.targets.len() {
            let target = &mut self.targets[number];
            let Some((info, announcement)) = target.announcement(self.now) else { continue };
            let server = target.name.clone();
            if let Some(host) = target.announce_to.clone() {
                let entry = self.entries.iter_mut().find(|entry| entry.host == host).unwrap();
                if !entry.runs(self.now) || entry.unreachable.contains(&server) {
                    target.fallback = Some(self.now + REPLY_TIMEOUT);
                    continue;
                }
                if entry.receive_announcement(self.now, &server, (info.clone(), announcement)) {
                    self.broker_announcements += 1;
                    continue;
                }
                target.announce_to = None;
            }
            if self.table.is_none() {
                continue;
            }
            self.record_announcement(&server, info, announcement);
            let announce_to = self.state.announce_to(DATABASE, &server).cloned();
            self.targets[number].announce_to = announce_to;
            self.targets[number].registered = true;
        }
    }

    fn record_announcement(
        &mut self,
        server: &SharedName,
        info: TargetInfo,
        announcement: TargetAnnouncement,
    ) {
        let Some(table) = &mut self.table else { return };
        let key = (DATABASE.into(), server.clone());
        let lost_log = table.has_lost_log(&self.state, &key, &announcement);
        table.announce(self.now, key, announcement);
        if lost_log {
            self.commit(&ClusterCommand::SetRejoining {
                database: DATABASE.into(),
                server: server.clone(),
                incarnation: info.incarnation,
                rejoining: true,
            });
        }
        if self.state.target(DATABASE, server).is_none_or(|record| record.info != info) {
            let (database, server) = (DATABASE.into(), server.clone());
            self.commit(&ClusterCommand::RecordTarget { database, server, info });
        }
    }
}
