//! Tracks the replies that are pending on a target connection, in order.

use {
    super::frame::{ErrorFields, HEADER_LENGTH, ProtocolError, split_text, whole_message},
    banyansill_core::{
        collections::{FastMap, FastSet},
        position::LogPosition,
    },
    bytes::{Buf, BufMut, BytesMut},
    std::{collections::VecDeque, sync::Arc},
};

/// Size in bytes at which an output chunk is forwarded.
pub(super) const CHUNK_SIZE: usize = 16 << 10;

/// Maximum output in bytes that is withheld after a commit within one batch.
const HELD_OUTPUT_LIMIT: usize = 4 << 20;

/// Name prefix of prepared statements that the proxy shares between sessions.
const SHARED_STATEMENT_PREFIX: &[u8] = b"bs_";

/// Maximum number of shared statements per connection; the oldest is closed first.
const MAX_SHARED_STATEMENTS: usize = 256;

const PARSE_COMPLETE: [u8; 5] = [b'1', 0, 0, 0, 4];

type StatementName = Arc<[u8]>;

#[derive(Clone, Debug, PartialEq, Eq)]
enum ExpectedReply {
    Query,
    FunctionCall,
    Sync,
    Parse(Option<StatementName>),
    /// A `Parse` that was not sent because the statement is prepared on the connection.
    LocalParse,
    Bind,
    Close(Option<StatementName>),
    /// A `Close` that the proxy inserted; its reply is not forwarded.
    HiddenClose,
    Describe,
    Execute,
    /// End of copy data from the session; has no reply of its own.
    CopyEnd,
}

/// Result of processing a part of the target's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutputStep {
    /// More bytes from the target are needed.
    NeedMore,
    /// The output buffer has reached the chunk size.
    Chunk,
    /// ReadyForQuery with its status byte.
    Ready(u8),
    /// The target closes the connection.
    Fatal,
}

/// Tracks the messages sent on a connection and the replies that are pending.
#[derive(Debug, Default)]
pub(super) struct ReplyTracker {
    expected: VecDeque<ExpectedReply>,
    /// Shared statements prepared on the target, with their creation numbers.
    prepared: FastMap<StatementName, u64>,
    /// Shared statements from oldest to newest; includes entries that were closed or replaced.
    creation_order: VecDeque<(StatementName, u64)>,
    /// Creation number of the newest shared statement.
    last_created: u64,
    /// Statements that may or may not exist after DEALLOCATE or DISCARD.
    uncertain: FastSet<StatementName>,
    /// The target reads copy data and ignores Sync until it ends.
    copy_in: bool,
    /// The target skips everything up to the next Sync after an error.
    skipping: bool,
    /// Extended messages were sent without a Sync after them.
    batch_open: bool,
    /// Offset in the output buffer from which output is withheld.
    held_from: Option<usize>,
    /// The withheld CommandComplete may belong to a commit.
    held_commit: bool,
    /// Latest position that the target reported.
    pub(super) position: Option<LogPosition>,
    /// An error responded to a cancel request since the last `take_cancelled`.
    cancelled: bool,
}

