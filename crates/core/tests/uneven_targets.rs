//! Reads of a group while one of its targets fails, hangs, is slow or goes down and up, on virtual time.

use {
    banyansill_core::{
        gateway::{
            Distance, OutlierChange, OutlierDetector, ReadCandidate, TargetHealth, TargetUse,
            apply_target_use, order_candidates,
        },
        names::SharedName,
        time::Micros,
    },
    std::{cmp::Reverse, collections::BinaryHeap},
};

const fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// Time within which callers want an answer.
const AIM: u64 = 600_000;

/// Time after which a read without an answer is sent to a second target.
const HEDGE_DELAY: u64 = 250_000;

/// Start and end of the fault, and end of the run, in microseconds.
const FAULT: std::ops::Range<u64> = 2_000_000..8_000_000;
const RUN: u64 = 12_000_000;

const SLOTS: usize = 4;

/// Mean work of a read, in microseconds.
const WORK: u64 = 8_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Fails 48% of the reads.
    Errors,
    /// Does not answer 48% of the reads.
    Hang,
    /// Takes eight times as long.
    Slow,
    /// Answers nothing for 1.4 s, then works for 1.4 s.
    Flap,
}

/// Deterministic random numbers.
struct RandomNumbers(u64);

impl RandomNumbers {
    const fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
        (self.0 >> 33) % limit
    }
}

/// How one attempt on a simulated target ends.
enum AttemptEnd {
    Answered(u64),
    Failed(u64),
    /// Refused because the target's queue is full.
    Full(u64),
    Silent,
}

/// Three targets, the first of them the primary, and one entry that reads from them.
struct SimulatedGroup {
    fault: Fault,
    /// Time at which each slot of each target becomes free.
    slots: [Vec<u64>; 3],
    health: [TargetHealth; 3],
    in_flight: [u32; 3],
    detector: OutlierDetector,
    names: [SharedName; 3],
    random: RandomNumbers,
    /// Outcomes that the entry learns of later: time, target, latency or zero for a bad one.
    outcomes: BinaryHeap<Reverse<(u64, usize, u64)>>,
    left_out_since: [Option<u64>; 3],
    most_left_out: usize,
}

impl SimulatedGroup {
    fn new(fault: Fault) -> Self {
        Self {
            fault,
            slots: [vec![0; SLOTS], vec![0; SLOTS], vec![0; SLOTS]],
            health: [TargetHealth::default(); 3],
            in_flight: [0; 3],
            detector: OutlierDetector::default(),
            names: ["primary".into(), "near".into(), "far".into()],
            random: RandomNumbers(5),
            outcomes: BinaryHeap::new(),
            left_out_since: [None; 3],
            most_left_out: 0,
        }
    }

    fn attempt(&mut self, target: usize, at: u64) -> AttemptEnd {
        let faulty = target == 1 && FAULT.contains(&at);
        let work = 1 + self.random.below(2 * WORK);
        let hit = faulty && self.random.below(100) < 48;
        let down = faulty && ((at - FAULT.start) / 1_400_000).is_multiple_of(2);
        let trip = if target == 2 { 40_000 } else { 1_000 };
        match self.fault {
            Fault::Errors if hit => return AttemptEnd::Failed(at + trip),
            Fault::Hang if hit => return AttemptEnd::Silent,
            Fault::Flap if down => return AttemptEnd::Silent,
            _ => {}
        }
        let work = if faulty && self.fault == Fault::Slow { 8 * work } else { work };
        let slot = self.slots[target].iter_mut().min().expect("a slot");
        let start = (*slot).max(at);
        if start - at > 500_000 {
            return AttemptEnd::Full(at + trip);
        }
        *slot = start + work;
        AttemptEnd::Answered(*slot + trip)
    }

    fn learn(&mut self, now: u64) {
        while let Some(Reverse((at, target, latency))) = self.outcomes.peek().copied() {
            if at > now {
                return;
            }
            self.outcomes.pop();
            self.in_flight[target] -= 1;
            let answered = (latency > 0).then_some(Micros(latency));
            if let Some(latency) = answered {
                self.health[target].record_response(latency, false);
            } else if self.fault == Fault::Errors {
                self.health[target].record_response(ms(2), true);
            }
            match self.detector.record(&self.names[target], answered, 2, Micros(at)) {
                OutlierChange::LeftOut { .. } => self.left_out_since[target] = Some(at),
                OutlierChange::Returned => self.left_out_since[target] = None,
                OutlierChange::None => {}
            }
            let left_out = self.left_out_since.iter().flatten().count();
            self.most_left_out = self.most_left_out.max(left_out);
        }
    }

    fn order(&mut self, now: u64, detects: bool) -> Vec<usize> {
        let mut candidates = Vec::new();
        for index in 0..3 {
            candidates.push(ReadCandidate {
                index,
                distance: if index == 2 { Distance::Remote } else { Distance::Zone },
                primary: index == 0,
                latency: self.health[index].latency(),
                in_flight: self.in_flight[index],
                capacity: u32::try_from(SLOTS).expect("few"),
                error_rate: self.health[index].error_rate(),
                reachable: true,
                position: None,
            });
        }
        order_candidates(&mut candidates, None);
        if detects {
            let (detector, names) = (&self.detector, &self.names);
            let tried = apply_target_use(&mut candidates, |index| {
                detector.target_use(&names[index], Micros(now))
            });
            if let Some(tried) = tried {
                self.detector.record_probe_sent(&self.names[tried], Micros(now));
            }
        }
        candidates.iter().map(|candidate| candidate.index).collect()
    }

