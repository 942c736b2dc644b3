//! Queue in front of the execution slots of one target.
//!
//! Requests are ordered by a key that is fixed on arrival: the arrival time plus a penalty for the
//! priority and for the expected execution time. A short request overtakes a long one that arrived
//! shortly before it, but not one that has waited for longer than its penalty, so long work never
//! starves. Applications of equal priority share the slots by start-time fair queueing.

mod admission;
mod estimate;
mod order;
mod retry_plan;
mod stall;

pub use estimate::ExecutionEstimates;

use {
    crate::{collections::FastMap, names::SharedName, time::Micros},
    order::{WaitOrder, WorkClass},
    retry_plan::RetryPlan,
    stall::QueueStall,
};

/// Ordering of waiting requests; only measurements use an order other than `ShortFirst`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// Short work first, with aging.
    ShortFirst,
    /// First come, first served.
    Arrival,
}

/// Scheduling parameters of one queue.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// Maximum number of concurrent statements.
    pub slots: u32,
    /// Minimum number of slots reserved for short work.
    pub reserved: u32,
    /// Slots reserved beyond the measured demand of short work, in hundredths of a slot; `None`
    /// reserves only the minimum.
    pub headroom: Option<u32>,
    /// Expected execution time above which work counts as long.
    pub long_threshold: Micros,
    /// Order in which waiting requests start.
    pub order: QueueOrder,
    /// Penalty per priority level, added to the key.
    pub priority_step: Micros,
    /// Share of the time to the deadline that the expected wait and execution of an admitted
    /// request may use, in percent.
    pub admit_percent: u64,
    /// Multiple of the expected execution time that is added to the key.
    pub size_weight: u64,
    /// Whether refused requests are told different times to come again.
    pub plan_returns: bool,
}

impl QueueSettings {
    /// Returns the default parameters for a target with `slots` slots.
    #[must_use]
    pub const fn new(slots: u32) -> Self {
        Self {
            slots,
            reserved: Self::default_reserved(slots),
            headroom: Some(DEFAULT_HEADROOM),
            // Status checks take under 10 ms and reports take seconds, so 50 ms separates the two.
            long_threshold: Micros::from_millis(50),
            order: QueueOrder::ShortFirst,
            priority_step: Micros::from_millis(250),
            admit_percent: DEFAULT_ADMIT_PERCENT,
            size_weight: 4,
            plan_returns: true,
        }
    }

    /// Returns the parameters for a target that other entries use as well.
    ///
    /// Such a queue learns response times, which contain the way to the target and its own queue. Under load or between
    /// regions every statement would count as long, and the slots reserved for short work would stay empty while
    /// statements wait. A request that it refuses may still be served at another target, so it does not plan when the
    /// caller comes again.
    #[must_use]
    pub const fn shared(slots: u32) -> Self {
        Self { long_threshold: Micros(u64::MAX), plan_returns: false, ..Self::new(slots) }
    }

    /// Returns how many of `slots` are reserved for short work: a quarter, but at least one if
    /// there are two or more.
    #[must_use]
    pub const fn default_reserved(slots: u32) -> u32 {
        match slots {
            0 | 1 => 0,
            2..=7 => 1,
            _ => slots / 4,
        }
    }
}

/// Default for [`QueueSettings::headroom`], in hundredths of a slot.
///
/// Reserving by demand keeps the p99 of short work that runs alongside reports at 22 ms on 5 slots,
/// against 161 ms with one slot reserved and 19 ms without reports (`examples/queue_policies`).
const DEFAULT_HEADROOM: u32 = 50;

/// Default for [`QueueSettings::admit_percent`].
///
/// Without a margin, many requests that are admitted at a peak finish shortly after their deadline:
/// at a threefold peak on 5 slots, `examples/queue_policies` serves 68.0% of the short work in time
/// with 70 percent and 62.2% with 100 percent.
const DEFAULT_ADMIT_PERCENT: u64 = 70;

/// Time constant of the moving average of short work's demand; demand may triple within two
/// seconds.
const DEMAND_TIME_CONSTANT: Micros = Micros::from_secs(2);

/// Identifier of a request, unique within its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotTicket(pub u64);

