//! Streams one exchange between a caller and the grant that serves it.
//!
//! Both directions use bounded channels and the socket's write buffer, so a large response or a large COPY
//! needs no more memory than a small one.

use {
    super::{
        caller_stream::SessionEnd,
        exchange::{ExchangeEnd, failure_of},
        filter,
        frame::CallerFrame,
        held_grant::HeldGrant,
        prepared::BatchError,
        request::{CallerRequest, RequestSummary},
        response,
        state::{BATCH_SIZE_LIMIT, CallerSession},
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

/// Time that a broker has beyond the deadline to respond before the session fails the request.
const DEADLINE_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Progress of an exchange.
#[derive(Debug)]
struct ExchangeState {
    /// Messages that are yet to be sent to the broker, in order.
    pending: VecDeque<LinkInput>,
    /// Whether the target responds with ReadyForQuery without further messages from the caller.
    synced: bool,
    /// Whether the target waits for COPY data.
    copying: bool,
    /// Whether the request is a simple query, which needs no Sync after a COPY.
    simple_query: bool,
    /// Whether part of the response has been forwarded to the caller.
    answered: bool,
    /// Whether the response is not forwarded to the caller.
    hidden: bool,
}

impl ExchangeState {
    /// Returns whether further messages from the caller belong to this exchange.
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
    TimedOut,
}

impl<R> CallerSession<R>
where
    R: GrantRouter,
{
    /// Sends a request and streams the response to the caller, or discards it if `hidden` is set.
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
            simple_query: request.data.first() == Some(&b'Q'),
            answered: false,
            hidden,
        };
        self.sync_received = request.complete;
        self.target_error = false;
        self.queue(grant, &mut state, &request.summary, request.data.clone());
        let cancel = self.registration.cancel.clone();
        let mut cancelled = pin!(cancel.notified());
        cancelled.as_mut().enable();
        let mut disconnected = self.stream.io.on_disconnect();
        let response_timeout = grant.deadline + DEADLINE_GRACE_PERIOD;
        let stall_timeout = self.shared.settings.stall_timeout;
        let mut timer = pin!(sleep(response_timeout));
        loop {
            let reading = state.reads_caller();
            let event = tokio::select! {
                biased;
                output = grant.link.output.recv() => StreamEvent::Output(output),
                permit = grant.link.input.reserve(), if !state.pending.is_empty() => {
                    match (permit, state.pending.pop_front()) {
                        (Ok(permit), Some(input)) => permit.send(input),
                        // The broker has closed the link; its last output holds the reason.
                        _ => state.pending.clear(),
                    }
                    StreamEvent::Sent
                }
                () = &mut cancelled => StreamEvent::Cancelled,
                frame = self.stream.next(), if reading && state.pending.is_empty() => {
                    StreamEvent::Frame(frame?)
                }
                () = &mut disconnected, if !reading => StreamEvent::Disconnected,
                () = &mut timer => StreamEvent::TimedOut,
            };
            let end = match event {
                StreamEvent::Output(output) => self.on_output(grant, &mut state, output).await?,
                StreamEvent::Frame(None) | StreamEvent::Disconnected => {
                    return Err(SessionEnd::Closed);
                }
                StreamEvent::Frame(Some(frame)) => self.on_frame(grant, &mut state, frame)?,
                StreamEvent::Sent => None,
                StreamEvent::Cancelled => {
                    state.pending.push_front(LinkInput::Cancel);
                    cancelled.set(cancel.notified());
                    cancelled.as_mut().enable();
                    None
                }
                StreamEvent::TimedOut if state.reads_caller() => return Err(SessionEnd::Stalled),
                StreamEvent::TimedOut => state.fail(failure_of(FailureKind::RunTimeout), false),
            };
            if let Some(end) = end {
                return Ok(end);
            }
            let time_limit = if state.reads_caller() {
                response_timeout.max(stall_timeout)
            } else {
                response_timeout
            };
            timer.as_mut().reset(Instant::now() + time_limit);
        }
    }

    /// Queues messages for the broker, preceded by a `Taint` if the connection must be reset afterwards.
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

    async fn on_output(
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
                let write = |bytes: &[u8]| if hidden { Ok(()) } else { stream.write(bytes) };
                let report = filter::forward(&data, &mut self.store, write)?;
                self.target_error |= report.error;
                if report.malformed {
                    return Ok(state.fail(failure_of(FailureKind::ConnectionLost), false));
                }
                if report.copy_in {
                    state.copying = true;
                    // During a COPY the target ignores a Sync that was sent before the data.
                    state.synced &= state.simple_query;
                    self.sync_received = state.synced;
                }
                if report.error {
                    state.copying = false;
                }
                self.stream.wait_writable().await?;
                Ok(None)
            }
            Some(LinkOutput::Ready { status, position }) => {
                grant.status = status;
                self.record_position(position, grant.on_primary);
                if !state.hidden {
                    self.store.clear_in_flight();
                    let mut buffer = BytesMut::with_capacity(6);
                    response::ready_for_query(&mut buffer, status_byte(status));
                    self.reply(&buffer).await?;
                }
                Ok(Some(ExchangeEnd::Ready))
            }
            Some(LinkOutput::Refused(failure)) => Ok(state.fail(failure, true)),
            Some(LinkOutput::Lost(failure)) => Ok(state.fail(failure, false)),
            None => Ok(state.fail(failure_of(FailureKind::ConnectionLost), false)),
        }
    }

    /// Handles a message that the caller sends before the exchange is complete.
    fn on_frame(
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
                added.map_err(BatchError::session_end)?;
                if self.batch.output.len() <= BATCH_SIZE_LIMIT {
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
        self.sync_received = state.synced;
        let batch = std::mem::take(&mut self.batch);
        let summary = RequestSummary::of_batch(&batch);
        if !batch.is_empty()
            && let Err(kind) = self.check_grant(grant, &summary)
        {
            return Ok(state.fail(failure_of(kind), true));
        }
        self.queue(grant, state, &summary, batch.output.freeze());
        Ok(None)
    }

    fn record_position(&mut self, position: Option<LogPosition>, on_primary: bool) {
        let Some(position) = position else { return };
        if on_primary {
            self.floor.initialize(position);
        } else {
            self.floor.raise(position);
        }
    }
}

/// Returns the status byte of ReadyForQuery for a target's transaction status.
pub(super) const fn status_byte(status: TransactionStatus) -> u8 {
    match status {
        TransactionStatus::Idle => response::STATUS_IDLE,
        TransactionStatus::InTransaction => response::STATUS_OPEN,
        TransactionStatus::Failed => response::STATUS_FAILED,
    }
}
