//! Opening and probing connections to a target, directly or through another entry.

use {
    super::{
        connection::PooledConnection,
        start::LeaseStart,
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

/// Maximum wait for the end of a connection that makes room for another one.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(100);

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
    pub(crate) start: LeaseStart,
}

/// Path of a new connection.
#[derive(Debug)]
pub(super) enum ConnectPath<P> {
    /// This entry connects to the target, once it has closed this connection of another team.
    Own(Option<Box<PooledConnection<P>>>),
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
    /// Opens a connection over the path, which goes to the pool if the session stops waiting for it.
    pub(super) async fn connect(
        self: &Rc<Self>,
        options: &LeaseOptions<'_>,
        path: ConnectPath<P>,
    ) -> Result<PooledConnection<P>, LeaseFailure> {
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
            start: LeaseStart {
                values: options.values.clone(),
                prepare: options.prepare.cloned(),
                begin: options.begin,
            },
        };
        tokio::task::spawn_local(async move {
            let result = match path {
                ConnectPath::Own(evicted) => {
                    if let Some(evicted) = evicted {
                        // The target counts both connections until it has dealt with the end of the first.
                        let _ = timeout(EVICTION_TIMEOUT, (*evicted).end()).await;
                    }
                    pool.open_connection(&request).await
                }
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

    /// Chooses the path of a new connection and counts the connection; `None` if all connections are in use.
    pub(super) fn connect_path(
        &self,
        options: &LeaseOptions<'_>,
        ticket: SlotTicket,
    ) -> Option<ConnectPath<P>> {
        let mut state = self.state.borrow_mut();
        state.reservations.remove(&ticket);
        if state.path(self.now(), options.detour) == Some(TargetPath::Detour) {
            state.relayed += 1;
            return Some(ConnectPath::Detour(state.detour.clone()));
        }
        let team = options.slot.team;
        let relays = match options.user {
            ConnectionUser::Peer => Vec::new(),
            _ => self.usual_relays(&mut state, team),
        };
        if !relays.is_empty() {
            state.relayed += 1;
            return Some(ConnectPath::Relays(relays));
        }
        // The slot was granted because of a detour, which this request does not use.
        if state.team_relays.is_empty() && state.is_refused(self.now()) {
            return None;
        }
        // The connection of another team makes room; without teams, a slot is granted only if there is room.
        let exhausted = state.open >= max_connections(&state.share) || state.is_refused(self.now());
        let full = !state.team_relays.is_empty() && exhausted;
        let evicted = if full { state.evict_idle(team) } else { None };
        if full && evicted.is_none() {
            let relays = match options.user {
                ConnectionUser::Session => self.overflow_relays(&mut state, team),
                ConnectionUser::Peer | ConnectionUser::Entry => Vec::new(),
            };
            if relays.is_empty() {
                return None;
            }
            state.relayed += 1;
            return Some(ConnectPath::Relays(relays));
        }
        state.open += 1;
        state.opening += 1;
        if evicted.is_some() {
            self.core.count("connections.ended.evicted");
        }
        Some(ConnectPath::Own(evicted.map(Box::new)))
    }

    /// Opens an own connection that `PoolState::open` and `PoolState::opening` already count.
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
        let result = self.record_opened(opened, begun);
        // The next waiting request may open a connection now.
        self.grant_slots();
        result
    }

    fn record_opened(
        self: &Rc<Self>,
        opened: Result<PooledConnection<P>, OpenFailure>,
        begun: Micros,
    ) -> Result<PooledConnection<P>, LeaseFailure> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.opening = state.opening.saturating_sub(1);
        let failure = match opened {
            Ok(pooled) => {
                state.admission.record_accepted();
                let change = state.record_contact(now);
                drop(state);
                self.report(change, now);
                return Ok(pooled);
            }
            Err(failure) => failure,
        };
        state.record_closed(1);
        match failure {
            OpenFailure::Unreachable(reason) => {
                drop(state);
                self.record_failure(begun, &reason);
                Err(LeaseFailure::new(FailureKind::Unreachable))
            }
            OpenFailure::Refused(error) => {
                let backoff = state.admission.record_refused(now);
                let pool = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    sleep(backoff.as_duration()).await;
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
        state.opening += 1;
        drop(state);
        let pool = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let request = ConnectRequest {
                database: pool.group.clone(),
                team: SharedName::default(),
                priority: 0,
                transaction: false,
                deadline: now,
                start: LeaseStart::default(),
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
            let alive = matches!(verified, Ok(Ok(_)));
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
