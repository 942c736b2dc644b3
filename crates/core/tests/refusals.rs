//! Refusals of what cannot be served in time, and the times after which refused requests may come again.

use {
    banyansill_core::{
        gateway::{LeaderOutage, OutageStep},
        queue::{QueueRefusal, QueueSettings, SlotQueue, SlotRequest, SlotTicket},
        time::Micros,
    },
    std::{cmp::Reverse, collections::BinaryHeap},
};

const fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// Time until the deadline of a statement.
const TIMEOUT: Micros = ms(785);

fn request(priority: u32, deadline: Micros) -> SlotRequest {
    SlotRequest {
        application: "shop".into(),
        kind: "order".into(),
        priority,
        deadline,
        fingerprint: 0,
        hint: Some(ms(8)),
        limit: None,
        continues_transaction: false,
    }
}

// Guards against requests that are held until their deadline in a queue whose connections are all held by idle
// transactions: their callers then have no time left to try another entry.
#[test]
fn requests_in_a_stalled_queue_are_refused_halfway() {
    let mut queue = SlotQueue::new(QueueSettings::new(4));
    let mut refused = Vec::new();
    let mut waiting: Vec<(SlotTicket, Micros)> = Vec::new();
    for step in 0..3_000 {
        let now = ms(step);
        if step % 10 == 0 {
            let ticket = queue.enqueue(request(1, now + TIMEOUT), now).expect("an idle queue");
            assert_eq!(queue.start_next(now, false), None, "no connection is left");
            waiting.push((ticket, now));
        }
        waiting.retain(|(ticket, arrived)| match queue.recheck(*ticket, now) {
            Ok(_) => true,
            Err(refusal) => {
                let QueueRefusal::WouldMissDeadline { retry_after } = refusal else {
                    panic!("{refusal:?}: the deadline has not passed")
                };
                assert!(retry_after >= ms(300), "{retry_after:?}: the queue is stalled for longer");
                refused.push((now, now.since(*arrived)));
                false
            }
        });
    }
    let longest = refused.iter().map(|(_, held)| *held).max().expect("refusals");
    assert!(longest <= ms(400), "held for {} ms", longest.as_millis());
    // Once the stall is longer than the time of a request, requests are refused on arrival.
    for (at, held) in refused.iter().filter(|(at, _)| *at > ms(800)) {
        assert!(*held <= ms(1), "held for {} ms at {}", held.as_millis(), at.as_millis());
    }
    // The refusal is no longer true once a connection is free.
    let now = ms(3_000);
    assert_eq!(queue.start_next(now, true), None, "nobody waits");
    let ticket = queue.enqueue(request(1, now + TIMEOUT), now).expect("an idle queue");
    assert!(queue.recheck(ticket, now).is_ok());
    assert_eq!(queue.start_next(now, true).map(|start| start.ticket), Some(ticket));
}

/// Share of the requests served in time by priority, and the refusals.
struct BurstResult {
    served: [f64; 2],
    refusals: u64,
    /// Refusals while a slot was free and nothing waited for it.
    false_refusals: u64,
    /// Longest wait of a request that was served.
    longest_wait: Micros,
}

/// Plays a burst of one second of `load` times what four slots serve, then half of it; callers try three times.
fn play_burst(load: f64, planned: bool) -> BurstResult {
    const SLOTS: u64 = 4;
    const WORK: u64 = 8_000;
    let mut queue = SlotQueue::new(QueueSettings::new(4));
    // Arrivals: time, number, priority, tries left, end of the caller's patience.
    let mut arrivals = BinaryHeap::new();
    let (mut at, mut number) = (0.0, 0_u64);
    while at < 3_000_000.0 {
        let rate = if at < 1_000_000.0 { load } else { 0.5 };
        at += WORK as f64 / SLOTS as f64 / rate;
        number += 1;
        let priority = u32::from(number % 5 != 0) * 2;
        arrivals.push(Reverse((at as u64, number, priority, 3_u32, at as u64 + 4_000_000)));
    }
    let mut offered = [0_u64; 2];
    for Reverse((_, _, priority, ..)) in &arrivals {
        offered[usize::from(*priority > 0)] += 1;
    }
    let (mut served, mut refusals, mut false_refusals) = ([0_u64; 2], 0, 0);
    let mut longest_wait = Micros::ZERO;
    let mut deadlines = std::collections::BTreeMap::new();
    let mut running: Vec<(u64, SlotTicket)> = Vec::new();
    for now in (0..9_000_000).step_by(500) {
        running.retain(|(end, ticket)| {
            if *end <= now {
                queue.finish(*ticket, Some(Micros(WORK)));
            }
            *end > now
        });
        while arrivals.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, number, priority, tries, patience))) = arrivals.pop() else {
                break;
            };
            let deadline = Micros(now) + TIMEOUT;
            match queue.enqueue(request(priority, deadline), Micros(now)) {
                Ok(ticket) => {
                    deadlines.insert(ticket, (deadline.0.min(patience), priority));
                }
                Err(QueueRefusal::WouldMissDeadline { retry_after }) => {
                    refusals += 1;
                    let free = queue.running() < 4 && queue.waiting() == 0;
                    false_refusals += u64::from(free);
                    let wait = if planned { retry_after.0 } else { 1_000_000 };
                    if tries > 1 && now + wait < patience {
                        arrivals.push(Reverse((now + wait, number, priority, tries - 1, patience)));
                    }
                }
                Err(QueueRefusal::DeadlinePassed) => {}
            }
        }
        while let Some(start) = queue.start_next(Micros(now), true) {
            let (deadline, priority) = deadlines[&start.ticket];
            let end = now + WORK;
            longest_wait = longest_wait.max(start.waited);
            served[usize::from(priority > 0)] += u64::from(end <= deadline);
            running.push((end, start.ticket));
        }
    }
    let share = |index: usize| served[index] as f64 / offered[index] as f64;
    BurstResult { served: [share(0), share(1)], refusals, false_refusals, longest_wait }
}

