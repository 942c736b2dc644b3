//! Interface between the replicated log and the services that use it.

use {
    banyansill_core::state_machine::StateMachine, std::future::Future, thiserror::Error,
    tokio::sync::watch,
};

/// Reason why a request to the replicated log failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// This replica is not the leader.
    #[error("not the leader")]
    NotLeader {
        /// IP address and port of the leader's tonic listener, if known.
        leader: Option<String>,
    },
    /// This replica lost its leadership before the commit; the command may still be committed.
    #[error("leadership lost; the outcome is unknown")]
    OutcomeUnknown,
    /// No majority replied in time, or the leader has too many uncommitted entries.
    #[error("no majority")]
    NoMajority,
    /// The replica has stopped, for example after a disk failure.
    #[error("replica stopped: {0}")]
    Stopped(String),
}

/// Role and progress of a replica, published on each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogStatus {
    /// Consensus term.
    pub term: u64,
    /// Whether this replica is the leader.
    pub leading: bool,
    /// IP address and port of the leader's tonic listener, if known.
    pub leader: Option<String>,
    /// Index of the last applied entry.
    pub applied: u64,
    /// Whether a write waits because the disk is full.
    pub disk_full: bool,
}

/// Handle of a replicated log and its state machine.
pub trait CommandLog: Clone + Send + Sync + 'static {
    /// State machine that the log drives.
    type Machine: StateMachine;

    /// Commits a command on a majority and returns its index and the machine's response.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica does not lead or no majority is reached.
    fn propose(
        &self,
        command: Vec<u8>,
    ) -> impl Future<Output = Result<(u64, <Self::Machine as StateMachine>::Response), LogError>> + Send;

    /// Confirms leadership by a round of messages to a majority that starts after this call, and waits
    /// until the state machine has applied all entries committed before it; returns the applied index.
    ///
    /// Concurrent calls share rounds.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica does not lead or no majority is reached.
    fn confirm(&self) -> impl Future<Output = Result<u64, LogError>> + Send;

    /// Runs a function on the locally applied state, which may lag behind the leader's.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica has stopped or its disk has failed.
    fn inspect<T, F>(&self, function: F) -> impl Future<Output = Result<T, LogError>> + Send
    where
        T: Send + 'static,
        F: FnOnce(&Self::Machine) -> T + Send + 'static;

    /// Returns a receiver of the replica's role and applied index, notified of each change.
    fn status(&self) -> watch::Receiver<LogStatus>;
}
