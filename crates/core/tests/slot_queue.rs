//! Tests of the slot queue on virtual time.

#[path = "../examples/queue_policies/simulation.rs"]
#[allow(dead_code, clippy::unwrap_used, clippy::must_use_candidate)]
mod simulation;

use {
    banyansill_core::{
        names::SharedName,
        queue::{QueueOrder, QueueRefusal, QueueSettings, SlotQueue, SlotRequest, SlotTicket},
        retry::RetryBudget,
        time::Micros,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    simulation::{KindResult, WorkKind, arrivals, simulate},
    std::collections::BTreeSet,
};

const MS: u64 = 1_000;

fn request(application: &str, estimate_ms: u64, deadline_ms: u64) -> SlotRequest {
    SlotRequest {
        application: SharedName::from(application),
        kind: SharedName::from("kind"),
        priority: 1,
        deadline: Micros::from_millis(deadline_ms),
        fingerprint: 1,
        hint: Some(Micros::from_millis(estimate_ms)),
        limit: None,
        continues_transaction: false,
    }
}

fn started(queue: &mut SlotQueue, now_ms: u64) -> Option<SlotTicket> {
    queue.start_next(Micros::from_millis(now_ms), true).map(|start| start.ticket)
}

// Guards against queueing a request whose deadline cannot be met.
#[test]
fn refuses_at_once_what_would_miss_its_deadline() {
    let mut queue = SlotQueue::new(QueueSettings::new(1));
    let now = Micros::ZERO;
    for _ in 0..10 {
        queue.enqueue(request("a", 10, 60_000), now).unwrap();
    }
    queue.start_next(now, true).unwrap();
    let refusal = queue.enqueue(request("a", 10, 50), now).unwrap_err();
    let QueueRefusal::WouldMissDeadline { retry_after } = refusal else { panic!("{refusal:?}") };
    // 100 ms of work are queued, and the deadline is in 50 ms.
    assert!((Micros(50 * MS)..Micros(150 * MS)).contains(&retry_after), "{retry_after:?}");
    assert!(queue.enqueue(request("a", 10, 200), now).is_ok());
    let late = queue.enqueue(request("a", 10, 0), now);
    assert_eq!(late, Err(QueueRefusal::DeadlinePassed));
}

// Guards against requests that wait until their deadline without ever starting. The target has
// stopped responding, 50 requests per second still arrive for its two slots, and a statement times
// out after one second.
#[test]
fn a_target_that_stopped_answering_lets_few_requests_wait() {
    let mut queue = SlotQueue::new(QueueSettings::new(2));
    let mut running: Vec<(u64, SlotTicket)> = Vec::new();
    let (mut expired, mut refused) = (0, 0);
    for now in (0..10_000).step_by(20) {
        let time = Micros::from_millis(now);
        for (start_ms, ticket) in std::mem::take(&mut running) {
            if now - start_ms < 1_000 {
                running.push((start_ms, ticket));
                continue;
            }
            queue.finish_unanswered(ticket, Micros::from_millis(now - start_ms));
        }
        expired += queue.expire(time).len();
        let fresh = SlotRequest { hint: None, ..request("a", 0, now + 1_000) };
        refused += usize::from(queue.enqueue(fresh, time).is_err());
        while let Some(ticket) = started(&mut queue, now) {
            running.push((now, ticket));
        }
        expired += queue.take_missed().len();
    }
    // If an overdue statement is expected to finish immediately, 430 of 500 requests expire.
    assert!(expired < 100 && refused > 350, "{expired} expired, {refused} refused");
}

// Guards against an estimate above the deadline that gets a statement refused forever.
#[test]
fn an_idle_target_takes_what_the_estimate_rules_out() {
    let mut queue = SlotQueue::new(QueueSettings::new(3));
    assert!(queue.enqueue(request("a", 5_000, 100), Micros::ZERO).is_ok());
    assert!(started(&mut queue, 0).is_some());
}

// Guards against long work that occupies all slots while short work waits, also if it was estimated
// as short.
#[test]
fn long_work_never_takes_the_last_slots() {
    for slots in [2, 3, 5, 8, 18] {
        let mut queue = SlotQueue::new(QueueSettings::new(slots));
        for _ in 0..slots {
            queue.enqueue(request("a", 1_000, 600_000), Micros::ZERO).unwrap();
        }
        let mut running = 0;
        while started(&mut queue, 0).is_some() {
            running += 1;
        }
        assert!(running < slots, "{slots} slots");
        assert!(running > 0);
        let short = queue.enqueue(request("b", 1, 600_000), Micros::ZERO).unwrap();
        assert_eq!(started(&mut queue, 0), Some(short));
    }
    let mut queue = SlotQueue::new(QueueSettings::new(2));
    queue.enqueue(request("a", 1, 600_000), Micros::ZERO).unwrap();
    started(&mut queue, 0).unwrap();
    queue.enqueue(request("a", 1_000, 600_000), Micros::ZERO).unwrap();
    assert_eq!(started(&mut queue, 200), None, "the running request counts as long by now");
}

// Guards against starvation of long work while short work keeps arriving.
#[test]
fn ageing_lets_long_work_start() {
    let mut queue = SlotQueue::new(QueueSettings::new(2));
    let long = queue.enqueue(request("a", 200, 600_000), Micros::ZERO).unwrap();
    let mut now = 0;
    let mut running: Vec<SlotTicket> = Vec::new();
    loop {
        // Two statements of 10 ms arrive whenever two finish, so the slots are never idle.
        for _ in 0..2 {
            queue.enqueue(request("a", 10, 600_000), Micros::from_millis(now)).unwrap();
        }
        while let Some(ticket) = started(&mut queue, now) {
            running.push(ticket);
        }
        if running.contains(&long) {
            break;
        }
        now += 10;
        assert!(now < 5_000, "the long request starved");
        for ticket in running.drain(..) {
            queue.finish(ticket, None);
        }
    }
    assert!(now > 100, "the long request did not wait for short ones");
}

// Guards against an application that starves others by sending more requests.
#[test]
fn applications_share_the_slots() {
    let mut queue = SlotQueue::new(QueueSettings::new(1));
    let mut small = BTreeSet::new();
    for _ in 0..100 {
        queue.enqueue(request("flood", 10, 600_000), Micros::ZERO).unwrap();
    }
    for _ in 0..5 {
        small.insert(queue.enqueue(request("small", 10, 600_000), Micros::ZERO).unwrap());
    }
    let mut order = Vec::new();
    while let Some(ticket) = started(&mut queue, 0) {
        order.push(ticket);
        queue.finish(ticket, None);
    }
    let last = order.iter().rposition(|ticket| small.contains(ticket)).unwrap();
    assert!(last < 15, "the last request of the small application came at place {last}");
}

// Guards against priorities that are ignored and concurrency limits that are exceeded.
#[test]
fn priorities_and_limits_hold() {
    let mut queue = SlotQueue::new(QueueSettings::new(4));
    let mut low = request("a", 10, 600_000);
    low.priority = 5;
    let low = queue.enqueue(low, Micros::ZERO).unwrap();
    let mut high = request("a", 10, 600_000);
    high.priority = 0;
    let high = queue.enqueue(high, Micros::ZERO).unwrap();
    assert_eq!(started(&mut queue, 0), Some(high));
    assert_eq!(started(&mut queue, 0), Some(low));
    let mut limited = request("a", 10, 600_000);
    limited.limit = Some(1);
    let first = queue.enqueue(limited.clone(), Micros::ZERO).unwrap();
    let second = queue.enqueue(limited, Micros::ZERO).unwrap();
    let other = queue.enqueue(request("b", 10, 600_000), Micros::ZERO).unwrap();
    let mut running = BTreeSet::new();
    while let Some(ticket) = started(&mut queue, 0) {
        running.insert(ticket);
    }
    assert_eq!(running, BTreeSet::from([first, other]));
    queue.finish(other, None);
    assert_eq!(started(&mut queue, 0), None);
    queue.finish(first, None);
    assert_eq!(started(&mut queue, 0), Some(second));
}

// Guards against a deadlock of a transaction that waits for the connection it already holds.
#[test]
fn continuations_start_without_a_free_connection() {
    let mut queue = SlotQueue::new(QueueSettings::new(1));
    queue.enqueue(request("a", 1, 600_000), Micros::ZERO).unwrap();
    let mut next = request("a", 1, 600_000);
    next.continues_transaction = true;
    let next = queue.enqueue(next, Micros(5)).unwrap();
    let start = queue.start_next(Micros(6), false).unwrap();
    assert_eq!((start.ticket, start.continues_transaction), (next, true));
    queue.finish(next, None);
    assert!(queue.start_next(Micros(7), false).is_none());
}

// Guards against tickets that are lost or started twice, and against more running requests than
// slots, with random operations.
#[test]
fn every_ticket_ends_once() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let slots = random.random_range(1..6);
        let mut queue = SlotQueue::new(QueueSettings::new(slots));
        let mut waiting = BTreeSet::new();
        let mut running = BTreeSet::new();
        let mut now = 0;
        for _ in 0..2_000 {
            now += random.random_range(0..4);
            let at = Micros::from_millis(now);
            match random.random_range(0..5) {
                0 | 1 => {
                    let work = if random.random_bool(0.1) { 500 } else { 5 };
                    let mut slot_request = request("a", work, now + random.random_range(1..400));
                    slot_request.continues_transaction = random.random_bool(0.2);
                    slot_request.limit = random.random_bool(0.3).then_some(2);
                    if let Ok(ticket) = queue.enqueue(slot_request, at) {
                        assert!(waiting.insert(ticket), "seed {seed}");
                    }
                }
                2 => {
                    if let Some(ticket) = running.pop_first() {
                        queue.finish(ticket, Some(Micros(MS)));
                    }
                }
                3 => {
                    let chosen = waiting.iter().next_back().copied();
                    if let Some(ticket) = chosen {
                        assert!(queue.cancel(ticket), "seed {seed}");
                        waiting.remove(&ticket);
                    }
                }
                _ => {
                    for ticket in queue.expire(at) {
                        assert!(waiting.remove(&ticket), "seed {seed}");
                    }
                }
            }
            while let Some(start) = queue.start_next(at, random.random_bool(0.9)) {
                assert!(waiting.remove(&start.ticket), "seed {seed}");
                assert!(running.insert(start.ticket), "seed {seed}");
            }
            for ticket in queue.take_missed() {
                assert!(waiting.remove(&ticket), "seed {seed}");
            }
            assert!(running.len() <= slots as usize, "seed {seed}");
            assert_eq!((waiting.len(), running.len()), (queue.waiting(), queue.running()));
        }
    }
}

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

