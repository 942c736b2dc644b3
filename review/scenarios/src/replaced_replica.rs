//! A replica is replaced by plan, and the primary crashes while the replica drains.
//!
//! The service has `sync_replicas` 1. The draining replica is near the primary and confirms most commits first. It
//! holds the last ones when the primary crashes; the third server, in another region, has not received them. Its log
//! is transferred to the server that takes its place at its address.

use {
    crate::{
        Scenario, Verdict,
        callers::{self, CallerPlan, End, Ledger},
        cluster::{Cluster, Network, Sizes, StopFlag, ZONES},
        group::Group,
        platform,
        server::{Place, Runs, Server, ServerContext},
    },
    std::{collections::BTreeSet, io, sync::Arc, thread, time::Duration},
};

const SERVICE: &str = "hamper1";
const DATABASE: &str = "orders1";

const SIZES: Sizes = Sizes { controls: 5, gateways: 3, tolerated_losses: 2, grace_s: 6 };

/// One-way delays within a region and between regions.
const REGION_DELAY: Duration = Duration::from_micros(900);
const REMOTE_DELAY: Duration = Duration::from_millis(20);

/// Time that a server goes on serving after its draining was acknowledged, and a little longer.
const DRAIN_TIME: Duration = Duration::from_millis(7_000);
const DRAIN_REST: Duration = Duration::from_millis(1_000);

/// Time from the acknowledgement to the crash of the primary, and its length.
const CRASH_AFTER: Duration = Duration::from_millis(4_000);
const CRASH_TIME: Duration = Duration::from_millis(7_000);

/// Time from the exit of a server to the start of the one that takes its place.
const RESTART_TIME: Duration = Duration::from_millis(500);

const CALLERS: usize = 12;

/// Runs the scenario.
///
/// # Errors
///
/// Returns an error if it could not run.
pub fn run(scenario: &Scenario) -> io::Result<Verdict> {
    let record = scenario.record.clone();
    let network = Network::choose()?;
    let members =
        [("srv-p", Duration::ZERO), ("srv-near", REGION_DELAY), ("srv-far", REMOTE_DELAY)];
    let group = Arc::new(Group::new(SERVICE, 1, &members, record.clone()));
    let promote_time = Duration::from_millis(600);
    platform::start(network.cloud(), vec![Arc::clone(&group)], promote_time, record.clone())?;
    let cluster =
        Cluster::start(network, SIZES, &scenario.programs, &scenario.folder, record.clone())?;
    let context = ServerContext {
        controls: cluster.controls(),
        runs: Arc::new(Runs::default()),
        work: Duration::from_millis(9),
        record: record.clone(),
    };
    let mut servers = Vec::new();
    for (number, (id, _)) in members.iter().enumerate() {
        let place = Place { address: network.server(number), zone: ZONES[number].0 };
        servers.push(Server::start(&context, &group, id, place)?);
    }
    cluster.put_config(&crate::config(SERVICE, DATABASE))?;
    cluster.wait_ready()?;
    let (ledger, stop) = (Ledger::default(), StopFlag::default());
    let mut threads = Vec::new();
    for number in 0..CALLERS {
        let mut fronts: Vec<_> =
            (0..SIZES.gateways).map(|gateway| network.front(gateway)).collect();
        fronts.rotate_left(number % SIZES.gateways);
        let plan = CallerPlan {
            name: format!("c{number}"),
            database: DATABASE.to_owned(),
            fronts,
            // Different pauses, so that the callers do not write at the same moments.
            pause: Duration::from_millis(16 + number as u64),
        };
        threads.push(callers::spawn(plan, ledger.clone(), record.clone(), stop.clone()));
    }
    thread::sleep(Duration::from_secs(5));
    // The planned replacement: the server drains, leaves, and its successor starts at its address with its log.
    let (primary, near) = (servers[0].clone(), servers[1].clone());
    near.begin_drain();
    let replacement = {
        let (context, group) = (context.clone(), Arc::clone(&group));
        let place = Place { address: network.server(1), zone: ZONES[1].0 };
        thread::spawn(move || -> io::Result<Server> {
            thread::sleep(DRAIN_TIME + DRAIN_REST);
            near.leave(&context.controls);
            thread::sleep(RESTART_TIME);
            group.add_with_log_of("srv-next", 1);
            Server::start(&context, &group, "srv-next", place)
        })
    };
    thread::sleep(CRASH_AFTER);
    if scenario.trouble {
        primary.crash();
        let view = group.members();
        for member in &view {
            record.say(&format!("{} has {} commits", member.id, member.received));
        }
        thread::sleep(CRASH_TIME);
        // A primary that crashed comes back with its log.
        let place = Place { address: network.server(0), zone: ZONES[0].0 };
        servers.push(Server::start(&context, &group, "srv-p", place)?);
    } else {
        thread::sleep(CRASH_TIME);
    }
    let started = replacement.join().map_err(|_| io::Error::other("a thread ended early"))?;
    servers.push(started?);
    thread::sleep(Duration::from_secs(8));
    stop.set();
    for thread in threads {
        let _ = thread.join();
    }
    cluster.record_decisions();
    verdict(scenario, &group, &ledger, &context)
}

/// Checks the rule: every commit that its caller was told of is in the log of each server that was promoted.
pub fn verdict(
    scenario: &Scenario,
    group: &Group,
    ledger: &Ledger,
    context: &ServerContext,
) -> io::Result<Verdict> {
    let record = &scenario.record;
    for (id, server) in context.runs.all() {
        record.line(&format!("run {id} on {server}"));
    }
    let sent = ledger.all();
    let acknowledged: BTreeSet<&str> =
        sent.iter().filter(|sent| sent.end == End::Acknowledged).map(|sent| &*sent.id).collect();
    record.say(&format!("{} writes sent, {} acknowledged", sent.len(), acknowledged.len()));
    if acknowledged.is_empty() {
        return Err(io::Error::other("no write was acknowledged"));
    }
    let mut lost = Vec::new();
    for promotion in group.promotions() {
        for entry in &promotion.lost {
            for id in entry.ids.iter().filter(|id| acknowledged.contains(id.as_str())) {
                lost.push(format!("{id} ({}.{})", entry.term, entry.number));
            }
        }
        record.say(&format!(
            "promotion of {} with {} commits under fence {}",
            promotion.id, promotion.received, promotion.fence
        ));
    }
    if lost.is_empty() {
        return Ok(Verdict::Kept);
    }
    record.say(&format!("acknowledged to callers and lost: {}", lost.join(", ")));
    Ok(Verdict::Broken)
}
