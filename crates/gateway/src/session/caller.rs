//! Session of one caller: handles its messages and keeps its state between statements.

use {
    super::{
        codec::CallerCodec,
        listener::{SessionShared, StopStage},
        outcome::{StatementResult, StatementTrace, position_text},
        transaction::OpenTransaction,
    },
    crate::{
        attempt::{StatementBody, StatementFailure},
        gateway::Gateway,
        pool::{ConnectionUser, LeaseOptions, PreparedShape, SessionValues, SlotOptions},
    },
    banyansill_core::{
        collections::FastMap,
        directory::{KeyDigest, RouteRule},
        event::EventNumber,
        failure::FailureKind,
        names::SharedName,
        position::LogPosition,
        time::Micros,
        transaction::TransactionStatus,
    },
    banyansill_target::{
        CallerMessage, CallerReply, FramingError, Statement, StatementAccess, StatementProtocol,
    },
    bytes::{Bytes, BytesMut},
    ntex::{io::Io, util::Either},
    std::{
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Time within which a caller must send its start message.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a new session waits for the first routes after the process has started; callers give up
/// after 2 s. When all replicas of control start together, they need about half a second to elect a leader.
const ROUTES_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Part of the statement timeout that is reserved for the response to reach the caller.
const RESPONSE_MARGIN: Micros = Micros::from_millis(15);

/// Maximum number of session values, and of prepared statements, in one session.
const MAX_SESSION_ITEMS: usize = 256;

/// Timeout for flushing the last response and for shutting the connection down. Input that arrives in this time
/// is discarded, so that the caller can read the response.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Why a session ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionEnd {
    /// The caller ended the session, closed the connection or sent no start message in time.
    Closed,
    /// The caller's bytes cannot be decoded as messages.
    Malformed(FramingError),
    /// The process is stopping.
    Stopping,
    /// The session was refused; the caller received the failure.
    Refused,
}

/// Transaction state of a session.
#[derive(Debug)]
pub(super) enum TransactionState<P>
where
    P: StatementProtocol,
{
    /// No transaction.
    None,
    /// The transaction is open on a target.
    Open(Box<OpenTransaction<P>>),
    /// The transaction could not begin or was ended; the failure has not been reported to the caller yet.
    PendingFailure(StatementFailure),
    /// The transaction failed and the failure was reported to the caller.
    Failed,
}

/// Session of one caller.
#[derive(Debug)]
pub(super) struct CallerSession<P>
where
    P: StatementProtocol,
{
    pub(super) io: Io,
    codec: CallerCodec<P>,
    pub(super) gateway: Rc<Gateway<P>>,
    stage: watch::Receiver<StopStage>,
    pub(super) number: u64,
    pub(super) database: SharedName,
    /// Digest of the caller's key.
    pub(super) key: KeyDigest,
    /// Team of the caller, as of the last operation; empty if it has none.
    pub(super) team: SharedName,
    /// Identifier that the caller gave to the current request.
    pub(super) request: Bytes,
    pub(super) values: SessionValues,
    prepared: FastMap<Bytes, PreparedShape>,
    /// Lowest log position that the session's reads require: that of its own last commit.
    pub(super) floor: Option<LogPosition>,
    pub(super) transaction: TransactionState<P>,
    output: BytesMut,
}

/// Statement of a caller that runs on a target.
#[derive(Clone, Debug)]
pub(super) struct StatementRequest {
    /// Identifier that the caller gave to the request.
    pub(super) id: Bytes,
    /// Whether the statement reads or writes.
    pub(super) access: StatementAccess,
    pub(super) body: StatementBody,
    /// Route in force when the statement arrived.
    pub(super) route: Arc<RouteRule>,
    /// Time by which the statement must end.
    pub(super) deadline: Micros,
}

/// Guard that counts a session as open until it is dropped.
struct OpenSessionGuard(Arc<AtomicUsize>);

impl OpenSessionGuard {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(counter))
    }
}

impl Drop for OpenSessionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves one connection until the session ends.
pub(super) async fn serve<P>(io: Io, shared: Rc<SessionShared<P>>)
where
    P: StatementProtocol,
{
    let _guard = OpenSessionGuard::new(&shared.open_count);
    let number = shared.last_number.get() + 1;
    shared.last_number.set(number);
    let codec = CallerCodec(shared.gateway.core.protocol.clone());
    let mut session = CallerSession {
        io,
        codec,
        gateway: Rc::clone(&shared.gateway),
        stage: shared.stage.clone(),
        number,
        database: SharedName::default(),
        key: KeyDigest::of(&[]),
        team: SharedName::default(),
        request: Bytes::new(),
        values: SessionValues::new(),
        prepared: FastMap::default(),
        floor: None,
        transaction: TransactionState::None,
        output: BytesMut::new(),
    };
    let end = match session.start().await {
        Ok(()) => session.run().await,
        Err(end) => end,
    };
    session.finish(end).await;
}

