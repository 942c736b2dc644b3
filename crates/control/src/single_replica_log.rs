//! Command log of a single replica in memory, for trials and tests.

use {
    crate::command_log::{CommandLog, LogError, LogStatus},
    banyansill_core::state_machine::StateMachine,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::watch,
};

struct SingleReplicaState<M> {
    machine: M,
    index: u64,
}

/// Command log that leads unless `set_role` changes it, and keeps nothing across restarts.
///
/// Clones share the state.
pub struct SingleReplicaLog<M> {
    state: Arc<Mutex<SingleReplicaState<M>>>,
    status: Arc<watch::Sender<LogStatus>>,
}

impl<M> Clone for SingleReplicaLog<M> {
    fn clone(&self) -> Self {
        Self { state: Arc::clone(&self.state), status: Arc::clone(&self.status) }
    }
}

impl<M> SingleReplicaLog<M>
where
    M: StateMachine,
{
    /// Creates an empty log that leads; `address` is the replica's own tonic address.
    #[must_use]
    pub fn new(machine: M, address: Option<String>) -> Self {
        Self::resumed(machine, 0, address)
    }

    /// Creates a log that leads and continues with a machine that has applied everything up to `index`.
    #[must_use]
    pub fn resumed(machine: M, index: u64, address: Option<String>) -> Self {
        let status =
            LogStatus { term: 1, leading: true, leader: address, applied: index, disk_full: false };
        let (status, _) = watch::channel(status);
        let state = SingleReplicaState { machine, index };
        Self { state: Arc::new(Mutex::new(state)), status: Arc::new(status) }
    }

    /// Sets the role that the log reports; a log that does not lead rejects commands.
    pub fn set_role(&self, term: u64, leading: bool, leader: Option<String>) {
        self.status.send_modify(|status| {
            status.term = term;
            status.leading = leading;
            status.leader = leader;
        });
    }

    fn check_leading(&self) -> Result<(), LogError> {
        let status = self.status.borrow();
        if status.leading {
            return Ok(());
        }
        Err(LogError::NotLeader { leader: status.leader.clone() })
    }

    fn lock(&self) -> MutexGuard<'_, SingleReplicaState<M>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<M> CommandLog for SingleReplicaLog<M>
where
    M: StateMachine,
{
    type Machine = M;

    async fn propose(&self, command: Vec<u8>) -> Result<(u64, M::Response), LogError> {
        self.check_leading()?;
        let (index, response) = {
            let mut state = self.lock();
            state.index += 1;
            let index = state.index;
            (index, state.machine.apply(index, &command))
        };
        self.status.send_modify(|status| status.applied = status.applied.max(index));
        Ok((index, response))
    }

    async fn confirm(&self) -> Result<u64, LogError> {
        self.check_leading()?;
        Ok(self.lock().index)
    }

    async fn inspect<T, F>(&self, function: F) -> Result<T, LogError>
    where
        T: Send + 'static,
        F: FnOnce(&M) -> T + Send + 'static,
    {
        Ok(function(&self.lock().machine))
    }

    fn status(&self) -> watch::Receiver<LogStatus> {
        self.status.subscribe()
    }
}
