//! Replies that a target connection still owes, in order.

use {
    super::frame::{ErrorFields, HEADER_LENGTH, ProtocolFault, split_text, whole_message},
    banyansill_core::{
        collections::{FastMap, FastSet},
        position::LogPosition,
    },
    bytes::{Buf, BufMut, BytesMut},
    std::{collections::VecDeque, sync::Arc},
};

/// Size at which an output chunk is passed on.
pub(super) const CHUNK_TARGET: usize = 16 << 10;

/// Most output that is withheld behind a commit within one batch.
const HELD_LIMIT: usize = 4 << 20;

/// Prefix of the statements that the proxy names and shares between sessions.
const SHARED_PREFIX: &[u8] = b"bs_";

/// Shared statements kept per connection; the oldest is closed first.
const STATEMENTS_KEPT: usize = 256;

const PARSE_COMPLETE: [u8; 5] = [b'1', 0, 0, 0, 4];

type StatementName = Arc<[u8]>;

#[derive(Clone, Debug, PartialEq, Eq)]
enum ExpectedReply {
    Query,
    FunctionCall,
    Sync,
    Parse(Option<StatementName>),
    /// A `Parse` that was not sent because the connection knows the statement.
    LocalParse,
    Bind,
    Close(Option<StatementName>),
    /// A `Close` that the session did not send.
    HiddenClose,
    Describe,
    Execute,
    /// End of copy data from the session; has no reply of its own.
    CopyEnd,
}

/// What the next part of a target's output means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutputStep {
    /// More bytes from the target are needed.
    NeedMore,
    /// The output buffer has reached the chunk size.
    Chunk,
    /// ReadyForQuery with its status byte.
    Ready(u8),
    /// The target ends the connection.
    Fatal,
}

/// Tracks what was sent on a connection and what the target still owes.
#[derive(Debug, Default)]
pub(super) struct ReplyTracker {
    expected: VecDeque<ExpectedReply>,
    /// Shared statements that the target holds, with the order of their creation.
    known: FastMap<StatementName, u64>,
    ages: VecDeque<(StatementName, u64)>,
    next_age: u64,
    /// Statements that may or may not exist after DEALLOCATE or DISCARD.
    doubtful: FastSet<StatementName>,
    /// The target reads copy data and ignores Sync until it ends.
    copy_in: bool,
    /// The target skips everything up to the next Sync after an error.
    skipping: bool,
    /// Extended messages were sent without a Sync after them.
    batch_open: bool,
    /// Output is withheld from this offset of the output buffer on.
    held_from: Option<usize>,
    /// The withheld CommandComplete may stand for a commit.
    held_commit: bool,
    /// Latest position that the target reported.
    pub(super) position: Option<LogPosition>,
    /// An error answered a cancel request since the last `take_cancelled`.
    cancelled: bool,
}

impl ReplyTracker {
    /// Returns whether the target owes nothing.
    pub(super) fn is_idle(&self) -> bool {
        self.expected.is_empty() && !self.skipping && !self.copy_in && !self.batch_open
    }

    /// Returns whether the target owes no reply to what was sent so far.
    pub(super) fn owes_nothing(&self) -> bool {
        self.expected.is_empty()
    }

    /// Returns whether an error answered a cancel request and forgets it.
    pub(super) const fn take_cancelled(&mut self) -> bool {
        std::mem::replace(&mut self.cancelled, false)
    }

    /// Returns the part of the output buffer that may be passed on before the next ReadyForQuery.
    pub(super) fn free_length(&self, out: &BytesMut) -> usize {
        self.held_from.unwrap_or(out.len())
    }

    /// Tells the tracker that the first `length` bytes of the output buffer were passed on.
    pub(super) const fn passed_on(&mut self, length: usize) {
        if let Some(held) = self.held_from {
            self.held_from = Some(held.saturating_sub(length));
        }
    }

    /// Forgets the statements of the connection, after `DISCARD ALL`.
    pub(super) fn forget_statements(&mut self) {
        self.known.clear();
        self.ages.clear();
        self.doubtful.clear();
    }

    /// Appends whole frontend messages to `wire` and notes the replies they will have.
    pub(super) fn feed(&mut self, data: &[u8], wire: &mut BytesMut) -> Result<(), ProtocolFault> {
        let mut rest = data;
        while !rest.is_empty() {
            let Some((tag, length)) = whole_message(rest)? else {
                return Err(ProtocolFault("incomplete message from the session"));
            };
            let (message, tail) = rest.split_at(length);
            rest = tail;
            self.feed_message(tag, message, wire)?;
        }
        Ok(())
    }

