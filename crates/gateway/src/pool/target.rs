//! Pool of the connections to one target.

use {
    super::{
        connection::{PooledConnection, SessionValues},
        lease::TargetLease,
        opening::{self, OpenFailure, OpenPlan},
        slot::{SlotHold, SlotKind, SlotWish},
    },
    crate::gateway::GatewayCore,
    banyansill_core::{
        collections::{FastMap, FastSet},
        directory::{ProcessHost, TargetReport, TargetState},
        event::EventNumber,
        failure::FailureKind,
        gateway::{AdaptiveLimit, ConnectionShare, HealthChange, TargetError, TargetHealth},
        names::SharedName,
        position::LogPosition,
        queue::{QueueRefusal, QueueRules, SlotQueue, SlotRequest, SlotTicket},
        time::Micros,
    },
    banyansill_target::{StatementAnswer, StatementProtocol},
    std::{cell::RefCell, rc::Rc},
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// Connections that an entry asks of other entries at a time; those queue by their own.
const RELAYED_CONNECTIONS: u32 = 8;

/// Time for which a position says how far a replica has come; replicas apply within milliseconds.
const POSITION_LIFE: Micros = Micros::from_millis(100);

/// Idle time after which a connection is looked at before it is used.
const LOOK_AFTER: Micros = Micros::from_millis(20);

/// Idle time after which the last idle connection is closed; targets close theirs after a minute.
const IDLE_LIFE: Micros = Micros::from_secs(40);

/// Idle time after which any other is closed. A target counts the connections of a lost host for 3 s, and
/// those of all entries together must leave room for the same entries to come back.
const SPARE_LIFE: Micros = Micros::from_millis(1_500);

/// Time for which a leaving primary is used while another one is promoted; a promotion takes about 1 s
/// and a leaving target must get no new work after 7 s.
const LEADER_GRACE: Micros = Micros::from_secs(4);

/// Wait after a target refused a connection because it has too many.
const REFUSED_WAIT: Micros = Micros::from_millis(200);

/// Wait after no other entry could reach the target either.
const DETOUR_PAUSE: Micros = Micros::from_millis(300);

/// Longest wait for a sign of life of an idle connection; regions are 20 ms apart.
const ALIVE_LIMIT: Micros = Micros::from_millis(250);

/// What a session wants of a connection.
#[derive(Debug)]
pub(crate) struct LeaseWish<'a> {
    /// What the statement needs of the target's slots.
    pub(crate) slot: SlotWish<'a>,
    /// Values that the connection should have; others cost a round trip.
    pub(crate) values: &'a SessionValues,
    /// Longest idle time of a connection that is used without a sign of life.
    pub(crate) trusted_idle: Micros,
    /// Whether the connection is for a transaction, which takes slots statement by statement.
    pub(crate) transaction: bool,
    /// Whether another entry may be asked if this one cannot reach the target.
    pub(crate) detour: bool,
}

/// Why no connection was leased; nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeaseFailure {
    /// Kind of the failure.
    pub(crate) kind: FailureKind,
    /// Time after which a retry may succeed.
    pub(crate) retry_after: Micros,
}

impl LeaseFailure {
    pub(crate) const fn new(kind: FailureKind) -> Self {
        Self { kind, retry_after: Micros::ZERO }
    }
}

#[derive(Debug)]
struct PoolState<P> {
    /// Statements that run on the target or wait for it.
    queue: SlotQueue,
    granted: FastMap<SlotTicket, oneshot::Sender<()>>,
    /// Slots that were given with a claim to a connection which is not taken yet.
    claims: FastSet<SlotTicket>,
    idle: Vec<PooledConnection<P>>,
    /// Connections that are idle, leased or being opened.
    open: u32,
    limit: AdaptiveLimit,
    health: TargetHealth,
    /// Last known position of the target's log and when it was learnt.
    position: Option<(LogPosition, Micros)>,
    share: ConnectionShare,
    address: SharedName,
    /// When the target takes no new work any more.
    closes_at: Option<Micros>,
    refused_until: Micros,
    probing: bool,
    /// Entries to ask while this one cannot reach the target.
    detour: Vec<ProcessHost>,
    /// Until when asking them is not worth a try.
    detour_closed_until: Micros,
}

/// Way to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetPath {
    /// The share's own.
    Usual,
    /// Other entries, since this one cannot reach the target.
    Detour,
}

