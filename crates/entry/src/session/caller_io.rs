//! Caller sockets with or without TLS.

use {
    super::frame::{CallerFrame, FrameCodec, FrameError},
    ntex::{
        io::{Base, Io, IoRef, Layer, OnDisconnect},
        time::Millis,
        util::Either,
    },
    ntex_tls::rustls::TlsServerFilter,
    rustls::ServerConfig,
    std::{io, sync::Arc, time::Duration},
};

/// Caller socket with or without TLS.
///
/// It is an enum because a boxed filter would cost a dynamic call for each read and write.
#[derive(Debug)]
pub(super) enum CallerIo {
    /// Unencrypted connection.
    Plain(Io),
    /// TLS connection.
    Tls(Io<Layer<TlsServerFilter, Base>>),
}

impl CallerIo {
    pub(super) async fn recv(
        &self,
        codec: &FrameCodec,
    ) -> Result<Option<CallerFrame>, Either<FrameError, io::Error>> {
        match self {
            Self::Plain(io) => io.recv(codec).await,
            Self::Tls(io) => io.recv(codec).await,
        }
    }

    pub(super) async fn flush(&self, full: bool) -> io::Result<()> {
        match self {
            Self::Plain(io) => io.flush(full).await,
            Self::Tls(io) => io.flush(full).await,
        }
    }

    pub(super) async fn shutdown(&self) -> io::Result<()> {
        match self {
            Self::Plain(io) => io.shutdown().await,
            Self::Tls(io) => io.shutdown().await,
        }
    }

    pub(super) fn encode_slice(&self, bytes: &[u8]) -> io::Result<()> {
        self.io().encode_slice(bytes)
    }

    pub(super) fn terminate(&self) {
        self.io().terminate();
    }

    pub(super) fn on_disconnect(&self) -> OnDisconnect {
        self.io().on_disconnect()
    }

    pub(super) const fn is_tls(&self) -> bool {
        matches!(self, Self::Tls(_))
    }

    /// Returns whether the read buffer holds bytes that have not been decoded yet.
    pub(super) fn has_unread(&self) -> bool {
        self.io().with_read_buf(|buffer| !buffer.is_empty())
    }

    /// Performs the TLS handshake; the socket is closed if it fails.
    pub(super) async fn accept_tls(
        &mut self,
        config: Arc<ServerConfig>,
        handshake_timeout: Duration,
    ) -> io::Result<()> {
        let Self::Plain(io) = self else { return Err(io::ErrorKind::AlreadyExists.into()) };
        let handshake_timeout =
            Millis(u32::try_from(handshake_timeout.as_millis()).unwrap_or(u32::MAX));
        let io = TlsServerFilter::create(io.take(), config, handshake_timeout).await?;
        *self = Self::Tls(io);
        Ok(())
    }

    fn io(&self) -> &IoRef {
        match self {
            Self::Plain(io) => io,
            Self::Tls(io) => io,
        }
    }
}
