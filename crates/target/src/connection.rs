//! Connection to a target, direct or relayed.

use {
    crate::{
        message::{ProbeRow, StartRequest, TargetReply, TargetRequest},
        protocol::{FramingError, StatementProtocol},
    },
    banyansill_core::{
        gateway::TargetError, position::LogPosition, transaction::TransactionStatus,
    },
    bytes::{Buf, Bytes, BytesMut},
    socket2::{SockRef, TcpKeepalive},
    std::{
        io,
        net::SocketAddr,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf},
        net::TcpStream,
        time,
    },
};

/// Maximum total size of the rows of an answer; targets accept messages of 1 MiB.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Initial capacity of the buffers; most messages are a few hundred bytes.
const BUFFER_CAPACITY: usize = 1_024;

/// Idle time before the first keep-alive probe. With the next two constants, a broken path is detected within 3 s.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which the system closes a connection.
const KEEPALIVE_COUNT: u32 = 2;

/// Time for which sent bytes may stay unacknowledged before the system closes the connection.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeouts for opening a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionOptions {
    /// Timeout of the TCP handshake.
    pub connect_timeout: Duration,
    /// Timeout of the target's answer to the start request.
    pub start_timeout: Duration,
}

/// Reason why a connection could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The address is unreachable, or the target did not answer the start request as expected.
    #[error("connection to {address}: {source}")]
    Unreachable {
        /// Address of the target.
        address: String,
        /// Error reported by the operating system, or a description of the unexpected answer.
        source: io::Error,
    },
    /// The target refused the start request.
    #[error("refused by the target: {0:?}")]
    Refused(TargetError),
}

/// Reason why no complete answer was received.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection broke or was closed.
    #[error("connection lost: {0}")]
    Lost(#[from] io::Error),
    /// The target sent bytes that are not a valid answer.
    #[error("invalid answer from the target: {0}")]
    Framing(#[from] FramingError),
}

/// Complete answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementAnswer {
    /// Rows in the order in which the target sent them.
    pub rows: Vec<Bytes>,
    /// The target's signature, or the reported failure with the target's text.
    pub outcome: Result<Bytes, (TargetError, Bytes)>,
    /// Transaction status after the statement.
    pub status: TransactionStatus,
    /// Position of the target's log, if the target reported one.
    pub position: Option<LogPosition>,
}

/// Received part of an answer.
#[derive(Debug, Default)]
struct PartialAnswer {
    rows: Vec<Bytes>,
    /// Total size of the rows in bytes.
    size: usize,
    outcome: Option<Result<Bytes, (TargetError, Bytes)>>,
}

/// Byte stream to a target.
#[derive(Debug)]
pub enum TargetStream {
    /// TCP connection to the target.
    Direct(TcpStream),
    /// Stream that is relayed over a connection of another entry.
    Relayed(DuplexStream),
    /// Closed; reads return the end of the stream, and writes fail.
    Closed,
}

impl AsyncRead for TargetStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Relayed(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Closed => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_write(context, bytes),
            Self::Relayed(stream) => Pin::new(stream).poll_write(context, bytes),
            Self::Closed => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_flush(context),
            Self::Relayed(stream) => Pin::new(stream).poll_flush(context),
            Self::Closed => Poll::Ready(Ok(())),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Relayed(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Closed => Poll::Ready(Ok(())),
        }
    }
}

/// Open connection to a target.
#[derive(Debug)]
pub struct TargetConnection<P> {
    protocol: P,
    stream: TargetStream,
    input: BytesMut,
    output: BytesMut,
    /// Number of requests without a complete answer.
    outstanding: u32,
    /// Received part of the answer to the oldest of them.
    partial: PartialAnswer,
    status: TransactionStatus,
    position: Option<LogPosition>,
}

