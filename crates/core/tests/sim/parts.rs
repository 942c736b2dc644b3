//! Entries and targets of the simulation.

use {
    super::DATABASE,
    banyansill_core::{
        cluster::{BrokerRef, ClusterState, EntryInfo, TargetInfo},
        detector::{ANNOUNCEMENT_TIMEOUT, BrokerReport, EntryHeartbeat, TargetAnnouncement},
        names::SharedName,
        position::LogPosition,
        route::TargetRole,
        time::{HEARTBEAT_INTERVAL, Micros, NODE_LEASE},
    },
    rand::{Rng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
    },
};

pub struct Heartbeat {
    pub due: Micros,
    pub sent: Micros,
    pub number: usize,
    pub info: EntryInfo,
    pub body: EntryHeartbeat,
    /// Announcements whose content control may not have recorded yet.
    pub unrecorded: Vec<(SharedName, TargetInfo, TargetAnnouncement)>,
}

pub struct SimTarget {
    pub name: SharedName,
    pub alive: bool,
    pub incarnation: u64,
    pub leaving: bool,
    /// Whether its announcements are lost.
    pub announcements_lost: bool,
    /// Whether it replicates slowly.
    pub lagging: bool,
    pub role: TargetRole,
    pub term: u64,
    /// Term of each entry of the log.
    pub log: Vec<u64>,
    /// Whether control has received an announcement of this incarnation; until then it does not replicate.
    pub registered: bool,
    /// Entry to which it announces itself instead of control.
    pub announce_to: Option<SharedName>,
    /// When it announces itself to control because its broker did not reply.
    pub fallback: Option<Micros>,
    following: Option<SharedName>,
    announced: Micros,
    number: usize,
}

impl SimTarget {
    pub fn new(number: usize) -> Self {
        let primary = number == 0;
        Self {
            name: format!("server-{number}").into(),
            alive: true,
            incarnation: 1,
            leaving: false,
            announcements_lost: false,
            lagging: false,
            role: if primary { TargetRole::Primary } else { TargetRole::Replica },
            term: 1,
            log: Vec::new(),
            registered: false,
            announce_to: None,
            fallback: None,
            following: (!primary).then(|| "server-0".into()),
            announced: Micros::ZERO,
            number,
        }
    }

    /// Clears the state that a new process lacks: its broker and its registration with control.
    pub fn reset_process(&mut self) {
        self.registered = false;
        self.announce_to = None;
        self.fallback = None;
    }

    pub fn position(&self) -> LogPosition {
        let offset = u64::try_from(self.log.len()).unwrap();
        self.log.last().map_or(LogPosition::ZERO, |term| LogPosition::new(*term, offset))
    }

    pub fn role_is_primary(&self) -> bool {
        self.role == TargetRole::Primary
    }

    pub fn contains(&self, position: LogPosition) -> bool {
        let index = usize::try_from(position.offset).unwrap() - 1;
        self.log.get(index) == Some(&position.term.0)
    }

    pub fn announcement(&mut self, now: Micros) -> Option<(TargetInfo, TargetAnnouncement)> {
        if !self.alive || self.announcements_lost {
            return None;
        }
        if self.fallback.is_some_and(|at| now >= at) {
            self.fallback = None;
            self.announce_to = None;
        } else if now.since(self.announced) < HEARTBEAT_INTERVAL {
            return None;
        } else {
            self.announced = now;
        }
        let info = TargetInfo {
            address: format!("127.0.0.1:{}", 7300 + self.number).into(),
            region: "gulf".into(),
            zone: "gulf-a".into(),
            leaving: self.leaving,
            incarnation: self.incarnation,
            ..TargetInfo::default()
        };
        let announcement = TargetAnnouncement {
            incarnation: self.incarnation,
            role: Some(self.role),
            term: self.term,
            position: self.position(),
        };
        Some((info, announcement))
    }

    /// Copies the log of the followed servers, a few entries at a time.
    pub fn replicate(targets: &mut [Self], rng: &mut StdRng) {
        for number in 0..targets.len() {
            let target = &targets[number];
            let Some(source) = target.following.clone() else { continue };
            let Some(source) = targets.iter().find(|other| other.name == source) else { continue };
            if !target.alive || !target.registered || !source.alive || source.term != target.term {
                continue;
            }
            let chance = if target.lagging { 0.05 } else { 0.6 };
            if !rng.random_bool(chance) {
                continue;
            }
            let pairs = source.log.iter().zip(&target.log);
            let common = pairs.take_while(|(left, right)| left == right).count();
            let end = source.log.len().min(common + rng.random_range(1..4));
            let mut log = source.log[..common].to_vec();
            log.extend_from_slice(&source.log[common..end]);
            targets[number].log = log;
        }
    }
}

