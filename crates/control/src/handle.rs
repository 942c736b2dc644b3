//! Starting and stopping a control replica.

use {
    crate::{
        admin::{self, AdminError},
        command_log::CommandLog,
        forward::LeaderClient,
        leader,
        members::{MemberControl, SingleReplicaMembers},
        node::ControlNode,
        replica::{InitialMember, ReplicaError, ReplicaHandle, ReplicaService, ReplicaSettings},
        service::ControlService,
        settings::ControlSettings,
        single_replica_log::SingleReplicaLog,
    },
    banyansill_core::{
        cluster::ClusterState, event::EventNumber, names::SharedName, sheet::MAX_SHEET_BYTES,
    },
    banyansill_runtime::{events::EventSink, server::ServerHandle, tokens::AccessPolicy},
    banyansill_wire::v1::control_server::ControlServer,
    miette::Diagnostic,
    std::{io, net::SocketAddr, path::PathBuf, time::Duration},
    thiserror::Error,
    tokio::{net::TcpListener, sync::watch, task::JoinHandle, time},
    tonic::transport::{Server, server::TcpIncoming},
};

/// Largest message that the control service accepts: a sheet and its labels.
const MAX_MESSAGE_BYTES: usize = MAX_SHEET_BYTES + 64 * 1024;

/// Timeout for open requests to finish when the process stops.
const REQUEST_DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for open streams to end once the replica has stopped.
const STREAM_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Failure to start a control replica.
#[derive(Debug, Error, Diagnostic)]
pub enum SpawnError {
    /// A listener cannot be opened.
    #[error("listener {address}: {source}")]
    #[diagnostic(code(banyansill::control::listen))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The replicated log cannot be opened.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Replica(#[from] ReplicaError),
    /// The HTTP server cannot be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Admin(#[from] AdminError),
}

/// Running control replica.
#[derive(Debug)]
#[must_use]
pub struct ControlHandle {
    host: SharedName,
    address: SocketAddr,
    http: SocketAddr,
    events: EventSink,
    stop: watch::Sender<bool>,
    service: JoinHandle<()>,
    leader: JoinHandle<()>,
    admin: ServerHandle,
    replica: Option<ReplicaHandle<ClusterState>>,
}

impl ControlHandle {
    /// Returns the address of the tonic listener.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the HTTP listener.
    #[must_use]
    pub const fn http_address(&self) -> SocketAddr {
        self.http
    }

    /// Stops the servers and the replica; open requests and streams have a limited time to finish.
    pub async fn stop(mut self) {
        let fields = [("binary", "banyansill-control".to_owned())];
        self.events.record(EventNumber::ProcessStopping, &fields);
        let _ = self.stop.send(true);
        // The streams of other replicas end only when this replica stops.
        let mut finished = time::timeout(REQUEST_DRAIN_TIMEOUT, &mut self.service).await.is_ok();
        self.leader.abort();
        if let Some(replica) = &self.replica {
            replica.stop().await;
        }
        if !finished {
            finished = time::timeout(STREAM_CLOSE_TIMEOUT, &mut self.service).await.is_ok();
        }
        if !finished {
            self.service.abort();
        }
        self.admin.stop(true).await;
        self.events.record(EventNumber::ProcessStopped, &fields);
        log::info!("control {} stopped", self.host);
    }
}

/// Starts a control replica on the data folder of its settings, or in memory without one.
///
/// # Errors
///
/// Returns an error if a listener, the data folder or the token file cannot be opened.
pub async fn spawn(settings: ControlSettings) -> Result<ControlHandle, SpawnError> {
    let listener = listen(settings.listen).await?;
    spawn_on(settings, listener).await
}

