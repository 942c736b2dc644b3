//! Lease of a connection to a target.

use {
    super::{
        connection::PooledConnection,
        slot::{SlotGuard, SlotKind, SlotOptions},
        target::{LeaseFailure, TargetPool},
    },
    banyansill_core::{gateway::AttemptEnd, position::LogPosition, transaction::TransactionStatus},
    banyansill_target::{StatementAnswer, StatementProtocol, TargetRequest},
    std::{pin::pin, rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Time for answers that nobody waits for; a connection that takes longer is closed. A fresh one costs
/// the target 12 ms of a slot, which a full target has least to spare; an answer that was lost never
/// comes.
const SETTLE_LIMIT: Duration = Duration::from_millis(500);

/// Time without an answer after which a fresh connection is tried; most statements take a tenth.
const SUSPECT_AFTER: Duration = Duration::from_millis(300);

/// A connection that one session uses; dropping the lease frees a clean one and closes any other.
#[derive(Debug)]
pub(crate) struct TargetLease<P>
where
    P: StatementProtocol,
{
    pub(crate) pooled: PooledConnection<P>,
    pool: Rc<TargetPool<P>>,
    /// Slot of the statement that runs.
    slot: Option<SlotGuard<P>>,
}

impl<P> TargetLease<P>
where
    P: StatementProtocol,
{
    pub(super) fn new(pooled: PooledConnection<P>, slot: SlotGuard<P>) -> Self {
        let pool = Rc::clone(&slot.pool);
        Self { pooled, pool, slot: Some(slot) }
    }

    /// Returns the pool that the connection belongs to.
    pub(crate) const fn pool(&self) -> &Rc<TargetPool<P>> {
        &self.pool
    }

    /// Waits for a slot for the next statement of a transaction.
    ///
    /// # Errors
    ///
    /// Returns why there is none in time.
    pub(crate) async fn take_slot(&mut self, wish: &SlotOptions<'_>) -> Result<(), LeaseFailure> {
        if self.slot.is_none() {
            self.slot = Some(self.pool.wait_for_slot(wish, SlotKind::Continued).await?);
        }
        Ok(())
    }

    /// Gives the slot back and keeps the connection.
    pub(crate) fn release_slot(&mut self) {
        self.slot = None;
    }

    /// Sends a request and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptEnd::Lost`] if no whole answer came.
    pub(crate) async fn run(
        &mut self,
        request: TargetRequest<'_>,
    ) -> Result<StatementAnswer, AttemptEnd> {
        let begun = self.pool.now();
        let relayed = self.pooled.is_relayed();
        if let Some(slot) = &mut self.slot {
            slot.asked = Some(begun);
        }
        let mut answered = pin!(self.pooled.connection.run(request));
        let result = loop {
            match timeout(SUSPECT_AFTER, &mut answered).await {
                Ok(result) => break result,
                Err(_) => self.pool.probe_if_silent(),
            }
        };
        match result {
            Ok(answer) => {
                let now = self.pool.now();
                self.pool.record_answer(now.since(begun), &answer, relayed, now);
                if let Some(slot) = &mut self.slot {
                    slot.record_answer(now.since(begun));
                }
                self.pooled.used = now;
                Ok(answer)
            }
            Err(error) => {
                log::debug!("target {}: {error}", self.pool.target);
                self.pool.probe();
                Err(AttemptEnd::Lost)
            }
        }
    }

    /// Begins a transaction on the target.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended; nothing of a caller was sent.
    pub(crate) async fn begin(
        &mut self,
        read_only: bool,
        floor: Option<LogPosition>,
    ) -> Result<StatementAnswer, AttemptEnd> {
        let answer = self.run(TargetRequest::Begin { read_only, floor }).await;
        if let Some(slot) = &mut self.slot {
            // Its time says nothing of the statements that follow.
            slot.asked = None;
            slot.ran = None;
        }
        match answer {
            Ok(answer) => match &answer.outcome {
                Ok(_) if answer.status == TransactionStatus::InTransaction => Ok(answer),
                Ok(_) => Err(AttemptEnd::NotSent),
                Err((error, _)) => Err(AttemptEnd::Reported(*error)),
            },
            Err(_) => Err(AttemptEnd::NotSent),
        }
    }

    /// Frees the connection without waiting: takes outstanding answers and rolls an open transaction
    /// back.
    pub(crate) fn clean_up(mut self) {
        if self.pooled.connection.is_clean() || self.pooled.connection.is_closed() {
            return;
        }
        if self.pooled.connection.outstanding() == 0 {
            self.slot = None;
        }
        tokio::task::spawn_local(async move {
            // A connection without a whole answer is not clean and is closed, which rolls back too.
            let _ = timeout(SETTLE_LIMIT, self.take_answers()).await;
        });
    }

    async fn take_answers(&mut self) {
        let connection = &mut self.pooled.connection;
        while connection.outstanding() > 0 {
            if connection.answer().await.is_err() {
                return;
            }
        }
        if connection.status() != TransactionStatus::Idle {
            // Without an answer the connection is closed.
            let _ = connection.run(TargetRequest::Rollback).await;
        }
    }
}

impl<P> Drop for TargetLease<P>
where
    P: StatementProtocol,
{
    fn drop(&mut self) {
        let closed = PooledConnection::closed(self.pool.protocol().clone());
        let pooled = std::mem::replace(&mut self.pooled, closed);
        self.slot = None;
        self.pool.put_back(pooled);
    }
}
