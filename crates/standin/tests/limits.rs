//! Limits, costs and faults of one server.

mod support;

use {
    banyansill_standin::settings::StartRole,
    std::time::{Duration, Instant},
    support::{code, connect, eventually, primary, rows, settings, try_connect},
    tokio::time::timeout,
};

/// Guards against more statements at a time than slots, and a status that waits for a slot.
#[tokio::test]
async fn statements_wait_for_a_slot() {
    let mut settings = settings(StartRole::Primary);
    settings.slots = 2;
    let server = banyansill_standin::spawn(settings).await.unwrap();
    let watcher = connect(&server).await;
    let start = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..6 {
        let client = connect(&server).await;
        tasks.push(tokio::spawn(async move { rows(&client, "SELECT pg_sleep(0.1)").await }));
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let asked = Instant::now();
    rows(&watcher, "SELECT * FROM group_status()").await;
    // The slots are taken for 250 ms more.
    assert!(asked.elapsed() < Duration::from_millis(150), "status after {:?}", asked.elapsed());
    for task in tasks {
        task.await.unwrap();
    }
    assert!(start.elapsed() >= Duration::from_millis(300), "after {:?}", start.elapsed());
    let counts = rows(&watcher, "SELECT max_running, max_connections FROM group_status()").await;
    assert_eq!(counts, ["2|7"]);
    server.kill().await;
}

/// Guards against costs that are not charged.
#[tokio::test]
async fn connections_and_statements_take_their_time() {
    let server = primary().await;
    server.set_connection_cost(Duration::from_millis(40));
    let start = Instant::now();
    let client = connect(&server).await;
    assert!(start.elapsed() >= Duration::from_millis(40));
    server.set_statement_cost(Duration::from_micros(500));
    let start = Instant::now();
    for _ in 0..100 {
        rows(&client, "SELECT 1").await;
    }
    assert!(start.elapsed() >= Duration::from_millis(48), "after {:?}", start.elapsed());
    server.kill().await;
}

/// Guards against more connections than the limit, and against places that are not given back.
#[tokio::test]
async fn connections_beyond_the_limit_are_refused() {
    let mut settings = settings(StartRole::Primary);
    settings.connections = 2;
    let server = banyansill_standin::spawn(settings).await.unwrap();
    let first = connect(&server).await;
    let second = connect(&server).await;
    assert_eq!(code(&try_connect(&server).await.unwrap_err()), "53300");
    drop(second);
    eventually("the place is free", || async { try_connect(&server).await.is_ok() }).await;
    assert_eq!(rows(&first, "SELECT max_connections FROM group_status()").await, ["2"]);
    server.kill().await;
}

/// Guards against faults that do not act, or that act on connections they must spare.
#[tokio::test]
async fn faults_act_on_the_connections_they_name() {
    let server = primary().await;
    let old = connect(&server).await;
    server.silence_connections();
    let new = connect(&server).await;
    assert_eq!(rows(&new, "SELECT 1").await, ["1"]);
    assert!(timeout(Duration::from_millis(200), old.simple_query("SELECT 1")).await.is_err());
    server.set_silent(true);
    assert!(timeout(Duration::from_millis(200), new.simple_query("SELECT 1")).await.is_err());
    assert!(timeout(Duration::from_millis(200), try_connect(&server)).await.is_err());
    server.set_silent(false);
    assert_eq!(rows(&new, "SELECT 2").await, ["2"]);
    server.cut_connections();
    eventually("the connection is closed", || async {
        new.simple_query("SELECT 1").await.is_err()
    })
    .await;
    assert_eq!(rows(&connect(&server).await, "SELECT 3").await, ["3"]);
    server.set_refusing(true);
    assert!(try_connect(&server).await.is_err());
    server.set_refusing(false);
    let last = connect(&server).await;
    server.kill().await;
    assert!(last.simple_query("SELECT 1").await.is_err());
}
