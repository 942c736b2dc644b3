//! State of a caller's session.

use {
    super::{
        caller_stream::{CallerStream, SessionEnd},
        held_grant::HeldGrant,
        prepared::{CallerBatch, StatementStore},
        registry::CallerRegistration,
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

/// Size of a batch, in bytes, above which it is sent to the target before its Sync arrives.
pub(super) const BATCH_SIZE_LIMIT: usize = 1 << 20;

/// Transaction state of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TransactionState {
    /// Outside a transaction.
    Idle,
    /// The proxy has confirmed BEGIN to the caller but has not sent it to a target yet.
    Deferred {
        /// The Query message with the caller's BEGIN.
        begin: Bytes,
        /// Whether it declares the transaction READ ONLY.
        read_only: bool,
    },
    /// A target runs the transaction on the session's grant.
    Open,
    /// The transaction is lost; all statements are rejected until the caller ends it.
    Lost {
        /// Whether the loss has not been reported to the caller yet.
        unreported: bool,
    },
}

/// State of one caller's session.
#[derive(Debug)]
pub(super) struct CallerSession<R> {
    pub(super) stream: CallerStream,
    pub(super) shared: Arc<EntryShared<R>>,
    pub(super) worker: Rc<WorkerState>,
    pub(super) identity: CallerIdentity,
    pub(super) registration: CallerRegistration,
    pub(super) store: StatementStore,
    pub(super) batch: CallerBatch,
    pub(super) floor: SessionFloor,
    /// Replica that served the latest request; `None` if it was the primary.
    pub(super) last_replica: Option<SharedName>,
    pub(super) primary_fallback: PrimaryFallback,
    /// Start of the session, from which the times in `primary_fallback` are measured.
    pub(super) opened_at: Instant,
    pub(super) state: TransactionState,
    pub(super) grant: Option<HeldGrant>,
    /// Whether messages are discarded up to the next Sync, as after any error in the extended protocol.
    pub(super) skip_to_sync: bool,
    /// Whether the Sync of the running exchange was received.
    pub(super) sync_received: bool,
    /// Whether the target reported an error in the last exchange.
    pub(super) target_error: bool,
    pub(super) draining: watch::Receiver<bool>,
    /// Whether a statement was run since the planned stop began.
    pub(super) served_while_draining: bool,
}

impl<R> CallerSession<R>
where
    R: GrantRouter,
{
    /// Returns the transaction status byte for ReadyForQuery.
    pub(super) fn status(&self) -> u8 {
        match &self.state {
            TransactionState::Idle => response::STATUS_IDLE,
            TransactionState::Deferred { .. } => response::STATUS_OPEN,
            TransactionState::Lost { .. } => response::STATUS_FAILED,
            TransactionState::Open => match self.grant.as_ref().map(|grant| grant.status) {
                Some(TransactionStatus::Failed) => response::STATUS_FAILED,
                _ => response::STATUS_OPEN,
            },
        }
    }

    /// Sends messages of the proxy to the caller.
    pub(super) async fn reply(&self, bytes: &[u8]) -> Result<(), SessionEnd> {
        self.stream.write(bytes)?;
        self.stream.wait_writable().await
    }
}
