//! Shared state of one target's broker: gate, queue, idle connections, high-water mark.
//!
//! The state is behind a mutex that is never held across an await: a grant acquires a slot and a
//! connection without a message to another task, which saves two channel hops per statement.

use {
    super::{
        connection::{
            ConnectionCounter, CountedConnection, EventLoop, TargetConnection, current_event_loop,
        },
        refusal::failure,
        settings::BrokerSettings,
    },
    crate::{lease::NodeLease, link::LinkFailure},
    banyansill_core::{
        broker::{BrokerView, PoolCount, PoolRules, ProbeRecord, TargetStatus},
        collections::FastMap,
        failure::FailureKind,
        names::SharedName,
        position::{LogPosition, LogTerm},
        queue::{QueueRefusal, QueueSettings, SlotQueue, SlotRequest, SlotStart, SlotTicket},
        route::DatabaseRoute,
        time::Micros,
    },
    banyansill_runtime::{clock::MonotonicClock, events::EventSink},
    std::sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    tokio::{
        sync::{Notify, oneshot, watch},
        time::Instant,
    },
};

/// Settings and services of the host that its brokers share.
#[derive(Debug)]
pub(super) struct TargetContext {
    pub(super) settings: Arc<BrokerSettings>,
    pub(super) clock: MonotonicClock,
    pub(super) lease: NodeLease,
    pub(super) events: EventSink,
}

/// Current assignment of the target and conditions for serving it.
#[derive(Clone, Debug)]
pub(super) struct TargetGate {
    /// The lease is valid and the target is assigned to this host.
    pub(super) open: bool,
    /// The assignment was released; running work may end, new work is refused.
    pub(super) closing: bool,
    /// The probes reach the target.
    pub(super) reachable: bool,
    /// Connections opened before this are suspect: the probe's connection went silent while a new
    /// one worked, as happens when a device on the network path has lost its connection state.
    pub(super) suspect_before: Option<Instant>,
    pub(super) epoch: u64,
    pub(super) draining: bool,
    pub(super) route: Arc<DatabaseRoute>,
}

impl TargetGate {
    /// Returns whether writes under `term` are no longer acknowledged.
    ///
    /// A planned close lets running writes finish; new ones are refused at admission.
    pub(super) fn closed_for(&self, term: u64) -> bool {
        let closed = self.route.closed && !self.route.planned;
        closed || self.route.term != LogTerm(term)
    }
}

/// Waits until the gate closes or its sender is dropped.
pub(super) async fn gate_closed(gate: &mut watch::Receiver<TargetGate>) {
    let _ = gate.wait_for(|gate| !gate.open).await;
}

/// Slot, with a connection unless the request continues on the connection that it holds.
#[derive(Debug)]
pub(super) struct SlotAssignment {
    pub(super) slot: HeldSlot,
    pub(super) connection: Option<TargetConnection>,
    pub(super) waited: Micros,
}

/// Counts an open write grant of a target until it is dropped.
#[derive(Debug)]
pub(super) struct WriteCount(Arc<TargetShared>);

impl WriteCount {
    pub(super) fn new(shared: &Arc<TargetShared>) -> Self {
        shared.writers.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(shared))
    }
}

