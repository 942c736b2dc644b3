//! Listener for callers.

use {
    super::caller,
    crate::{
        gateway::{Gateway, GatewayCore, ReachabilityChange},
        marks,
        relay::{RelayClients, RelayInbox},
        settings::{GatewaySettings, ZoneMap},
        team_access::TeamAccess,
    },
    banyansill_core::{collections::FastMap, directory::ProcessHost, gateway::RoutingTable},
    banyansill_runtime::{clock::MonotonicClock, server::ServerHandle},
    banyansill_target::StatementProtocol,
    cadence::StatsdClient,
    ntex::{fn_service, io::Io},
    std::{
        cell::{Cell, RefCell},
        io,
        net::TcpListener,
        rc::Rc,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::sync::{mpsc, watch},
};

/// Stage of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopStage {
    /// No stop is planned.
    #[default]
    Serving,
    /// Sessions end once they have no open transaction.
    Closing,
    /// Sessions with an open transaction end too.
    Ending,
}

/// Settings and shared resources that the process passes to the listener.
#[derive(Debug)]
pub(crate) struct CallerSources<P> {
    pub(crate) settings: GatewaySettings,
    pub(crate) own: ProcessHost,
    pub(crate) protocol: P,
    pub(crate) clock: MonotonicClock,
    pub(crate) table: watch::Receiver<Arc<RoutingTable>>,
    pub(crate) stage: watch::Receiver<StopStage>,
    pub(crate) reachability_changes: mpsc::UnboundedSender<ReachabilityChange>,
    pub(crate) inbox: RelayInbox,
    pub(crate) teams: TeamAccess,
    pub(crate) metrics: StatsdClient,
}

/// State shared by all sessions.
#[derive(Debug)]
pub(super) struct SessionShared<P>
where
    P: StatementProtocol,
{
    pub(super) gateway: Rc<Gateway<P>>,
    pub(super) stage: watch::Receiver<StopStage>,
    /// Number of open sessions.
    pub(super) open_count: Arc<AtomicUsize>,
    /// Number of the newest session.
    pub(super) last_number: Cell<u64>,
}

/// Running listener for callers.
#[derive(Debug)]
pub(crate) struct CallerListener {
    server: ServerHandle,
    open_count: Arc<AtomicUsize>,
}

impl CallerListener {
    /// Binds the listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the thread cannot be started.
    pub(crate) async fn bind<P>(sources: CallerSources<P>) -> io::Result<Self>
    where
        P: StatementProtocol,
    {
        let listener = TcpListener::bind(sources.settings.callers)?;
        let open_count = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&open_count);
        // One thread owns the pools; the factory below runs once on it.
        let sources = Arc::new(Mutex::new(Some(sources)));
        let server = ServerHandle::spawn("callers", 1, move |builder| {
            builder.listen("callers", listener, async move |_| {
                let sources = sources.lock().unwrap_or_else(PoisonError::into_inner).take();
                let shared = sources.map(|sources| start(sources, Arc::clone(&counter)));
                fn_service(async move |io: Io| {
                    if let Some(shared) = &shared {
                        caller::serve(io, Rc::clone(shared)).await;
                    }
                    Ok::<_, ()>(())
                })
            })
        })
        .await?;
        Ok(Self { server, open_count })
    }

    /// Returns the number of open sessions.
    pub(crate) fn open_sessions(&self) -> usize {
        self.open_count.load(Ordering::Acquire)
    }

    /// Closes the listener and all sessions.
    pub(crate) async fn close(&self) {
        self.server.stop(false).await;
    }
}

/// Starts the gateway and its background tasks on the thread of the sessions.
fn start<P>(sources: CallerSources<P>, open_count: Arc<AtomicUsize>) -> Rc<SessionShared<P>>
where
    P: StatementProtocol,
{
    let zones = ZoneMap::new(&sources.settings);
    let core = GatewayCore {
        own: sources.own,
        protocol: sources.protocol,
        clock: sources.clock,
        relay: RelayClients::default(),
        teams: sources.teams,
        reachability_changes: sources.reachability_changes,
        metrics: sources.metrics,
        peers: RefCell::default(),
        freshness: RefCell::new(FastMap::default()),
    };
    let gateway = Gateway::new(core, zones, sources.table);
    tokio::task::spawn_local(Rc::clone(&gateway).run());
    tokio::task::spawn_local(marks::run(Rc::clone(&gateway)));
    tokio::task::spawn_local(serve_relay_requests(sources.inbox, Rc::clone(&gateway)));
    Rc::new(SessionShared { gateway, stage: sources.stage, open_count, last_number: Cell::new(0) })
}

/// Serves the relay requests of other entries.
async fn serve_relay_requests<P>(mut inbox: RelayInbox, gateway: Rc<Gateway<P>>)
where
    P: StatementProtocol,
{
    while let Some(request) = inbox.recv().await {
        tokio::task::spawn_local(request.serve(Rc::clone(&gateway)));
    }
}
