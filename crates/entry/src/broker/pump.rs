//! Forwards messages of one grant between the session and the target.

use {
    super::{
        grant::{CANCEL_TIMEOUT, FIRST_DATA_TIMEOUT, GrantEnd, GrantTask, PENDING_INPUT_LIMIT},
        replies::OutputStep,
        target::{SlotAssignment, SlotResponse},
    },
    crate::link::{LinkFailure, LinkInput, LinkOutput, TransactionStatus},
    banyansill_core::{event::EventNumber, failure::FailureKind, position::LogTerm, time::Micros},
    bytes::Bytes,
    std::{io, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        sync::{mpsc::error::TrySendError, oneshot},
        time::{Instant, sleep_until},
    },
};

/// Size of the target buffer, in bytes, from which no more session input is read.
const TARGET_BUFFER_LIMIT: usize = 256 << 10;

/// Free space in bytes reserved in the read buffer before each read.
const READ_RESERVE: usize = 16 << 10;

/// Timeout for output from the target on a suspect connection, after which it is abandoned.
///
/// Short statements complete well within it; a long-running report on a working connection has
/// usually sent rows by then.
const SUSPECT_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

#[allow(clippy::large_enum_variant, reason = "moving an assignment is cheaper than a box for it")]
enum PumpEvent {
    Gate,
    OutputCapacity,
    Slot(Result<SlotAssignment, LinkFailure>),
    Input(Option<LinkInput>),
    Read(io::Result<usize>),
    Wrote(io::Result<usize>),
    Timer,
    SilenceTimeout,
    Confirmed(bool),
}

impl GrantTask {
    /// Forwards messages until the grant ends.
    pub(super) async fn serve(&mut self) -> GrantEnd {
        match self.forward_messages().await {
            Ok(never) => match never {},
            Err(end) => end,
        }
    }

    async fn forward_messages(&mut self) -> Result<std::convert::Infallible, GrantEnd> {
        if self.pending_input.is_empty() {
            self.arm_timer(Instant::now() + FIRST_DATA_TIMEOUT);
        }
        self.feed_pending_input()?;
        loop {
            self.flush_outbox()?;
            self.flush_wire()?;
            match self.next_event().await? {
                PumpEvent::Gate => self.handle_gate_change()?,
                PumpEvent::OutputCapacity => {
                    self.flush_outbox()?;
                    self.process_output()?;
                }
                PumpEvent::Slot(response) => {
                    self.queued = None;
                    let assignment = response.map_err(|failure| self.slot_refused(failure))?;
                    self.accept_slot(assignment);
                    self.feed_pending_input()?;
                }
                PumpEvent::Input(message) => self.handle_input(message).await?,
                PumpEvent::Read(Ok(count)) if count > 0 => {
                    self.silence_deadline = None;
                    self.process_output()?;
                }
                PumpEvent::Wrote(Ok(count)) if count > 0 => {}
                PumpEvent::Read(_) | PumpEvent::Wrote(_) => {
                    return Err(self.interrupted(FailureKind::ConnectionLost));
                }
                PumpEvent::Timer => self.handle_timer()?,
                PumpEvent::SilenceTimeout => {
                    return Err(self.interrupted(FailureKind::ConnectionLost));
                }
                PumpEvent::Confirmed(confirmed) => self.handle_confirmation(confirmed)?,
            }
        }
    }

