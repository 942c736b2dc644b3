//! Prints memory, snapshot size and processor time of the cluster state against its size.
//!
//! `cargo run --release -p banyansill-control --example state_cost`

use {
    banyansill_core::{
        cluster::{BrokerRef, ClusterCommand, ClusterState, EntryInfo, TargetInfo},
        collections::FastMap,
        detector::{BrokerReport, EntryHeartbeat, LivenessTable, TargetAnnouncement},
        names::SharedName,
        position::{LogPosition, LogTerm},
        promotion::{self, preferred_entry},
        route::{DatabaseRoute, RouteTable, TargetRole, TargetRoute, TermStart},
        state_machine::StateMachine,
        time::Micros,
    },
    banyansill_testkit::usage::{median, processor_time, resident_bytes},
    std::{collections::BTreeMap, error::Error, hint::black_box, sync::Arc, time::Instant},
};

type AnyError = Box<dyn Error + Send + Sync>;

/// Servers of one database.
const SERVERS: usize = 3;

/// Database groups per entry at the design size: 18,000 behind 2,700.
const DATABASES_PER_ENTRY: f64 = 18_000.0 / 2_700.0;

const ZONES: [(&str, &str); 7] = [
    ("region-1", "zone-1a"),
    ("region-1", "zone-1b"),
    ("region-1", "zone-1c"),
    ("region-2", "zone-2a"),
    ("region-2", "zone-2b"),
    ("region-3", "zone-3a"),
    ("region-3", "zone-3b"),
];

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
        incarnation: 1_750_000_000_000,
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
        incarnation: 1_750_000_000_000,
    }
}

fn database_name(number: usize) -> SharedName {
    format!("database-{number:05}").into()
}

fn server_name(number: usize) -> SharedName {
    format!("server-{}", number + 1).into()
}

/// State that is built by the commands that the leader logs.
#[derive(Default)]
struct StateBuilder {
    state: ClusterState,
    index: u64,
    /// Count, encoded bytes and seconds per kind of command.
    costs: BTreeMap<&'static str, (u64, u64, f64)>,
}

impl StateBuilder {
    fn apply(&mut self, kind: &'static str, command: &ClusterCommand) {
        let bytes = command.encode();
        self.index += 1;
        let start = Instant::now();
        black_box(self.state.apply(self.index, &bytes));
        let cost = self.costs.entry(kind).or_default();
        cost.0 += 1;
        cost.1 += bytes.len() as u64;
        cost.2 += start.elapsed().as_secs_f64();
    }

    fn add_entries(&mut self, from: usize, to: usize) {
        for number in from..to {
            self.apply("JoinEntry", &ClusterCommand::JoinEntry { entry: entry_info(number) });
        }
    }

    fn add_databases(&mut self, from: usize, to: usize) {
        let entries = self.state.entries().len();
        for number in from..to {
            let database = database_name(number);
            for index in 0..SERVERS {
                let (server, info) = (server_name(index), target_info(number, index));
                // Spread evenly; rendezvous hashing over all entries would take most of the run.
                let entry = entry_info((number * SERVERS + index) % entries);
                let broker = Some(BrokerRef { host: entry.host, incarnation: entry.incarnation });
                let (database, server) = (database.clone(), server.clone());
                let record = ClusterCommand::RecordTarget {
                    database: database.clone(),
                    server: server.clone(),
                    info,
                };
                self.apply("RecordTarget", &record);
                let assign =
                    ClusterCommand::AssignBroker { database, server, expected_epoch: 0, broker };
                self.apply("AssignBroker", &assign);
            }
            let adopt = ClusterCommand::AdoptPrimary {
                database,
                server: server_name(0),
                incarnation: 1_750_000_000_000,
                term: 1,
                start: LogPosition::ZERO,
            };
            self.apply("AdoptPrimary", &adopt);
        }
    }
}

/// Grows one state only, because memory that was freed before would hide what the state takes.
fn measure_memory() -> Result<StateBuilder, AnyError> {
    println!("memory of the state");
    println!("{:>9} {:>9} {:>14} {:>14}", "databases", "entries", "B/database", "B/entry");
    let mut builder = StateBuilder::default();
    let (mut databases, mut entries) = (0, 0);
    for size in [2_000, 6_000, 18_000] {
        let members = (size as f64 / DATABASES_PER_ENTRY) as usize;
        let before = resident_bytes()?;
        builder.add_entries(entries, members);
        let joined = resident_bytes()?;
        builder.add_databases(databases, size);
        let after = resident_bytes()?;
        println!(
            "{size:>9} {members:>9} {:>14.0} {:>14.0}",
            after.saturating_sub(joined) as f64 / (size - databases) as f64,
            joined.saturating_sub(before) as f64 / (members - entries) as f64
        );
        (databases, entries) = (size, members);
    }
    Ok(builder)
}

