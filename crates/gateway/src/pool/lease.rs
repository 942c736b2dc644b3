//! Exclusive use of a pooled connection by one session.

use {
    super::{
        connection::PooledConnection,
        slot::{SlotGuard, SlotKind, SlotOptions},
        start::{LeaseStart, TransactionStart},
        target::{LeaseFailure, TargetPool},
    },
    banyansill_core::{gateway::AttemptEnd, position::LogPosition, transaction::TransactionStatus},
    banyansill_target::{StatementAnswer, StatementProtocol, TargetRequest},
    bytes::Bytes,
    std::{pin::pin, rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Maximum wait for the outstanding answers of an abandoned lease; after it the connection is closed.
///
/// Waiting pays off because a new connection occupies a slot of the target for 12 ms, which an overloaded
/// target can least spare. The wait is bounded because a lost answer never arrives.
const CLEANUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval without an answer at which the target may be probed with a new connection; most statements take
/// a tenth of it.
const RESPONSE_PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Lease of a connection by one session; dropping it returns a clean connection to the pool and closes any
/// other.
#[derive(Debug)]
pub(crate) struct TargetLease<P>
where
    P: StatementProtocol,
{
    pub(crate) pooled: PooledConnection<P>,
    pool: Rc<TargetPool<P>>,
    /// Slot of the running statement; `None` between the statements of a transaction.
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

    /// Returns the pool that the connection was leased from.
    pub(crate) const fn pool(&self) -> &Rc<TargetPool<P>> {
        &self.pool
    }

    /// Waits for a slot for the next statement of a transaction.
    ///
    /// # Errors
    ///
    /// Returns why no slot was granted.
    pub(crate) async fn take_slot(
        &mut self,
        options: &SlotOptions<'_>,
    ) -> Result<(), LeaseFailure> {
        if self.slot.is_none() {
            self.slot = Some(self.pool.wait_for_slot(options, SlotKind::Continued).await?);
        }
        Ok(())
    }

    /// Releases the slot and keeps the connection.
    pub(crate) fn release_slot(&mut self) {
        self.slot = None;
    }

    /// Sends a request and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptEnd::Lost`] if no complete answer arrived.
    pub(crate) async fn run(
        &mut self,
        request: TargetRequest<'_>,
    ) -> Result<StatementAnswer, AttemptEnd> {
        let begun = self.pool.now();
        let relayed = self.pooled.is_relayed();
        if let Some(slot) = &mut self.slot {
            slot.sent_at = Some(begun);
        }
        let mut answered = pin!(self.pooled.connection.run(request));
        let result = loop {
            match timeout(RESPONSE_PROBE_INTERVAL, &mut answered).await {
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
                self.pooled.last_used = now;
                Ok(answer)
            }
            Err(error) => {
                log::debug!("target {}: {error}", self.pool.target);
                self.pool.probe();
                Err(AttemptEnd::Lost)
            }
        }
    }

    /// Sets the values, prepares the statement and begins the transaction that a session needs.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended; no statement of a caller was sent.
    pub(crate) async fn start(&mut self, start: &LeaseStart) -> Result<(), AttemptEnd> {
        self.pooled.apply_values(&start.values).await?;
        if let Some(shape) = &start.prepare {
            self.pooled.prepare(shape).await?;
        }
        if let Some(TransactionStart { read_only, floor }) = start.begin {
            self.begin(read_only, floor).await?;
        }
        Ok(())
    }

    /// Begins a transaction on the target, unless the entry that lends the connection has begun it.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended; no statement of a caller was sent.
    pub(crate) async fn begin(
        &mut self,
        read_only: bool,
        floor: Option<LogPosition>,
    ) -> Result<StatementAnswer, AttemptEnd> {
        let status = self.pooled.connection.status();
        if self.pooled.begun_at().is_some() && status == TransactionStatus::InTransaction {
            let position = self.pooled.connection.position();
            return Ok(StatementAnswer {
                rows: Vec::new(),
                outcome: Ok(Bytes::new()),
                status,
                position,
            });
        }
        let answer = self.run(TargetRequest::Begin { read_only, floor }).await;
        if let Some(slot) = &mut self.slot {
            // The time of a BEGIN does not predict the time of the statements that follow.
            slot.sent_at = None;
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

    /// Ends the lease without waiting: a background task receives outstanding answers and rolls back an open
    /// transaction.
    pub(crate) fn clean_up(mut self) {
        if self.pooled.connection.is_clean() || self.pooled.connection.is_closed() {
            return;
        }
        if self.pooled.connection.outstanding() == 0 {
            self.slot = None;
        }
        tokio::task::spawn_local(async move {
            // After a timeout the connection is not clean and is closed, which rolls back too.
            let _ = timeout(CLEANUP_TIMEOUT, self.drain_answers()).await;
        });
    }

    async fn drain_answers(&mut self) {
        let connection = &mut self.pooled.connection;
        while connection.outstanding() > 0 {
            if connection.answer().await.is_err() {
                return;
            }
        }
        if connection.status() != TransactionStatus::Idle {
            // Without an answer the connection is not clean and is closed.
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