    async fn next_event(&mut self) -> Result<PumpEvent, GrantEnd> {
        let Some(connection) = self.connection.as_mut() else {
            return Err(GrantEnd::refused(FailureKind::Unreachable, "no connection"));
        };
        connection.read.reserve(READ_RESERVE);
        let (mut reader, mut writer) = connection.stream.split();
        let accepts_output = self.outbox.is_empty() && self.unconfirmed.is_none();
        let accepts_input = self.target_buffer.len() < TARGET_BUFFER_LIMIT
            && self.pending_input.len() < PENDING_INPUT_LIMIT;
        let event = tokio::select! {
            biased;
            _ = self.gate.changed() => PumpEvent::Gate,
            permit = self.output.reserve(), if !self.outbox.is_empty() => match permit {
                Ok(_) => PumpEvent::OutputCapacity,
                Err(_) => return Err(GrantEnd::Released),
            },
            confirmed = recv_confirmation(&mut self.confirmation),
                if self.confirmation.is_some() =>
            {
                PumpEvent::Confirmed(confirmed.unwrap_or(false))
            }
            read = reader.read_buf(&mut connection.read), if accepts_output =>
                PumpEvent::Read(read),
            message = self.input.recv(), if accepts_input => PumpEvent::Input(message),
            wrote = writer.write_buf(&mut self.target_buffer),
                if !self.target_buffer.is_empty() =>
            {
                PumpEvent::Wrote(wrote)
            }
            response = async {
                match &mut self.queued {
                    Some(queued) => (&mut queued.response).await.ok(),
                    None => None,
                }
            }, if self.queued.is_some() => match response {
                Some(response) => PumpEvent::Slot(response),
                None => return Err(self.interrupted(FailureKind::WrongEpoch)),
            },
            () = self.timer.as_mut(), if self.deadline.is_some() => PumpEvent::Timer,
            () = sleep_until_some(self.silence_deadline), if self.silence_deadline.is_some() =>
                PumpEvent::SilenceTimeout,
        };
        Ok(event)
    }

    // Resets the timer only if it would fire too late: most statements end before it matters.
    fn arm_timer(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
        if self.timer.is_elapsed() || self.timer.deadline() > deadline {
            self.timer.as_mut().reset(deadline);
        }
    }

