//! Main loop of a caller's connection: reads messages and processes a session's requests in order.

use {
    super::{
        caller_io::CallerIo,
        caller_stream::{CallerStream, SessionEnd},
        filter,
        frame::{CallerFrame, FrameCodec, split_text},
        held_grant::next_output,
        local::LocalReply,
        prepared::{BatchError, CallerBatch, StatementStore},
        request::{CallerRequest, RequestSummary},
        response,
        shared::{EntryShared, REFUSAL_MARGIN, WorkerState},
        startup,
        state::{BATCH_SIZE_LIMIT, CallerSession, TransactionState},
    },
    crate::link::{GrantRouter, LinkOutput},
    banyansill_core::{
        failure::FailureKind, floor::SessionFloor, route::PrimaryFallback, time::Micros,
    },
    bytes::{BufMut, BytesMut},
    ntex::io::Io,
    std::{
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Time for which input is discarded after a final error, so that a caller that is sending a request at the
/// same time still receives the error.
const CLOSE_DISCARD_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that an idle caller has to send one more request at a planned stop.
///
/// A caller that receives the error while it sends a request cannot know whether the request was run. It is
/// least likely to send one right after a response, so a session in use ends there.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves one connection until it closes.
pub(super) async fn serve<R>(io: Io, shared: Arc<EntryShared<R>>, worker: Rc<WorkerState>)
where
    R: GrantRouter,
{
    let mut registration = shared.registry.register();
    if shared.registry.open() > shared.settings.max_callers + REFUSAL_MARGIN {
        return;
    }
    let codec = FrameCodec::new(shared.settings.startup_limit);
    let stall_timeout = shared.settings.stall_timeout;
    let mut stream = CallerStream { io: CallerIo::Plain(io), codec, stall_timeout };
    let draining = shared.registry.draining();
    let started = startup::start(&mut stream, &shared, &mut registration);
    let started = match timeout(shared.settings.startup_timeout, started).await {
        Ok(started) => started,
        Err(_) => Err(SessionEnd::Stalled),
    };
    let end = match started {
        Ok(None) => SessionEnd::Closed,
        Err(end) => end,
        Ok(Some(identity)) => {
            let mut session = CallerSession {
                stream,
                shared,
                worker,
                identity,
                registration,
                store: StatementStore::default(),
                batch: CallerBatch::default(),
                floor: SessionFloor::unknown(),
                last_replica: None,
                primary_fallback: PrimaryFallback::default(),
                opened_at: Instant::now(),
                state: TransactionState::Idle,
                grant: None,
                skip_to_sync: false,
                sync_received: true,
                target_error: false,
                draining,
                served_while_draining: false,
            };
            let end = session.run().await;
            close_connection(&session.stream, end).await;
            return;
        }
    };
    close_connection(&stream, end).await;
}

async fn close_connection(stream: &CallerStream, end: SessionEnd) {
    if let SessionEnd::Failure(kind, detail) = end {
        let mut buffer = BytesMut::new();
        startup::fatal_error(&mut buffer, kind, detail);
        if stream.write(&buffer).is_ok() {
            let _ = timeout(stream.stall_timeout, stream.io.flush(true)).await;
        }
        // Closing a socket with unread input resets the connection, and the caller could lose the error.
        let discard = async { while let Ok(Some(_)) = stream.next().await {} };
        let _ = timeout(CLOSE_DISCARD_TIMEOUT, discard).await;
    }
    match end {
        SessionEnd::Stalled => stream.io.terminate(),
        SessionEnd::Closed | SessionEnd::Failure(..) => {
            let _ = timeout(stream.stall_timeout, stream.io.shutdown()).await;
        }
    }
}

/// Waits until an idle session has to end because of a planned stop.
async fn wait_for_drain(draining: &mut watch::Receiver<bool>, served_while_draining: bool) {
    let _ = draining.wait_for(|draining| *draining).await;
    if !served_while_draining {
        sleep(DRAIN_IDLE_TIMEOUT).await;
    }
}

impl<R> CallerSession<R>
where
    R: GrantRouter,
{
    async fn run(&mut self) -> SessionEnd {
        loop {
            let result = match self.next_frame().await {
                Ok(Some(frame)) => self.handle_frame(frame).await,
                Ok(None) => Ok(()),
                Err(end) => return end,
            };
            if let Err(end) = result {
                return end;
            }
        }
    }

    /// Waits for the caller's next message; returns `None` after handling output of the grant.
    async fn next_frame(&mut self) -> Result<Option<CallerFrame>, SessionEnd> {
        let idle = self.state == TransactionState::Idle && self.batch.is_empty();
        let pinned = self.grant.as_ref().is_some_and(|grant| grant.pinned);
        let idle_timeout = if !self.batch.is_empty() {
            Some(self.shared.settings.stall_timeout)
        } else if self.grant.is_some() && !(pinned && idle) {
            Some(self.shared.settings.transaction_timeout)
        } else {
            None
        };
        let unsolicited = tokio::select! {
            biased;
            frame = self.stream.next() => match frame? {
                Some(frame) => return Ok(Some(frame)),
                None => return Err(SessionEnd::Closed),
            },
            () = wait_for_drain(&mut self.draining, self.served_while_draining), if idle => {
                return Err(SessionEnd::Failure(FailureKind::Draining, ""));
            }
            output = next_output(&mut self.grant), if self.grant.is_some() => output,
            () = sleep(idle_timeout.unwrap_or_default()), if idle_timeout.is_some() => {
                let detail = "idle for too long";
                return Err(SessionEnd::Failure(FailureKind::TransactionLost, detail));
            }
        };
        self.handle_unsolicited(unsolicited).await?;
        Ok(None)
    }

    /// Handles output of the grant that arrives while the session waits for its caller.
    async fn handle_unsolicited(&mut self, output: Option<LinkOutput>) -> Result<(), SessionEnd> {
        let pinned = self.grant.as_ref().is_some_and(|grant| grant.pinned);
        match output {
            // A pinned session may have issued LISTEN and receive notifications.
            Some(LinkOutput::Data(data)) if pinned => {
                let stream = &self.stream;
                filter::forward(&data, &mut self.store, |bytes| stream.write(bytes))?;
                self.stream.wait_writable().await
            }
            Some(LinkOutput::Granted { .. }) => Ok(()),
            _ => {
                self.grant = None;
                if pinned {
                    let detail = "the connection that held the session's state is gone";
                    return Err(SessionEnd::Failure(FailureKind::ConnectionLost, detail));
                }
                self.state = TransactionState::Lost { unreported: true };
                Ok(())
            }
        }
    }

    async fn handle_frame(&mut self, frame: CallerFrame) -> Result<(), SessionEnd> {
        if self.skip_to_sync && !matches!(frame.tag, b'S' | b'X') {
            return Ok(());
        }
        // Only Query and Execute count: a batch that just prepares a statement is followed by one that runs it.
        if matches!(frame.tag, b'Q' | b'E') && *self.draining.borrow() {
            self.served_while_draining = true;
        }
        match frame.tag {
            b'Q' => self.query(frame).await,
            b'P' | b'B' | b'D' | b'E' | b'C' => {
                let cache = &mut self.worker.cache.borrow_mut();
                let added = self.batch.add(&frame, &mut self.store, cache);
                added.map_err(BatchError::session_end)?;
                Ok(())
            }
            b'S' => self.finish_batch(true).await,
            b'H' => self.finish_batch(false).await,
            b'X' => Err(SessionEnd::Closed),
            b'F' => {
                let mut buffer = BytesMut::new();
                let kind = FailureKind::Unsupported;
                let severity = response::ErrorSeverity::Error;
                response::failure(&mut buffer, severity, kind, "function call", Micros::ZERO);
                response::ready_for_query(&mut buffer, self.status());
                self.reply(&buffer).await
            }
            // COPY data that the caller sent before it learned that the COPY had failed.
            b'd' | b'c' | b'f' => Ok(()),
            _ => Err(SessionEnd::Failure(FailureKind::ProtocolViolation, "message type")),
        }?;
        if self.batch.output.len() > BATCH_SIZE_LIMIT {
            self.finish_batch(false).await?;
        }
        Ok(())
    }

    async fn query(&mut self, frame: CallerFrame) -> Result<(), SessionEnd> {
        let Some((text, [])) = split_text(frame.body()) else {
            return Err(SessionEnd::Failure(FailureKind::ProtocolViolation, "query text"));
        };
        self.store.clear_unnamed();
        let profile = self.worker.cache.borrow_mut().classify(&String::from_utf8_lossy(text));
        if !self.batch.is_empty() {
            self.batch.output.put_slice(&frame.bytes);
            self.batch.profiles.push(profile);
            self.batch.messages += 1;
            return self.send_batch(true).await;
        }
        match self.local_reply(&profile, text) {
            LocalReply::None => {
                let summary = RequestSummary::of(&profile);
                let setting = self.replayable_setting(&profile, text);
                let data = frame.bytes.clone();
                let request = CallerRequest { data, summary, complete: true, setting: None };
                self.request(request.with_setting(setting)).await
            }
            reply => {
                let mut buffer = BytesMut::new();
                self.write_local(&mut buffer, &reply);
                response::ready_for_query(&mut buffer, self.status());
                self.reply(&buffer).await
            }
        }
    }

    /// Runs the collected messages at a Sync (`synced`) or at a Flush.
    async fn finish_batch(&mut self, synced: bool) -> Result<(), SessionEnd> {
        if self.skip_to_sync {
            if synced {
                self.skip_to_sync = false;
                let mut buffer = BytesMut::new();
                response::ready_for_query(&mut buffer, self.status());
                return self.reply(&buffer).await;
            }
            return Ok(());
        }
        if self.batch.messages == 0 && (synced || self.batch.closes == 0) {
            let mut buffer = BytesMut::new();
            for _ in 0..self.batch.closes {
                response::empty_message(&mut buffer, b'3');
            }
            self.batch = CallerBatch::default();
            if synced {
                response::ready_for_query(&mut buffer, self.status());
            }
            return self.reply(&buffer).await;
        }
        if synced && let Some(text) = self.batch.single_statement_text() {
            let profile = self.batch.profiles[0].clone();
            let reply = self.local_reply(&profile, &text);
            if reply != LocalReply::None {
                let mut buffer = BytesMut::new();
                self.write_local_batch(&mut buffer, &reply);
                response::ready_for_query(&mut buffer, self.status());
                self.batch = CallerBatch::default();
                return self.reply(&buffer).await;
            }
        }
        if synced {
            response::empty_message(&mut self.batch.output, b'S');
        } else {
            response::empty_message(&mut self.batch.output, b'H');
        }
        self.send_batch(synced).await
    }

    async fn send_batch(&mut self, complete: bool) -> Result<(), SessionEnd> {
        let batch = std::mem::take(&mut self.batch);
        let summary = RequestSummary::of_batch(&batch);
        let setting = batch.single_statement_text().filter(|_| complete);
        let setting = setting.and_then(|text| self.replayable_setting(&batch.profiles[0], &text));
        let data = batch.output.freeze();
        let request = CallerRequest { data, summary, complete, setting: None };
        self.request(request.with_setting(setting)).await
    }
}
