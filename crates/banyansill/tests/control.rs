//! Control replicas that die or fall silent, sheets that race, and targets that leave.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::{
        cluster::{ClusterPlan, DEFAULT_SHEET, TestCluster},
        history::WriteOutcome,
        workload::{TABLE, Workload, WorkloadResult, stored_tokens},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const CALLERS: u64 = 8;

/// Time within which an accepted sheet must be in force on every entry that takes work.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);

/// Time after which an entry without a control majority must refuse work: the node lease plus one
/// second for the test's own polling.
const LEASE_LIMIT: Duration = Duration::from_secs(3);

async fn cluster(controls: usize, entries: usize) -> TestCluster {
    spawn(ClusterPlan { controls, entries, lag_ms: 20, ..ClusterPlan::default() }).await
}

async fn spawn(plan: ClusterPlan) -> TestCluster {
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
        "acknowledged {} not run {} unknown {} longest write gap {:?} errors {:?}",
        result.history.writes(WriteOutcome::Acknowledged),
        result.history.writes(WriteOutcome::NotRun),
        result.history.writes(WriteOutcome::Unknown),
        result.longest_write_gap(),
        result.errors,
    );
}

fn forbidding(kind: &str) -> String {
    let mut sheet = String::new();
    for line in DEFAULT_SHEET.lines() {
        let line = if line.starts_with(&format!("*,*,{kind},")) {
            line.replace("write,primary", "read,any")
        } else {
            line.to_owned()
        };
        sheet.push_str(&line);
        sheet.push('\n');
    }
    sheet
}

/// Guards against a control replica whose death or silence stops the callers or loses state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_control_replica_dies_and_falls_silent() {
    let mut cluster = cluster(3, 3).await;
    let workload = Workload::spawn(&addresses(&cluster), CALLERS, 21);
    for control in 0..3 {
        sleep(Duration::from_secs(1)).await;
        cluster.controls[control].process.kill();
        sleep(Duration::from_secs(3)).await;
        cluster.restart_control(control).unwrap();
        sleep(Duration::from_secs(2)).await;
        // Longer than every lease; on waking it must not confirm anything.
        cluster.controls[control].process.pause().unwrap();
        sleep(Duration::from_secs(5)).await;
        cluster.controls[control].process.resume().unwrap();
        sleep(Duration::from_secs(1)).await;
    }
    let result = workload.finish().await;
    check(&cluster, &result).await;
    assert!(result.longest_write_gap() < Duration::from_secs(13), "{:?}", result.errors);
}

/// Guards against an entry that goes on working under a sheet that it cannot confirm.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_without_a_control_majority_refuse_work() {
    let mut cluster = cluster(3, 2).await;
    let caller = cluster.caller(0, "coordinator").await.unwrap();
    caller.simple_query("SELECT 1").await.unwrap();
    cluster.controls[0].process.pause().unwrap();
    cluster.controls[1].process.kill();
    let end = Instant::now() + LEASE_LIMIT;
    let mut in_flight = 0;
    let refusal = loop {
        match caller.simple_query("SELECT 1").await {
            Ok(_) => assert!(Instant::now() < end, "work is taken without a lease"),
            // The one request that runs when the lease ends has an unknown outcome; every later one is
            // refused.
            Err(error) if error.code().is_some_and(|code| code.code() == "40003") => in_flight += 1,
            Err(error) => break error,
        }
        sleep(Duration::from_millis(20)).await;
    };
    assert!(in_flight <= 1, "{in_flight} requests ran after the lease had ended");
    let refusal = refusal.as_db_error().unwrap().message().to_owned();
    assert!(refusal.ends_with("not run"), "{refusal}");
    cluster.controls[0].process.resume().unwrap();
    cluster.wait_serving(0).await.unwrap();
    cluster.wait_serving(1).await.unwrap();
}

/// Guards against a sheet that is accepted but not in force, reverts, or is accepted twice under one
/// number; and against a resend that gets another answer from a new leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sheet_is_in_force_everywhere_and_stays() {
    let mut cluster = cluster(3, 3).await;
    let order = "/* kind=order */ INSERT INTO orders (token, caller) VALUES (1, 1)";
    let mut callers = Vec::new();
    for entry in 0..3 {
        let caller = cluster.caller(entry, "coordinator").await.unwrap();
        caller.batch_execute(order).await.unwrap();
        callers.push(caller);
    }
    let (forbidding, allowing) = (forbidding("order"), DEFAULT_SHEET.replace(",4,", ",5,"));
    let (first, second) = tokio::join!(
        cluster.apply_sheet(2, &forbidding, "operator-a"),
        cluster.apply_sheet(2, &allowing, "operator-b"),
    );
    let accepted = Instant::now();
    let (first, second) = (first.unwrap(), second.unwrap());
    assert_ne!(first.accepted, second.accepted, "{first:?} {second:?}");
    let loser = if first.accepted { &second } else { &first };
    assert!(!loser.conflict.is_empty());
    // The next number forbids orders for good.
    let third = cluster.apply_sheet(3, &forbidding, "operator-c").await.unwrap();
    assert!(third.accepted);
    for caller in &callers {
        while caller.batch_execute(order).await.is_ok() {
            assert!(accepted.elapsed() < IN_FORCE_LIMIT, "the sheet is not in force in time");
            sleep(Duration::from_millis(20)).await;
        }
    }
    // Each replica restarts in turn, so the leader has changed at least once.
    for control in 0..3 {
        cluster.controls[control].process.kill();
        sleep(Duration::from_secs(2)).await;
        cluster.restart_control(control).unwrap();
        sleep(Duration::from_secs(2)).await;
    }
    let again = cluster.apply_sheet(3, &forbidding, "operator-c").await.unwrap();
    assert_eq!((again.accepted, again.version), (true, third.version));
    let older = cluster.apply_sheet(2, &allowing, "operator-d").await.unwrap();
    assert!(first.accepted || older.accepted == second.accepted);
    for (entry, caller) in callers.iter().enumerate() {
        cluster.wait_serving(entry).await.unwrap();
        let refusal = caller.batch_execute(order).await.unwrap_err();
        assert_eq!(refusal.code().map(|code| code.code()), Some("42501"), "{refusal:?}");
    }
}

/// One target leaves under load; the two that stay can still confirm each other's commits.
async fn leave(target: usize, seed: u64) {
    // Statements take long enough that some always run when the target begins to leave.
    let plan = ClusterPlan { lag_ms: 20, statement_cost_us: 30_000, ..ClusterPlan::default() };
    let mut cluster = spawn(plan).await;
    let workload = Workload::spawn(&addresses(&cluster), CALLERS, seed);
    sleep(Duration::from_secs(2)).await;
    cluster.targets[target].process.terminate().unwrap();
    let status = cluster.targets[target].process.wait(Duration::from_secs(30)).await.unwrap();
    assert!(status.success(), "{status}");
    sleep(Duration::from_secs(2)).await;
    let result = workload.finish().await;
    check(&cluster, &result).await;
    assert_eq!(result.history.writes(WriteOutcome::Unknown), 0, "{:?}", result.errors);
    assert_eq!(result.history.writes(WriteOutcome::NotRun), 0, "{:?}", result.errors);
}

/// Guards against work on a replica that is leaving, and against requests that its leaving cuts off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_replica_cuts_off_no_request() {
    leave(2, 24).await;
}

/// Guards against a primary that leaves without handing over, and against requests that are cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_primary_cuts_off_no_request() {
    leave(0, 25).await;
}
