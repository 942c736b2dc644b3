//! Sessions of callers.

mod execute;
mod extended;
mod messages;
mod startup;
mod transaction;
mod utility;
mod variables;

pub use startup::accept;

use {
    crate::{
        error::SqlError,
        shared::{SharedServer, StatementPass},
        sql::{self, bind::ParameterTypes, plan::StatementPlan},
        store::OpenTransaction,
    },
    banyansill_core::{collections::FastMap, position::LogPosition},
    bytes::BytesMut,
    extended::{CallerPortal, PreparedStatement},
    messages::{encode, error_response},
    pgwire::messages::{
        DecodeContext, PgWireFrontendMessage,
        response::{EmptyQueryResponse, ReadyForQuery, TransactionStatus},
        startup::ParameterStatus,
    },
    sqlparser::ast::Statement,
    std::{io, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::watch,
    },
    variables::SessionVariables,
};

/// Bytes of finished answers after which they are sent, so that large results stay out of memory.
const SEND_BYTES: usize = 32 * 1024;

/// Name of the parameter that reports the position.
const POSITION_PARAMETER: &str = "group_position";

/// Why a session ends or a message fails.
#[derive(Debug)]
enum SessionFault {
    /// The statement failed; the session continues.
    Statement(SqlError),
    /// The connection cannot be used any more.
    Connection(io::Error),
}

impl From<SqlError> for SessionFault {
    fn from(error: SqlError) -> Self {
        Self::Statement(error)
    }
}

impl From<io::Error> for SessionFault {
    fn from(error: io::Error) -> Self {
        Self::Connection(error)
    }
}

/// Transaction block opened by `BEGIN`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TransactionBlock {
    /// None; each message is a transaction.
    Idle,
    /// Open.
    Open,
    /// Failed; only its end is accepted.
    Failed,
}

