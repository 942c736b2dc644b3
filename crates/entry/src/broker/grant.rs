//! Lifecycle of one grant: admission, acquisition of a slot and a connection, and release.

use {
    super::{
        connection::TargetConnection,
        refusal::failure,
        shared::{GrantCount, HubShared},
        target::{
            HeldSlot, QueuedSlot, SlotAssignment, SlotResponse, TargetGate, TargetShared,
            WriteCount, gate_closed,
        },
    },
    crate::link::{
        GrantAccess, GrantPeer, GrantRequest, LinkFailure, LinkInput, LinkOutput, TransactionStatus,
    },
    banyansill_core::{
        broker::{BrokerView, ConnectionState, ReleaseAction},
        event::EventNumber,
        failure::FailureKind,
        position::{LogPosition, LogTerm},
        queue::SlotRequest,
        time::Micros,
    },
    bytes::{Bytes, BytesMut},
    std::{
        collections::VecDeque,
        pin::Pin,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{Instant, Sleep, sleep_until, timeout},
    },
};

/// Timeout for a cancelled statement to end, after which its connection is closed.
pub(super) const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for the session's first statement, after which the granted slot is freed.
pub(super) const FIRST_DATA_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of session messages buffered while the grant waits for a slot.
pub(super) const PENDING_INPUT_LIMIT: usize = 64;

/// How a grant ends.
#[derive(Debug)]
pub(super) enum GrantEnd {
    /// The session released the grant or closed its end of the link.
    Released,
    /// Nothing was executed.
    Refused(LinkFailure),
    /// A statement was sent and its response is unknown or must not be forwarded.
    Lost(LinkFailure),
}

impl GrantEnd {
    pub(super) fn refused(kind: FailureKind, detail: &str) -> Self {
        Self::Refused(failure(kind, detail))
    }

    pub(super) fn lost(kind: FailureKind, detail: &str) -> Self {
        Self::Lost(failure(kind, detail))
    }
}

/// State of one grant.
pub(super) struct GrantTask {
    pub(super) shared: Arc<TargetShared>,
    pub(super) hub: Arc<HubShared>,
    pub(super) request: GrantRequest,
    pub(super) input: mpsc::Receiver<LinkInput>,
    pub(super) output: mpsc::Sender<LinkOutput>,
    pub(super) gate: watch::Receiver<TargetGate>,
    pub(super) connection: Option<TargetConnection>,
    pub(super) slot: Option<HeldSlot>,
    pub(super) queued: Option<QueuedSlot>,
    /// Session messages that wait for a slot.
    pub(super) pending_input: VecDeque<Bytes>,
    /// Messages that wait for room in the link to the session.
    pub(super) outbox: VecDeque<LinkOutput>,
    /// Response to a commit that waits for confirmation by a second server.
    pub(super) unconfirmed: Option<(Bytes, LinkOutput)>,
    pub(super) confirmation: Option<oneshot::Receiver<bool>>,
    /// Bytes not yet written to the target.
    pub(super) target_buffer: BytesMut,
    /// Bytes from the target not yet forwarded to the session.
    pub(super) session_buffer: BytesMut,
    pub(super) status: TransactionStatus,
    /// Position at the last ReadyForQuery outside a transaction.
    pub(super) baseline: Option<LogPosition>,
    pub(super) opened: Instant,
    /// When the running statement was sent.
    pub(super) started: Option<Instant>,
    pub(super) deadline: Option<Instant>,
    pub(super) timer: Pin<Box<Sleep>>,
    /// When the running statement's connection is abandoned if the target sends nothing.
    pub(super) silence_deadline: Option<Instant>,
    /// No statement of this grant has completed yet.
    pub(super) first_statement: bool,
    /// The session has left state on the connection, which must be reset.
    pub(super) tainted: bool,
    /// A cancel was sent for the running statement.
    pub(super) cancelling: bool,
    /// A cancel was sent and may still reach a later statement.
    pub(super) cancel_unresolved: bool,
    /// Handed over to the connection cleanup, which outlives the grant.
    count: Option<GrantCount>,
    write: Option<WriteCount>,
}

