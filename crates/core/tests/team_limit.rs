//! Tests of the limits of teams.

#[path = "team_limit/model.rs"]
mod model;

use {
    banyansill_core::names::SharedName,
    model::{Conditions, Outcome, Team, play},
};

fn usual(_: f64, rate: f64) -> f64 {
    rate / 1.6
}
fn wave(t: f64, rate: f64) -> f64 {
    rate / 1.6 * (1.0 + 0.55 * (0.5 - 0.5 * (t * 1.2).cos()))
}
fn near(_: f64, rate: f64) -> f64 {
    rate * 0.9
}
fn hot(t: f64, rate: f64) -> f64 {
    rate / 1.6 * if (8.0..14.0).contains(&t) { 7.5 } else { 1.0 }
}
fn warm(t: f64, rate: f64) -> f64 {
    rate / 1.6 * if (8.0..14.0).contains(&t) { 4.0 } else { 1.0 }
}

fn teams(first: fn(f64, f64) -> f64, rest: fn(f64, f64) -> f64) -> Vec<Team> {
    let mut v = Vec::new();
    for (i, (rate, burst)) in [
        (176.0, 176),
        (10.0, 10),
        (3.0, 3),
        (60.0, 60),
        (176.0, 176),
        (10.0, 10),
        (6.0, 6),
        (3.0, 3),
    ]
    .into_iter()
    .enumerate()
    {
        v.push(Team {
            name: SharedName::from(format!("team-{i}")),
            rate,
            burst,
            demand: if i < 4 { first } else { rest },
        });
    }
    v
}

fn show(label: &str, c: &Conditions) {
    let outcomes = play(c);
    for (o, t) in outcomes.iter().zip(&c.teams) {
        let bound = (t.rate * 5.0 + t.burst as f64) * 1.1 + 20.0;
        let w = o.worst_window(0..100_000);
        println!(
            "{label:12} n={:4} R={:5} served {:.3} refused {:5}/{:5} window {:4}/{:6.1} {}",
            c.entries,
            t.rate,
            o.served(1000..100_000),
            o.refused(),
            o.operations.len(),
            w,
            bound,
            if w as f64 > bound { "ABOVE" } else { "" }
        );
    }
}

#[test]
fn explore() {
    for n in [3, 30, 300] {
        show("near", &Conditions::new(n, teams(near, usual)));
        show("wave", &Conditions::new(n, teams(wave, usual)));
        show("hot7.5", &Conditions::new(n, teams(hot, usual)));
        show("hot4", &Conditions::new(n, teams(warm, usual)));
        let mut c = Conditions::new(n, teams(hot, wave));
        c.cut = (0.2, 6_000..10_000);
        show("hot+cut", &c);
        let mut c = Conditions::new(n, teams(hot, wave));
        c.away = 7_500..11_500;
        show("hot+away", &c);
        let mut c = Conditions::new(n, teams(hot, wave));
        c.away = 9_500..13_500;
        show("hot+away2", &c);
        let mut c = Conditions::new(n, teams(hot, wave));
        c.leaderless = 9_500..10_800;
        show("hot+leader", &c);
        let mut c = Conditions::new(n, teams(hot, wave));
        c.weight = |e, n, ms| {
            let zone = e * 6 / n.max(6);
            let w = if zone as u64 == ms / 1000 % 6 { 8.0 } else { 1.0 };
            w * (1.0 + (e % 7) as f64)
        };
        show("hot+move", &c);
    }
}