/// Request for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Application of the caller.
    pub application: SharedName,
    /// Kind of the request.
    pub kind: SharedName,
    /// Priority of the kind; lower values are served first.
    pub priority: u32,
    /// Time after which a response is useless to the caller.
    pub deadline: Micros,
    /// Fingerprint of the statement.
    pub fingerprint: u64,
    /// Expected execution time if the sender supplies it; it replaces the learned estimate.
    pub hint: Option<Micros>,
    /// Maximum number of concurrent requests of the same application and kind.
    pub limit: Option<u32>,
    /// Whether the request continues a transaction that is open on a connection.
    ///
    /// Such a transaction holds locks that other requests wait for, so the request skips the
    /// admission check and starts before new transactions.
    pub continues_transaction: bool,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRefusal {
    /// By the current estimates the request would finish after its deadline.
    WouldMissDeadline {
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
    // A response after the deadline is useless, and its slot could serve a request that would
    // finish in time. A request whose estimate exceeded the deadline already on arrival was
    // admitted because the target was idle, and may run.
    fn would_miss_deadline(&self, now: Micros) -> bool {
        let fitted = self.arrived + self.estimate <= self.request.deadline;
        !self.request.continues_transaction && fitted && now + self.estimate > self.request.deadline
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
    /// Returns the expected remaining execution time.
    ///
    /// A request that has exceeded its estimate is expected to take as long again as it has
    /// exceeded it by, since the target may have stopped responding.
    fn expected_remaining(&self, now: Micros) -> Micros {
        let elapsed = now.since(self.started);
        if elapsed < self.estimate {
            self.estimate.since(elapsed)
        } else {
            elapsed.since(self.estimate)
        }
    }
}

/// Waiting request that was given a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotStart {
    /// Ticket that `enqueue` returned for the request.
    pub ticket: SlotTicket,
    /// Time between arrival and start.
    pub waited: Micros,
    /// Whether the request continues a transaction that is open on a connection.
    pub continues_transaction: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct ApplicationShare {
    /// Virtual finish time of the application's latest request, in microseconds.
    virtual_finish: u64,
    waiting: u32,
    /// Expected work of the application's waiting requests, in microseconds.
    work: u64,
}

/// Slots of one target and the requests waiting for them.
#[derive(Debug)]
pub struct SlotQueue {
    settings: QueueSettings,
    estimates: ExecutionEstimates,
    next_ticket: u64,
    waiting: FastMap<SlotTicket, WaitingRequest>,
    order: WaitOrder,
    running: FastMap<SlotTicket, RunningRequest>,
    shares: FastMap<SharedName, ApplicationShare>,
    counts: FastMap<(SharedName, SharedName), u32>,
    /// Requests dropped because they would have finished after their deadline.
    missed: Vec<SlotTicket>,
    /// Moving average of the slots that short work needs, as of `demand_at`.
    demand: f64,
    demand_at: Micros,
    stall: QueueStall,
    retry_plan: RetryPlan,
}

/// Number of tracked applications above which those without waiting requests are evicted.
const TRACKED_SHARES_LIMIT: usize = 1_024;

impl SlotQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            estimates: ExecutionEstimates::default(),
            next_ticket: 0,
            waiting: FastMap::default(),
            order: WaitOrder::default(),
            running: FastMap::default(),
            shares: FastMap::default(),
            counts: FastMap::default(),
            missed: Vec::new(),
            demand: 0.0,
            demand_at: Micros::ZERO,
            stall: QueueStall::default(),
            retry_plan: RetryPlan::default(),
        }
    }

    /// Changes the number of slots; running requests keep their slots.
    pub const fn set_slots(&mut self, slots: u32) {
        self.settings.slots = slots;
        self.settings.reserved = QueueSettings::default_reserved(slots);
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

    /// Returns the execution time estimates.
    #[must_use]
    pub const fn estimates(&self) -> &ExecutionEstimates {
        &self.estimates
    }

    /// Returns the execution time estimates, for setting initial values.
    pub const fn estimates_mut(&mut self) -> &mut ExecutionEstimates {
        &mut self.estimates
    }

    /// Admits a request, or refuses it immediately if it would miss its deadline.
    ///
    /// # Errors
    ///
    /// Returns why the request was refused; a refused request never runs.
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
            None => self.estimates.estimate(request.fingerprint, &request.kind),
        };
        let class = self.work_class(estimate);
        if class == WorkClass::Short {
            self.demand = self.demand_now(now) + estimate.0 as f64 / DEMAND_TIME_CONSTANT.0 as f64;
            self.demand_at = now;
        }
        if !request.continues_transaction {
            self.check_admission(&request, estimate, class, now)?;
        }
        let key = self.sort_key(&request, estimate, now);
        self.next_ticket += 1;
        let ticket = SlotTicket(self.next_ticket);
        self.order.insert(class, key, ticket, request.priority, estimate);
        self.waiting.insert(ticket, WaitingRequest { request, estimate, class, arrived: now, key });
        Ok(ticket)
    }

    /// Returns the next request that may start and assigns it a slot.
    ///
    /// With `fresh` false, only requests that continue a transaction may start, because no idle
    /// connection is left for others.
    pub fn start_next(&mut self, now: Micros, fresh: bool) -> Option<SlotStart> {
        let start = self.find_start(now, fresh);
        let started = start.is_some_and(|start| !start.continues_transaction);
        self.record_stall(started, fresh, now);
        start
    }

    fn find_start(&mut self, now: Micros, fresh: bool) -> Option<SlotStart> {
        if self.running.len() >= self.settings.slots as usize {
            return None;
        }
        let long_running = self.long_running(now);
        let long_allowed = long_running < self.slots_for_long(now) as usize;
        let (ticket, entry) = loop {
            let ticket = self.order.first(long_allowed, |ticket| {
                let Some(entry) = self.waiting.get(&ticket) else { return false };
                if !fresh && !entry.request.continues_transaction {
                    return false;
                }
                entry.request.continues_transaction || !self.at_limit(&entry.request)
            })?;
            let entry = self.take_waiting(ticket)?;
            if !entry.would_miss_deadline(now) {
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
            continues_transaction: entry.request.continues_transaction,
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

    /// Releases a slot; `ran` is the execution time if the statement completed.
    pub fn finish(&mut self, ticket: SlotTicket, ran: Option<Micros>) {
        let Some(entry) = self.take_running(ticket) else { return };
        if let Some(ran) = ran {
            self.estimates.record(entry.request.fingerprint, &entry.request.kind, ran);
        }
    }

    /// Releases the slot of a statement that got no response within `elapsed_time`.
    ///
    /// Only a time above the estimate updates it, because a shorter one says nothing about how long
    /// the statement takes.
    pub fn finish_unanswered(&mut self, ticket: SlotTicket, elapsed_time: Micros) {
        let Some(entry) = self.take_running(ticket) else { return };
        let SlotRequest { fingerprint, kind, .. } = &entry.request;
        if elapsed_time > self.estimates.estimate(*fingerprint, kind) {
            self.estimates.record(*fingerprint, kind, elapsed_time);
        }
    }

    /// Removes a waiting request and returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: SlotTicket) -> bool {
        self.take_waiting(ticket).is_some()
    }

    /// Returns the requests that `start_next` has dropped since the last call because they would
    /// miss their deadline.
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

    fn sort_key(&mut self, request: &SlotRequest, estimate: Micros, now: Micros) -> u64 {
        if request.continues_transaction {
            // Sorts before the keys of all new transactions, which are offset by 2^40, and by
            // arrival among continuations.
            return now.0 / 2;
        }
        let arrival = now.0.saturating_add(1 << 40);
        if self.settings.order == QueueOrder::Arrival {
            return arrival;
        }
        if self.shares.len() > TRACKED_SHARES_LIMIT {
            self.shares.retain(|_, share| share.waiting > 0);
        }
        let mut active: u64 = 1;
        for (name, share) in &self.shares {
            active += u64::from(share.waiting > 0 && *name != request.application);
        }
        let slots = u64::from(self.settings.slots.max(1));
        let share = self.shares.entry(request.application.clone()).or_default();
        let begin = share.virtual_finish.max(now.0);
        share.virtual_finish = begin.saturating_add(estimate.0 * active / slots);
        share.waiting += 1;
        share.work = share.work.saturating_add(estimate.0);
        begin
            .saturating_add(1 << 40)
            .saturating_add(u64::from(request.priority) * self.settings.priority_step.0)
            .saturating_add(estimate.0.saturating_mul(self.settings.size_weight))
    }

    fn take_waiting(&mut self, ticket: SlotTicket) -> Option<WaitingRequest> {
        let entry = self.waiting.remove(&ticket)?;
        self.order.remove(entry.class, entry.key, ticket, entry.request.priority, entry.estimate);
        if !entry.request.continues_transaction
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

    fn work_class(&self, estimate: Micros) -> WorkClass {
        if estimate > self.settings.long_threshold { WorkClass::Long } else { WorkClass::Short }
    }

    // A request that has run for longer than the threshold is long, whatever its estimate.
    fn counts_as_long(&self, entry: &RunningRequest, now: Micros) -> bool {
        entry.class == WorkClass::Long || now.since(entry.started) > self.settings.long_threshold
    }

    fn demand_now(&self, now: Micros) -> f64 {
        let span = now.since(self.demand_at).0 as f64 / DEMAND_TIME_CONSTANT.0 as f64;
        self.demand * (-span).exp()
    }

    // Reserves the demand of short work plus the headroom; one slot always stays available to long
    // work.
    fn slots_for_long(&self, now: Micros) -> u32 {
        let slots = self.settings.slots;
        let mut reserved = self.settings.reserved;
        if let Some(headroom) = self.settings.headroom {
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
