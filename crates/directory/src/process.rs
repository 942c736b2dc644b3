//! A replica of the directory as a process.

use {
    crate::{
        join::{self, JoinBook},
        node::DirectoryNode,
        promotion::PromotionPort,
        reach::ReachTable,
        service::DirectoryService,
        settings::DirectorySettings,
        supervisor::{self, SupervisorSources},
    },
    banyansill_core::{
        directory::{DirectoryCommand, DirectoryState, ProcessHost, ProcessKind},
        event::EventNumber,
        names::SharedName,
        time::Micros,
    },
    banyansill_replica::{
        command_log::CommandLog,
        replica::{ReplicaError, ReplicaHandle, ReplicaSettings, server_builder},
    },
    banyansill_runtime::{
        clock::MonotonicClock,
        events::EventSink,
        metric_registry::MetricRegistry,
        status::{ReadyState, StatusListener},
    },
    banyansill_target::StatementProtocol,
    banyansill_wire::directory_v1::{self as v1, directory_server::DirectoryServer},
    cadence::{Gauged, StatsdClient},
    miette::Diagnostic,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::AtomicBool},
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        net::TcpListener,
        sync::watch,
        task::JoinHandle,
        time::{interval, sleep, timeout},
    },
    tonic::transport::server::TcpIncoming,
};

/// Prefix of the metrics.
const METRIC_PREFIX: &str = "banyansill.directory";

/// Largest message: a set of routes.
const MESSAGE_BYTES: usize = 16 << 20;

/// Interval at which a replica tells the leader what its followers see.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which news of entries are gathered before the leader is told.
const NEWS_GATHER: Duration = Duration::from_millis(20);

/// Time after which an entry that no replica hears of is taken out of the directory. Its share of the
/// connections is free then.
const ENTRY_EXPIRY: Micros = Micros::from_secs(5);

/// Age of a voter's last answer up to which it counts as answering; an election comes after 350 ms.
const ANSWERING_LIMIT: Micros = Micros::from_millis(500);

/// Interval at which gauges are set.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time that open requests have to finish when the process stops.
const STOP_LIMIT: Duration = Duration::from_millis(800);

/// A replica that cannot be started.
#[derive(Debug, Error, Diagnostic)]
pub enum SpawnError {
    /// A listener cannot be opened.
    #[error("listener {address}: {source}")]
    #[diagnostic(code(banyansill::directory::listen))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The replicated log cannot be opened.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Replica(#[from] ReplicaError),
}

/// Running replica of the directory.
#[derive(Debug)]
#[must_use]
pub struct DirectoryHandle {
    node: DirectoryNode<ReplicaHandle<DirectoryState>>,
    stop: watch::Sender<bool>,
    seeds: watch::Sender<Vec<SharedName>>,
    service: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    status: Option<StatusListener>,
}

/// Starts a replica on the data folder of its settings.
///
/// # Errors
///
/// Returns an error if a listener or the data folder cannot be opened.
pub async fn spawn<P, O>(
    settings: DirectorySettings,
    protocol: P,
    port: O,
) -> Result<DirectoryHandle, SpawnError>
where
    P: StatementProtocol,
    O: PromotionPort,
{
    let listen = settings.listen;
    let failed = |source| SpawnError::Listen { address: listen, source };
    let listener = TcpListener::bind(listen).await.map_err(failed)?;
    let own = ProcessHost {
        host: settings.host.clone(),
        address: settings.address(),
        zone: settings.zone.clone(),
    };
    let clock = MonotonicClock::start();
    let board = MetricRegistry::default();
    let status = match settings.metrics {
        Some(address) => {
            let state = ReadyState { ready: Arc::new(AtomicBool::new(true)), stop: None };
            let opened = StatusListener::bind(&[address], state, board.clone()).await;
            Some(opened.map_err(|source| SpawnError::Listen { address, source })?)
        }
        None => None,
    };
    let events = EventSink::new(settings.host.clone());
    let replica_settings = ReplicaSettings {
        seeds: settings.seed_addresses(),
        join: !settings.found,
        ..ReplicaSettings::single(own.host.clone(), own.address.clone(), settings.data.clone())
    };
    let log = ReplicaHandle::spawn(replica_settings, DirectoryState::default(), events)?;
    let replica_service = log.service();
    let node = DirectoryNode::new(log, own, clock);
    let followers = ReachTable::default();
    let reach = ReachTable::default();
    let joins = JoinBook::default();
    let (stop, stopping) = watch::channel(false);
    let service = DirectoryService {
        node: node.clone(),
        followers: followers.clone(),
        reach: reach.clone(),
        joins: joins.clone(),
        stopping: stopping.clone(),
    };
    let service = DirectoryServer::new(service)
        .max_decoding_message_size(MESSAGE_BYTES)
        .max_encoding_message_size(MESSAGE_BYTES);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let mut stopped = stopping;
    let service = tokio::spawn(async move {
        let server =
            server_builder().add_service(service).add_service(replica_service.into_server());
        let shutdown = async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        if let Err(error) = server.serve_with_incoming_shutdown(incoming, shutdown).await {
            log::error!("listener for other processes: {error}");
        }
    });
    let (seeds, seeds_in_force) = watch::channel(settings.seed_addresses());
    let voters_wanted = settings.voters_wanted();
    let sources = SupervisorSources { node: node.clone(), reach: reach.clone(), protocol, port };
    let tasks = vec![
        tokio::spawn(join::ask(node.clone(), seeds_in_force)),
        tokio::spawn(join::repair(node.clone(), joins, voters_wanted)),
        tokio::spawn(report_reach(node.clone(), followers, reach.clone())),
        tokio::spawn(expire_entries(node.clone(), reach)),
        tokio::spawn(set_gauges(node.clone(), board.client(METRIC_PREFIX))),
        tokio::spawn(supervisor::run(sources)),
    ];
    log::info!(
        target: "event",
        event:display = EventNumber::ProcessReady,
        address:display = listen,
        version = env!("CARGO_PKG_VERSION");
        ""
    );
    Ok(DirectoryHandle { node, stop, seeds, service, tasks, status })
}

