//! Measures the cost of the decisions on limits of teams.
//!
//! `cargo run --release -p banyansill-core --example team_limit_cost`

use {
    banyansill_core::{
        collections::FastMap,
        directory::{TeamLimit, TeamRule},
        names::SharedName,
        team_limit::{FULL_RATE, LimitLedger, TeamLimiter, TeamPace, UsageCollector, UsageReport},
        time::Micros,
    },
    std::{collections::BTreeMap, sync::Arc, time::Instant},
};

const REPLICAS: usize = 5;
const ROUNDS: u64 = 20;
const ADMISSIONS: usize = 1_000_000;

/// Part of the teams that are near their limit, as one in this number.
const PACED_EACH: usize = 10;

fn measure<W>(label: &str, count: usize, mut work: W)
where
    W: FnMut(),
{
    let start = Instant::now();
    work();
    println!("  {label}: {:.0} ns each", start.elapsed().as_nanos() as f64 / count as f64);
}

fn run(teams: usize, entries: usize) {
    println!("{teams} teams, {entries} entries");
    let mut rules = BTreeMap::new();
    for team in 0..teams {
        let team = SharedName::from(format!("team-{team}"));
        let limit = Some(TeamLimit { rate: 176_000, burst: 176 });
        rules.insert(team.clone(), TeamRule { team, keys: Vec::new(), limit });
    }
    let shared: FastMap<_, _> =
        rules.iter().map(|(team, rule)| (team.clone(), Arc::new(rule.clone()))).collect();
    let names: Vec<_> = rules.keys().cloned().collect();
    let paces: Vec<_> = names
        .iter()
        .step_by(PACED_EACH)
        .map(|team| TeamPace { team: team.clone(), rate: Some(FULL_RATE / 2) })
        .collect();

    let mut limiter = TeamLimiter::new();
    limiter.set_teams(&shared, entries, Micros::ZERO);
    limiter.record_confirmation(Micros::ZERO, &paces, Micros::ZERO);
    measure("admit", ADMISSIONS, || {
        for index in 0..ADMISSIONS {
            let _ = limiter.admit(&names[index % teams], Micros(index as u64 / 10));
        }
    });
    let usage = limiter.take_report(Micros::ZERO);
    println!("  report: {} teams", usage.len());
    measure("confirmation with paces", ROUNDS as usize, || {
        for round in 0..ROUNDS {
            limiter.record_confirmation(Micros(round), &paces, Micros(round));
        }
    });

    // An entry reports teams that it served since the last report: a tenth.
    let entry_names: Vec<_> =
        (0..entries / REPLICAS).map(|entry| SharedName::from(format!("entry-{entry}"))).collect();
    let reported: Vec<_> = usage.iter().step_by(10).cloned().collect();
    let mut collector = UsageCollector::new();
    measure("record of a report", entry_names.len() * ROUNDS as usize, || {
        for round in 0..ROUNDS {
            for entry in &entry_names {
                collector.record(entry, &reported, Micros::from_millis(round * 200));
            }
        }
    });
    collector.set_paces(&paces, Micros::from_millis(ROUNDS * 200));
    measure("paces for an entry", entry_names.len() * ROUNDS as usize, || {
        for round in 0..ROUNDS {
            for entry in &entry_names {
                let _ = collector.paces_for(entry, Micros::from_millis((ROUNDS + round) * 20));
            }
        }
    });
    measure("take, all silent", ROUNDS as usize, || {
        for round in 0..ROUNDS {
            collector.set_paces(&paces, Micros::from_millis((ROUNDS + round) * 200 + 1_000));
            let _ = collector.take();
        }
    });

    let mut ledger = LimitLedger::new();
    ledger.set_teams(&rules, Micros::ZERO);
    let replica = SharedName::from("replica");
    let report = UsageReport { replica, usage, ..UsageReport::default() };
    measure("leader's record of a replica", ROUNDS as usize, || {
        for round in 0..ROUNDS {
            let _ = ledger.record(&report, Micros::from_millis(round * 30));
        }
    });
}

fn main() {
    run(86, 139);
    run(860, 2_700);
}
