//! Statements outside transactions.

use {
    super::{
        caller::{CallerSession, StatementRequest},
        outcome::{StatementResult, StatementTrace, position_text},
    },
    crate::{
        attempt::{
            AttemptResult, FailedAttempt, StatementBody, StatementFailure, attempt_result, run_body,
        },
        gateway::Gateway,
        pool::{ConnectionUser, LeaseOptions, TargetPool},
        read::{FreshnessProof, ReadCall, read_on},
    },
    banyansill_core::{
        directory::{ReadRule, RouteRule},
        event::EventNumber,
        failure::FailureKind,
        gateway::{
            AttemptEnd, NextStep, StatementEffect, TargetError, next_step, order_candidates,
        },
        names::SharedName,
        position::LogPosition,
        time::Micros,
    },
    banyansill_target::{StatementAccess, StatementProtocol},
    bytes::Bytes,
    std::{pin::pin, rc::Rc, time::Duration},
    tokio::{task::JoinHandle, time::timeout},
};

/// Longest idle time after which a connection is used for a write without a liveness check. On a broken path the
/// write's response is lost, which leaves its outcome unknown.
const WRITE_TRUSTED_IDLE: Micros = Micros::from_millis(1_500);

/// Delay before targets that lag or are full are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Minimum time without a response after which a read is sent to a second target.
const MIN_HEDGE_DELAY: Micros = Micros::from_millis(250);

/// Multiple of the average latency after which a read is sent to a second target.
const HEDGE_LATENCY_FACTOR: u64 = 6;

/// Part of a route's staleness limit that is reserved for sending the read to its target.
const AGE_MARGIN: Micros = Micros::from_millis(100);

/// Timeout for a primary that has to prove a read's freshness, after which replicas are tried again.
const PRIMARY_TIMEOUT: Micros = Micros::from_millis(150);

