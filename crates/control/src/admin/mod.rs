//! HTTP interface: announcements, health, status, events and the sheet.

mod body;
mod routes;
mod tokens;

pub use {body::ErrorBody, tokens::TokenTable};

use {
    crate::{
        command_log::CommandLog, forward::LeaderClient, members::MemberControl, node::ControlNode,
    },
    banyansill_core::cluster::ClusterState,
    banyansill_runtime::server::ServerHandle,
    miette::Diagnostic,
    ntex::time::Millis,
    std::{
        io,
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        sync::Arc,
    },
    thiserror::Error,
    tokio::runtime::Handle,
};

/// Threads that serve HTTP requests; they only pass requests on.
const WORKERS: usize = 2;

/// Time that open connections have to finish when the server stops; a caller that has stopped sending
/// in the middle of a body must not delay the process for longer.
const STOP_LIMIT: Millis = Millis(2_000);

/// An HTTP interface that cannot be started.
#[derive(Debug, Error, Diagnostic)]
pub enum AdminError {
    /// The listener or its thread cannot be started.
    #[error("HTTP listener {address}: {source}")]
    #[diagnostic(code(banyansill::control::http))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The token file cannot be read.
    #[error("token file {path}: {source}")]
    #[diagnostic(code(banyansill::control::tokens))]
    TokenFile {
        /// Path of the file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A line of the token file is not valid.
    #[error("token file {path}, line {line}: {message}")]
    #[diagnostic(code(banyansill::control::tokens))]
    TokenLine {
        /// Path of the file.
        path: PathBuf,
        /// Line, counted from 1.
        line: usize,
        /// What is wrong.
        message: String,
    },
}

/// What the request handlers share.
#[derive(Debug)]
pub(crate) struct AdminState<L, M> {
    node: ControlNode<L, M>,
    client: LeaderClient,
    tokens: TokenTable,
    /// Runtime of the replica; handlers run on the server's own threads.
    runtime: Handle,
}

/// Starts the HTTP server and returns its address.
///
/// # Errors
///
/// Returns an error if the address is not available.
pub async fn spawn<L, M>(
    address: SocketAddr,
    node: ControlNode<L, M>,
    client: LeaderClient,
    tokens: TokenTable,
) -> Result<(SocketAddr, ServerHandle), AdminError>
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let failed = |source| AdminError::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    let state = Arc::new(AdminState { node, client, tokens, runtime: Handle::current() });
    let handle = ServerHandle::spawn("control-http", WORKERS, move |builder| {
        let builder = builder.shutdown_timeout(STOP_LIMIT);
        builder.listen("control-http", listener, async move |_| routes::service(&state))
    })
    .await
    .map_err(failed)?;
    Ok((bound, handle))
}
