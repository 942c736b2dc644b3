//! Changes of primary with real processes, checked against what callers were told.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::{
        cluster::{ClusterPlan, TestCluster},
        history::WriteOutcome,
        workload::{TABLE, Workload, WorkloadResult, stored_tokens},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time within which a change of primary must be over.
const FAILOVER_LIMIT: Duration = Duration::from_secs(13);

const CALLERS: u64 = 8;

async fn cluster(controls: usize, entries: usize) -> TestCluster {
    let plan = ClusterPlan { controls, entries, lag_ms: 100, ..ClusterPlan::default() };
    let cluster = TestCluster::spawn(plan).await.unwrap();
    let caller = cluster.caller(0, "test").await.unwrap();
    caller.batch_execute(TABLE).await.unwrap();
    cluster
}

fn addresses(cluster: &TestCluster) -> Vec<SocketAddr> {
    cluster.entries.iter().map(|entry| entry.address).collect()
}

/// Waits until the acting primary differs from `old`.
async fn wait_promoted(cluster: &TestCluster, old: usize) -> usize {
    let end = Instant::now() + 2 * FAILOVER_LIMIT;
    while Instant::now() < end {
        if let Ok(primary) = cluster.primary().await
            && primary != old
        {
            return primary;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("no promotion");
}

async fn check(cluster: &TestCluster, result: &WorkloadResult) {
    let primary = cluster.primary().await.unwrap();
    let rows = stored_tokens(cluster.targets[primary].address).await.unwrap();
    assert!(result.history.writes(WriteOutcome::Acknowledged) > 50, "{:?}", result.errors);
    let faults = result.history.check(&rows);
    assert!(faults.is_empty(), "{faults:?}\nerrors: {:?}", result.errors);
    println!(
        "acknowledged {} not run {} failed {} unknown {} reads {} longest write gap {:?} errors {:?}",
        result.history.writes(WriteOutcome::Acknowledged),
        result.history.writes(WriteOutcome::NotRun),
        result.history.writes(WriteOutcome::Failed),
        result.history.writes(WriteOutcome::Unknown),
        result.history.reads(),
        result.longest_write_gap(),
        result.errors,
    );
}

/// Guards against a lost or repeated order, and against a gap above the limit, when a primary dies.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_primary_is_replaced() {
    let mut cluster = cluster(1, 3).await;
    let workload = Workload::spawn(&addresses(&cluster), CALLERS, 1);
    sleep(Duration::from_secs(3)).await;
    cluster.targets[0].process.kill();
    wait_promoted(&cluster, 0).await;
    sleep(Duration::from_secs(4)).await;
    let result = workload.finish().await;
    check(&cluster, &result).await;
    assert!(result.longest_write_gap() < FAILOVER_LIMIT, "{:?}", result.longest_write_gap());
}

/// Guards against an acknowledgement by a primary that was cut off and replaced, and against a
/// returning primary that does not follow the new one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partitioned_primary_is_fenced_and_follows() {
    let cluster = cluster(1, 3).await;
    let workload = Workload::spawn(&addresses(&cluster), CALLERS, 2);
    sleep(Duration::from_secs(3)).await;
    cluster.targets[0].proxy.partition();
    cluster.targets[0].announcements.partition();
    // The old primary still runs; only its way to the system is cut.
    let end = Instant::now() + 2 * FAILOVER_LIMIT;
    while cluster.primary().await.unwrap() == 0 && Instant::now() < end {
        sleep(Duration::from_millis(50)).await;
    }
    let new = cluster.primary().await.unwrap();
    assert_ne!(new, 0, "no promotion");
    sleep(Duration::from_secs(2)).await;
    cluster.targets[0].proxy.heal();
    cluster.targets[0].announcements.heal();
    sleep(Duration::from_secs(4)).await;
    let result = workload.finish().await;
    check(&cluster, &result).await;
    assert!(result.longest_write_gap() < FAILOVER_LIMIT, "{:?}", result.longest_write_gap());
    sleep(Duration::from_secs(2)).await;
    let mut old = stored_tokens(cluster.targets[0].address).await.unwrap();
    let mut rows = stored_tokens(cluster.targets[new].address).await.unwrap();
    old.sort_unstable();
    rows.sort_unstable();
    assert_eq!(old, rows, "the old primary does not follow the new one");
}

/// Guards against lost orders when the new primary dies soon after the first one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_primary_dies_after_the_first_returned() {
    let cluster = cluster(1, 3).await;
    let workload = Workload::spawn(&addresses(&cluster), CALLERS, 3);
    sleep(Duration::from_secs(2)).await;
    cluster.targets[0].proxy.partition();
    cluster.targets[0].announcements.partition();
    let end = Instant::now() + 2 * FAILOVER_LIMIT;
    while cluster.primary().await.unwrap() == 0 && Instant::now() < end {
        sleep(Duration::from_millis(50)).await;
    }
    let second = cluster.primary().await.unwrap();
    assert_ne!(second, 0);
    cluster.targets[0].proxy.heal();
    cluster.targets[0].announcements.heal();
    sleep(Duration::from_secs(3)).await;
    cluster.targets[second].proxy.partition();
    cluster.targets[second].announcements.partition();
    let end = Instant::now() + 2 * FAILOVER_LIMIT;
    while cluster.primary().await.unwrap() == second && Instant::now() < end {
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_secs(4)).await;
    let result = workload.finish().await;
    check(&cluster, &result).await;
    assert!(result.longest_write_gap() < FAILOVER_LIMIT, "{:?}", result.longest_write_gap());
}
