//! Opening a connection to a target, directly or through another entry.

use {
    super::{
        connection::PooledConnection,
        state::TargetPath,
        target::{ALIVE_LIMIT, LeaseFailure, LeaseOptions, TargetPool},
    },
    crate::gateway::GatewayCore,
    banyansill_core::{
        failure::FailureKind,
        gateway::{ConnectionShare, TargetError},
        names::SharedName,
        queue::SlotTicket,
        time::Micros,
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

/// Time for the TCP connection; regions are 20 ms apart, and a lost opening packet is repeated only
/// after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for the answer to the introduction, which takes a slot of the target for about 12 ms and may
/// wait for one.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait after a target refused a connection because it has too many.
const REFUSED_WAIT: Micros = Micros::from_millis(200);

/// Wait after no other entry could reach the target either.
pub(super) const DETOUR_PAUSE: Micros = Micros::from_millis(300);

/// Time without an answer to an introduction, or to anything else, after which a target counts as lost. A
/// host that hangs still accepts connections.
const SILENT_LIMIT: Micros = Micros::from_millis(400);

/// Time without a sign of life of a target after which a late answer is a reason to try a fresh connection.
const PROBE_PAUSE: Micros = Micros::from_millis(250);

/// Time without a sign of life of a primary after which an idle entry looks for one. Control replaces a
/// primary only if entries cannot reach it either, and entries without traffic would not notice.
const QUIET_LIMIT: Micros = Micros::from_millis(1_500);

/// Connection that was not opened.
#[derive(Debug)]
pub(crate) enum OpenFailure {
    /// The target does not answer.
    Unreachable(String),
    /// The target refused.
    Refused(TargetError),
    /// The other entry has no connection.
    Relay(LeaseFailure),
}

/// What another entry needs to know to queue the request for a connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectRequest {
    /// Database of the session.
    pub(crate) database: SharedName,
    /// Priority of its route.
    pub(crate) priority: u32,
    /// Whether the connection is for a transaction.
    pub(crate) transaction: bool,
    /// When the session stops waiting.
    pub(crate) deadline: Micros,
}

/// Opens a connection to the target `name`.
pub(super) async fn open<P>(
    core: &Rc<GatewayCore<P>>,
    name: (&SharedName, &SharedName),
    address: &SharedName,
    share: &ConnectionShare,
    plan: &ConnectRequest,
) -> Result<PooledConnection<P>, OpenFailure>
where
    P: StatementProtocol,
{
    match share {
        ConnectionShare::Direct(_) => open_direct(core, name, address).await,
        ConnectionShare::Relayed(entries) => {
            let opened = core.relay.open(core, entries, name, plan, false).await;
            opened.map_err(OpenFailure::Relay)
        }
    }
}

async fn open_direct<P>(
    core: &Rc<GatewayCore<P>>,
    (group, target): (&SharedName, &SharedName),
    address: &SharedName,
) -> Result<PooledConnection<P>, OpenFailure>
where
    P: StatementProtocol,
{
    let Ok(address) = address.parse() else {
        return Err(OpenFailure::Unreachable(format!("no IP address and port: {address:?}")));
    };
    let start =
        StartRequest { group: group.clone(), user: core.own.host.clone(), target: target.clone() };
    let options =
        ConnectionOptions { connect_timeout: CONNECT_TIMEOUT, start_timeout: START_TIMEOUT };
    core.count("connections.opened");
    match TargetConnection::open(address, &start, core.protocol.clone(), options).await {
        Ok(connection) => Ok(PooledConnection::new(connection, core.clock.now())),
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
    /// Opens a connection; it is kept for others if the session stops waiting for it.
    pub(super) async fn connect(
        self: &Rc<Self>,
        wish: &LeaseOptions<'_>,
        ticket: SlotTicket,
    ) -> Result<PooledConnection<P>, LeaseFailure> {
        let path = {
            let mut state = self.state.borrow_mut();
            let path = state.path(self.now(), wish.detour);
            state.claims.remove(&ticket);
            state.open += 1;
            state.detoured += u32::from(path == Some(TargetPath::Detour));
            path
        };
        if path == Some(TargetPath::Detour) {
            self.probe();
        }
        let (sender, opened) = oneshot::channel();
        let pool = Rc::clone(self);
        let plan = ConnectRequest {
            database: wish.slot.database.clone(),
            priority: wish.slot.priority,
            transaction: wish.transaction,
            deadline: wish.slot.deadline,
        };
        tokio::task::spawn_local(async move {
            let result = match path {
                Some(TargetPath::Detour) => pool.open_detour(&plan).await,
                _ => pool.open_connection(&plan).await,
            };
            if let Err(Ok(unwanted)) = sender.send(result) {
                pool.put_back(unwanted);
            }
        });
        let left = wish.slot.deadline.since(self.now()).as_duration();
        match timeout(left, opened).await {
            Ok(Ok(result)) => result,
            _ => Err(LeaseFailure::new(FailureKind::QueueTimeout)),
        }
    }

    /// Opens a connection that is counted as open already.
    async fn open_connection(
        self: &Rc<Self>,
        plan: &ConnectRequest,
    ) -> Result<PooledConnection<P>, LeaseFailure> {
        let begun = self.now();
        let (address, share) = {
            let state = self.state.borrow();
            (state.address.clone(), state.share.clone())
        };
        let name = (&self.group, &self.target);
        let mut opening = pin!(open(&self.core, name, &address, &share, plan));
        let opened = match timeout(SILENT_LIMIT.as_duration(), &mut opening).await {
            Ok(opened) => opened,
            Err(_) => {
                self.note_if_silent(begun);
                opening.await
            }
        };
        let now = self.now();
        if opened.is_err() {
            self.state.borrow_mut().forget(1);
        }
        match opened {
            Ok(pooled) => {
                let change = self.state.borrow_mut().reached(now);
                self.report(change, now);
                Ok(pooled)
            }
            Err(OpenFailure::Unreachable(reason)) => {
                self.record_failure(begun, &reason);
                Err(LeaseFailure::new(FailureKind::Unreachable))
            }
            Err(OpenFailure::Refused(error)) => {
                self.state.borrow_mut().refused_until = now + REFUSED_WAIT;
                let pool = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    sleep(REFUSED_WAIT.as_duration()).await;
                    pool.start_waiting();
                });
                Err(LeaseFailure::new(error.failure()))
            }
            Err(OpenFailure::Relay(failure)) => Err(failure),
        }
    }

    /// Counts a target that has sent nothing since `begun` as lost while its answer is still awaited.
    fn note_if_silent(&self, begun: Micros) {
        if self.is_direct() && self.state.borrow().heard < begun {
            self.record_failure(begun, "no answer to an introduction yet");
        }
    }

    /// Leases a connection of another entry that is counted as open already.
    async fn open_detour(
        &self,
        plan: &ConnectRequest,
    ) -> Result<PooledConnection<P>, LeaseFailure> {
        let entries = self.state.borrow().detour.clone();
        let name = (&self.group, &self.target);
        let opened = self.core.relay.open(&self.core, &entries, name, plan, true).await;
        self.core.count("connections.detour");
        if opened.is_err() {
            let mut state = self.state.borrow_mut();
            state.forget(1);
            state.detoured = state.detoured.saturating_sub(1);
            state.detour_closed_until = self.now() + DETOUR_PAUSE;
        }
        opened
    }

    /// Opens a first connection before anybody asks for one.
    ///
    /// A target that is asked by all entries at once gives each set-up a slot for 12 ms.
    pub(crate) fn warm_up(self: &Rc<Self>) {
        if self.state.borrow().open == 0 {
            self.probe();
        }
    }

    /// Tries a fresh connection because an answer is late, if the target does not answer others either.
    ///
    /// Load: more statements than the target has slots. Answers are late because it is busy, and each fresh
    /// connection would take one of its slots for 12 ms.
    pub(crate) fn probe_if_silent(self: &Rc<Self>) {
        let heard = self.state.borrow().heard;
        if self.now().since(heard) >= PROBE_PAUSE {
            self.probe();
        }
    }

    /// Tries a fresh connection, after one that broke or has gone silent.
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
            let plan = ConnectRequest {
                database: pool.group.clone(),
                priority: 0,
                transaction: false,
                deadline: now,
            };
            let probed = pool.open_connection(&plan).await;
            pool.state.borrow_mut().probing = false;
            if let Ok(pooled) = probed {
                pool.put_back(pooled);
            }
        });
    }
    /// Looks for a sign of life of a primary that has not been heard of for long.
    ///
    /// Load: a primary that is lost while nobody writes.
    pub(crate) fn check_quiet(self: &Rc<Self>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if !state.leads || state.probing || now.since(state.heard) < QUIET_LIMIT {
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
            let verified = timeout(ALIVE_LIMIT.as_duration(), pooled.verify()).await;
            let alive = matches!(verified, Ok(Ok(())));
            pool.put_back(pooled);
            pool.state.borrow_mut().probing = false;
            if alive {
                let change = pool.state.borrow_mut().reached(pool.now());
                pool.report(change, now);
            } else {
                pool.probe();
            }
        });
    }
}
