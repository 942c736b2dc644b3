//! A server joins its group while a draining primary is being replaced, with `sync_replicas` 1.
//!
//! Servers are replaced one after the other: the new one starts first, the old one drains. The second new server starts while
//! the promotion that replaces the primary is under way.

use {
    crate::{Outcome, database::Group, line::Session, process::Deployment, record::Record},
    std::{
        sync::{Arc, Mutex},
        thread::{self, JoinHandle},
        time::Duration,
    },
};

const SERVICE: &str = "books5d";

/// Time between the starts of two new servers, `gap_s` of the release.
const GAP: Duration = Duration::from_millis(1_000);

/// Time from the start of a new server until the old one drains.
const OVERLAP: Duration = Duration::from_millis(600);

type Acknowledged = Arc<Mutex<Vec<String>>>;

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let mut deployment = Deployment::create()?;
    let group = Group::open_with(record, &deployment, SERVICE, 1);
    deployment.start(record, &config())?;
    group.wait_until_known(&deployment)?;
    let stop = Arc::new(Mutex::new(false));
    let acknowledged: Acknowledged = Arc::default();
    let mut threads = Vec::new();
    for number in 0..6 {
        let address = deployment.callers(number % 5);
        threads.push(write(&address, number, Arc::clone(&acknowledged), Arc::clone(&stop)));
    }
    thread::sleep(Duration::from_millis(2_000));
    if acknowledged.lock().unwrap().is_empty() || group.leader() != 0 {
        return Err("no write is acknowledged before the release".to_owned());
    }
    if trouble {
        // The first step replaces the primary, the second a replica.
        record.line("release: new server 4 starts");
        group.start_server(3);
        thread::sleep(OVERLAP);
        record.line("release: server 1, the primary, drains");
        group.drain(0);
        thread::sleep(GAP.saturating_sub(OVERLAP));
        record.line("release: new server 5 starts");
        group.start_server(4);
        thread::sleep(OVERLAP);
        record.line("release: server 2 drains");
        group.drain(1);
    }
    thread::sleep(Duration::from_millis(4_500));
    *stop.lock().unwrap() = true;
    for thread in threads {
        let _ = thread.join();
    }
    if trouble && group.leader() == 0 {
        return Err("the draining primary was not replaced".to_owned());
    }
    let acknowledged = acknowledged.lock().unwrap();
    let rolled_back = group.rolled_back();
    let mut lost = 0;
    for id in acknowledged.iter().filter(|id| rolled_back.contains(id)) {
        lost += 1;
        record.line(&format!(
            "LOST broken: commit {id} was acknowledged to its caller and is not in the log of the promoted server"
        ));
    }
    record.line(&format!("{} commits acknowledged, {lost} of them lost", acknowledged.len()));
    Ok(lost == 0)
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-orders\",\"host\":\"orders\",\"path_prefix\":\"/\",\"type\":\"primary\",\
         \"timeout_ms\":2000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":71,\"protocol\":\"h1\",\
         \"tls\":false,\"sync_replicas\":1}}],\"limits\":{{\"tx_idle_ms\":3000}}}}"
    )
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
            thread::sleep(Duration::from_millis(30));
            if session.is_none() {
                session = Session::open(&address, "orders", Duration::from_secs(4)).0;
            }
            let Some(open) = &mut session else { continue };
            let id = format!("w{number}x{count}");
            let answer = open.query(&id, "WRITE 1a4 data");
            if answer.is_success() {
                acknowledged.lock().unwrap().push(id);
            } else if answer.ready.is_empty() {
                session = None;
            }
        }
    })
}
