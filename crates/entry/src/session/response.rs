//! Backend messages that the proxy writes itself.

use {
    banyansill_core::{failure::FailureKind, time::Micros},
    bytes::{BufMut, BytesMut},
};

/// Transaction status byte outside a transaction.
pub const STATUS_IDLE: u8 = b'I';
/// Transaction status byte inside a transaction.
pub const STATUS_OPEN: u8 = b'T';
/// Transaction status byte inside a failed transaction.
pub const STATUS_FAILED: u8 = b'E';

/// Severity of an `ErrorResponse`, which decides whether the connection stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorSeverity {
    /// The session continues.
    Error,
    /// The connection is closed.
    Fatal,
}

/// Writes one message: type byte, length and the body that `write` appends.
pub fn message(buffer: &mut BytesMut, tag: u8, write: impl FnOnce(&mut BytesMut)) {
    buffer.put_u8(tag);
    let start = buffer.len();
    buffer.put_i32(0);
    write(buffer);
    let length = i32::try_from(buffer.len() - start).unwrap_or(i32::MAX);
    buffer[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a null-terminated string.
pub fn c_string(buffer: &mut BytesMut, text: &str) {
    buffer.put_slice(text.as_bytes());
    buffer.put_u8(0);
}

/// Writes an `ErrorResponse`; empty fields are omitted.
pub fn error(
    buffer: &mut BytesMut,
    severity: ErrorSeverity,
    sqlstate: &str,
    description: &str,
    detail: &str,
    hint: &str,
) {
    let severity = match severity {
        ErrorSeverity::Error => "ERROR",
        ErrorSeverity::Fatal => "FATAL",
    };
    message(buffer, b'E', |buffer| {
        for (field, value) in [
            (b'S', severity),
            (b'V', severity),
            (b'C', sqlstate),
            (b'M', description),
            (b'D', detail),
            (b'H', hint),
        ] {
            if value.is_empty() {
                continue;
            }
            buffer.put_u8(field);
            c_string(buffer, value);
        }
        buffer.put_u8(0);
    });
}

/// Writes the `ErrorResponse` for a failure; if `retry_after` is zero, the kind's default applies.
pub fn failure(
    buffer: &mut BytesMut,
    severity: ErrorSeverity,
    kind: FailureKind,
    detail: &str,
    retry_after: Micros,
) {
    let answer = kind.answer();
    let millis = match retry_after.as_millis() {
        0 => u64::from(answer.retry_after_ms),
        millis => millis,
    };
    let hint = if millis == 0 { String::new() } else { format!("retry after {millis} ms") };
    let name = kind.name();
    let detail = if detail.is_empty() { name.to_owned() } else { format!("{name}: {detail}") };
    error(buffer, severity, answer.sqlstate, answer.message, &detail, &hint);
}

/// Writes a `ReadyForQuery`.
pub fn ready_for_query(buffer: &mut BytesMut, status: u8) {
    message(buffer, b'Z', |buffer| buffer.put_u8(status));
}

/// Writes a `CommandComplete`.
pub fn command_complete(buffer: &mut BytesMut, command: &str) {
    message(buffer, b'C', |buffer| c_string(buffer, command));
}

/// Writes a message without a body.
pub fn empty_message(buffer: &mut BytesMut, tag: u8) {
    message(buffer, tag, |_| {});
}

/// Writes a `ParameterStatus`.
pub fn parameter_status(buffer: &mut BytesMut, name: &str, value: &str) {
    message(buffer, b'S', |buffer| {
        c_string(buffer, name);
        c_string(buffer, value);
    });
}
