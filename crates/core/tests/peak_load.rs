//! Tests of the slot queue on virtual time with a load that triples within two seconds and exceeds
//! the capacity.

#[path = "../examples/queue_policies/simulation.rs"]
#[allow(dead_code, clippy::unwrap_used, clippy::must_use_candidate)]
mod simulation;

use {
    banyansill_core::{queue::QueueSettings, retry::RetryBudget, time::Micros},
    rand::{Rng, SeedableRng, rngs::StdRng},
    simulation::{Arrival, KindResult, WorkKind, arrivals, simulate},
    std::{cmp::Reverse, collections::BinaryHeap},
};

const SLOTS: u32 = 5;

/// Duration of a run.
const RUN_DURATION: Micros = Micros::from_secs(12);

/// Start and end of the ramp in microseconds; the rate rises from a third to its maximum in
/// between.
const RAMP_MICROS: (f64, f64) = (4_000_000.0, 6_000_000.0);

const fn kind(name: &'static str, application: &'static str, rate: f64, priority: u32) -> WorkKind {
    let (mean, deadline) = (Micros::from_millis(4), Micros::from_millis(250));
    WorkKind { name, application, rate, mean, deadline, priority }
}

/// Returns arrivals at a third of the rate of `kinds` before the ramp and at the full rate after
/// it.
fn ramped_arrivals(kinds: &[WorkKind], seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed + 1_000);
    let mut kept = Vec::new();
    for arrival in arrivals(kinds, RUN_DURATION, seed) {
        let at = (arrival.at.0 as f64).clamp(RAMP_MICROS.0, RAMP_MICROS.1);
        let share = 1.0 / 3.0 + 2.0 / 3.0 * (at - RAMP_MICROS.0) / (RAMP_MICROS.1 - RAMP_MICROS.0);
        if random.random_bool(share) {
            kept.push(arrival);
        }
    }
    kept
}

fn run(kinds: &[WorkKind], all: &[Arrival]) -> Vec<KindResult> {
    simulate(kinds, all, &QueueSettings::new(SLOTS), 1, None)
}

/// Returns, per kind, how many requests finish in time if all are executed in order of arrival.
fn first_come(kinds: &[WorkKind], all: &[Arrival]) -> Vec<u64> {
    let mut free = BinaryHeap::from(vec![Reverse(0); SLOTS as usize]);
    let mut in_time = vec![0; kinds.len()];
    for arrival in all {
        let Some(Reverse(at)) = free.pop() else { continue };
        let end = at.max(arrival.at.0) + arrival.work.0;
        free.push(Reverse(end));
        in_time[arrival.kind] += u64::from(end <= (arrival.at + kinds[arrival.kind].deadline).0);
    }
    in_time
}

// Guards against late responses at a peak: requests that cannot be served in time must be refused
// on arrival, so that the slots are used for requests that finish in time.
#[test]
fn a_rise_beyond_the_capacity_is_refused_instead_of_served_late() {
    for seed in 1..4 {
        let kinds = [kind("check", "depot", 1_800.0, 1)];
        let all = ramped_arrivals(&kinds, seed);
        let result = &run(&kinds, &all)[0];
        assert!(result.refused > 0, "seed {seed}: the load does not go beyond the capacity");
        let late = result.late as f64 / result.offered as f64;
        assert!(late < 0.005, "seed {seed}: {late} of the requests were answered late");
        // A request that is admitted and then dropped has waited without being executed.
        let dropped = result.expired as f64 / result.offered as f64;
        assert!(dropped < 0.02, "seed {seed}: {dropped} of the requests waited and were dropped");
        let mut offered = 0.0;
        let mut possible = 0.0_f64;
        for second in 0..RUN_DURATION.0 / 1_000_000 {
            let range = second * 1_000_000..(second + 1) * 1_000_000;
            let mut work = 0;
            for arrival in &all {
                work += if range.contains(&arrival.at.0) { arrival.work.0 } else { 0 };
            }
            offered += work as f64;
            possible += (work as f64).min(f64::from(SLOTS) * 1_000_000.0);
        }
        let served = result.work_in_time as f64;
        assert!(served >= 0.95 * possible, "seed {seed}: {served} of {possible} ({offered})");
        let naive = first_come(&kinds, &all)[0];
        assert!(result.in_time > 2 * naive, "seed {seed}: {} against {naive}", result.in_time);
        println!(
            "peak, seed {seed}: service {:.1}%, {:.1}% of the possible work, {:.2}% late, {:.2}% \
             dropped; first come, first served {:.1}%",
            result.share_in_time() * 100.0,
            served / possible * 100.0,
            late * 100.0,
            dropped * 100.0,
            naive as f64 / result.offered as f64 * 100.0,
        );
    }
}

