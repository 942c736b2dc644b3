//! Session consistency with real processes: read-your-writes and monotonic reads under lag.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::cluster::{ClusterPlan, TestCluster},
    std::time::{Duration, Instant},
};

const LAG: Duration = Duration::from_secs(5);

/// Returns a cluster whose replicas already serve reads, 5 s old.
///
/// A replica that has replayed nothing yet is too old for any read, which would hide a missing floor.
async fn lagging() -> TestCluster {
    let plan = ClusterPlan { lag_ms: 5_000, ..ClusterPlan::default() };
    let cluster = TestCluster::spawn(plan).await.unwrap();
    let caller = cluster.caller(0, "test").await.unwrap();
    caller.batch_execute("CREATE TABLE orders (id bigint PRIMARY KEY)").await.unwrap();
    caller.batch_execute("CREATE TABLE stock (id bigint PRIMARY KEY)").await.unwrap();
    tokio::time::sleep(LAG + Duration::from_secs(1)).await;
    cluster
}

/// Guards against a read that goes to a replica which has not replayed the session's own write.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_sees_its_write_under_lag() {
    let cluster = lagging().await;
    let caller = cluster.caller(0, "coordinator").await.unwrap();
    let start = Instant::now();
    for id in 0..5_i64 {
        caller.execute("INSERT INTO orders VALUES ($1)", &[&id]).await.unwrap();
        let row = caller.query_one("SELECT count(*) FROM orders", &[]).await.unwrap();
        assert_eq!(row.get::<_, i64>(0), id + 1);
    }
    assert!(start.elapsed() < LAG, "writes and reads waited for the replicas");
}

/// Guards against a floor that is forgotten when the caller reconnects to another entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_sees_its_write_after_reconnecting_elsewhere() {
    let cluster = lagging().await;
    for id in 0..5_i64 {
        let entry = usize::try_from(id).unwrap() % 2;
        let writer = cluster.caller(entry, "coordinator").await.unwrap();
        writer.execute("INSERT INTO orders VALUES ($1)", &[&id]).await.unwrap();
        drop(writer);
        let reader = cluster.caller(1 - entry, "coordinator").await.unwrap();
        let row = reader.query_one("SELECT count(*) FROM orders", &[]).await.unwrap();
        assert_eq!(row.get::<_, i64>(0), id + 1);
    }
}

/// Guards against a kind with `ack` = `replica` that waits for replay instead of receipt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn confirmed_order_does_not_wait_for_replay() {
    let cluster = lagging().await;
    let caller = cluster.caller(0, "coordinator").await.unwrap();
    let start = Instant::now();
    for id in 0..5_i64 {
        caller.execute("/* kind=order */ INSERT INTO orders VALUES ($1)", &[&id]).await.unwrap();
    }
    assert!(start.elapsed() < LAG, "an order waited for replay");
}

/// Guards against reads that all go to the primary, and against a replica read that is made up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn old_enough_reads_go_to_replicas_and_show_older_data() {
    let cluster = lagging().await;
    let writer = cluster.caller(0, "coordinator").await.unwrap();
    writer.batch_execute("INSERT INTO stock VALUES (1)").await.unwrap();
    tokio::time::sleep(LAG + Duration::from_secs(1)).await;
    // This caller connects before the second row is written, so it may be served without it.
    let reader = cluster.caller(1, "depot").await.unwrap();
    let query = "SELECT count(*), pg_is_in_recovery() FROM stock";
    let row = reader.query_one(query, &[]).await.unwrap();
    assert_eq!((row.get::<_, i64>(0), row.get::<_, bool>(1)), (1, true));
    writer.batch_execute("INSERT INTO stock VALUES (2)").await.unwrap();
    let row = reader.query_one(query, &[]).await.unwrap();
    assert_eq!((row.get::<_, i64>(0), row.get::<_, bool>(1)), (1, true));
    let fresh = "/* kind=fresh */ SELECT count(*), pg_is_in_recovery() FROM stock";
    let row = reader.query_one(fresh, &[]).await.unwrap();
    assert_eq!((row.get::<_, i64>(0), row.get::<_, bool>(1)), (2, false));
}
