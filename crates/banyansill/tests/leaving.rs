//! Targets that leave and entries that stop, seen by the work that still reaches or crosses them.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::{
        cluster::{ClusterPlan, DEFAULT_SHEET, TestCluster},
        history::WriteOutcome,
        inspect::{TargetStatus, target_status},
        workload::{TABLE, Workload, stored_tokens},
    },
    std::time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    tokio::time::sleep,
};

/// Time after which a leaving target gets no new work.
const LEAVING_LIMIT_MS: u64 = 3_000;

/// Time that the stand-in goes on serving after it has announced that it leaves; work that came later
/// than the limit would still be counted.
const LEAVE_MS: u64 = 7_000;

/// Limit of each wait, for a slow machine; no bound of the design is measured here.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Time for which a report runs, many times longer than everything else.
const REPORT_SECONDS: i64 = 4;

fn wall_ms() -> u64 {
    u64::try_from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()).unwrap()
}

/// One target leaves while callers on every entry work; the last statement that it begins must be
/// within the limit after the signal, which is sent before the announcement.
async fn leave_under_load(target: usize, seed: u64) {
    let plan = ClusterPlan { entries: 3, lag_ms: 20, leave_ms: LEAVE_MS, ..Default::default() };
    let mut cluster = TestCluster::spawn(plan).await.unwrap();
    let caller = cluster.caller(0, "test").await.unwrap();
    caller.batch_execute(TABLE).await.unwrap();
    // One workload per entry, so that each entry has to stop on its own.
    let mut workloads = Vec::new();
    for (entry, first) in cluster.entries.iter().zip([1, 4, 7]) {
        workloads.push(Workload::spawn_numbered(&[entry.address], first..=first + 2, seed));
    }
    sleep(Duration::from_secs(1)).await;
    let asked = wall_ms();
    let end = Instant::now() + WAIT_LIMIT;
    let address = cluster.targets[target].address;
    while target_status(address).await.unwrap().last_statement_ms <= asked {
        assert!(Instant::now() < end, "the target gets no work at all");
        sleep(Duration::from_millis(20)).await;
    }
    let told = wall_ms();
    let told_at = Instant::now();
    cluster.targets[target].process.terminate().unwrap();
    let mut last: Option<TargetStatus> = None;
    let mut last_asked = told;
    loop {
        let asked = wall_ms();
        let Ok(status) = target_status(address).await else { break };
        (last, last_asked) = (Some(status), asked);
        sleep(Duration::from_millis(50)).await;
    }
    let status = cluster.targets[target].process.wait(WAIT_LIMIT).await.unwrap();
    assert!(status.success(), "{status}");
    assert!(last_asked > told + LEAVING_LIMIT_MS, "the target ended too early to show anything");
    let last_began = last.unwrap().last_statement_ms;
    println!("last statement {} ms after the signal", last_began.saturating_sub(told));
    assert!(
        last_began <= told + LEAVING_LIMIT_MS,
        "a statement began {} ms after the target was told to leave",
        last_began - told
    );
    let mut results = Vec::new();
    for (entry, workload) in workloads.into_iter().enumerate() {
        let result = workload.finish().await;
        let later = told_at + Duration::from_millis(LEAVING_LIMIT_MS);
        assert!(result.answered.iter().any(|at| *at > later), "entry {entry} stopped serving");
        assert!(result.history.writes(WriteOutcome::Acknowledged) > 10, "{:?}", result.errors);
        results.push(result);
    }
    let primary = cluster.primary().await.unwrap();
    let rows = stored_tokens(cluster.targets[primary].address).await.unwrap();
    for result in results {
        let faults = result.history.check(&rows);
        assert!(faults.is_empty(), "{faults:?}\nerrors: {:?}", result.errors);
    }
}

/// Guards against work that still goes to a replica more than 3 s after it announced its leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_replica_gets_no_work_after_the_limit() {
    leave_under_load(1, 81).await;
}

/// Guards against work that still goes to a primary more than 3 s after it announced its leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_primary_gets_no_work_after_the_limit() {
    leave_under_load(0, 82).await;
}

/// Guards against a planned stop that cuts off a long report, of the stopping entry's own callers or
/// of others whose report runs through its brokers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_cuts_off_no_long_report() {
    // A report that may not be repeated shows an error if it is cut off, instead of running again.
    let sheet = format!("{DEFAULT_SHEET}*,*,report,read,any,10000,primary,no,4,30000,\n");
    let plan = ClusterPlan { entries: 3, lag_ms: 20, sheet, ..ClusterPlan::default() };
    let mut cluster = TestCluster::spawn(plan).await.unwrap();
    for stopping in 0..3 {
        let mut reports = Vec::new();
        for entry in 0..3 {
            let began = wall_ms();
            let caller = cluster.caller(entry, "finance").await.unwrap();
            let token = i64::try_from(10 * stopping + entry).unwrap();
            reports.push(tokio::spawn(async move {
                let query =
                    format!("/* kind=report */ SELECT {token}::bigint, pg_sleep({REPORT_SECONDS})");
                let start = Instant::now();
                let row = caller.query_one(&query, &[]).await;
                (entry, token, start.elapsed(), row.map(|row| row.get::<_, i64>(0)))
            }));
            // The report must run before the entry is told to stop.
            let end = Instant::now() + WAIT_LIMIT;
            while !runs_since(&cluster, began).await {
                assert!(Instant::now() < end, "the report does not begin");
                sleep(Duration::from_millis(10)).await;
            }
        }
        cluster.entries[stopping].process.terminate().unwrap();
        for report in reports {
            let (entry, token, ran, answer) = report.await.unwrap();
            let answer = answer.unwrap_or_else(|error| {
                panic!("entry {stopping} stopped, report of entry {entry} after {ran:?}: {error:?}")
            });
            assert_eq!(answer, token);
            assert!(ran >= Duration::from_secs(REPORT_SECONDS.unsigned_abs()), "{ran:?}");
        }
        let status = cluster.entries[stopping].process.wait(WAIT_LIMIT).await.unwrap();
        assert!(status.success(), "{status}");
        cluster.restart_entry(stopping).unwrap();
        cluster.wait_serving(stopping).await.unwrap();
    }
}

/// Returns whether a server has begun a statement after a time.
async fn runs_since(cluster: &TestCluster, began: u64) -> bool {
    for target in &cluster.targets {
        let status = target_status(target.address).await.unwrap();
        if status.last_statement_ms >= began {
            return true;
        }
    }
    false
}