    fn flush_wire(&mut self) -> Result<(), GrantEnd> {
        if self.target_buffer.is_empty() {
            return Ok(());
        }
        let Some(connection) = self.connection.as_mut() else { return Ok(()) };
        match connection.stream.try_write(&self.target_buffer) {
            Ok(count) => {
                bytes::Buf::advance(&mut self.target_buffer, count);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(_) => Err(self.interrupted(FailureKind::ConnectionLost)),
        }
    }

    // Checks the lease and the term under the gate's lock, so that no response enters the link
    // after the term was reported as fenced.
    fn flush_outbox(&mut self) -> Result<(), GrantEnd> {
        while let Some(message) = self.outbox.pop_front() {
            let writes = self.writes();
            let term = self.request.term;
            let granting = matches!(message, LinkOutput::Granted { .. });
            let gate = self.gate.borrow();
            let checked = self.shared.view(&gate, |view| {
                let refused = if granting {
                    view.check_write(LogTerm(term)).is_err()
                } else {
                    gate.closed_for(term)
                };
                if !view.leased {
                    Err(FailureKind::LeaseLost)
                } else if writes && refused {
                    Err(FailureKind::PrimaryReplaced)
                } else {
                    Ok(())
                }
            });
            if let Err(kind) = checked {
                drop(gate);
                self.outbox.clear();
                return Err(if granting {
                    self.interrupted(kind)
                } else {
                    GrantEnd::lost(kind, "the response arrived too late to be forwarded")
                });
            }
            let write_done = writes && matches!(message, LinkOutput::Ready { .. });
            let sent = self.output.try_send(message);
            drop(gate);
            match sent {
                Ok(()) if write_done && self.shared.set_first_write() => self.record_first_write(),
                Ok(()) => {}
                Err(TrySendError::Full(message)) => {
                    self.outbox.push_front(message);
                    return Ok(());
                }
                Err(TrySendError::Closed(_)) => return Err(GrantEnd::Released),
            }
        }
        Ok(())
    }

    fn record_first_write(&self) {
        let fields = [
            ("database", self.shared.database.to_string()),
            ("server", self.shared.server.to_string()),
            ("term", self.request.term.to_string()),
        ];
        self.shared.events.record(EventNumber::FirstWrite, &fields);
    }

    async fn handle_input(&mut self, message: Option<LinkInput>) -> Result<(), GrantEnd> {
        match message {
            Some(LinkInput::Data(data)) => {
                self.pending_input.push_back(data);
                if self.slot.is_none() && self.queued.is_none() {
                    self.request_next_slot().await?;
                }
                self.feed_pending_input()
            }
            Some(LinkInput::Taint) => {
                self.tainted = true;
                Ok(())
            }
            Some(LinkInput::Cancel) => self.cancel(),
            Some(LinkInput::Release) | None => Err(GrantEnd::Released),
        }
    }

    async fn request_next_slot(&mut self) -> Result<(), GrantEnd> {
        if !self.first_statement && self.status == TransactionStatus::Idle {
            // Outside a transaction each statement of a pinned session is new work.
            self.admit(self.admission_wait()).await?;
        }
        // The deadline of a later statement counts from its arrival.
        if !self.first_statement {
            self.arm_timer(Instant::now() + self.request.deadline.as_duration());
        }
        // The grant already holds a connection and cannot use another, so the request counts as a
        // continuation even outside a transaction.
        let request = self.slot_request(true);
        match self.shared.request_slot(request).map_err(|failure| self.slot_refused(failure))? {
            SlotResponse::Assigned(assignment) => self.accept_slot(assignment),
            SlotResponse::Queued(queued) => self.queued = Some(queued),
        }
        Ok(())
    }

    fn feed_pending_input(&mut self) -> Result<(), GrantEnd> {
        if self.slot.is_none() {
            return Ok(());
        }
        while let Some(data) = self.pending_input.pop_front() {
            self.feed(&data)?;
        }
        Ok(())
    }

    fn feed(&mut self, data: &Bytes) -> Result<(), GrantEnd> {
        if self.started.is_none() {
            self.start_statement()?;
        }
        let Some(connection) = self.connection.as_mut() else { return Ok(()) };
        if connection.replies.feed(data, &mut self.target_buffer).is_err() {
            return Err(GrantEnd::lost(
                FailureKind::ConnectionLost,
                "invalid message from the session",
            ));
        }
        connection.replies.emit_local_replies(&mut self.session_buffer);
        if connection.replies.has_no_pending_reply() && !self.session_buffer.is_empty() {
            self.outbox.push_back(LinkOutput::Data(self.session_buffer.split().freeze()));
        }
        Ok(())
    }

    fn start_statement(&mut self) -> Result<(), GrantEnd> {
        let gate = self.gate.borrow();
        let writes = self.writes();
        let term = LogTerm(self.request.term);
        let checked = self.shared.view(&gate, |view| {
            if writes {
                view.check_write(term)
            } else if view.leased {
                Ok(())
            } else {
                Err(FailureKind::NoLease)
            }
        });
        drop(gate);
        checked.map_err(|kind| self.interrupted(kind))?;
        let now = Instant::now();
        self.started = Some(now);
        let from = if self.first_statement { self.opened } else { now };
        self.arm_timer(from + self.request.deadline.as_duration());
        Ok(())
    }

    fn process_output(&mut self) -> Result<(), GrantEnd> {
        let hold = self.writes();
        loop {
            if !self.outbox.is_empty() || self.unconfirmed.is_some() {
                return Ok(());
            }
            let Some(connection) = self.connection.as_mut() else { return Ok(()) };
            let step =
                connection.replies.next_step(&mut connection.read, &mut self.session_buffer, hold);
            match step {
                Ok(OutputStep::NeedMore) => {
                    let free = connection.replies.releasable_length(&self.session_buffer);
                    if free > 0 {
                        connection.replies.output_sent(free);
                        let data = self.session_buffer.split_to(free).freeze();
                        self.outbox.push_back(LinkOutput::Data(data));
                    }
                    return Ok(());
                }
                Ok(OutputStep::Chunk) => {
                    self.outbox.push_back(LinkOutput::Data(self.session_buffer.split().freeze()));
                }
                Ok(OutputStep::Ready(status)) => self.handle_ready(status)?,
                Ok(OutputStep::Fatal) => {
                    return Err(self.interrupted(FailureKind::ConnectionLost));
                }
                Err(error) => {
                    log::warn!("target {}/{}: {error}", self.shared.database, self.shared.server);
                    return Err(self.interrupted(FailureKind::ConnectionLost));
                }
            }
            self.flush_outbox()?;
        }
    }

    fn handle_ready(&mut self, status: u8) -> Result<(), GrantEnd> {
        let status = match status {
            b'I' => TransactionStatus::Idle,
            b'T' => TransactionStatus::InTransaction,
            b'E' => TransactionStatus::Failed,
            _ => return Err(self.interrupted(FailureKind::ConnectionLost)),
        };
        let Some(connection) = self.connection.as_mut() else { return Ok(()) };
        let position = connection.position();
        let idle = connection.replies.is_idle();
        if self.cancelling && idle {
            // If no error answered the cancel request, it may still hit a later statement.
            self.cancel_unresolved |= !connection.replies.take_cancelled();
        }
        self.status = status;
        let rose = position > self.baseline;
        if let Some(position) = position
            && rose
        {
            self.shared.raise_status(position);
            // The mark is raised before the response is sent, so that it covers every acknowledged
            // commit.
            let gate = self.gate.borrow();
            if gate.route.primary.as_deref() == Some(&*self.shared.server) {
                self.shared.raise_mark(gate.route.term, position);
            }
        }
        let data = self.session_buffer.split().freeze();
        let ready = LinkOutput::Ready { status, position };
        if status == TransactionStatus::Idle {
            self.baseline = position;
        }
        let commits = rose && status == TransactionStatus::Idle && self.writes();
        if let (true, Some(position)) = (commits && self.request.replica_ack, position) {
            let left = self.deadline.unwrap_or_else(Instant::now) - Instant::now();
            let left = Micros(u64::try_from(left.as_micros()).unwrap_or(u64::MAX));
            let confirmation = self.hub.confirm(&self.shared, position, left);
            self.confirmation = Some(confirmation);
            self.unconfirmed = Some((data, ready));
        } else {
            self.push_response(data, ready);
        }
        if idle {
            self.end_statement();
        }
        Ok(())
    }

    fn push_response(&mut self, data: Bytes, ready: LinkOutput) {
        if !data.is_empty() {
            self.outbox.push_back(LinkOutput::Data(data));
        }
        self.outbox.push_back(ready);
    }

    fn end_statement(&mut self) {
        let ran = match self.started.take() {
            // Later statements of a transaction have no fingerprint to attribute the run time to.
            Some(started) if self.first_statement && !self.cancelling => {
                Some(Micros(u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX)))
            }
            _ => None,
        };
        self.first_statement = false;
        self.cancelling = false;
        if self.unconfirmed.is_none() {
            self.deadline = None;
        }
        if let Some(slot) = self.slot.take() {
            slot.finish(ran);
        }
    }