pub struct SimEntry {
    pub host: SharedName,
    pub incarnation: u64,
    pub alive: bool,
    pub paused_until: Micros,
    /// Whether it is partitioned from control in both directions.
    pub partitioned: bool,
    /// Whether its watch of the cluster state hangs.
    pub watch_stalled: bool,
    /// Servers that it cannot reach.
    pub unreachable: BTreeSet<SharedName>,
    number: usize,
    /// Real time that passes per 100 units of its clock.
    rate: u64,
    lease: Micros,
    view: Rc<ClusterState>,
    last_heartbeat: Micros,
    held: BTreeSet<SharedName>,
    fenced: u64,
    unacknowledged: Vec<LogPosition>,
    failing: BTreeMap<SharedName, Micros>,
    probes: BTreeMap<SharedName, (Micros, BrokerReport)>,
    announcements: BTreeMap<SharedName, (Micros, TargetInfo, TargetAnnouncement)>,
    /// Incarnations that the last heartbeat reported as announced.
    last_announced: BTreeMap<SharedName, u64>,
}

impl SimEntry {
    pub fn new(number: usize, rate: u64) -> Self {
        Self {
            host: format!("entry-{number}").into(),
            incarnation: 1,
            alive: true,
            paused_until: Micros::ZERO,
            partitioned: false,
            watch_stalled: false,
            unreachable: BTreeSet::new(),
            number,
            rate,
            lease: Micros::ZERO,
            view: Rc::new(ClusterState::default()),
            last_heartbeat: Micros::ZERO,
            held: BTreeSet::new(),
            fenced: 0,
            unacknowledged: Vec::new(),
            failing: BTreeMap::new(),
            probes: BTreeMap::new(),
            announcements: BTreeMap::new(),
            last_announced: BTreeMap::new(),
        }
    }

    /// Accepts an announcement if this process holds a lease and is the target's broker in its view.
    pub fn receive_announcement(
        &mut self,
        now: Micros,
        server: &SharedName,
        (info, announcement): (TargetInfo, TargetAnnouncement),
    ) -> bool {
        let me = BrokerRef { host: self.host.clone(), incarnation: self.incarnation };
        let view = Rc::clone(&self.view);
        let record = view.target(DATABASE, server).filter(|record| record.broker == Some(me));
        let adopted = view.databases().get(DATABASE).is_some_and(|group| group.term > 0);
        if now >= self.lease || !adopted || record.is_none() {
            return false;
        }
        if record.is_some_and(|record| record.info != info) {
            self.last_heartbeat = Micros::ZERO;
        }
        self.announcements.insert(server.clone(), (now, info, announcement));
        true
    }

    fn announced(&self, now: Micros) -> BTreeMap<SharedName, u64> {
        let mut announced = BTreeMap::new();
        for (server, (at, info, _)) in &self.announcements {
            if now.since(*at) < ANNOUNCEMENT_TIMEOUT {
                announced.insert(server.clone(), info.incarnation);
            }
        }
        announced
    }

    pub fn restart(&mut self) {
        let (unreachable, partitioned) = (std::mem::take(&mut self.unreachable), self.partitioned);
        let incarnation = self.incarnation + 1;
        *self = Self { incarnation, unreachable, partitioned, ..Self::new(self.number, self.rate) };
    }

    pub fn runs(&self, now: Micros) -> bool {
        self.alive && now >= self.paused_until
    }

    pub fn holds(&self, now: Micros, server: &SharedName) -> bool {
        now < self.lease && self.held.contains(server)
    }

    pub fn may_act(&self, now: Micros) -> bool {
        self.runs(now) && now < self.lease
    }

    pub fn sheet_number(&self) -> u64 {
        self.view.sheet().map_or(0, |record| record.number)
    }

    pub fn renewed(&mut self, holder: &BrokerRef, sent: Micros) {
        if self.alive && holder.incarnation == self.incarnation {
            let span = Micros(NODE_LEASE.0 * self.rate / 100);
            self.lease = self.lease.max(sent + span);
        }
    }

    pub fn watch(&mut self, now: Micros, state: &Rc<ClusterState>) {
        if !self.partitioned && !self.watch_stalled && state.version() > self.view.version() {
            self.view = Rc::clone(state);
        }
        if now >= self.lease {
            self.held.clear();
            self.unacknowledged.clear();
        }
    }

