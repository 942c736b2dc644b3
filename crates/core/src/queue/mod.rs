//! Queue in front of the execution slots of one target.
//!
//! Requests are ordered by a fixed key: the time of arrival plus a charge for the priority and for
//! the expected execution time. A short request passes a long one that arrived shortly before it,
//! but not one that has waited for longer than its charge, so long work always ends. Applications
//! of equal priority share the slots by start-time fair queueing.

mod estimate;
mod order;

pub use estimate::EstimateBook;

use {
    crate::{collections::FastMap, names::SharedName, time::Micros},
    order::{WaitOrder, WorkClass},
};

/// Ordering of waiting requests; the choice other than `ShortFirst` exists for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// Short work first, with ageing.
    ShortFirst,
    /// First come, first served.
    Arrival,
}

/// Rules of one queue.
#[derive(Clone, Debug)]
pub struct QueueRules {
    /// Statements that may run at a time.
    pub slots: u32,
    /// Least number of slots that long work never takes.
    pub reserved: u32,
    /// Slots reserved beyond the measured demand of short work, in hundredths; `None` reserves
    /// only the least number.
    pub headroom: Option<u32>,
    /// Expected execution time above which work counts as long.
    pub long_above: Micros,
    /// Ordering of waiting requests.
    pub order: QueueOrder,
    /// Charge per priority level.
    pub priority_step: Micros,
    /// Part of the time to the deadline that a request may expect to need, in percent.
    pub admit_percent: u64,
    /// Multiple of the expected execution time that is added to the key.
    pub size_weight: u64,
}

impl QueueRules {
    /// Returns the rules for a target with `slots` slots.
    #[must_use]
    pub const fn new(slots: u32) -> Self {
        Self {
            slots,
            reserved: Self::reserved_of(slots),
            headroom: Some(HEADROOM),
            // Status checks take under 10 ms and reports seconds; the gap between is wide.
            long_above: Micros::from_millis(50),
            order: QueueOrder::ShortFirst,
            priority_step: Micros::from_millis(250),
            admit_percent: ADMIT_PERCENT,
            size_weight: 4,
        }
    }

    /// Returns how many of `slots` long work never takes: a quarter, at least one of two or more.
    #[must_use]
    pub const fn reserved_of(slots: u32) -> u32 {
        match slots {
            0 | 1 => 0,
            2..=7 => 1,
            _ => slots / 4,
        }
    }
}

/// Reserving by demand keeps the p99 of short work beside reports at 22 ms on 5 slots, against
/// 161 ms with one slot reserved and 19 ms without reports (`examples/queue_policies`).
const HEADROOM: u32 = 50;

/// Without a margin much of what is admitted at a peak ends shortly after its deadline: at a
/// threefold peak on 5 slots `examples/queue_policies` serves 68.0% of the short work in time with
/// 70 and 62.2% with 100.
const ADMIT_PERCENT: u64 = 70;

/// Time over which the demand of short work is averaged; demand may triple within two seconds.
const DEMAND_SPAN: Micros = Micros::from_secs(2);

/// Number of a request in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotTicket(pub u64);

/// Request for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Application of the caller.
    pub application: SharedName,
    /// Kind of the request.
    pub kind: SharedName,
    /// Priority of the kind; lower numbers first.
    pub priority: u32,
    /// Time at which the answer is worthless.
    pub deadline: Micros,
    /// Fingerprint of the statement.
    pub fingerprint: u64,
    /// Expected execution time, if the sender knows one.
    pub hint: Option<Micros>,
    /// Requests of the application and kind that may run at a time.
    pub limit: Option<u32>,
    /// Whether the request continues a transaction that is open on a connection.
    ///
    /// It holds locks that others wait for, so it is admitted without a forecast and goes first.
    pub continues: bool,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRefusal {
    /// The request would miss its deadline by the current estimates.
    WouldMiss {
        /// Time after which a retry may succeed.
        retry_after: Micros,
    },
    /// The deadline has passed already.
    DeadlinePassed,
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    request: SlotRequest,
    estimate: Micros,
    class: WorkClass,
    arrived: Micros,
    key: u64,
}

