//! Random schedules of failures, checked against a single copy.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod simulation;

use {
    banyansill_core::time::Micros,
    simulation::{DiskFault, RunReport, Schedule, Simulation},
    std::ops::Range,
};

const CALM: Schedule = Schedule {
    seed: 0,
    hosts: 3,
    length: Micros::from_secs(30),
    loss: 0,
    duplicates: 0,
    crashes: false,
    pauses: false,
    partitions: false,
    replacements: false,
    fault: DiskFault::None,
};

const STORMY: Schedule = Schedule {
    loss: 5,
    duplicates: 5,
    crashes: true,
    pauses: true,
    partitions: true,
    replacements: true,
    ..CALM
};

/// Runs a schedule under several seeds and adds up what happened; prints the seed of a failure.
fn run_seeds(schedule: Schedule, seeds: Range<u64>) -> RunReport {
    let mut total = RunReport::default();
    // More seeds for a long run.
    let factor = std::env::var("CONSENSUS_SEEDS").map_or(1, |text| text.parse().unwrap());
    let count = (seeds.end - seeds.start) * factor;
    for seed in seeds.start..seeds.start + count {
        let result = Simulation::new(Schedule { seed, ..schedule }).run();
        let report = result.unwrap_or_else(|text| panic!("seed {seed}: {text}; {schedule:?}"));
        assert!(report.writes > 300 && report.reads > 200, "seed {seed}: {report:?}");
        total.runs += report.runs;
        total.writes += report.writes;
        total.reads += report.reads;
        total.terms += report.terms;
        total.replaced += report.replaced;
        total.snapshots_sent += report.snapshots_sent;
    }
    println!("{total:?}");
    total
}

/// Guards against elections without cause: a calm cluster keeps its first leader.
#[test]
fn calm_cluster_keeps_its_leader() {
    for hosts in [1, 3, 5] {
        let total = run_seeds(Schedule { hosts, ..CALM }, 0..5);
        assert_eq!(total.terms, total.runs);
    }
}

/// Guards against lost acknowledgements, split leadership and stale reads under loss, duplication
/// and reordering alone.
#[test]
fn lossy_network() {
    run_seeds(Schedule { loss: 15, duplicates: 15, ..CALM }, 0..15);
}

/// Guards against a paused or cut-off leader that confirms, and against one-way partitions that
/// stop the cluster for good.
#[test]
fn pauses_and_partitions() {
    run_seeds(Schedule { pauses: true, partitions: true, ..CALM }, 100..120);
}

/// Guards against writes that are acknowledged before they are synced, and against a replica that
/// restarts in a state it never had.
#[test]
fn crashes_lose_unsynced_writes() {
    run_seeds(Schedule { crashes: true, loss: 3, ..CALM }, 200..220);
}

/// Guards against a replaced host that counts for its lost disk, a second loss after a replacement,
/// and everything above at once, with three and with five hosts.
#[test]
fn everything_at_once() {
    let mut total = run_seeds(STORMY, 300..330);
    let five = run_seeds(Schedule { hosts: 5, ..STORMY }, 400..410);
    total.replaced += five.replaced;
    assert!(total.replaced >= 40 && total.snapshots_sent >= 40, "{total:?}");
}

/// Shows that the checks find a disk that reports writes as synced before they are.
#[test]
fn planted_answer_before_sync_is_found() {
    require_violation(Schedule { fault: DiskFault::AnswerBeforeSync, ..STORMY });
}

/// Shows that the checks find a voter that returns empty under its old identity.
#[test]
fn planted_reuse_of_an_identity_is_found() {
    require_violation(Schedule { fault: DiskFault::KeepIdentity, ..STORMY });
}

/// Requires that a seed loses a committed entry, which is what both planted faults must lead to.
fn require_violation(schedule: Schedule) {
    for seed in 0..60 {
        let simulation = Simulation::new(Schedule { seed, ..schedule });
        let Err(text) = simulation.run() else { continue };
        println!("seed {seed}: {text}");
        if ["lacks entry", "short log", "two contents"].iter().any(|cause| text.contains(cause)) {
            return;
        }
    }
    panic!("no seed found the planted fault");
}
