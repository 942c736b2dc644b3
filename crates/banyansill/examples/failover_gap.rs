//! Measures the gap of a failover over several runs, by its steps.
//!
//! `cargo build --release --workspace --bins` and
//! `cargo run --release -p banyansill --example failover_gap -- RUNS`. Each run starts three control
//! replicas, three entries and three servers, and kills the primary under the load of eight callers.

use {
    banyansill_testkit::{
        cluster::{ClusterPlan, TestCluster},
        inspect::LogWatch,
        workload::{TABLE, Workload},
    },
    std::{
        error::Error,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const CALLERS: u64 = 8;

const LIMIT: Duration = Duration::from_secs(60);

/// Runs unless a number is given.
const RUNS: usize = 10;

/// Steps of a failover in the order of their ends, and the longest time without an acknowledged write.
const STEPS: [&str; 6] = ["detection", "fence", "choice", "promotion", "reconnection", "gap"];

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let runs = std::env::args().nth(1).map_or(Ok(RUNS), |text| text.parse())?;
    let mut results = Vec::new();
    for run in 0..runs {
        let steps = fail_over(u64::try_from(run)?).await?;
        println!("run {run}: {steps:?}");
        results.push(steps);
    }
    println!("{:<14}{:>10}{:>10}", "ms", "median", "worst");
    for (index, name) in STEPS.iter().enumerate() {
        let mut times: Vec<u128> = results.iter().map(|steps| steps[index].as_millis()).collect();
        times.sort_unstable();
        let (Some(worst), Some(median)) = (times.last(), times.get(times.len() / 2)) else {
            continue;
        };
        println!("{name:<14}{median:>10}{worst:>10}");
    }
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("load average {load}");
    Ok(())
}

/// Kills the primary once; the time of a step is taken when its log line is read, 2 ms after it was
/// written at the latest on an idle machine.
async fn fail_over(seed: u64) -> Result<[Duration; 6], Box<dyn Error>> {
    let shape = ClusterPlan { controls: 3, entries: 3, lag_ms: 20, ..ClusterPlan::default() };
    let mut cluster = TestCluster::spawn(shape).await?;
    cluster.caller(0, "test").await?.batch_execute(TABLE).await?;
    cluster.wait_settled(LIMIT).await?;
    let entries: Vec<_> = cluster.entries.iter().map(|entry| entry.address).collect();
    let workload = Workload::spawn(&entries, CALLERS, seed);
    sleep(Duration::from_secs(1)).await;
    let mut logs = LogWatch::new(cluster.folder());
    let since = logs.read()?;
    let killed = Instant::now();
    cluster.targets[0].process.kill();
    let mut ends = [killed; 5];
    for (index, event) in [403, 404, 405, 406].into_iter().enumerate() {
        logs.wait(since, LIMIT, |line| line.is_event(event)).await?;
        ends[index + 1] = Instant::now();
    }
    sleep(Duration::from_secs(2)).await;
    let result = workload.finish().await;
    let first = result.acknowledged.iter().find(|at| **at > ends[4]);
    let first = *first.ok_or("no write was acknowledged after the promotion")?;
    let primary = cluster.primary().await?;
    let rows =
        banyansill_testkit::workload::stored_tokens(cluster.targets[primary].address).await?;
    let faults = result.history.check(&rows);
    if !faults.is_empty() {
        return Err(format!("{faults:?}").into());
    }
    Ok([
        ends[1] - ends[0],
        ends[2] - ends[1],
        ends[3] - ends[2],
        ends[4] - ends[3],
        first - ends[4],
        result.longest_write_gap(),
    ])
}
