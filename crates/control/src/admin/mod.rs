//! HTTP interface: announcements, health, status, events and the sheet.

mod body;
mod operations;
mod routes;

pub use {banyansill_runtime::tokens::TokenTable, body::ErrorBody, routes::ROUTES};

use {
    crate::{
        command_log::CommandLog, forward::LeaderClient, members::MemberControl, node::ControlNode,
    },
    banyansill_core::cluster::ClusterState,
    banyansill_runtime::{
        server::ServerHandle,
        tokens::{AccessPolicy, TokenError},
    },
    miette::Diagnostic,
    ntex::time::Millis,
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::Arc,
    },
    thiserror::Error,
    tokio::runtime::Handle,
};

/// Threads that serve HTTP requests; they only hand requests to the replica's runtime.
const WORKER_THREADS: usize = 2;

/// Timeout for open connections to finish when the server stops; a caller that has stopped sending in
/// the middle of a body must not delay the process for longer.
const SHUTDOWN_TIMEOUT: Millis = Millis(2_000);

/// Failure to start the HTTP interface.
#[derive(Debug, Error, Diagnostic)]
pub enum AdminError {
    /// The listener or its thread cannot be started.
    #[error("HTTP listener {address}: {source}")]
    #[diagnostic(code(banyansill::control::http))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The token file cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tokens(#[from] TokenError),
}

/// State shared by the request handlers.
#[derive(Debug)]
pub(crate) struct AdminState<L, M> {
    node: ControlNode<L, M>,
    client: LeaderClient,
    access: AccessPolicy,
    /// Runtime of the replica, on which requests run; the handlers run on the server's own threads.
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
    access: AccessPolicy,
) -> Result<(SocketAddr, ServerHandle), AdminError>
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let listen_error = |source| AdminError::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    let state = Arc::new(AdminState { node, client, access, runtime: Handle::current() });
    let handle = ServerHandle::spawn("control-http", WORKER_THREADS, move |builder| {
        let builder = builder.shutdown_timeout(SHUTDOWN_TIMEOUT);
        builder.listen("control-http", listener, async move |_| routes::service(&state))
    })
    .await
    .map_err(listen_error)?;
    Ok((bound, handle))
}
