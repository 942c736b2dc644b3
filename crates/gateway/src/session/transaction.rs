//! Transactions of a session on a target's connection.

use {
    super::{
        caller::{
            CallerSession, SessionEnd, StatementRequest, TransactionState, statement_deadline,
        },
        outcome::{StatementResult, StatementTrace},
    },
    crate::{
        attempt::{StatementFailure, run_body},
        pool::{LeaseOptions, TargetLease, TargetPool, TransactionStart},
    },
    banyansill_core::{
        directory::{ReadRule, RouteRule},
        event::EventNumber,
        failure::FailureKind,
        gateway::{AttemptEnd, TargetError},
        names::SharedName,
        time::Micros,
        transaction::TransactionStatus,
    },
    banyansill_target::{StatementAccess, StatementAnswer, StatementProtocol, TargetRequest},
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Longest idle time after which a connection is used for a transaction without a liveness check: unlimited, as
/// the BEGIN itself is one.
const TRUSTED_IDLE: Micros = Micros(u64::MAX);

/// Minimum time without a response after which a statement of a transaction counts as lost. The caller still has
/// time to begin again, and nothing of the transaction is kept.
const MIN_LOST_TIMEOUT: Micros = Micros::from_millis(500);

/// Multiple of the average latency after which a statement of a transaction counts as lost.
const LOST_LATENCY_FACTOR: u64 = 12;

/// Minimum time without a response after which BEGIN is sent on another connection; a target that hangs in part of its
/// requests would otherwise hold the caller until its deadline.
const MIN_BEGIN_TIMEOUT: Micros = Micros::from_millis(300);

/// Multiple of the average latency after which BEGIN is sent on another connection.
const BEGIN_LATENCY_FACTOR: u64 = 6;

/// Delay before a statement of a transaction is sent again that a full target refused.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Transaction that is open on a target.
#[derive(Debug)]
pub(super) struct OpenTransaction<P>
where
    P: StatementProtocol,
{
    pub(super) lease: TargetLease<P>,
    /// Route in force when the transaction began.
    pub(super) route: Arc<RouteRule>,
    /// Whether the transaction runs on the primary, whose responses then prove their freshness.
    on_primary: bool,
    /// Whether a write has run in the transaction: only then does the success of its COMMIT prove that the target is the
    /// primary.
    has_written: bool,
    /// Time after which the transaction is ended if the caller is idle; zero disables the timeout.
    pub(super) idle_timeout: Micros,
}

impl<P> OpenTransaction<P>
where
    P: StatementProtocol,
{
    /// Returns the time without a response after which a request of the transaction counts as lost.
    fn lost_timeout(&self) -> Micros {
        let latency = self.lease.pool().health().latency();
        Micros(latency.0 * LOST_LATENCY_FACTOR).max(MIN_LOST_TIMEOUT)
    }
}

impl<P> CallerSession<P>
where
    P: StatementProtocol,
{
    /// Confirms BEGIN at once and opens the transaction on a target while the caller prepares its first statement.
    pub(super) async fn begin(&mut self, read_only: bool) -> Result<(), SessionEnd> {
        if !matches!(self.transaction, TransactionState::None) {
            return self.fail_locally(FailureKind::ProtocolViolation);
        }
        let Some(route) = self.route() else {
            return self.fail_locally(FailureKind::UnknownDatabase);
        };
        self.transaction =
            TransactionState::PendingFailure(StatementFailure::new(FailureKind::NoPrimary));
        self.complete_locally()?;
        let admitted = match self.identify(&route) {
            Ok(()) => self.admit().await,
            Err(kind) => Err(StatementFailure::new(kind)),
        };
        if let Err(failure) = admitted {
            self.log_end("not begun", failure.kind.name());
            self.transaction = TransactionState::PendingFailure(failure);
            return Ok(());
        }
        let start = self.gateway.now();
        let deadline = statement_deadline(&route, start);
        let replica = read_only && route.reads != ReadRule::Latest;
        let opened = if replica {
            self.open_on_replica(&route, deadline).await
        } else {
            self.open_on_primary(&route, deadline).await
        };
        self.transaction = match opened {
            Ok(lease) => {
                let idle_timeout = self.gateway.table().limits.idle_transaction;
                let open = OpenTransaction {
                    lease,
                    route,
                    on_primary: !replica,
                    has_written: false,
                    idle_timeout,
                };
                TransactionState::Open(Box::new(open))
            }
            Err(failure) => {
                self.log_end("not begun", failure.kind.name());
                TransactionState::PendingFailure(failure)
            }
        };
        Ok(())
    }

    async fn open_on_primary(
        &mut self,
        route: &Arc<RouteRule>,
        deadline: Micros,
    ) -> Result<TargetLease<P>, StatementFailure> {
        let mut refused = Vec::new();
        let mut last = StatementFailure::new(FailureKind::NoPrimary);
        loop {
            let table = self.gateway.table();
            let Some(pool) = self.gateway.writable_leader(&table, &route.group, &refused) else {
                refused.clear();
                let RouteRule { group, priority, .. } = &**route;
                let waited = self.gateway.wait_for_leader(group, deadline, *priority).await;
                waited.map_err(|retry_after| StatementFailure { retry_after, ..last.clone() })?;
                continue;
            };
            let start = TransactionStart { read_only: false, floor: None };
            let lease_request = LeaseOptions {
                begin: Some(start),
                ..self.lease_request(route, deadline, TRUSTED_IDLE, (true, true))
            };
            let left = deadline.since(self.gateway.now()).as_duration();
            let opened = async {
                let mut lease =
                    pool.lease(&lease_request).await.map_err(|failure| StatementFailure {
                        kind: failure.kind,
                        retry_after: failure.retry_after,
                        detail: Bytes::new(),
                    })?;
                let not_sent = |_| StatementFailure::new(FailureKind::Unreachable);
                lease.pooled.apply_values(&self.values).await.map_err(not_sent)?;
                let sent_at = lease.pooled.begun_at().unwrap_or_else(|| self.gateway.now());
                let begun = begin_in_time(&pool, &mut lease, start).await;
                let answer = begun.map_err(|end| match end {
                    AttemptEnd::Reported(error) => StatementFailure::new(error.failure()),
                    _ => StatementFailure::new(FailureKind::Unreachable),
                })?;
                self.gateway.core.freshness(&route.group).record(sent_at, answer.position);
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
            let Some(floor) = self.wait_for_read_floor(route, deadline).await else {
                // The primary's own response proves its freshness.
                return self.open_on_primary(route, deadline).await;
            };
            for pool in self.read_order(route, Some(floor), false) {
                let start = TransactionStart { read_only: true, floor: Some(floor) };
                let lease_request = LeaseOptions {
                    begin: Some(start),
                    ..self.lease_request(route, deadline, TRUSTED_IDLE, (true, false))
                };
                let left = deadline.since(self.gateway.now()).as_duration();
                let opened = async {
                    let mut lease = pool.lease(&lease_request).await.ok()?;
                    lease.pooled.apply_values(&self.values).await.ok()?;
                    let begun = begin_in_time(&pool, &mut lease, start).await;
                    if matches!(begun, Err(AttemptEnd::Lost)) {
                        self.gateway.record_read_outcome(&pool, None);
                    }
                    begun.ok()?;
                    lease.release_slot();
                    Some(lease)
                };
                match timeout(left, opened).await {
                    Ok(Some(lease)) => return Ok(lease),
                    Ok(None) => {}
                    Err(_) => return Err(StatementFailure::new(FailureKind::QueueTimeout)),
                }
            }
            // No replica has reached the position; the primary lacks it only if a promotion lost it.
            let limit = deadline.min(self.gateway.now() + Micros::from_millis(100));
            if let Ok(lease) = self.open_on_primary(route, limit).await {
                return Ok(lease);
            }
            if self.gateway.now() >= deadline {
                return Err(StatementFailure::new(FailureKind::TooStale));
            }
            self.gateway.wait_for_change(deadline).await;
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
        let slot_request = self.slot_request(&request.route, request.deadline);
        if let Err(failure) = open.lease.take_slot(&slot_request).await {
            open.lease.clean_up();
            return self.fail_transaction(failure.kind, "no slot");
        }
        let sent_at = self.gateway.now();
        let answer = loop {
            trace.attempts += 1;
            let left = request.deadline.since(self.gateway.now());
            let left = left.min(open.lost_timeout()).as_duration();
            // Nothing of a transaction is kept before its commit, so it does not matter what was sent.
            let mut sent = false;
            let attempt = timeout(
                left,
                run_body(&mut open.lease, &request.id, &request.body, None, &mut sent),
            )
            .await;
            let answer = match attempt {
                Ok(Ok(answer)) => answer,
                // Nothing was committed, so the target rolls back when the connection ends.
                Ok(Err(_)) => return self.fail_transaction(FailureKind::TransactionLost, "lost"),
                Err(_) => {
                    open.lease.pooled.connection.close();
                    return self.fail_transaction(FailureKind::TransactionLost, "silent");
                }
            };
            let busy = matches!(answer.outcome, Err((TargetError::Busy, _)));
            if !busy || answer.status != TransactionStatus::InTransaction {
                break answer;
            }
            if !self.gateway.pause(BUSY_RETRY_DELAY, request.deadline).await {
                break answer;
            }
        };
        open.lease.release_slot();
        if open.on_primary && answer.outcome.is_ok() {
            self.gateway.core.freshness(&open.route.group).record(sent_at, answer.position);
            open.has_written |= request.access == StatementAccess::Write;
        }
        match answer.outcome.clone() {
            Ok(_) if answer.status == TransactionStatus::InTransaction => {
                self.transaction = TransactionState::Open(Box::new(open));
                Ok(answer)
            }
            Ok(_) => {
                open.lease.clean_up();
                self.fail_transaction(FailureKind::TransactionLost, "ended by the target")
            }
            Err((error, detail)) => {
                open.lease.clean_up();
                self.transaction = TransactionState::Failed;
                self.log_end("failed", error.failure().name());
                Err(StatementFailure { detail, ..StatementFailure::new(error.failure()) })
            }
        }
    }

    fn fail_transaction(&mut self, kind: FailureKind, reason: &str) -> StatementResult {
        self.transaction = TransactionState::Failed;
        self.log_end(reason, kind.name());
        Err(StatementFailure::new(kind))
    }

    /// Commits the transaction; COMMIT is its only statement whose outcome may stay unknown.
    pub(super) async fn commit(&mut self, id: Bytes) -> Result<(), SessionEnd> {
        let start = self.gateway.now();
        let mut trace = StatementTrace::default();
        if let Some(route) =
            self.route().filter(|_| matches!(self.transaction, TransactionState::Open(_)))
            && let Err(failure) = self.authorize(&route).await
        {
            self.transaction = TransactionState::None;
            return self.deliver(&id, start, &trace, Err(failure));
        }
        let state = std::mem::replace(&mut self.transaction, TransactionState::None);
        let result = match state {
            TransactionState::None => return self.fail_locally(FailureKind::ProtocolViolation),
            TransactionState::Failed => Err(StatementFailure::new(FailureKind::TransactionLost)),
            TransactionState::PendingFailure(failure) => Err(failure),
            TransactionState::Open(open) => self.commit_open(*open, &id, start, &mut trace).await,
        };
        self.deliver(&id, start, &trace, result)
    }

    async fn commit_open(
        &mut self,
        mut open: OpenTransaction<P>,
        id: &Bytes,
        start: Micros,
        trace: &mut StatementTrace,
    ) -> StatementResult {
        trace.target = Some(open.lease.pool().target.clone());
        let deadline = statement_deadline(&open.route, start);
        let slot_request = self.slot_request(&open.route, deadline);
        if let Err(failure) = open.lease.take_slot(&slot_request).await {
            open.lease.clean_up();
            self.log_end("not committed", failure.kind.name());
            return Err(StatementFailure::new(failure.kind));
        }
        loop {
            trace.attempts += 1;
            let sent_at = self.gateway.now();
            let left = deadline.since(sent_at).as_duration();
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
                    let result = self.finish_commit(&open, sent_at, answer);
                    match &result {
                        Ok(_) => self.log_end("committed", "ok"),
                        Err(failure) => self.log_end("commit in doubt", failure.kind.name()),
                    }
                    return result;
                }
                Err((TargetError::Busy, _))
                    if answer.status == TransactionStatus::InTransaction
                        && self.gateway.pause(BUSY_RETRY_DELAY, deadline).await => {}
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

    /// Processes the success of a COMMIT.
    ///
    /// A replaced primary still commits a transaction that has not written, so such a commit proves nothing about it.
    fn finish_commit(
        &mut self,
        open: &OpenTransaction<P>,
        sent_at: Micros,
        answer: StatementAnswer,
    ) -> StatementResult {
        if open.has_written {
            return self.acknowledge(&open.route, &open.lease.pool().target, sent_at, answer);
        }
        if open.on_primary {
            self.floor = self.floor.max(answer.position);
        }
        Ok(answer)
    }

    /// Passes the success of a write or of the commit of one on: raises the session floor and records a freshness mark of
    /// the group.
    ///
    /// # Errors
    ///
    /// Returns an unknown outcome if the primary is being replaced and the commit may be rolled back.
    pub(super) fn acknowledge(
        &mut self,
        route: &RouteRule,
        target: &SharedName,
        sent_at: Micros,
        answer: StatementAnswer,
    ) -> StatementResult {
        let table = self.gateway.table();
        let group = table.groups.get(&route.group);
        if group.is_some_and(|group| !group.may_acknowledge(target)) {
            self.gateway.core.count("commits.doubted");
            log::info!(
            target: "request",
            event:display = EventNumber::CommitDoubted,
            request:display = String::from_utf8_lossy(&self.request),
            session = self.number,
            group:display = route.group,
            server:display = target,
            directory = table.version;
            ""
            );
            return Err(StatementFailure::new(FailureKind::PrimaryReplaced));
        }
        self.floor = self.floor.max(answer.position);
        self.gateway.core.freshness(&route.group).record(sent_at, answer.position);
        Ok(answer)
    }

    /// Rolls the transaction back; the caller does not wait for the target.
    pub(super) fn roll_back(&mut self) -> Result<(), SessionEnd> {
        match std::mem::replace(&mut self.transaction, TransactionState::None) {
            TransactionState::None => return self.fail_locally(FailureKind::ProtocolViolation),
            TransactionState::Open(open) => {
                open.lease.clean_up();
                self.log_end("rolled back", "ok");
            }
            TransactionState::PendingFailure(_) | TransactionState::Failed => {}
        }
        self.complete_locally()
    }

    /// Applies new session values to the connection of an open transaction, within the time that a statement of it has.
    pub(super) async fn set_in_transaction(&mut self) {
        let TransactionState::Open(open) = &mut self.transaction else { return };
        let now = self.gateway.now();
        let left = statement_deadline(&open.route, now).since(now);
        let limit = left.min(open.lost_timeout()).as_duration();
        let added = timeout(limit, open.lease.pooled.add_values(&self.values)).await;
        let reason = match added {
            Ok(Ok(())) => return,
            Ok(Err(_)) => "lost",
            Err(_) => {
                open.lease.pooled.connection.close();
                "silent"
            }
        };
        let kind = FailureKind::TransactionLost;
        self.log_end(reason, kind.name());
        self.transaction = TransactionState::PendingFailure(StatementFailure::new(kind));
    }

    /// Rolls back an open transaction whose next statement may not run.
    pub(super) fn abandon_transaction(&mut self, kind: FailureKind) {
        if !matches!(self.transaction, TransactionState::Open(_)) {
            return;
        }
        let state = std::mem::replace(&mut self.transaction, TransactionState::Failed);
        if let TransactionState::Open(open) = state {
            open.lease.clean_up();
            self.log_end("not authorized", kind.name());
        }
    }

    /// Ends a transaction whose caller was idle for too long.
    pub(super) fn end_idle_transaction(&mut self) {
        let failure = StatementFailure::new(FailureKind::TransactionLost);
        let state =
            std::mem::replace(&mut self.transaction, TransactionState::PendingFailure(failure));
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

/// Begins a transaction; gives up early if the target is silent, since nothing of the transaction was sent.
///
/// # Errors
///
/// Returns how the attempt ended; [`AttemptEnd::Lost`] if the target was silent.
async fn begin_in_time<P>(
    pool: &TargetPool<P>,
    lease: &mut TargetLease<P>,
    TransactionStart { read_only, floor }: TransactionStart,
) -> Result<StatementAnswer, AttemptEnd>
where
    P: StatementProtocol,
{
    let limit = Micros(pool.health().latency().0 * BEGIN_LATENCY_FACTOR).max(MIN_BEGIN_TIMEOUT);
    let begun = timeout(limit.as_duration(), lease.begin(read_only, floor)).await;
    begun.unwrap_or(Err(AttemptEnd::Lost))
}