    fn feed_message(
        &mut self,
        tag: u8,
        message: &[u8],
        wire: &mut BytesMut,
    ) -> Result<(), ProtocolFault> {
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
                    wire.extend_from_slice(message);
                    return Ok(());
                }
                self.batch_open = false;
                ExpectedReply::Sync
            }
            b'P' => return self.feed_parse(message, wire),
            b'B' => ExpectedReply::Bind,
            b'C' => ExpectedReply::Close(close_name(message)?),
            b'D' => ExpectedReply::Describe,
            b'E' => ExpectedReply::Execute,
            b'c' | b'f' => {
                self.copy_in = false;
                ExpectedReply::CopyEnd
            }
            b'd' | b'H' => {
                wire.extend_from_slice(message);
                return Ok(());
            }
            // The session ends a grant with `Release`; the connection stays open.
            b'X' => return Ok(()),
            _ => return Err(ProtocolFault("message type from the session")),
        };
        wire.extend_from_slice(message);
        self.expected.push_back(reply);
        Ok(())
    }

    fn feed_parse(&mut self, message: &[u8], wire: &mut BytesMut) -> Result<(), ProtocolFault> {
        let (name, _) = split_text(&message[HEADER_LENGTH..])?;
        if !name.starts_with(SHARED_PREFIX) {
            wire.extend_from_slice(message);
            self.expected.push_back(ExpectedReply::Parse(None));
            return Ok(());
        }
        match self.statement_state(name) {
            StatementState::Present => {
                self.expected.push_back(ExpectedReply::LocalParse);
                return Ok(());
            }
            StatementState::Unclear => self.hide_close(name, wire),
            StatementState::Absent => {}
        }
        if self.known.len() >= STATEMENTS_KEPT
            && let Some(oldest) = self.pop_oldest()
        {
            self.hide_close(&oldest, wire);
        }
        wire.extend_from_slice(message);
        self.expected.push_back(ExpectedReply::Parse(Some(Arc::from(name))));
        Ok(())
    }

    // State of a statement at the end of everything that was sent.
    fn statement_state(&self, name: &[u8]) -> StatementState {
        let mut synced = false;
        for reply in self.expected.iter().rev() {
            match reply {
                ExpectedReply::Sync | ExpectedReply::Query | ExpectedReply::FunctionCall => {
                    synced = true;
                }
                // Within one batch an error skips the later use together with the first.
                ExpectedReply::Parse(Some(pending)) if &**pending == name => {
                    return if synced { StatementState::Unclear } else { StatementState::Present };
                }
                ExpectedReply::Close(Some(pending)) if &**pending == name => {
                    return StatementState::Unclear;
                }
                _ => {}
            }
        }
        if self.known.contains_key(name) {
            StatementState::Present
        } else if self.doubtful.contains(name) {
            StatementState::Unclear
        } else {
            StatementState::Absent
        }
    }

    fn hide_close(&mut self, name: &[u8], wire: &mut BytesMut) {
        let length = u32::try_from(name.len() + 6).unwrap_or(u32::MAX);
        wire.put_u8(b'C');
        wire.put_u32(length);
        wire.put_u8(b'S');
        wire.extend_from_slice(name);
        wire.put_u8(0);
        self.expected.push_back(ExpectedReply::HiddenClose);
    }

    fn pop_oldest(&mut self) -> Option<StatementName> {
        while let Some((name, age)) = self.ages.pop_front() {
            if self.known.get(&name) == Some(&age) {
                self.known.remove(&name);
                // An error may skip the close.
                self.doubtful.insert(name.clone());
                return Some(name);
            }
        }
        None
    }

    fn learn(&mut self, name: StatementName) {
        self.doubtful.remove(&name);
        self.next_age += 1;
        self.ages.push_back((name.clone(), self.next_age));
        self.known.insert(name, self.next_age);
    }

    /// Answers what the target need not answer, if nothing else is due before it.
    pub(super) fn answer_local(&mut self, out: &mut BytesMut) {
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
    /// commit that it stands for is not confirmed yet.
    pub(super) fn next_step(
        &mut self,
        read: &mut BytesMut,
        out: &mut BytesMut,
        hold: bool,
    ) -> Result<OutputStep, ProtocolFault> {
        loop {
            if self.held_from.is_none() && out.len() >= CHUNK_TARGET {
                return Ok(OutputStep::Chunk);
            }
            if self.held_from.is_some() && out.len() >= HELD_LIMIT {
                return Err(ProtocolFault("too much output behind a commit"));
            }
            let Some((tag, length)) = whole_message(read)? else {
                return Ok(OutputStep::NeedMore);
            };
            self.answer_local(out);
            let message = &read[..length];
            let mut pass = true;
            match tag {
                b'Z' => {
                    let status = message.get(HEADER_LENGTH).copied();
                    read.advance(length);
                    return self.take_ready(status);
                }
                b'E' => {
                    let fields = ErrorFields::read(message);
                    if fields.ends_connection() || self.expected.is_empty() {
                        return Ok(OutputStep::Fatal);
                    }
                    self.cancelled |= fields.is_cancel();
                    self.take_error();
                }
                b'S' => pass = !self.take_parameter(message),
                b'N' | b'A' => {}
                _ => {
                    if self.held_from.is_some() && !self.held_commit && tag != b'C' {
                        self.held_from = None;
                    }
                    if tag == b'C' && hold && !self.held_commit {
                        self.held_from = Some(out.len());
                        self.held_commit = may_commit(message);
                    }
                    pass = self.take_reply(tag, message)?;
                }
            }
            if pass {
                out.extend_from_slice(&read[..length]);
            }
            read.advance(length);
        }
    }

    fn take_ready(&mut self, status: Option<u8>) -> Result<OutputStep, ProtocolFault> {
        let status = status.ok_or(ProtocolFault("ReadyForQuery without status"))?;
        match self.expected.pop_front() {
            Some(ExpectedReply::Query | ExpectedReply::Sync | ExpectedReply::FunctionCall) => {}
            _ => return Err(ProtocolFault("unexpected ReadyForQuery")),
        }
        self.copy_in = false;
        self.held_from = None;
        self.held_commit = false;
        Ok(OutputStep::Ready(status))
    }

    // After an error the target skips everything up to Sync; the skipped replies never come.
    fn take_error(&mut self) {
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

    fn take_parameter(&mut self, message: &[u8]) -> bool {
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

    fn take_reply(&mut self, tag: u8, message: &[u8]) -> Result<bool, ProtocolFault> {
        let Some(front) = self.expected.front() else {
            return Err(ProtocolFault("unexpected message from the target"));
        };
        let matches = match (tag, front) {
            (b'1', ExpectedReply::Parse(name)) => {
                if let Some(name) = name.clone() {
                    self.learn(name);
                }
                true
            }
            (b'3', ExpectedReply::Close(name)) => {
                if let Some(name) = name {
                    self.known.remove(name);
                    self.doubtful.remove(name);
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
                self.note_command(message);
                true
            }
            (b'C', ExpectedReply::Query) => {
                self.note_command(message);
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
            _ => return Err(ProtocolFault("message out of order from the target")),
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

    fn note_command(&mut self, message: &[u8]) {
        let tag = &message[HEADER_LENGTH..];
        if tag.starts_with(b"DEALLOCATE") || tag.starts_with(b"DISCARD ALL") {
            self.ages.clear();
            for (name, _) in self.known.drain() {
                self.doubtful.insert(name);
            }
        }
    }
}

enum StatementState {
    Present,
    Absent,
    Unclear,
}

fn close_name(message: &[u8]) -> Result<Option<StatementName>, ProtocolFault> {
    let body = &message[HEADER_LENGTH..];
    let Some((kind, rest)) = body.split_first() else {
        return Err(ProtocolFault("close without a name"));
    };
    let (name, _) = split_text(rest)?;
    Ok((*kind == b'S' && name.starts_with(SHARED_PREFIX)).then(|| Arc::from(name)))
}

// Only these commands can commit before the batch ends; all others commit with it.
fn may_commit(message: &[u8]) -> bool {
    let tag = &message[HEADER_LENGTH..];
    for prefix in [&b"COMMIT"[..], b"PREPARE TRANSACTION", b"CALL", b"DO"] {
        if tag.starts_with(prefix) {
            return true;
        }
    }
    false
}