impl GrantTask {
    pub(super) async fn run(
        shared: Arc<TargetShared>,
        hub: Arc<HubShared>,
        peer: GrantPeer,
        count: GrantCount,
    ) {
        let opened = Instant::now();
        // The write is counted before the gate is checked, so that a term with an admitted write is
        // never reported as fenced.
        let writes = peer.request.access == GrantAccess::Write;
        let write = writes.then(|| WriteCount::new(&shared));
        let gate = shared.gate.subscribe();
        let deadline = opened + peer.request.deadline.as_duration();
        let mut grant = Self {
            shared,
            hub,
            request: peer.request,
            input: peer.input,
            output: peer.output,
            gate,
            connection: None,
            slot: None,
            queued: None,
            pending_input: VecDeque::new(),
            outbox: VecDeque::new(),
            unconfirmed: None,
            confirmation: None,
            target_buffer: BytesMut::new(),
            session_buffer: BytesMut::new(),
            status: TransactionStatus::Idle,
            baseline: None,
            opened,
            started: None,
            silence_deadline: None,
            deadline: Some(deadline),
            timer: Box::pin(sleep_until(deadline)),
            first_statement: true,
            tainted: false,
            cancelling: false,
            cancel_unresolved: false,
            count: Some(count),
            write,
        };
        let end = match grant.acquire_slot().await {
            Ok(()) => grant.serve().await,
            Err(end) => end,
        };
        grant.end(end).await;
    }

    pub(super) fn writes(&self) -> bool {
        self.request.access == GrantAccess::Write
    }

    async fn acquire_slot(&mut self) -> Result<(), GrantEnd> {
        self.admit(self.admission_wait()).await?;
        let queued_at = Instant::now();
        match self.shared.request_slot(self.slot_request(false)).map_err(GrantEnd::Refused)? {
            SlotResponse::Assigned(assignment) => self.accept_slot(assignment),
            SlotResponse::Queued(queued) => self.wait_in_queue(queued).await?,
        }
        // While the request was queued, the status has aged and the term may have changed.
        if queued_at.elapsed() > Duration::from_millis(1) {
            self.admit(Micros::from_millis(20)).await?;
        }
        Ok(())
    }

    pub(super) fn admission_wait(&self) -> Micros {
        let gate = self.gate.borrow();
        self.shared.view(&gate, |view| view.admission_wait(self.request.deadline))
    }

    pub(super) fn slot_request(&self, continues_transaction: bool) -> SlotRequest {
        let now = Instant::now();
        let left = self.deadline.map_or(self.request.deadline, |deadline| {
            let left = deadline.saturating_duration_since(now).as_micros();
            Micros(u64::try_from(left).unwrap_or(u64::MAX))
        });
        let fingerprint = if self.first_statement { self.request.fingerprint } else { 0 };
        SlotRequest {
            application: self.request.application.clone(),
            kind: self.request.kind.clone(),
            priority: self.request.priority,
            deadline: self.shared.clock.now() + left,
            fingerprint,
            hint: if self.first_statement { self.request.estimate } else { None },
            limit: self.hub.concurrency_limit(&self.request),
            continues_transaction,
        }
    }

    pub(super) fn accept_slot(&mut self, assignment: SlotAssignment) {
        self.slot = Some(assignment.slot);
        if let Some(connection) = assignment.connection
            && let Ok(connection) = connection.register_here()
        {
            self.baseline = connection.position();
            self.connection = Some(connection);
            self.shared.counters.granted.fetch_add(1, Ordering::Relaxed);
            self.shared.counters.waited_us.fetch_add(assignment.waited.0, Ordering::Relaxed);
            self.outbox.push_back(LinkOutput::Granted { waited: assignment.waited });
        }
    }

    async fn wait_in_queue(&mut self, mut queued: QueuedSlot) -> Result<(), GrantEnd> {
        loop {
            tokio::select! {
                biased;
                response = &mut queued.response => {
                    let assignment = response
                        .map_err(|_| GrantEnd::refused(FailureKind::WrongEpoch, "broker closed"))?
                        .map_err(GrantEnd::Refused)?;
                    self.accept_slot(assignment);
                    return Ok(());
                }
                () = self.timer.as_mut() => {
                    let detail = "the deadline passed in the queue";
                    return Err(GrantEnd::refused(FailureKind::QueueTimeout, detail));
                }
                event = next_wait_event(
                    &mut self.input,
                    &mut self.gate,
                    self.pending_input.len()
                ) => {
                    self.handle_wait_event(event)?;
                }
            }
        }
    }

