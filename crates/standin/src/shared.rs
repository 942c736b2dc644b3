//! State that the tasks of one server share.

use {
    crate::{
        error::SqlError,
        group::{GroupRole, GroupState},
        settings::{StandinSettings, StartRole},
        sql::plan::AdminAction,
        value::{SharedRow, Value},
    },
    banyansill_core::{collections::FastMap, names::SharedName, position::LogPosition},
    banyansill_runtime::clock::wall_millis,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard,
            atomic::{AtomicBool, AtomicI32, AtomicU64, Ordering},
        },
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore, watch},
};

/// Addresses that the server is bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerAddresses {
    /// Address for PostgreSQL connections.
    pub callers: SocketAddr,
    /// Address for the replication of other servers.
    pub replication: SocketAddr,
}

/// Limit on the statements that execute at a time.
#[derive(Debug)]
pub struct StatementGate {
    slots: Arc<Semaphore>,
    running: Arc<AtomicU64>,
    max_running: AtomicU64,
    last_began_ms: AtomicU64,
}

/// Right to execute a statement; given back when dropped.
#[derive(Debug)]
pub struct StatementPass {
    running: Arc<AtomicU64>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for StatementPass {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl StatementGate {
    fn new(slots: u64) -> Self {
        let slots = usize::try_from(slots).unwrap_or(usize::MAX).min(Semaphore::MAX_PERMITS);
        Self {
            slots: Arc::new(Semaphore::new(slots)),
            running: Arc::new(AtomicU64::new(0)),
            max_running: AtomicU64::new(0),
            last_began_ms: AtomicU64::new(0),
        }
    }

    /// Waits for a slot, in the order of arrival.
    pub async fn enter(&self) -> Option<StatementPass> {
        let permit = self.slots.clone().acquire_owned().await.ok()?;
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.max_running.fetch_max(running, Ordering::Relaxed);
        self.last_began_ms.fetch_max(wall_millis(), Ordering::Relaxed);
        Some(StatementPass { running: self.running.clone(), _permit: permit })
    }

    /// Returns how many statements execute now.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed)
    }
}

/// Connections that answer nothing while they stay open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SilentRange {
    /// Connections up to this number are silent.
    pub up_to: i32,
    /// Whether all connections are silent, also those opened later.
    pub all: bool,
}

impl SilentRange {
    /// Returns whether a connection is silent.
    pub const fn contains(&self, pid: i32) -> bool {
        self.all || pid <= self.up_to
    }
}

/// Faults that a test can switch on.
#[derive(Debug)]
pub struct FaultSwitches {
    /// Connections that are silent.
    pub silent: watch::Sender<SilentRange>,
    /// Connections up to this number are cut.
    pub cut: watch::Sender<i32>,
    /// Whether new connections are refused.
    pub refuse: AtomicBool,
    /// Whether replication is interrupted, as primary and as replica.
    pub isolated: watch::Sender<bool>,
    /// Whether announcements are left out.
    pub mute: AtomicBool,
}

/// Open connections.
#[derive(Debug, Default)]
pub struct SessionTable {
    cancels: FastMap<i32, (i32, watch::Sender<u64>)>,
    max_open: u64,
    refused: u64,
}

/// State of one server.
#[derive(Debug)]
pub struct SharedServer {
    /// Settings at the start.
    pub settings: StandinSettings,
    /// Bound addresses.
    pub addresses: ServerAddresses,
    /// Start time in milliseconds since the epoch; orders announcements from a reused address.
    pub incarnation: u64,
    /// Name of the database as functions report it.
    pub database: Arc<str>,
    /// Limit on statements.
    pub gate: StatementGate,
    /// Faults.
    pub faults: FaultSwitches,
    /// Notified when the log, the lag or the role changes.
    pub changed: watch::Sender<u64>,
    /// Set when the server announces that it is leaving.
    pub leaving: watch::Sender<bool>,
    /// Set when control has taken an announcement; the server changes its log only afterwards, so that
    /// control sees with which log it began.
    pub heard: watch::Sender<bool>,
    /// Number of the connection accepted last.
    pub last_pid: AtomicI32,
    /// Set when every task has to end.
    pub ended: watch::Sender<bool>,
    /// Time that a new connection takes.
    pub connection_cost_ms: AtomicU64,
    /// Time that each statement takes besides its own work.
    pub statement_cost_us: AtomicU64,
    state: RwLock<GroupState>,
    sessions: Mutex<SessionTable>,
}

