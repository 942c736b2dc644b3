//! A replica is restarted by plan under its name while it is partitioned from control, and its farewell arrives late.
//!
//! The service has `sync_replicas` 1. The primary crashes some seconds after the partition has healed.

use {
    crate::{
        Scenario, Verdict,
        callers::{self, CallerPlan, Ledger},
        cluster::{Cluster, Network, Sizes, StopFlag, ZONES},
        group::Group,
        partition, platform,
        replaced_replica::verdict,
        server::{Place, Runs, Server, ServerContext},
    },
    std::{
        io,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "hamper1";
const DATABASE: &str = "orders1";

const SIZES: Sizes = Sizes { controls: 5, gateways: 3, tolerated_losses: 2, grace_s: 6 };

/// One-way delays within a region and between regions.
const REGION_DELAY: Duration = Duration::from_micros(900);
const REMOTE_DELAY: Duration = Duration::from_millis(20);

/// Time that a server goes on serving after its draining was acknowledged.
const DRAIN_TIME: Duration = Duration::from_millis(7_000);

/// Length of the partition of the server from control.
const CUT_TIME: Duration = Duration::from_millis(4_900);

/// Time from the beginning of the partition to the farewell of the server.
const LEAVE_AFTER: Duration = Duration::from_millis(500);

/// Number of control replicas that the server calls before it ends without an acknowledgement; each call takes 1 s.
const CALLS: usize = 3;

/// Time from the end of the server to its start.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Time after the partition until the network has repeated what it held back.
const REPEAT_TIME: Duration = Duration::from_millis(1_000);

/// Time after that to the crash of the primary, and its length.
const CRASH_AFTER: Duration = Duration::from_millis(5_000);
const CRASH_TIME: Duration = Duration::from_millis(7_000);

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
    thread::sleep(Duration::from_secs(4));
    let near = servers[1].clone();
    near.begin_drain();
    thread::sleep(DRAIN_TIME);
    let healed = StopFlag::default();
    let mut paths = Vec::new();
    for control in cluster.controls().iter().take(CALLS) {
        // Without the partition the calls arrive at once.
        let path = if scenario.trouble {
            let address = (network.cloud().ip(), 0).into();
            partition::hold(address, *control, healed.clone(), record.clone())?
        } else {
            *control
        };
        paths.push(path);
    }
    let cut_at = Instant::now();
    if scenario.trouble {
        record.say("srv-near is partitioned from control");
        near.set_cut(true);
    }
    thread::sleep(LEAVE_AFTER);
    near.leave(&paths);
    thread::sleep(RESTART_TIME);
    group.empty(1);
    let place = Place { address: network.server(1), zone: ZONES[1].0 };
    let again = Server::start(&context, &group, "srv-near", place)?;
    again.set_cut(scenario.trouble);
    thread::sleep(CUT_TIME.saturating_sub(cut_at.elapsed()));
    again.set_cut(false);
    record.say("srv-near reaches control");
    thread::sleep(REPEAT_TIME);
    healed.set();
    thread::sleep(CRASH_AFTER);
    let crash = scenario.trouble || std::env::var("TROUBLE").is_ok_and(|value| value == "crash");
    if crash {
        servers[0].crash();
        for member in &group.members() {
            record.say(&format!("{} has {} commits", member.id, member.received));
        }
    }
    thread::sleep(CRASH_TIME);
    if crash {
        // A primary that crashed comes back with its log.
        let place = Place { address: network.server(0), zone: ZONES[0].0 };
        servers.push(Server::start(&context, &group, "srv-p", place)?);
    }
    thread::sleep(Duration::from_secs(5));
    stop.set();
    for thread in threads {
        let _ = thread.join();
    }
    cluster.record_decisions();
    verdict(scenario, &group, &ledger, &context)
}
