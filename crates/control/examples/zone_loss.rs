//! Loses one availability zone at the design size and prints when each database has a new primary.
//!
//! `cargo run --release -p banyansill-control --example zone_loss [DATABASES] [SECONDS]`
//!
//! The control leader is the real one. Its log is in memory and paced to the rate that three replicas
//! with disks reached; entries and targets are fakes in the same process that send heartbeats with a
//! report per target. Only the heartbeats of entries count as signs of a target.

use {
    banyansill_control::{
        command_log::{CommandLog, LogError, LogStatus},
        leader,
        members::SingleReplicaMembers,
        node::ControlNode,
        single_replica_log::SingleReplicaLog,
    },
    banyansill_core::{
        cluster::{
            BrokerRef, ChangeSet, ChangedItem, ClusterCommand, ClusterReply, ClusterState,
            DatabaseRecord, EntryInfo, TargetInfo,
        },
        names::SharedName,
        position::LogPosition,
        promotion::preferred_entry,
        state_machine::StateMachine,
    },
    banyansill_runtime::events::EventSink,
    banyansill_testkit::usage::processor_time,
    banyansill_wire::v1,
    futures::future::join_all,
    std::{
        collections::{BTreeMap, BTreeSet},
        env,
        error::Error,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time},
};

type AnyError = Box<dyn Error + Send + Sync>;

/// Servers of one database.
const SERVERS: usize = 3;

/// Databases per 100 entries at the design size: 18,000 behind 2,700.
const DATABASES_PER_100: usize = 667;

/// Changes per second of three replicas with 256 in progress, from `log_cost`.
const LOG_RATE: u32 = 4_661;

const INCARNATION: u64 = 1_750_000_000_000;

/// Parts of the heartbeat interval; each part of the entries sends in its own.
const SLOTS: u32 = 10;

const HEARTBEAT: Duration = Duration::from_millis(500);

/// Time before the zone is lost: the first lease of a new leader and a few rounds of heartbeats.
const WARM_UP: Duration = Duration::from_secs(6);

const ZONES: [(&str, &str); 7] = [
    ("region-1", "zone-1a"),
    ("region-1", "zone-1b"),
    ("region-1", "zone-1c"),
    ("region-2", "zone-2a"),
    ("region-2", "zone-2b"),
    ("region-3", "zone-3a"),
    ("region-3", "zone-3b"),
];

#[derive(Default)]
struct LogMeter {
    applied: u64,
    apply: Duration,
    longest_apply: Duration,
    inspect: Duration,
    longest_inspect: Duration,
}

/// Log in memory that commits at most `LOG_RATE` commands per second and measures its thread's work.
#[derive(Clone)]
struct PacedLog {
    log: SingleReplicaLog<ClusterState>,
    next: Arc<Mutex<Instant>>,
    meter: Arc<Mutex<LogMeter>>,
}

impl CommandLog for PacedLog {
    type Machine = ClusterState;

    async fn propose(&self, command: Vec<u8>) -> Result<(u64, ClusterReply), LogError> {
        let at = {
            let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
            let at = (*next).max(Instant::now());
            *next = at + Duration::from_secs(1) / LOG_RATE;
            at
        };
        time::sleep_until(at.into()).await;
        let start = Instant::now();
        let result = self.log.propose(command).await;
        let mut meter = self.meter.lock().unwrap_or_else(PoisonError::into_inner);
        meter.applied += 1;
        meter.apply += start.elapsed();
        meter.longest_apply = meter.longest_apply.max(start.elapsed());
        drop(meter);
        result
    }

    async fn confirm(&self) -> Result<u64, LogError> {
        self.log.confirm().await
    }

    async fn inspect<T, F>(&self, function: F) -> Result<T, LogError>
    where
        T: Send + 'static,
        F: FnOnce(&ClusterState) -> T + Send + 'static,
    {
        let meter = Arc::clone(&self.meter);
        let measured = move |state: &ClusterState| {
            let start = Instant::now();
            let result = function(state);
            let elapsed = start.elapsed();
            let mut meter = meter.lock().unwrap_or_else(PoisonError::into_inner);
            meter.inspect += elapsed;
            meter.longest_inspect = meter.longest_inspect.max(elapsed);
            result
        };
        self.log.inspect(measured).await
    }

