//! One caller's connection: reading messages, waiting, and the order of a session's requests.

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
        state::{BATCH_LIMIT, CallerSession, TransactionState},
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

/// Time for which input is discarded after the last error, so that a crossing request's caller reads it.
const CLOSE_WAIT: Duration = Duration::from_millis(250);

/// Time that an idle caller has for one more request at a planned stop.
///
/// A caller that is told while it sends a request cannot tell whether the request was run. Right after an
/// answer it is least likely to send one, so a session in use ends there.
const DRAIN_IDLE: Duration = Duration::from_secs(1);

/// Serves one connection to its end.
pub(super) async fn serve<R>(io: Io, shared: Arc<EntryShared<R>>, worker: Rc<WorkerState>)
where
    R: GrantRouter,
{
    let mut ticket = shared.registry.enter();
    if shared.registry.open() > shared.settings.max_callers + REFUSAL_MARGIN {
        return;
    }
    let codec = FrameCodec::new(shared.settings.startup_limit);
    let stall = shared.settings.stall_timeout;
    let mut stream = CallerStream { io: CallerIo::Plain(io), codec, stall };
    let draining = shared.registry.draining();
    let started = startup::start(&mut stream, &shared, &mut ticket);
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
                ticket,
                store: StatementStore::default(),
                batch: CallerBatch::default(),
                floor: SessionFloor::unknown(),
                last_replica: None,
                primary_fallback: PrimaryFallback::default(),
                opened: Instant::now(),
                state: TransactionState::Idle,
                grant: None,
                skipping: false,
                sync_seen: true,
                target_error: false,
                draining,
                served_last: false,
            };
            let end = session.run().await;
            finish(&session.stream, end).await;
            return;
        }
    };
    finish(&stream, end).await;
}

async fn finish(stream: &CallerStream, end: SessionEnd) {
    if let SessionEnd::Failure(kind, detail) = end {
        let mut buffer = BytesMut::new();
        startup::fatal(&mut buffer, kind, detail);
        if stream.put(&buffer).is_ok() {
            let _ = timeout(stream.stall, stream.io.flush(true)).await;
        }
        // Closing a socket with unread input resets it, and the caller would lose the reason.
        let discard = async { while let Ok(Some(_)) = stream.next().await {} };
        let _ = timeout(CLOSE_WAIT, discard).await;
    }
    match end {
        SessionEnd::Stalled => stream.io.terminate(),
        SessionEnd::Closed | SessionEnd::Failure(..) => {
            let _ = timeout(stream.stall, stream.io.shutdown()).await;
        }
    }
}

/// Waits until a session at rest ends because of a planned stop.
async fn drain_due(draining: &mut watch::Receiver<bool>, served_last: bool) {
    let _ = draining.wait_for(|draining| *draining).await;
    if !served_last {
        sleep(DRAIN_IDLE).await;
    }
}

impl<R> CallerSession<R>
where
    R: GrantRouter,
{
    async fn run(&mut self) -> SessionEnd {
        loop {
            let result = match self.wait().await {
                Ok(Some(frame)) => self.handle(frame).await,
                Ok(None) => Ok(()),
                Err(end) => return end,
            };
            if let Err(end) = result {
                return end;
            }
        }
    }

    /// Waits for the next message; returns `None` after anything else that was dealt with.
    async fn wait(&mut self) -> Result<Option<CallerFrame>, SessionEnd> {
        let at_rest = self.state == TransactionState::Idle && self.batch.is_empty();
        let pinned = self.grant.as_ref().is_some_and(|grant| grant.pinned);
        let bound = if !self.batch.is_empty() {
            Some(self.shared.settings.stall_timeout)
        } else if self.grant.is_some() && !(pinned && at_rest) {
            Some(self.shared.settings.transaction_timeout)
        } else {
            None
        };
        let unasked = tokio::select! {
            biased;
            frame = self.stream.next() => match frame? {
                Some(frame) => return Ok(Some(frame)),
                None => return Err(SessionEnd::Closed),
            },
            () = drain_due(&mut self.draining, self.served_last), if at_rest => {
                return Err(SessionEnd::Failure(FailureKind::Draining, ""));
            }
            output = next_output(&mut self.grant), if self.grant.is_some() => output,
            () = sleep(bound.unwrap_or_default()), if bound.is_some() => {
                let detail = "idle for too long";
                return Err(SessionEnd::Failure(FailureKind::TransactionLost, detail));
            }
        };
        self.take_unasked(unasked).await?;
        Ok(None)
    }

    /// Deals with what a grant reports while the session waits for its caller.
    async fn take_unasked(&mut self, output: Option<LinkOutput>) -> Result<(), SessionEnd> {
        let pinned = self.grant.as_ref().is_some_and(|grant| grant.pinned);
        match output {
            // A pinned session may listen for notifications.
            Some(LinkOutput::Data(data)) if pinned => {
                let stream = &self.stream;
                filter::pass(&data, &mut self.store, |bytes| stream.put(bytes))?;
                self.stream.relieve().await
            }
            Some(LinkOutput::Granted { .. }) => Ok(()),
            _ => {
                self.grant = None;
                if pinned {
                    let detail = "the connection that held the session's state is gone";
                    return Err(SessionEnd::Failure(FailureKind::ConnectionLost, detail));
                }
                self.state = TransactionState::Broken { untold: true };
                Ok(())
            }
        }
    }

    async fn handle(&mut self, frame: CallerFrame) -> Result<(), SessionEnd> {
        if self.skipping && !matches!(frame.tag, b'S' | b'X') {
            return Ok(());
        }
        // A batch that only prepares a statement is followed by the one that runs it.
        if matches!(frame.tag, b'Q' | b'E') && *self.draining.borrow() {
            self.served_last = true;
        }
        match frame.tag {
            b'Q' => self.query(frame).await,
            b'P' | b'B' | b'D' | b'E' | b'C' => {
                let cache = &mut self.worker.cache.borrow_mut();
                let added = self.batch.add(&frame, &mut self.store, cache);
                added.map_err(BatchError::end)?;
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
            // What a caller had already sent of a COPY that has failed.
            b'd' | b'c' | b'f' => Ok(()),
            _ => Err(SessionEnd::Failure(FailureKind::ProtocolViolation, "message type")),
        }?;
        if self.batch.output.len() > BATCH_LIMIT {
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
                let setting = self.replayable(&profile, text);
                let data = frame.bytes.clone();
                let request = CallerRequest { data, summary, complete: true, setting: None };
                self.request(request.remember(setting)).await
            }
            reply => {
                let mut buffer = BytesMut::new();
                self.write_local(&mut buffer, &reply);
                response::ready_for_query(&mut buffer, self.status());
                self.reply(&buffer).await
            }
        }
    }

    /// Runs what was collected, at a Sync or, without one, at a Flush.
    async fn finish_batch(&mut self, synced: bool) -> Result<(), SessionEnd> {
        if self.skipping {
            if synced {
                self.skipping = false;
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
        if synced && let Some(text) = self.batch.local_candidate() {
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
        let setting = batch.local_candidate().filter(|_| complete);
        let setting = setting.and_then(|text| self.replayable(&batch.profiles[0], &text));
        let data = batch.output.freeze();
        let request = CallerRequest { data, summary, complete, setting: None };
        self.request(request.remember(setting)).await
    }
}
