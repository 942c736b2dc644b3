//! Interface of a replicated state machine.

use thiserror::Error;

/// Error for a snapshot that cannot be decoded, with the reason.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("corrupt snapshot: {0}")]
pub struct SnapshotError(pub String);

/// State that every replica of the log builds by applying the same commands in the same order.
///
/// `apply` must be deterministic: its result depends only on the state and its arguments, so that
/// the replicas stay identical.
pub trait StateMachine: Send + 'static {
    /// Result of a command, returned to its proposer.
    type Response: Clone + Send + 'static;

    /// Applies one committed command and returns the response for its proposer.
    ///
    /// `index` is the command's index in the replicated log; it increases with every call.
    fn apply(&mut self, index: u64, command: &[u8]) -> Self::Response;

    /// Serializes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state with one that `snapshot` has serialized.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid snapshot; the state is then unchanged.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError>;
}
