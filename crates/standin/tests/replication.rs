//! Groups of servers.

mod support;

use {
    banyansill_standin::{settings::StartRole, spawn},
    std::time::{Duration, Instant},
    support::{connect, eventually, failure, primary, replica_of, rows, run, settings, status},
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
    // With few entries kept, the tail is replaced by an image instead of being cut off.
    for log_entries in [1_000, 2] {
        promote_and_follow(log_entries).await;
    }
}

async fn promote_and_follow(log_entries: u64) {
    let mut options = settings(StartRole::Primary);
    options.log_entries = log_entries;
    let first = spawn(options.clone()).await.expect("the primary starts");
    options.role = StartRole::Replica(Some(first.replication_address()));
    let second = spawn(options).await.expect("the replica starts");
    let old = connect(&first).await;
    run(&old, "CREATE TABLE t (id int PRIMARY KEY); INSERT INTO t VALUES (1)").await;
    eventually("replicated", || async { second.position() == first.position() }).await;
    second.set_lag(Duration::from_secs(60));
    run(&old, "INSERT INTO t VALUES (2)").await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    second.set_isolated(true);
    // The old primary goes on alone and its log becomes longer than the new one.
    for id in 10..20 {
        run(&old, &format!("INSERT INTO t VALUES ({id})")).await;
    }
    let new = connect(&second).await;
    assert_eq!(failure(&new, "SELECT group_promote(1)").await, "55000");
    let start = rows(&new, "SELECT group_promote(2)").await;
    assert_eq!(rows(&new, "SELECT group_promote(2)").await, start, "repeated promotion");
    assert_eq!(status(&new).await.2.to_string(), start[0]);
    run(&new, "INSERT INTO t VALUES (3)").await;
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
    run(&new, "INSERT INTO t VALUES (10)").await;
    second.kill().await;
    first.kill().await;
}

/// Guards against a log that grows without bound, and against a new replica that cannot catch up
/// because early entries are gone.
#[tokio::test]
async fn late_replica_gets_what_the_log_has_forgotten() {
    let mut options = settings(StartRole::Primary);
    options.log_entries = 5;
    let first = spawn(options).await.unwrap();
    let writer = connect(&first).await;
    writer.batch_execute("CREATE TABLE t (id serial PRIMARY KEY, note text)").await.unwrap();
    for _ in 0..50 {
        writer.batch_execute("INSERT INTO t (note) VALUES ('n')").await.unwrap();
    }
    writer.batch_execute("DELETE FROM t WHERE id = 7").await.unwrap();
    let second = replica_of(&first).await;
    eventually("caught up", || async { second.position() == first.position() }).await;
    let reader = connect(&second).await;
    let all = "SELECT count(*), sum(id) FROM t WHERE note = 'n'";
    assert_eq!(rows(&reader, all).await, rows(&writer, all).await);
    writer.batch_execute("INSERT INTO t (note) VALUES ('last')").await.unwrap();
    eventually("goes on", || async { second.position() == first.position() }).await;
    assert_eq!(rows(&reader, "SELECT id FROM t WHERE note = 'last'").await, ["51"]);
    rows(&reader, "SELECT group_promote(2)").await;
    let promoted = "INSERT INTO t (note) VALUES ('own') RETURNING id";
    assert_eq!(rows(&reader, promoted).await, ["52"], "sequence goes on");
    second.kill().await;
    first.kill().await;
}

/// Guards against a freshness that rises while the replica is cut off, or stays behind when idle.
#[tokio::test]
async fn freshness_follows_the_primary() {
    let first = primary().await;
    let second = replica_of(&first).await;
    let reader = connect(&second).await;
    let fresh = || async {
        let row = reader.query_one("SELECT replayed_at_ms FROM group_status()", &[]).await;
        row.expect("the status is answered").get::<_, i64>(0)
    };
    let now = || i64::try_from(banyansill_runtime::clock::wall_millis()).unwrap_or(i64::MAX);
    eventually("fresh", || async { now() - fresh().await < 200 }).await;
    second.set_lag(Duration::from_millis(400));
    tokio::time::sleep(Duration::from_millis(600)).await;
    let behind = now() - fresh().await;
    assert!((400..900).contains(&behind), "{behind} ms behind with 400 ms of lag");
    second.set_isolated(true);
    second.set_lag(Duration::ZERO);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let cut = fresh().await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(fresh().await, cut);
    second.set_isolated(false);
    eventually("fresh again", || async { now() - fresh().await < 200 }).await;
    second.kill().await;
    first.kill().await;
}

/// Guards against a group that loses acknowledged data because a primary came back empty.
#[tokio::test]
async fn primary_that_lost_its_memory_is_not_followed() {
    let first = primary().await;
    let address = first.replication_address();
    let second = replica_of(&first).await;
    let writer = connect(&first).await;
    writer.batch_execute("CREATE TABLE t (id int); INSERT INTO t VALUES (1)").await.unwrap();
    eventually("replicated", || async { second.position() == first.position() }).await;
    first.kill().await;
    let mut options = settings(StartRole::Primary);
    options.replication_listen = address;
    let restarted = spawn(options).await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let reader = connect(&second).await;
    assert_eq!(rows(&reader, "SELECT id FROM t").await, ["1"]);
    rows(&reader, "SELECT group_promote(2)").await;
    let old = connect(&restarted).await;
    rows(&old, &format!("SELECT group_follow(2, '{}')", second.replication_address())).await;
    eventually("recovered", || async { restarted.position() == second.position() }).await;
    assert_eq!(rows(&old, "SELECT id FROM t").await, ["1"]);
    restarted.kill().await;
    second.kill().await;
}

