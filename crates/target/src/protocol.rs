//! Interface to an encoding of the messages.

use {
    crate::message::{CallerMessage, CallerReply, ProbeRow, TargetReply, TargetRequest},
    bytes::BytesMut,
    thiserror::Error,
};

/// Bytes after which no further message can be found on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// The message is larger than accepted.
    #[error("the message is larger than accepted")]
    TooLarge,
    /// The bytes are no message of the protocol.
    #[error("the bytes are no message of the protocol")]
    Malformed,
}

/// Encoding of statements and their answers on a byte stream.
pub trait StatementProtocol: Clone + Send + Sync + 'static {
    /// Reads the message of a caller at the beginning of `input` and returns it with its size; `None`
    /// if it is not complete yet.
    ///
    /// # Errors
    ///
    /// Returns an error if no further message can be found.
    fn decode_message(&self, input: &[u8]) -> Result<Option<(CallerMessage, usize)>, FramingError>;

    /// Appends a message to a caller.
    fn encode_reply(&self, reply: CallerReply<'_>, output: &mut BytesMut);

    /// Appends a message to a target.
    fn encode_request(&self, request: TargetRequest<'_>, output: &mut BytesMut);

    /// Reads the message of a target at the beginning of `input` and returns it with its size; `None`
    /// if it is not complete yet.
    ///
    /// # Errors
    ///
    /// Returns an error if no further message can be found.
    fn decode_reply(&self, input: &[u8]) -> Result<Option<(TargetReply, usize)>, FramingError>;

    /// Reads the row that answers a probe; `None` if it is not such a row.
    fn decode_probe(&self, row: &[u8]) -> Option<ProbeRow>;
}
