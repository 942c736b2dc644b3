//! A caller's socket and why its session ends.

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
    /// The caller closed the connection, or it broke.
    Closed,
    /// The caller stopped in the middle of a message or did not read its answers.
    Stalled,
    /// The caller is told of a failure and closed.
    Failure(FailureKind, &'static str),
}

/// The caller's socket.
#[derive(Debug)]
pub(super) struct CallerStream {
    pub(super) io: CallerIo,
    pub(super) codec: FrameCodec,
    /// Time after which a caller is closed that stops in the middle of a message or does not read.
    pub(super) stall: Duration,
}

impl CallerStream {
    /// Returns the next message, or `None` when the caller has closed the connection.
    ///
    /// A caller may be idle for as long as it likes between messages, but not inside one. Dropping
    /// the future loses nothing.
    pub(super) async fn next(&self) -> Result<Option<CallerFrame>, SessionEnd> {
        let mut seen = 0;
        loop {
            match timeout(self.stall, self.io.recv(&self.codec)).await {
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
                    let waiting = self.codec.waiting();
                    if waiting > 0 && waiting == seen {
                        return Err(SessionEnd::Stalled);
                    }
                    seen = waiting;
                }
            }
        }
    }

    /// Appends bytes to what the caller is sent.
    pub(super) fn put(&self, bytes: &[u8]) -> Result<(), SessionEnd> {
        self.io.encode_slice(bytes).map_err(|_| SessionEnd::Closed)
    }

    /// Waits until little enough is unsent; ends the session if the caller does not read.
    pub(super) async fn relieve(&self) -> Result<(), SessionEnd> {
        match timeout(self.stall, self.io.flush(false)).await {
            Ok(result) => result.map_err(|_| SessionEnd::Closed),
            Err(_) => Err(SessionEnd::Stalled),
        }
    }
}