impl<P> CallerSession<P>
where
    P: StatementProtocol,
{
    /// Receives the start message and checks that the database exists.
    async fn start(&mut self) -> Result<(), SessionEnd> {
        let first = timeout(START_TIMEOUT, self.receive()).await;
        match first.map_err(|_| SessionEnd::Closed)?? {
            CallerMessage::Start { database, credential } => {
                self.database = database;
                self.key = KeyDigest::of(credential.reveal());
            }
            CallerMessage::End => return Err(SessionEnd::Closed),
            CallerMessage::Statement { .. } | CallerMessage::Malformed => {
                self.refuse_session(FailureKind::ProtocolViolation);
                return Err(SessionEnd::Refused);
            }
        }
        let started_at = self.gateway.now();
        let table = self.gateway.routes_within(ROUTES_TIMEOUT).await;
        let kind = match table.routes.get(&self.database) {
            Some(route) => {
                if !route.public {
                    self.wait_for_keys(started_at).await;
                }
                match self.identify(route) {
                    Ok(()) => {
                        self.gateway.core.count("sessions.opened");
                        self.encode_ready(None);
                        return self.send();
                    }
                    Err(kind) => kind,
                }
            }
            // Without routes this entry cannot tell whether the database exists.
            None if table.book_version == 0 => FailureKind::NoSheet,
            None => FailureKind::UnknownDatabase,
        };
        self.refuse_session(kind);
        Err(SessionEnd::Refused)
    }

    fn refuse_session(&mut self, kind: FailureKind) {
        self.gateway.core.count("sessions.refused");
        log::info!(
        target: "request",
        event:display = EventNumber::SessionRefused,
        session = self.number,
        database:display = self.database,
        outcome = kind.name(),
        routes = self.gateway.table().book_version;
        ""
        );
        let failure = StatementFailure::new(kind);
        self.encode_failure(&failure);
        // The caller may already have closed the connection.
        let _ = self.send();
    }

    async fn run(&mut self) -> SessionEnd {
        loop {
            let message = match self.next_message().await {
                Ok(Some(message)) => message,
                Ok(None) => continue,
                Err(end) => return end,
            };
            let handled = match message {
                CallerMessage::Statement { id, statement } => self.handle(id, statement).await,
                CallerMessage::Start { .. } | CallerMessage::Malformed => {
                    self.fail_locally(FailureKind::ProtocolViolation)
                }
                CallerMessage::End => Err(SessionEnd::Closed),
            };
            if let Err(end) = handled {
                return end;
            }
        }
    }

    /// Waits for the next message; returns `None` after it has ended an idle transaction instead.
    async fn next_message(&mut self) -> Result<Option<CallerMessage>, SessionEnd> {
        let outside_transaction = matches!(self.transaction, TransactionState::None);
        let stop_stage = if outside_transaction { StopStage::Closing } else { StopStage::Ending };
        let idle_timeout = match &self.transaction {
            TransactionState::Open(open) => open.idle_timeout,
            _ => Micros::ZERO,
        };
        let mut stage = self.stage.clone();
        tokio::select! {
        biased;
        message = self.receive() => message.map(Some),
        _ = stage.wait_for(|stage| *stage >= stop_stage) => Err(SessionEnd::Stopping),
        () = sleep(idle_timeout.as_duration()), if idle_timeout > Micros::ZERO => {
        self.end_idle_transaction();
        Ok(None)
        }
        }
    }

    async fn receive(&self) -> Result<CallerMessage, SessionEnd> {
        match self.io.recv(&self.codec).await {
            Ok(Some(message)) => Ok(message),
            Ok(None) | Err(Either::Right(_)) => Err(SessionEnd::Closed),
            Err(Either::Left(error)) => Err(SessionEnd::Malformed(error)),
        }
    }

    async fn handle(&mut self, id: Bytes, statement: Statement) -> Result<(), SessionEnd> {
        self.request = id.clone();
        if matches!(self.transaction, TransactionState::Failed)
            && !matches!(statement, Statement::Commit | Statement::Rollback)
        {
            return self.fail_locally(FailureKind::ProtocolViolation);
        }
        match statement {
            Statement::Begin { read_only } => self.begin(read_only).await,
            Statement::Commit => self.commit(id).await,
            Statement::Rollback => self.roll_back(),
            Statement::Set { name, value } => {
                if self.values.len() >= MAX_SESSION_ITEMS && !self.values.contains_key(&name) {
                    return self.fail_locally(FailureKind::TooManyCallers);
                }
                self.values.insert(name, value);
                self.set_in_transaction().await;
                self.complete_locally()
            }
            Statement::Prepare { name, access, shape } => {
                if self.prepared.len() >= MAX_SESSION_ITEMS && !self.prepared.contains_key(&name) {
                    return self.fail_locally(FailureKind::TooManyCallers);
                }
                self.prepared.insert(name, PreparedShape { access, shape });
                self.complete_locally()
            }
            Statement::Close { name } => {
                self.prepared.remove(&name);
                self.complete_locally()
            }
            Statement::Execute { name, arguments } => match self.prepared.get(&name).cloned() {
                Some(shape) => {
                    let access = shape.access;
                    self.run_on_target(id, access, StatementBody::Prepared { shape, arguments })
                        .await
                }
                None => self.fail_locally(FailureKind::UnknownStatement),
            },
            Statement::Read { text } => {
                self.run_on_target(id, StatementAccess::Read, StatementBody::Text(text)).await
            }
            Statement::Write { text } => {
                self.run_on_target(id, StatementAccess::Write, StatementBody::Text(text)).await
            }
        }
    }

    async fn run_on_target(
        &mut self,
        id: Bytes,
        access: StatementAccess,
        body: StatementBody,
    ) -> Result<(), SessionEnd> {
        let start = self.gateway.now();
        let mut trace = StatementTrace::default();
        let Some(route) = self.route() else {
            let result = Err(StatementFailure::new(FailureKind::UnknownDatabase));
            return self.deliver(&id, start, &trace, result);
        };
        if let Err(failure) = self.authorize(&route).await {
            return self.deliver(&id, start, &trace, Err(failure));
        }
        let deadline = statement_deadline(&route, start);
        let request = StatementRequest { id, access, body, route, deadline };
        self.gateway.record_attempt();
        let result = match std::mem::replace(&mut self.transaction, TransactionState::None) {
            TransactionState::None => self.run_single(&request, &mut trace).await,
            TransactionState::Open(open) => {
                self.run_in_transaction(*open, &request, &mut trace).await
            }
            TransactionState::PendingFailure(failure) => {
                self.transaction = TransactionState::Failed;
                Err(failure)
            }
            TransactionState::Failed => {
                self.transaction = TransactionState::Failed;
                Err(StatementFailure::new(FailureKind::ProtocolViolation))
            }
        };
        let result = self.plan_return(&request.route, result);
        self.deliver(&request.id, start, &trace, result)
    }

    /// Tells a caller that was refused for lack of room when to come again.
    fn plan_return(&self, route: &RouteRule, result: StatementResult) -> StatementResult {
        let now = self.gateway.now();
        let mut returns = self.gateway.returns.borrow_mut();
        let plan = returns.entry(route.group.clone()).or_default();
        match result {
            Ok(answer) => {
                plan.record_served(now);
                Ok(answer)
            }
            Err(failure) if failure.kind == FailureKind::Overloaded => {
                let usual = Micros::from_millis(failure.kind.answer().retry_after_ms.into());
                let earliest =
                    if failure.retry_after == Micros::ZERO { usual } else { failure.retry_after };
                let retry_after = plan.assign(route.priority, earliest, now);
                Err(StatementFailure { retry_after, ..failure })
            }
            Err(failure) => Err(failure),
        }
    }

    /// Returns the slot request for a statement of the session.
    pub(super) const fn slot_request(
        &self,
        route: &RouteRule,
        deadline: Micros,
    ) -> SlotOptions<'_> {
        let Self { request, database, team, .. } = self;
        SlotOptions { request, database, team, priority: route.priority, deadline }
    }

    /// Returns the connection request for a statement or transaction of the session.
    pub(super) const fn lease_request(
        &self,
        route: &RouteRule,
        deadline: Micros,
        trusted_idle: Micros,
        (transaction, detour): (bool, bool),
    ) -> LeaseOptions<'_> {
        let slot = self.slot_request(route, deadline);
        let user = ConnectionUser::Session;
        LeaseOptions {
            slot,
            values: &self.values,
            prepare: None,
            begin: None,
            trusted_idle,
            transaction,
            detour,
            user,
        }
    }

    /// Returns the route of the open transaction, or else the current route of the database.
    pub(super) fn route(&self) -> Option<Arc<RouteRule>> {
        if let TransactionState::Open(open) = &self.transaction {
            return Some(Arc::clone(&open.route));
        }
        self.gateway.table().routes.get(&self.database).cloned()
    }

    /// Sends a statement's response or failure to the caller, and records it in the metrics and the log.
    pub(super) fn deliver(
        &mut self,
        id: &Bytes,
        start: Micros,
        trace: &StatementTrace,
        result: StatementResult,
    ) -> Result<(), SessionEnd> {
        let elapsed = self.gateway.now().since(start);
        let core = &self.gateway.core;
        core.time("statement.time", elapsed);
        let outcome = match &result {
            Ok(_) => "ok",
            Err(failure) => failure.kind.name(),
        };
        let _ = cadence::Counted::count_with_tags(&core.metrics, "statements", 1)
            .with_tag("outcome", outcome)
            .try_send();
        log::info!(
        target: "request",
        event:display = EventNumber::StatementEnded,
        request:display = String::from_utf8_lossy(id),
        session = self.number,
        database:display = self.database,
        team:display = self.team,
        outcome,
        server:display = trace.target.as_deref().unwrap_or("-"),
        floor:display = position_text(trace.floor),
        attempts = trace.attempts,
        hedged = trace.hedged,
        took_us = elapsed.0,
        directory = self.gateway.table().version;
        ""
        );
        match result {
            Ok(answer) => {
                let protocol = self.codec.0.clone();
                for row in &answer.rows {
                    protocol.encode_reply(CallerReply::Row(row), &mut self.output);
                }
                let signature = answer.outcome.as_ref().ok().map(|signature| &signature[..]);
                protocol.encode_reply(CallerReply::Complete(signature), &mut self.output);
                self.encode_ready(answer.position);
            }
            Err(failure) => {
                self.encode_failure(&failure);
                self.encode_ready(None);
            }
        }
        self.send()
    }

    pub(super) fn complete_locally(&mut self) -> Result<(), SessionEnd> {
        self.codec.0.encode_reply(CallerReply::Complete(None), &mut self.output);
        self.encode_ready(None);
        self.send()
    }

    pub(super) fn fail_locally(&mut self, kind: FailureKind) -> Result<(), SessionEnd> {
        self.encode_failure(&StatementFailure::new(kind));
        self.encode_ready(None);
        self.send()
    }

    fn encode_failure(&mut self, failure: &StatementFailure) {
        let message = failure.message();
        let reply = CallerReply::Failure { kind: failure.kind, detail: &message };
        self.codec.0.encode_reply(reply, &mut self.output);
    }

    fn encode_ready(&mut self, position: Option<LogPosition>) {
        let status = match self.transaction {
            TransactionState::None => TransactionStatus::Idle,
            TransactionState::Open(_) | TransactionState::PendingFailure(_) => {
                TransactionStatus::InTransaction
            }
            TransactionState::Failed => TransactionStatus::Failed,
        };
        self.codec.0.encode_reply(CallerReply::Ready { status, position }, &mut self.output);
    }

    fn send(&mut self) -> Result<(), SessionEnd> {
        let bytes = self.output.split();
        self.io.encode_slice(&bytes).map_err(|_| SessionEnd::Closed)
    }

    async fn finish(mut self, end: SessionEnd) {
        if let TransactionState::Open(open) =
            std::mem::replace(&mut self.transaction, TransactionState::None)
        {
            open.lease.clean_up();
        }
        if let SessionEnd::Malformed(error) = end {
            let kind = match error {
                FramingError::TooLarge => FailureKind::MessageTooLarge,
                FramingError::Malformed => FailureKind::ProtocolViolation,
            };
            self.refuse_session(kind);
        }
        if end == SessionEnd::Stopping {
            log::info!(
            target: "request",
            event:display = EventNumber::SessionEnded,
            session = self.number,
            database:display = self.database,
            reason = "process stopping";
            ""
            );
            // Answers a request that is on its way already; it is not read any more, so it is not run.
            self.encode_failure(&StatementFailure::new(FailureKind::Draining));
            // The caller may already have closed the connection.
            let _ = self.send();
        }
        if end != SessionEnd::Closed {
            // Closing a socket with unread input resets the connection, and the caller would lose the response.
            let _ = timeout(CLOSE_TIMEOUT, self.io.flush(true)).await;
        }
        let _ = timeout(CLOSE_TIMEOUT, self.io.shutdown()).await;
    }
}

/// Returns the deadline of a statement that was received at `start`.
pub(super) fn statement_deadline(route: &RouteRule, start: Micros) -> Micros {
    start + route.statement_timeout.since(RESPONSE_MARGIN)
}
