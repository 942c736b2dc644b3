//! Interface of a replicated state machine.

use thiserror::Error;

/// A snapshot that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("corrupt snapshot: {0}")]
pub struct SnapshotError(pub String);

/// State that every control replica rebuilds by applying the same commands in the same order.
///
/// `apply` depends on nothing but the state and the command, so that replicas stay equal.
pub trait StateMachine: Send + 'static {
    /// Answer to the proposer of a command.
    type Response: Clone + Send + 'static;

    /// Applies one committed command and returns the answer to its proposer.
    ///
    /// `index` is the command's position in the replicated log and only rises.
    fn apply(&mut self, index: u64, command: &[u8]) -> Self::Response;

    /// Returns the whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by one that `snapshot` returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a snapshot; the state is then unchanged.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError>;
}