    /// Checks the request against the gate and the target's status, waiting at most `limit` for a
    /// status that allows it.
    pub(super) async fn admit(&mut self, limit: Micros) -> Result<(), GrantEnd> {
        let kind = match self.check_request() {
            Ok(()) => return Ok(()),
            Err(kind) => kind,
        };
        if kind != FailureKind::TooStale {
            return Err(GrantEnd::refused(kind, "refused by the broker"));
        }
        let until = Instant::now() + limit.as_duration();
        let mut status = self.shared.status.subscribe();
        loop {
            status.mark_unchanged();
            match self.check_request() {
                Ok(()) => return Ok(()),
                Err(FailureKind::TooStale) => {}
                Err(kind) => return Err(GrantEnd::refused(kind, "refused by the broker")),
            }
            self.shared.poll_fast(Micros::from_millis(10));
            tokio::select! {
                biased;
                _ = status.changed() => {}
                event = next_wait_event(
                    &mut self.input,
                    &mut self.gate,
                    self.pending_input.len()
                ) => {
                    self.handle_wait_event(event)?;
                }
                () = sleep_until(until) => {
                    let kind = if self.writes() { FailureKind::NoPrimary } else { kind };
                    return Err(GrantEnd::refused(kind, "the target was not ready in time"));
                }
            }
        }
    }

    fn check_request(&self) -> Result<(), FailureKind> {
        let gate = self.gate.borrow();
        if !gate.open || gate.closing {
            let leased = self.shared.lease.is_valid();
            return Err(if leased { FailureKind::WrongEpoch } else { FailureKind::NoLease });
        }
        if !gate.reachable {
            return Err(FailureKind::Unreachable);
        }
        if gate.epoch != self.request.epoch {
            return Err(FailureKind::WrongEpoch);
        }
        if gate.draining {
            return Err(FailureKind::Leaving);
        }
        self.shared.view(&gate, |view| self.check_view(view))
    }

    fn check_view(&self, view: &BrokerView<'_>) -> Result<(), FailureKind> {
        if !self.writes() {
            return view.check_read(self.request.floor, self.request.max_age);
        }
        view.check_write(LogTerm(self.request.term))?;
        if view.confirmed_primary() { Ok(()) } else { Err(FailureKind::TooStale) }
    }

    fn handle_wait_event(&mut self, event: WaitEvent) -> Result<(), GrantEnd> {
        match event {
            WaitEvent::Gate => match self.check_request() {
                Ok(()) | Err(FailureKind::TooStale) => Ok(()),
                Err(kind) => Err(GrantEnd::refused(kind, "refused by the broker")),
            },
            WaitEvent::Input(Some(LinkInput::Data(data))) => {
                self.pending_input.push_back(data);
                Ok(())
            }
            WaitEvent::Input(Some(LinkInput::Taint)) => {
                self.tainted = true;
                Ok(())
            }
            WaitEvent::Input(Some(LinkInput::Cancel)) => {
                Err(GrantEnd::refused(FailureKind::CancelledInQueue, "cancelled by the caller"))
            }
            WaitEvent::Input(Some(LinkInput::Release) | None) => Err(GrantEnd::Released),
        }
    }

    async fn end(&mut self, end: GrantEnd) {
        self.queued = None;
        let final_output = match end {
            GrantEnd::Released => None,
            GrantEnd::Refused(failure) => {
                self.shared.counters.refused.fetch_add(1, Ordering::Relaxed);
                Some(LinkOutput::Refused(failure))
            }
            GrantEnd::Lost(failure) => {
                self.shared.counters.lost.fetch_add(1, Ordering::Relaxed);
                Some(LinkOutput::Lost(failure))
            }
        };
        let unsent =
            final_output.and_then(|final_output| match self.output.try_send(final_output) {
                Err(mpsc::error::TrySendError::Full(final_output)) => Some(final_output),
                _ => None,
            });
        // The connection is released first: a session that does not read must not hold it.
        self.release_connection();
        if let Some(final_output) = unsent {
            let _ = self.output.send(final_output).await;
        }
    }

