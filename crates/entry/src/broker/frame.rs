//! Framing of PostgreSQL messages.

use {
    bytes::{Bytes, BytesMut},
    postgres_protocol::message::backend::Message,
    thiserror::Error,
};

/// Maximum length of a PostgreSQL message, in bytes.
pub(super) const MESSAGE_LIMIT: usize = 64 << 20;

/// Bytes of a message's tag and length.
pub(super) const HEADER_LENGTH: usize = 5;

/// Violation of the PostgreSQL protocol by the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("protocol violation: {0}")]
pub struct ProtocolError(pub &'static str);

/// Returns the tag and the whole length of the first message, or `None` if it is incomplete.
pub(super) fn whole_message(data: &[u8]) -> Result<Option<(u8, usize)>, ProtocolError> {
    let Some(header) = data.first_chunk::<HEADER_LENGTH>() else { return Ok(None) };
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    if !(4..=MESSAGE_LIMIT).contains(&length) {
        return Err(ProtocolError("invalid message length"));
    }
    if data.len() <= length {
        return Ok(None);
    }
    Ok(Some((header[0], length + 1)))
}

/// Returns the text before the first zero byte and the rest after it.
pub(super) fn split_text(data: &[u8]) -> Result<(&[u8], &[u8]), ProtocolError> {
    match data.iter().position(|byte| *byte == 0) {
        Some(index) => Ok((&data[..index], &data[index + 1..])),
        None => Err(ProtocolError("unterminated string")),
    }
}

/// Parses one whole backend message.
///
/// Copies the message, so it is not meant for the path of each statement.
pub(super) fn parse_backend(message: &[u8]) -> Option<Message> {
    let mut buffer = BytesMut::from(message);
    Message::parse(&mut buffer).ok().flatten()
}

/// Fields of an ErrorResponse that determine how the error is handled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ErrorFields {
    pub(super) severity: Bytes,
    pub(super) code: Bytes,
    pub(super) message: Bytes,
}

impl ErrorFields {
    /// Parses the fields of a whole ErrorResponse.
    pub(super) fn read(message: &[u8]) -> Self {
        let mut fields = Self::default();
        let mut rest = message.get(HEADER_LENGTH..).unwrap_or_default();
        while let Some((code, tail)) = rest.split_first() {
            let Ok((text, after)) = split_text(tail) else { break };
            match code {
                // The untranslated severity takes precedence.
                b'V' => fields.severity = Bytes::copy_from_slice(text),
                b'S' if fields.severity.is_empty() => {
                    fields.severity = Bytes::copy_from_slice(text);
                }
                b'C' => fields.code = Bytes::copy_from_slice(text),
                b'M' => fields.message = Bytes::copy_from_slice(text),
                _ => {}
            }
            rest = after;
        }
        fields
    }

    /// Returns whether the target closes the connection after this error.
    pub(super) fn ends_connection(&self) -> bool {
        matches!(&self.severity[..], b"FATAL" | b"PANIC")
    }

    /// Returns whether the error is the result of a cancel request.
    pub(super) fn is_cancel(&self) -> bool {
        &self.code[..] == b"57014"
    }
}
