//! Interface between the replicated log and the services that use it.

use {
    banyansill_core::state_machine::StateMachine, std::future::Future, thiserror::Error,
    tokio::sync::watch,
};

/// Why a command was not answered.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// This replica is not the leader; `leader` is the leader's tonic address if it is known.
    #[error("not the leader")]
    NotLeader {
        /// IP address and port of the leader.
        leader: Option<String>,
    },
    /// Leadership was lost after the command was sent; it may still be committed.
    #[error("leadership lost; the outcome is unknown")]
    Unknown,
    /// No majority answered in time.
    #[error("no majority")]
    NoMajority,
    /// The replica has stopped, for example after a disk failure.
    #[error("replica stopped: {0}")]
    Stopped(String),
}

/// Replica's view of its role, republished on each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogStatus {
    /// Consensus term.
    pub term: u64,
    /// Whether this replica is the leader.
    pub leading: bool,
    /// The leader's tonic address, if known.
    pub leader: Option<String>,
    /// Highest applied index.
    pub applied: u64,
}

/// Handle of a replicated log with its state machine.
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

    /// Confirms leadership by a quorum round that starts after this call, and waits until the state
    /// machine has applied everything committed before it; returns the applied index.
    ///
    /// Concurrent calls share rounds.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica does not lead or no majority is reached.
    fn confirm(&self) -> impl Future<Output = Result<u64, LogError>> + Send;

    /// Runs a function on the current state.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica has stopped.
    fn inspect<T, F>(&self, function: F) -> impl Future<Output = Result<T, LogError>> + Send
    where
        T: Send + 'static,
        F: FnOnce(&Self::Machine) -> T + Send + 'static;

    /// Returns the replica's role; the receiver sees each change of role and of the applied index.
    fn status(&self) -> watch::Receiver<LogStatus>;
}