// Guards against refusing urgent orders at a peak of less urgent checks.
#[test]
fn urgent_kinds_are_served_through_a_peak() {
    for seed in 1..4 {
        let kinds = [kind("order", "coordinator", 300.0, 1), kind("check", "depot", 1_500.0, 2)];
        let all = ramped_arrivals(&kinds, seed);
        let results = run(&kinds, &all);
        let (order, check) = (results[0].share_in_time(), results[1].share_in_time());
        assert!(results[1].refused > 0, "seed {seed}: the load does not go beyond the capacity");
        assert!(order >= 0.99, "seed {seed}: {order} of the orders");
        let naive = first_come(&kinds, &all);
        println!(
            "priority, seed {seed}: orders {:.1}%, checks {:.1}%; first come, first served {:.1}%, \
             {:.1}%",
            order * 100.0,
            check * 100.0,
            naive[0] as f64 / results[0].offered as f64 * 100.0,
            naive[1] as f64 / results[1].offered as f64 * 100.0,
        );
    }
}

// Guards against refusing the requests of an application because another one of the same priority
// floods the queue.
#[test]
fn an_application_within_its_share_is_served_beside_one_that_floods() {
    for seed in 1..4 {
        let kinds = [kind("check", "shop", 300.0, 1), kind("check", "depot", 2_400.0, 1)];
        let all = ramped_arrivals(&kinds, seed);
        let results = run(&kinds, &all);
        let (small, large) = (results[0].share_in_time(), results[1].share_in_time());
        let naive = first_come(&kinds, &all);
        println!(
            "fairness, seed {seed}: within its share {:.1}%, flooding {:.1}%; first come, first \
             served {:.1}%, {:.1}%",
            small * 100.0,
            large * 100.0,
            naive[0] as f64 / results[0].offered as f64 * 100.0,
            naive[1] as f64 / results[1].offered as f64 * 100.0,
        );
        assert!(results[1].refused > 0, "seed {seed}: the load does not go beyond the capacity");
        assert!(small >= 0.95, "seed {seed}: {small} of the application within its share");
        // The flooding application gets the capacity that the small one does not use.
        let work: u64 = results.iter().map(|result| result.work_in_time).sum();
        let busy = work as f64 / (6.0 * f64::from(SLOTS) * 1_000_000.0);
        assert!(busy >= 0.95, "seed {seed}: slots were busy for answers in time for {busy}");
    }
}

// Guards against retries that multiply the load while every target is overloaded.
#[test]
fn retries_at_a_peak_stay_within_the_budget() {
    for seed in 1..4 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut budget = RetryBudget::default();
        let (mut first, mut attempts) = (0_u64, 0_u64);
        for second in 0..20 {
            // At the peak, most requests are refused by every target.
            let refused = if second < 5 { 0.01 } else { 0.7 };
            for _ in 0..if second < 5 { 600 } else { 1_800 } {
                first += 1;
                budget.record_attempt();
                for _ in 0..3 {
                    attempts += 1;
                    if !random.random_bool(refused) || !budget.try_retry() {
                        break;
                    }
                }
            }
        }
        let factor = attempts as f64 / first as f64;
        assert!(attempts <= first + first / 10 + 10, "seed {seed}: {factor} attempts per request");
        println!("retries, seed {seed}: {factor:.3} attempts per request");
    }
}