impl WaitingRequest {
    // An answer after the deadline is worthless and takes the slot from one that would be in time.
    // A request whose estimate never fitted was admitted to an idle target and may run.
    fn misses(&self, now: Micros) -> bool {
        let fitted = self.arrived + self.estimate <= self.request.deadline;
        !self.request.continues && fitted && now + self.estimate > self.request.deadline
    }
}

#[derive(Clone, Debug)]
struct RunningRequest {
    request: SlotRequest,
    estimate: Micros,
    class: WorkClass,
    started: Micros,
}

impl RunningRequest {
    /// Returns the time that the request is expected to go on.
    ///
    /// One that runs past its estimate is expected to take the time by which it is late once more: the
    /// target may have stopped answering.
    fn left(&self, now: Micros) -> Micros {
        let elapsed = now.since(self.started);
        if elapsed < self.estimate {
            self.estimate.since(elapsed)
        } else {
            elapsed.since(self.estimate)
        }
    }
}

/// What runs, as it matters to short work.
#[derive(Clone, Copy, Debug)]
struct ShortOutlook {
    /// Slots that long work does not hold, at least one.
    open_slots: u64,
    /// Expected work of the short requests that run, in microseconds.
    remaining: u64,
    /// Time until a slot is free of long work; zero unless that holds all of them.
    blocked: u64,
}

/// Request that may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotStart {
    /// Number of the request.
    pub ticket: SlotTicket,
    /// Time it waited.
    pub waited: Micros,
    /// Whether it continues a transaction.
    pub continues: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct ApplicationShare {
    /// Virtual time up to which the application has used its share.
    used_until: u64,
    waiting: u32,
    /// Expected work of the waiting requests, in microseconds.
    work: u64,
}

/// Slots of one target and the requests that wait for them.
#[derive(Debug)]
pub struct SlotQueue {
    rules: QueueRules,
    book: EstimateBook,
    next_ticket: u64,
    waiting: FastMap<SlotTicket, WaitingRequest>,
    order: WaitOrder,
    running: FastMap<SlotTicket, RunningRequest>,
    shares: FastMap<SharedName, ApplicationShare>,
    counts: FastMap<(SharedName, SharedName), u32>,
    /// Requests that were dropped because they would have ended after their deadline.
    missed: Vec<SlotTicket>,
    /// Slots that short work would keep busy, as of `demand_at`.
    demand: f64,
    demand_at: Micros,
}

/// Shortest and longest retry hint of a refusal.
const RETRY_HINT: (Micros, Micros) = (Micros::from_millis(20), Micros::from_secs(10));

/// Applications whose share is remembered; those without waiting requests are forgotten above it.
const SHARES_KEPT: usize = 1_024;