impl<P> TargetConnection<P>
where
    P: StatementProtocol,
{
    /// Connects to a target and sends the start request.
    ///
    /// # Errors
    ///
    /// Returns an error if the target cannot be reached in time or refuses the request.
    pub async fn open(
        address: SocketAddr,
        start: &StartRequest,
        protocol: P,
        options: ConnectionOptions,
    ) -> Result<Self, ConnectError> {
        let unreachable =
            |source| ConnectError::Unreachable { address: address.to_string(), source };
        let stream = with_timeout(options.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(unreachable)?;
        set_options(&stream).map_err(unreachable)?;
        let mut connection = Self::from_stream(TargetStream::Direct(stream), protocol);
        connection.send(TargetRequest::Start(start));
        // Unlike other answers, the answer to a start request is a single message.
        let started = async {
            connection.flush().await?;
            let reply = connection.reply().await.map_err(io::Error::other)?;
            Ok(reply)
        };
        let reply = with_timeout(options.start_timeout, started).await.map_err(unreachable)?;
        match reply {
            TargetReply::Ready { status, position } => {
                connection.outstanding = 0;
                connection.status = status;
                connection.position = position;
                Ok(connection)
            }
            TargetReply::Failure { error, .. } => Err(ConnectError::Refused(error)),
            TargetReply::Row(_) | TargetReply::Complete(_) => {
                Err(unreachable(io::Error::other("unexpected answer to the start request")))
            }
        }
    }

    /// Creates a placeholder for a connection that is closed.
    #[must_use]
    pub fn closed(protocol: P) -> Self {
        Self::from_stream(TargetStream::Closed, protocol)
    }

    /// Returns whether the connection was closed on this side, or is only a placeholder.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        matches!(self.stream, TargetStream::Closed)
    }

    /// Creates a connection from a stream on which the target has already accepted a start request.
    #[must_use]
    pub fn from_stream(stream: TargetStream, protocol: P) -> Self {
        Self {
            protocol,
            stream,
            input: BytesMut::with_capacity(BUFFER_CAPACITY),
            output: BytesMut::with_capacity(BUFFER_CAPACITY),
            outstanding: 0,
            partial: PartialAnswer::default(),
            status: TransactionStatus::Idle,
            position: None,
        }
    }

    /// Returns the transaction status after the last answer.
    #[must_use]
    pub const fn status(&self) -> TransactionStatus {
        self.status
    }

    /// Returns the position of the target's log at the last answer.
    #[must_use]
    pub const fn position(&self) -> Option<LogPosition> {
        self.position
    }

    /// Returns whether no answer is outstanding, no bytes are buffered and no transaction is open.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.outstanding == 0
            && self.status == TransactionStatus::Idle
            && self.input.is_empty()
            && self.output.is_empty()
    }

    /// Appends a request to the output buffer, which [`Self::flush`] or [`Self::answer`] sends.
    pub fn send(&mut self, request: TargetRequest<'_>) {
        self.protocol.encode_request(request, &mut self.output);
        self.outstanding += 1;
    }

    /// Sends the buffered requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
    pub async fn flush(&mut self) -> io::Result<()> {
        if self.output.is_empty() {
            return Ok(());
        }
        self.stream.write_all_buf(&mut self.output).await
    }

    /// Sends the buffered requests and returns the answer to the oldest outstanding request.
    ///
    /// The method is cancel-safe: after the future is dropped, the next call continues with the same answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke or the bytes are not a valid answer.
    pub async fn answer(&mut self) -> Result<StatementAnswer, ExchangeError> {
        self.flush().await?;
        loop {
            match self.reply().await? {
                TargetReply::Row(row) => {
                    self.partial.size += row.len();
                    if self.partial.size > MAX_ANSWER_BYTES {
                        return Err(ExchangeError::Framing(FramingError::TooLarge));
                    }
                    self.partial.rows.push(row);
                }
                TargetReply::Complete(signature) => self.partial.outcome = Some(Ok(signature)),
                TargetReply::Failure { error, detail } => {
                    self.partial.outcome = Some(Err((error, detail)));
                }
                TargetReply::Ready { status, position } => {
                    let PartialAnswer { rows, outcome, .. } = std::mem::take(&mut self.partial);
                    let outcome = outcome.ok_or(FramingError::Malformed)?;
                    self.outstanding = self.outstanding.saturating_sub(1);
                    self.status = status;
                    self.position = position;
                    return Ok(StatementAnswer { rows, outcome, status, position });
                }
            }
        }
    }

    /// Returns the number of requests without a complete answer.
    #[must_use]
    pub const fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Sends a request and returns the answer to the oldest outstanding one.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke or the bytes are not a valid answer.
    pub async fn run(
        &mut self,
        request: TargetRequest<'_>,
    ) -> Result<StatementAnswer, ExchangeError> {
        self.send(request);
        self.answer().await
    }

    /// Sends a request that is answered with a [`ProbeRow`].
    ///
    /// Returns `None` if the target refused the request or the row cannot be decoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke or the bytes are not a valid answer.
    pub async fn probe(
        &mut self,
        request: TargetRequest<'_>,
    ) -> Result<Option<ProbeRow>, ExchangeError> {
        let answer = self.run(request).await?;
        let row = answer.rows.first().filter(|_| answer.outcome.is_ok());
        Ok(row.and_then(|row| self.protocol.decode_probe(row)))
    }

    /// Returns whether the connection is clean and the target has not closed it.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        let quiet = match &self.stream {
            TargetStream::Direct(stream) => {
                let waiting = stream.try_read(&mut [0; 1]);
                waiting.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
            }
            // The other entry checks its own connection.
            TargetStream::Relayed(_) => true,
            TargetStream::Closed => false,
        };
        quiet && self.is_clean()
    }

    /// Closes the connection immediately, without notifying the target.
    pub fn close(&mut self) {
        self.stream = TargetStream::Closed;
    }

    /// Notifies the target of the end of the connection and closes it.
    pub async fn end(mut self) {
        self.send(TargetRequest::End);
        let _ = self.flush().await;
    }

    /// Sends bytes to the target that another process encoded.
    ///
    /// The connection does not count as clean until [`Self::restore`] is called.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
    pub async fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.outstanding = u32::MAX;
        self.stream.write_all(bytes).await
    }

    /// Receives bytes from the target without decoding them; empty if the target closed the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
    pub async fn read_raw(&mut self) -> io::Result<Bytes> {
        let mut bytes = BytesMut::with_capacity(BUFFER_CAPACITY);
        self.stream.read_buf(&mut bytes).await?;
        Ok(bytes.freeze())
    }

    /// Marks the connection as clean again, after another process has finished its exchanges on it.
    pub const fn restore(&mut self) {
        self.outstanding = 0;
        self.status = TransactionStatus::Idle;
    }

    /// Continues a transaction that the process at the other end of the stream has begun.
    pub const fn resume_transaction(&mut self, position: Option<LogPosition>) {
        self.status = TransactionStatus::InTransaction;
        self.position = position;
    }

    async fn reply(&mut self) -> Result<TargetReply, ExchangeError> {
        loop {
            if let Some((reply, size)) = self.protocol.decode_reply(&self.input)? {
                self.input.advance(size);
                return Ok(reply);
            }
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }
}

/// Sets the options of a TCP connection that detect a peer that vanishes without closing it.
///
/// # Errors
///
/// Returns an error if the operating system refuses an option.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_COUNT);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SEND_TIMEOUT))
}

async fn with_timeout<T, F>(limit: Duration, future: F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    time::timeout(limit, future).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
