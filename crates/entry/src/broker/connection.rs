//! One connection to a target.

use {
    super::{
        frame::{ErrorFields, ProtocolError, parse_backend, whole_message},
        replies::{OutputStep, ReplyTracker},
        settings::BrokerSettings,
    },
    banyansill_core::position::LogPosition,
    bytes::BytesMut,
    postgres_protocol::{
        authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256},
        message::{backend::Message, frontend},
    },
    std::{
        io,
        net::Shutdown,
        os::fd::AsFd,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        runtime::{self, Handle},
        sync::Notify,
        time::{Instant, timeout},
    },
};

/// Failure to open or use a connection to a target.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The socket failed.
    #[error("socket: {0}")]
    Socket(#[from] io::Error),
    /// The target violated the protocol.
    #[error("{0}")]
    Protocol(#[from] ProtocolError),
    /// The target returned an error.
    #[error("refused with {code}: {message}")]
    Refused {
        /// SQLSTATE of the error.
        code: String,
        /// Message of the error.
        message: String,
    },
    /// The target did not respond in time.
    #[error("no response in time")]
    Timeout,
}

impl ConnectionError {
    fn refused(message: &[u8]) -> Self {
        let fields = ErrorFields::read(message);
        Self::Refused {
            code: String::from_utf8_lossy(&fields.code).into_owned(),
            message: String::from_utf8_lossy(&fields.message).into_owned(),
        }
    }
}

/// Number of open connections of a target, with a notification for each that closes.
#[derive(Debug, Default)]
pub(super) struct ConnectionCounter {
    open: AtomicU32,
    closed: Notify,
}

impl ConnectionCounter {
    pub(super) fn open(&self) -> u32 {
        self.open.load(Ordering::Acquire)
    }

    pub(super) async fn closed(&self) {
        self.closed.notified().await;
    }
}

/// Counts one connection from before its set-up until its end.
#[derive(Debug)]
pub(super) struct CountedConnection(Arc<ConnectionCounter>);

impl CountedConnection {
    pub(super) fn new(counter: &Arc<ConnectionCounter>) -> Self {
        counter.open.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(counter))
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
        self.0.closed.notify_one();
    }
}

/// Time that a target gets to close its end of a connection; a host that vanished never does.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);

/// Ends this side of a connection and waits for the target to end its side.
async fn close(stream: std::net::TcpStream) -> io::Result<()> {
    stream.shutdown(Shutdown::Write)?;
    let mut stream = TcpStream::from_std(stream)?;
    let mut discarded = [0_u8; 1024];
    while stream.read(&mut discarded).await? > 0 {}
    Ok(())
}

/// Address and key for cancelling a statement on a connection.
#[derive(Clone, Debug)]
pub(super) struct CancelKey {
    address: String,
    process: i32,
    secret: i32,
}

impl CancelKey {
    /// Sends a CancelRequest and waits until the target has processed it.
    pub(super) async fn send(&self, limit: Duration) -> Result<(), ConnectionError> {
        let exchange = async {
            let mut stream = TcpStream::connect(&self.address).await?;
            let mut request = BytesMut::new();
            frontend::cancel_request(self.process, self.secret, &mut request);
            stream.write_all(&request).await?;
            let mut discarded = [0_u8; 16];
            // The target closes the connection once the cancel is delivered.
            while stream.read(&mut discarded).await? > 0 {}
            Ok(())
        };
        timeout(limit, exchange).await.map_err(|_| ConnectionError::Timeout)?
    }
}

/// Event loop that a connection can be registered with.
pub(super) type EventLoop = runtime::Id;

/// Returns the event loop of the current task.
pub(super) fn current_event_loop() -> EventLoop {
    Handle::current().id()
}

/// Open connection to a target, with its protocol state.
#[derive(Debug)]
pub(super) struct TargetConnection {
    pub(super) stream: TcpStream,
    /// Event loop that reports the readiness of the stream.
    pub(super) event_loop: EventLoop,
    pub(super) read: BytesMut,
    pub(super) replies: ReplyTracker,
    pub(super) cancel_key: CancelKey,
    /// When the target last responded, by the broker's clock; zero before the connection enters the
    /// pool.
    pub(super) last_response: banyansill_core::time::Micros,
    pub(super) opened: Instant,
    /// Absent once the connection is being closed.
    counted: Option<CountedConnection>,
}

