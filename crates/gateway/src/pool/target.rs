//! Pool of the connections to one target.

use {
    super::{
        connection::{PooledConnection, SessionValues},
        lease::TargetLease,
        opening::DETOUR_PAUSE,
        slot::{SlotHold, SlotKind, SlotWish},
        state::{PoolState, TargetPath, connections_of},
    },
    crate::{
        attempt::{AttemptResult, FailedAttempt, attempt_result},
        gateway::GatewayCore,
        read::{FreshnessProof, ReadCall},
        relay::RelayList,
    },
    banyansill_core::{
        collections::{FastMap, FastSet},
        directory::{ProcessHost, TargetReport, TargetState},
        event::EventNumber,
        failure::FailureKind,
        gateway::{
            AdaptiveLimit, AttemptEnd, ConnectionShare, HealthChange, TargetError, TargetHealth,
        },
        names::SharedName,
        position::LogPosition,
        queue::{QueueRefusal, QueueSettings, SlotQueue, SlotRequest, SlotTicket},
        time::Micros,
    },
    banyansill_target::{StatementAnswer, StatementProtocol},
    std::{cell::RefCell, rc::Rc},
    tokio::{sync::oneshot, time::timeout},
};

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

/// Longest wait for a sign of life of an idle connection; regions are 20 ms apart.
pub(super) const ALIVE_LIMIT: Micros = Micros::from_millis(250);

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

