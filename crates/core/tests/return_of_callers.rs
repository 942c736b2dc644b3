//! What callers get after a loss of all power: queues of entries that share targets, the times at which refused callers
//! come again, and connections that targets refuse. All on virtual time.

use {
    banyansill_core::{
        gateway::{ConnectAdmission, ReturnPlan},
        queue::{QueueRefusal, QueueSettings, SlotQueue, SlotRequest, SlotTicket},
        time::Micros,
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

const fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn request(deadline: Micros) -> SlotRequest {
    SlotRequest {
        application: "shop".into(),
        kind: "order".into(),
        priority: 1,
        deadline,
        fingerprint: 0,
        hint: None,
        limit: None,
        continues_transaction: false,
    }
}

/// Load of the seconds after the return, as a multiple of the usual one.
const OVERLOAD: f64 = 1.8;

/// Statement timeout of the callers.
const TIMEOUT: Micros = ms(785);

/// Attempts of a caller.
const TRIES: u32 = 3;

/// Time after which a caller gives up.
const PATIENCE: Micros = ms(6_000);

/// What the callers of a run got.
#[derive(Debug, Default)]
struct CallerReport {
    offered: u32,
    served: u32,
    /// Refusals while a slot was free.
    false_refusals: u32,
    /// Longest time until a caller was told to come again.
    longest_told: Micros,
}

/// Callers that wait: the queue, their ticket, their number, tries left, and the time at which they give up.
type WaitingCallers = Vec<(usize, SlotTicket, u32, u32, u64)>;

/// Starts what may run now; `running` has the time of the start, the queue and the ticket.
fn start_waiting(
    queue: &mut SlotQueue,
    index: usize,
    now: Micros,
    running: &mut Vec<(u64, usize, SlotTicket)>,
    waiting: &mut WaitingCallers,
) {
    while let Some(start) = queue.start_next(now, true) {
        running.push((now.0, index, start.ticket));
        waiting.retain(|(at, ticket, ..)| *at != index || *ticket != start.ticket);
    }
}

/// Plays a backlog of one second, then 4 s of overload, then the usual load, on three entries that
/// relay to a target, with four slots each and a response time of `latency`. Callers that the first one refuses try the
/// next ones.
fn play_return(settings: &QueueSettings, latency: Micros, planned: bool) -> CallerReport {
    let mut queues: Vec<SlotQueue> = Vec::new();
    queues.resize_with(3, || SlotQueue::new(settings.clone()));
    let usual = 0.7 * 12.0 * 1_000_000.0 / latency.0 as f64;
    let mut plan = ReturnPlan::default();
    let mut report = CallerReport::default();
    // Time, number of the caller, tries left, time at which it gives up.
    let mut arrivals = BinaryHeap::new();
    let (mut at, mut number) = (0.0, 0_u32);
    while at < 5_000_000.0 {
        // The callers of the outage come within a tenth of a second.
        let factor = match at as u64 {
            0..100_000 => 10.0,
            100_000..4_100_000 => OVERLOAD,
            _ => 1.0,
        };
        at += 1_000_000.0 / (usual * factor);
        number += 1;
        arrivals.push(Reverse((at as u64, number, TRIES, at as u64 + PATIENCE.0)));
    }
    report.offered = number;
    let mut waiting = WaitingCallers::new();
    let mut running: Vec<(u64, usize, SlotTicket)> = Vec::new();
    for now in (0..16_000_000).step_by(1_000) {
        running.retain(|(end, index, ticket)| {
            let ended = *end + latency.0 <= now;
            if ended {
                queues[*index].finish(*ticket, Some(latency));
                report.served += 1;
                plan.record_served(Micros(now));
            }
            !ended
        });
        for (index, queue) in queues.iter_mut().enumerate() {
            start_waiting(queue, index, Micros(now), &mut running, &mut waiting);
        }
        let mut refused = Vec::new();
        for (index, queue) in queues.iter_mut().enumerate() {
            for missed in queue.take_missed() {
                let place = waiting.iter().position(|(at, it, ..)| *at == index && *it == missed);
                let (_, _, number, tries, patience) = waiting.remove(place.expect("it waited"));
                refused.push((number, tries, patience, ms(1_000)));
            }
        }
        while arrivals.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, number, tries, patience))) = arrivals.pop() else { break };
            let mut told = None;
            for (index, queue) in queues.iter_mut().enumerate() {
                match queue.enqueue(request(Micros(now) + TIMEOUT), Micros(now)) {
                    Ok(ticket) => {
                        waiting.push((index, ticket, number, tries, patience));
                        start_waiting(queue, index, Micros(now), &mut running, &mut waiting);
                        told = None;
                        break;
                    }
                    Err(QueueRefusal::WouldMissDeadline { retry_after }) => {
                        let full = queue.running() >= settings.slots as usize;
                        report.false_refusals += u32::from(!full);
                        told = Some(retry_after);
                    }
                    Err(QueueRefusal::DeadlinePassed) => panic!("the deadline is ahead"),
                }
            }
            refused.extend(told.map(|told| (number, tries, patience, told)));
        }
        for (number, tries, patience, told) in refused {
            let told = if planned { plan.assign(1, told, Micros(now)) } else { told };
            report.longest_told = report.longest_told.max(told);
            let again = now + told.0;
            if tries > 1 && again < patience {
                arrivals.push(Reverse((again, number, tries - 1, patience)));
            }
        }
    }
    report
}

