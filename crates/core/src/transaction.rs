//! Transaction status of a session or a connection.

/// Transaction status after a statement, as PostgreSQL reports it in `ReadyForQuery`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionStatus {
    /// Outside a transaction block.
    #[default]
    Idle,
    /// Inside a transaction block.
    InTransaction,
    /// Inside a transaction block that has failed and must be rolled back.
    Failed,
}
