//! One caller's session: messages in, answers out, and what the session remembers between them.

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
        pool::{LeaseOptions, PreparedShape, SessionValues, SlotOptions},
    },
    banyansill_core::{
        collections::FastMap, directory::RouteRule, event::EventNumber, failure::FailureKind,
        names::SharedName, position::LogPosition, time::Micros, transaction::TransactionStatus,
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

/// Time within which a caller must introduce itself.
const START_LIMIT: Duration = Duration::from_secs(5);

/// Time for which a caller waits for a process that has just started and knows no routes yet; callers
/// give up after 2 s. All replicas of control together need about half a second to elect a leader.
const ROUTES_PATIENCE: Duration = Duration::from_millis(1_500);

/// Part of a statement's time that is kept back, so that the caller has the answer in time.
const ANSWER_MARGIN: Micros = Micros::from_millis(15);

/// Values and prepared statements that one session may keep.
const SESSION_ITEMS: usize = 256;

/// Time for which input is discarded after the last answer, so that a caller reads the answer.
const CLOSE_WAIT: Duration = Duration::from_millis(250);

/// Why a session ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionEnd {
    /// The caller ended it or is gone.
    Caller,
    /// The caller's bytes are no messages.
    Malformed(FramingError),
    /// The process stops.
    Stopping,
    /// Something unforeseen; the caller was told.
    Refused,
}

/// Where a session is with respect to transactions.
#[derive(Debug)]
pub(super) enum TransactionState<P>
where
    P: StatementProtocol,
{
    /// Outside a transaction.
    None,
    /// A target runs the transaction.
    Open(Box<OpenTransaction<P>>),
    /// No target could take the transaction, or it was ended; the caller has not been told.
    Broken(StatementFailure),
    /// The transaction failed and the caller knows.
    Failed,
}

/// One caller's session.
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
    /// Caller's identifier of the request that is handled.
    pub(super) request: Bytes,
    pub(super) values: SessionValues,
    prepared: FastMap<Bytes, PreparedShape>,
    /// Position that the session's reads need at least: its own commits.
    pub(super) floor: Option<LogPosition>,
    pub(super) transaction: TransactionState<P>,
    output: BytesMut,
}

/// Request of a caller that a target runs.
#[derive(Clone, Debug)]
pub(super) struct StatementRequest {
    /// Caller's identifier.
    pub(super) id: Bytes,
    /// Whether it writes.
    pub(super) access: StatementAccess,
    pub(super) body: StatementBody,
    /// Route in force when the operation began.
    pub(super) route: Arc<RouteRule>,
    /// When its time is over.
    pub(super) deadline: Micros,
}

struct OpenCount(Arc<AtomicUsize>);