fn measure_entries() {
    println!("\nentries without databases");
    println!("{:>9} {:>14}", "entries", "snapshot B/e");
    let mut builder = StateBuilder::default();
    let mut count = 0;
    let mut snapshot = builder.state.snapshot().len();
    for size in [900, 2_700, 8_100] {
        builder.add_entries(count, size);
        let length = builder.state.snapshot().len();
        let added = (size - count) as f64;
        println!("{size:>9} {:>14.0}", (length - snapshot) as f64 / added);
        (count, snapshot) = (size, length);
    }
}

fn measure_sheets() {
    println!("\nsheets: time to accept, size of the snapshot");
    println!("{:>9} {:>9} {:>12} {:>14}", "rows", "CSV B", "accept us", "snapshot B");
    for rows in [10, 100, 1_000] {
        let content = sheet(rows);
        let mut builder = StateBuilder::default();
        let mut times = Vec::new();
        for number in 1..=50 {
            let command = sheet_command(number, &content);
            let start = Instant::now();
            builder.apply("ApplySheet", &command);
            times.push(start.elapsed().as_secs_f64() * 1e6);
        }
        let length = builder.state.snapshot().len();
        println!("{rows:>9} {:>9} {:>12.0} {length:>14}", content.len(), median(times));
    }
    println!("{:>9} {:>22}", "sheets", "snapshot B per sheet");
    let content = sheet(10);
    for count in [400, 1_200, 3_600] {
        let mut builder = StateBuilder::default();
        for number in 1..=count {
            builder.apply("ApplySheet", &sheet_command(number, &content));
        }
        let length = builder.state.snapshot().len() - content.len();
        println!("{count:>9} {:>22.0}", length as f64 / count as f64);
    }
}

fn sheet(rows: usize) -> String {
    let mut text = "database,application,kind,access,targets,max_age_ms,ack,repeatable,priority,\
                    deadline_ms,max_concurrent\n"
        .to_owned();
    for row in 0..rows {
        text.push_str(&format!("database-{row:05},*,read,read,any,1000,primary,yes,4,30000,\n"));
    }
    text
}

fn sheet_command(number: u64, content: &str) -> ClusterCommand {
    ClusterCommand::ApplySheet {
        number,
        content: content.to_owned(),
        operator: "planner".to_owned(),
        request_id: format!("request-{number:08}"),
    }
}

const fn position() -> LogPosition {
    LogPosition { term: LogTerm(1), offset: 1_000_000 }
}

/// Leader's observations of all entries and targets, as one round of heartbeats and announcements
/// leaves them; returns the time per heartbeat and announcement too.
fn observe(state: &ClusterState, now: Micros) -> (LivenessTable, f64, f64) {
    let mut table = LivenessTable::new(Micros::ZERO);
    let mut held: BTreeMap<BrokerRef, Vec<(SharedName, SharedName, u64)>> = BTreeMap::new();
    for (name, group) in state.databases() {
        for (server, target) in &group.targets {
            let Some(broker) = target.broker.clone() else { continue };
            held.entry(broker).or_default().push((name.clone(), server.clone(), target.epoch));
        }
    }
    let mut heartbeats = Vec::new();
    for record in state.entries().values() {
        let incarnation = record.info.incarnation;
        let entry = BrokerRef { host: record.info.host.clone(), incarnation };
        let mut reports = BTreeMap::new();
        for (database, server, epoch) in held.remove(&entry).unwrap_or_default() {
            let primary = server.as_str() == "server-1";
            let role = if primary { TargetRole::Primary } else { TargetRole::Replica };
            let report = BrokerReport {
                epoch,
                reachable: true,
                unreachable_for: Micros::ZERO,
                role: Some(role),
                term: 1,
                position: position(),
                term_start: None,
                fenced_term: 0,
                open_connections: 5,
                announced: Some(1_750_000_000_000),
            };
            reports.insert((database, server), report);
        }
        let (applied_version, sheet_number) = (state.version(), 0);
        heartbeats.push(EntryHeartbeat { entry, applied_version, sheet_number, reports });
    }
    let count = heartbeats.len() as f64;
    let (mut beats, mut last) = (Vec::new(), 0.0);
    // The first heartbeat of a process is not trusted, so the second is the usual one.
    for _ in 0..2 {
        beats.clear();
        beats.extend(heartbeats.iter().cloned());
        let start = Instant::now();
        for heartbeat in beats.drain(..) {
            let entry = heartbeat.entry.clone();
            table.heartbeat(now, heartbeat);
            let _ = black_box(table.renew(state, &entry, now, now));
        }
        last = start.elapsed().as_secs_f64() * 1e6 / count;
    }
    let mut announcements = 0.0;
    let mut start = Instant::now();
    for round in 0..2 {
        if round == 1 {
            start = Instant::now();
            announcements = 0.0;
        }
        for (name, group) in state.databases() {
            for server in group.targets.keys() {
                let primary = server.as_str() == "server-1";
                let role = if primary { TargetRole::Primary } else { TargetRole::Replica };
                let heard = TargetAnnouncement {
                    incarnation: 1_750_000_000_000,
                    role: Some(role),
                    term: 1,
                    position: position(),
                };
                table.announce(now, (name.clone(), server.clone()), heard);
                announcements += 1.0;
            }
        }
    }
    let announced = start.elapsed().as_secs_f64() * 1e6 / announcements;
    (table, last, announced)
}