    fn handle_confirmation(&mut self, confirmed: bool) -> Result<(), GrantEnd> {
        self.confirmation = None;
        if !confirmed {
            let detail = "no second server reported the position";
            return Err(GrantEnd::lost(FailureKind::UnconfirmedCommit, detail));
        }
        if let Some((data, ready)) = self.unconfirmed.take() {
            self.push_response(data, ready);
        }
        if self.started.is_none() && self.queued.is_none() {
            self.deadline = None;
        }
        self.flush_outbox()?;
        self.process_output()
    }

    fn handle_timer(&mut self) -> Result<(), GrantEnd> {
        let now = Instant::now();
        if let Some(deadline) = self.deadline
            && deadline > now
        {
            self.timer.as_mut().reset(deadline);
            return Ok(());
        }
        if self.unconfirmed.is_some() {
            let detail = "no second server reported the position in time";
            return Err(GrantEnd::lost(FailureKind::UnconfirmedCommit, detail));
        }
        if self.queued.is_some() {
            return Err(self.interrupted(FailureKind::QueueTimeout));
        }
        if self.started.is_none() {
            // The session has sent no statement, so its slot is freed for other grants.
            self.slot = None;
            self.deadline = None;
            return Ok(());
        }
        if self.cancelling {
            return Err(GrantEnd::lost(FailureKind::RunTimeout, "the cancel was not confirmed"));
        }
        if !self.writes() {
            // The caller need not wait for a read to be cancelled; `end` sends the cancel request.
            return Err(GrantEnd::lost(FailureKind::RunTimeout, "the deadline passed"));
        }
        self.send_cancel();
        self.arm_timer(now + CANCEL_TIMEOUT);
        Ok(())
    }