    fn status(&self) -> watch::Receiver<LogStatus> {
        self.log.status()
    }
}

fn entry_info(number: usize) -> EntryInfo {
    let (region, zone) = ZONES[number % ZONES.len()];
    let address = format!("10.1.{}.{}", number / 250, number % 250);
    EntryInfo {
        host: format!("entry-{number:05}").into(),
        address: format!("{address}:7000").into(),
        caller_address: format!("{address}:5432").into(),
        announce_address: format!("{address}:8080").into(),
        region: region.into(),
        zone: zone.into(),
        incarnation: INCARNATION,
        draining: false,
    }
}

fn target_info(database: usize, server: usize) -> TargetInfo {
    let (region, zone) = ZONES[(database + server) % ZONES.len()];
    let number = database * SERVERS + server;
    let address = format!("10.{}.{}.{}", 16 + number / 62_500, number / 250 % 250, number % 250);
    TargetInfo {
        address: format!("{address}:5432").into(),
        replication_address: format!("{address}:5433").into(),
        region: region.into(),
        zone: zone.into(),
        slots: 5,
        connections: 70,
        leaving: false,
        incarnation: INCARNATION,
    }
}

/// Builds the state of a deployment that is at rest: every target has the broker that it should have.
fn build(databases: usize, entries: usize) -> (ClusterState, u64) {
    let mut state = ClusterState::default();
    let mut index = 0;
    let mut apply = |state: &mut ClusterState, command: ClusterCommand| {
        index += 1;
        state.apply(index, &command.encode());
    };
    for number in 0..entries {
        apply(&mut state, ClusterCommand::JoinEntry { entry: entry_info(number) });
    }
    let mut zones: BTreeMap<SharedName, Vec<_>> = BTreeMap::new();
    for record in state.entries().values() {
        zones.entry(record.info.zone.clone()).or_default().push(record.clone());
    }
    for number in 0..databases {
        let database: SharedName = format!("database-{number:05}").into();
        for position in 0..SERVERS {
            let server: SharedName = format!("server-{}", position + 1).into();
            let info = target_info(number, position);
            let near = zones.get(&info.zone).into_iter().flatten();
            let broker = preferred_entry(near, &database, &server, &info).map(|entry| BrokerRef {
                host: entry.info.host.clone(),
                incarnation: entry.info.incarnation,
            });
            let (database, server) = (database.clone(), server.clone());
            let record = ClusterCommand::RecordTarget {
                database: database.clone(),
                server: server.clone(),
                info,
            };
            apply(&mut state, record);
            let assign =
                ClusterCommand::AssignBroker { database, server, expected_epoch: 0, broker };
            apply(&mut state, assign);
        }
        let adopt = ClusterCommand::AdoptPrimary {
            database,
            server: "server-1".into(),
            incarnation: INCARNATION,
            term: 1,
            start: LogPosition::ZERO,
        };
        apply(&mut state, adopt);
    }
    (state, index)
}

/// The entries and targets, with the state as their watch shows it.
struct Fakes {
    version: u64,
    groups: BTreeMap<SharedName, DatabaseRecord>,
    held: BTreeMap<SharedName, BTreeSet<(SharedName, SharedName)>>,
    /// When a broker took a target of the lost zone over.
    taken: BTreeMap<(SharedName, SharedName, u64), Instant>,
    lost: Option<Instant>,
}

