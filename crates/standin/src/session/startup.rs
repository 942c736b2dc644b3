//! Start of connections.

use {
    super::{
        CallerSession, TransactionBlock,
        messages::{encode, error_response},
        variables::SessionVariables,
    },
    crate::{error::SqlError, shared::SharedServer},
    banyansill_core::{collections::FastMap, position::LogPosition},
    bytes::BytesMut,
    pgwire::messages::{
        DecodeContext, PgWireFrontendMessage, ProtocolVersion, SslNegotiationMetaMessage,
        cancel::CancelRequest,
        response::{GssEncResponse, SslResponse},
        startup::{Authentication, BackendKeyData, NegotiateProtocolVersion, SecretKey, Startup},
    },
    std::{
        io,
        pin::pin,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Time within which a connection has to send its startup message.
const STARTUP_LIMIT: Duration = Duration::from_secs(10);

/// Accepts connections until the server ends.
pub async fn accept(shared: Arc<SharedServer>, listener: TcpListener) {
    let mut ended = shared.ended.subscribe();
    loop {
        tokio::select! {
            _ = ended.wait_for(|ended| *ended) => return,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                if shared.faults.refuse.load(Ordering::Relaxed) {
                    continue;
                }
                let pid = shared.last_pid.fetch_add(1, Ordering::Relaxed) + 1;
                tokio::spawn(supervise(shared.clone(), stream, pid));
            }
        }
    }
}

/// Runs a connection and applies the faults to it.
async fn supervise(shared: Arc<SharedServer>, stream: TcpStream, pid: i32) {
    let mut ended = shared.ended.subscribe();
    let mut cut = shared.faults.cut.subscribe();
    let mut silent = shared.faults.silent.subscribe();
    let mut session = pin!(open(shared.clone(), stream, pid));
    loop {
        tokio::select! {
            biased;
            _ = ended.wait_for(|ended| *ended) => return,
            _ = cut.wait_for(|cut| pid <= *cut) => return,
            _ = silent.wait_for(|silent| silent.contains(pid)) => {}
            result = &mut session => {
                if let Err(error) = result {
                    log::debug!("{}: connection {pid}: {error}", shared.settings.server);
                }
                return;
            }
        }
        tokio::select! {
            _ = ended.wait_for(|ended| *ended) => return,
            _ = cut.wait_for(|cut| pid <= *cut) => return,
            _ = silent.wait_for(|silent| !silent.contains(pid)) => {}
        }
    }
}

async fn open(shared: Arc<SharedServer>, mut stream: TcpStream, pid: i32) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BytesMut::new();
    let mut context = DecodeContext::default();
    let started = tokio::time::timeout(
        STARTUP_LIMIT,
        read_startup(&shared, &mut stream, &mut input, &mut context),
    );
    let Some(startup) = started.await?? else { return Ok(()) };
    context.awaiting_frontend_startup = false;
    context.protocol_version = ProtocolVersion::PROTOCOL3_0;
    let secret: i32 = rand::random();
    let Some(mut cancel) = shared.open_session(pid, secret) else {
        let error = SqlError::new("53300", "sorry, too many clients already");
        return refuse(&mut stream, &error).await;
    };
    cancel.mark_unchanged();
    let mut session = CallerSession {
        shared: shared.clone(),
        stream,
        input,
        output: BytesMut::new(),
        context,
        pid,
        cancel,
        block: TransactionBlock::Idle,
        block_read_only: false,
        transaction: None,
        statements: FastMap::default(),
        portals: FastMap::default(),
        variables: SessionVariables::new(&startup.parameters),
        position: LogPosition::ZERO,
        reported: None,
        reported_variables: Vec::new(),
        skip_to_sync: false,
        pass: None,
        owed_us: 0,
    };
    let cost = shared.connection_cost_ms.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(cost)).await;
    session.greet(&startup, secret)?;
    session.run().await
}

impl CallerSession {
    fn greet(&mut self, startup: &Startup, secret: i32) -> io::Result<()> {
        let mut unknown = Vec::new();
        for name in startup.parameters.keys() {
            if name.starts_with("_pq_.") {
                unknown.push(name.clone());
            }
        }
        if startup.protocol_number_minor > 0 || !unknown.is_empty() {
            encode(&NegotiateProtocolVersion::new(0, unknown), &mut self.output)?;
        }
        encode(&Authentication::Ok, &mut self.output)?;
        self.reported_variables = self.variables.reported();
        for (name, value) in self.reported_variables.clone() {
            self.report(name, &value)?;
        }
        let key = BackendKeyData::new(self.pid, SecretKey::I32(secret));
        encode(&key, &mut self.output)
    }
}

async fn read_startup(
    shared: &SharedServer,
    stream: &mut TcpStream,
    input: &mut BytesMut,
    context: &mut DecodeContext,
) -> io::Result<Option<Startup>> {
    let mut output = BytesMut::new();
    loop {
        match PgWireFrontendMessage::decode(input, context).map_err(io::Error::other)? {
            None => {
                if stream.read_buf(input).await? == 0 {
                    return Ok(None);
                }
            }
            Some(PgWireFrontendMessage::SslNegotiation(request)) => {
                match request {
                    SslNegotiationMetaMessage::PostgresSsl(_) => {
                        encode(&SslResponse::Refuse, &mut output)?;
                    }
                    SslNegotiationMetaMessage::PostgresGss(_) => {
                        encode(&GssEncResponse::Refuse, &mut output)?;
                    }
                    SslNegotiationMetaMessage::None => context.awaiting_frontend_ssl = false,
                }
                stream.write_all(&output).await?;
                output.clear();
            }
            Some(PgWireFrontendMessage::CancelRequest(request)) => {
                cancel(shared, &request);
                return Ok(None);
            }
            Some(PgWireFrontendMessage::Startup(startup)) => {
                let database = startup.parameters.get("database");
                let database = database.or_else(|| startup.parameters.get("user"));
                let own = shared.settings.database.as_str();
                if let Some(name) = database.filter(|name| name.as_str() != own) {
                    let message = format!("database \"{name}\" does not exist");
                    refuse(stream, &SqlError::new("3D000", message)).await?;
                    return Ok(None);
                }
                return Ok(Some(startup));
            }
            Some(_) => return Err(io::Error::other("unexpected message before startup")),
        }
    }
}

fn cancel(shared: &SharedServer, request: &CancelRequest) {
    if let Some(secret) = request.secret_key.as_i32() {
        shared.cancel(request.pid, secret);
    }
}

async fn refuse(stream: &mut TcpStream, error: &SqlError) -> io::Result<()> {
    let mut output = BytesMut::new();
    encode(&error_response("FATAL", error), &mut output)?;
    stream.write_all(&output).await
}
