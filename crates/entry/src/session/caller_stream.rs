//! Reads from and writes to a caller's socket, with the reasons that end a session.

use {
    super::{
        caller_io::CallerIo,
        frame::{CallerFrame, FrameCodec},
    },
    banyansill_core::failure::FailureKind,
    ntex::util::Either,
    std::time::Duration,
    tokio::time::timeout,
};

/// Why a session ends.
#[derive(Debug)]
pub(super) enum SessionEnd {
    /// The caller closed the connection, or the connection was lost.
    Closed,
    /// The caller stopped in the middle of a message or did not read its responses.
    Stalled,
    /// The caller receives an error response and is disconnected.
    Failure(FailureKind, &'static str),
}

/// A caller's socket with its message codec and stall timeout.
#[derive(Debug)]
pub(super) struct CallerStream {
    pub(super) io: CallerIo,
    pub(super) codec: FrameCodec,
    /// Time after which a caller that stops in the middle of a message or does not read is disconnected.
    pub(super) stall_timeout: Duration,
}

impl CallerStream {
    /// Returns the next message, or `None` when the caller has closed the connection.
    ///
    /// There is no timeout between messages, only inside a message. The method is cancel safe.
    pub(super) async fn next(&self) -> Result<Option<CallerFrame>, SessionEnd> {
        let mut previous_len = 0;
        loop {
            match timeout(self.stall_timeout, self.io.recv(&self.codec)).await {
                Ok(Ok(frame)) => return Ok(frame),
                Ok(Err(Either::Left(error))) => {
                    log::debug!("malformed message: {error}");
                    return Err(SessionEnd::Failure(
                        FailureKind::ProtocolViolation,
                        "message length",
                    ));
                }
                Ok(Err(Either::Right(_))) => return Err(SessionEnd::Closed),
                Err(_) => {
                    let partial_len = self.codec.partial_len();
                    if partial_len > 0 && partial_len == previous_len {
                        return Err(SessionEnd::Stalled);
                    }
                    previous_len = partial_len;
                }
            }
        }
    }

    /// Appends bytes to the write buffer.
    pub(super) fn write(&self, bytes: &[u8]) -> Result<(), SessionEnd> {
        self.io.encode_slice(bytes).map_err(|_| SessionEnd::Closed)
    }

    /// Waits until the write buffer has room again.
    ///
    /// # Errors
    ///
    /// Returns `Stalled` if the caller does not read within the stall timeout.
    pub(super) async fn wait_writable(&self) -> Result<(), SessionEnd> {
        match timeout(self.stall_timeout, self.io.flush(false)).await {
            Ok(result) => result.map_err(|_| SessionEnd::Closed),
            Err(_) => Err(SessionEnd::Stalled),
        }
    }
}