impl<P> CallerSession<P>
where
    P: StatementProtocol,
{
    pub(super) async fn run_single(
        &mut self,
        request: &StatementRequest,
        trace: &mut StatementTrace,
    ) -> StatementResult {
        match request.access {
            StatementAccess::Write => self.run_write(request, trace).await,
            StatementAccess::Read => {
                let result = self.run_read(request, trace).await;
                result.map_err(|failure| StatementFailure {
                    kind: StatementEffect::Read.failure(failure.kind),
                    ..failure
                })
            }
        }
    }

    /// Runs a write on the primary, at most once.
    async fn run_write(
        &mut self,
        request: &StatementRequest,
        trace: &mut StatementTrace,
    ) -> StatementResult {
        let mut refused = Vec::new();
        let mut last = StatementFailure::new(FailureKind::NoPrimary);
        loop {
            let table = self.gateway.table();
            let Some(pool) = self.gateway.writable_leader(&table, &request.route.group, &refused)
            else {
                refused.clear();
                let (deadline, RouteRule { group, priority, .. }) =
                    (request.deadline, &*request.route);
                let waited = self.gateway.wait_for_leader(group, deadline, *priority).await;
                waited.map_err(|retry_after| StatementFailure { retry_after, ..last.clone() })?;
                continue;
            };
            trace.attempts += 1;
            trace.target = Some(pool.target.clone());
            let sent_at = self.gateway.now();
            let failed = match self.try_write(&pool, request).await {
                Ok(answer) => {
                    return self.acknowledge(&request.route, &pool.target, sent_at, answer);
                }
                Err(failed) => failed,
            };
            match next_step(StatementEffect::Write, failed.end, false) {
                NextStep::GiveUp(kind) => {
                    return Err(StatementFailure { kind, ..failed.failure });
                }
                NextStep::Retry if failed.is_refusal() => return Err(failed.failure),
                NextStep::Retry => {
                    log_attempt(&request.id, &pool.target, None, &failed);
                    last = failed.failure;
                    if matches!(failed.end, AttemptEnd::Reported(TargetError::Busy)) {
                        if !self.gateway.pause(RETRY_DELAY, request.deadline).await {
                            return Err(last);
                        }
                    } else {
                        refused.push(pool.target.clone());
                    }
                }
            }
        }
    }

    async fn try_write(
        &self,
        pool: &Rc<TargetPool<P>>,
        request: &StatementRequest,
    ) -> AttemptResult {
        let prepare = match &request.body {
            StatementBody::Prepared { shape, .. } => Some(shape),
            StatementBody::Text(_) => None,
        };
        let lease_request = LeaseOptions {
            prepare,
            ..self.lease_request(
                &request.route,
                request.deadline,
                WRITE_TRUSTED_IDLE,
                (false, true),
            )
        };
        let mut lease = pool.lease(&lease_request).await.map_err(FailedAttempt::no_connection)?;
        let left = request.deadline.since(self.gateway.now()).as_duration();
        let aligned = timeout(left, lease.pooled.apply_values(&self.values)).await;
        if !matches!(aligned, Ok(Ok(()))) {
            return Err(FailedAttempt::new(AttemptEnd::NotSent, FailureKind::Unreachable));
        }
        let sent_at = self.gateway.now();
        let left = request.deadline.since(sent_at).as_duration();
        let mut sent = false;
        let running = run_body(&mut lease, &request.id, &request.body, None, &mut sent);
        let result = timeout(left, running).await;
        match result {
            Ok(result) => attempt_result(result),
            Err(_) => {
                lease.clean_up();
                Err(FailedAttempt::timed_out(sent))
            }
        }
    }

    async fn run_read(
        &mut self,
        request: &StatementRequest,
        trace: &mut StatementTrace,
    ) -> StatementResult {
        loop {
            let floor = self.wait_for_read_floor(&request.route, request.deadline).await;
            let mut order = match floor {
                Some(_) => self.read_order(&request.route, floor, true),
                None => Vec::new(),
            };
            trace.floor = floor;
            while let Some(floor) = floor.filter(|_| !order.is_empty()) {
                let pool = order.remove(0);
                trace.attempts += 1;
                trace.target = Some(pool.target.clone());
                let second = order.first().cloned();
                let call = self.read_call(request, FreshnessProof::Position(floor));
                let attempt = self.read_hedged(&pool, second, call, trace).await;
                let failed = match attempt {
                    Ok(answer) => return Ok(answer),
                    Err(failed) => failed,
                };
                let retry_allowed = self.gateway.take_retry_for(failed.end);
                match next_step(StatementEffect::Read, failed.end, retry_allowed) {
                    NextStep::GiveUp(kind) => {
                        return Err(StatementFailure { kind, ..failed.failure });
                    }
                    // The pool logs refusals of its queue.
                    NextStep::Retry if failed.is_refusal() => {}
                    NextStep::Retry => {
                        log_attempt(&request.id, &pool.target, Some(floor), &failed);
                    }
                }
                if self.gateway.now() >= request.deadline {
                    return Err(failed.failure);
                }
            }
            // Without a known floor, or if no target has reached it, only the primary can prove that its
            // response is complete.
            let latest = request.route.reads == ReadRule::Latest;
            let primary_only = latest || floor.is_some();
            let queue_deadline = if primary_only {
                request.deadline
            } else {
                request.deadline.min(self.gateway.now() + PRIMARY_TIMEOUT)
            };
            let failed = match self.read_at_primary(request, queue_deadline, trace).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            if let NextStep::GiveUp(kind) = next_step(StatementEffect::Read, failed.end, true) {
                return Err(StatementFailure { kind, ..failed.failure });
            }
            // The primary's queue is too long for the remaining time, and no replica is fresh enough.
            if failed.is_refusal() && (primary_only || self.gateway.now() >= request.deadline) {
                return Err(failed.failure);
            }
            if !self.gateway.pause(RETRY_DELAY, request.deadline).await {
                return Err(failed.failure);
            }
        }
    }

    /// Returns the position that a read of a route requires; waits for a freshness mark if none is known yet.
    pub(super) async fn wait_for_read_floor(
        &self,
        route: &RouteRule,
        deadline: Micros,
    ) -> Option<LogPosition> {
        let floor = self.read_floor(route);
        if floor.is_some() || route.reads == ReadRule::Latest {
            return floor;
        }
        self.gateway.wait_for_mark(&route.group, deadline).await;
        self.read_floor(route)
    }

    /// Returns the position that a read of a route requires, or `None` if only the primary can prove freshness.
    pub(super) fn read_floor(&self, route: &RouteRule) -> Option<LogPosition> {
        let max_age = match route.reads {
            ReadRule::Latest => return None,
            ReadRule::Bounded { max_age } | ReadRule::Session { max_age } => max_age,
        };
        let freshness = self.gateway.core.freshness(&route.group);
        let mark = freshness.floor(self.gateway.now(), max_age.since(AGE_MARGIN))?;
        match route.reads {
            ReadRule::Session { .. } => Some(self.floor.map_or(mark, |own| own.max(mark))),
            _ => Some(mark),
        }
    }

    /// Returns the pools that may serve a read, the best one first; with `probe`, one that was left out may be tried
    /// again.
    pub(super) fn read_order(
        &self,
        route: &RouteRule,
        floor: Option<LogPosition>,
        probe: bool,
    ) -> Vec<Rc<TargetPool<P>>> {
        let table = self.gateway.table();
        let Some(group) = table.groups.get(&route.group) else { return Vec::new() };
        let (pools, mut candidates) = self.gateway.read_candidates(&table, group);
        candidates.retain(|candidate| candidate.reachable && !candidate.lacks(floor));
        order_candidates(&mut candidates, floor);
        self.gateway.apply_outliers(&route.group, &pools, &mut candidates, probe);
        candidates.iter().map(|candidate| Rc::clone(&pools[candidate.index])).collect()
    }

    /// Sends a read to one target, and a second time if the response takes unusually long: to `second`, or else to the
    /// same target, which may hang in part of its requests only.
    ///
    /// Designed for targets that lose or hang in some reads while they have room; a full target is sent no second read.
    async fn read_hedged(
        &self,
        pool: &Rc<TargetPool<P>>,
        second: Option<Rc<TargetPool<P>>>,
        call: ReadCall,
        trace: &mut StatementTrace,
    ) -> AttemptResult {
        let mut first = self.spawn_read(pool, call.clone());
        let hedge_delay =
            Micros(pool.health().latency().0 * HEDGE_LATENCY_FACTOR).max(MIN_HEDGE_DELAY);
        let left = call.deadline.since(self.gateway.now());
        if left <= hedge_delay {
            return join_result(first.await);
        }
        if let Ok(result) = timeout(hedge_delay.as_duration(), &mut first).await {
            return join_result(result);
        }
        for target in second.iter().chain([pool]) {
            let (in_flight, capacity) = target.load();
            if in_flight >= capacity || !target.is_available(false) || !self.gateway.try_retry() {
                continue;
            }
            trace.hedged = true;
            trace.attempts += 1;
            self.gateway.core.count("reads.hedged");
            log::info!(
            target: "request",
            event:display = EventNumber::ReadHedged,
            request:display = String::from_utf8_lossy(&call.id),
            silent:display = pool.target,
            server:display = target.target,
            after_us = hedge_delay.0;
            ""
            );
            // The slower attempt runs to its end in its own task and frees its connection.
            let mut other = self.spawn_read(target, call.clone());
            tokio::select! {
            result = &mut first => {
            let answered = join_result(result);
            if answered.is_ok() {
            return answered;
            }
            trace.target = Some(target.target.clone());
            return join_result(other.await);
            }
            result = &mut other => {
            let answered = join_result(result);
            if answered.is_ok() {
            trace.target = Some(target.target.clone());
            return answered;
            }
            }
            }
        }
        join_result(first.await)
    }

    /// Starts a read in its own task, which runs to its end even if its result is no longer awaited.
    ///
    /// A target that is silent for too long is recorded before the read ends, which may be only at its deadline.
    fn spawn_read(&self, pool: &Rc<TargetPool<P>>, call: ReadCall) -> JoinHandle<AttemptResult> {
        let pool = Rc::clone(pool);
        let gateway = Rc::clone(&self.gateway);
        tokio::task::spawn_local(async move {
            let begun = gateway.now();
            let limit = gateway.silence_limit(&pool).min(call.deadline.since(begun));
            let mut reading = pin!(read_on(&pool, &call));
            let Ok(result) = timeout(limit.as_duration(), &mut reading).await else {
                gateway.record_read_outcome(&pool, None);
                return reading.await;
            };
            gateway.record_read(&pool, &result, gateway.now().since(begun));
            result
        })
    }

    fn read_call(&self, request: &StatementRequest, proof: FreshnessProof) -> ReadCall {
        ReadCall {
            id: request.id.clone(),
            body: request.body.clone(),
            values: self.values.clone(),
            proof,
            database: self.database.clone(),
            team: self.team.clone(),
            priority: request.route.priority,
            queue_deadline: request.deadline,
            deadline: request.deadline,
            detour: proof == FreshnessProof::Primary,
            user: ConnectionUser::Session,
        }
    }

    /// Runs a read on the primary inside a transaction, which a server refuses to begin once it is no longer the
    /// primary; `queue_deadline` is the time until which the read may wait for a connection and a slot.
    async fn read_at_primary(
        &self,
        request: &StatementRequest,
        queue_deadline: Micros,
        trace: &mut StatementTrace,
    ) -> AttemptResult {
        let mut call = self.read_call(request, FreshnessProof::Primary);
        call.queue_deadline = queue_deadline;
        let mut refused: Vec<SharedName> = Vec::new();
        let latest = request.route.reads == ReadRule::Latest;
        let primary_deadline = if latest {
            request.deadline
        } else {
            request.deadline.min(self.gateway.now() + PRIMARY_TIMEOUT)
        };
        let mut last = FailedAttempt::new(AttemptEnd::NotSent, FailureKind::NoPrimary);
        loop {
            let table = self.gateway.table();
            let Some(pool) = self.gateway.leader(&table, &request.route.group, &refused) else {
                refused.clear();
                let RouteRule { group, priority, .. } = &*request.route;
                let waited = self.gateway.wait_for_leader(group, primary_deadline, *priority).await;
                if let Err(retry_after) = waited {
                    last.failure.retry_after = retry_after;
                    return Err(last);
                }
                continue;
            };
            trace.attempts += 1;
            trace.target = Some(pool.target.clone());
            trace.floor = None;
            last = match self.read_hedged(&pool, None, call.clone(), trace).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            if !last.is_refusal() {
                log_attempt(&request.id, &pool.target, None, &last);
            }
            let retry_allowed = self.gateway.take_retry_for(last.end);
            let step = next_step(StatementEffect::Read, last.end, retry_allowed);
            if last.is_refusal() || matches!(step, NextStep::GiveUp(_)) {
                return Err(last);
            }
            if matches!(last.end, AttemptEnd::Reported(TargetError::Busy)) {
                if !self.gateway.pause(RETRY_DELAY, request.deadline).await {
                    return Err(last);
                }
            } else {
                refused.push(pool.target.clone());
            }
        }
    }
}