impl ReplyTracker {
    /// Returns whether no reply is pending and no batch or copy is in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.expected.is_empty() && !self.skipping && !self.copy_in && !self.batch_open
    }

    /// Returns whether no reply is pending for the messages sent so far.
    pub(super) fn has_no_pending_reply(&self) -> bool {
        self.expected.is_empty()
    }

    /// Returns whether an error responded to a cancel request, and resets the flag.
    pub(super) const fn take_cancelled(&mut self) -> bool {
        std::mem::replace(&mut self.cancelled, false)
    }

    /// Returns how many bytes of the output buffer may be forwarded before the next ReadyForQuery.
    pub(super) fn releasable_length(&self, out: &BytesMut) -> usize {
        self.held_from.unwrap_or(out.len())
    }

    /// Records that the first `length` bytes of the output buffer were forwarded.
    pub(super) const fn output_sent(&mut self, length: usize) {
        if let Some(held) = self.held_from {
            self.held_from = Some(held.saturating_sub(length));
        }
    }

    /// Clears the record of prepared statements, after `DISCARD ALL`.
    pub(super) fn clear_statements(&mut self) {
        self.prepared.clear();
        self.creation_order.clear();
        self.uncertain.clear();
    }

    /// Appends whole frontend messages to `target_buffer` and records the replies to expect.
    pub(super) fn feed(
        &mut self,
        data: &[u8],
        target_buffer: &mut BytesMut,
    ) -> Result<(), ProtocolError> {
        let mut rest = data;
        while !rest.is_empty() {
            let Some((tag, length)) = whole_message(rest)? else {
                return Err(ProtocolError("incomplete message from the session"));
            };
            let (message, tail) = rest.split_at(length);
            rest = tail;
            self.feed_message(tag, message, target_buffer)?;
        }
        Ok(())
    }

    fn feed_message(
        &mut self,
        tag: u8,
        message: &[u8],
        target_buffer: &mut BytesMut,
    ) -> Result<(), ProtocolError> {
        if self.skipping && tag != b'S' {
            // The target would skip it.
            return Ok(());
        }
        match tag {
            b'P' | b'B' | b'C' | b'D' | b'E' => self.batch_open = true,
            b'Q' | b'F' => self.batch_open = false,
            _ => {}
        }
        let reply = match tag {
            b'Q' => ExpectedReply::Query,
            b'F' => ExpectedReply::FunctionCall,
            b'S' => {
                self.skipping = false;
                if self.copy_in {
                    target_buffer.extend_from_slice(message);
                    return Ok(());
                }
                self.batch_open = false;
                ExpectedReply::Sync
            }
            b'P' => return self.feed_parse(message, target_buffer),
            b'B' => ExpectedReply::Bind,
            b'C' => ExpectedReply::Close(close_name(message)?),
            b'D' => ExpectedReply::Describe,
            b'E' => ExpectedReply::Execute,
            b'c' | b'f' => {
                self.copy_in = false;
                ExpectedReply::CopyEnd
            }
            b'd' | b'H' => {
                target_buffer.extend_from_slice(message);
                return Ok(());
            }
            // The session ends a grant with `Release`; the connection stays open.
            b'X' => return Ok(()),
            _ => return Err(ProtocolError("unknown message type from the session")),
        };
        target_buffer.extend_from_slice(message);
        self.expected.push_back(reply);
        Ok(())
    }

    fn feed_parse(
        &mut self,
        message: &[u8],
        target_buffer: &mut BytesMut,
    ) -> Result<(), ProtocolError> {
        let (name, _) = split_text(&message[HEADER_LENGTH..])?;
        if !name.starts_with(SHARED_STATEMENT_PREFIX) {
            target_buffer.extend_from_slice(message);
            self.expected.push_back(ExpectedReply::Parse(None));
            return Ok(());
        }
        match self.statement_state(name) {
            StatementState::Present => {
                self.expected.push_back(ExpectedReply::LocalParse);
                return Ok(());
            }
            StatementState::Uncertain => self.send_hidden_close(name, target_buffer),
            StatementState::Absent => {}
        }
        if self.prepared.len() >= MAX_SHARED_STATEMENTS
            && let Some(oldest) = self.pop_oldest()
        {
            self.send_hidden_close(&oldest, target_buffer);
        }
        target_buffer.extend_from_slice(message);
        self.expected.push_back(ExpectedReply::Parse(Some(Arc::from(name))));
        Ok(())
    }

    // State of a statement once the target has processed everything that was sent.
    fn statement_state(&self, name: &[u8]) -> StatementState {
        let mut synced = false;
        for reply in self.expected.iter().rev() {
            match reply {
                ExpectedReply::Sync | ExpectedReply::Query | ExpectedReply::FunctionCall => {
                    synced = true;
                }
                // Within one batch an error skips both this Parse and the later use.
                ExpectedReply::Parse(Some(pending)) if &**pending == name => {
                    return if synced {
                        StatementState::Uncertain
                    } else {
                        StatementState::Present
                    };
                }
                ExpectedReply::Close(Some(pending)) if &**pending == name => {
                    return StatementState::Uncertain;
                }
                _ => {}
            }
        }
        if self.prepared.contains_key(name) {
            StatementState::Present
        } else if self.uncertain.contains(name) {
            StatementState::Uncertain
        } else {
            StatementState::Absent
        }
    }

    fn send_hidden_close(&mut self, name: &[u8], target_buffer: &mut BytesMut) {
        let length = u32::try_from(name.len() + 6).unwrap_or(u32::MAX);
        target_buffer.put_u8(b'C');
        target_buffer.put_u32(length);
        target_buffer.put_u8(b'S');
        target_buffer.extend_from_slice(name);
        target_buffer.put_u8(0);
        self.expected.push_back(ExpectedReply::HiddenClose);
    }

    fn pop_oldest(&mut self) -> Option<StatementName> {
        while let Some((name, order)) = self.creation_order.pop_front() {
            if self.prepared.get(&name) == Some(&order) {
                self.prepared.remove(&name);
                // The target skips the Close if an error precedes it in the batch.
                self.uncertain.insert(name.clone());
                return Some(name);
            }
        }
        None
    }

    fn add_prepared(&mut self, name: StatementName) {
        self.uncertain.remove(&name);
        self.last_created += 1;
        self.creation_order.push_back((name.clone(), self.last_created));
        self.prepared.insert(name, self.last_created);
    }

    /// Appends the replies that do not come from the target, up to the first that does.
    pub(super) fn emit_local_replies(&mut self, out: &mut BytesMut) {
        loop {
            match self.expected.front() {
                Some(ExpectedReply::LocalParse) => out.extend_from_slice(&PARSE_COMPLETE),
                Some(ExpectedReply::CopyEnd) => {}
                _ => return,
            }
            self.expected.pop_front();
        }
    }

    /// Moves whole backend messages from `read` to `out` up to the next step.
    ///
    /// With `hold`, output from a CommandComplete on is withheld until ReadyForQuery, because the
    /// commit that it reports is not confirmed yet.
    pub(super) fn next_step(
        &mut self,
        read: &mut BytesMut,
        out: &mut BytesMut,
        hold: bool,
    ) -> Result<OutputStep, ProtocolError> {
        loop {
            if self.held_from.is_none() && out.len() >= CHUNK_SIZE {
                return Ok(OutputStep::Chunk);
            }
            if self.held_from.is_some() && out.len() >= HELD_OUTPUT_LIMIT {
                return Err(ProtocolError("too much output after a commit"));
            }
            let Some((tag, length)) = whole_message(read)? else {
                return Ok(OutputStep::NeedMore);
            };
            self.emit_local_replies(out);
            let message = &read[..length];
            let mut forward = true;
            match tag {
                b'Z' => {
                    let status = message.get(HEADER_LENGTH).copied();
                    read.advance(length);
                    return self.handle_ready(status);
                }
                b'E' => {
                    let fields = ErrorFields::read(message);
                    if fields.ends_connection() || self.expected.is_empty() {
                        return Ok(OutputStep::Fatal);
                    }
                    self.cancelled |= fields.is_cancel();
                    self.handle_error();
                }
                b'S' => forward = !self.handle_parameter(message),
                b'N' | b'A' => {}
                _ => {
                    if self.held_from.is_some() && !self.held_commit && tag != b'C' {
                        self.held_from = None;
                    }
                    if tag == b'C' && hold && !self.held_commit {
                        self.held_from = Some(out.len());
                        self.held_commit = may_commit(message);
                    }
                    forward = self.match_reply(tag, message)?;
                }
            }
            if forward {
                out.extend_from_slice(&read[..length]);
            }
            read.advance(length);
        }
    }

    fn handle_ready(&mut self, status: Option<u8>) -> Result<OutputStep, ProtocolError> {
        let status = status.ok_or(ProtocolError("ReadyForQuery without status"))?;
        match self.expected.pop_front() {
            Some(ExpectedReply::Query | ExpectedReply::Sync | ExpectedReply::FunctionCall) => {}
            _ => return Err(ProtocolError("unexpected ReadyForQuery")),
        }
        self.copy_in = false;
        self.held_from = None;
        self.held_commit = false;
        Ok(OutputStep::Ready(status))
    }

    // After an error the target skips everything up to Sync and sends no replies for it.
    fn handle_error(&mut self) {
        self.copy_in = false;
        loop {
            match self.expected.front() {
                Some(ExpectedReply::Query | ExpectedReply::FunctionCall | ExpectedReply::Sync) => {
                    return;
                }
                Some(_) => {
                    self.expected.pop_front();
                }
                None => {
                    self.skipping = true;
                    return;
                }
            }
        }
    }

    fn handle_parameter(&mut self, message: &[u8]) -> bool {
        let Ok((name, rest)) = split_text(&message[HEADER_LENGTH..]) else { return false };
        if name != b"group_position" {
            return false;
        }
        if let Ok((value, _)) = split_text(rest)
            && let Ok(text) = std::str::from_utf8(value)
            && let Ok(position) = text.parse()
        {
            self.position = Some(position);
        }
        true
    }

    fn match_reply(&mut self, tag: u8, message: &[u8]) -> Result<bool, ProtocolError> {
        let Some(front) = self.expected.front() else {
            return Err(ProtocolError("unexpected message from the target"));
        };
        let matches = match (tag, front) {
            (b'1', ExpectedReply::Parse(name)) => {
                if let Some(name) = name.clone() {
                    self.add_prepared(name);
                }
                true
            }
            (b'3', ExpectedReply::Close(name)) => {
                if let Some(name) = name {
                    self.prepared.remove(name);
                    self.uncertain.remove(name);
                }
                true
            }
            (b'3', ExpectedReply::HiddenClose) => {
                self.expected.pop_front();
                return Ok(false);
            }
            (b'2', ExpectedReply::Bind)
            | (b'T' | b'n', ExpectedReply::Describe)
            | (b's' | b'I', ExpectedReply::Execute) => true,
            (b'C', ExpectedReply::Execute) => {
                self.record_command(message);
                true
            }
            (b'C', ExpectedReply::Query) => {
                self.record_command(message);
                return Ok(true);
            }
            (b'G', ExpectedReply::Query | ExpectedReply::Execute) => {
                self.begin_copy();
                return Ok(true);
            }
            (b't', ExpectedReply::Describe)
            | (b'D' | b'd' | b'c' | b'H', ExpectedReply::Execute)
            | (b'T' | b'D' | b'I' | b'd' | b'c' | b'H', ExpectedReply::Query)
            | (b'V', ExpectedReply::FunctionCall) => return Ok(true),
            _ => return Err(ProtocolError("message out of order from the target")),
        };
        if matches {
            self.expected.pop_front();
        }
        Ok(true)
    }

    // While it reads copy data the target ignores Sync, so a Sync that was sent between Execute
    // and the end of the data has no reply.
    fn begin_copy(&mut self) {
        let mut index = 1;
        while let Some(reply) = self.expected.get(index) {
            match reply {
                ExpectedReply::CopyEnd => return,
                ExpectedReply::Sync => {
                    self.expected.remove(index);
                }
                _ => index += 1,
            }
        }
        self.copy_in = true;
    }

    fn record_command(&mut self, message: &[u8]) {
        let tag = &message[HEADER_LENGTH..];
        if tag.starts_with(b"DEALLOCATE") || tag.starts_with(b"DISCARD ALL") {
            self.creation_order.clear();
            for (name, _) in self.prepared.drain() {
                self.uncertain.insert(name);
            }
        }
    }
}

enum StatementState {
    Present,
    Absent,
    Uncertain,
}

fn close_name(message: &[u8]) -> Result<Option<StatementName>, ProtocolError> {
    let body = &message[HEADER_LENGTH..];
    let Some((kind, rest)) = body.split_first() else {
        return Err(ProtocolError("Close without a name"));
    };
    let (name, _) = split_text(rest)?;
    Ok((*kind == b'S' && name.starts_with(SHARED_STATEMENT_PREFIX)).then(|| Arc::from(name)))
}

// Only these commands can commit before the batch ends; all others commit at its end.
fn may_commit(message: &[u8]) -> bool {
    let tag = &message[HEADER_LENGTH..];
    for prefix in [&b"COMMIT"[..], b"PREPARE TRANSACTION", b"CALL", b"DO"] {
        if tag.starts_with(prefix) {
            return true;
        }
    }
    false
}
