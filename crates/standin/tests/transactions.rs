//! Concurrent transactions on one server.

mod support;

use {
    banyansill_standin::{ServerHandle, settings::StartRole},
    std::time::{Duration, Instant},
    support::{code, connect, eventually, failure, primary, rows, settings},
    tokio_postgres::Client,
};

async fn stock(server: &ServerHandle) -> (Client, Client) {
    let (first, second) = (connect(server).await, connect(server).await);
    first
        .batch_execute(
            "CREATE TABLE stock (id int PRIMARY KEY, count int); \
             INSERT INTO stock VALUES (1, 10), (2, 20)",
        )
        .await
        .expect("the table is created");
    (first, second)
}

/// Guards against dirty reads, reads that change inside a transaction and lost own changes.
#[tokio::test]
async fn transaction_sees_its_snapshot_and_its_own_changes() {
    let server = primary().await;
    let (first, second) = stock(&server).await;
    first.batch_execute("BEGIN").await.unwrap();
    assert_eq!(rows(&first, "SELECT count FROM stock WHERE id = 1").await, ["10"]);
    second.batch_execute("UPDATE stock SET count = 21 WHERE id = 2").await.unwrap();
    second.batch_execute("INSERT INTO stock VALUES (3, 30)").await.unwrap();
    let all = "SELECT id, count FROM stock ORDER BY id";
    assert_eq!(rows(&first, all).await, ["1|10", "2|20"]);
    first
        .batch_execute(
            "UPDATE stock SET count = 11 WHERE id = 1; INSERT INTO stock VALUES (4, 40); \
             INSERT INTO stock VALUES (5, 50); DELETE FROM stock WHERE id = 5",
        )
        .await
        .unwrap();
    assert_eq!(rows(&first, all).await, ["1|11", "2|20", "4|40"]);
    assert_eq!(rows(&first, "SELECT count FROM stock WHERE id = 4").await, ["40"]);
    assert_eq!(rows(&second, all).await, ["1|10", "2|21", "3|30"]);
    first.batch_execute("COMMIT").await.unwrap();
    assert_eq!(rows(&second, all).await, ["1|11", "2|21", "3|30", "4|40"]);
    first.batch_execute("BEGIN; DELETE FROM stock; ROLLBACK").await.unwrap();
    assert_eq!(rows(&first, "SELECT count(*) FROM stock").await, ["4"]);
    first
        .batch_execute("BEGIN; CREATE TABLE t (id serial); INSERT INTO t DEFAULT VALUES")
        .await
        .unwrap();
    assert_eq!(failure(&second, "SELECT * FROM t").await, "42P01");
    assert_eq!(rows(&first, "SELECT id FROM t").await, ["1"]);
    first.batch_execute("ROLLBACK").await.unwrap();
    assert_eq!(failure(&first, "SELECT * FROM t").await, "42P01");
    server.kill().await;
}

/// Guards against lost updates between transactions.
#[tokio::test]
async fn conflicting_writes_wait_and_then_fail() {
    let server = primary().await;
    let (first, second) = stock(&server).await;
    first.batch_execute("BEGIN; UPDATE stock SET count = count + 1 WHERE id = 1").await.unwrap();
    second.batch_execute("BEGIN").await.unwrap();
    rows(&second, "SELECT * FROM stock").await;
    let waiting = second.batch_execute("UPDATE stock SET count = count + 1 WHERE id = 1");
    let commit = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        first.batch_execute("COMMIT").await.unwrap();
        Instant::now()
    };
    let start = Instant::now();
    let (waited, _) = tokio::join!(waiting, commit);
    assert!(start.elapsed() >= Duration::from_millis(100), "the write did not wait");
    assert_eq!(code(&waited.unwrap_err()), "40001");
    assert_eq!(failure(&second, "SELECT 1").await, "25P02");
    assert_eq!(failure(&second, "INSERT INTO stock VALUES (9, 9)").await, "25P02");
    second.batch_execute("COMMIT").await.unwrap();
    assert_eq!(rows(&second, "SELECT count FROM stock WHERE id = 1").await, ["11"]);
    assert_eq!(rows(&second, "SELECT count(*) FROM stock").await, ["2"]);
    server.kill().await;
}