// Guards against refused requests that come again all at once and are refused again, and against urgent ones that
// are told to come after the others. Load: a burst of 1.5, 2.5 and 4 times what the slots serve.
#[test]
fn refused_requests_come_again_when_they_can_be_served() {
    for load in [1.5, 2.5, 4.0] {
        let naive = play_burst(load, false);
        let result = play_burst(load, true);
        println!(
            "burst {load}: urgent {:.1}%, others {:.1}%, {} refusals; told one second {:.1}%, {:.1}%, {}",
            result.served[0] * 100.0,
            result.served[1] * 100.0,
            result.refusals,
            naive.served[0] * 100.0,
            naive.served[1] * 100.0,
            naive.refusals,
        );
        assert_eq!(result.false_refusals, 0, "load {load}: refused while slots were free");
        assert!(result.longest_wait < TIMEOUT, "load {load}: {:?}", result.longest_wait);
        assert!(result.served[0] >= 0.99, "load {load}: {} of the urgent", result.served[0]);
        assert!(result.served[0] >= result.served[1], "load {load}: others before the urgent");
        assert!(result.served[1] >= naive.served[1] - 0.01, "load {load}: {}", result.served[1]);
    }
}

/// How callers without a leader are answered.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OutagePolicy {
    Decided,
    RefuseAtOnce,
    HoldToDeadline,
}

/// Returns the share of the callers that are served during an outage, and the longest time for which a request that
/// was refused was held after the outage had lasted longer than a replacement takes.
fn play_outage(length: Micros, policy: OutagePolicy) -> (f64, Micros) {
    let outage = LeaderOutage::new(Micros::ZERO);
    let (mut served, mut longest) = (0_u32, Micros::ZERO);
    const CALLERS: u64 = 200;
    for caller in 0..CALLERS {
        let arrived = Micros(caller * length.0 / CALLERS);
        let give_up = arrived + ms(4_000);
        let mut now = arrived;
        for attempt in 0..3 {
            let (start, deadline) = (now, (now + TIMEOUT).min(give_up));
            let mut told = Micros::ZERO;
            while now < length && now < deadline {
                let step = match policy {
                    OutagePolicy::Decided => outage.step(deadline, 0, caller * 7_919, now),
                    OutagePolicy::RefuseAtOnce => OutageStep::Refuse { retry_after: ms(100) },
                    OutagePolicy::HoldToDeadline => OutageStep::Wait,
                };
                match step {
                    OutageStep::Wait => now += ms(20),
                    OutageStep::Refuse { retry_after } => {
                        told = retry_after;
                        break;
                    }
                }
            }
            if now >= length && now < deadline {
                served += 1;
                break;
            }
            if start > ms(3_300) {
                longest = longest.max(now.since(start));
            }
            now += told.max(ms(100 << attempt));
        }
    }
    (f64::from(served) / CALLERS as f64, longest)
}

// Guards against callers that use up their attempts while a primary is replaced, which takes up to 2.5 s, and against
// holding requests through an outage that lasts for longer.
#[test]
fn requests_wait_for_a_replacement_and_not_for_a_lasting_outage() {
    for (length, bound) in [(ms(600), 1.0), (ms(1_000), 1.0), (ms(2_000), 1.0), (ms(5_000), 0.4)] {
        let (decided, held) = play_outage(length, OutagePolicy::Decided);
        let (refused, _) = play_outage(length, OutagePolicy::RefuseAtOnce);
        let (waited, held_naive) = play_outage(length, OutagePolicy::HoldToDeadline);
        println!(
            "outage of {} ms: {:.1}% served, held {} ms; refused at once {:.1}%, held to the deadline {:.1}%, {} ms",
            length.as_millis(),
            decided * 100.0,
            held.as_millis(),
            refused * 100.0,
            waited * 100.0,
            held_naive.as_millis(),
        );
        assert!(decided >= bound, "{} ms: {decided} served", length.as_millis());
        assert!(decided >= refused, "{} ms: fewer than refused at once", length.as_millis());
        assert!(decided + 0.01 >= waited, "{} ms: fewer than held", length.as_millis());
        assert!(held <= ms(1), "{} ms: held for {} ms", length.as_millis(), held.as_millis());
    }
}