impl SharedServer {
    /// Creates the state of a server that starts without data.
    pub fn new(settings: StandinSettings, addresses: ServerAddresses) -> Self {
        let incarnation = wall_millis();
        let role = match settings.role {
            StartRole::Primary => GroupRole::Primary,
            StartRole::Replica(primary) => GroupRole::Replica(primary),
        };
        Self {
            addresses,
            incarnation,
            database: Arc::from(settings.database.as_str()),
            gate: StatementGate::new(settings.slots),
            faults: FaultSwitches {
                silent: watch::channel(SilentRange::default()).0,
                cut: watch::channel(0).0,
                refuse: AtomicBool::new(false),
                isolated: watch::channel(false).0,
                mute: AtomicBool::new(false),
            },
            changed: watch::channel(0).0,
            leaving: watch::channel(false).0,
            heard: watch::channel(settings.control.is_empty()).0,
            last_pid: AtomicI32::new(0),
            ended: watch::channel(false).0,
            connection_cost_ms: AtomicU64::new(settings.connection_cost_ms),
            statement_cost_us: AtomicU64::new(settings.statement_cost_us),
            state: RwLock::new(GroupState::new(
                role,
                settings.term,
                settings.lag_ms,
                settings.log_entries,
                incarnation,
            )),
            sessions: Mutex::new(SessionTable::default()),
            settings,
        }
    }

    /// Locks the group state for reading.
    pub fn read(&self) -> RwLockReadGuard<'_, GroupState> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the group state for writing.
    pub fn write(&self) -> RwLockWriteGuard<'_, GroupState> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the tasks that follow the log, the lag and the role.
    pub fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Registers a connection, or returns nothing if there are too many.
    pub fn open_session(&self, pid: i32, secret: i32) -> Option<watch::Receiver<u64>> {
        let mut sessions = self.sessions();
        if sessions.cancels.len() as u64 >= self.settings.connections {
            sessions.refused += 1;
            return None;
        }
        let (sender, receiver) = watch::channel(0);
        sessions.cancels.insert(pid, (secret, sender));
        sessions.max_open = sessions.max_open.max(sessions.cancels.len() as u64);
        Some(receiver)
    }

    /// Forgets a connection.
    pub fn close_session(&self, pid: i32) {
        self.sessions().cancels.remove(&pid);
    }

    /// Returns the number of open connections.
    pub fn open_sessions(&self) -> u64 {
        self.sessions().cancels.len() as u64
    }

    /// Cancels the running statement of a connection if the key is right.
    pub fn cancel(&self, pid: i32, secret: i32) {
        let sessions = self.sessions();
        let Some((expected, sender)) = sessions.cancels.get(&pid) else { return };
        if *expected == secret {
            sender.send_modify(|count| *count += 1);
        }
    }

    /// Returns the row of `group_status()`.
    pub fn status(&self) -> SharedRow {
        let (max_open, refused) = {
            let sessions = self.sessions();
            (sessions.max_open, sessions.refused)
        };
        let max_running = self.gate.max_running.load(Ordering::Relaxed);
        let last_began = self.gate.last_began_ms.load(Ordering::Relaxed);
        let state = self.read();
        let replayed = match state.role {
            GroupRole::Primary => wall_millis(),
            GroupRole::Replica(_) => state.replayed_at_ms,
        };
        SharedRow::from([
            Value::text(state.role.name()),
            whole(state.term),
            Value::text(&state.position().to_string()),
            Value::text(&state.received().to_string()),
            whole(replayed),
            whole(state.lag_ms),
            whole(max_running),
            whole(max_open),
            whole(last_began),
            whole(refused),
        ])
    }

    /// Changes the server's place in its group and returns its position.
    ///
    /// # Errors
    ///
    /// Returns 55000 if the server's term does not allow the change.
    pub fn administer(&self, action: AdminAction) -> Result<LogPosition, SqlError> {
        let server: &SharedName = &self.settings.server;
        let mut state = self.write();
        let position = match action {
            AdminAction::Promote(term) => {
                let position = state.promote(term, wall_millis())?;
                log::info!("{server}: primary of term {term} from {position}");
                position
            }
            AdminAction::Follow(term, primary) => {
                let position = state.follow(term, primary)?;
                log::info!("{server}: replica of {primary} in term {term} at {position}");
                position
            }
            AdminAction::SetLag(lag_ms) => {
                state.lag_ms = lag_ms;
                state.position()
            }
        };
        drop(state);
        self.notify();
        Ok(position)
    }

    fn sessions(&self) -> MutexGuard<'_, SessionTable> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn whole(number: u64) -> Value {
    Value::Int(i64::try_from(number).unwrap_or(i64::MAX))
}
