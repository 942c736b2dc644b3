//! One grant: admission, the way to a slot and a connection, and the end.

use {
    super::{
        connection::TargetConnection,
        refusal::failure,
        shared::{GrantCount, HubShared},
        target::{
            HeldSlot, QueuedSlot, SlotAnswer, SlotAssignment, TargetGate, TargetShared, WriteCount,
            gate_closed,
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

/// Time within which a cancelled statement must end before its connection is closed.
pub(super) const CANCEL_WAIT: Duration = Duration::from_secs(1);

/// Time that a granted slot waits for the first statement before others get it.
pub(super) const FIRST_DATA_WAIT: Duration = Duration::from_millis(100);

/// Messages of a session that are kept while it waits for a slot.
pub(super) const STALLED_LIMIT: usize = 64;

/// How a grant ends.
#[derive(Debug)]
pub(super) enum GrantEnd {
    /// The session released the grant or has gone.
    Released,
    /// Certainly not run.
    Refused(LinkFailure),
    /// Something was sent and its answer is not known or not to be passed on.
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
    /// Input that waits for a slot.
    pub(super) stalled: VecDeque<Bytes>,
    pub(super) outbox: VecDeque<LinkOutput>,
    /// Answer of a commit that waits for a second server.
    pub(super) unconfirmed: Option<(Bytes, LinkOutput)>,
    pub(super) confirmation: Option<oneshot::Receiver<bool>>,
    /// Bytes on their way to the target.
    pub(super) wire: BytesMut,
    /// Bytes on their way to the session.
    pub(super) out: BytesMut,
    pub(super) status: TransactionStatus,
    /// Position at the last ReadyForQuery outside a transaction.
    pub(super) baseline: Option<LogPosition>,
    pub(super) opened: Instant,
    /// When the running statement was sent.
    pub(super) started: Option<Instant>,
    pub(super) deadline: Option<Instant>,
    pub(super) timer: Pin<Box<Sleep>>,
    /// When the running statement's connection is given up if the target sends nothing.
    pub(super) suspect: Option<Instant>,
    pub(super) first: bool,
    pub(super) tainted: bool,
    /// A cancel was sent for the running statement.
    pub(super) cancelling: bool,
    pub(super) cancel_in_doubt: bool,
    /// Passed on to the settlement of the connection, which ends after the grant.
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
        // Counted before the gate is checked, so that a term with an admitted write is never reported
        // as fenced.
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
            stalled: VecDeque::new(),
            outbox: VecDeque::new(),
            unconfirmed: None,
            confirmation: None,
            wire: BytesMut::new(),
            out: BytesMut::new(),
            status: TransactionStatus::Idle,
            baseline: None,
            opened,
            started: None,
            suspect: None,
            deadline: Some(deadline),
            timer: Box::pin(sleep_until(deadline)),
            first: true,
            tainted: false,
            cancelling: false,
            cancel_in_doubt: false,
            count: Some(count),
            write,
        };
        let end = match grant.begin().await {
            Ok(()) => grant.serve().await,
            Err(end) => end,
        };
        grant.end(end).await;
    }

    pub(super) fn writes(&self) -> bool {
        self.request.access == GrantAccess::Write
    }

    async fn begin(&mut self) -> Result<(), GrantEnd> {
        self.admit(self.admission_wait()).await?;
        let queued_at = Instant::now();
        match self.shared.request_slot(self.slot_request(false)).map_err(GrantEnd::Refused)? {
            SlotAnswer::Now(assignment) => self.take_slot(assignment),
            SlotAnswer::Later(queued) => self.wait_in_queue(queued).await?,
        }
        // The age of an answer grows in the queue and the term may have changed.
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
        let fingerprint = if self.first { self.request.fingerprint } else { 0 };
        SlotRequest {
            application: self.request.application.clone(),
            kind: self.request.kind.clone(),
            priority: self.request.priority,
            deadline: self.shared.clock.now() + left,
            fingerprint,
            hint: if self.first { self.request.estimate } else { None },
            limit: self.hub.concurrency_limit(&self.request),
            continues_transaction,
        }
    }

    pub(super) fn take_slot(&mut self, assignment: SlotAssignment) {
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
                answer = &mut queued.answer => {
                    let assignment = answer
                        .map_err(|_| GrantEnd::refused(FailureKind::WrongEpoch, "the broker closed"))?
                        .map_err(GrantEnd::Refused)?;
                    self.take_slot(assignment);
                    return Ok(());
                }
                () = self.timer.as_mut() => {
                    let detail = "the deadline passed in the queue";
                    return Err(GrantEnd::refused(FailureKind::QueueTimeout, detail));
                }
                event = next_input(&mut self.input, &mut self.gate, self.stalled.len()) => {
                    self.take_early(event)?;
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
            self.shared.poll_closely(Micros::from_millis(10));
            tokio::select! {
                biased;
                _ = status.changed() => {}
                event = next_input(&mut self.input, &mut self.gate, self.stalled.len()) => {
                    self.take_early(event)?;
                }
                () = sleep_until(until) => {
                    let kind = if self.writes() { FailureKind::NoPrimary } else { kind };
                    return Err(GrantEnd::refused(kind, "the target did not get there in time"));
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

    fn take_early(&mut self, event: EarlyEvent) -> Result<(), GrantEnd> {
        match event {
            EarlyEvent::Gate => match self.check_request() {
                Ok(()) | Err(FailureKind::TooStale) => Ok(()),
                Err(kind) => Err(GrantEnd::refused(kind, "refused by the broker")),
            },
            EarlyEvent::Input(Some(LinkInput::Data(data))) => {
                self.stalled.push_back(data);
                Ok(())
            }
            EarlyEvent::Input(Some(LinkInput::Taint)) => {
                self.tainted = true;
                Ok(())
            }
            EarlyEvent::Input(Some(LinkInput::Cancel)) => {
                Err(GrantEnd::refused(FailureKind::CancelledInQueue, "cancelled by the caller"))
            }
            EarlyEvent::Input(Some(LinkInput::Release) | None) => Err(GrantEnd::Released),
        }
    }

    async fn end(&mut self, end: GrantEnd) {
        self.queued = None;
        let notice = match end {
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
        let late = notice.and_then(|notice| match self.output.try_send(notice) {
            Err(mpsc::error::TrySendError::Full(notice)) => Some(notice),
            _ => None,
        });
        // The connection is settled first: a session that does not read must not keep it.
        self.settle();
        if let Some(notice) = late {
            let _ = self.output.send(notice).await;
        }
    }

    // Does not wait, because it also runs when the thread of the grant ends.
    fn settle(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        let state = ConnectionState {
            idle: self.status == TransactionStatus::Idle,
            reply_pending: !connection.replies.is_idle() || !self.wire.is_empty(),
            cancel_pending: self.cancel_in_doubt || self.cancelling,
            tainted: self.tainted,
        };
        let action = state.release_action();
        if action == ReleaseAction::Reuse {
            self.slot = None;
            self.shared.put_back(connection);
            return;
        }
        let settlement = ConnectionSettlement {
            shared: Arc::clone(&self.shared),
            connection,
            slot: self.slot.take(),
            _count: self.count.take(),
            _write: self.write.take(),
        };
        if action == ReleaseAction::Reset {
            self.hub.runtime.spawn(settlement.reset());
            return;
        }
        let fields = [
            ("database", self.shared.database.to_string()),
            ("server", self.shared.server.to_string()),
        ];
        self.shared.events.record(EventNumber::ConnectionDiscarded, &fields);
        if state.reply_pending {
            self.hub.runtime.spawn(settlement.close());
        }
    }
}

impl Drop for GrantTask {
    fn drop(&mut self) {
        self.settle();
    }
}

/// Connection of an ended grant on its way to a known state.
///
/// Runs on the shared runtime, so that it outlives the thread of the grant.
struct ConnectionSettlement {
    shared: Arc<TargetShared>,
    connection: TargetConnection,
    slot: Option<HeldSlot>,
    _count: Option<GrantCount>,
    _write: Option<WriteCount>,
}

impl ConnectionSettlement {
    async fn reset(mut self) {
        self.slot = None;
        let shared = Arc::clone(&self.shared);
        let mut gate = shared.gate.subscribe();
        let Ok(mut connection) = self.connection.register_here() else { return };
        // A closed gate ends every wait at once, so that no connection outlives the lease.
        let reset = tokio::select! {
            reset = connection.discard_all(CANCEL_WAIT) => reset,
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
        // The slot stays taken while the target may still execute the statement.
        let end = async {
            let key = connection.cancel_key.clone();
            let _ = key.send(CANCEL_WAIT).await;
            let _ = timeout(CANCEL_WAIT, drain(&mut connection)).await;
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

/// What may happen to a grant before it holds a slot.
pub(super) enum EarlyEvent {
    Gate,
    Input(Option<LinkInput>),
}

async fn next_input(
    input: &mut mpsc::Receiver<LinkInput>,
    gate: &mut watch::Receiver<TargetGate>,
    stalled: usize,
) -> EarlyEvent {
    tokio::select! {
        biased;
        _ = gate.changed() => EarlyEvent::Gate,
        message = input.recv(), if stalled < STALLED_LIMIT => EarlyEvent::Input(message),
    }
}
