//! Drains the two entries of a cluster in turn and waits until the other one has taken their targets over.
//!
//! Guards against targets that stay without a broker after a planned hand-over. Not a case of the review, since the
//! deploy file does not start these programs, and not part of the workspace: copy it to `crates/banyansill/tests/` of
//! a working copy, build the workspace, and run it with `cargo test -p banyansill --test drained_entry`.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::cluster::{ClusterPlan, TestCluster},
    banyansill_wire::v1::{DrainRequest, control_client::ControlClient},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Drains in a row.
const ROUNDS: usize = 150;

/// Limit of a hand-over; most take less than 1 s.
const LIMIT: Duration = Duration::from_secs(60);

async fn set_drained(cluster: &TestCluster, entry: &str, drain: bool, request_id: String) {
    let end = Instant::now() + LIMIT;
    loop {
        for control in &cluster.controls {
            let url = format!("http://{}", control.address);
            let Ok(mut client) = ControlClient::connect(url).await else { continue };
            let request = DrainRequest {
                scope: "entry".to_owned(),
                database: String::new(),
                name: entry.to_owned(),
                drain,
                request_id: request_id.clone(),
            };
            if client.drain(request).await.is_ok() {
                return;
            }
        }
        assert!(Instant::now() < end, "no control replica answers");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Returns the servers that `entry` still serves or that no entry serves.
async fn not_handed_over(cluster: &TestCluster, entry: &str) -> Vec<String> {
    let group = cluster.group(LIMIT).await.unwrap();
    let mut left = Vec::new();
    for server in &group.servers {
        if server.broker.is_empty() || server.broker == entry {
            let name = server.announcement.as_ref().map(|announcement| &announcement.server);
            left.push(format!("{name:?}: broker {:?}, epoch {}", server.broker, server.epoch));
        }
    }
    left
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_entry_hands_its_targets_over() {
    let cluster = TestCluster::spawn(ClusterPlan::default()).await.unwrap();
    for round in 0..ROUNDS {
        let entry = format!("entry-{}", 1 + round % 2);
        set_drained(&cluster, &entry, true, format!("drain-{round}")).await;
        let begun = Instant::now();
        loop {
            let left = not_handed_over(&cluster, &entry).await;
            if left.is_empty() {
                break;
            }
            assert!(begun.elapsed() < LIMIT, "round {round}, {entry}: {left:?}");
            sleep(Duration::from_millis(50)).await;
        }
        set_drained(&cluster, &entry, false, format!("undrain-{round}")).await;
        sleep(Duration::from_millis(60)).await;
    }
    println!("{ROUNDS} hand-overs");
}