// Guards against slots that stay empty while requests wait or are refused, because a response time that contains the
// way to the target passes for long work.
#[test]
fn statements_on_remote_targets_use_every_slot() {
    for latency in [ms(15), ms(60), ms(100)] {
        let report = play_return(&QueueSettings::shared(4), latency, true);
        assert_eq!(report.false_refusals, 0, "{latency:?}: {report:?}");
    }
    let reserved = play_return(&QueueSettings::new(4), ms(60), true);
    assert!(reserved.false_refusals > 0, "the reserve leaves no slot empty: {reserved:?}");
}

// Guards against callers that are told to come again after their patience, because each refusal on the way to another
// target books the time of a caller.
#[test]
fn refused_callers_come_again_in_time() {
    for latency in [ms(15), ms(60), ms(100)] {
        let report = play_return(&QueueSettings::shared(4), latency, true);
        assert!(report.longest_told <= ms(2_000), "{latency:?}: {report:?}");
        let booked = QueueSettings { plan_returns: true, ..QueueSettings::shared(4) };
        let naive = play_return(&booked, latency, false);
        println!("{latency:?}: {report:?}, booked by each queue: {naive:?}");
        assert!(naive.longest_told > ms(2_000), "{latency:?}: {naive:?}");
        assert!(report.served >= naive.served, "{latency:?}: {report:?} {naive:?}");
    }
}

/// What a target did in the seconds after a loss of power.
#[derive(Debug, Default)]
struct ConnectReport {
    /// Time that its slots spent on connections that it refused.
    refused_time: Micros,
    statements: u32,
}

/// Plays 3.5 s of five entries that return before a target of two slots and 20 connections, of which 14 are those of
/// lost hosts for 2 s; each entry may open four and has four statements of 13 ms waiting at any time.
fn play_connections(paced: bool) -> ConnectReport {
    const ENTRIES: usize = 5;
    const HANDSHAKE: u64 = 12;
    let mut report = ConnectReport::default();
    let mut admissions = [ConnectAdmission::default(); ENTRIES];
    let (mut opening, mut open) = ([0_u32; ENTRIES], [0_u32; ENTRIES]);
    // Statements that an entry has sent and the target has not answered.
    let mut sent = [0_u32; ENTRIES];
    // Work that waits for a slot: the entry, and whether it opens a connection.
    let mut queue = VecDeque::new();
    let mut slots: [Option<(u64, usize, bool)>; 2] = [None; 2];
    for millis in 0..3_500 {
        let now = ms(millis);
        for slot in &mut slots {
            let Some((end, entry, connects)) = *slot else { continue };
            if end > millis {
                continue;
            }
            *slot = None;
            if !connects {
                sent[entry] -= 1;
                report.statements += 1;
                continue;
            }
            opening[entry] -= 1;
            let counted = if millis < 2_000 { 14 } else { 0 } + open.iter().sum::<u32>();
            if counted < 20 {
                open[entry] += 1;
                admissions[entry].record_accepted();
            } else {
                report.refused_time += ms(HANDSHAKE);
                admissions[entry].record_refused(now);
            }
        }
        for entry in 0..ENTRIES {
            while sent[entry] < open[entry] {
                sent[entry] += 1;
                queue.push_back((entry, false));
            }
            let admission = &admissions[entry];
            let limit = if !paced {
                4
            } else if admission.is_refused(now) {
                0
            } else {
                admission.max_opening()
            };
            while open[entry] + opening[entry] < 4 && opening[entry] < limit {
                opening[entry] += 1;
                queue.push_back((entry, true));
            }
        }
        for slot in &mut slots {
            if slot.is_none()
                && let Some((entry, connects)) = queue.pop_front()
            {
                let work = if connects { HANDSHAKE } else { 13 };
                *slot = Some((millis + work, entry, connects));
            }
        }
    }
    report
}

// Guards against entries that spend the slots of a target on connections that it refuses while it counts those of lost
// hosts.
#[test]
fn refused_connections_leave_the_slots_to_statements() {
    let (paced, naive) = (play_connections(true), play_connections(false));
    println!("paced {paced:?}, as many as wait {naive:?}");
    // A tenth of what two slots have in 2 s.
    assert!(paced.refused_time <= ms(400), "{paced:?}");
    assert!(naive.refused_time > ms(400), "{naive:?}");
    assert!(paced.statements > naive.statements, "{paced:?} {naive:?}");
}