/// Connection of one caller.
#[derive(Debug)]
struct CallerSession {
    shared: Arc<SharedServer>,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    context: DecodeContext,
    pid: i32,
    cancel: watch::Receiver<u64>,
    block: TransactionBlock,
    block_read_only: bool,
    transaction: Option<OpenTransaction>,
    statements: FastMap<String, PreparedStatement>,
    portals: FastMap<String, CallerPortal>,
    variables: SessionVariables,
    position: LogPosition,
    reported: Option<LogPosition>,
    reported_variables: Vec<(&'static str, String)>,
    skip_to_sync: bool,
    pass: Option<StatementPass>,
    owed_us: i64,
}

impl Drop for CallerSession {
    fn drop(&mut self) {
        self.roll_back();
        self.shared.close_session(self.pid);
    }
}

impl CallerSession {
    async fn run(&mut self) -> io::Result<()> {
        self.position = self.shared.read().position();
        self.ready().await?;
        loop {
            let Some(message) = self.receive().await? else { return Ok(()) };
            if matches!(message, PgWireFrontendMessage::Terminate(_)) {
                return Ok(());
            }
            match self.handle(message).await {
                Ok(()) => {}
                Err(SessionFault::Statement(error)) => {
                    self.fail(&error);
                    self.skip_to_sync = true;
                }
                Err(SessionFault::Connection(error)) => return Err(error),
            }
        }
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> Result<(), SessionFault> {
        match message {
            PgWireFrontendMessage::Sync(_) => {
                self.skip_to_sync = false;
                self.finish_implicit();
                self.ready().await?;
                return Ok(());
            }
            PgWireFrontendMessage::Query(query) => {
                self.skip_to_sync = false;
                self.cancel.mark_unchanged();
                match self.simple_query(&query.query).await {
                    Err(SessionFault::Statement(error)) => self.fail(&error),
                    other => other?,
                }
                self.finish_implicit();
                self.ready().await?;
                return Ok(());
            }
            _ if self.skip_to_sync => return Ok(()),
            PgWireFrontendMessage::Parse(parse) => self.parse(parse)?,
            PgWireFrontendMessage::Bind(bind) => self.bind(bind)?,
            PgWireFrontendMessage::Describe(describe) => self.describe(&describe)?,
            PgWireFrontendMessage::Execute(execute) => {
                self.cancel.mark_unchanged();
                self.execute(&execute).await?;
            }
            PgWireFrontendMessage::Close(close) => self.close(&close)?,
            PgWireFrontendMessage::Flush(_) => self.send().await?,
            other => {
                let message = format!("unexpected message: {other:?}");
                return Err(SqlError::new("08P01", message).into());
            }
        }
        if self.output.len() > SEND_BYTES {
            self.send().await?;
        }
        Ok(())
    }

    async fn simple_query(&mut self, text: &str) -> Result<(), SessionFault> {
        let statements = sql::parse(text)?;
        if statements.is_empty() {
            encode(&EmptyQueryResponse::new(), &mut self.output)?;
        }
        let count = statements.len();
        for (index, statement) in statements.into_iter().enumerate() {
            let last = index + 1 == count;
            let mut parameters = ParameterTypes::default();
            let mut portal = self.open_portal(&Arc::new(statement), &mut parameters)?;
            if !parameters.kinds.is_empty() {
                return Err(SqlError::new("42P02", "there is no parameter $1").into());
            }
            portal.described = true;
            self.run_portal(&mut portal, 0, last).await?;
        }
        Ok(())
    }

    /// Binds a statement for execution.
    fn plan(
        &mut self,
        statement: &Statement,
        parameters: &mut ParameterTypes,
    ) -> Result<StatementPlan, SqlError> {
        self.check_block(statement)?;
        self.ensure_transaction();
        let Some(transaction) = &self.transaction else {
            return Err(SqlError::new("XX000", "no transaction"));
        };
        let state = self.shared.read();
        StatementPlan::bind(statement, &state.data, transaction, parameters)
    }

    /// Reports an error and rolls the transaction back.
    fn fail(&mut self, error: &SqlError) {
        self.pass = None;
        self.roll_back();
        if self.block == TransactionBlock::Open {
            self.block = TransactionBlock::Failed;
        }
        let response = error_response("ERROR", error);
        if let Err(error) = encode(&response, &mut self.output) {
            log::warn!("an error response cannot be encoded: {error}");
        }
    }

    /// Ends the message's own transaction and reports an error of its commit.
    fn finish_implicit(&mut self) {
        if self.block != TransactionBlock::Idle {
            return;
        }
        if let Err(error) = self.commit() {
            self.fail(&error);
        }
    }

    async fn ready(&mut self) -> io::Result<()> {
        if let Some(transaction) = &self.transaction
            && transaction.used
        {
            self.position = transaction.snapshot.position;
        }
        if self.variables.take_changed() {
            for (name, value) in self.variables.reported() {
                let known = self.reported_variables.iter_mut().find(|(known, _)| *known == name);
                let Some((_, known)) = known.filter(|(_, known)| *known != value) else { continue };
                known.clone_from(&value);
                encode(&ParameterStatus::new(name.to_owned(), value), &mut self.output)?;
            }
        }
        if self.reported != Some(self.position) {
            self.report(POSITION_PARAMETER, &self.position.to_string())?;
            self.reported = Some(self.position);
        }
        let status = match self.block {
            TransactionBlock::Idle => TransactionStatus::Idle,
            TransactionBlock::Open => TransactionStatus::Transaction,
            TransactionBlock::Failed => TransactionStatus::Error,
        };
        encode(&ReadyForQuery::new(status), &mut self.output)?;
        self.send().await
    }

    fn report(&mut self, name: &str, value: &str) -> io::Result<()> {
        encode(&ParameterStatus::new(name.to_owned(), value.to_owned()), &mut self.output)
    }

    async fn send(&mut self) -> io::Result<()> {
        self.stream.write_all(&self.output).await?;
        self.output.clear();
        Ok(())
    }

    async fn receive(&mut self) -> io::Result<Option<PgWireFrontendMessage>> {
        loop {
            match PgWireFrontendMessage::decode(&mut self.input, &self.context) {
                Ok(Some(message)) => return Ok(Some(message)),
                Ok(None) => {}
                Err(error) => {
                    let error = SqlError::new("08P01", error.to_string());
                    encode(&error_response("FATAL", &error), &mut self.output)?;
                    self.send().await?;
                    return Ok(None);
                }
            }
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Waits for the extra time of a statement.
    async fn charge(&mut self) -> Result<(), SqlError> {
        let cost = &self.shared.statement_cost_us;
        let cost = cost.load(std::sync::atomic::Ordering::Relaxed);
        self.owed_us = self.owed_us.saturating_add(i64::try_from(cost).unwrap_or(i64::MAX));
        // The timer counts whole milliseconds, so shorter costs are added up; what it waits too
        // long is credited to later statements.
        let owed = u64::try_from(self.owed_us).unwrap_or(0);
        if owed < 1_000 {
            return Ok(());
        }
        let start = std::time::Instant::now();
        self.sleep(Duration::from_micros(owed)).await?;
        let waited = i64::try_from(start.elapsed().as_micros()).unwrap_or(i64::MAX);
        self.owed_us = self.owed_us.saturating_sub(waited);
        Ok(())
    }

    /// Sleeps unless the statement is cancelled.
    async fn sleep(&mut self, span: Duration) -> Result<(), SqlError> {
        tokio::select! {
            () = tokio::time::sleep(span) => Ok(()),
            _ = self.cancel.changed() => Err(SqlError::cancelled()),
        }
    }
}
