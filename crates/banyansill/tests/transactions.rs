//! Transactions of many callers while entries die inside them, and the connection limits of servers.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::{
        cluster::{ClusterPlan, TestCluster},
        history::WriteOutcome,
        inspect::{TargetStatus, target_status},
        transactions::{PAIR_TABLE, PairWorkload, stored_pairs},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Callers, each of which holds a connection while its transaction is open: more than the servers
/// accept.
const CALLERS: u64 = 16;

/// Connections that each server accepts.
const CONNECTIONS: u64 = 10;

/// Time that an entry stays away: its node lease of 2 s with the drift margin runs out, and its
/// brokerships move.
const ABSENCE: Duration = Duration::from_millis(2_500);

/// Limit of each wait, for a slow machine; no bound of the design is measured here.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Guards against transactions that mix, are half done, lost or seen although rolled back when the
/// entry that carries them dies; and against two brokers that together exceed a server's limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transactions_stay_whole_while_entries_die() {
    let plan = ClusterPlan {
        entries: 3,
        lag_ms: 20,
        slots: 3,
        connections: CONNECTIONS,
        ..ClusterPlan::default()
    };
    let mut cluster = TestCluster::spawn(plan).await.unwrap();
    let caller = cluster.caller(0, "test").await.unwrap();
    caller.batch_execute(PAIR_TABLE).await.unwrap();
    drop(caller);
    let mut before = Vec::new();
    for target in &cluster.targets {
        before.push(target_status(target.address).await.unwrap().refused_connections);
    }
    let entries: Vec<SocketAddr> = cluster.entries.iter().map(|entry| entry.address).collect();
    let workload = PairWorkload::spawn(&entries, CALLERS, 71);
    for entry in 0..3 {
        sleep(Duration::from_secs(1)).await;
        cluster.entries[entry].process.kill();
        sleep(ABSENCE).await;
        cluster.restart_entry(entry).unwrap();
        cluster.wait_serving(entry).await.unwrap();
    }
    let (log, errors) = workload.finish().await;
    // The test's own connections come after the count, since they are not the brokers'.
    for (target, before) in cluster.targets.iter().zip(before) {
        let status = settled_status(target.address).await;
        println!("{}: {status:?}", target.name);
        assert!(status.max_connections <= CONNECTIONS, "{}: {status:?}", target.name);
        assert_eq!(status.refused_connections, before, "{}: {status:?}", target.name);
    }
    let primary = cluster.primary().await.unwrap();
    assert_eq!(primary, 0, "no primary died");
    let rows = stored_pairs(cluster.targets[primary].address).await.unwrap();
    let faults = log.check(&rows);
    assert!(faults.is_empty(), "{faults:?}\nerrors: {errors:?}");
    println!(
        "acknowledged {} rolled back or failed {} not run {} unknown {} reads {} errors {errors:?}",
        log.count(WriteOutcome::Acknowledged),
        log.count(WriteOutcome::Failed),
        log.count(WriteOutcome::NotRun),
        log.count(WriteOutcome::Unknown),
        log.reads(),
    );
    assert!(log.count(WriteOutcome::Acknowledged) > 50, "{errors:?}");
    assert!(log.count(WriteOutcome::Failed) > 10, "{errors:?}");
}

/// Asks a server for its status; its own refused attempts are taken out of the count.
async fn settled_status(address: SocketAddr) -> TargetStatus {
    let end = Instant::now() + WAIT_LIMIT;
    let mut refused = 0;
    loop {
        match target_status(address).await {
            Ok(mut status) => {
                status.refused_connections -= refused;
                return status;
            }
            Err(error) => {
                assert!(Instant::now() < end, "no free connection: {error}");
                refused += 1;
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
}
