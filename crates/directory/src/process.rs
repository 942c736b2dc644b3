//! Startup, background tasks and shutdown of a directory replica.

use {
    crate::{
        confirm::ProbeBoard,
        join::{self, PendingJoins},
        node::DirectoryNode,
        promotion::PromotionPort,
        reachability::EntryReports,
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

/// Common prefix of the metric names.
const METRIC_PREFIX: &str = "banyansill.directory";

/// Maximum size of a message; the largest ones hold a set of routes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Interval at which a replica forwards the reports of its followers to the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which changed reports of entries are collected before they are forwarded to the leader.
const REPORT_BATCH_DELAY: Duration = Duration::from_millis(20);

/// Time without a report to any replica after which an entry is removed from the directory. Its share of the
/// connections is then free.
const ENTRY_EXPIRY: Micros = Micros::from_secs(5);

/// Time since a voter's last reply below which it counts as answering; an election starts after 350 ms.
const VOTER_SILENCE_LIMIT: Micros = Micros::from_millis(500);

/// Interval at which gauges are set and expired entries are removed.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which open requests must finish when the process stops.
const STOP_TIMEOUT: Duration = Duration::from_millis(800);

/// Reason why a replica cannot be started.
#[derive(Debug, Error, Diagnostic)]
pub enum SpawnError {
    /// A listener cannot be opened.
    #[error("listener {address}: {source}")]
    #[diagnostic(code(banyansill::directory::listen))]
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
}

/// Handle of a running directory replica.
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

/// Starts a directory replica with the data folder of its settings.
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
    let followers = EntryReports::default();
    let reports = EntryReports::default();
    let probes = ProbeBoard::default();
    let pending_joins = PendingJoins::default();
    let (stop, stopping) = watch::channel(false);
    let service = DirectoryService {
        node: node.clone(),
        followers: followers.clone(),
        probes: probes.clone(),
        reports: reports.clone(),
        pending_joins: pending_joins.clone(),
        stopping: stopping.clone(),
    };
    let service = DirectoryServer::new(service)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let mut stopped = stopping;
    let service = tokio::spawn(async move {
        let server =
            server_builder().add_service(service).add_service(replica_service.into_server());
        let shutdown = async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        if let Err(error) = server.serve_with_incoming_shutdown(incoming, shutdown).await {
            log::error!("listener for other processes failed: {error}");
        }
    });
    let (seeds, current_seeds) = watch::channel(settings.seed_addresses());
    let voters_wanted = settings.voters_wanted();
    let confirm_clock = node.clock;
    let sources =
        SupervisorSources { node: node.clone(), reports: reports.clone(), protocol, port };
    let tasks = vec![
        tokio::spawn(join::keep_membership(node.clone(), current_seeds)),
        tokio::spawn(join::repair(node.clone(), pending_joins, voters_wanted)),
        tokio::spawn(report_reach(node.clone(), followers, reports.clone())),
        tokio::spawn(probes.run(
            node.clone(),
            move || confirm_clock.now(),
            board.client(METRIC_PREFIX),
        )),
        tokio::spawn(expire_entries(node.clone(), reports)),
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
    /// Returns the node, on which the platform calls the operations of operators and targets.
    #[must_use]
    pub const fn node(&self) -> &DirectoryNode<ReplicaHandle<DirectoryState>> {
        &self.node
    }

    /// Applies changed seeds; changes of all other settings require a restart.
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

    /// Stops the replica; waits up to 800 ms for open requests to finish.
    pub async fn stop(mut self) {
        log::info!(target: "event", event:display = EventNumber::ProcessStopping; "");
        for task in &self.tasks {
            task.abort();
        }
        let _ = self.stop.send(true);
        let finished = timeout(STOP_TIMEOUT, &mut self.service).await.is_ok();
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

/// Forwards the reports of this replica's followers to the leader, or records them in `reports` if this
/// replica is the leader.
async fn report_reach<L>(node: DirectoryNode<L>, followers: EntryReports, reports: EntryReports)
where
    L: CommandLog<Machine = DirectoryState>,
{
    let mut ticks = interval(REPORT_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            // The reports of several entries change almost at the same time.
            () = followers.targets_changed() => sleep(REPORT_BATCH_DELAY).await,
        }
        let status = node.log.status().borrow().clone();
        let entries = followers.reports();
        if status.leading {
            let now = node.clock.now();
            for report in entries {
                reports.record(report, now);
            }
            continue;
        }
        let Some(leader) = status.leader.filter(|_| !entries.is_empty()) else { continue };
        let request = v1::ReachRequest { replica: node.own.host.to_string(), entries };
        if let Err(error) = node.leader.report_reach(&leader, request).await {
            log::debug!("cannot forward reports to the leader: {error}");
        }
    }
}

/// Removes entries that no longer report to any replica from the directory, while this replica is the leader.
async fn expire_entries<L>(node: DirectoryNode<L>, reports: EntryReports)
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
        let reported = reports.reported_within(ENTRY_EXPIRY, now);
        let Ok(listed) = node.log.inspect(|state| state.entries().clone()).await else { continue };
        for entry in listed.into_values() {
            if reported.get(&entry.host) == Some(&entry.address) {
                continue;
            }
            let (host, address): (SharedName, SharedName) = (entry.host, entry.address);
            let kind = ProcessKind::Entry;
            let command = DirectoryCommand::RemoveProcess { kind, host: host.clone(), address };
            if node.change(&command, "removal of an expired entry").await.is_ok() {
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
        if !status.leading {
            node.limits.clear();
        }
        let counts = node.log.inspect(|state| {
            (state.version(), state.routes().version, state.targets().len(), state.entries().len())
        });
        let Ok((version, routes, targets, entries)) = counts.await else { continue };
        let (mut voters, mut answering) = (0, 0);
        for member in node.log.members().await.unwrap_or_default() {
            voters += u64::from(member.record.voter);
            let silent_for =
                member.silent_for.filter(|silent_for| *silent_for < VOTER_SILENCE_LIMIT);
            answering += u64::from(member.record.voter && silent_for.is_some());
        }
        let gauges = [
            ("leading", u64::from(status.leading)),
            ("term", status.term),
            ("disk.full", u64::from(status.disk_full)),
            ("version", version),
            ("routes", routes),
            ("targets", targets as u64),
            ("entries", entries as u64),
            ("voters", voters),
            // Only the leader knows this; other replicas report 0.
            ("voters.answering", answering),
            ("teams.paced", node.limits.paced_teams() as u64),
        ];
        for (name, value) in gauges {
            // Gauges are written to the board in memory, which cannot fail.
            let _ = metrics.gauge(name, value);
        }
    }
}
