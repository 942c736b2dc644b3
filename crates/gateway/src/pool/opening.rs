//! Opening and probing connections to a target, directly or through another entry.

use {
    super::{
        connection::PooledConnection,
        state::{TargetPath, max_connections},
        target::{ConnectionUser, LeaseFailure, LeaseOptions, TargetPool, VERIFY_TIMEOUT},
    },
    crate::gateway::GatewayCore,
    banyansill_core::{
        directory::ProcessHost, failure::FailureKind, gateway::TargetError, names::SharedName,
        queue::SlotTicket, time::Micros,
    },
    banyansill_target::{
        ConnectError, ConnectionOptions, StartRequest, StatementProtocol, TargetConnection,
    },
    std::{pin::pin, rc::Rc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// Timeout of the TCP handshake; regions are 20 ms apart, and a lost SYN is retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of the answer to the start request, which occupies a slot of the target for about 12 ms and may have
/// to wait for one.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// Back-off after a target refused a connection because it has too many.
const REFUSED_BACKOFF: Micros = Micros::from_millis(200);

/// Back-off after no other entry could reach the target either.
pub(super) const DETOUR_BACKOFF: Micros = Micros::from_millis(300);

/// Time after which a target counts as unreachable if it has answered neither the start request nor any
/// statement. A host that hangs still accepts TCP connections.
const SILENCE_TIMEOUT: Micros = Micros::from_millis(400);

/// Minimum time without contact with a target after which a late answer triggers a probe with a new connection.
const PROBE_MIN_SILENCE: Micros = Micros::from_millis(250);

/// Time without contact with a primary after which an idle entry checks it. Control replaces a primary only if
/// entries cannot reach it either, and entries without traffic would not notice its loss.
const PRIMARY_CHECK_SILENCE: Micros = Micros::from_millis(1_500);

/// Reason why a connection could not be opened.
#[derive(Debug)]
pub(crate) enum OpenFailure {
    /// The target does not answer, or its address is invalid.
    Unreachable(String),
    /// The target refused the start request.
    Refused(TargetError),
}

/// Request for a connection, with what another entry needs to queue it.
#[derive(Clone, Debug)]
pub(crate) struct ConnectRequest {
    /// Database of the session.
    pub(crate) database: SharedName,
    /// Team of the session; empty if it has none.
    pub(crate) team: SharedName,
    /// Priority of the session's route; lower values are served first.
    pub(crate) priority: u32,
    /// Whether the connection is for a transaction.
    pub(crate) transaction: bool,
    /// Time at which the session stops waiting.
    pub(crate) deadline: Micros,
}

/// Path of a new connection.
#[derive(Clone, Debug)]
enum ConnectPath {
    /// This entry connects to the target.
    Own,
    /// These entries lend one of their connections.
    Relays(Vec<ProcessHost>),
    /// As `Relays`, because this entry cannot reach the target.
    Detour(Vec<ProcessHost>),
}

/// Opens a connection to the target `name`, a group and a target in it, that serves `team`.
async fn open_direct<P>(
    core: &Rc<GatewayCore<P>>,
    (group, target): (&SharedName, &SharedName),
    address: &SharedName,
    team: &SharedName,
) -> Result<PooledConnection<P>, OpenFailure>
where
    P: StatementProtocol,
{
    let Ok(address) = address.parse() else {
        return Err(OpenFailure::Unreachable(format!(
            "not an IP address with a port: {address:?}"
        )));
    };
    let user = if team.is_empty() { core.own.host.clone() } else { team.clone() };
    let start = StartRequest { group: group.clone(), user, target: target.clone() };
    let options =
        ConnectionOptions { connect_timeout: CONNECT_TIMEOUT, start_timeout: START_TIMEOUT };
    core.count("connections.opened");
    match TargetConnection::open(address, &start, core.protocol.clone(), options).await {
        Ok(connection) => Ok(PooledConnection::new(connection, team.clone(), core.clock.now())),
        Err(error @ ConnectError::Unreachable { .. }) => {
            Err(OpenFailure::Unreachable(error.to_string()))
        }
        Err(ConnectError::Refused(error)) => Err(OpenFailure::Refused(error)),
    }
}

impl<P> TargetPool<P>
where
    P: StatementProtocol,
{
    /// Opens a connection, which goes to the pool if the session stops waiting for it.
    pub(super) async fn connect(
        self: &Rc<Self>,
        options: &LeaseOptions<'_>,
        ticket: SlotTicket,
    ) -> Result<PooledConnection<P>, LeaseFailure> {
        let path = self.connect_path(options, ticket)?;
        if matches!(path, ConnectPath::Detour(_)) {
            self.probe();
        }
        let (sender, opened) = oneshot::channel();
        let pool = Rc::clone(self);
        let request = ConnectRequest {
            database: options.slot.database.clone(),
            team: options.slot.team.clone(),
            priority: options.slot.priority,
            transaction: options.transaction,
            deadline: options.slot.deadline,
        };
        tokio::task::spawn_local(async move {
            let result = match path {
                ConnectPath::Own => pool.open_connection(&request).await,
                ConnectPath::Relays(entries) => pool.open_relayed(&entries, &request).await,
                ConnectPath::Detour(entries) => pool.open_detour(&entries, &request).await,
            };
            if let Err(Ok(unwanted)) = sender.send(result) {
                pool.put_back(unwanted);
            }
        });
        let left = options.slot.deadline.since(self.now()).as_duration();
        match timeout(left, opened).await {
            Ok(Ok(result)) => result,
            _ => Err(LeaseFailure::new(FailureKind::QueueTimeout)),
        }
    }

    /// Chooses the path of a new connection and counts the connection.
    ///
    /// # Errors
    ///
    /// Returns `Overloaded` if all connections that the path allows are in use.
    fn connect_path(
        &self,
        options: &LeaseOptions<'_>,
        ticket: SlotTicket,
    ) -> Result<ConnectPath, LeaseFailure> {
        let mut state = self.state.borrow_mut();
        state.reservations.remove(&ticket);
        if state.path(self.now(), options.detour) == Some(TargetPath::Detour) {
            state.relayed += 1;
            return Ok(ConnectPath::Detour(state.detour.clone()));
        }
        let team = options.slot.team;
        let relays = match options.user {
            ConnectionUser::Peer => Vec::new(),
            _ => self.usual_relays(&mut state, team),
        };
        if !relays.is_empty() {
            state.relayed += 1;
            return Ok(ConnectPath::Relays(relays));
        }
        // The connection of another team makes room; without teams, a slot is granted only if there is room.
        let full = !state.team_relays.is_empty() && state.open >= max_connections(&state.share);
        let evicted = if full { state.evict_idle(team) } else { None };
        if full && evicted.is_none() {
            let relays = match options.user {
                ConnectionUser::Session => self.overflow_relays(&mut state, team),
                ConnectionUser::Peer | ConnectionUser::Entry => Vec::new(),
            };
            if relays.is_empty() {
                return Err(LeaseFailure::new(FailureKind::Overloaded));
            }
            state.relayed += 1;
            return Ok(ConnectPath::Relays(relays));
        }
        state.open += 1;
        drop(state);
        if let Some(evicted) = evicted {
            self.core.count("connections.ended.evicted");
            tokio::task::spawn_local(evicted.end());
        }
        Ok(ConnectPath::Own)
    }

    /// Opens an own connection that `PoolState::open` already counts.
    async fn open_connection(
        self: &Rc<Self>,
        request: &ConnectRequest,
    ) -> Result<PooledConnection<P>, LeaseFailure> {
        let begun = self.now();
        let address = self.state.borrow().address.clone();
        let name = (&self.group, &self.target);
        let mut opening = pin!(open_direct(&self.core, name, &address, &request.team));
        let opened = match timeout(SILENCE_TIMEOUT.as_duration(), &mut opening).await {
            Ok(opened) => opened,
            Err(_) => {
                self.record_failure_if_silent(begun);
                opening.await
            }
        };
        let now = self.now();
        if opened.is_err() {
            self.state.borrow_mut().record_closed(1);
        }
        match opened {
            Ok(pooled) => {
                let change = self.state.borrow_mut().record_contact(now);
                self.report(change, now);
                Ok(pooled)
            }
            Err(OpenFailure::Unreachable(reason)) => {
                self.record_failure(begun, &reason);
                Err(LeaseFailure::new(FailureKind::Unreachable))
            }
            Err(OpenFailure::Refused(error)) => {
                self.state.borrow_mut().refused_until = now + REFUSED_BACKOFF;
                let pool = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    sleep(REFUSED_BACKOFF.as_duration()).await;
                    pool.grant_slots();
                });
                Err(LeaseFailure::new(error.failure()))
            }
        }
    }

    /// Borrows a connection of another entry that `PoolState::relayed` already counts.
    async fn open_relayed(
        &self,
        entries: &[ProcessHost],
        request: &ConnectRequest,
    ) -> Result<PooledConnection<P>, LeaseFailure> {
        let name = (&self.group, &self.target);
        let opened = self.core.relay.open(&self.core, entries, name, request, false).await;
        match opened {
            Ok(_) if !self.is_direct() => {
                let now = self.now();
                let change = self.state.borrow_mut().record_contact(now);
                self.report(change, now);
            }
            Ok(_) => {}
            Err(_) => self.state.borrow_mut().record_returned(),
        }
        opened
    }

    /// Records a failure if the target has sent nothing since `begun`, while its answer is still awaited.
    fn record_failure_if_silent(&self, begun: Micros) {
        if self.is_direct() && self.state.borrow().last_contact < begun {
            self.record_failure(begun, "no answer to the start request yet");
        }
    }

    /// Borrows a connection of another entry, because this one cannot reach the target; `PoolState::relayed` already
    /// counts it.
    async fn open_detour(
        &self,
        entries: &[ProcessHost],
        request: &ConnectRequest,
    ) -> Result<PooledConnection<P>, LeaseFailure> {
        let name = (&self.group, &self.target);
        let opened = self.core.relay.open(&self.core, entries, name, request, true).await;
        self.core.count("connections.detour");
        if opened.is_err() {
            let mut state = self.state.borrow_mut();
            state.record_returned();
            state.detour_backoff_until = self.now() + DETOUR_BACKOFF;
        }
        opened
    }

    /// Opens a first connection before a session needs one.
    ///
    /// When all entries connect to a target at once, each new connection occupies a slot for 12 ms.
    pub(crate) fn warm_up(self: &Rc<Self>) {
        let state = self.state.borrow();
        // A connection that serves one team cannot be opened before the team is known.
        let wanted = state.open == 0 && state.team_relays.is_empty();
        drop(state);
        if wanted {
            self.probe();
        }
    }

    /// Probes the target because an answer is late, unless it has recently answered other requests.
    ///
    /// With more statements than slots, answers are late only because the target is busy, and each new
    /// connection would occupy one of its slots for 12 ms.
    pub(crate) fn probe_if_silent(self: &Rc<Self>) {
        let last_contact = self.state.borrow().last_contact;
        if self.now().since(last_contact) >= PROBE_MIN_SILENCE {
            self.probe();
        }
    }

    /// Probes the target with a new connection, after one broke or stopped responding.
    pub(crate) fn probe(self: &Rc<Self>) {
        let now = self.now();
        if !self.is_direct() {
            return;
        }
        let mut state = self.state.borrow_mut();
        if state.probing || state.is_refused(now) || !state.health.can_attempt(now) {
            return;
        }
        state.probing = true;
        state.open += 1;
        drop(state);
        let pool = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let request = ConnectRequest {
                database: pool.group.clone(),
                team: SharedName::default(),
                priority: 0,
                transaction: false,
                deadline: now,
            };
            let probed = pool.open_connection(&request).await;
            pool.state.borrow_mut().probing = false;
            if let Ok(pooled) = probed {
                pool.put_back(pooled);
            }
        });
    }
    /// Checks a primary without recent contact, so that its loss is detected even while nobody writes.
    pub(crate) fn check_silent_primary(self: &Rc<Self>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if !state.is_primary
            || state.probing
            || now.since(state.last_contact) < PRIMARY_CHECK_SILENCE
        {
            return;
        }
        let Some(mut pooled) = state.idle.pop() else {
            drop(state);
            self.probe();
            return;
        };
        state.probing = true;
        drop(state);
        let pool = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let verified = timeout(VERIFY_TIMEOUT.as_duration(), pooled.verify()).await;
            let alive = matches!(verified, Ok(Ok(())));
            pool.put_back(pooled);
            pool.state.borrow_mut().probing = false;
            if alive {
                let change = pool.state.borrow_mut().record_contact(pool.now());
                pool.report(change, now);
            } else {
                pool.probe();
            }
        });
    }
}
