//! Streaming of one exchange between a caller and the grant that serves it.
//!
//! Both directions pass through bounded channels and the socket's write buffer, so a large answer or
//! a large COPY needs no more memory than a small one.

use {
    super::{
        caller_stream::SessionEnd,
        exchange::{ExchangeEnd, plain},
        filter,
        frame::CallerFrame,
        held_grant::HeldGrant,
        prepared::BatchError,
        request::{CallerRequest, RequestSummary},
        response,
        state::{BATCH_LIMIT, CallerSession},
    },
    crate::link::{GrantRouter, LinkFailure, LinkInput, LinkOutput, TransactionStatus},
    banyansill_core::{failure::FailureKind, position::LogPosition},
    bytes::{Bytes, BytesMut},
    std::{collections::VecDeque, pin::pin, time::Duration},
    tokio::{
        sync::mpsc::error::TrySendError,
        time::{Instant, sleep},
    },
};

/// Time that a broker has beyond the deadline to answer before the session gives up on it.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);

/// State of an exchange.
#[derive(Debug)]
struct ExchangeState {
    /// For the broker, in order.
    pending: VecDeque<LinkInput>,
    /// The target answers with ReadyForQuery without further messages of the caller.
    synced: bool,
    /// The target waits for data of a COPY.
    copying: bool,
    /// The request is a simple query, which needs no Sync after a COPY.
    simple: bool,
    /// Something of the answer has come.
    answered: bool,
    /// The caller is sent nothing of the answer.
    hidden: bool,
}

impl ExchangeState {
    /// Returns whether the caller's messages belong to this exchange.
    const fn reads_caller(&self) -> bool {
        self.copying || !self.synced
    }

    const fn fail(&self, failure: LinkFailure, refused: bool) -> Option<ExchangeEnd> {
        Some(ExchangeEnd::Failed { failure, refused, answered: self.answered })
    }
}

enum StreamEvent {
    Output(Option<LinkOutput>),
    Frame(Option<CallerFrame>),
    Sent,
    Cancelled,
    Disconnected,
    Silent,
}