fn run(
    kinds: &[WorkKind],
    settings: &QueueSettings,
    queues: usize,
    seconds: u64,
    seed: u64,
) -> Vec<KindResult> {
    simulate(kinds, &arrivals(kinds, Micros::from_secs(seconds), seed), settings, queues, None)
}

// Guards against head-of-line blocking: the p99 of short work alongside reports must be at most
// twice its p99 without reports, while reports that load their share of the slots to 60% finish in
// time.
#[test]
fn reports_do_not_block_short_work() {
    for (slots, rate, reports) in [(3, 300.0, 0.4), (5, 500.0, 0.8)] {
        for seed in 1..4 {
            let kinds = [check(rate), report(reports)];
            let settings = QueueSettings::new(slots);
            let alone = run(&kinds[..1], &settings, 1, 60, seed)[0].quantile(0.99);
            let mut mixed = run(&kinds, &settings, 1, 60, seed);
            let short = mixed[0].quantile(0.99);
            assert!(short <= 2.0 * alone, "{slots} slots, seed {seed}: {short} against {alone}");
            let share = mixed[1].share_in_time();
            assert!(share > 0.95, "{slots} slots, seed {seed}: {share} of the reports");
            let plain = QueueSettings { reserved: 0, headroom: None, ..QueueSettings::new(slots) };
            let plain = QueueSettings { order: QueueOrder::Arrival, ..plain };
            let first_come = run(&kinds, &plain, 1, 60, seed)[0].quantile(0.99);
            assert!(first_come > 2.0 * alone, "the workload has no blocking to avoid");
        }
    }
}

