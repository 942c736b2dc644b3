//! Groups of servers.

mod support;

use {
    std::time::{Duration, Instant},
    support::{connect, eventually, failure, primary, replica_of, rows, status},
};

/// Guards against a replica that misses commits, shows them before the lag or accepts writes.
#[tokio::test]
async fn replica_applies_after_the_lag_and_refuses_writes() {
    let first = primary().await;
    let second = replica_of(&first).await;
    let writer = connect(&first).await;
    let reader = connect(&second).await;
    writer.batch_execute("CREATE TABLE t (id int PRIMARY KEY)").await.unwrap();
    eventually("the table is replicated", || async { second.position() == first.position() }).await;
    rows(&reader, "SELECT group_set_lag(300)").await;
    let before = Instant::now();
    writer.batch_execute("INSERT INTO t VALUES (1)").await.unwrap();
    loop {
        let found = rows(&reader, "SELECT id FROM t").await;
        if !found.is_empty() {
            break;
        }
        assert!(before.elapsed() < Duration::from_secs(5), "the commit is not replicated");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(before.elapsed() >= Duration::from_millis(300), "after {:?}", before.elapsed());
    assert_eq!(rows(&reader, "SELECT pg_is_in_recovery()").await, ["t"]);
    assert_eq!(status(&reader).await.0, "replica");
    for text in [
        "INSERT INTO t VALUES (2)",
        "UPDATE t SET id = 3",
        "DELETE FROM t",
        "CREATE TABLE u (id int)",
        "DROP TABLE t",
        "SELECT id FROM t FOR UPDATE",
    ] {
        assert_eq!(failure(&reader, text).await, "25006", "{text}");
    }
    second.kill().await;
    first.kill().await;
}

/// Guards against a promotion that loses received entries or keeps a divergent tail.
#[tokio::test]
async fn promotion_keeps_what_was_received_and_removes_the_divergent_tail() {
    let first = primary().await;
    let second = replica_of(&first).await;
    let old = connect(&first).await;
    old.batch_execute("CREATE TABLE t (id int PRIMARY KEY); INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    eventually("replicated", || async { second.position() == first.position() }).await;
    second.set_lag(Duration::from_secs(60));
    old.batch_execute("INSERT INTO t VALUES (2)").await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    second.set_isolated(true);
    // The old primary goes on alone and its log becomes longer than the new one.
    for id in 10..20 {
        old.batch_execute(&format!("INSERT INTO t VALUES ({id})")).await.unwrap();
    }
    let new = connect(&second).await;
    assert_eq!(failure(&new, "SELECT group_promote(1)").await, "55000");
    let start = rows(&new, "SELECT group_promote(2)").await;
    assert_eq!(rows(&new, "SELECT group_promote(2)").await, start, "repeated promotion");
    assert_eq!(status(&new).await.2.to_string(), start[0]);
    new.batch_execute("INSERT INTO t VALUES (3)").await.unwrap();
    second.set_isolated(false);
    assert_eq!(status(&old).await.0, "primary", "not told yet");
    let follow = |term| format!("SELECT group_follow({term}, '{}')", second.replication_address());
    assert_eq!(failure(&old, &follow(0)).await, "55000");
    assert_eq!(failure(&old, &follow(1)).await, "55000");
    rows(&old, &follow(2)).await;
    eventually("the old primary follows", || async { first.position() == second.position() }).await;
    assert_eq!(rows(&old, "SELECT id FROM t ORDER BY id").await, ["1", "2", "3"]);
    assert_eq!(failure(&old, "INSERT INTO t VALUES (4)").await, "25006");
    // Keys of the removed entries are free again.
    new.batch_execute("INSERT INTO t VALUES (10)").await.unwrap();
    second.kill().await;
    first.kill().await;
}