    // Must not block, because it also runs on drop when the grant's thread ends.
    fn release_connection(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        let state = ConnectionState {
            idle: self.status == TransactionStatus::Idle,
            reply_pending: !connection.replies.is_idle() || !self.target_buffer.is_empty(),
            cancel_pending: self.cancel_unresolved || self.cancelling,
            tainted: self.tainted,
        };
        let action = state.release_action();
        if action == ReleaseAction::Reuse {
            self.slot = None;
            self.shared.put_back(connection);
            return;
        }
        let cleanup = ConnectionCleanup {
            shared: Arc::clone(&self.shared),
            connection,
            slot: self.slot.take(),
            _count: self.count.take(),
            _write: self.write.take(),
        };
        if action == ReleaseAction::Reset {
            self.hub.runtime.spawn(cleanup.reset());
            return;
        }
        let fields = [
            ("database", self.shared.database.to_string()),
            ("server", self.shared.server.to_string()),
        ];
        self.shared.events.record(EventNumber::ConnectionDiscarded, &fields);
        if state.reply_pending {
            self.hub.runtime.spawn(cleanup.close());
        }
    }
}

impl Drop for GrantTask {
    fn drop(&mut self) {
        self.release_connection();
    }
}

/// Resets or closes the connection of an ended grant.
///
/// Runs on the shared runtime, so that it outlives the grant's thread.
struct ConnectionCleanup {
    shared: Arc<TargetShared>,
    connection: TargetConnection,
    slot: Option<HeldSlot>,
    _count: Option<GrantCount>,
    _write: Option<WriteCount>,
}

impl ConnectionCleanup {
    async fn reset(mut self) {
        self.slot = None;
        let shared = Arc::clone(&self.shared);
        let mut gate = shared.gate.subscribe();
        let Ok(mut connection) = self.connection.register_here() else { return };
        // A closing gate aborts the reset, so that no connection outlives the lease.
        let reset = tokio::select! {
            reset = connection.discard_all(CANCEL_TIMEOUT) => reset,
            () = gate_closed(&mut gate) => return,
        };
        if reset.is_ok() {
            shared.put_back(connection);
        }
    }

    async fn close(self) {
        let shared = Arc::clone(&self.shared);
        let mut gate = shared.gate.subscribe();
        let Ok(mut connection) = self.connection.register_here() else { return };
        // The slot stays occupied while the target may still execute the statement.
        let end = async {
            let key = connection.cancel_key.clone();
            let _ = key.send(CANCEL_TIMEOUT).await;
            let _ = timeout(CANCEL_TIMEOUT, drain(&mut connection)).await;
        };
        tokio::select! {
            () = end => {}
            () = gate_closed(&mut gate) => {}
        }
    }
}

// Reads until the target has ended the statement or closed the connection.
async fn drain(connection: &mut TargetConnection) {
    use tokio::io::AsyncReadExt;
    let mut out = BytesMut::new();
    loop {
        out.clear();
        match connection.replies.next_step(&mut connection.read, &mut out, false) {
            Ok(super::replies::OutputStep::NeedMore) => {}
            Ok(super::replies::OutputStep::Chunk) => continue,
            Ok(super::replies::OutputStep::Ready(_)) if !connection.replies.is_idle() => continue,
            _ => return,
        }
        match connection.stream.read_buf(&mut connection.read).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Event for a grant that waits for admission or a slot.
pub(super) enum WaitEvent {
    Gate,
    Input(Option<LinkInput>),
}

async fn next_wait_event(
    input: &mut mpsc::Receiver<LinkInput>,
    gate: &mut watch::Receiver<TargetGate>,
    pending_input: usize,
) -> WaitEvent {
    tokio::select! {
        biased;
        _ = gate.changed() => WaitEvent::Gate,
        message = input.recv(), if pending_input < PENDING_INPUT_LIMIT => WaitEvent::Input(message),
    }
}
