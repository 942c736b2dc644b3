//! Pool of connections to one target.

use {
    super::{
        connection::{PooledConnection, PreparedShape, SessionValues},
        lease::TargetLease,
        slot::{SlotGuard, SlotKind, SlotOptions},
        start::TransactionStart,
        state::{PoolState, TargetPaths, max_connections},
    },
    crate::gateway::GatewayCore,
    banyansill_core::{
        collections::{FastMap, FastSet},
        directory::{TargetReport, TargetState},
        event::EventNumber,
        failure::FailureKind,
        gateway::{AdaptiveLimit, ConnectAdmission, HealthChange, TargetError, TargetHealth},
        names::SharedName,
        position::LogPosition,
        queue::{QueueRefusal, QueueSettings, SlotQueue, SlotRequest, SlotTicket},
        time::Micros,
    },
    banyansill_target::{StatementAnswer, StatementProtocol},
    std::{cell::RefCell, rc::Rc},
    tokio::{
        sync::{Notify, oneshot},
        time::timeout,
    },
};

/// Time for which a reported position counts as recent; replicas apply changes within milliseconds.
const POSITION_TTL: Micros = Micros::from_millis(100);

/// Time for which a draining primary is used while another one is promoted; a promotion takes about 1 s, and a
/// draining target must get no new work after 7 s.
const DRAINING_PRIMARY_GRACE: Micros = Micros::from_secs(4);

/// Timeout of the check of an idle connection; regions are 20 ms apart.
pub(super) const VERIFY_TIMEOUT: Micros = Micros::from_millis(250);

/// Options of a lease of a connection.
#[derive(Debug)]
pub(crate) struct LeaseOptions<'a> {
    /// Options of the slot for the first statement.
    pub(crate) slot: SlotOptions<'a>,
    /// Preferred session values of the connection; setting others costs a round trip.
    pub(crate) values: &'a SessionValues,
    /// Statement that the session runs prepared.
    pub(crate) prepare: Option<&'a PreparedShape>,
    /// Transaction that the session begins.
    pub(crate) begin: Option<TransactionStart>,
    /// Maximum idle time of a connection that is used without checking it first.
    pub(crate) trusted_idle: Micros,
    /// Whether the connection is for a transaction, which acquires a slot for each statement.
    pub(crate) transaction: bool,
    /// Whether a connection of another entry may be used if this one cannot reach the target.
    pub(crate) detour: bool,
    pub(crate) user: ConnectionUser,
}

/// Who uses a leased connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionUser {
    /// A session of this entry.
    Session,
    /// A session of another entry, which sends the work of a team to the holder of its connections.
    Peer,
    /// This entry itself; its statements run on the connection of any team.
    Entry,
}

/// Reason why no connection or slot was leased; no statement was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeaseFailure {
    /// Kind of the failure.
    pub(crate) kind: FailureKind,
    /// Time after which a retry may succeed; zero selects the default of the kind.
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
    /// Notifies a request without a connection that one was returned or closed.
    pub(super) returned: Notify,
}