/// Guards against lost updates of single statements, which start again on newer data.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn single_statements_never_lose_an_update() {
    let server = primary().await;
    let (first, _) = stock(&server).await;
    let mut tasks = Vec::new();
    for _ in 0..8 {
        let client = connect(&server).await;
        tasks.push(tokio::spawn(async move {
            for _ in 0..100 {
                let text = "UPDATE stock SET count = count + 1 WHERE id = $1";
                assert_eq!(client.execute(text, &[&1_i32]).await.unwrap(), 1);
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    assert_eq!(rows(&first, "SELECT count FROM stock WHERE id = 1").await, ["810"]);
    server.kill().await;
}

/// Guards against two rows with one key, committed or not.
#[tokio::test]
async fn keys_stay_unique_between_transactions() {
    let server = primary().await;
    let (first, second) = stock(&server).await;
    for (end, expected) in [("COMMIT", "23505"), ("ROLLBACK", "none")] {
        first.batch_execute("BEGIN; INSERT INTO stock VALUES (7, 1)").await.unwrap();
        let finish = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            first.batch_execute(end).await.unwrap();
        };
        let (inserted, ()) =
            tokio::join!(second.batch_execute("INSERT INTO stock VALUES (7, 2)"), finish);
        let found = inserted.as_ref().err().map_or("none", code);
        assert_eq!(found, expected, "{end}");
        second.batch_execute("DELETE FROM stock WHERE id = 7").await.unwrap();
    }
    assert_eq!(failure(&first, "INSERT INTO stock VALUES (8, 1), (8, 2)").await, "23505");
    assert_eq!(failure(&first, "UPDATE stock SET id = 2 WHERE id = 1").await, "23505");
    first.batch_execute("BEGIN; UPDATE stock SET count = 0 WHERE id = 1").await.unwrap();
    assert_eq!(failure(&first, "INSERT INTO stock VALUES (1, 1)").await, "23505", "own row");
    first.batch_execute("ROLLBACK; BEGIN; DELETE FROM stock WHERE id = 1").await.unwrap();
    first.batch_execute("INSERT INTO stock VALUES (1, 5); COMMIT").await.unwrap();
    for target in ["", "(id)"] {
        let text = format!("INSERT INTO stock VALUES (1, 6) ON CONFLICT {target} DO NOTHING");
        assert_eq!(first.execute(&text, &[]).await.unwrap(), 0);
    }
    let text = "INSERT INTO stock VALUES (1, 6) ON CONFLICT (count) DO NOTHING";
    assert_eq!(failure(&first, text).await, "42P10");
    assert_eq!(rows(&first, "SELECT * FROM stock ORDER BY id").await, ["1|5", "2|20"]);
    first.batch_execute("UPDATE stock SET id = id + 10").await.unwrap();
    assert_eq!(rows(&first, "SELECT id FROM stock WHERE id = 11").await, ["11"]);
    assert!(rows(&first, "SELECT id FROM stock WHERE id = 1").await.is_empty());
    server.kill().await;
}

/// Guards against transactions that wait for each other for ever, and locks that outlive them.
#[tokio::test]
async fn deadlocks_are_broken_and_locks_end_with_the_connection() {
    let mut settings = settings(StartRole::Primary);
    settings.slots = 1;
    let server = banyansill_standin::spawn(settings).await.unwrap();
    let (first, second) = stock(&server).await;
    first.batch_execute("BEGIN; SELECT * FROM stock WHERE id = 1 FOR UPDATE").await.unwrap();
    second.batch_execute("BEGIN; UPDATE stock SET count = 0 WHERE id = 2").await.unwrap();
    let other = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let result = second.batch_execute("UPDATE stock SET count = 0 WHERE id = 1").await;
        assert_eq!(code(&result.unwrap_err()), "40P01");
    };
    // With a single slot this also shows that a statement waiting for a lock holds none.
    let (waited, ()) =
        tokio::join!(first.batch_execute("UPDATE stock SET count = 1 WHERE id = 2"), other);
    waited.unwrap();
    drop(first);
    let third = connect(&server).await;
    eventually("the lost connection's changes are gone", || async {
        rows(&third, "SELECT count FROM stock WHERE id = 2 FOR UPDATE").await == ["20"]
    })
    .await;
    server.kill().await;
}

/// Guards against writes in transactions that declare themselves read-only.
#[tokio::test]
async fn read_only_transactions_refuse_writes() {
    let server = primary().await;
    let (first, _) = stock(&server).await;
    let insert = "INSERT INTO stock VALUES (3, 3)";
    for begin in ["START TRANSACTION READ ONLY", "BEGIN; SET TRANSACTION READ ONLY"] {
        first.batch_execute(begin).await.unwrap();
        assert_eq!(rows(&first, "SHOW transaction_read_only").await, ["on"]);
        assert_eq!(failure(&first, insert).await, "25006");
        first.batch_execute("ROLLBACK").await.unwrap();
    }
    first.batch_execute("SET default_transaction_read_only = on").await.unwrap();
    assert_eq!(failure(&first, insert).await, "25006");
    first.batch_execute("BEGIN READ WRITE; INSERT INTO stock VALUES (3, 3); COMMIT").await.unwrap();
    first.batch_execute("RESET ALL; DELETE FROM stock").await.unwrap();
    server.kill().await;
}

/// Guards against `FOR UPDATE` that locks rows beyond its result, or does not lock its result.
#[tokio::test]
async fn for_update_locks_its_result_only() {
    let server = primary().await;
    let (first, second) = stock(&server).await;
    let text = "BEGIN; SELECT id FROM stock ORDER BY id DESC LIMIT 1 FOR UPDATE";
    assert_eq!(rows(&first, text).await, ["2"]);
    let free = second.batch_execute("UPDATE stock SET count = 0 WHERE id = 1");
    tokio::time::timeout(Duration::from_secs(2), free).await.unwrap().unwrap();
    let held = second.batch_execute("UPDATE stock SET count = count + 1 WHERE id = 2");
    let finish = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        first.batch_execute("UPDATE stock SET count = 50 WHERE id = 2; COMMIT").await.unwrap();
    };
    let (held, ()) = tokio::join!(held, finish);
    held.unwrap();
    assert_eq!(rows(&second, "SELECT count FROM stock ORDER BY id").await, ["0", "51"]);
    server.kill().await;
}