impl DirectoryHandle {
    /// Returns the node that serves operators and targets.
    #[must_use]
    pub const fn node(&self) -> &DirectoryNode<ReplicaHandle<DirectoryState>> {
        &self.node
    }

    /// Takes over changed seeds; all other settings need a restart.
    pub fn reload(&self, settings: &DirectorySettings) {
        let addresses = settings.seed_addresses();
        let changed = self.seeds.send_if_modified(|seeds| {
            let changed = *seeds != addresses;
            *seeds = addresses;
            changed
        });
        log::info!(
            target: "event",
            event:display = EventNumber::SettingsReloaded,
            outcome = if changed { "changed" } else { "unchanged" };
            ""
        );
    }

    /// Stops the replica after its open requests, within a limit.
    pub async fn stop(mut self) {
        log::info!(target: "event", event:display = EventNumber::ProcessStopping; "");
        for task in &self.tasks {
            task.abort();
        }
        let _ = self.stop.send(true);
        let finished = timeout(STOP_LIMIT, &mut self.service).await.is_ok();
        self.node.log.stop().await;
        if !finished {
            self.service.abort();
        }
        if let Some(status) = &self.status {
            status.close().await;
        }
        log::info!(target: "event", event:display = EventNumber::ProcessStopped; "");
    }
}

/// Tells the leader what the followers of this replica see; `reach` is what it knows if it leads.
async fn report_reach<L>(node: DirectoryNode<L>, followers: ReachTable, reach: ReachTable)
where
    L: CommandLog<Machine = DirectoryState>,
{
    let mut ticks = interval(REPORT_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            // News of several entries come together.
            () = followers.news() => sleep(NEWS_GATHER).await,
        }
        let status = node.log.status().borrow().clone();
        let entries = followers.reports();
        if status.leading {
            let now = node.clock.now();
            for report in entries {
                reach.record(report, now);
            }
            continue;
        }
        let Some(leader) = status.leader.filter(|_| !entries.is_empty()) else { continue };
        let request = v1::ReachRequest { replica: node.own.host.to_string(), entries };
        if let Err(error) = node.leader.report_reach(&leader, request).await {
            log::debug!("report to the leader: {error}");
        }
    }
}

/// Takes entries out of the directory that no replica hears of, while this one leads.
async fn expire_entries<L>(node: DirectoryNode<L>, reach: ReachTable)
where
    L: CommandLog<Machine = DirectoryState>,
{
    let mut ticks = interval(GAUGE_INTERVAL);
    let mut leading_since: Option<Micros> = None;
    loop {
        ticks.tick().await;
        if !node.log.status().borrow().leading {
            leading_since = None;
            continue;
        }
        let now = node.clock.now();
        let since = *leading_since.get_or_insert(now);
        if now.since(since) < ENTRY_EXPIRY {
            continue;
        }
        let heard = reach.heard_within(ENTRY_EXPIRY, now);
        let Ok(listed) = node.log.inspect(|state| state.entries().clone()).await else { continue };
        for entry in listed.into_values() {
            if heard.get(&entry.host) == Some(&entry.address) {
                continue;
            }
            let (host, address): (SharedName, SharedName) = (entry.host, entry.address);
            let kind = ProcessKind::Entry;
            let command = DirectoryCommand::RemoveProcess { kind, host: host.clone(), address };
            if node.change(&command, "expiry of an entry").await.is_ok() {
                log::info!(
                    target: "event",
                    event:display = EventNumber::EntryExpired,
                    entry:display = host;
                    ""
                );
            }
        }
    }
}

async fn set_gauges(node: join::Node, metrics: StatsdClient) {
    let mut ticks = interval(GAUGE_INTERVAL);
    loop {
        ticks.tick().await;
        let status = node.log.status().borrow().clone();
        let counts = node.log.inspect(|state| {
            (state.version(), state.book().version, state.targets().len(), state.entries().len())
        });
        let Ok((version, routes, targets, entries)) = counts.await else { continue };
        let (mut voters, mut answering) = (0, 0);
        for member in node.log.members().await.unwrap_or_default() {
            voters += u64::from(member.record.voter);
            let silent_for = member.silent_for.filter(|silent_for| *silent_for < ANSWERING_LIMIT);
            answering += u64::from(member.record.voter && silent_for.is_some());
        }
        let gauges = [
            ("leading", u64::from(status.leading)),
            ("term", status.term),
            ("version", version),
            ("routes", routes),
            ("targets", targets as u64),
            ("entries", entries as u64),
            ("voters", voters),
            // Known at the leader alone.
            ("voters.answering", answering),
        ];
        for (name, value) in gauges {
            // The board cannot fail.
            let _ = metrics.gauge(name, value);
        }
    }
}
