//! A primary is lost for some seconds, and all processes of the system are killed while it is being replaced.
//!
//! The service has `sync_replicas` 1 and has lost one replica for good, so no replica can be chosen; the primary is
//! back with its log before the callers' requests count again.

use {
    crate::{
        Scenario, Verdict,
        callers::{self, CallerPlan, End, Ledger},
        cluster::{Cluster, Network, Sizes, StopFlag, ZONES},
        group::Group,
        platform,
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

/// One-way delay between regions.
const REMOTE_DELAY: Duration = Duration::from_millis(20);

/// Time from the loss of a replica to the crash of the primary.
const CRASH_AFTER: Duration = Duration::from_millis(4_000);

/// Time from the crash of the primary to the kill of all processes, and how long they are down.
const KILL_AFTER: Duration = Duration::from_millis(2_500);
const KILL_TIME: Duration = Duration::from_millis(800);

/// Length of the crash of the primary.
const CRASH_TIME: Duration = Duration::from_millis(6_000);

/// Bound of the rule: `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time over which requests count after that.
const COUNTED: Duration = Duration::from_secs(15);

const CALLERS: usize = 9;

/// Runs the scenario.
///
/// # Errors
///
/// Returns an error if it could not run.
pub fn run(scenario: &Scenario) -> io::Result<Verdict> {
    let record = scenario.record.clone();
    let network = Network::choose()?;
    let members = [("srv-p", Duration::ZERO), ("srv-r", REMOTE_DELAY), ("srv-gone", REMOTE_DELAY)];
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
            pause: Duration::from_millis(20),
        };
        threads.push(callers::spawn(plan, ledger.clone(), record.clone(), stop.clone()));
    }
    let begun = Instant::now();
    thread::sleep(Duration::from_secs(5));
    servers[2].crash();
    thread::sleep(CRASH_AFTER);
    let without_kill = std::env::var("TROUBLE").is_ok_and(|value| value == "crash");
    let crash = scenario.trouble || without_kill;
    let crashed_at = Instant::now();
    if crash {
        servers[0].crash();
    }
    thread::sleep(KILL_AFTER);
    // A final fault comes right after an acknowledgement.
    cluster
        .put_config(&crate::config(SERVICE, DATABASE).replace("\"version\":7", "\"version\":9"))?;
    let killed_at = Instant::now();
    if !without_kill {
        cluster.kill_all();
    }
    thread::sleep(KILL_TIME);
    cluster.start_all()?;
    thread::sleep(CRASH_TIME.saturating_sub(crashed_at.elapsed()));
    if crash {
        // A primary that crashed comes back with its log; nobody was promoted.
        let place = Place { address: network.server(0), zone: ZONES[0].0 };
        servers.push(Server::start(&context, &group, "srv-p", place)?);
    }
    // The last machine is back by now.
    let counted_from = Instant::now() + RECOVERY;
    thread::sleep(RECOVERY + COUNTED);
    stop.set();
    for thread in threads {
        let _ = thread.join();
    }
    cluster.record_decisions();
    let leads = group.view(0).primary && group.is_running(0);
    record.say(&format!(
        "at the end srv-p {}; promotions that took effect: {}",
        if leads { "runs and leads" } else { "does not lead" },
        group.promotions().len()
    ));
    let before = share(&ledger, begun, killed_at);
    let after = share(&ledger, counted_from, counted_from + COUNTED);
    record.say(&format!("served before the final fault: {} of {} requests", before.0, before.1));
    record.say(&format!(
        "served of those sent later than recovery_s after all are back: {} of {} requests",
        after.0, after.1
    ));
    if before.0 * 4 < before.1 || after.1 == 0 {
        return Err(io::Error::other("too few requests were served or sent for a verdict"));
    }
    Ok(if after.0 * 4 < after.1 { Verdict::Broken } else { Verdict::Kept })
}

/// Returns how many of the requests sent in a span were served, and their number.
fn share(ledger: &Ledger, from: Instant, to: Instant) -> (usize, usize) {
    let sent = ledger.all();
    let counted = sent.iter().filter(|sent| sent.at >= from && sent.at < to);
    let (mut served, mut all) = (0, 0);
    for sent in counted {
        all += 1;
        served += usize::from(sent.end == End::Acknowledged);
    }
    (served, all)
}
