//! Statements outside transactions.

use {
    super::{
        caller::{CallerSession, StatementRequest},
        outcome::{StatementResult, StatementTrace, position_text},
    },
    crate::{
        attempt::{AttemptResult, FailedAttempt, StatementFailure, judge, run_body},
        gateway::Gateway,
        pool::TargetPool,
        read::{ReadCall, ReadProof, read_at},
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
    std::{rc::Rc, time::Duration},
    tokio::{task::JoinHandle, time::timeout},
};

/// Idle time up to which a connection is used for a write without a sign of life. A silent path loses
/// the write's answer, which leaves its outcome unknown.
const WRITE_TRUSTED_IDLE: Micros = Micros::from_millis(1_500);

/// Wait before targets that lag or are full are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Least time without an answer after which a read is sent to a second target.
const HEDGE_MINIMUM: Micros = Micros::from_millis(250);

/// Multiple of the average latency after which a read is sent to a second target.
const HEDGE_FACTOR: u64 = 6;

/// Part of the age limit that is left for the way of a read to its target.
const AGE_RESERVE: Micros = Micros::from_millis(100);

/// Longest wait for a primary that has to prove a read's freshness before replicas are tried again.
const LEADER_PATIENCE: Micros = Micros::from_millis(150);

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
            StatementAccess::Read => self.run_read(request, trace).await,
        }
    }

    /// Runs a write at the primary, at most once.
    async fn run_write(
        &mut self,
        request: &StatementRequest,
        trace: &mut StatementTrace,
    ) -> StatementResult {
        let mut refused = Vec::new();
        let mut last = StatementFailure::new(FailureKind::NoPrimary);
        loop {
            let table = self.gateway.table();
            let Some(pool) = self.gateway.leader(&table, &request.route.group, &refused) else {
                refused.clear();
                if !self.gateway.wait_for_leader(request.deadline).await {
                    return Err(last);
                }
                continue;
            };
            trace.attempts += 1;
            trace.target = Some(pool.target.clone());
            let asked = self.gateway.now();
            let failed = match self.try_write(&pool, request).await {
                Ok(answer) => {
                    self.note_commit(&request.route, true, asked, &answer);
                    return Ok(answer);
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
                        if !self.gateway.pause(RETRY_PAUSE, request.deadline).await {
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
        let wish = self.wish(&request.route, request.deadline, WRITE_TRUSTED_IDLE, (false, true));
        let mut lease = pool.lease(&wish).await.map_err(FailedAttempt::unleased)?;
        let left = request.deadline.since(self.gateway.now()).as_duration();
        let aligned = timeout(left, lease.pooled.apply_values(&self.values)).await;
        if !matches!(aligned, Ok(Ok(()))) {
            return Err(FailedAttempt::new(AttemptEnd::NotSent, FailureKind::Unreachable));
        }
        let asked = self.gateway.now();
        let left = request.deadline.since(asked).as_duration();
        match timeout(left, run_body(&mut lease, &request.id, &request.body, None)).await {
            Ok(result) => judge(result),
            Err(_) => {
                lease.clean_up();
                Err(FailedAttempt::new(AttemptEnd::Lost, FailureKind::RunTimeout))
            }
        }
    }

    async fn run_read(
        &mut self,
        request: &StatementRequest,
        trace: &mut StatementTrace,
    ) -> StatementResult {
        loop {
            let floor = self.floor_in_time(&request.route, request.deadline).await;
            let mut order = match floor {
                Some(_) => self.read_order(&request.route, floor),
                None => Vec::new(),
            };
            trace.floor = floor;
            while let Some(floor) = floor.filter(|_| !order.is_empty()) {
                let pool = order.remove(0);
                trace.attempts += 1;
                trace.target = Some(pool.target.clone());
                let second = order.first().cloned();
                let attempt = self.read_hedged(&pool, second, request, floor, trace).await;
                let failed = match attempt {
                    Ok(answer) => return Ok(answer),
                    Err(failed) => failed,
                };
                let budget = self.gateway.take_retry_for(failed.end);
                match next_step(StatementEffect::Read, failed.end, budget) {
                    NextStep::GiveUp(kind) => {
                        return Err(StatementFailure { kind, ..failed.failure });
                    }
                    // Refusals of the queue have a line of their own.
                    NextStep::Retry if failed.is_refusal() => {}
                    NextStep::Retry => {
                        log_attempt(&request.id, &pool.target, Some(floor), &failed);
                    }
                }
                if self.gateway.now() >= request.deadline {
                    return Err(failed.failure);
                }
            }
            // Without a position, or where no target has it, only the primary can prove that its
            // answer lacks nothing.
            let latest = request.route.reads == ReadRule::Latest;
            let marked = latest || floor.is_some();
            let patience = if marked {
                request.deadline
            } else {
                request.deadline.min(self.gateway.now() + LEADER_PATIENCE)
            };
            let failed = match self.read_at_leader(request, patience, trace).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            if let NextStep::GiveUp(kind) = next_step(StatementEffect::Read, failed.end, true) {
                return Err(StatementFailure { kind, ..failed.failure });
            }
            // The primary's queue is longer than the time that is left, and no replica is fresh enough.
            if failed.is_refusal() && (marked || self.gateway.now() >= request.deadline) {
                return Err(failed.failure);
            }
            if !self.gateway.pause(RETRY_PAUSE, request.deadline).await {
                return Err(failed.failure);
            }
        }
    }

    /// Returns the position that a read of a route needs, after a wait if none is known yet.
    pub(super) async fn floor_in_time(
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

    /// Returns the position that a read of a route needs, or `None` if only the primary can tell.
    pub(super) fn read_floor(&self, route: &RouteRule) -> Option<LogPosition> {
        let max_age = match route.reads {
            ReadRule::Latest => return None,
            ReadRule::Bounded { max_age } | ReadRule::Session { max_age } => max_age,
        };
        let freshness = self.gateway.core.freshness(&route.group);
        let mark = freshness.floor(self.gateway.now(), max_age.since(AGE_RESERVE))?;
        match route.reads {
            ReadRule::Session { .. } => Some(self.floor.map_or(mark, |own| own.max(mark))),
            _ => Some(mark),
        }
    }

    /// Returns the pools that may serve a read, the best one first.
    pub(super) fn read_order(
        &self,
        route: &RouteRule,
        floor: Option<LogPosition>,
    ) -> Vec<Rc<TargetPool<P>>> {
        let table = self.gateway.table();
        let Some(group) = table.groups.get(&route.group) else { return Vec::new() };
        let (pools, mut candidates) = self.gateway.read_candidates(&table, group);
        candidates.retain(|candidate| candidate.reachable && !candidate.lacks(floor));
        order_candidates(&mut candidates, floor);
        candidates.iter().map(|candidate| Rc::clone(&pools[candidate.index])).collect()
    }

    /// Reads at one target, and at a second one too if the first is silent for unusually long.
    async fn read_hedged(
        &self,
        pool: &Rc<TargetPool<P>>,
        second: Option<Rc<TargetPool<P>>>,
        request: &StatementRequest,
        floor: LogPosition,
        trace: &mut StatementTrace,
    ) -> AttemptResult {
        let mut first = self.spawn_read(pool, request, floor);
        let patience = Micros(pool.health().latency().0 * HEDGE_FACTOR).max(HEDGE_MINIMUM);
        let left = request.deadline.since(self.gateway.now());
        if left <= patience {
            return joined(first.await);
        }
        if let Ok(result) = timeout(patience.as_duration(), &mut first).await {
            return joined(result);
        }
        let Some(second) = second.filter(|second| second.is_available(false)) else {
            return joined(first.await);
        };
        if !self.gateway.try_retry() {
            return joined(first.await);
        }
        trace.hedged = true;
        trace.attempts += 1;
        log::info!(
            target: "request",
            event:display = EventNumber::ReadHedged,
            request:display = String::from_utf8_lossy(&request.id),
            silent:display = pool.target,
            server:display = second.target,
            after_us = patience.0;
            ""
        );
        let mut other = self.spawn_read(&second, request, floor);
        // The slower attempt ends by itself and frees its connection.
        tokio::select! {
            result = &mut first => match joined(result) {
                Ok(answer) => Ok(answer),
                Err(_) => {
                    trace.target = Some(second.target.clone());
                    joined(other.await)
                }
            },
            result = &mut other => match joined(result) {
                Ok(answer) => {
                    trace.target = Some(second.target.clone());
                    Ok(answer)
                }
                Err(_) => joined(first.await),
            },
        }
    }

    /// Starts a read, which runs to its end even if nobody waits for it any more.
    fn spawn_read(
        &self,
        pool: &Rc<TargetPool<P>>,
        request: &StatementRequest,
        floor: LogPosition,
    ) -> JoinHandle<AttemptResult> {
        let pool = Rc::clone(pool);
        let call = self.read_call(request, ReadProof::Position(floor));
        tokio::task::spawn_local(async move { read_at(&pool, &call).await })
    }

    fn read_call(&self, request: &StatementRequest, proof: ReadProof) -> ReadCall {
        ReadCall {
            id: request.id.clone(),
            body: request.body.clone(),
            values: self.values.clone(),
            proof,
            database: self.database.clone(),
            priority: request.route.priority,
            patience: request.deadline,
            deadline: request.deadline,
            detour: proof == ReadProof::Lead,
        }
    }

    /// Reads at the primary inside a transaction, which it refuses once it has lost the lead; `queue_limit` is
    /// the time until which the read waits for its slots.
    async fn read_at_leader(
        &self,
        request: &StatementRequest,
        queue_limit: Micros,
        trace: &mut StatementTrace,
    ) -> AttemptResult {
        let mut call = self.read_call(request, ReadProof::Lead);
        call.patience = queue_limit;
        let mut refused: Vec<SharedName> = Vec::new();
        let latest = request.route.reads == ReadRule::Latest;
        let patience = if latest {
            request.deadline
        } else {
            request.deadline.min(self.gateway.now() + LEADER_PATIENCE)
        };
        let mut last = FailedAttempt::new(AttemptEnd::NotSent, FailureKind::NoPrimary);
        loop {
            let table = self.gateway.table();
            let Some(pool) = self.gateway.leader(&table, &request.route.group, &refused) else {
                refused.clear();
                if !self.gateway.wait_for_leader(patience).await {
                    return Err(last);
                }
                continue;
            };
            trace.attempts += 1;
            trace.target = Some(pool.target.clone());
            trace.floor = None;
            last = match read_at(&pool, &call).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            if !last.is_refusal() {
                log_attempt(&request.id, &pool.target, None, &last);
            }
            let budget = self.gateway.take_retry_for(last.end);
            let retry = next_step(StatementEffect::Read, last.end, budget);
            if last.is_refusal() || matches!(retry, NextStep::GiveUp(_)) {
                return Err(last);
            }
            if matches!(last.end, AttemptEnd::Reported(TargetError::Busy)) {
                if !self.gateway.pause(RETRY_PAUSE, request.deadline).await {
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
    /// Returns whether a retry after an attempt is allowed; a refusal draws on no budget.
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

fn joined(result: Result<AttemptResult, tokio::task::JoinError>) -> AttemptResult {
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