impl Drop for WriteCount {
    fn drop(&mut self) {
        self.0.writers.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Slot that returns to its queue when it is dropped.
#[derive(Debug)]
pub(super) struct HeldSlot {
    shared: Arc<TargetShared>,
    ticket: Option<SlotTicket>,
}

impl HeldSlot {
    /// Releases the slot after a statement that ran for `ran`; `None` leaves the estimates as they
    /// are.
    pub(super) fn finish(mut self, ran: Option<Micros>) {
        if let Some(ticket) = self.ticket.take() {
            self.shared.finish(ticket, ran);
        }
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.shared.finish(ticket, None);
        }
    }
}

/// Immediate result of a request for a slot.
#[allow(clippy::large_enum_variant, reason = "moving an assignment is cheaper than a box for it")]
pub(super) enum SlotResponse {
    Assigned(SlotAssignment),
    Queued(QueuedSlot),
}

/// Queued request for a slot; dropping it removes the request from the queue.
#[derive(Debug)]
pub(super) struct QueuedSlot {
    shared: Arc<TargetShared>,
    ticket: SlotTicket,
    pub(super) response: oneshot::Receiver<Result<SlotAssignment, LinkFailure>>,
}

impl Drop for QueuedSlot {
    fn drop(&mut self) {
        self.shared.leave_queue(self.ticket);
    }
}

/// Grant that waits for a slot.
#[derive(Debug)]
struct SlotWaiter {
    sender: oneshot::Sender<Result<SlotAssignment, LinkFailure>>,
    /// Event loop of the grant's thread.
    event_loop: EventLoop,
}

#[derive(Debug)]
struct TargetState {
    queue: SlotQueue,
    slots: u32,
    idle: Vec<TargetConnection>,
    waiters: FastMap<SlotTicket, SlotWaiter>,
    opening: u32,
    rules: PoolRules,
    mark: Option<(LogTerm, LogPosition)>,
}

impl TargetState {
    /// Takes the most recently used idle connection of `event_loop`, or else of any.
    ///
    /// Connections are appended when they become idle, so unneeded ones stay at the front.
    fn take_idle(&mut self, event_loop: EventLoop) -> Option<TargetConnection> {
        let on_event_loop = |connection: &TargetConnection| connection.event_loop == event_loop;
        match self.idle.iter().rposition(on_event_loop) {
            Some(index) => Some(self.idle.remove(index)),
            None => self.idle.pop(),
        }
    }
}

/// Counters of a target since its broker opened.
#[derive(Debug, Default)]
pub(super) struct TargetCounters {
    pub(super) granted: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) lost: AtomicU64,
    pub(super) waited_us: AtomicU64,
}

/// State of one target's broker that its tasks and grants share.
#[derive(Debug)]
pub(super) struct TargetShared {
    pub(super) database: SharedName,
    pub(super) server: SharedName,
    pub(super) address: SharedName,
    pub(super) settings: Arc<BrokerSettings>,
    pub(super) clock: MonotonicClock,
    pub(super) lease: NodeLease,
    pub(super) events: EventSink,
    pub(super) epoch: u64,
    pub(super) retired: AtomicBool,
    pub(super) probes: Mutex<ProbeRecord>,
    pub(super) gate: watch::Sender<TargetGate>,
    pub(super) status: watch::Sender<Option<TargetStatus>>,
    /// Connections of the pool, idle or in use.
    pub(super) pooled: Arc<ConnectionCounter>,
    /// Connections for probes and cancels.
    pub(super) probing: Arc<ConnectionCounter>,
    /// Wakes the task that maintains the pool.
    pub(super) refill: Notify,
    /// Wakes the probe before its interval has passed.
    pub(super) poll: Notify,
    poll_until: AtomicU64,
    first_write: AtomicBool,
    /// Highest term whose fence was recorded as an event.
    pub(super) fence_recorded: AtomicU64,
    /// Write grants that are open; counted before they are admitted.
    pub(super) writers: AtomicU64,
    /// Term that the target was promoted to, and the last position of earlier terms in its log.
    pub(super) term_start: Mutex<Option<(LogTerm, LogPosition)>>,
    pub(super) counters: TargetCounters,
    state: Mutex<TargetState>,
}

