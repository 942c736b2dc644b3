//! State of one caller's session.

use {
    super::{
        caller_stream::{CallerStream, SessionEnd},
        held_grant::HeldGrant,
        prepared::{CallerBatch, StatementStore},
        registry::CallerTicket,
        response,
        shared::{EntryShared, WorkerState},
        startup::CallerIdentity,
    },
    crate::link::{GrantRouter, TransactionStatus},
    banyansill_core::{floor::SessionFloor, names::SharedName, route::PrimaryFallback},
    bytes::Bytes,
    std::{rc::Rc, sync::Arc, time::Instant},
    tokio::sync::watch,
};

/// Bytes of a batch above which it is sent to the target before its Sync has come.
pub(super) const BATCH_LIMIT: usize = 1 << 20;

/// Where a session is with respect to transactions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TransactionState {
    /// Outside a transaction.
    Idle,
    /// BEGIN was answered by the proxy and not sent yet.
    Held {
        /// The Query message with the caller's BEGIN.
        begin: Bytes,
        /// Whether it declares the transaction READ ONLY.
        read_only: bool,
    },
    /// A target runs the transaction on the session's grant.
    Open,
    /// The transaction is lost; everything is refused until the caller ends it.
    Broken {
        /// Whether the caller still has to be told.
        untold: bool,
    },
}

/// State of one caller's session.
#[derive(Debug)]
pub(super) struct CallerSession<R> {
    pub(super) stream: CallerStream,
    pub(super) shared: Arc<EntryShared<R>>,
    pub(super) worker: Rc<WorkerState>,
    pub(super) identity: CallerIdentity,
    pub(super) ticket: CallerTicket,
    pub(super) store: StatementStore,
    pub(super) batch: CallerBatch,
    pub(super) floor: SessionFloor,
    /// Replica that served the latest request, if it was a replica.
    pub(super) last_replica: Option<SharedName>,
    pub(super) primary_fallback: PrimaryFallback,
    /// Start of the times in `primary_fallback`.
    pub(super) opened: Instant,
    pub(super) state: TransactionState,
    pub(super) grant: Option<HeldGrant>,
    /// Messages are dropped up to the next Sync, as after any error in the extended protocol.
    pub(super) skipping: bool,
    /// The Sync of the running exchange was seen.
    pub(super) sync_seen: bool,
    /// The target reported an error in the last exchange.
    pub(super) target_error: bool,
    pub(super) draining: watch::Receiver<bool>,
    /// A statement was run since the planned stop began.
    pub(super) served_last: bool,
}

impl<R> CallerSession<R>
where
    R: GrantRouter,
{
    /// Returns the status byte that ReadyForQuery shows the caller.
    pub(super) fn status(&self) -> u8 {
        match &self.state {
            TransactionState::Idle => response::STATUS_IDLE,
            TransactionState::Held { .. } => response::STATUS_OPEN,
            TransactionState::Broken { .. } => response::STATUS_FAILED,
            TransactionState::Open => match self.grant.as_ref().map(|grant| grant.status) {
                Some(TransactionStatus::Failed) => response::STATUS_FAILED,
                _ => response::STATUS_OPEN,
            },
        }
    }

    /// Sends the caller bytes that the proxy wrote.
    pub(super) async fn reply(&self, bytes: &[u8]) -> Result<(), SessionEnd> {
        self.stream.put(bytes)?;
        self.stream.relieve().await
    }
}