impl Drop for TargetConnection {
    /// Counts the connection until the target has closed it too: a connection that took its place before would exceed
    /// the target's limit.
    fn drop(&mut self) {
        let counted = self.counted.take();
        let Ok(runtime) = Handle::try_current() else { return };
        let Ok(stream) = duplicate(&self.stream) else { return };
        runtime.spawn(async move {
            // A target that does not answer has lost the connection, or counts it no longer than it keeps it open.
            let _ = timeout(CLOSE_LIMIT, close(stream)).await;
            drop(counted);
        });
    }
}

fn duplicate(stream: &TcpStream) -> io::Result<std::net::TcpStream> {
    stream.as_fd().try_clone_to_owned().map(std::net::TcpStream::from)
}

/// Initial capacity of the read buffer, in bytes.
const READ_BUFFER: usize = 16 << 10;

impl TargetConnection {
    /// Connects and authenticates with the user and database of the settings.
    pub(super) async fn open(
        address: &str,
        database: &str,
        settings: &BrokerSettings,
        counted: CountedConnection,
    ) -> Result<Self, ConnectionError> {
        let opening = Self::start_up(address, database, settings, counted);
        let limit = settings.connect_timeout.as_duration();
        timeout(limit, opening).await.map_err(|_| ConnectionError::Timeout)?
    }