impl<R> CallerSession<R>
where
    R: GrantRouter,
{
    /// Sends a request and streams the answer; `hidden` keeps it from the caller.
    pub(super) async fn exchange(
        &mut self,
        grant: &mut HeldGrant,
        request: &CallerRequest,
        hidden: bool,
    ) -> Result<ExchangeEnd, SessionEnd> {
        let mut state = ExchangeState {
            pending: VecDeque::new(),
            synced: request.complete,
            copying: false,
            simple: request.data.first() == Some(&b'Q'),
            answered: false,
            hidden,
        };
        self.sync_seen = request.complete;
        self.target_error = false;
        self.queue(grant, &mut state, &request.summary, request.data.clone());
        let ticket = self.ticket.cancel.clone();
        let mut cancelled = pin!(ticket.notified());
        cancelled.as_mut().enable();
        let mut gone = self.stream.io.on_disconnect();
        let patience = grant.deadline + DEADLINE_SLACK;
        let stall = self.shared.settings.stall_timeout;
        let mut guard = pin!(sleep(patience));
        loop {
            let reading = state.reads_caller();
            let event = tokio::select! {
                biased;
                output = grant.link.output.recv() => StreamEvent::Output(output),
                permit = grant.link.input.reserve(), if !state.pending.is_empty() => {
                    match (permit, state.pending.pop_front()) {
                        (Ok(permit), Some(input)) => permit.send(input),
                        // The broker has gone; its last output tells why.
                        _ => state.pending.clear(),
                    }
                    StreamEvent::Sent
                }
                () = &mut cancelled => StreamEvent::Cancelled,
                frame = self.stream.next(), if reading && state.pending.is_empty() => {
                    StreamEvent::Frame(frame?)
                }
                () = &mut gone, if !reading => StreamEvent::Disconnected,
                () = &mut guard => StreamEvent::Silent,
            };
            let end = match event {
                StreamEvent::Output(output) => self.take_output(grant, &mut state, output).await?,
                StreamEvent::Frame(None) | StreamEvent::Disconnected => {
                    return Err(SessionEnd::Closed);
                }
                StreamEvent::Frame(Some(frame)) => self.take_frame(grant, &mut state, frame)?,
                StreamEvent::Sent => None,
                StreamEvent::Cancelled => {
                    state.pending.push_front(LinkInput::Cancel);
                    cancelled.set(ticket.notified());
                    cancelled.as_mut().enable();
                    None
                }
                StreamEvent::Silent if state.reads_caller() => return Err(SessionEnd::Stalled),
                StreamEvent::Silent => state.fail(plain(FailureKind::RunTimeout), false),
            };
            if let Some(end) = end {
                return Ok(end);
            }
            let bound = if state.reads_caller() { patience.max(stall) } else { patience };
            guard.as_mut().reset(Instant::now() + bound);
        }
    }

    /// Queues messages for the broker, after the mark of a connection that must be reset.
    fn queue(
        &mut self,
        grant: &mut HeldGrant,
        state: &mut ExchangeState,
        summary: &RequestSummary,
        data: Bytes,
    ) {
        if (summary.pins || summary.taints) && !grant.tainted {
            grant.tainted = true;
            state.pending.push_back(LinkInput::Taint);
        }
        grant.pinned |= summary.pins;
        state.pending.push_back(LinkInput::Data(data));
        while let Some(input) = state.pending.pop_front() {
            match grant.link.input.try_send(input) {
                Ok(()) => {}
                Err(TrySendError::Full(input)) => {
                    state.pending.push_front(input);
                    return;
                }
                Err(TrySendError::Closed(_)) => {
                    state.pending.clear();
                    return;
                }
            }
        }
    }

    async fn take_output(
        &mut self,
        grant: &mut HeldGrant,
        state: &mut ExchangeState,
        output: Option<LinkOutput>,
    ) -> Result<Option<ExchangeEnd>, SessionEnd> {
        match output {
            Some(LinkOutput::Granted { .. }) => Ok(None),
            Some(LinkOutput::Data(data)) => {
                let stream = &self.stream;
                let hidden = state.hidden;
                state.answered |= !hidden;
                let put = |bytes: &[u8]| if hidden { Ok(()) } else { stream.put(bytes) };
                let report = filter::pass(&data, &mut self.store, put)?;
                self.target_error |= report.error;
                if report.malformed {
                    return Ok(state.fail(plain(FailureKind::ConnectionLost), false));
                }
                if report.copy_in {
                    state.copying = true;
                    // In a COPY the target ignores the Sync that came before the data.
                    state.synced &= state.simple;
                    self.sync_seen = state.synced;
                }
                if report.error {
                    state.copying = false;
                }
                self.stream.relieve().await?;
                Ok(None)
            }
            Some(LinkOutput::Ready { status, position }) => {
                grant.status = status;
                self.note_position(position, grant.on_primary);
                if !state.hidden {
                    self.store.drop_in_flight();
                    let mut buffer = BytesMut::with_capacity(6);
                    response::ready_for_query(&mut buffer, status_byte(status));
                    self.reply(&buffer).await?;
                }
                Ok(Some(ExchangeEnd::Ready))
            }
            Some(LinkOutput::Refused(failure)) => Ok(state.fail(failure, true)),
            Some(LinkOutput::Lost(failure)) => Ok(state.fail(failure, false)),
            None => Ok(state.fail(plain(FailureKind::ConnectionLost), false)),
        }
    }

    /// Takes a message that the caller sends before the exchange is complete.
    fn take_frame(
        &mut self,
        grant: &mut HeldGrant,
        state: &mut ExchangeState,
        frame: CallerFrame,
    ) -> Result<Option<ExchangeEnd>, SessionEnd> {
        match frame.tag {
            b'X' => return Err(SessionEnd::Closed),
            b'd' | b'c' | b'f' => {
                if state.copying {
                    state.copying = frame.tag == b'd';
                    state.pending.push_back(LinkInput::Data(frame.bytes));
                }
                return Ok(None);
            }
            b'S' | b'H' if state.copying => return Ok(None),
            b'P' | b'B' | b'D' | b'E' | b'C' if !state.copying => {
                let cache = &mut self.worker.cache.borrow_mut();
                let added = self.batch.add(&frame, &mut self.store, cache);
                added.map_err(BatchError::end)?;
                if self.batch.output.len() <= BATCH_LIMIT {
                    return Ok(None);
                }
                response::empty_message(&mut self.batch.output, b'H');
            }
            b'S' => {
                state.synced = true;
                response::empty_message(&mut self.batch.output, b'S');
            }
            b'H' => response::empty_message(&mut self.batch.output, b'H'),
            _ => {
                let kind = FailureKind::ProtocolViolation;
                return Err(SessionEnd::Failure(kind, "message type inside an exchange"));
            }
        }
        self.sync_seen = state.synced;
        let batch = std::mem::take(&mut self.batch);
        let summary = RequestSummary::of_batch(&batch);
        if !batch.is_empty()
            && let Err(kind) = self.check_grant(grant, &summary)
        {
            return Ok(state.fail(plain(kind), true));
        }
        self.queue(grant, state, &summary, batch.output.freeze());
        Ok(None)
    }

    fn note_position(&mut self, position: Option<LogPosition>, on_primary: bool) {
        let Some(position) = position else { return };
        if on_primary {
            self.floor.initialize(position);
        } else {
            self.floor.raise(position);
        }
    }
}

/// Returns the byte of ReadyForQuery for a target's status.
pub(super) const fn status_byte(status: TransactionStatus) -> u8 {
    match status {
        TransactionStatus::Idle => response::STATUS_IDLE,
        TransactionStatus::InTransaction => response::STATUS_OPEN,
        TransactionStatus::Failed => response::STATUS_FAILED,
    }
}
