//! A transaction that wrote nothing commits on a server that is no longer the primary.
//!
//! The primary is partitioned from its replicas, from control and from two of five gateways, so that control promotes a
//! replica. Callers at another gateway, which still reaches the old primary, commit transactions that only read, as the
//! protocol allows there; afterwards reads of a `bounded_staleness` route at that gateway are compared with their limit.

use {
    crate::{Outcome, database::Group, line::Session, process::Deployment, record::Record},
    std::{
        sync::{Arc, Mutex},
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// `max_staleness_ms` of the route.
const MAX_STALENESS: Duration = Duration::from_millis(1_500);

const SERVICE: &str = "stock4c";

/// Gateway in the zone of the primary, which keeps its path to it.
const NEAR: usize = 0;

/// Gateway with neither a cut path nor sessions of the readers.
const WRITER: usize = 3;

/// Acknowledged commits, with the time at which the caller had the whole answer.
type Acknowledged = Arc<Mutex<Vec<(String, Instant)>>>;

/// Read that was answered with success.
struct AnsweredRead {
    id: String,
    sent: Instant,
}

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let mut deployment = Deployment::create()?;
    let group = Group::open(record, &deployment, SERVICE);
    deployment.start(record, &config())?;
    group.wait_until_known(&deployment)?;
    let near = deployment.callers(NEAR);
    for gateway in 0..5 {
        warm_up(&deployment.callers(gateway))?;
    }
    let stop = Arc::new(Mutex::new(false));
    let acknowledged: Acknowledged = Arc::default();
    let reads = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    // Callers at the gateways that lose their path notice it, and so do those gateways.
    for (number, gateway) in [WRITER, WRITER, 1, 2].into_iter().enumerate() {
        let writer = deployment.callers(gateway);
        threads.push(write(&writer, number, Arc::clone(&acknowledged), Arc::clone(&stop)));
    }
    for number in 0..4 {
        threads.push(read(&near, number, Arc::clone(&reads), Arc::clone(&stop)));
    }
    thread::sleep(Duration::from_millis(1_000));
    if group.leader() != 0 {
        return Err("the primary is not the expected server".to_owned());
    }
    if trouble {
        let mut hosts: Vec<String> = (1..=5).map(|index| format!("core-{index}")).collect();
        hosts.extend(["front-2".to_owned(), "front-3".to_owned()]);
        group.cut_primary(&hosts);
        record.line("disruption: the primary is partitioned from its replicas, control, front-2 and front-3");
    }
    // Read-only work of callers on a `primary` route: BEGIN, READ, a pause below `tx_idle_ms`, COMMIT.
    let mut transactions = Vec::new();
    for pause in (1_800..=2_900).step_by(220) {
        transactions.push(transact(record, &near, pause));
    }
    thread::sleep(Duration::from_millis(6_500));
    if trouble {
        group.heal();
        record.line("the partition has healed");
    }
    thread::sleep(Duration::from_millis(1_500));
    *stop.lock().unwrap() = true;
    for thread in threads.into_iter().chain(transactions) {
        let _ = thread.join();
    }
    if trouble && group.leader() == 0 {
        return Err("no replica was promoted".to_owned());
    }
    Ok(judge(record, &group, &acknowledged.lock().unwrap(), &reads.lock().unwrap()))
}

fn config() -> String {
    let route = |name: &str, kind: &str, more: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{name}\",\"path_prefix\":\"/\",\"type\":\"{kind}\",\"timeout_ms\":1000,\
             \"target_latency_ms\":800,\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":2{more}}}"
        )
    };
    let stale = format!(",\"max_staleness_ms\":{}", MAX_STALENESS.as_millis());
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
         \"max_conns\":71,\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":0}}],\"limits\":{{\"tx_idle_ms\":3000}}}}",
        route("orders", "primary", ""),
        route("lookup", "bounded_staleness", &stale)
    )
}

