//! Compares the orderings of the slot queue, and pooled with split queues, on virtual time.
//!
//! `cargo run --release -p banyansill-core --example queue_policies [SEED]`

mod simulation;

use {
    banyansill_core::{
        queue::{QueueOrder, QueueSettings},
        time::Micros,
    },
    simulation::{Arrival, WorkKind, arrivals, simulate},
};

/// Virtual time of one run.
const RUN_DURATION: Micros = Micros::from_secs(120);

const fn check(rate: f64) -> WorkKind {
    WorkKind {
        name: "check",
        application: "depot",
        rate,
        mean: Micros::from_millis(4),
        deadline: Micros::from_millis(250),
        priority: 1,
    }
}

const fn report(rate: f64) -> WorkKind {
    WorkKind {
        name: "report",
        application: "finance",
        rate,
        mean: Micros::from_millis(1_500),
        deadline: Micros::from_secs(30),
        priority: 1,
    }
}

const fn settings(
    slots: u32,
    reserved: u32,
    headroom: Option<u32>,
    order: QueueOrder,
) -> QueueSettings {
    QueueSettings { reserved, headroom, order, ..QueueSettings::new(slots) }
}

fn print_row(
    name: &str,
    kinds: &[WorkKind],
    all: &[Arrival],
    settings: &QueueSettings,
    queues: usize,
) {
    let capacity = (u64::from(settings.slots) * RUN_DURATION.0) as f64;
    let rotate = (queues > settings.slots as usize).then_some(Micros::from_millis(20));
    let mut results = simulate(kinds, all, settings, queues, rotate);
    for (kind, result) in kinds.iter().zip(&mut results) {
        let (p50, p99, max) = (result.quantile(0.5), result.quantile(0.99), result.quantile(1.0));
        println!(
            "{name:<34} {:<7} {:>8} {:>8.1} {:>9.1} {:>10.1} {:>8.2}% {:>8} {:>8} {:>7.2}",
            kind.name,
            result.offered,
            p50,
            p99,
            max,
            result.share_in_time() * 100.0,
            result.refused,
            result.expired,
            result.work_in_time as f64 / capacity * f64::from(settings.slots),
        );
    }
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(7);
    println!("seed {seed}, {} s of virtual time", RUN_DURATION.0 / 1_000_000);
    println!(
        "{:<34} {:<7} {:>8} {:>8} {:>9} {:>10} {:>9} {:>8} {:>8} {:>7}",
        "",
        "kind",
        "offered",
        "p50 ms",
        "p99 ms",
        "max ms",
        "in time",
        "refused",
        "expired",
        "slots"
    );
    for (slots, short, long) in [(3, 300.0, 0.4), (5, 500.0, 0.8)] {
        let alone = [check(short)];
        let all = arrivals(&alone, RUN_DURATION, seed);
        let label = format!("{slots} slots, no reports");
        print_row(&label, &alone, &all, &QueueSettings::new(slots), 1);
        let kinds = [check(short), report(long)];
        let all = arrivals(&kinds, RUN_DURATION, seed);
        for (name, reserved, headroom, order) in [
            ("first come", 0, None, QueueOrder::Arrival),
            ("short first", 0, None, QueueOrder::ShortFirst),
            ("1 reserved, first come", 1, None, QueueOrder::Arrival),
            ("1 reserved", 1, None, QueueOrder::ShortFirst),
            ("2 reserved", 2, None, QueueOrder::ShortFirst),
            ("by demand + 0.25", 1, Some(25), QueueOrder::ShortFirst),
            ("by demand + 0.5", 1, Some(50), QueueOrder::ShortFirst),
            ("by demand + 0.75", 1, Some(75), QueueOrder::ShortFirst),
        ] {
            let label = format!("{slots} slots, {name}");
            print_row(&label, &kinds, &all, &settings(slots, reserved, headroom, order), 1);
        }
        let peak = [check(short * 3.0), report(long)];
        let all = arrivals(&peak, RUN_DURATION, seed);
        for (name, reserved, headroom, order) in [
            ("first come", 0, None, QueueOrder::Arrival),
            ("1 reserved", 1, None, QueueOrder::ShortFirst),
            ("by demand + 0.5", 1, Some(50), QueueOrder::ShortFirst),
        ] {
            let label = format!("{slots} slots, peak x3, {name}");
            print_row(&label, &peak, &all, &settings(slots, reserved, headroom, order), 1);
        }
        for admit_percent in [80, 90, 100] {
            let label = format!("{slots} slots, peak x3, admit {admit_percent}%");
            let settings = QueueSettings { admit_percent, ..QueueSettings::new(slots) };
            print_row(&label, &peak, &all, &settings, 1);
        }
    }
    for (slots, load) in [(5, 0.5), (5, 0.8), (18, 0.5), (18, 0.8)] {
        let kinds = [check(f64::from(slots) * load * 250.0)];
        let all = arrivals(&kinds, RUN_DURATION, seed);
        let settings = QueueSettings::new(slots);
        print_row(&format!("{slots} slots at {load}, pooled"), &kinds, &all, &settings, 1);
        print_row(&format!("{slots} slots at {load}, 18 queues"), &kinds, &all, &settings, 18);
    }
}