impl SlotQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(rules: QueueRules) -> Self {
        Self {
            rules,
            book: EstimateBook::default(),
            next_ticket: 0,
            waiting: FastMap::default(),
            order: WaitOrder::default(),
            running: FastMap::default(),
            shares: FastMap::default(),
            counts: FastMap::default(),
            missed: Vec::new(),
            demand: 0.0,
            demand_at: Micros::ZERO,
        }
    }

    /// Changes the number of slots; running requests keep theirs.
    pub const fn set_slots(&mut self, slots: u32) {
        self.rules.slots = slots;
        self.rules.reserved = QueueRules::reserved_of(slots);
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the learnt estimates.
    #[must_use]
    pub const fn book(&self) -> &EstimateBook {
        &self.book
    }

    /// Returns the learnt estimates, for setting start values.
    pub const fn book_mut(&mut self) -> &mut EstimateBook {
        &mut self.book
    }

    /// Admits a request or refuses it at once if it would miss its deadline.
    ///
    /// # Errors
    ///
    /// Returns why the request was refused; it will certainly not run.
    pub fn enqueue(
        &mut self,
        request: SlotRequest,
        now: Micros,
    ) -> Result<SlotTicket, QueueRefusal> {
        if request.deadline <= now {
            return Err(QueueRefusal::DeadlinePassed);
        }
        let estimate = match request.hint {
            Some(hint) => hint,
            None => self.book.estimate(request.fingerprint, &request.kind),
        };
        let class = self.class_of(estimate);
        if class == WorkClass::Short {
            self.demand = self.demand_now(now) + estimate.0 as f64 / DEMAND_SPAN.0 as f64;
            self.demand_at = now;
        }
        if !request.continues {
            self.forecast(&request, estimate, class, now)?;
        }
        let key = self.key_of(&request, estimate, now);
        self.next_ticket += 1;
        let ticket = SlotTicket(self.next_ticket);
        self.order.insert(class, key, ticket, request.priority, estimate);
        self.waiting.insert(ticket, WaitingRequest { request, estimate, class, arrived: now, key });
        Ok(ticket)
    }

    /// Returns the next request that may start and gives it a slot.
    ///
    /// With `fresh` false only requests that continue a transaction start, because no connection
    /// is free for others.
    pub fn start_next(&mut self, now: Micros, fresh: bool) -> Option<SlotStart> {
        if self.running.len() >= self.rules.slots as usize {
            return None;
        }
        let long_running = self.long_running(now);
        let long_allowed = long_running < self.slots_for_long(now) as usize;
        let (ticket, entry) = loop {
            let ticket = self.order.first(long_allowed, |ticket| {
                let Some(entry) = self.waiting.get(&ticket) else { return false };
                if !fresh && !entry.request.continues {
                    return false;
                }
                entry.request.continues || !self.at_limit(&entry.request)
            })?;
            let entry = self.take_waiting(ticket)?;
            if !entry.misses(now) {
                break (ticket, entry);
            }
            self.missed.push(ticket);
        };
        if entry.request.limit.is_some() {
            *self.counts.entry(count_key(&entry.request)).or_default() += 1;
        }
        let start = SlotStart {
            ticket,
            waited: now.since(entry.arrived),
            continues: entry.request.continues,
        };
        self.running.insert(
            ticket,
            RunningRequest {
                request: entry.request,
                estimate: entry.estimate,
                class: entry.class,
                started: now,
            },
        );
        Some(start)
    }

    /// Gives a slot back; `ran` is the execution time if the statement ran to its end.
    pub fn finish(&mut self, ticket: SlotTicket, ran: Option<Micros>) {
        let Some(entry) = self.take_running(ticket) else { return };
        if let Some(ran) = ran {
            self.book.learn(entry.request.fingerprint, &entry.request.kind, ran);
        }
    }

    /// Gives the slot of a statement back that had no answer after `lasted`.
    ///
    /// Only a time beyond the estimate says something: the statement takes longer than that.
    pub fn give_up(&mut self, ticket: SlotTicket, lasted: Micros) {
        let Some(entry) = self.take_running(ticket) else { return };
        let SlotRequest { fingerprint, kind, .. } = &entry.request;
        if lasted > self.book.estimate(*fingerprint, kind) {
            self.book.learn(*fingerprint, kind, lasted);
        }
    }

    /// Removes a waiting request; returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: SlotTicket) -> bool {
        self.take_waiting(ticket).is_some()
    }

    /// Returns the requests that `start_next` dropped because they would miss their deadline.
    #[must_use]
    pub fn take_missed(&mut self) -> Vec<SlotTicket> {
        std::mem::take(&mut self.missed)
    }

    /// Removes and returns the waiting requests whose deadline has passed.
    pub fn expire(&mut self, now: Micros) -> Vec<SlotTicket> {
        let mut expired = Vec::new();
        for (ticket, entry) in &self.waiting {
            if entry.request.deadline <= now {
                expired.push(*ticket);
            }
        }
        expired.sort_unstable();
        for ticket in &expired {
            self.take_waiting(*ticket);
        }
        expired
    }

    /// Returns the wait that a request of the given size and priority would expect now.
    #[must_use]
    pub fn expected_wait(&self, priority: u32, estimate: Micros, now: Micros) -> Micros {
        let class = self.class_of(estimate);
        if self.running.len() < self.rules.slots as usize
            && self.order.is_empty()
            && (class == WorkClass::Short
                || self.long_running(now) < self.slots_for_long(now) as usize)
        {
            return Micros::ZERO;
        }
        match (self.rules.order, class) {
            (QueueOrder::Arrival, _) => {
                let outlook = self.short_outlook(now);
                Micros((outlook.remaining + self.order.total()) / outlook.open_slots)
            }
            (QueueOrder::ShortFirst, WorkClass::Short) => {
                let outlook = self.short_outlook(now);
                let work = outlook.remaining + self.order.short_up_to(priority);
                Micros(outlook.blocked + work / outlook.open_slots)
            }
            (QueueOrder::ShortFirst, WorkClass::Long) => {
                let open_slots = u64::from(self.slots_for_long(now)).max(1);
                let ahead = self.order.short_up_to(priority) + self.order.long_up_to(priority);
                Micros((self.remaining_work(now) + ahead) / open_slots)
            }
        }
    }

    fn remaining_work(&self, now: Micros) -> u64 {
        self.running.values().map(|entry| entry.left(now).0).sum()
    }

    // Slots that long work holds do not help a short request within its deadline.
    fn short_outlook(&self, now: Micros) -> ShortOutlook {
        let mut open_slots = u64::from(self.rules.slots.max(1));
        let mut remaining = 0;
        let mut soonest = u64::MAX;
        for entry in self.running.values() {
            let left = entry.left(now).0;
            if self.counts_as_long(entry, now) {
                open_slots = open_slots.saturating_sub(1);
                soonest = soonest.min(left);
            } else {
                remaining += left;
            }
        }
        let blocked = if open_slots == 0 { soonest } else { 0 };
        ShortOutlook { open_slots: open_slots.max(1), remaining, blocked }
    }

    fn forecast(
        &self,
        request: &SlotRequest,
        estimate: Micros,
        class: WorkClass,
        now: Micros,
    ) -> Result<(), QueueRefusal> {
        let mut wait = self.expected_wait(request.priority, estimate, now);
        if wait == Micros::ZERO {
            // An idle target always takes the request: otherwise one slow run could raise an
            // estimate above the deadline for good.
            return Ok(());
        }
        if class == WorkClass::Short && self.rules.order == QueueOrder::ShortFirst {
            wait = wait.min(self.fair_wait(request, now));
        }
        // Long work is judged by its wait alone once its estimate exceeds the deadline's span.
        let span = Micros(request.deadline.since(now).0 * self.rules.admit_percent / 100);
        let needed = match class {
            WorkClass::Long if estimate > span => wait,
            _ => wait + estimate,
        };
        if needed <= span {
            return Ok(());
        }
        let excess = needed.since(span);
        let retry_after = excess.clamp(RETRY_HINT.0, RETRY_HINT.1);
        Err(QueueRefusal::WouldMiss { retry_after })
    }

    /// Returns the wait of a short request by its application's own share of the slots.
    ///
    /// The queue serves applications of equal priority in turn, so the backlog of another one does
    /// not delay an application that is within its share. Judged by the whole backlog, 38% of the
    /// requests of such an application were served beside one that floods (`tests/peak_load.rs`).
    fn fair_wait(&self, request: &SlotRequest, now: Micros) -> Micros {
        let urgent = match request.priority.checked_sub(1) {
            Some(priority) => self.order.short_up_to(priority),
            None => 0,
        };
        let mut own = 0;
        let mut active: u64 = 1;
        for (name, share) in &self.shares {
            if *name == request.application {
                own = share.work;
            } else {
                active += u64::from(share.waiting > 0);
            }
        }
        let outlook = self.short_outlook(now);
        let work = outlook.remaining + urgent + own.saturating_mul(active);
        Micros(outlook.blocked + work / outlook.open_slots)
    }

    fn key_of(&mut self, request: &SlotRequest, estimate: Micros, now: Micros) -> u64 {
        if request.continues {
            // Before every fresh request; among themselves by arrival.
            return now.0 / 2;
        }
        let arrival = now.0.saturating_add(1 << 40);
        if self.rules.order == QueueOrder::Arrival {
            return arrival;
        }
        if self.shares.len() > SHARES_KEPT {
            self.shares.retain(|_, share| share.waiting > 0);
        }
        let mut active: u64 = 1;
        for (name, share) in &self.shares {
            active += u64::from(share.waiting > 0 && *name != request.application);
        }
        let slots = u64::from(self.rules.slots.max(1));
        let share = self.shares.entry(request.application.clone()).or_default();
        let begin = share.used_until.max(now.0);
        share.used_until = begin.saturating_add(estimate.0 * active / slots);
        share.waiting += 1;
        share.work = share.work.saturating_add(estimate.0);
        begin
            .saturating_add(1 << 40)
            .saturating_add(u64::from(request.priority) * self.rules.priority_step.0)
            .saturating_add(estimate.0.saturating_mul(self.rules.size_weight))
    }

    fn take_waiting(&mut self, ticket: SlotTicket) -> Option<WaitingRequest> {
        let entry = self.waiting.remove(&ticket)?;
        self.order.remove(entry.class, entry.key, ticket, entry.request.priority, entry.estimate);
        if !entry.request.continues
            && let Some(share) = self.shares.get_mut(&entry.request.application)
        {
            share.waiting = share.waiting.saturating_sub(1);
            share.work = share.work.saturating_sub(entry.estimate.0);
        }
        Some(entry)
    }

    fn take_running(&mut self, ticket: SlotTicket) -> Option<RunningRequest> {
        let entry = self.running.remove(&ticket)?;
        if entry.request.limit.is_some() {
            let key = count_key(&entry.request);
            if let Some(count) = self.counts.get_mut(&key) {
                *count = count.saturating_sub(1);
                if *count == 0 {
                    self.counts.remove(&key);
                }
            }
        }
        Some(entry)
    }

    fn at_limit(&self, request: &SlotRequest) -> bool {
        let Some(limit) = request.limit else { return false };
        self.counts.get(&count_key(request)).copied().unwrap_or(0) >= limit
    }

    fn class_of(&self, estimate: Micros) -> WorkClass {
        if estimate > self.rules.long_above { WorkClass::Long } else { WorkClass::Short }
    }

    // A request that runs past the limit is long, whatever its estimate said.
    fn counts_as_long(&self, entry: &RunningRequest, now: Micros) -> bool {
        entry.class == WorkClass::Long || now.since(entry.started) > self.rules.long_above
    }

    fn demand_now(&self, now: Micros) -> f64 {
        let span = now.since(self.demand_at).0 as f64 / DEMAND_SPAN.0 as f64;
        self.demand * (-span).exp()
    }

    // Short work gets the slots that it keeps busy and some more; one slot always stays open to
    // long work.
    fn slots_for_long(&self, now: Micros) -> u32 {
        let slots = self.rules.slots;
        let mut reserved = self.rules.reserved;
        if let Some(headroom) = self.rules.headroom {
            let wanted = (self.demand_now(now) + f64::from(headroom) / 100.0).ceil();
            reserved = reserved.max((wanted as u32).min(slots.saturating_sub(1)));
        }
        slots.saturating_sub(reserved)
    }

    fn long_running(&self, now: Micros) -> usize {
        let mut count = 0;
        for entry in self.running.values() {
            count += usize::from(self.counts_as_long(entry, now));
        }
        count
    }
}

fn count_key(request: &SlotRequest) -> (SharedName, SharedName) {
    (request.application.clone(), request.kind.clone())
}
