//! Discrete-event simulation of slot queues on virtual time.

use {
    banyansill_core::{
        names::SharedName,
        queue::{QueueSettings, SlotQueue, SlotRequest, SlotTicket},
        time::Micros,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// Kind of requests in a workload.
#[derive(Clone, Copy, Debug)]
pub struct WorkKind {
    pub name: &'static str,
    pub application: &'static str,
    /// Arrivals per second.
    pub rate: f64,
    /// Mean execution time.
    pub mean: Micros,
    pub deadline: Micros,
    pub priority: u32,
}

/// Generated request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Micros,
    pub kind: usize,
    pub work: Micros,
    /// Random number that selects the queue in runs with split queues.
    pub entry: usize,
}

/// Outcome of the requests of one kind.
#[derive(Clone, Debug, Default)]
pub struct KindResult {
    pub offered: u64,
    pub refused: u64,
    pub expired: u64,
    pub in_time: u64,
    pub late: u64,
    pub work_in_time: u64,
    /// Response times of the executed requests, in microseconds.
    pub responses: Vec<u64>,
}

impl KindResult {
    /// Returns a quantile of the response times in milliseconds.
    pub fn quantile(&mut self, fraction: f64) -> f64 {
        if self.responses.is_empty() {
            return f64::NAN;
        }
        self.responses.sort_unstable();
        let last = self.responses.len() - 1;
        let index = ((last as f64) * fraction).round() as usize;
        self.responses[index] as f64 / 1_000.0
    }

    pub fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }
}

/// Generates Poisson arrivals with exponentially distributed execution times.
pub fn arrivals(kinds: &[WorkKind], span: Micros, seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at += exponential(&mut random, 1_000_000.0 / kind.rate);
            if at >= span.0 as f64 {
                break;
            }
            let work = exponential(&mut random, kind.mean.0 as f64).max(100.0);
            let entry = random.random_range(0..18);
            all.push(Arrival {
                at: Micros(at as u64),
                kind: index,
                work: Micros(work as u64),
                entry,
            });
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn exponential(random: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish {
        queue: usize,
        ticket: u64,
        request: usize,
    },
    Arrive {
        request: usize,
    },
    /// Moves every slot to another queue.
    Rotate,
}

/// Runs the arrivals through one queue, or through `queues` queues that split the slots.
///
/// With more queues than slots, `rotate` is the time after which a slot moves to another queue.
pub fn simulate(
    kinds: &[WorkKind],
    arrivals: &[Arrival],
    settings: &QueueSettings,
    queues: usize,
    rotate: Option<Micros>,
) -> Vec<KindResult> {
    let mut results = vec![KindResult::default(); kinds.len()];
    let mut split = Vec::new();
    for index in 0..queues {
        let mut settings = settings.clone();
        if queues > 1 {
            let slots = settings.slots as usize;
            settings.slots = (slots / queues + usize::from(index < slots % queues)) as u32;
            settings.reserved = 0;
        }
        split.push(SlotQueue::new(settings));
    }
    let mut owner: Vec<usize> = (0..settings.slots as usize).collect();
    let mut tickets: Vec<Vec<(SlotTicket, usize)>> = vec![Vec::new(); queues];
    let mut heap = BinaryHeap::new();
    for (index, arrival) in arrivals.iter().enumerate() {
        heap.push(Reverse((arrival.at, Event::Arrive { request: index })));
    }
    if let Some(rotate) = rotate {
        heap.push(Reverse((rotate, Event::Rotate)));
    }
    let end = arrivals.last().map_or(Micros::ZERO, |arrival| arrival.at);
    while let Some(Reverse((now, event))) = heap.pop() {
        let affected = match event {
            Event::Arrive { request } => {
                let arrival = arrivals[request];
                let kind = kinds[arrival.kind];
                let queue = arrival.entry % queues;
                results[arrival.kind].offered += 1;
                let slot_request = SlotRequest {
                    application: SharedName::from(kind.application),
                    kind: SharedName::from(kind.name),
                    priority: kind.priority,
                    deadline: arrival.at + kind.deadline,
                    fingerprint: arrival.kind as u64,
                    hint: None,
                    limit: None,
                    continues_transaction: false,
                };
                match split[queue].enqueue(slot_request, now) {
                    Ok(ticket) => tickets[queue].push((ticket, request)),
                    Err(_) => results[arrival.kind].refused += 1,
                }
                queue..queue + 1
            }
            Event::Finish { queue, ticket, request } => {
                let arrival = arrivals[request];
                split[queue].finish(SlotTicket(ticket), Some(arrival.work));
                let response = now.since(arrival.at);
                let result = &mut results[arrival.kind];
                result.responses.push(response.0);
                if response <= kinds[arrival.kind].deadline {
                    result.in_time += 1;
                    result.work_in_time += arrival.work.0;
                } else {
                    result.late += 1;
                }
                queue..queue + 1
            }
            Event::Rotate => {
                if now < end {
                    heap.push(Reverse((now + rotate.unwrap_or(Micros(1)), Event::Rotate)));
                }
                let mut counts = vec![0; queues];
                for queue in &mut owner {
                    *queue = (*queue + settings.slots as usize) % queues;
                    counts[*queue] += 1;
                }
                for (queue, count) in split.iter_mut().zip(&counts) {
                    queue.set_slots(*count);
                }
                0..queues
            }
        };
        for queue in affected {
            for ticket in split[queue].expire(now) {
                let request = take(&mut tickets[queue], ticket);
                results[arrivals[request].kind].expired += 1;
            }
            loop {
                let next = split[queue].start_next(now, true);
                for ticket in split[queue].take_missed() {
                    let request = take(&mut tickets[queue], ticket);
                    results[arrivals[request].kind].expired += 1;
                }
                let Some(start) = next else { break };
                let request = take(&mut tickets[queue], start.ticket);
                let finish = Event::Finish { queue, ticket: start.ticket.0, request };
                heap.push(Reverse((now + arrivals[request].work, finish)));
            }
        }
    }
    results
}

fn take(tickets: &mut Vec<(SlotTicket, usize)>, ticket: SlotTicket) -> usize {
    let index = tickets.iter().position(|(known, _)| *known == ticket);
    tickets.swap_remove(index.expect("a known ticket")).1
}
