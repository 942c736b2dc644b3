//! Paths that fall silent between two entries, and between a caller and its entry.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::{
        cluster::{ClusterPlan, DEFAULT_SHEET, TestCluster, connect},
        history::WriteOutcome,
        proxy::FaultProxy,
        workload::{TABLE, Workload, stored_tokens},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

const CALLERS: u64 = 8;

/// Deadline of every request in the first test's sheet.
const DEADLINE: Duration = Duration::from_secs(2);

/// Time for which nothing passes between one entry and the others: longer than the deadline.
const SILENCE: Duration = Duration::from_secs(4);

/// Limit of each wait, for a slow machine; no bound of the design is measured here.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Guards against requests that hang, are repeated or answered wrongly when the path to another
/// entry's brokers is silent, and against a path that stays unused after it works again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_path_between_entries_loses_nothing() {
    let deadline = DEADLINE.as_millis();
    let sheet = DEFAULT_SHEET.replace(",10000,\n", &format!(",{deadline},\n"));
    let plan = ClusterPlan { entries: 2, lag_ms: 20, sheet, ..ClusterPlan::default() };
    let cluster = TestCluster::spawn(plan).await.unwrap();
    let caller = cluster.caller(0, "test").await.unwrap();
    caller.batch_execute(TABLE).await.unwrap();
    let group = cluster.group(WAIT_LIMIT).await.unwrap();
    let broker = group.servers.iter().find(|server| {
        server.announcement.as_ref().is_some_and(|announced| announced.server == group.primary)
    });
    let broker = broker.unwrap().broker.clone();
    let broker = cluster.entries.iter().position(|entry| entry.host == broker).unwrap();
    let near = [cluster.entries[broker].address];
    let far = [cluster.entries[1 - broker].address];
    let workloads = [
        Workload::spawn_numbered(&near, 1..=CALLERS / 2, 96),
        Workload::spawn_numbered(&far, CALLERS / 2 + 1..=CALLERS, 97),
    ];
    sleep(Duration::from_secs(1)).await;
    let path = &cluster.entries[broker].peers;
    // The present connections fall silent for good; new ones work.
    path.silence_present();
    sleep(SILENCE).await;
    // The far entry gives the silent connections up and opens new ones.
    timeout(WAIT_LIMIT, cluster.wait_serving(1 - broker)).await.expect("not served again").unwrap();
    // Nothing passes, and new connections are accepted and silent too.
    path.partition();
    let cut = Instant::now();
    sleep(SILENCE).await;
    let healed = Instant::now();
    path.heal();
    for entry in 0..2 {
        timeout(WAIT_LIMIT, cluster.wait_serving(entry)).await.expect("not served again").unwrap();
    }
    sleep(Duration::from_secs(1)).await;
    let [near, far] = workloads;
    let (near, far) = (near.finish().await, far.finish().await);
    println!("near errors {:?}\nfar errors {:?}", near.errors, far.errors);
    let primary = cluster.primary().await.unwrap();
    assert_eq!(cluster.targets[primary].name, group.primary, "only a path between entries was cut");
    let rows = stored_tokens(cluster.targets[primary].address).await.unwrap();
    for result in [&near, &far] {
        let faults = result.history.check(&rows);
        assert!(faults.is_empty(), "{faults:?}\nerrors: {:?}", result.errors);
        assert!(result.history.writes(WriteOutcome::Acknowledged) > 10, "{:?}", result.errors);
        assert!(result.acknowledged.iter().any(|at| *at > healed), "no write after the repair");
    }
    // The entry with the broker is not disturbed; the other one could not write, so the path was cut.
    assert!(near.acknowledged.iter().any(|at| *at > cut && *at < healed), "{:?}", near.errors);
    assert!(!far.errors.is_empty(), "the path was not used");
}

/// Guards against a caller that falls silent inside a transaction and keeps its locks for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_caller_loses_its_transaction() {
    let plan = ClusterPlan { transaction_idle_ms: 2_000, ..ClusterPlan::default() };
    let cluster = TestCluster::spawn(plan).await.unwrap();
    let other = cluster.caller(1, "coordinator").await.unwrap();
    other.batch_execute("CREATE TABLE stock (id bigint PRIMARY KEY, n bigint)").await.unwrap();
    other.batch_execute("INSERT INTO stock VALUES (1, 10)").await.unwrap();
    let paths = [
        FaultProxy::bind(cluster.entries[0].address).await.unwrap(),
        FaultProxy::bind(cluster.entries[1].address).await.unwrap(),
    ];
    for path in paths {
        let address: SocketAddr = path.address();
        let silent = connect(address, "coordinator").await.unwrap();
        silent.batch_execute("BEGIN; UPDATE stock SET n = 0 WHERE id = 1").await.unwrap();
        path.silence_present();
        let committing = tokio::spawn(async move { silent.batch_execute("COMMIT").await });
        let end = Instant::now() + WAIT_LIMIT;
        loop {
            let update = other.batch_execute("UPDATE stock SET n = n + 1 WHERE id = 1");
            if matches!(timeout(WAIT_LIMIT, update).await, Ok(Ok(()))) {
                break;
            }
            assert!(Instant::now() < end, "the silent caller still holds its lock");
            sleep(Duration::from_millis(50)).await;
        }
        // The commit was swallowed by the path, so nothing answers it and nothing was changed by it.
        assert!(!committing.is_finished(), "a silent path gave an answer");
        committing.abort();
        path.cut_present();
    }
    let row = other.query_one("/* kind=fresh */ SELECT n FROM stock", &[]).await.unwrap();
    assert_eq!(row.get::<_, i64>(0), 12, "rolled back work shows");
}