impl TargetShared {
    pub(super) fn new(
        names: (SharedName, SharedName, SharedName),
        size: (u32, u32),
        gate: TargetGate,
        context: TargetContext,
    ) -> Arc<Self> {
        let TargetContext { settings, clock, lease, events } = context;
        let (database, server, address) = names;
        let (slots, connections) = size;
        let state = TargetState {
            queue: SlotQueue::new(QueueSettings::new(slots)),
            slots,
            idle: Vec::new(),
            waiters: FastMap::default(),
            opening: 0,
            rules: PoolRules::new(slots, connections),
            mark: None,
        };
        Arc::new(Self {
            database,
            server,
            address,
            settings,
            clock,
            lease,
            events,
            epoch: gate.epoch,
            retired: AtomicBool::new(false),
            probes: Mutex::default(),
            gate: watch::Sender::new(gate),
            status: watch::Sender::new(None),
            pooled: Arc::default(),
            probing: Arc::default(),
            refill: Notify::new(),
            poll: Notify::new(),
            poll_until: AtomicU64::new(0),
            first_write: AtomicBool::new(false),
            fence_recorded: AtomicU64::new(0),
            writers: AtomicU64::new(0),
            term_start: Mutex::new(None),
            counters: TargetCounters::default(),
            state: Mutex::new(state),
        })
    }

    fn lock(&self) -> MutexGuard<'_, TargetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `decide` with the broker's current view of its target.
    pub(super) fn view<T, F>(&self, gate: &TargetGate, decide: F) -> T
    where
        F: FnOnce(&BrokerView<'_>) -> T,
    {
        let view = BrokerView {
            route: &gate.route,
            server: &self.server,
            leased: gate.open && self.lease.is_valid(),
            status: *self.status.borrow(),
            now: self.clock.now(),
        };
        decide(&view)
    }

    /// Changes the numbers of slots and connections.
    pub(super) fn resize(&self, slots: u32, connections: u32) {
        let mut state = self.lock();
        state.queue.set_slots(slots);
        state.slots = slots;
        state.rules = PoolRules::new(slots, connections);
        drop(state);
        self.refill.notify_one();
    }

    /// Requests a slot.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that would miss its deadline.
    pub(super) fn request_slot(
        self: &Arc<Self>,
        request: SlotRequest,
    ) -> Result<SlotResponse, LinkFailure> {
        let now = self.clock.now();
        let mut state = self.lock();
        let ticket = state.queue.enqueue(request, now).map_err(|refusal| match refusal {
            QueueRefusal::WouldMissDeadline { retry_after } => LinkFailure {
                kind: FailureKind::Overloaded,
                retry_after,
                detail: "the expected queue wait exceeds the deadline".to_owned(),
            },
            QueueRefusal::DeadlinePassed => {
                failure(FailureKind::QueueTimeout, "the deadline passed before queueing")
            }
        })?;
        let mut own = None;
        while let Some(start) = self.start_next(&mut state, now) {
            if start.ticket == ticket {
                own = Some(start);
                break;
            }
            self.deliver(&mut state, start);
        }
        if let Some(start) = own {
            let assignment = self.assignment(&mut state, start, current_event_loop());
            self.dispatch(&mut state, now);
            return Ok(SlotResponse::Assigned(assignment));
        }
        let (sender, response) = oneshot::channel();
        state.waiters.insert(ticket, SlotWaiter { sender, event_loop: current_event_loop() });
        // The pool's maintenance task runs on another thread; it is woken only to open a
        // connection.
        let refill = self.connections_to_open(&state) > 0;
        drop(state);
        if refill {
            self.refill.notify_one();
        }
        Ok(SlotResponse::Queued(QueuedSlot { shared: Arc::clone(self), ticket, response }))
    }

    // A fresh request starts only if a connection is idle, so that no slot is held while a
    // connection is opened.
    fn start_next(&self, state: &mut TargetState, now: Micros) -> Option<SlotStart> {
        if state.queue.waiting() == 0 || state.queue.running() >= state.slots as usize {
            return None;
        }
        let idle = state.idle.len();
        state.idle.retain_mut(TargetConnection::is_usable);
        if state.idle.len() < idle {
            self.refill.notify_one();
        }
        let fresh = !state.idle.is_empty();
        let start = state.queue.start_next(now, fresh);
        for ticket in state.queue.take_missed() {
            if let Some(waiter) = state.waiters.remove(&ticket) {
                let detail = "the deadline would have passed during execution";
                let _ = waiter.sender.send(Err(failure(FailureKind::QueueTimeout, detail)));
            }
        }
        start
    }

    fn assignment(
        self: &Arc<Self>,
        state: &mut TargetState,
        start: SlotStart,
        event_loop: EventLoop,
    ) -> SlotAssignment {
        let connection =
            if start.continues_transaction { None } else { state.take_idle(event_loop) };
        let slot = HeldSlot { shared: Arc::clone(self), ticket: Some(start.ticket) };
        SlotAssignment { slot, connection, waited: start.waited }
    }

    fn deliver(self: &Arc<Self>, state: &mut TargetState, start: SlotStart) {
        let refused = match state.waiters.remove(&start.ticket) {
            Some(SlotWaiter { sender, event_loop }) => {
                sender.send(Ok(self.assignment(state, start, event_loop)))
            }
            None => {
                state.queue.finish(start.ticket, None);
                return;
            }
        };
        // The grant has ended: undo the start while the lock is held.
        if let Err(Ok(mut assignment)) = refused {
            assignment.slot.ticket = None;
            state.queue.finish(start.ticket, None);
            if let Some(connection) = assignment.connection.take() {
                state.idle.push(connection);
            }
        }
    }

    fn dispatch(self: &Arc<Self>, state: &mut TargetState, now: Micros) {
        while let Some(start) = self.start_next(state, now) {
            self.deliver(state, start);
        }
    }

    fn finish(self: &Arc<Self>, ticket: SlotTicket, ran: Option<Micros>) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.queue.finish(ticket, ran);
        self.dispatch(&mut state, now);
        drop(state);
    }