impl<P> PoolState<P> {
    /// Returns the way that a new connection takes, or `None` while no way is worth a try.
    fn path(&self, now: Micros, detour: bool) -> Option<TargetPath> {
        if !self.health.is_failing() {
            return Some(TargetPath::Usual);
        }
        if detour && !self.detour.is_empty() && now >= self.detour_closed_until {
            return Some(TargetPath::Detour);
        }
        self.health.may_try(now).then_some(TargetPath::Usual)
    }

    fn is_closing(&self, now: Micros) -> bool {
        self.closes_at.is_some_and(|closes_at| closes_at <= now)
    }

    /// Returns whether one more session can have a connection.
    fn has_connection(&self, now: Micros) -> bool {
        let most = if self.is_refused(now) { 0 } else { connections_of(&self.share) };
        let spare = most.saturating_sub(self.open) as usize;
        self.idle.len() + spare > self.claims.len()
    }

    /// Returns whether the target refused a connection a moment ago.
    fn is_refused(&self, now: Micros) -> bool {
        now < self.refused_until
    }

    /// Forgets connections that are closed.
    const fn forget(&mut self, count: usize) {
        self.open = self.open.saturating_sub(count as u32);
    }
}

/// Connections to one target and the requests that wait for them.
#[derive(Debug)]
pub(crate) struct TargetPool<P>
where
    P: StatementProtocol,
{
    core: Rc<GatewayCore<P>>,
    /// Group of the target.
    pub(crate) group: SharedName,
    /// Name of the target.
    pub(crate) target: SharedName,
    state: RefCell<PoolState<P>>,
}