fn route_table(state: &ClusterState) -> RouteTable {
    let mut table = RouteTable { version: state.version(), ..RouteTable::default() };
    let mut databases = FastMap::default();
    for (name, group) in state.databases() {
        let mut targets = Vec::new();
        for (server, target) in &group.targets {
            let info = &target.info;
            let copy = |name: &SharedName| SharedName::from(name.as_str());
            let broker = state.live_broker(target);
            let host = broker.map(|entry| copy(&entry.info.host)).unwrap_or_default();
            let address = broker.map(|entry| copy(&entry.info.address)).unwrap_or_default();
            targets.push(TargetRoute {
                server: copy(server),
                address: copy(&info.address),
                replication_address: copy(&info.replication_address),
                region: copy(&info.region),
                zone: copy(&info.zone),
                role: TargetRole::Replica,
                broker: host,
                broker_address: address,
                epoch: target.epoch,
                slots: info.slots,
                connections: info.connections,
                live: target.live,
                draining: false,
            });
        }
        let route = DatabaseRoute {
            term: LogTerm(group.term),
            primary: group.primary.as_ref().map(|name| SharedName::from(name.as_str())),
            closed: false,
            planned: false,
            candidate: None,
            candidate_term: LogTerm(0),
            history: vec![TermStart { term: LogTerm(1), start: LogPosition::ZERO }],
            targets,
        };
        databases.insert(SharedName::from(name.as_str()), Arc::new(route));
    }
    table.databases = databases;
    table
}

fn measure_databases() -> Result<(), AnyError> {
    println!("\ndatabases of {SERVERS} servers with their entries");
    println!(
        "{:>9} {:>8} {:>12} {:>11} {:>11} {:>9} {:>11} {:>9} {:>9} {:>9}",
        "databases",
        "entries",
        "snapshot B/d",
        "snapshot ms",
        "restore ms",
        "beat us",
        "announce us",
        "pass us",
        "pass max",
        "clone us"
    );
    let mut builder = StateBuilder::default();
    let (mut count, mut entries) = (0, 0);
    for size in [2_000, 6_000, 18_000] {
        let members = (size as f64 / DATABASES_PER_ENTRY) as usize;
        builder.add_entries(entries, members);
        entries = members;
        builder.add_databases(count, size);
        count = size;
        let start = Instant::now();
        let snapshot = builder.state.snapshot();
        let written = start.elapsed().as_secs_f64() * 1e3;
        let start = Instant::now();
        let mut restored = ClusterState::default();
        restored.restore(&snapshot)?;
        let read = start.elapsed().as_secs_f64() * 1e3;
        let length = snapshot.len() as f64 / size as f64;
        let now = Micros::from_secs(20);
        let (mut table, beat, announced) = observe(&builder.state, now);
        let (mut commands, mut longest) = (0, 0.0_f64);
        // The kernel brings a running thread's time up to date every few milliseconds only, so a
        // single pass cannot be measured by it.
        let used = processor_time(|_| true)?;
        for _ in 0..100 {
            let start = Instant::now();
            commands += promotion::decide(&builder.state, &mut table, now).len();
            longest = longest.max(start.elapsed().as_secs_f64() * 1e6);
        }
        let pass = (processor_time(|_| true)? - used).as_secs_f64() * 1e6 / 100.0;
        if commands > 0 {
            println!("note: the passes returned {commands} commands");
        }
        let routes = route_table(&builder.state);
        let mut clones = Vec::new();
        for _ in 0..50 {
            let start = Instant::now();
            black_box(Arc::new(routes.clone()));
            clones.push(start.elapsed().as_secs_f64() * 1e6);
        }
        println!(
            "{size:>9} {members:>8} {length:>12.0} {written:>11.1} {read:>11.1} {beat:>9.1} \
             {announced:>11.2} {pass:>9.0} {longest:>9.0} {:>9.0}",
            median(clones)
        );
        black_box((restored, table, routes));
    }
    println!("\n{:>14} {:>9} {:>9} {:>9}", "command", "count", "bytes", "apply us");
    for (kind, (count, bytes, seconds)) in &builder.costs {
        let number = *count as f64;
        println!(
            "{kind:>14} {count:>9} {:>9.0} {:>9.2}",
            *bytes as f64 / number,
            seconds * 1e6 / number
        );
    }
    measure_expiry(&mut builder)
}