/// Connections to one target and the requests that wait for them.
#[derive(Debug)]
pub(crate) struct TargetPool<P>
where
    P: StatementProtocol,
{
    pub(super) core: Rc<GatewayCore<P>>,
    /// Group of the target.
    pub(crate) group: SharedName,
    /// Name of the target.
    pub(crate) target: SharedName,
    pub(super) state: RefCell<PoolState<P>>,
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
            queue: SlotQueue::new(QueueSettings::new(connections)),
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
            leads,
            heard: core.clock.now(),
            detour: Vec::new(),
            detour_closed_until: Micros::ZERO,
            detoured: 0,
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
        if leads && !std::mem::replace(&mut state.leads, leads) {
            state.heard = now;
        }
        state.leads = leads;
        if state.share != share {
            state.limit.set_max(connections_of(&share));
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
        for _ in &dropped {
            self.core.count("connections.ended.unused");
        }
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
        !state.is_closing(now) && state.path(now, detour).is_some()
    }

    /// Returns the entries through which a read reaches the target, or `None` if this one is connected itself.
    pub(crate) fn lenders(&self, detour: bool) -> Option<RelayList> {
        let state = self.state.borrow();
        match (state.path(self.now(), detour)?, &state.share) {
            (TargetPath::Detour, _) => {
                Some(RelayList { entries: state.detour.clone(), detour: true })
            }
            (TargetPath::Usual, ConnectionShare::Relayed(entries)) => {
                Some(RelayList { entries: entries.clone(), detour: false })
            }
            (TargetPath::Usual, ConnectionShare::Direct(_)) => None,
        }
    }

    /// Runs a read on a connection of another entry.
    pub(crate) async fn read_through(
        self: &Rc<Self>,
        lenders: &RelayList,
        call: &ReadCall,
    ) -> AttemptResult {
        let kind = SlotKind::Fresh { detour: lenders.detour };
        let mut hold =
            self.wait_for_slot(&call.slot(), kind).await.map_err(FailedAttempt::no_connection)?;
        if lenders.detour {
            self.probe();
            self.core.count("reads.detour");
        }
        let asked = self.now();
        hold.asked = Some(asked);
        let left = call.deadline.since(asked).as_duration();
        let reading = self.core.relay.read(&self.core, lenders, (&self.group, &self.target), call);
        let Ok(result) = timeout(left, reading).await else {
            return Err(FailedAttempt::new(AttemptEnd::Lost, FailureKind::RunTimeout));
        };
        if let Err(failed) = &result
            && lenders.detour
            && failed.end == AttemptEnd::NotSent
        {
            self.state.borrow_mut().detour_closed_until = self.now() + DETOUR_PAUSE;
        }
        let answer = result?;
        let now = self.now();
        self.note_answer(now.since(asked), &answer, true, now);
        hold.note_answer(now.since(asked));
        let answer = attempt_result(Ok(answer))?;
        if call.proof == FreshnessProof::Primary {
            self.note_lead(asked, answer.position);
        }
        Ok(answer)
    }

    /// Returns this entry's share of the target's connections.
    pub(crate) fn share(&self) -> ConnectionShare {
        self.state.borrow().share.clone()
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
                    let failing = state.health.is_failing();
                    return Err(LeaseFailure::new(if failing {
                        FailureKind::Unreachable
                    } else {
                        FailureKind::TargetRefused
                    }));
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
                continues_transaction: kind == SlotKind::Continued,
            };
            let ticket = match state.queue.enqueue(request, now) {
                Ok(ticket) => ticket,
                Err(refused) => {
                    let failure = refusal(refused);
                    drop(state);
                    self.log_refusal(wish, &failure, now);
                    return Err(failure);
                }
            };
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

    fn log_refusal(&self, wish: &SlotWish<'_>, failure: &LeaseFailure, now: Micros) {
        let state = self.state.borrow();
        log::info!(
            target: "request",
            event:display = EventNumber::SlotRefused,
            request:display = String::from_utf8_lossy(wish.request),
            group:display = self.group,
            server:display = self.target,
            database:display = wish.database,
            priority = wish.priority,
            outcome = failure.kind.name(),
            running = state.queue.running(),
            waiting = state.queue.waiting(),
            slots = state.limit.value(),
            latency_us = state.health.latency().0,
            left_us = wish.deadline.since(now).0,
            retry_after_us = failure.retry_after.0;
            ""
        );
    }

    /// Gives free slots to waiting requests.
    pub(super) fn start_waiting(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        loop {
            let fresh = state.has_connection(now);
            let Some(start) = state.queue.start_next(now, fresh) else { break };
            let granted = state.granted.remove(&start.ticket);
            if granted.is_none_or(|sender| sender.send(()).is_err()) {
                state.queue.finish(start.ticket, None);
            } else if !start.continues_transaction {
                state.claims.insert(start.ticket);
            }
        }
        for ticket in state.queue.take_missed() {
            state.granted.remove(&ticket);
        }
    }

    /// Gives a slot back, or a place in the queue; `asked` tells since when an answer is outstanding.
    pub(super) fn end_slot(&self, ticket: SlotTicket, ran: Option<Micros>, asked: Option<Micros>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.granted.remove(&ticket);
        state.claims.remove(&ticket);
        if !state.queue.cancel(ticket) {
            match asked {
                Some(asked) => state.queue.finish_unanswered(ticket, now.since(asked)),
                None => state.queue.finish(ticket, ran),
            }
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
            if pooled.is_relayed() {
                state.detoured = state.detoured.saturating_sub(1);
            }
            if kept {
                self.core.count(pooled.end_metric());
            }
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
        state.health.record_response(took, failed);
        // An answer by another entry says nothing of this entry's own path.
        let change = if relayed { HealthChange::None } else { state.reached(now) };
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

    /// Learns the position of a target that led at `asked` or later.
    pub(crate) fn note_lead(&self, asked: Micros, position: Option<LogPosition>) {
        self.core.freshness(&self.group).record(asked, position);
    }

    /// Learns that the target gave no answer.
    pub(crate) fn note_lost(&self, begun: Micros, reason: &str) {
        let now = self.now();
        let change = self.state.borrow_mut().health.record_failure(begun, now);
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

    pub(super) fn report(&self, change: HealthChange, since: Micros) {
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
}

const fn refusal(refusal: QueueRefusal) -> LeaseFailure {
    match refusal {
        QueueRefusal::WouldMissDeadline { retry_after } => {
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