impl<P> TargetPool<P>
where
    P: StatementProtocol,
{
    pub(crate) fn new(
        core: Rc<GatewayCore<P>>,
        report: &TargetReport,
        share: ConnectionShare,
        detour: Vec<ProcessHost>,
        leads: bool,
    ) -> Rc<Self> {
        let connections = connections_of(&share);
        let state = PoolState {
            queue: SlotQueue::new(QueueRules::new(connections)),
            granted: FastMap::default(),
            claims: FastSet::default(),
            idle: Vec::new(),
            open: 0,
            limit: AdaptiveLimit::new(connections),
            health: TargetHealth::default(),
            position: None,
            share: share.clone(),
            address: report.address.clone(),
            closes_at: None,
            refused_until: Micros::ZERO,
            probing: false,
            detour: Vec::new(),
            detour_closed_until: Micros::ZERO,
        };
        let (group, target) = (report.group.clone(), report.target.clone());
        let pool = Rc::new(Self { core, group, target, state: RefCell::new(state) });
        pool.update(report, share, detour, leads);
        pool
    }

    pub(crate) fn now(&self) -> Micros {
        self.core.clock.now()
    }

    pub(crate) fn protocol(&self) -> &P {
        &self.core.protocol
    }

    /// Takes over what the directory says of the target.
    ///
    /// A leaving primary serves on for a while, until another one is promoted.
    pub(crate) fn update(
        &self,
        report: &TargetReport,
        share: ConnectionShare,
        detour: Vec<ProcessHost>,
        leads: bool,
    ) {
        let now = self.now();
        let mut dropped = Vec::new();
        let mut state = self.state.borrow_mut();
        if state.address != report.address {
            state.address = report.address.clone();
            dropped.append(&mut state.idle);
        }
        state.detour = detour;
        if state.share != share {
            state.limit.set_most(connections_of(&share));
            let slots = state.limit.value();
            state.queue.set_slots(slots);
            state.share = share;
        }
        if report.state == TargetState::Draining {
            let grace = if leads { LEADER_GRACE } else { Micros::ZERO };
            let closes_at = state.closes_at.unwrap_or(now + grace);
            state.closes_at = Some(if leads { closes_at } else { closes_at.min(now) });
        } else {
            state.closes_at = None;
        }
        if state.is_closing(now) {
            dropped.append(&mut state.idle);
        }
        state.forget(dropped.len());
        drop(state);
        close_all(dropped);
        self.start_waiting();
    }

    /// Takes no new work any more.
    pub(crate) fn retire(&self) {
        let mut state = self.state.borrow_mut();
        state.closes_at = Some(Micros::ZERO);
        let dropped = std::mem::take(&mut state.idle);
        state.forget(dropped.len());
        drop(state);
        close_all(dropped);
    }

    /// Closes connections that nobody has used for long.
    pub(crate) fn close_unused(&self) {
        let now = self.now();
        let mut dropped = Vec::new();
        let mut state = self.state.borrow_mut();
        let mut idle = std::mem::take(&mut state.idle);
        // The one that was used last is at the end.
        let last = idle.pop();
        for pooled in idle {
            if now.since(pooled.used) < SPARE_LIFE {
                state.idle.push(pooled);
            } else {
                dropped.push(pooled);
            }
        }
        if let Some(last) = last {
            if now.since(last.used) < IDLE_LIFE {
                state.idle.push(last);
            } else {
                dropped.push(last);
            }
        }
        state.forget(dropped.len());
        drop(state);
        close_all(dropped);
    }

    /// Returns the health of the target.
    pub(crate) fn health(&self) -> TargetHealth {
        self.state.borrow().health
    }

    /// Returns the number of statements that run or wait, and how many may run.
    pub(crate) fn load(&self) -> (u32, u32) {
        let state = self.state.borrow();
        let count = state.queue.running() + state.queue.waiting();
        (u32::try_from(count).unwrap_or(u32::MAX), state.limit.value())
    }

    /// Returns how far the target's log had come, if that is known to be recent.
    pub(crate) fn recent_position(&self) -> Option<LogPosition> {
        let (position, learnt) = self.state.borrow().position?;
        (self.now().since(learnt) < POSITION_LIFE).then_some(position)
    }

    /// Returns whether a statement may be sent to the target now, by other entries too if `detour`.
    pub(crate) fn is_open(&self, detour: bool) -> bool {
        let state = self.state.borrow();
        let now = self.now();
        let refused = state.is_refused(now) && state.open == 0;
        !state.is_closing(now) && state.path(now, detour).is_some() && !refused
    }

    /// Returns whether this entry connects to the target itself.
    pub(crate) fn is_direct(&self) -> bool {
        matches!(self.state.borrow().share, ConnectionShare::Direct(_))
    }

    /// Waits for a connection and a slot.
    ///
    /// # Errors
    ///
    /// Returns why there is none; nothing was sent to the target on behalf of the session.
    pub(crate) async fn lease(
        self: &Rc<Self>,
        wish: &LeaseWish<'_>,
    ) -> Result<TargetLease<P>, LeaseFailure> {
        let slot = self.wait_for_slot(&wish.slot, SlotKind::Fresh { detour: wish.detour }).await?;
        if let Some(mut pooled) = self.take_idle(slot.ticket, wish.values) {
            let idle = self.now().since(pooled.used);
            if idle < wish.trusted_idle || self.is_alive(&mut pooled, wish).await {
                return Ok(TargetLease::new(pooled, slot));
            }
            self.put_back(PooledConnection::closed(self.protocol().clone()));
        }
        let pooled = self.connect(wish, slot.ticket).await?;
        Ok(TargetLease::new(pooled, slot))
    }

    /// Waits for a slot.
    pub(super) async fn wait_for_slot(
        self: &Rc<Self>,
        wish: &SlotWish<'_>,
        kind: SlotKind,
    ) -> Result<SlotHold<P>, LeaseFailure> {
        let now = self.now();
        let (hold, granted) = {
            let mut state = self.state.borrow_mut();
            if let SlotKind::Fresh { detour } = kind {
                if state.is_closing(now) {
                    return Err(LeaseFailure::new(FailureKind::Leaving));
                }
                if state.path(now, detour).is_none() {
                    return Err(LeaseFailure::new(FailureKind::Unreachable));
                }
                if state.is_refused(now) && state.open == 0 {
                    return Err(LeaseFailure::new(FailureKind::TargetRefused));
                }
            }
            let request = SlotRequest {
                application: wish.database.clone(),
                kind: wish.database.clone(),
                priority: wish.priority,
                deadline: wish.deadline,
                fingerprint: 0,
                hint: None,
                limit: None,
                continues: kind == SlotKind::Continued,
            };
            let ticket = state.queue.enqueue(request, now).map_err(refusal)?;
            let (sender, granted) = oneshot::channel();
            state.granted.insert(ticket, sender);
            (SlotHold::new(Rc::clone(self), ticket), granted)
        };
        self.start_waiting();
        let left = wish.deadline.since(now).as_duration();
        match timeout(left, granted).await {
            Ok(Ok(())) => Ok(hold),
            _ => Err(LeaseFailure::new(FailureKind::QueueTimeout)),
        }
    }

    /// Gives free slots to waiting requests.
    fn start_waiting(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        loop {
            let fresh = state.has_connection(now);
            let Some(start) = state.queue.start_next(now, fresh) else { break };
            let granted = state.granted.remove(&start.ticket);
            if granted.is_none_or(|sender| sender.send(()).is_err()) {
                state.queue.finish(start.ticket, None);
            } else if !start.continues {
                state.claims.insert(start.ticket);
            }
        }
        for ticket in state.queue.take_missed() {
            state.granted.remove(&ticket);
        }
    }

    /// Gives a slot back, or a place in the queue.
    pub(super) fn end_slot(&self, ticket: SlotTicket, ran: Option<Micros>) {
        let mut state = self.state.borrow_mut();
        state.granted.remove(&ticket);
        state.claims.remove(&ticket);
        if !state.queue.cancel(ticket) {
            state.queue.finish(ticket, ran);
        }
        drop(state);
        self.start_waiting();
    }

    fn take_idle(&self, ticket: SlotTicket, values: &SessionValues) -> Option<PooledConnection<P>> {
        let mut broken = Vec::new();
        let mut state = self.state.borrow_mut();
        let now = self.now();
        let found = loop {
            let fitting = state.idle.iter().rposition(|pooled| pooled.has_values(values));
            let place = fitting.or_else(|| state.idle.len().checked_sub(1));
            let Some(place) = place else { break None };
            let pooled = state.idle.remove(place);
            if now.since(pooled.used) < LOOK_AFTER || pooled.connection.is_usable() {
                break Some(pooled);
            }
            broken.push(pooled);
        };
        state.forget(broken.len());
        if found.is_some() {
            state.claims.remove(&ticket);
        }
        found
    }

    async fn is_alive(&self, pooled: &mut PooledConnection<P>, wish: &LeaseWish<'_>) -> bool {
        let left = wish.slot.deadline.since(self.now()).min(ALIVE_LIMIT);
        let verified = timeout(left.as_duration(), pooled.verify()).await;
        matches!(verified, Ok(Ok(())))
    }

    /// Opens a connection; it is kept for others if the session stops waiting for it.
    async fn connect(
        self: &Rc<Self>,
        wish: &LeaseWish<'_>,
        ticket: SlotTicket,
    ) -> Result<PooledConnection<P>, LeaseFailure> {
        {
            let mut state = self.state.borrow_mut();
            state.claims.remove(&ticket);
            state.open += 1;
        }
        let path = self.state.borrow().path(self.now(), wish.detour);
        if path == Some(TargetPath::Detour) {
            self.probe();
        }
        let (sender, opened) = oneshot::channel();
        let pool = Rc::clone(self);
        let plan = OpenPlan {
            database: wish.slot.database.clone(),
            priority: wish.slot.priority,
            transaction: wish.transaction,
        };
        tokio::task::spawn_local(async move {
            let result = match path {
                Some(TargetPath::Detour) => pool.open_detour(&plan).await,
                _ => pool.open_connection(&plan).await,
            };
            if let Err(Ok(unwanted)) = sender.send(result) {
                pool.put_back(unwanted);
            }
        });
        let left = wish.slot.deadline.since(self.now()).as_duration();
        match timeout(left, opened).await {
            Ok(Ok(result)) => result,
            _ => Err(LeaseFailure::new(FailureKind::QueueTimeout)),
        }
    }

    /// Opens a connection that is counted as open already.
    async fn open_connection(
        self: &Rc<Self>,
        plan: &OpenPlan,
    ) -> Result<PooledConnection<P>, LeaseFailure> {
        let begun = self.now();
        let (address, share) = {
            let state = self.state.borrow();
            (state.address.clone(), state.share.clone())
        };
        let opened = opening::open(&self.core, (&self.group, &self.target), &address, &share, plan);
        let opened = opened.await;
        let now = self.now();
        if opened.is_err() {
            self.state.borrow_mut().forget(1);
        }
        match opened {
            Ok(pooled) => {
                let change = self.state.borrow_mut().health.reached();
                self.report(change, now);
                Ok(pooled)
            }
            Err(OpenFailure::Unreachable(reason)) => {
                self.note_lost(begun, &reason);
                Err(LeaseFailure::new(FailureKind::Unreachable))
            }
            Err(OpenFailure::Refused(error)) => {
                self.state.borrow_mut().refused_until = now + REFUSED_WAIT;
                let pool = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    sleep(REFUSED_WAIT.as_duration()).await;
                    pool.start_waiting();
                });
                Err(LeaseFailure::new(error.failure()))
            }
            Err(OpenFailure::Relay(failure)) => Err(failure),
        }
    }

    /// Leases a connection of another entry that is counted as open already.
    async fn open_detour(&self, plan: &OpenPlan) -> Result<PooledConnection<P>, LeaseFailure> {
        let entries = self.state.borrow().detour.clone();
        let name = (&self.group, &self.target);
        let opened = self.core.relay.open(&self.core, &entries, name, plan, true).await;
        self.core.count("connections.detour");
        if opened.is_err() {
            let mut state = self.state.borrow_mut();
            state.forget(1);
            state.detour_closed_until = self.now() + DETOUR_PAUSE;
        }
        opened
    }

    /// Takes back the connection of a lease.
    pub(super) fn put_back(&self, pooled: PooledConnection<P>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let kept = !state.is_closing(now) && matches!(state.share, ConnectionShare::Direct(_));
        let mut dropped = Vec::new();
        if kept && !pooled.is_relayed() && pooled.is_reusable() {
            state.idle.push(pooled);
        } else {
            state.forget(1);
            dropped.push(pooled);
        }
        drop(state);
        close_all(dropped);
        self.start_waiting();
    }

    /// Learns from an answer.
    pub(super) fn note_answer(
        &self,
        took: Micros,
        answer: &StatementAnswer,
        relayed: bool,
        now: Micros,
    ) {
        let mut state = self.state.borrow_mut();
        let failed = matches!(answer.outcome, Err((TargetError::Failed, _)));
        let full = matches!(answer.outcome, Err((TargetError::Busy, _)));
        state.health.answered(took, failed);
        // An answer by another entry says nothing of this entry's own path.
        let change = if relayed { HealthChange::None } else { state.health.reached() };
        let latency = state.health.latency();
        state.limit.record(latency, full, now);
        let slots = state.limit.value();
        state.queue.set_slots(slots);
        if let Some(position) = answer.position {
            state.position = Some((position, now));
        }
        drop(state);
        self.report(change, now);
    }

    /// Learns that the target gave no answer.
    pub(crate) fn note_lost(&self, begun: Micros, reason: &str) {
        let now = self.now();
        let change = self.state.borrow_mut().health.failed(begun, now);
        if change == HealthChange::Lost {
            log::warn!(
                target: "event",
                event:display = EventNumber::TargetUnreachable,
                group:display = self.group,
                server:display = self.target,
                reason;
                ""
            );
        }
        self.report(change, begun);
    }

    fn report(&self, change: HealthChange, since: Micros) {
        if change == HealthChange::None {
            return;
        }
        if change == HealthChange::Regained {
            log::info!(
                target: "event",
                event:display = EventNumber::TargetReachable,
                group:display = self.group,
                server:display = self.target;
                ""
            );
        }
        let failing = (change == HealthChange::Lost).then_some(since);
        self.core.note_reach(&self.group, &self.target, failing);
    }

    /// Opens a first connection before anybody asks for one.
    ///
    /// A target that is asked by all entries at once gives each set-up a slot for 12 ms.
    pub(crate) fn warm_up(self: &Rc<Self>) {
        if self.state.borrow().open == 0 {
            self.probe();
        }
    }

    /// Tries a fresh connection, after an answer that is late or did not come.
    ///
    /// The connection may have gone silent, or the target may be gone without a word.
    pub(crate) fn probe(self: &Rc<Self>) {
        let now = self.now();
        if !self.is_direct()
            || !self.state.borrow().health.may_try(now)
            || std::mem::replace(&mut self.state.borrow_mut().probing, true)
        {
            return;
        }
        self.state.borrow_mut().open += 1;
        let pool = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let plan = OpenPlan { database: pool.group.clone(), priority: 0, transaction: false };
            let probed = pool.open_connection(&plan).await;
            pool.state.borrow_mut().probing = false;
            if let Ok(pooled) = probed {
                pool.put_back(pooled);
            }
        });
    }
}

const fn connections_of(share: &ConnectionShare) -> u32 {
    match share {
        ConnectionShare::Direct(connections) => *connections,
        ConnectionShare::Relayed(_) => RELAYED_CONNECTIONS,
    }
}

const fn refusal(refusal: QueueRefusal) -> LeaseFailure {
    match refusal {
        QueueRefusal::WouldMiss { retry_after } => {
            LeaseFailure { kind: FailureKind::Overloaded, retry_after }
        }
        QueueRefusal::DeadlinePassed => LeaseFailure::new(FailureKind::QueueTimeout),
    }
}

/// Closes connections without waiting for it.
fn close_all<P>(connections: Vec<PooledConnection<P>>)
where
    P: StatementProtocol,
{
    for pooled in connections {
        if pooled.connection.is_closed() {
            continue;
        }
        tokio::task::spawn_local(pooled.end());
    }
}