impl Fakes {
    async fn update(&mut self, log: &PacedLog) -> Result<(), AnyError> {
        let since = self.version;
        let (version, groups) = log
            .log
            .inspect(move |state| {
                let mut groups = Vec::new();
                match state.changes_since(since) {
                    ChangeSet::Items(items) => {
                        for item in items {
                            let ChangedItem::Database(name) = item else { continue };
                            let Some(group) = state.databases().get(&name) else { continue };
                            groups.push((name, group.clone()));
                        }
                    }
                    ChangeSet::Reset => {
                        for (name, group) in state.databases() {
                            groups.push((name.clone(), group.clone()));
                        }
                    }
                    ChangeSet::Unchanged | ChangeSet::Ahead => {}
                }
                (state.version(), groups)
            })
            .await?;
        self.version = version;
        for (name, group) in groups {
            if let Some(old) = self.groups.get(&name) {
                for (server, target) in &old.targets {
                    let Some(broker) = &target.broker else { continue };
                    if let Some(held) = self.held.get_mut(&broker.host) {
                        held.remove(&(name.clone(), server.clone()));
                    }
                }
            }
            for (server, target) in &group.targets {
                let Some(broker) = &target.broker else { continue };
                let held = self.held.entry(broker.host.clone()).or_default();
                held.insert((name.clone(), server.clone()));
            }
            self.groups.insert(name, group);
        }
        Ok(())
    }

    fn request(&mut self, entry: &EntryInfo) -> v1::HeartbeatRequest {
        let mut reports = Vec::new();
        for key in self.held.get(&entry.host).into_iter().flatten() {
            let Some(group) = self.groups.get(&key.0) else { continue };
            let Some(target) = group.targets.get(&key.1) else { continue };
            let dead = self.lost.is_some() && target.info.zone.as_str() == ZONES[0].1;
            let mut unreachable_ms = 0;
            if dead {
                let taken = (key.0.clone(), key.1.clone(), target.epoch);
                let since = self.taken.entry(taken).or_insert_with(Instant::now);
                unreachable_ms = u32::try_from(since.elapsed().as_millis()).unwrap_or(u32::MAX);
            }
            let chosen = group.candidate.as_ref().is_some_and(|chosen| chosen.server == key.1);
            let primary = chosen || (group.primary.as_ref() == Some(&key.1) && !group.closed);
            let role = if primary { v1::Role::Primary } else { v1::Role::Replica };
            reports.push(v1::TargetReport {
                database: key.0.to_string(),
                server: key.1.to_string(),
                epoch: target.epoch,
                reachable: !dead,
                unreachable_ms,
                role: role.into(),
                position: Some(v1::Position { term: 1, offset: 1_000_000 }),
                fenced_term: if group.closed { group.term } else { 0 },
                open_connections: 5,
                term: if chosen { group.candidate_term } else { group.term },
                announced_incarnation: if dead { 0 } else { INCARNATION },
                ..v1::TargetReport::default()
            });
        }
        v1::HeartbeatRequest {
            entry: Some(v1::EntryInfo {
                host: entry.host.to_string(),
                address: entry.address.to_string(),
                caller_address: entry.caller_address.to_string(),
                region: entry.region.to_string(),
                zone: entry.zone.to_string(),
                incarnation: entry.incarnation,
                ..v1::EntryInfo::default()
            }),
            applied_version: self.version,
            reports,
            ..v1::HeartbeatRequest::default()
        }
    }
}

