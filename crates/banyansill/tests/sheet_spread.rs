//! Time from the acceptance of a sheet until it is in force on each of 15 entries in separate processes.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::{
        cluster::{ClusterPlan, DEFAULT_SHEET, TestCluster, connect},
        history::WriteOutcome,
        workload::{TABLE, Workload, stored_tokens},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Entry hosts of either user of the product, at least.
const ENTRIES: usize = 15;

/// Time within which an accepted sheet must be in force on every entry that takes work.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);

/// Sheets that are applied one after the other.
const SHEETS: u64 = 6;

const CALLERS: u64 = 4;

/// Statement whose kind the sheets allow and forbid in turn; it changes nothing.
const PROBE: &str = "/* kind=probe */ DELETE FROM orders WHERE token = 0";

fn sheet(number: u64) -> String {
    let (access, targets) =
        if number.is_multiple_of(2) { ("read", "any") } else { ("write", "primary") };
    format!("{DEFAULT_SHEET}*,*,probe,{access},{targets},,primary,no,4,10000,\n")
}

/// Returns when an entry first behaves as the sheet says.
async fn in_force(entry: SocketAddr, allowed: bool) -> Instant {
    let caller = connect(entry, "coordinator").await.unwrap();
    let end = Instant::now() + IN_FORCE_LIMIT + IN_FORCE_LIMIT;
    loop {
        let answer = caller.batch_execute(PROBE).await;
        let answered = Instant::now();
        let refused = answer.as_ref().err().and_then(|error| error.code()).map(|code| code.code());
        match refused {
            None if allowed && answer.is_ok() => return answered,
            Some("42501") if !allowed => return answered,
            _ => assert!(answered < end, "entry {entry}: {answer:?}"),
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a sheet that is late on one of many entries or reverts on one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sheet_is_in_force_on_fifteen_entries() {
    let plan = ClusterPlan {
        controls: 3,
        entries: ENTRIES,
        lag_ms: 20,
        sheet: sheet(1),
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::spawn(plan).await.unwrap();
    cluster.caller(0, "test").await.unwrap().batch_execute(TABLE).await.unwrap();
    let entries: Vec<SocketAddr> = cluster.entries.iter().map(|entry| entry.address).collect();
    let workload = Workload::spawn(&entries, CALLERS, 51);
    let mut times = Vec::new();
    for number in 2..2 + SHEETS {
        let reply = cluster.apply_sheet(number, &sheet(number), &format!("spread-{number}")).await;
        let accepted = Instant::now();
        assert!(reply.unwrap().accepted);
        let mut waits = Vec::new();
        for entry in &entries {
            waits.push(tokio::spawn(in_force(*entry, !number.is_multiple_of(2))));
        }
        let mut latest = Duration::ZERO;
        for wait in waits {
            let time = wait.await.unwrap().saturating_duration_since(accepted);
            latest = latest.max(time);
            times.push(time);
        }
        assert!(latest < IN_FORCE_LIMIT, "sheet {number} after {latest:?}");
        // None goes back to the sheet before: the first answer of each is still the right one.
        for entry in &entries {
            let caller = connect(*entry, "coordinator").await.unwrap();
            let answer = caller.batch_execute(PROBE).await;
            assert_eq!(answer.is_ok(), !number.is_multiple_of(2), "{entry}: {answer:?}");
        }
    }
    times.sort_unstable();
    println!(
        "in force, {} times: median {:?} worst {:?}",
        times.len(),
        times[times.len() / 2],
        times[times.len() - 1]
    );
    let result = workload.finish().await;
    let primary = cluster.primary().await.unwrap();
    let rows = stored_tokens(cluster.targets[primary].address).await.unwrap();
    let faults = result.history.check(&rows);
    assert!(faults.is_empty(), "{faults:?}\nerrors: {:?}", result.errors);
    assert!(result.history.writes(WriteOutcome::Acknowledged) > 10, "{:?}", result.errors);
}
