//! Probes one target on a dedicated connection and sends it promote and follow commands.

use {
    super::{
        connection::{ConnectionError, CountedConnection, TargetConnection},
        shared::HubShared,
        target::TargetShared,
    },
    banyansill_core::{
        broker::{PROBE_INTERVAL, PROBE_TIMEOUT, TargetCommand, TargetStatus},
        event::EventNumber,
        position::{LogPosition, LogTerm},
        route::TargetRole,
        time::Micros,
    },
    banyansill_runtime::clock::wall_millis,
    std::{
        sync::{Arc, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Interval between probes while a grant or a confirmation waits for the target's status.
const FAST_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Minimum interval between reports in which only the position has changed.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval between commands to the target.
const COMMAND_INTERVAL: Duration = Duration::from_millis(200);

const STATUS_QUERY: &str = "SELECT * FROM group_status()";

/// Probes one target until its broker is retired.
pub(super) async fn run(shared: Arc<TargetShared>, hub: Arc<HubShared>) {
    let now = Instant::now();
    let mut probe =
        TargetProbe { shared, hub, connection: None, reported: now, command_sent: None };
    probe.probe_until_retired().await;
}

struct TargetProbe {
    shared: Arc<TargetShared>,
    hub: Arc<HubShared>,
    connection: Option<TargetConnection>,
    reported: Instant,
    command_sent: Option<Instant>,
}

impl TargetProbe {
    async fn probe_until_retired(&mut self) {
        let shared = Arc::clone(&self.shared);
        let mut gate = shared.gate.subscribe();
        loop {
            let active = {
                let gate = gate.borrow_and_update();
                gate.open && !gate.closing
            };
            if !active {
                self.connection = None;
                shared.status.send_replace(None);
                self.hub.publish(&shared);
                if shared.retired() {
                    return;
                }
                let _ = gate.changed().await;
                continue;
            }
            let started = Instant::now();
            tokio::select! {
                () = self.probe_once() => {}
                // A response that arrives after the gate has closed is not used.
                _ = gate.wait_for(|gate| !gate.open || gate.closing) => continue,
            }
            if shared.polls_fast() {
                sleep(FAST_POLL_INTERVAL).await;
                continue;
            }
            let left = PROBE_INTERVAL.as_duration().saturating_sub(started.elapsed());
            tokio::select! {
                () = sleep(left) => {}
                () = shared.poll.notified() => {}
                _ = gate.changed() => {}
            }
        }
    }

    async fn probe_once(&mut self) {
        let sent = self.shared.clock.now();
        let before = *self.shared.status.borrow();
        let kept = self.connection.is_some();
        if let Some(status) = self.probe_kept_connection().await {
            self.apply_status(before, status);
        } else {
            let fresh = self.shared.clock.now();
            let opened = Instant::now();
            self.shared.record_missed(sent);
            match self.probe_fresh_connection().await {
                Ok(status) => {
                    if kept {
                        self.mark_connections_suspect(opened);
                    }
                    self.apply_status(before, status);
                }
                // A response of any kind proves that the target is reachable.
                Err(ConnectionError::Refused { code, message }) => {
                    log::warn!(
                        "target {}/{}: probe refused with {code}: {message}",
                        self.shared.database,
                        self.shared.server
                    );
                    self.handle_response();
                }
                Err(_) => self.handle_failure(fresh),
            }
        }
        self.send_command().await;
    }

    async fn probe_kept_connection(&mut self) -> Option<TargetStatus> {
        let mut connection = self.connection.take()?;
        let now = self.shared.clock.now();
        let status = read_status(&mut connection, now).await.ok()?;
        self.connection = Some(connection);
        Some(status)
    }

    async fn probe_fresh_connection(&mut self) -> Result<TargetStatus, ConnectionError> {
        let shared = &self.shared;
        let counted = CountedConnection::new(&shared.probing);
        let (address, database) = (&shared.address, &shared.database);
        let mut connection =
            TargetConnection::open(address, database, &shared.settings, counted).await?;
        let status = read_status(&mut connection, shared.clock.now()).await?;
        self.connection = Some(connection);
        Ok(status)
    }

    fn apply_status(&mut self, before: Option<TargetStatus>, status: TargetStatus) {
        let shared = &self.shared;
        let gate = shared.gate.borrow();
        if status.role == TargetRole::Primary && status.term == gate.route.term {
            shared.raise_mark(gate.route.term, status.position);
        }
        drop(gate);
        shared.status.send_replace(Some(status));
        let recovered = self.handle_response();
        let changed =
            before.is_none_or(|before| before.role != status.role || before.term != status.term);
        if changed || recovered || self.reported.elapsed() >= REPORT_INTERVAL {
            self.reported = Instant::now();
            self.hub.publish(&self.shared);
        }
    }

    /// Closes the idle connections, and makes running grants time out silent connections that were
    /// opened before `opened`.
    fn mark_connections_suspect(&self, opened: Instant) {
        self.shared.gate.send_modify(|gate| gate.suspect_before = Some(opened));
        let closed = self.shared.close_idle();
        log::warn!(
            "target {}/{}: connection stopped responding while new ones work; {closed} idle closed",
            self.shared.database,
            self.shared.server
        );
    }

    fn handle_response(&self) -> bool {
        if !self.shared.record_answered() {
            return false;
        }
        self.shared.gate.send_if_modified(|gate| !std::mem::replace(&mut gate.reachable, true));
        self.record(EventNumber::TargetReachable);
        true
    }

    fn handle_failure(&self, sent: Micros) {
        if self.shared.record_failed(sent) {
            self.shared.status.send_replace(None);
            self.shared.unreachable();
            self.record(EventNumber::TargetUnreachable);
        }
        self.hub.publish(&self.shared);
    }

    fn record(&self, number: EventNumber) {
        let fields = [
            ("database", self.shared.database.to_string()),
            ("server", self.shared.server.to_string()),
        ];
        self.shared.events.record(number, &fields);
    }

    /// Records the last position before a new term, from the position of its first log entry, which
    /// the promotion returned.
    fn record_start(&self, term: LogTerm, first: Option<LogPosition>) {
        let status = *self.shared.status.borrow();
        let (Some(first), Some(status)) = (first, status) else { return };
        let start = LogPosition { offset: first.offset.saturating_sub(1), ..status.received };
        if first.term != term || status.received.term >= term || start < status.received {
            return;
        }
        let mut known = self.shared.term_start.lock().unwrap_or_else(PoisonError::into_inner);
        *known = Some((term, start));
    }

    async fn send_command(&mut self) {
        if self.command_sent.is_some_and(|at| at.elapsed() < COMMAND_INTERVAL) {
            return;
        }
        let gate = self.shared.gate.borrow().clone();
        let command = self.shared.view(&gate, |view| view.next_command());
        let sql = match command {
            TargetCommand::None => return,
            TargetCommand::Promote(LogTerm(term)) => format!("SELECT group_promote({term})"),
            TargetCommand::Follow(LogTerm(term)) => {
                let Some(primary) = gate.route.open_primary() else { return };
                let address = primary.replication_address.replace('\'', "''");
                format!("SELECT group_follow({term}, '{address}')")
            }
        };
        self.command_sent = Some(Instant::now());
        let Some(mut connection) = self.connection.take() else { return };
        match connection.query(&sql, PROBE_TIMEOUT.as_duration()).await {
            Ok(rows) => {
                self.connection = Some(connection);
                if let TargetCommand::Promote(term) = command {
                    let first_entry =
                        rows.first("group_promote").and_then(|text| text.parse().ok());
                    self.record_start(term, first_entry);
                }
            }
            Err(ConnectionError::Refused { .. }) => self.connection = Some(connection),
            Err(error) => log::warn!("target {}: {sql}: {error}", self.shared.server),
        }
        // The next probes follow at a short interval, to observe the effect of the command.
        self.shared.poll_fast(Micros::from_millis(20));
    }
}

async fn read_status(
    connection: &mut TargetConnection,
    sent_at: Micros,
) -> Result<TargetStatus, ConnectionError> {
    let wall = wall_millis();
    let rows = connection.query(STATUS_QUERY, PROBE_TIMEOUT.as_duration()).await?;
    let role = match rows.first("role") {
        Some("primary") => TargetRole::Primary,
        _ => TargetRole::Replica,
    };
    let position: LogPosition =
        rows.first("position").and_then(|text| text.parse().ok()).unwrap_or_default();
    let received = rows.first("received").and_then(|text| text.parse().ok()).unwrap_or(position);
    let term = rows.first("term").and_then(|text| text.parse().ok()).unwrap_or_default();
    let replayed: u64 =
        rows.first("replayed_at_ms").and_then(|text| text.parse().ok()).unwrap_or_default();
    let age = match role {
        TargetRole::Primary => Micros::ZERO,
        TargetRole::Replica => Micros(wall.saturating_sub(replayed).saturating_mul(1_000)),
    };
    Ok(TargetStatus { role, term: LogTerm(term), position, received, age, sent_at })
}