    /// Returns when a read that arrived at `arrived` is answered.
    fn read(&mut self, arrived: u64, detects: bool) -> Option<u64> {
        self.learn(arrived);
        let mut at = arrived;
        for target in self.order(arrived, detects).into_iter().take(2) {
            let limit = self.detector.slow_latency(&self.names[target]).0.min(785_000);
            self.in_flight[target] += 1;
            match self.attempt(target, at) {
                AttemptEnd::Answered(end) => {
                    let (learnt, latency) =
                        if end - at > limit { (at + limit, 0) } else { (end, end - at) };
                    self.outcomes.push(Reverse((learnt, target, latency)));
                    return Some(end);
                }
                AttemptEnd::Failed(end) => {
                    self.outcomes.push(Reverse((end, target, 0)));
                    at = end;
                }
                AttemptEnd::Full(end) => {
                    self.in_flight[target] -= 1;
                    at = end;
                }
                AttemptEnd::Silent => {
                    self.outcomes.push(Reverse((at + limit, target, 0)));
                    at += HEDGE_DELAY;
                }
            }
        }
        None
    }
}

struct ReadResult {
    /// Share of the reads during the fault that were answered as soon as callers want.
    in_aim: f64,
    /// Mean latency of the answers during the fault, in milliseconds.
    latency: u64,
    group: SimulatedGroup,
}

/// Plays reads at `load` times what the three targets can serve.
fn play(fault: Fault, load: f64, detects: bool) -> ReadResult {
    let mut group = SimulatedGroup::new(fault);
    let interval = (WORK as f64 / (3.0 * SLOTS as f64) / load) as u64;
    let mut random = RandomNumbers(9);
    let (mut now, mut reads, mut in_aim, mut answers, mut total) = (0, 0_u32, 0_u32, 0, 0);
    while now < RUN {
        now += random.below(2 * interval) + 1;
        let end = group.read(now, detects);
        if !FAULT.contains(&now) {
            continue;
        }
        reads += 1;
        let Some(end) = end else { continue };
        in_aim += u32::from(end - now <= AIM);
        answers += 1;
        total += end - now;
    }
    let in_aim = f64::from(in_aim) / f64::from(reads);
    ReadResult { in_aim, latency: total / answers / 1_000, group }
}

// Guards against reads that keep going to a target whose health is good while it fails or delays part of them: each
// costs its caller a second attempt, and one that hangs costs 250 ms. Load: a third of what the group can serve.
#[test]
fn targets_that_fail_part_of_their_reads_are_left_out() {
    for fault in [Fault::Errors, Fault::Hang, Fault::Slow, Fault::Flap] {
        let naive = play(fault, 0.33, false);
        let result = play(fault, 0.33, true);
        println!(
            "{fault:?}: {:.2}% within the aim, mean {} ms; by cost alone {:.2}%, {} ms",
            result.in_aim * 100.0,
            result.latency,
            naive.in_aim * 100.0,
            naive.latency,
        );
        assert!(result.in_aim >= 0.99, "{fault:?}: {} within the aim", result.in_aim);
        assert!(result.in_aim + 0.005 >= naive.in_aim, "{fault:?}: {}", naive.in_aim);
        assert!(result.group.most_left_out <= 1, "{fault:?}: more than half were left out");
    }
}

// Guards against leaving out targets that are only busy, which would move their load to others that are as busy.
// Load: 1.5, 2.5 and 4 times what the group can serve.
#[test]
fn overloaded_targets_share_the_load() {
    for load in [1.5, 2.5, 4.0] {
        let naive = play(Fault::None, load, false);
        let result = play(Fault::None, load, true);
        println!(
            "load {load}: {:.2}% within the aim, mean {} ms; by cost alone {:.2}%, {} ms",
            result.in_aim * 100.0,
            result.latency,
            naive.in_aim * 100.0,
            naive.latency,
        );
        assert!(result.in_aim + 0.01 >= naive.in_aim, "load {load}: {}", result.in_aim);
        assert!(result.group.most_left_out <= 1, "load {load}: more than half were left out");
    }
}

// Guards against a target that is never used again after its fault has ended, and against many reads that try it
// meanwhile.
#[test]
fn targets_return_after_their_fault() {
    let [good, bad]: [SharedName; 2] = ["good".into(), "bad".into()];
    let mut detector = OutlierDetector::default();
    let mut tries = 0;
    let mut returned_at = None;
    for step in 0..1_200_u64 {
        let now = ms(step * 10);
        detector.record(&good, Some(ms(10)), 2, now);
        match detector.target_use(&bad, now) {
            TargetUse::LastResort => continue,
            TargetUse::Probe => detector.record_probe_sent(&bad, now),
            TargetUse::Normal => {}
        }
        let faulty = now < ms(6_000);
        tries += u32::from(faulty);
        let latency = (!faulty).then_some(ms(10));
        if detector.record(&bad, latency, 2, now) == OutlierChange::Returned {
            returned_at = Some(now);
        }
    }
    assert!(tries <= 6, "{tries} reads went to the faulty target in 6 s");
    let returned_at = returned_at.expect("the target returned");
    assert!(returned_at <= ms(10_100), "returned at {} ms", returned_at.as_millis());
}

// Guards against a group whose only replica is left out: its reads would take the slots of the primary.
#[test]
fn the_last_replica_is_never_left_out() {
    let [primary, replica]: [SharedName; 2] = ["primary".into(), "replica".into()];
    let mut detector = OutlierDetector::default();
    for step in 0..100 {
        detector.record(&primary, Some(ms(5)), 1, ms(step));
        detector.record(&replica, None, 1, ms(step));
        assert_eq!(detector.target_use(&replica, ms(step)), TargetUse::Normal);
    }
}