impl<P> TargetPool<P>
where
    P: StatementProtocol,
{
    pub(crate) fn new(
        core: Rc<GatewayCore<P>>,
        report: &TargetReport,
        paths: TargetPaths,
        is_primary: bool,
    ) -> Rc<Self> {
        let share = &paths.share;
        let connections = max_connections(share);
        let state = PoolState {
            queue: SlotQueue::new(QueueSettings::shared(connections)),
            granted: FastMap::default(),
            reservations: FastSet::default(),
            idle: Vec::new(),
            open: 0,
            relayed: 0,
            limit: AdaptiveLimit::new(connections),
            health: TargetHealth::default(),
            position: None,
            share: share.clone(),
            team_relays: Vec::new(),
            holders: FastMap::default(),
            address: report.address.clone(),
            closes_at: None,
            opening: 0,
            admission: ConnectAdmission::default(),
            probing: false,
            is_primary,
            last_contact: core.clock.now(),
            detour: Vec::new(),
            detour_backoff_until: Micros::ZERO,
        };
        let (group, target) = (report.group.clone(), report.target.clone());
        let pool = Rc::new(Self {
            core,
            group,
            target,
            state: RefCell::new(state),
            returned: Notify::new(),
        });
        pool.update(report, paths, is_primary);
        pool
    }

    pub(crate) fn now(&self) -> Micros {
        self.core.clock.now()
    }

    pub(crate) fn protocol(&self) -> &P {
        &self.core.protocol
    }

    /// Applies the target's record in the directory.
    ///
    /// A draining primary stays in use for a limited time, until another one is promoted.
    pub(crate) fn update(&self, report: &TargetReport, paths: TargetPaths, is_primary: bool) {
        let TargetPaths { share, team_relays, detour } = paths;
        let now = self.now();
        let mut dropped = Vec::new();
        let mut state = self.state.borrow_mut();
        if state.address != report.address {
            state.address = report.address.clone();
            dropped.append(&mut state.idle);
        }
        state.detour = detour;
        if state.team_relays != team_relays {
            state.team_relays = team_relays;
            state.holders.clear();
        }
        if is_primary && !std::mem::replace(&mut state.is_primary, is_primary) {
            state.last_contact = now;
        }
        state.is_primary = is_primary;
        if state.share != share {
            state.limit.set_max(max_connections(&share));
            let slots = state.limit.value();
            state.queue.set_slots(slots);
            state.share = share;
        }
        if report.state == TargetState::Draining {
            let grace = if is_primary { DRAINING_PRIMARY_GRACE } else { Micros::ZERO };
            let closes_at = state.closes_at.unwrap_or(now + grace);
            state.closes_at = Some(if is_primary { closes_at } else { closes_at.min(now) });
        } else {
            state.closes_at = None;
        }
        if state.is_closing(now) {
            dropped.append(&mut state.idle);
        }
        state.record_closed(dropped.len());
        drop(state);
        close_all(dropped);
        self.grant_slots();
    }

    /// Stops accepting new work and closes the idle connections.
    pub(crate) fn retire(&self) {
        let mut state = self.state.borrow_mut();
        state.closes_at = Some(Micros::ZERO);
        let dropped = std::mem::take(&mut state.idle);
        state.record_closed(dropped.len());
        drop(state);
        close_all(dropped);
    }

    /// Returns the health of the target.
    pub(crate) fn health(&self) -> TargetHealth {
        self.state.borrow().health
    }

    /// Returns the number of running and waiting statements, and the maximum number of running ones.
    pub(crate) fn load(&self) -> (u32, u32) {
        let state = self.state.borrow();
        let count = state.queue.running() + state.queue.waiting();
        (u32::try_from(count).unwrap_or(u32::MAX), state.limit.value())
    }

    /// Returns the last known position of the target's log, unless it is outdated.
    pub(crate) fn recent_position(&self) -> Option<LogPosition> {
        let (position, recorded_at) = self.state.borrow().position?;
        (self.now().since(recorded_at) < POSITION_TTL).then_some(position)
    }

    /// Returns whether a statement may be sent to the target now; with `detour`, possibly through other entries.
    pub(crate) fn is_available(&self, detour: bool) -> bool {
        let state = self.state.borrow();
        let now = self.now();
        !state.is_closing(now) && state.path(now, detour).is_some()
    }

    /// Waits for a slot and a connection.
    ///
    /// # Errors
    ///
    /// Returns why none was leased; nothing was sent to the target on behalf of the session.
    pub(crate) async fn lease(
        self: &Rc<Self>,
        options: &LeaseOptions<'_>,
    ) -> Result<TargetLease<P>, LeaseFailure> {
        loop {
            let kind = SlotKind::Fresh { detour: options.detour };
            let slot = self.wait_for_slot(&options.slot, kind).await?;
            if let Some(mut pooled) = self.take_idle(slot.ticket, options) {
                let idle = self.now().since(pooled.last_used);
                let is_trusted = idle < options.trusted_idle && !pooled.is_full();
                if is_trusted || self.is_alive(&mut pooled, options).await {
                    return Ok(TargetLease::new(pooled, slot));
                }
                self.put_back(PooledConnection::closed(self.protocol().clone()));
            }
            let Some(path) = self.connect_path(options, slot.ticket) else {
                // Connections in use may belong to transactions whose next statements need the slot.
                drop(slot);
                self.wait_for_return(options.slot.deadline).await?;
                continue;
            };
            let pooled = self.connect(options, path).await?;
            return Ok(TargetLease::new(pooled, slot));
        }
    }

    /// Waits until a connection is returned to the pool, because all of them are in use, or until the target may
    /// accept another one.
    async fn wait_for_return(&self, deadline: Micros) -> Result<(), LeaseFailure> {
        let now = self.now();
        let refused_until = self.state.borrow().admission.refused_until();
        let until = if refused_until > now { deadline.min(refused_until) } else { deadline };
        let returned = timeout(until.since(now).as_duration(), self.returned.notified()).await;
        if returned.is_err() && until == deadline {
            return Err(LeaseFailure::new(FailureKind::QueueTimeout));
        }
        Ok(())
    }

    /// Waits for a slot until the deadline in `options`.
    pub(super) async fn wait_for_slot(
        self: &Rc<Self>,
        options: &SlotOptions<'_>,
        kind: SlotKind,
    ) -> Result<SlotGuard<P>, LeaseFailure> {
        let now = self.now();
        let (guard, granted) = {
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
            let application = if options.team.is_empty() { options.database } else { options.team };
            let request = SlotRequest {
                application: application.clone(),
                kind: options.database.clone(),
                priority: options.priority,
                deadline: options.deadline,
                fingerprint: 0,
                hint: None,
                limit: None,
                continues_transaction: kind == SlotKind::Continued,
            };
            let ticket = match state.queue.enqueue(request, now) {
                Ok(ticket) => ticket,
                Err(refused) => {
                    let failure = lease_failure(refused);
                    drop(state);
                    self.log_refusal(options, &failure, now);
                    return Err(failure);
                }
            };
            let (sender, granted) = oneshot::channel();
            state.granted.insert(ticket, sender);
            (SlotGuard::new(Rc::clone(self), ticket), granted)
        };
        self.grant_slots();
        self.wait_for_grant(options, guard, granted).await
    }

    /// Waits for the grant of a slot; gives up as soon as the queue is not expected to grant it in time.
    async fn wait_for_grant(
        &self,
        options: &SlotOptions<'_>,
        guard: SlotGuard<P>,
        mut granted: oneshot::Receiver<()>,
    ) -> Result<SlotGuard<P>, LeaseFailure> {
        loop {
            let now = self.now();
            let checked = self.state.borrow_mut().queue.recheck(guard.ticket, now);
            let check_at = match checked {
                Ok(check_at) => check_at.min(options.deadline),
                Err(refused) => {
                    let failure = lease_failure(refused);
                    self.log_refusal(options, &failure, now);
                    return Err(failure);
                }
            };
            match timeout(check_at.since(now).as_duration(), &mut granted).await {
                Ok(Ok(())) => return Ok(guard),
                Ok(Err(_)) => return Err(LeaseFailure::new(FailureKind::QueueTimeout)),
                Err(_) if self.now() >= options.deadline => {
                    return Err(LeaseFailure::new(FailureKind::QueueTimeout));
                }
                Err(_) => {}
            }
        }
    }

    fn log_refusal(&self, options: &SlotOptions<'_>, failure: &LeaseFailure, now: Micros) {
        let state = self.state.borrow();
        log::info!(
        target: "request",
        event:display = EventNumber::SlotRefused,
        request:display = String::from_utf8_lossy(options.request),
        group:display = self.group,
        server:display = self.target,
        database:display = options.database,
        team:display = options.team,
        priority = options.priority,
        outcome = failure.kind.name(),
        running = state.queue.running(),
        waiting = state.queue.waiting(),
        slots = state.limit.value(),
        latency_us = state.health.latency().0,
        left_us = options.deadline.since(now).0,
        retry_after_us = failure.retry_after.0;
        ""
        );
    }

    /// Grants free slots to waiting requests.
    pub(super) fn grant_slots(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        loop {
            let fresh = state.has_available_connection(now);
            let Some(start) = state.queue.start_next(now, fresh) else { break };
            let granted = state.granted.remove(&start.ticket);
            if granted.is_none_or(|sender| sender.send(()).is_err()) {
                state.queue.finish(start.ticket, None);
            } else if !start.continues_transaction {
                state.reservations.insert(start.ticket);
            }
        }
        for ticket in state.queue.take_missed() {
            state.granted.remove(&ticket);
        }
    }

    /// Releases a slot or a place in the queue.
    ///
    /// `ran` is the response time of an answered statement, `sent` the time at which an unanswered one was sent.
    pub(super) fn end_slot(&self, ticket: SlotTicket, ran: Option<Micros>, sent: Option<Micros>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.granted.remove(&ticket);
        state.reservations.remove(&ticket);
        if !state.queue.cancel(ticket) {
            match sent {
                Some(sent) => state.queue.finish_unanswered(ticket, now.since(sent)),
                None => state.queue.finish(ticket, ran),
            }
        }
        drop(state);
        self.grant_slots();
    }

    /// Records the response time, result and log position of an answer.
    pub(super) fn record_answer(
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
        // An answer through another entry does not prove that this entry can reach the target.
        let change = if relayed { HealthChange::None } else { state.record_contact(now) };
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

    /// Records the position of a target that was the primary at `sent_at` or later.
    pub(crate) fn record_primary_position(&self, sent_at: Micros, position: Option<LogPosition>) {
        self.core.freshness(&self.group).record(sent_at, position);
    }

    /// Records that the target did not answer a request sent at `begun`.
    pub(crate) fn record_failure(&self, begun: Micros, reason: &str) {
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
        self.core.report_reachability(&self.group, &self.target, failing);
    }
}

const fn lease_failure(refusal: QueueRefusal) -> LeaseFailure {
    match refusal {
        QueueRefusal::WouldMissDeadline { retry_after } => {
            LeaseFailure { kind: FailureKind::Overloaded, retry_after }
        }
        QueueRefusal::DeadlinePassed => LeaseFailure::new(FailureKind::QueueTimeout),
    }
}

/// Closes connections in background tasks.
pub(super) fn close_all<P>(connections: Vec<PooledConnection<P>>)
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
