//! Interface that an encoding of the messages implements.

use {
    crate::message::{CallerMessage, CallerReply, ProbeRow, TargetReply, TargetRequest},
    bytes::BytesMut,
    thiserror::Error,
};

/// Invalid input after which no further message can be decoded on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// The message exceeds the maximum size of the protocol.
    #[error("the message exceeds the maximum size")]
    TooLarge,
    /// The bytes are not a valid message of the protocol.
    #[error("the bytes are not a valid message of the protocol")]
    Malformed,
}

/// Encoding of statements and their answers on a byte stream.
pub trait StatementProtocol: Clone + Send + Sync + 'static {
    /// Decodes the message of a caller at the beginning of `input` and returns it with its size in bytes, or
    /// `None` if it is not complete yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is invalid, so that no further message can be decoded.
    fn decode_message(&self, input: &[u8]) -> Result<Option<(CallerMessage, usize)>, FramingError>;

    /// Encodes a message to a caller and appends it to `output`.
    fn encode_reply(&self, reply: CallerReply<'_>, output: &mut BytesMut);

    /// Encodes a message to a target and appends it to `output`.
    fn encode_request(&self, request: TargetRequest<'_>, output: &mut BytesMut);

    /// Decodes the message of a target at the beginning of `input` and returns it with its size in bytes, or
    /// `None` if it is not complete yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is invalid, so that no further message can be decoded.
    fn decode_reply(&self, input: &[u8]) -> Result<Option<(TargetReply, usize)>, FramingError>;

    /// Decodes the row that answers a probe; `None` if it is invalid.
    fn decode_probe(&self, row: &[u8]) -> Option<ProbeRow>;
}
