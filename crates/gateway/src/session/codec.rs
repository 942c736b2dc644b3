//! Framing of callers' messages on the listener's sockets.

use {
    banyansill_target::{CallerMessage, FramingError, StatementProtocol},
    ntex::{
        codec::Decoder,
        util::{Buf, BytesMut},
    },
};

/// Decoder for the messages of a statement protocol.
#[derive(Clone, Debug)]
pub(super) struct CallerCodec<P>(pub(super) P);

impl<P> Decoder for CallerCodec<P>
where
    P: StatementProtocol,
{
    type Item = CallerMessage;
    type Error = FramingError;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<CallerMessage>, FramingError> {
        let Some((message, size)) = self.0.decode_message(source)? else { return Ok(None) };
        source.advance(size);
        Ok(Some(message))
    }
}
