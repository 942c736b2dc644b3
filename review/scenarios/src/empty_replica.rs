//! The primary and the replica that confirms its commits crash together, and the replica is back first, with an empty log.
//!
//! The service has `sync_replicas` 1. The primary comes back with its log some seconds later.

use {
    crate::{
        Scenario, Verdict,
        callers::{self, CallerPlan, Ledger},
        cluster::{Cluster, Network, Sizes, StopFlag, ZONES},
        group::Group,
        platform,
        replaced_replica::verdict,
        server::{Place, Runs, Server, ServerContext},
    },
    std::{io, sync::Arc, thread, time::Duration},
};

const SERVICE: &str = "hamper1";
const DATABASE: &str = "orders1";

const SIZES: Sizes = Sizes { controls: 5, gateways: 3, tolerated_losses: 2, grace_s: 6 };

/// One-way delays within a region and between regions.
const REGION_DELAY: Duration = Duration::from_micros(900);
const REMOTE_DELAY: Duration = Duration::from_millis(20);

/// Lengths of the crashes.
const REPLICA_CRASH_TIME: Duration = Duration::from_millis(3_150);
const PRIMARY_CRASH_TIME: Duration = Duration::from_millis(7_000);

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
    thread::sleep(Duration::from_secs(6));
    let only_primary = std::env::var("TROUBLE").is_ok_and(|value| value == "crash");
    if scenario.trouble || only_primary {
        if scenario.trouble {
            servers[0].crash_with(&servers[1]);
        } else {
            servers[0].crash();
        }
        for member in &group.members() {
            record.say(&format!("{} has {} commits", member.id, member.received));
        }
    }
    thread::sleep(REPLICA_CRASH_TIME);
    if scenario.trouble {
        group.empty(1);
        let place = Place { address: network.server(1), zone: ZONES[1].0 };
        servers.push(Server::start(&context, &group, "srv-near", place)?);
    }
    thread::sleep(PRIMARY_CRASH_TIME - REPLICA_CRASH_TIME);
    if scenario.trouble || only_primary {
        // A primary that crashed comes back with its log.
        let place = Place { address: network.server(0), zone: ZONES[0].0 };
        servers.push(Server::start(&context, &group, "srv-p", place)?);
    }
    thread::sleep(Duration::from_secs(8));
    stop.set();
    for thread in threads {
        let _ = thread.join();
    }
    cluster.record_decisions();
    verdict(scenario, &group, &ledger, &context)
}
