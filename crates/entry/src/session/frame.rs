//! Splits the PostgreSQL protocol into messages; only headers are parsed.

use {
    bytes::Bytes,
    ntex::{codec::Decoder, util::BytesMut},
    std::cell::Cell,
    thiserror::Error,
};

/// Complete message from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerFrame {
    /// Type byte; zero for start-up packets, which have none.
    pub tag: u8,
    /// Message with its header.
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

/// Invalid message header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length is shorter than the length field itself.
    #[error("message length {0} is too short")]
    Short(i32),
    /// The length is above the limit.
    #[error("message of {0} bytes is above the limit of {1}")]
    Long(usize, usize),
}

/// Decoder that splits a caller's bytes into messages.
///
/// A message is allocated only after all of it has arrived, so a header with a large length costs no memory.
#[derive(Debug)]
pub struct FrameCodec {
    startup: Cell<bool>,
    limit: Cell<usize>,
    partial_len: Cell<usize>,
}

impl FrameCodec {
    /// Creates a codec that expects start-up packets of at most `limit` bytes.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        Self { startup: Cell::new(true), limit: Cell::new(limit), partial_len: Cell::new(0) }
    }

    /// Switches from start-up packets to messages with a type byte.
    pub fn finish_startup(&self) {
        self.startup.set(false);
    }

    /// Sets the maximum size of a message, in bytes.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Returns the number of bytes that have arrived of an incomplete message.
    #[must_use]
    pub const fn partial_len(&self) -> usize {
        self.partial_len.get()
    }
}

impl Decoder for FrameCodec {
    type Item = CallerFrame;
    type Error = FrameError;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<CallerFrame>, FrameError> {
        self.partial_len.set(source.len());
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
        self.partial_len.set(0);
        Ok(Some(frame))
    }
}

/// Splits a null-terminated string off the front of a message body.
///
/// Returns the string and the rest, or `None` if there is no null byte.
#[must_use]
pub fn split_text(body: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = body.iter().position(|byte| *byte == 0)?;
    Some((&body[..end], &body[end + 1..]))
}