/// Starts a control replica on a tonic listener that is already open.
///
/// # Errors
///
/// Returns an error if the HTTP listener, the data folder or the token file cannot be opened.
pub async fn spawn_on(
    settings: ControlSettings,
    listener: TcpListener,
) -> Result<ControlHandle, SpawnError> {
    let address = advertised_address(&settings, &listener)?;
    let events = EventSink::new(settings.host.clone());
    let Some(folder) = settings.data.clone() else {
        log::warn!(
            "no data folder configured: the state is kept in memory and lost when the process ends"
        );
        events.record(EventNumber::LeaderElected, &[("term", "1".to_owned())]);
        let log = SingleReplicaLog::new(ClusterState::default(), Some(address.clone()));
        let members = SingleReplicaMembers { host: settings.host.clone(), address };
        return spawn_with(settings, listener, events, (log, members), None).await;
    };
    let replica = replica_settings(&settings, address, folder);
    let replica = ReplicaHandle::spawn(replica, ClusterState::default(), events.clone())?;
    let service = replica.service();
    let result =
        spawn_with(settings, listener, events, (replica.clone(), replica.clone()), Some(service));
    match result.await {
        Ok(mut handle) => {
            handle.replica = Some(replica);
            Ok(handle)
        }
        Err(error) => {
            replica.stop().await;
            Err(error)
        }
    }
}

fn replica_settings(
    settings: &ControlSettings,
    address: String,
    folder: PathBuf,
) -> ReplicaSettings {
    let mut replica = ReplicaSettings::single(settings.host.clone(), address.into(), folder);
    replica.join = settings.join;
    replica.snapshot_entries = settings.snapshot_entries;
    if !settings.replicas.is_empty() {
        replica.initial_members.clear();
        for peer in &settings.replicas {
            let address = peer.address.to_string().into();
            replica.initial_members.push(InitialMember { host: peer.host.clone(), address });
        }
    }
    replica
}

/// Opens the tonic listener.
///
/// # Errors
///
/// Returns an error if the address is not available.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, SpawnError> {
    TcpListener::bind(address).await.map_err(|source| SpawnError::Listen { address, source })
}

fn advertised_address(
    settings: &ControlSettings,
    listener: &TcpListener,
) -> Result<String, SpawnError> {
    let bound = listener
        .local_addr()
        .map_err(|source| SpawnError::Listen { address: settings.listen, source })?;
    Ok(settings.address.unwrap_or(bound).to_string())
}

/// Starts the servers of a control replica on a given log.
///
/// # Errors
///
/// Returns an error if a listener cannot be opened or the token file is not valid.
pub async fn spawn_with<L, M>(
    settings: ControlSettings,
    listener: TcpListener,
    events: EventSink,
    (log, members): (L, M),
    replica: Option<ReplicaService<ClusterState>>,
) -> Result<ControlHandle, SpawnError>
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let access = AccessPolicy::load(settings.tokens.as_deref()).map_err(AdminError::from)?;
    let address = listener
        .local_addr()
        .map_err(|source| SpawnError::Listen { address: settings.listen, source })?;
    let node = ControlNode::new(log, members, events.clone());
    let client = LeaderClient::spawn(node.clone());
    let (http, admin) =
        admin::spawn(settings.http, node.clone(), client.clone(), access.clone()).await?;
    let leader = tokio::spawn(leader::run(node.clone()));
    let (stop, mut stopping) = watch::channel(false);
    let service = ControlServer::new(ControlService::new(node, client, access, stopping.clone()))
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let service = tokio::spawn(async move {
        let stopped = async move {
            let _ = stopping.wait_for(|stop| *stop).await;
        };
        let replica = replica.map(ReplicaService::into_server);
        let server = Server::builder().add_service(service).add_optional_service(replica);
        if let Err(error) = server.serve_with_incoming_shutdown(incoming, stopped).await {
            log::error!("control service: {error}");
        }
    });
    let fields = [("binary", "banyansill-control".to_owned()), ("address", address.to_string())];
    events.record(EventNumber::ProcessReady, &fields);
    let host = settings.host;
    let replica = None;
    Ok(ControlHandle { host, address, http, events, stop, service, leader, admin, replica })
}