fn warm_up(address: &str) -> Result<(), String> {
    let (session, start) = Session::open(address, "orders", Duration::from_secs(2));
    let Some(mut session) = session else { return Err(start.outcome) };
    let answer = session.query("warm", "WRITE 1a4 first");
    if answer.is_success() { Ok(()) } else { Err(format!("no write before: {}", answer.outcome)) }
}

/// Writes single statements one after the other, each under a new id.
fn write(
    address: &str,
    number: usize,
    acknowledged: Acknowledged,
    stop: Arc<Mutex<bool>>,
) -> JoinHandle<()> {
    let address = address.to_owned();
    thread::spawn(move || {
        let mut session = None;
        for count in 0.. {
            if *stop.lock().unwrap() {
                return;
            }
            thread::sleep(Duration::from_millis(40));
            if session.is_none() {
                session = Session::open(&address, "orders", Duration::from_secs(3)).0;
            }
            let Some(open) = &mut session else { continue };
            let id = format!("w{number}x{count}");
            let answer = open.query(&id, "WRITE 1a4 data");
            if answer.is_success() {
                acknowledged.lock().unwrap().push((id, Instant::now()));
            } else if answer.ready.is_empty() {
                session = None;
            }
        }
    })
}

/// Reads single statements of the `bounded_staleness` route.
fn read(
    address: &str,
    number: usize,
    reads: Arc<Mutex<Vec<AnsweredRead>>>,
    stop: Arc<Mutex<bool>>,
) -> JoinHandle<()> {
    let address = address.to_owned();
    thread::spawn(move || {
        let mut session = None;
        for count in 0.. {
            if *stop.lock().unwrap() {
                return;
            }
            thread::sleep(Duration::from_millis(50));
            if session.is_none() {
                session = Session::open(&address, "lookup", Duration::from_secs(3)).0;
            }
            let Some(open) = &mut session else { continue };
            let id = format!("r{number}x{count}");
            let sent = Instant::now();
            let answer = open.query(&id, "READ 1a4");
            if answer.is_success() {
                reads.lock().unwrap().push(AnsweredRead { id, sent });
            } else if answer.ready.is_empty() {
                session = None;
            }
        }
    })
}

/// Runs a transaction that only reads, with a pause before its COMMIT.
fn transact(record: &Record, address: &str, pause: u64) -> JoinHandle<()> {
    let (record, address) = (record.clone(), address.to_owned());
    thread::spawn(move || {
        let session = Session::open(&address, "orders", Duration::from_secs(3)).0;
        let Some(mut session) = session else { return };
        let begun = session.query(&format!("t{pause}b"), "BEGIN");
        let read = session.query(&format!("t{pause}r"), "READ 1a4");
        thread::sleep(Duration::from_millis(pause));
        let committed = session.query(&format!("t{pause}c"), "COMMIT");
        record.line(&format!(
            "caller: transaction with a pause of {pause} ms: BEGIN {}, READ {}, COMMIT {} READY {}",
            begun.outcome, read.outcome, committed.outcome, committed.ready
        ));
    })
}

/// Checks every answered read against the commits that were acknowledged more than the limit before it was sent.
fn judge(
    record: &Record,
    group: &Group,
    acknowledged: &[(String, Instant)],
    reads: &[AnsweredRead],
) -> bool {
    let mut stale = 0;
    for read in reads {
        let Some(run) = group.read_run(&read.id) else { continue };
        for missing in &run.missing {
            let Some((_, at)) = acknowledged.iter().find(|(id, _)| id == missing) else { continue };
            if *at + MAX_STALENESS < read.sent {
                stale += 1;
                let age = read.sent.duration_since(*at).as_millis();
                record.line(&format!(
                    "STALE broken: read {} ran on server {}, whose log lacked commit {missing}, acknowledged {age} ms before \
                     the read was sent",
                    read.id,
                    run.server + 1
                ));
                break;
            }
        }
    }
    record.line(&format!(
        "{} commits acknowledged, {} reads answered, {stale} of them staler than {} ms",
        acknowledged.len(),
        reads.len(),
        MAX_STALENESS.as_millis()
    ));
    stale == 0
}
