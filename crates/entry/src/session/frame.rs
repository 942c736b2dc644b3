//! Framing of the PostgreSQL protocol by message headers only.

use {
    bytes::Bytes,
    ntex::{codec::Decoder, util::BytesMut},
    std::cell::Cell,
    thiserror::Error,
};

/// Message of a caller, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerFrame {
    /// Type byte; zero for start-up packets, which have none.
    pub tag: u8,
    /// The message with its header.
    pub bytes: Bytes,
}

impl CallerFrame {
    /// Returns the message without its header.
    #[must_use]
    pub fn body(&self) -> &[u8] {
        let header = if self.tag == 0 { 4 } else { 5 };
        self.bytes.get(header..).unwrap_or(&[])
    }
}

/// Header that no valid message has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length is shorter than the length field itself.
    #[error("message length {0} is too short")]
    Short(i32),
    /// The length is above the limit.
    #[error("message of {0} bytes is above the limit of {1}")]
    Long(usize, usize),
}

/// Splits the caller's bytes into messages.
///
/// Nothing is allocated for a message before all of it has arrived, so a header with a great length
/// costs no memory.
#[derive(Debug)]
pub struct FrameCodec {
    startup: Cell<bool>,
    limit: Cell<usize>,
    waiting: Cell<usize>,
}

impl FrameCodec {
    /// Creates a codec that expects start-up packets of at most `limit` bytes.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        Self { startup: Cell::new(true), limit: Cell::new(limit), waiting: Cell::new(0) }
    }

    /// Expects messages with a type byte from now on.
    pub fn finish_startup(&self) {
        self.startup.set(false);
    }

    /// Changes the limit of a message's size.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Returns the number of bytes of an unfinished message that have arrived.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting.get()
    }
}

impl Decoder for FrameCodec {
    type Item = CallerFrame;
    type Error = FrameError;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<CallerFrame>, FrameError> {
        self.waiting.set(source.len());
        let tag_size = usize::from(!self.startup.get());
        let Some(field) = source.get(tag_size..tag_size + 4) else { return Ok(None) };
        let length = i32::from_be_bytes([field[0], field[1], field[2], field[3]]);
        let size = match usize::try_from(length) {
            Ok(size) if size >= 4 => size + tag_size,
            _ => return Err(FrameError::Short(length)),
        };
        let limit = self.limit.get();
        if size > limit {
            return Err(FrameError::Long(size, limit));
        }
        let Some(message) = source.get(..size) else { return Ok(None) };
        let tag = if tag_size == 0 { 0 } else { message[0] };
        let frame = CallerFrame { tag, bytes: Bytes::copy_from_slice(message) };
        ntex::util::Buf::advance(source, size);
        self.waiting.set(0);
        Ok(Some(frame))
    }
}

/// Splits a string that ends with a zero byte off the front of a message body.
#[must_use]
pub fn split_text(body: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = body.iter().position(|byte| *byte == 0)?;
    Some((&body[..end], &body[end + 1..]))
}