/// Guards against a commit on a server that has ceased to be the primary of the transaction's term,
/// and against a transaction that goes on over replaced history.
#[tokio::test]
async fn open_transactions_do_not_survive_a_change_of_primary() {
    let first = primary().await;
    let second = replica_of(&first).await;
    let (admin, writer, reader) =
        (connect(&first).await, connect(&first).await, connect(&first).await);
    writer.batch_execute("CREATE TABLE t (id int PRIMARY KEY)").await.unwrap();
    eventually("replicated", || async { second.position() == first.position() }).await;
    second.set_isolated(true);
    writer.batch_execute("INSERT INTO t VALUES (1)").await.unwrap();
    reader.batch_execute("BEGIN; SELECT * FROM t").await.unwrap();
    writer.batch_execute("BEGIN; INSERT INTO t VALUES (2)").await.unwrap();
    let new = connect(&second).await;
    rows(&new, "SELECT group_promote(2)").await;
    rows(&admin, &format!("SELECT group_follow(2, '{}')", second.replication_address())).await;
    assert_eq!(failure(&writer, "COMMIT").await, "25006");
    assert_eq!(rows(&reader, "SELECT id FROM t").await, ["1"], "same snapshot");
    second.set_isolated(false);
    eventually("the old primary follows", || async { first.position() == second.position() }).await;
    assert_eq!(failure(&reader, "SELECT id FROM t").await, "40001");
    assert!(rows(&admin, "SELECT id FROM t").await.is_empty());
    rows(&admin, "SELECT group_promote(3)").await;
    admin.batch_execute("INSERT INTO t VALUES (2)").await.unwrap();
    second.kill().await;
    first.kill().await;
}

/// Guards against replicas that drift from the primary under concurrent transactions.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replicas_equal_the_primary_after_concurrent_writes() {
    let mut options = settings(StartRole::Primary);
    options.log_entries = 50;
    let first = spawn(options).await.unwrap();
    let second = replica_of(&first).await;
    let client = connect(&first).await;
    run(&client, "CREATE TABLE t (id serial PRIMARY KEY, tag int UNIQUE, n int DEFAULT 0)").await;
    run(&client, "INSERT INTO t (tag) SELECT g FROM generate_series(1, 20) g").await;
    let mut tasks = Vec::new();
    for worker in 0..6_i32 {
        let client = connect(&first).await;
        tasks.push(tokio::spawn(async move {
            for step in 0..60_i32 {
                let tag = (worker * 7 + step * 3) % 25;
                let text = match step % 4 {
                    0 => format!("UPDATE t SET n = n + 1 WHERE tag = {tag}"),
                    1 => format!("DELETE FROM t WHERE tag = {tag}"),
                    2 => format!("INSERT INTO t (tag) VALUES ({tag}) ON CONFLICT DO NOTHING"),
                    _ => format!(
                        "BEGIN; UPDATE t SET n = n + 10 WHERE tag = {tag}; \
                         UPDATE t SET n = n - 10 WHERE tag = {}; COMMIT",
                        (tag + 5) % 25
                    ),
                };
                // Conflicts and deadlocks are allowed; the statement then has no effect.
                if let Err(error) = client.batch_execute(&text).await {
                    assert!(["40001", "40P01"].contains(&support::code(&error)), "{error:?}");
                    client.batch_execute("ROLLBACK").await.unwrap();
                }
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    let third = replica_of(&first).await;
    let all = "SELECT id, tag, n FROM t ORDER BY id";
    let expected = rows(&client, all).await;
    assert!(expected.len() > 5, "{expected:?}");
    for replica in [&second, &third] {
        eventually("caught up", || async { replica.position() == first.position() }).await;
        assert_eq!(rows(&connect(replica).await, all).await, expected);
    }
    for server in [first, second, third] {
        server.kill().await;
    }
}

/// Guards against a frozen server that still takes part in its group, or does not recover.
#[tokio::test]
async fn frozen_server_stands_still_and_recovers() {
    let first = primary().await;
    let second = replica_of(&first).await;
    let (writer, reader) = (connect(&first).await, connect(&second).await);
    writer.batch_execute("CREATE TABLE t (id int)").await.unwrap();
    eventually("replicated", || async { second.position() == first.position() }).await;
    second.set_frozen(true);
    let before = second.position();
    writer.batch_execute("INSERT INTO t VALUES (1)").await.unwrap();
    let read = reader.simple_query("SELECT id FROM t");
    assert!(tokio::time::timeout(Duration::from_millis(300), read).await.is_err());
    assert_eq!(second.position(), before);
    second.set_frozen(false);
    eventually("caught up", || async { second.position() == first.position() }).await;
    assert_eq!(rows(&reader, "SELECT id FROM t").await, ["1"]);
    second.kill().await;
    first.kill().await;
}