impl OpenCount {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves one connection to its end.
pub(super) async fn serve<P>(io: Io, shared: Rc<SessionShared<P>>)
where
    P: StatementProtocol,
{
    let _open = OpenCount::new(&shared.open);
    let number = shared.numbers.get() + 1;
    shared.numbers.set(number);
    let codec = CallerCodec(shared.gateway.core.protocol.clone());
    let mut session = CallerSession {
        io,
        codec,
        gateway: Rc::clone(&shared.gateway),
        stage: shared.stage.clone(),
        number,
        database: SharedName::default(),
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
    /// Takes the introduction of the caller.
    async fn start(&mut self) -> Result<(), SessionEnd> {
        let first = timeout(START_LIMIT, self.receive()).await;
        match first.map_err(|_| SessionEnd::Caller)?? {
            CallerMessage::Start { database } => self.database = database,
            CallerMessage::End => return Err(SessionEnd::Caller),
            CallerMessage::Statement { .. } | CallerMessage::Malformed => {
                self.refuse_session(FailureKind::ProtocolViolation);
                return Err(SessionEnd::Refused);
            }
        }
        let table = self.gateway.routes_within(ROUTES_PATIENCE).await;
        if table.routes.contains_key(&self.database) {
            self.gateway.core.count("sessions.opened");
            self.put_ready(None);
            return self.send();
        }
        // Without routes this host cannot know that the database does not exist.
        let kind = if table.book_version == 0 {
            FailureKind::NoSheet
        } else {
            FailureKind::UnknownDatabase
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
        self.put_failure(&failure);
        // The caller may be gone already.
        let _ = self.send();
    }

    async fn run(&mut self) -> SessionEnd {
        loop {
            let message = match self.next().await {
                Ok(Some(message)) => message,
                Ok(None) => continue,
                Err(end) => return end,
            };
            let handled = match message {
                CallerMessage::Statement { id, statement } => self.handle(id, statement).await,
                CallerMessage::Start { .. } | CallerMessage::Malformed => {
                    self.fail_locally(FailureKind::ProtocolViolation)
                }
                CallerMessage::End => Err(SessionEnd::Caller),
            };
            if let Err(end) = handled {
                return end;
            }
        }
    }

    /// Waits for the next message; returns `None` after anything else that was dealt with.
    async fn next(&mut self) -> Result<Option<CallerMessage>, SessionEnd> {
        let at_rest = matches!(self.transaction, TransactionState::None);
        let needed = if at_rest { StopStage::Closing } else { StopStage::Ending };
        let idle = match &self.transaction {
            TransactionState::Open(open) => open.idle_limit,
            _ => Micros::ZERO,
        };
        let mut stage = self.stage.clone();
        tokio::select! {
            biased;
            message = self.receive() => message.map(Some),
            _ = stage.wait_for(|stage| *stage >= needed) => Err(SessionEnd::Stopping),
            () = sleep(idle.as_duration()), if idle > Micros::ZERO => {
                self.end_idle_transaction();
                Ok(None)
            }
        }
    }

    async fn receive(&self) -> Result<CallerMessage, SessionEnd> {
        match self.io.recv(&self.codec).await {
            Ok(Some(message)) => Ok(message),
            Ok(None) | Err(Either::Right(_)) => Err(SessionEnd::Caller),
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
                if self.values.len() >= SESSION_ITEMS && !self.values.contains_key(&name) {
                    return self.fail_locally(FailureKind::TooManyCallers);
                }
                self.values.insert(name, value);
                self.set_in_transaction().await;
                self.complete_locally()
            }
            Statement::Prepare { name, access, shape } => {
                if self.prepared.len() >= SESSION_ITEMS && !self.prepared.contains_key(&name) {
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
        let begun = self.gateway.now();
        let mut trace = StatementTrace::default();
        let Some(route) = self.route() else {
            let result = Err(StatementFailure::new(FailureKind::UnknownDatabase));
            return self.deliver(&id, begun, &trace, result);
        };
        let deadline = statement_deadline(&route, begun);
        let request = StatementRequest { id, access, body, route, deadline };
        self.gateway.record_attempt();
        let result = match std::mem::replace(&mut self.transaction, TransactionState::None) {
            TransactionState::None => self.run_single(&request, &mut trace).await,
            TransactionState::Open(open) => {
                self.run_in_transaction(*open, &request, &mut trace).await
            }
            TransactionState::Broken(failure) => {
                self.transaction = TransactionState::Failed;
                Err(failure)
            }
            TransactionState::Failed => {
                self.transaction = TransactionState::Failed;
                Err(StatementFailure::new(FailureKind::ProtocolViolation))
            }
        };
        self.deliver(&request.id, begun, &trace, result)
    }

    /// Returns what a statement of the session needs of a target's slots.
    pub(super) const fn slot_wish(&self, route: &RouteRule, deadline: Micros) -> SlotOptions<'_> {
        let Self { request, database, .. } = self;
        SlotOptions { request, database, priority: route.priority, deadline }
    }

    /// Returns what a statement or transaction of the session wants of a connection.
    pub(super) const fn wish(
        &self,
        route: &RouteRule,
        deadline: Micros,
        trusted_idle: Micros,
        (transaction, detour): (bool, bool),
    ) -> LeaseOptions<'_> {
        let slot = self.slot_wish(route, deadline);
        LeaseOptions { slot, values: &self.values, trusted_idle, transaction, detour }
    }

    /// Returns the route of the session: that of its transaction, or the one in force.
    pub(super) fn route(&self) -> Option<Arc<RouteRule>> {
        if let TransactionState::Open(open) = &self.transaction {
            return Some(Arc::clone(&open.route));
        }
        self.gateway.table().routes.get(&self.database).cloned()
    }

    /// Sends the answer of a target or a failure, and writes the line of the statement.
    pub(super) fn deliver(
        &mut self,
        id: &Bytes,
        begun: Micros,
        trace: &StatementTrace,
        result: StatementResult,
    ) -> Result<(), SessionEnd> {
        let took = self.gateway.now().since(begun);
        let core = &self.gateway.core;
        core.time("statement.time", took);
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
            outcome,
            server:display = trace.target.as_deref().unwrap_or("-"),
            floor:display = position_text(trace.floor),
            attempts = trace.attempts,
            hedged = trace.hedged,
            took_us = took.0,
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
                self.put_ready(answer.position);
            }
            Err(failure) => {
                self.put_failure(&failure);
                self.put_ready(None);
            }
        }
        self.send()
    }

    pub(super) fn complete_locally(&mut self) -> Result<(), SessionEnd> {
        self.codec.0.encode_reply(CallerReply::Complete(None), &mut self.output);
        self.put_ready(None);
        self.send()
    }

    pub(super) fn fail_locally(&mut self, kind: FailureKind) -> Result<(), SessionEnd> {
        self.put_failure(&StatementFailure::new(kind));
        self.put_ready(None);
        self.send()
    }

    fn put_failure(&mut self, failure: &StatementFailure) {
        let sentence = failure.sentence();
        let reply = CallerReply::Failure { kind: failure.kind, detail: &sentence };
        self.codec.0.encode_reply(reply, &mut self.output);
    }

    fn put_ready(&mut self, position: Option<LogPosition>) {
        let status = match self.transaction {
            TransactionState::None => TransactionStatus::Idle,
            TransactionState::Open(_) | TransactionState::Broken(_) => {
                TransactionStatus::InTransaction
            }
            TransactionState::Failed => TransactionStatus::Failed,
        };
        self.codec.0.encode_reply(CallerReply::Ready { status, position }, &mut self.output);
    }

    fn send(&mut self) -> Result<(), SessionEnd> {
        let bytes = self.output.split();
        self.io.encode_slice(&bytes).map_err(|_| SessionEnd::Caller)
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
        }
        if end != SessionEnd::Caller {
            // Closing a socket with unread input resets it, and the caller would lose the answer.
            let _ = timeout(CLOSE_WAIT, self.io.flush(true)).await;
        }
        let _ = timeout(CLOSE_WAIT, self.io.shutdown()).await;
    }
}

/// Returns when the time of a statement that was read at `begun` is over.
pub(super) fn statement_deadline(route: &RouteRule, begun: Micros) -> Micros {
    begun + route.statement_timeout.since(ANSWER_MARGIN)
}
