//! Entries that die, pause, are cut off or are stopped for a restart, under load.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::{
        cluster::{ClusterPlan, TestCluster},
        history::WriteOutcome,
        workload::{TABLE, Workload, WorkloadResult, stored_tokens},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

const CALLERS: u64 = 8;

async fn cluster(entries: usize) -> TestCluster {
    let plan = ClusterPlan { entries, lag_ms: 100, ..ClusterPlan::default() };
    let cluster = TestCluster::spawn(plan).await.unwrap();
    let caller = cluster.caller(0, "test").await.unwrap();
    caller.batch_execute(TABLE).await.unwrap();
    cluster
}

fn addresses(cluster: &TestCluster) -> Vec<SocketAddr> {
    cluster.entries.iter().map(|entry| entry.address).collect()
}

async fn check(cluster: &TestCluster, result: &WorkloadResult) {
    let primary = cluster.primary().await.unwrap();
    let rows = stored_tokens(cluster.targets[primary].address).await.unwrap();
    assert!(result.history.writes(WriteOutcome::Acknowledged) > 50, "{:?}", result.errors);
    let faults = result.history.check(&rows);
    assert!(faults.is_empty(), "{faults:?}\nerrors: {:?}", result.errors);
    println!(
        "acknowledged {} not run {} unknown {} reads {} longest write gap {:?} errors {:?}",
        result.history.writes(WriteOutcome::Acknowledged),
        result.history.writes(WriteOutcome::NotRun),
        result.history.writes(WriteOutcome::Unknown),
        result.history.reads(),
        result.longest_write_gap(),
        result.errors,
    );
}

/// Guards against a repeated, lost or half-done order when an entry and its brokers die.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_entries_lose_nothing() {
    let mut cluster = cluster(3).await;
    let workload = Workload::spawn(&addresses(&cluster), CALLERS, 11);
    for entry in 0..3 {
        sleep(Duration::from_secs(2)).await;
        cluster.entries[entry].process.kill();
        sleep(Duration::from_secs(4)).await;
        cluster.restart_entry(entry).unwrap();
        cluster.wait_serving(entry).await.unwrap();
    }
    let result = workload.finish().await;
    check(&cluster, &result).await;
}

/// Guards against an acknowledgement after a pause that outlasted the lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_entries_acknowledge_nothing_late() {
    let cluster = cluster(3).await;
    let workload = Workload::spawn(&addresses(&cluster), CALLERS, 12);
    for entry in 0..3 {
        sleep(Duration::from_secs(1)).await;
        cluster.entries[entry].process.pause().unwrap();
        sleep(Duration::from_secs(5)).await;
        cluster.entries[entry].process.resume().unwrap();
        cluster.wait_serving(entry).await.unwrap();
    }
    let result = workload.finish().await;
    check(&cluster, &result).await;
}

/// Guards against a planned stop that cuts off requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_cuts_off_no_request() {
    let mut cluster = cluster(3).await;
    let workload = Workload::spawn(&addresses(&cluster), CALLERS, 13);
    for entry in 0..3 {
        sleep(Duration::from_secs(1)).await;
        cluster.entries[entry].process.terminate().unwrap();
        let status = cluster.entries[entry].process.wait(Duration::from_secs(20)).await.unwrap();
        assert!(status.success(), "{status}");
        cluster.restart_entry(entry).unwrap();
        cluster.wait_serving(entry).await.unwrap();
    }
    let result = workload.finish().await;
    check(&cluster, &result).await;
    assert_eq!(result.history.writes(WriteOutcome::Unknown), 0, "{:?}", result.errors);
    assert_eq!(result.history.writes(WriteOutcome::NotRun), 0, "{:?}", result.errors);
}