#[tokio::main(worker_threads = 3)]
async fn main() -> Result<(), AnyError> {
    let mut arguments = env::args().skip(1);
    let databases = arguments.next().map_or(Ok(18_000), |text| text.parse::<usize>())?;
    let seconds = arguments.next().map_or(Ok(25), |text| text.parse::<u64>())?;
    let entries = databases * 100 / DATABASES_PER_100;
    let (state, built) = build(databases, entries);
    let lost_groups: BTreeSet<SharedName> = state
        .databases()
        .iter()
        .filter(|(_, group)| group.targets["server-1"].info.zone.as_str() == ZONES[0].1)
        .map(|(name, _)| name.clone())
        .collect();
    let log = PacedLog {
        log: SingleReplicaLog::resumed(state, built, None),
        next: Arc::new(Mutex::new(Instant::now())),
        meter: Arc::default(),
    };
    let members = SingleReplicaMembers { host: "control".into(), address: String::new() };
    let node = ControlNode::new(log.clone(), members, EventSink::new("control".into()));
    let leading = tokio::spawn(leader::run(node.clone()));
    let mut fakes = Fakes {
        version: 0,
        groups: BTreeMap::new(),
        held: BTreeMap::new(),
        taken: BTreeMap::new(),
        lost: None,
    };
    fakes.update(&log).await?;
    let infos: Vec<EntryInfo> = (0..entries).map(entry_info).collect();
    let start = Instant::now();
    let mut ticks = time::interval(HEARTBEAT / SLOTS);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let (mut refused, mut beats, mut longest_round) = (0, 0_u64, Duration::ZERO);
    let mut renewed_primary: BTreeMap<SharedName, Duration> = BTreeMap::new();
    let mut brokers_done = None;
    let mut used = Duration::ZERO;
    for tick in 0_u32.. {
        ticks.tick().await;
        if fakes.lost.is_none() && start.elapsed() >= WARM_UP {
            fakes.lost = Some(Instant::now());
            *log.meter.lock().unwrap_or_else(PoisonError::into_inner) = LogMeter::default();
            (refused, beats, longest_round) = (0, 0, Duration::ZERO);
            used = processor_time(|_| true)?;
        }
        fakes.update(&log).await?;
        if let Some(lost) = fakes.lost {
            for name in &lost_groups {
                let group = &fakes.groups[name];
                if group.term > 1 && !group.closed && !renewed_primary.contains_key(name) {
                    renewed_primary.insert(name.clone(), lost.elapsed());
                }
            }
            let orphaned = fakes.groups.values().any(|group| {
                group.targets.values().any(|target| {
                    target.broker.is_none()
                        || target.info.zone.as_str() == ZONES[0].1 && target.live
                })
            });
            if orphaned {
                brokers_done = None;
            } else {
                brokers_done.get_or_insert(lost.elapsed());
            }
            let finished = renewed_primary.len() == lost_groups.len() && brokers_done.is_some();
            if finished || lost.elapsed() >= Duration::from_secs(seconds) {
                break;
            }
        }
        let round = Instant::now();
        let mut sent = Vec::new();
        for (number, info) in infos.iter().enumerate() {
            let dead = fakes.lost.is_some() && info.zone.as_str() == ZONES[0].1;
            if dead || number % SLOTS as usize != (tick % SLOTS) as usize {
                continue;
            }
            let (node, request) = (node.clone(), fakes.request(info));
            sent.push(tokio::spawn(async move { node.heartbeat(request).await.renewed }));
        }
        for renewed in join_all(sent).await {
            beats += 1;
            refused += u64::from(!renewed?);
        }
        longest_round = longest_round.max(round.elapsed());
    }
    leading.abort();
    let lost = fakes.lost.map_or(Duration::ZERO, |lost| lost.elapsed());
    let used = processor_time(|_| true)? - used;
    let mut times: Vec<f64> = renewed_primary.values().map(Duration::as_secs_f64).collect();
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times.get((times.len() as f64 * share) as usize).copied().unwrap_or(0.0);
    println!("{databases} databases, {entries} entries, {} without primary", lost_groups.len());
    println!(
        "new primary: {} of {}; first {:.1} s, median {:.1} s, last {:.1} s",
        times.len(),
        lost_groups.len(),
        at(0.0),
        at(0.5),
        times.last().copied().unwrap_or(0.0)
    );
    match brokers_done {
        Some(done) => {
            println!("all brokers assigned, lost targets marked: {:.1} s", done.as_secs_f64())
        }
        None => println!("brokers or marks incomplete after {:.1} s", lost.as_secs_f64()),
    }
    let meter = log.meter.lock().unwrap_or_else(PoisonError::into_inner);
    println!(
        "commands {}, applied in {:.0} ms, longest {:.1} ms; looks at the state {:.0} ms, longest \
         {:.1} ms; {beats} heartbeats, {refused} refused, longest round {:.0} ms; {:.1} s of \
         processor in {:.1} s",
        meter.applied,
        meter.apply.as_secs_f64() * 1e3,
        meter.longest_apply.as_secs_f64() * 1e3,
        meter.inspect.as_secs_f64() * 1e3,
        meter.longest_inspect.as_secs_f64() * 1e3,
        longest_round.as_secs_f64() * 1e3,
        used.as_secs_f64(),
        lost.as_secs_f64()
    );
    Ok(())
}