    fn cancel(&mut self) -> Result<(), GrantEnd> {
        if self.queued.is_some() {
            return Err(self.interrupted(FailureKind::CancelledInQueue));
        }
        if self.started.is_none() || self.cancelling {
            return Ok(());
        }
        self.send_cancel();
        self.arm_timer(Instant::now() + CANCEL_TIMEOUT);
        Ok(())
    }

    fn send_cancel(&mut self) {
        let Some(connection) = self.connection.as_mut() else { return };
        self.cancelling = true;
        let _ = connection.replies.take_cancelled();
        let key = connection.cancel_key.clone();
        self.hub.runtime.spawn(async move {
            let _ = key.send(CANCEL_TIMEOUT).await;
        });
    }

    fn handle_gate_change(&mut self) -> Result<(), GrantEnd> {
        let gate = self.gate.borrow_and_update();
        let leased = gate.open && self.shared.lease.is_valid();
        let reachable = gate.reachable;
        let replaced = gate.closed_for(self.request.term);
        let suspect_before = gate.suspect_before;
        drop(gate);
        if !leased {
            return Err(self.interrupted(FailureKind::LeaseLost));
        }
        if !reachable {
            return Err(self.interrupted(FailureKind::ConnectionLost));
        }
        if self.writes() && replaced {
            return Err(self.interrupted(FailureKind::PrimaryReplaced));
        }
        let opened = self.connection.as_ref().map(|connection| connection.opened);
        if self.started.is_some() && self.silence_deadline.is_none() && opened < suspect_before {
            self.silence_deadline = Some(Instant::now() + SUSPECT_SILENCE_TIMEOUT);
        }
        Ok(())
    }

    fn slot_refused(&self, failure: LinkFailure) -> GrantEnd {
        if self.status == TransactionStatus::Idle {
            GrantEnd::Refused(failure)
        } else {
            GrantEnd::lost(FailureKind::TransactionLost, &failure.detail)
        }
    }

    /// Returns how the grant ends when the broker, rather than the session, ends it.
    pub(super) fn interrupted(&self, kind: FailureKind) -> GrantEnd {
        if self.started.is_some() || self.unconfirmed.is_some() {
            let kind = match kind {
                FailureKind::NoLease => FailureKind::LeaseLost,
                FailureKind::NoPrimary | FailureKind::WrongEpoch => FailureKind::PrimaryReplaced,
                kind => kind,
            };
            return GrantEnd::lost(kind, "interrupted during execution");
        }
        if self.status != TransactionStatus::Idle {
            // No commit was sent, so the closed connection rolls back.
            return GrantEnd::lost(FailureKind::TransactionLost, kind.name());
        }
        let kind = match kind {
            FailureKind::LeaseLost => FailureKind::NoLease,
            FailureKind::ConnectionLost => FailureKind::Unreachable,
            FailureKind::PrimaryReplaced => FailureKind::NoPrimary,
            kind => kind,
        };
        GrantEnd::refused(kind, "interrupted before the statement was sent")
    }
}

async fn sleep_until_some(at: Option<Instant>) {
    if let Some(at) = at {
        sleep_until(at).await;
    }
}

async fn recv_confirmation(confirmation: &mut Option<oneshot::Receiver<bool>>) -> Option<bool> {
    match confirmation {
        Some(receiver) => receiver.await.ok(),
        None => None,
    }
}