/// Loses the entries of one zone at once: each expiry ends the brokerships of one entry.
fn measure_expiry(builder: &mut StateBuilder) -> Result<(), AnyError> {
    let mut lost = Vec::new();
    for record in builder.state.entries().values() {
        if record.info.zone.as_str() == ZONES[0].1 {
            lost.push((record.info.host.clone(), record.version));
        }
    }
    let start = processor_time(|_| true)?;
    let count = lost.len();
    for (host, expected_version) in lost {
        builder.apply("ExpireEntry", &ClusterCommand::ExpireEntry { host, expected_version });
    }
    let elapsed = (processor_time(|_| true)? - start).as_secs_f64();
    let mut orphans = Vec::new();
    for (name, group) in builder.state.databases() {
        for (server, target) in &group.targets {
            if target.broker.is_none() {
                orphans.push((name.clone(), server.clone(), target.epoch, target.info.clone()));
            }
        }
    }
    println!(
        "\nzone lost: {count} entries expired, {:.0} us each; {} targets without a broker",
        elapsed * 1e6 / count as f64,
        orphans.len()
    );
    let targets = orphans.len() as f64;
    let start = processor_time(|_| true)?;
    let mut chosen = Vec::new();
    for (database, server, expected_epoch, info) in orphans {
        let live = builder.state.entries().values().filter(|entry| entry.is_eligible());
        let broker = preferred_entry(live, &database, &server, &info).map(|entry| {
            let incarnation = entry.info.incarnation;
            BrokerRef { host: entry.info.host.clone(), incarnation }
        });
        chosen.push(ClusterCommand::AssignBroker { database, server, expected_epoch, broker });
    }
    let choice = (processor_time(|_| true)? - start).as_secs_f64() * 1e6 / targets;
    let start = processor_time(|_| true)?;
    for command in &chosen {
        builder.apply("AssignBroker", command);
    }
    let apply = (processor_time(|_| true)? - start).as_secs_f64() * 1e6 / targets;
    println!(
        "reassignment: choice {choice:.1} us, encoding and application {apply:.1} us per target"
    );
    Ok(())
}

/// Memory of what the leader observes and of an entry's routes, beside a state that is complete.
fn measure_tables(state: &ClusterState) -> Result<(), AnyError> {
    let databases = state.databases().len() as f64;
    let mut memory = Vec::new();
    let mut kept = Vec::new();
    for _ in 0..3 {
        let before = resident_bytes()?;
        kept.push(route_table(state));
        memory.push(resident_bytes()?.saturating_sub(before) as f64 / databases);
    }
    let before = resident_bytes()?;
    let observed = observe(state, Micros::from_secs(20));
    let table = resident_bytes()?.saturating_sub(before) as f64 / databases;
    println!("route table of an entry: {:.0} B/database", median(memory));
    println!("leader's observations: at most {table:.0} B/database");
    black_box((kept, observed));
    Ok(())
}

fn main() -> Result<(), AnyError> {
    let builder = measure_memory()?;
    measure_tables(&builder.state)?;
    drop(builder);
    measure_databases()?;
    measure_entries();
    measure_sheets();
    Ok(())
}