    fn leave_queue(self: &Arc<Self>, ticket: SlotTicket) {
        let mut state = self.lock();
        state.waiters.remove(&ticket);
        state.queue.cancel(ticket);
    }

    /// Returns an idle connection to the pool, or closes it if the gate does not admit work.
    pub(super) fn put_back(self: &Arc<Self>, mut connection: TargetConnection) {
        let now = self.clock.now();
        connection.last_response = now;
        let gate = self.gate.borrow();
        if !gate.open || gate.closing || !gate.reachable {
            return;
        }
        let mut state = self.lock();
        // Both locks are held here, so closing the gate later also closes this connection.
        drop(gate);
        state.idle.push(connection);
        self.dispatch(&mut state, now);
    }

    // Number of connections to open now.
    fn connections_to_open(&self, state: &TargetState) -> u32 {
        let idle = u32::try_from(state.idle.len()).unwrap_or(u32::MAX);
        let running = u32::try_from(state.queue.running()).unwrap_or(u32::MAX);
        let open = self.pooled.open().saturating_sub(state.opening);
        let running = running.min(open.saturating_sub(idle));
        let pinned = open.saturating_sub(idle + running);
        let opening = state.opening;
        state.rules.to_open(PoolCount { idle, running, pinned, opening })
    }

    /// Returns a counter guard for each connection to open now.
    pub(super) fn begin_opening(&self) -> Vec<CountedConnection> {
        let mut state = self.lock();
        let count = self.connections_to_open(&state);
        state.opening += count;
        let mut opened = Vec::new();
        for _ in 0..count {
            opened.push(CountedConnection::new(&self.pooled));
        }
        opened
    }

    /// Ends an attempt counted by `begin_opening`; `connection` is absent if it failed.
    pub(super) fn end_opening(self: &Arc<Self>, connection: Option<TargetConnection>) {
        self.lock().opening -= 1;
        if let Some(connection) = connection {
            self.put_back(connection);
        }
    }

    /// Closes the idle connections and returns their number.
    pub(super) fn close_idle(&self) -> usize {
        let idle = std::mem::take(&mut self.lock().idle);
        idle.len()
    }

