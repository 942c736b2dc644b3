//! Transaction status of a session or a connection.

/// Transaction status after a statement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionStatus {
    /// Outside a transaction.
    #[default]
    Idle,
    /// Inside a transaction.
    InTransaction,
    /// Inside a failed transaction.
    Failed,
}
