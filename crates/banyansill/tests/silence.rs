//! Connections that go silent for good while new ones work, and slow work that is not silence.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::{
        cluster::{ClusterPlan, TestCluster},
        history::WriteOutcome,
        workload::{TABLE, Workload, stored_tokens},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const CALLERS: u64 = 8;

/// Time within which callers are served again after connections fell silent: the sheet's deadline of
/// 10 s, after which a request on a silent connection has its answer, plus the probe interval.
const SERVED_LIMIT: Duration = Duration::from_secs(11);

async fn cluster() -> TestCluster {
    let plan = ClusterPlan { entries: 2, lag_ms: 20, ..ClusterPlan::default() };
    let cluster = TestCluster::spawn(plan).await.unwrap();
    let caller = cluster.caller(0, "test").await.unwrap();
    caller.batch_execute(TABLE).await.unwrap();
    cluster
}

fn addresses(cluster: &TestCluster) -> Vec<SocketAddr> {
    cluster.entries.iter().map(|entry| entry.address).collect()
}

/// Guards against a pool that keeps handing out silent connections, and against a failover for them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_target_connections_are_replaced() {
    let cluster = cluster().await;
    let workload = Workload::spawn(&addresses(&cluster), CALLERS, 31);
    for target in &cluster.targets {
        sleep(Duration::from_secs(2)).await;
        target.proxy.silence_present();
        sleep(SERVED_LIMIT).await;
    }
    let result = workload.finish().await;
    assert_eq!(cluster.primary().await.unwrap(), 0, "the path was silent, not the primary");
    let rows = stored_tokens(cluster.targets[0].address).await.unwrap();
    assert!(result.history.writes(WriteOutcome::Acknowledged) > 50, "{:?}", result.errors);
    let faults = result.history.check(&rows);
    assert!(faults.is_empty(), "{faults:?}");
    println!("longest write gap {:?} errors {:?}", result.longest_write_gap(), result.errors);
    assert!(result.longest_write_gap() < SERVED_LIMIT, "{:?}", result.errors);
}

/// Guards against a long report that is taken for a dead connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_report_is_not_a_dead_connection() {
    let cluster = cluster().await;
    let caller = cluster.caller(0, "finance").await.unwrap();
    let start = Instant::now();
    let row = caller.query_one("SELECT 7::bigint, pg_sleep(7)", &[]).await;
    let row = match row {
        Ok(row) => row,
        Err(error) => panic!("after {:?}: {error:?}", start.elapsed()),
    };
    assert_eq!(row.get::<_, i64>(0), 7);
    assert!(start.elapsed() >= Duration::from_secs(7));
}