    /// Takes the idle connection with the oldest last response, if that was before `limit`.
    pub(super) fn take_unverified(&self, limit: Micros) -> Option<TargetConnection> {
        let mut state = self.lock();
        let mut oldest: Option<(usize, Micros)> = None;
        for (index, connection) in state.idle.iter().enumerate() {
            if oldest.is_none_or(|(_, last_response)| connection.last_response < last_response) {
                oldest = Some((index, connection.last_response));
            }
        }
        match oldest {
            Some((index, last_response)) if last_response < limit => Some(state.idle.remove(index)),
            _ => None,
        }
    }

    /// Closes the least recently used idle connection, if more are idle than one above the number
    /// that the pool keeps warm.
    pub(super) fn trim_idle(&self) {
        let mut state = self.lock();
        if state.idle.len() <= state.rules.warm as usize + 1 {
            return;
        }
        // The most recently used connections are at the end.
        let oldest = state.idle.remove(0);
        drop(state);
        drop(oldest);
    }

    /// Refuses every waiting request.
    pub(super) fn refuse_waiting(&self, kind: FailureKind, detail: &str) {
        let waiters = {
            let mut state = self.lock();
            let waiters = std::mem::take(&mut state.waiters);
            for ticket in waiters.keys() {
                state.queue.cancel(*ticket);
            }
            waiters
        };
        for (_, waiter) in waiters {
            let _ = waiter.sender.send(Err(failure(kind, detail)));
        }
    }

    /// Returns the numbers of waiting requests and of slots in use.
    pub(super) fn load(&self) -> (usize, usize) {
        let state = self.lock();
        (state.queue.waiting(), state.queue.running())
    }

    /// Makes the probe poll the target's status at a short interval for `span`.
    pub(super) fn poll_fast(&self, span: Micros) {
        let until = self.clock.now() + span;
        self.poll_until.fetch_max(until.0, Ordering::AcqRel);
        self.poll.notify_one();
    }

    /// Returns whether a short polling interval was requested and has not expired.
    pub(super) fn polls_fast(&self) -> bool {
        self.clock.now().0 < self.poll_until.load(Ordering::Acquire)
    }

    /// Raises the high-water mark to a position observed under `term`.
    pub(super) fn raise_mark(&self, term: LogTerm, position: LogPosition) {
        let mut state = self.lock();
        state.mark = match state.mark {
            Some((known, mark)) if known == term => Some((term, mark.max(position))),
            Some((known, mark)) if known > term => Some((known, mark)),
            _ => Some((term, position)),
        };
    }

    /// Raises a replica's known position to that of a response, which may be newer than the last
    /// probe's.
    pub(super) fn raise_status(&self, position: LogPosition) {
        self.status.send_if_modified(|status| {
            let raised = status.and_then(|known| known.advanced_to(position));
            if raised.is_some() {
                *status = raised;
            }
            raised.is_some()
        });
    }

    /// Clears the high-water mark, because another broker may acknowledge commits from now on.
    pub(super) fn clear_mark(&self) {
        self.lock().mark = None;
    }

    /// Returns the high-water mark.
    ///
    /// # Errors
    ///
    /// Returns the failure if there is no lease, the term is closed or the primary's own position
    /// is not known yet.
    pub(super) fn high_water_mark(&self) -> Result<LogPosition, FailureKind> {
        let gate = self.gate.borrow();
        let term = gate.route.term;
        self.view(&gate, |view| {
            view.check_write(term)?;
            if view.confirmed_primary() { Ok(()) } else { Err(FailureKind::NoPrimary) }
        })?;
        match self.lock().mark {
            Some((known, mark)) if known == term => Ok(mark),
            _ => Err(FailureKind::NoPrimary),
        }
    }

    /// Records an acknowledged write; returns whether it is the first of this broker or term.
    pub(super) fn set_first_write(&self) -> bool {
        !self.first_write.load(Ordering::Relaxed) && !self.first_write.swap(true, Ordering::AcqRel)
    }

    /// Makes the next acknowledged write the first of its term.
    pub(super) fn reset_first_write(&self) {
        self.first_write.store(false, Ordering::Release);
    }
}
