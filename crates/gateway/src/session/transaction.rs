//! Transactions of a session.

use {
    super::{
        caller::{
            CallerSession, SessionEnd, StatementRequest, TransactionState, statement_deadline,
        },
        outcome::{StatementResult, StatementTrace},
    },
    crate::{
        attempt::{StatementFailure, run_body},
        pool::TargetLease,
    },
    banyansill_core::{
        directory::{ReadRule, RouteRule},
        event::EventNumber,
        failure::FailureKind,
        gateway::{AttemptEnd, TargetError},
        time::Micros,
        transaction::TransactionStatus,
    },
    banyansill_target::{StatementAnswer, StatementProtocol, TargetRequest},
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Idle time of a connection that a transaction uses without a sign of life; its BEGIN is one.
const TRUSTED_IDLE: Micros = Micros(u64::MAX);

/// Least time without an answer after which a statement of a transaction counts as lost. The caller can
/// begin again with time left, and nothing is kept.
const LOST_MINIMUM: Micros = Micros::from_millis(500);

/// Multiple of the average latency after which it counts as lost.
const LOST_FACTOR: u64 = 12;

/// Wait before a statement is repeated that a full target refused inside a transaction.
const BUSY_RETRY: Duration = Duration::from_millis(25);

/// Transaction that a target runs.
#[derive(Debug)]
pub(super) struct OpenTransaction<P>
where
    P: StatementProtocol,
{
    pub(super) lease: TargetLease<P>,
    /// Route in force when the transaction began.
    pub(super) route: Arc<RouteRule>,
    /// Whether each statement needs the lead.
    leads: bool,
    /// Time after which the transaction is ended if the caller is idle; zero sets no limit.
    pub(super) idle_limit: Micros,
}

impl<P> CallerSession<P>
where
    P: StatementProtocol,
{
    /// Answers BEGIN at once and finds a target while the caller prepares its first statement.
    pub(super) async fn begin(&mut self, read_only: bool) -> Result<(), SessionEnd> {
        if !matches!(self.transaction, TransactionState::None) {
            return self.fail_locally(FailureKind::ProtocolViolation);
        }
        let Some(route) = self.route() else {
            return self.fail_locally(FailureKind::UnknownDatabase);
        };
        self.transaction = TransactionState::Broken(StatementFailure::new(FailureKind::NoPrimary));
        self.complete_locally()?;
        let begun = self.gateway.now();
        let deadline = statement_deadline(&route, begun);
        let replica = read_only && route.reads != ReadRule::Latest;
        let opened = if replica {
            self.open_on_replica(&route, deadline).await
        } else {
            self.open_on_leader(&route, deadline).await
        };
        self.transaction = match opened {
            Ok(lease) => {
                let idle_limit = self.gateway.table().limits.idle_transaction;
                let open = OpenTransaction { lease, route, leads: !replica, idle_limit };
                TransactionState::Open(Box::new(open))
            }
            Err(failure) => {
                self.log_end("not begun", failure.kind.name());
                TransactionState::Broken(failure)
            }
        };
        Ok(())
    }

    async fn open_on_leader(
        &mut self,
        route: &Arc<RouteRule>,
        deadline: Micros,
    ) -> Result<TargetLease<P>, StatementFailure> {
        let mut refused = Vec::new();
        let mut last = StatementFailure::new(FailureKind::NoPrimary);
        loop {
            let table = self.gateway.table();
            let Some(pool) = self.gateway.leader(&table, &route.group, &refused) else {
                refused.clear();
                if !self.gateway.wait_for_leader(deadline).await {
                    return Err(last);
                }
                continue;
            };
            let wish = self.wish(route, deadline, TRUSTED_IDLE, (true, true));
            let left = deadline.since(self.gateway.now()).as_duration();
            let opened = async {
                let mut lease = pool.lease(&wish).await.map_err(|failure| StatementFailure {
                    kind: failure.kind,
                    retry_after: failure.retry_after,
                    detail: Bytes::new(),
                })?;
                let unsent = |_| StatementFailure::new(FailureKind::Unreachable);
                lease.pooled.apply_values(&self.values).await.map_err(unsent)?;
                let asked = self.gateway.now();
                let answer = lease.begin(false, None).await.map_err(|end| match end {
                    AttemptEnd::Reported(error) => StatementFailure::new(error.failure()),
                    _ => StatementFailure::new(FailureKind::Unreachable),
                })?;
                self.gateway.core.freshness(&route.group).record(asked, answer.position);
                lease.release_slot();
                Ok(lease)
            };
            last = match timeout(left, opened).await {
                Ok(Ok(lease)) => return Ok(lease),
                Ok(Err(failure)) => failure,
                Err(_) => return Err(StatementFailure::new(FailureKind::QueueTimeout)),
            };
            if last.kind == FailureKind::Overloaded {
                return Err(last);
            }
            refused.push(pool.target.clone());
        }
    }

    async fn open_on_replica(
        &mut self,
        route: &Arc<RouteRule>,
        deadline: Micros,
    ) -> Result<TargetLease<P>, StatementFailure> {
        loop {
            let Some(floor) = self.floor_in_time(route, deadline).await else {
                // The primary's own answer proves that it lacks nothing.
                return self.open_on_leader(route, deadline).await;
            };
            for pool in self.read_order(route, Some(floor)) {
                let wish = self.wish(route, deadline, TRUSTED_IDLE, (true, false));
                let left = deadline.since(self.gateway.now()).as_duration();
                let opened = async {
                    let mut lease = pool.lease(&wish).await.ok()?;
                    lease.pooled.apply_values(&self.values).await.ok()?;
                    lease.begin(true, Some(floor)).await.ok()?;
                    lease.release_slot();
                    Some(lease)
                };
                match timeout(left, opened).await {
                    Ok(Some(lease)) => return Ok(lease),
                    Ok(None) => {}
                    Err(_) => return Err(StatementFailure::new(FailureKind::QueueTimeout)),
                }
            }
            // No replica has the position and the primary refuses it only if a promotion lost it.
            let limit = deadline.min(self.gateway.now() + Micros::from_millis(100));
            if let Ok(lease) = self.open_on_leader(route, limit).await {
                return Ok(lease);
            }
            if !self.gateway.wait_for_leader(deadline).await {
                return Err(StatementFailure::new(FailureKind::TooStale));
            }
        }
    }

    /// Runs a statement on the connection of the transaction.
    pub(super) async fn run_in_transaction(
        &mut self,
        mut open: OpenTransaction<P>,
        request: &StatementRequest,
        trace: &mut StatementTrace,
    ) -> StatementResult {
        trace.target = Some(open.lease.pool().target.clone());
        let wish = self.slot_wish(&request.route, request.deadline);
        if let Err(failure) = open.lease.take_slot(&wish).await {
            open.lease.clean_up();
            return self.lose_transaction(failure.kind, "no slot");
        }
        let asked = self.gateway.now();
        let answer = loop {
            trace.attempts += 1;
            let usual = open.lease.pool().health().latency();
            let patience = Micros(usual.0 * LOST_FACTOR).max(LOST_MINIMUM);
            let left = request.deadline.since(self.gateway.now()).min(patience).as_duration();
            let attempt =
                timeout(left, run_body(&mut open.lease, &request.id, &request.body, None)).await;
            let answer = match attempt {
                Ok(Ok(answer)) => answer,
                // Nothing was committed, so the end of the connection is a roll-back.
                Ok(Err(_)) => return self.lose_transaction(FailureKind::TransactionLost, "lost"),
                Err(_) => {
                    open.lease.pooled.connection.close();
                    return self.lose_transaction(FailureKind::TransactionLost, "silent");
                }
            };
            let busy = matches!(answer.outcome, Err((TargetError::Busy, _)));
            if !busy || answer.status != TransactionStatus::InTransaction {
                break answer;
            }
            if !self.gateway.pause(BUSY_RETRY, request.deadline).await {
                break answer;
            }
        };
        open.lease.release_slot();
        if open.leads && answer.outcome.is_ok() {
            self.gateway.core.freshness(&open.route.group).record(asked, answer.position);
        }
        match answer.outcome.clone() {
            Ok(_) if answer.status == TransactionStatus::InTransaction => {
                self.transaction = TransactionState::Open(Box::new(open));
                Ok(answer)
            }
            Ok(_) => {
                open.lease.clean_up();
                self.lose_transaction(FailureKind::TransactionLost, "left by the target")
            }
            Err((error, detail)) => {
                open.lease.clean_up();
                self.transaction = TransactionState::Failed;
                self.log_end("failed", error.failure().name());
                Err(StatementFailure { detail, ..StatementFailure::new(error.failure()) })
            }
        }
    }

    fn lose_transaction(&mut self, kind: FailureKind, reason: &str) -> StatementResult {
        self.transaction = TransactionState::Failed;
        self.log_end(reason, kind.name());
        Err(StatementFailure::new(kind))
    }

    /// Commits; the only statement of a transaction whose outcome may stay unknown.
    pub(super) async fn commit(&mut self, id: Bytes) -> Result<(), SessionEnd> {
        let begun = self.gateway.now();
        let mut trace = StatementTrace::default();
        let state = std::mem::replace(&mut self.transaction, TransactionState::None);
        let result = match state {
            TransactionState::None => return self.fail_locally(FailureKind::ProtocolViolation),
            TransactionState::Failed => Err(StatementFailure::new(FailureKind::TransactionLost)),
            TransactionState::Broken(failure) => Err(failure),
            TransactionState::Open(open) => self.commit_open(*open, &id, begun, &mut trace).await,
        };
        self.deliver(&id, begun, &trace, result)
    }

    async fn commit_open(
        &mut self,
        mut open: OpenTransaction<P>,
        id: &Bytes,
        begun: Micros,
        trace: &mut StatementTrace,
    ) -> StatementResult {
        trace.target = Some(open.lease.pool().target.clone());
        let deadline = statement_deadline(&open.route, begun);
        let wish = self.slot_wish(&open.route, deadline);
        if let Err(failure) = open.lease.take_slot(&wish).await {
            open.lease.clean_up();
            self.log_end("not committed", failure.kind.name());
            return Err(StatementFailure::new(failure.kind));
        }
        loop {
            trace.attempts += 1;
            let asked = self.gateway.now();
            let left = deadline.since(asked).as_duration();
            let answer = match timeout(left, open.lease.run(TargetRequest::Commit { id })).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(_)) => {
                    self.log_end("commit in doubt", FailureKind::ConnectionLost.name());
                    return Err(StatementFailure::new(FailureKind::ConnectionLost));
                }
                Err(_) => {
                    open.lease.clean_up();
                    self.log_end("commit in doubt", FailureKind::RunTimeout.name());
                    return Err(StatementFailure::new(FailureKind::RunTimeout));
                }
            };
            match answer.outcome.clone() {
                Ok(_) => {
                    self.note_commit(&open.route, open.leads, asked, &answer);
                    self.log_end("committed", "ok");
                    return Ok(answer);
                }
                Err((TargetError::Busy, _))
                    if answer.status == TransactionStatus::InTransaction
                        && self.gateway.pause(BUSY_RETRY, deadline).await => {}
                Err((error, detail)) => {
                    open.lease.clean_up();
                    self.log_end("not committed", error.failure().name());
                    return Err(StatementFailure {
                        detail,
                        ..StatementFailure::new(error.failure())
                    });
                }
            }
        }
    }

    /// Raises the floors after a commit.
    pub(super) fn note_commit(
        &mut self,
        route: &RouteRule,
        leads: bool,
        asked: Micros,
        answer: &StatementAnswer,
    ) {
        if !leads {
            return;
        }
        self.floor = self.floor.max(answer.position);
        self.gateway.core.freshness(&route.group).record(asked, answer.position);
    }

    /// Rolls back; the caller need not wait for the target.
    pub(super) fn roll_back(&mut self) -> Result<(), SessionEnd> {
        match std::mem::replace(&mut self.transaction, TransactionState::None) {
            TransactionState::None => return self.fail_locally(FailureKind::ProtocolViolation),
            TransactionState::Open(open) => {
                open.lease.clean_up();
                self.log_end("rolled back", "ok");
            }
            TransactionState::Broken(_) | TransactionState::Failed => {}
        }
        self.complete_locally()
    }

    /// Sets a new value on the connection of an open transaction.
    pub(super) async fn set_in_transaction(&mut self) {
        if let TransactionState::Open(open) = &mut self.transaction
            && open.lease.pooled.add_values(&self.values).await.is_err()
        {
            let failure = StatementFailure::new(FailureKind::TransactionLost);
            self.transaction = TransactionState::Broken(failure);
        }
    }

    /// Ends a transaction whose caller is idle for too long.
    pub(super) fn end_idle_transaction(&mut self) {
        let failure = StatementFailure::new(FailureKind::TransactionLost);
        let state = std::mem::replace(&mut self.transaction, TransactionState::Broken(failure));
        if let TransactionState::Open(open) = state {
            open.lease.clean_up();
            self.log_end("idle for too long", FailureKind::TransactionLost.name());
        }
    }

    fn log_end(&self, reason: &str, outcome: &str) {
        log::info!(
            target: "request",
            event:display = EventNumber::TransactionEnded,
            request:display = String::from_utf8_lossy(&self.request),
            session = self.number,
            database:display = self.database,
            reason,
            outcome;
            ""
        );
    }
}
