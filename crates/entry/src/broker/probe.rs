//! Probes one target on a connection of its own and gives it its orders.

use {
    super::{
        connection::{ConnectionFault, CountedConnection, TargetConnection},
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

/// Interval between probes while somebody waits for the target's position.
const CLOSE_INTERVAL: Duration = Duration::from_millis(2);

/// Least interval between reports that show nothing but a risen position.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Least interval between repeated orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(200);

const STATUS_QUERY: &str = "SELECT * FROM group_status()";

/// Probes one target until its broker is retired.
pub(super) async fn run(shared: Arc<TargetShared>, hub: Arc<HubShared>) {
    let now = Instant::now();
    let mut probe = TargetProbe { shared, hub, connection: None, reported: now, ordered: None };
    probe.probe_all().await;
}

struct TargetProbe {
    shared: Arc<TargetShared>,
    hub: Arc<HubShared>,
    connection: Option<TargetConnection>,
    reported: Instant,
    ordered: Option<Instant>,
}

impl TargetProbe {
    async fn probe_all(&mut self) {
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
            let asked = Instant::now();
            tokio::select! {
                () = self.probe_once() => {}
                // An answer after the gate has closed is of no use.
                _ = gate.wait_for(|gate| !gate.open || gate.closing) => continue,
            }
            if shared.polls_closely() {
                sleep(CLOSE_INTERVAL).await;
                continue;
            }
            let left = PROBE_INTERVAL.as_duration().saturating_sub(asked.elapsed());
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
        if let Some(status) = self.ask_kept().await {
            self.take_status(before, status);
        } else {
            let fresh = self.shared.clock.now();
            let opened = Instant::now();
            self.shared.record_missed(sent);
            match self.ask_fresh().await {
                Ok(status) => {
                    if kept {
                        self.suspect(opened);
                    }
                    self.take_status(before, status);
                }
                // An answer of any kind proves that the target is reachable.
                Err(ConnectionFault::Refused { code, message }) => {
                    log::warn!(
                        "target {}/{}: probe refused with {code}: {message}",
                        self.shared.database,
                        self.shared.server
                    );
                    self.answered();
                }
                Err(_) => self.failed(fresh),
            }
        }
        self.give_order().await;
    }

    async fn ask_kept(&mut self) -> Option<TargetStatus> {
        let mut connection = self.connection.take()?;
        let now = self.shared.clock.now();
        let status = read_status(&mut connection, now).await.ok()?;
        self.connection = Some(connection);
        Some(status)
    }

    async fn ask_fresh(&mut self) -> Result<TargetStatus, ConnectionFault> {
        let shared = &self.shared;
        let counted = CountedConnection::new(&shared.probing);
        let (address, database) = (&shared.address, &shared.database);
        let mut connection =
            TargetConnection::open(address, database, &shared.settings, counted).await?;
        let status = read_status(&mut connection, shared.clock.now()).await?;
        self.connection = Some(connection);
        Ok(status)
    }

    fn take_status(&mut self, before: Option<TargetStatus>, status: TargetStatus) {
        let shared = &self.shared;
        let gate = shared.gate.borrow();
        if status.role == TargetRole::Primary && status.term == gate.route.term {
            shared.raise_mark(gate.route.term, status.position);
        }
        drop(gate);
        shared.status.send_replace(Some(status));
        let recovered = self.answered();
        let changed =
            before.is_none_or(|before| before.role != status.role || before.term != status.term);
        if changed || recovered || self.reported.elapsed() >= REPORT_INTERVAL {
            self.reported = Instant::now();
            self.hub.publish(&self.shared);
        }
    }

    /// Replaces idle connections opened before `opened` and has running grants watch theirs.
    fn suspect(&self, opened: Instant) {
        self.shared.gate.send_modify(|gate| gate.silenced = Some(opened));
        let closed = self.shared.close_idle();
        log::warn!(
            "target {}/{}: a connection fell silent while new ones work; {closed} idle ones closed",
            self.shared.database,
            self.shared.server
        );
    }

    fn answered(&self) -> bool {
        if !self.shared.record_answered() {
            return false;
        }
        self.shared.gate.send_if_modified(|gate| !std::mem::replace(&mut gate.reachable, true));
        self.record(EventNumber::TargetReachable);
        true
    }

    fn failed(&self, sent: Micros) {
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

    /// Records where a new term begins: before the first entry, whose position the promotion returned.
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

    async fn give_order(&mut self) {
        if self.ordered.is_some_and(|at| at.elapsed() < ORDER_INTERVAL) {
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
        self.ordered = Some(Instant::now());
        let Some(mut connection) = self.connection.take() else { return };
        match connection.query(&sql, PROBE_TIMEOUT.as_duration()).await {
            Ok(rows) => {
                self.connection = Some(connection);
                if let TargetCommand::Promote(term) = command {
                    let answer = rows.first("group_promote").and_then(|text| text.parse().ok());
                    self.record_start(term, answer);
                }
            }
            Err(ConnectionFault::Refused { .. }) => self.connection = Some(connection),
            Err(fault) => log::warn!("target {}: {sql}: {fault}", self.shared.server),
        }
        // The next probe shows at once what the order has changed.
        self.shared.poll_closely(Micros::from_millis(20));
    }
}

async fn read_status(
    connection: &mut TargetConnection,
    sent_at: Micros,
) -> Result<TargetStatus, ConnectionFault> {
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