impl<P> Gateway<P>
where
    P: StatementProtocol,
{
    /// Returns whether a retry after an attempt is allowed; a retry after a refusal does not use the budget.
    fn take_retry_for(&self, end: AttemptEnd) -> bool {
        match end {
            AttemptEnd::NotSent => true,
            AttemptEnd::Reported(
                TargetError::Failed | TargetError::TimedOut | TargetError::InDoubt,
            )
            | AttemptEnd::Lost => self.try_retry(),
            AttemptEnd::Reported(_) => true,
        }
    }
}

/// Returns the result of a read's task; a task that ended without one counts as a lost attempt.
fn join_result(result: Result<AttemptResult, tokio::task::JoinError>) -> AttemptResult {
    result
        .unwrap_or_else(|_| Err(FailedAttempt::new(AttemptEnd::Lost, FailureKind::ConnectionLost)))
}

fn log_attempt(
    id: &Bytes,
    target: &SharedName,
    floor: Option<LogPosition>,
    failed: &FailedAttempt,
) {
    log::info!(
    target: "request",
    event:display = EventNumber::AttemptFailed,
    request:display = String::from_utf8_lossy(id),
    server:display = target,
    reason = failed.failure.kind.name(),
    sent = failed.end != AttemptEnd::NotSent,
    floor:display = position_text(floor),
    position:display = position_text(failed.position);
    ""
    );
}