// Guards against slots that execute requests which finish after their deadline: at a threefold
// peak, at least 95% of the slots' capacity goes to requests that finish in time.
#[test]
fn a_peak_is_served_as_far_as_the_slots_reach() {
    for (slots, rate, reports) in [(3, 900.0, 0.4), (5, 1_500.0, 0.8)] {
        for seed in 1..4 {
            let kinds = [check(rate), report(reports)];
            let results = run(&kinds, &QueueSettings::new(slots), 1, 30, seed);
            let served = results[0].work_in_time + results[1].work_in_time;
            let possible = Micros::from_secs(30).0 * u64::from(slots);
            let share = served as f64 / possible as f64;
            assert!(share >= 0.95, "{slots} slots, seed {seed}: {share}");
        }
    }
}

// Guards the design assumption that one pooled queue per target has a lower latency than split
// queues.
#[test]
fn a_pooled_queue_beats_split_queues() {
    let kinds = [check(18.0 * 0.8 * 250.0)];
    let pooled = run(&kinds, &QueueSettings::new(18), 1, 15, 5)[0].quantile(0.99);
    let split = run(&kinds, &QueueSettings::new(18), 18, 15, 5)[0].quantile(0.99);
    assert!(split > 2.0 * pooled, "{split} against {pooled}");
}

// Guards against retries that multiply the load of an overloaded target.
#[test]
fn retries_stay_a_share_of_first_attempts() {
    let mut budget = RetryBudget::new(10, 5);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_attempt();
        while budget.try_retry() {
            retries += 1;
        }
    }
    assert_eq!(retries, 5 + 99);
}