    /// Opens and closes connections, probes, promotes and demotes targets, and writes on the primary.
    pub fn act(&mut self, now: Micros, targets: &mut [SimTarget], rng: &mut StdRng) {
        if now >= self.lease {
            return;
        }
        let view = Rc::clone(&self.view);
        let Some(group) = view.databases().get(DATABASE) else { return };
        for target in targets {
            let Some(record) = group.targets.get(&target.name) else { continue };
            let broker = view.live_broker(record).map(|entry| entry.info.host.clone());
            let mine = broker.as_ref() == Some(&self.host)
                && record
                    .broker
                    .as_ref()
                    .is_some_and(|broker| broker.incarnation == self.incarnation);
            if !mine {
                if rng.random_bool(0.3) {
                    self.held.remove(&target.name);
                }
                continue;
            }
            self.held.insert(target.name.clone());
            let reachable = target.alive && !self.unreachable.contains(&target.name);
            self.probe(now, target, record.epoch, reachable);
            if !reachable {
                continue;
            }
            let candidate = group.candidate.as_ref().map(|candidate| &candidate.server);
            if group.closed && candidate == Some(&target.name) && target.term < group.candidate_term
            {
                target.role = TargetRole::Primary;
                target.term = group.candidate_term;
                target.following = None;
            }
            let primary = group.primary.as_ref() == Some(&target.name);
            if !group.closed && !primary && target.term <= group.term {
                target.role = TargetRole::Replica;
                target.term = group.term;
                target.following.clone_from(&group.primary);
            }
            let open = !group.closed && primary && target.term == group.term;
            if open && target.role == TargetRole::Primary && rng.random_bool(0.3) {
                target.log.push(target.term);
                self.unacknowledged.push(target.position());
            }
        }
    }

    fn probe(&mut self, now: Micros, target: &SimTarget, epoch: u64, reachable: bool) {
        let last = self.probes.get(&target.name).map(|(at, report)| (*at, report.epoch));
        if last.is_some_and(|(at, seen)| seen == epoch && now.since(at) < Micros::from_millis(250))
        {
            return;
        }
        let since = *self.failing.entry(target.name.clone()).or_insert(now);
        if reachable {
            self.failing.remove(&target.name);
        }
        let report = BrokerReport {
            epoch,
            reachable,
            unreachable_for: now.since(since),
            role: Some(target.role),
            term: target.term,
            position: target.position(),
            term_start: None,
            fenced_term: 0,
            open_connections: 1,
            announced: None,
        };
        self.probes.insert(target.name.clone(), (now, report));
    }

    /// Acknowledges the writes that a second server has, if the lease and the term still allow it.
    pub fn acknowledge(&mut self, now: Micros, targets: &[SimTarget]) -> Vec<LogPosition> {
        let view = Rc::clone(&self.view);
        let Some(group) = view.databases().get(DATABASE) else { return Vec::new() };
        if group.closed {
            self.unacknowledged.clear();
            self.fenced = self.fenced.max(group.term);
        }
        let valid = now < self.lease;
        let mut acked = Vec::new();
        self.unacknowledged.retain(|position| {
            if !valid || group.term != position.term.0 {
                return false;
            }
            let copies = targets.iter().filter(|target| target.contains(*position)).count();
            if copies >= 2 {
                acked.push(*position);
            }
            copies < 2
        });
        acked
    }

    pub fn heartbeat(&mut self, now: Micros, rng: &mut StdRng) -> Option<Heartbeat> {
        let announced = self.announced(now);
        if now.since(self.last_heartbeat) < HEARTBEAT_INTERVAL && announced == self.last_announced {
            return None;
        }
        self.last_heartbeat = now;
        self.last_announced.clone_from(&announced);
        if self.partitioned || rng.random_bool(0.03) {
            return None;
        }
        let mut reports = BTreeMap::new();
        for (server, (_, probe)) in &self.probes {
            let held = self.held.contains(server);
            let report = BrokerReport {
                fenced_term: self.fenced,
                open_connections: u32::from(held),
                announced: announced.get(server).copied(),
                ..*probe
            };
            reports.insert((DATABASE.into(), server.clone()), report);
        }
        let info = EntryInfo {
            host: self.host.clone(),
            address: format!("127.0.0.1:{}", 7100 + self.number).into(),
            region: "gulf".into(),
            zone: "gulf-a".into(),
            incarnation: self.incarnation,
            announce_address: self.host.clone(),
            ..EntryInfo::default()
        };
        let mut unrecorded = Vec::new();
        for (server, (_, info, announcement)) in &self.announcements {
            let recorded = self.view.target(DATABASE, server).map(|record| &record.info);
            if announced.contains_key(server) && (info.leaving || recorded != Some(info)) {
                unrecorded.push((server.clone(), info.clone(), *announcement));
            }
        }
        let entry = BrokerRef { host: self.host.clone(), incarnation: self.incarnation };
        let applied_version = self.view.version();
        let sheet_number = self.sheet_number();
        let body = EntryHeartbeat { entry, applied_version, sheet_number, reports };
        let due = now + Micros::from_millis(rng.random_range(1..40));
        Some(Heartbeat { due, sent: now, number: self.number, info, body, unrecorded })
    }
}