    async fn start_up(
        address: &str,
        database: &str,
        settings: &BrokerSettings,
        counted: CountedConnection,
    ) -> Result<Self, ConnectionError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let cancel_key = CancelKey { address: address.to_owned(), process: 0, secret: 0 };
        let mut connection = Self {
            stream,
            event_loop: current_event_loop(),
            read: BytesMut::with_capacity(READ_BUFFER),
            replies: ReplyTracker::default(),
            cancel_key,
            last_response: banyansill_core::time::Micros::ZERO,
            opened: Instant::now(),
            counted: Some(counted),
        };
        let mut request = BytesMut::new();
        let database = settings.database.as_deref().unwrap_or(database);
        let parameters = [
            ("user", settings.user.as_str()),
            ("database", database),
            ("application_name", "banyansill"),
            ("client_encoding", "UTF8"),
        ];
        frontend::startup_message(parameters, &mut request)?;
        connection.stream.write_all(&request).await?;
        connection.authenticate(settings).await?;
        Ok(connection)
    }

    /// Registers the connection with the event loop of the current task.
    ///
    /// While it is registered with another loop, each readiness event wakes that loop's thread and
    /// then this one. A loop whose thread has ended reports no events, but its connections can
    /// still be moved.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be registered; the connection is closed.
    pub(super) fn register_here(mut self) -> io::Result<Self> {
        let here = current_event_loop();
        if self.event_loop != here {
            self.stream = TcpStream::from_std(duplicate(&self.stream)?)?;
            self.event_loop = here;
        }
        Ok(self)
    }

    async fn authenticate(&mut self, settings: &BrokerSettings) -> Result<(), ConnectionError> {
        let password = settings.password.as_deref().unwrap_or_default();
        let mut scram: Option<ScramSha256> = None;
        loop {
            let message = self.read_message().await?;
            let mut reply = BytesMut::new();
            match parse_backend(&message) {
                Some(Message::AuthenticationOk) => {}
                Some(Message::AuthenticationCleartextPassword) => {
                    frontend::password_message(password.as_bytes(), &mut reply)?;
                }
                Some(Message::AuthenticationSasl(_)) => {
                    let state =
                        ScramSha256::new(password.as_bytes(), ChannelBinding::unsupported());
                    frontend::sasl_initial_response(SCRAM_SHA_256, state.message(), &mut reply)?;
                    scram = Some(state);
                }
                Some(Message::AuthenticationSaslContinue(body)) => {
                    let state =
                        scram.as_mut().ok_or(ProtocolError("unexpected authentication message"))?;
                    state.update(body.data())?;
                    frontend::sasl_response(state.message(), &mut reply)?;
                }
                Some(Message::AuthenticationSaslFinal(body)) => {
                    let state =
                        scram.as_mut().ok_or(ProtocolError("unexpected authentication message"))?;
                    state.finish(body.data())?;
                }
                Some(Message::BackendKeyData(body)) => {
                    self.cancel_key.process = body.process_id();
                    self.cancel_key.secret = body.secret_key();
                }
                Some(Message::ParameterStatus(body)) => {
                    if body.name()? == "group_position" {
                        self.replies.position = body.value()?.parse().ok();
                    }
                }
                Some(Message::NoticeResponse(_)) => {}
                Some(Message::ReadyForQuery(_)) => return Ok(()),
                Some(Message::ErrorResponse(_)) => return Err(ConnectionError::refused(&message)),
                _ => return Err(ProtocolError("unexpected message during start-up").into()),
            }
            if !reply.is_empty() {
                self.stream.write_all(&reply).await?;
            }
        }
    }

    async fn read_message(&mut self) -> Result<BytesMut, ConnectionError> {
        loop {
            if let Some((_, length)) = whole_message(&self.read)? {
                return Ok(self.read.split_to(length));
            }
            if self.stream.read_buf(&mut self.read).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }

    /// Runs one simple query and returns its rows as text.
    pub(super) async fn query(
        &mut self,
        sql: &str,
        limit: Duration,
    ) -> Result<QueryRows, ConnectionError> {
        timeout(limit, self.exchange(sql)).await.map_err(|_| ConnectionError::Timeout)?
    }

    async fn exchange(&mut self, sql: &str) -> Result<QueryRows, ConnectionError> {
        let mut request = BytesMut::new();
        frontend::query(sql, &mut request)?;
        self.stream.write_all(&request).await?;
        let mut rows = QueryRows::default();
        let mut error = None;
        loop {
            let message = self.read_message().await?;
            match parse_backend(&message) {
                Some(Message::RowDescription(body)) => rows.read_names(&body)?,
                Some(Message::DataRow(body)) => rows.read_values(&body)?,
                Some(Message::ErrorResponse(_)) => {
                    error = Some(ConnectionError::refused(&message));
                }
                Some(Message::ParameterStatus(body)) => {
                    if body.name()? == "group_position" {
                        self.replies.position = body.value()?.parse().ok();
                    }
                }
                Some(Message::ReadyForQuery(_)) => return error.map_or(Ok(rows), Err),
                Some(_) => {}
                None => return Err(ProtocolError("invalid message in a query response").into()),
            }
        }
    }

    /// Sends a Sync on an idle connection and waits for the reply.
    pub(super) async fn synchronize(&mut self, limit: Duration) -> Result<(), ConnectionError> {
        let exchange = async {
            let mut request = BytesMut::new();
            frontend::sync(&mut request);
            self.stream.write_all(&request).await?;
            loop {
                let message = self.read_message().await?;
                match message.first() {
                    Some(b'Z') => return Ok(()),
                    Some(b'E') => return Err(ConnectionError::refused(&message)),
                    _ => {}
                }
            }
        };
        timeout(limit, exchange).await.map_err(|_| ConnectionError::Timeout)?
    }

    /// Resets the state of the session that used the connection.
    pub(super) async fn discard_all(&mut self, limit: Duration) -> Result<(), ConnectionError> {
        self.query("DISCARD ALL", limit).await?;
        self.replies.clear_statements();
        Ok(())
    }

    /// Returns whether an idle connection is open and has received no unexpected messages.
    pub(super) fn is_usable(&mut self) -> bool {
        loop {
            match self.stream.try_read_buf(&mut self.read) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        if self.read.is_empty() {
            return true;
        }
        // Notices and parameter changes may arrive at any time; anything else is unexpected.
        let mut out = BytesMut::new();
        let step = self.replies.next_step(&mut self.read, &mut out, false);
        step == Ok(OutputStep::NeedMore) && self.read.is_empty()
    }

    /// Returns the latest position that the target reported on this connection.
    pub(super) const fn position(&self) -> Option<LogPosition> {
        self.replies.position
    }
}

/// Result rows of a simple query, in text format.
#[derive(Debug, Default)]
pub(super) struct QueryRows {
    names: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl QueryRows {
    /// Returns a column of the first row, or `None` if there is no such column or row.
    pub(super) fn first(&self, column: &str) -> Option<&str> {
        let index = self.names.iter().position(|name| name == column)?;
        Some(self.rows.first()?.get(index)?.as_str())
    }

    fn read_names(
        &mut self,
        body: &postgres_protocol::message::backend::RowDescriptionBody,
    ) -> io::Result<()> {
        let mut fields = body.fields();
        while let Some(field) = fallible_next(&mut fields)? {
            self.names.push(field.name().to_owned());
        }
        Ok(())
    }

    fn read_values(
        &mut self,
        body: &postgres_protocol::message::backend::DataRowBody,
    ) -> io::Result<()> {
        let mut values = Vec::new();
        let mut ranges = body.ranges();
        while let Some(range) = fallible_next(&mut ranges)? {
            let bytes = range.map(|range| &body.buffer()[range]).unwrap_or_default();
            values.push(String::from_utf8_lossy(bytes).into_owned());
        }
        self.rows.push(values);
        Ok(())
    }
}

fn fallible_next<I>(iterator: &mut I) -> Result<Option<I::Item>, I::Error>
where
    I: fallible_iterator::FallibleIterator,
{
    iterator.next()
}
