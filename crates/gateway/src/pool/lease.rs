//! Lease of a connection to a target.

use {
    super::{
        connection::PooledConnection,
        target::{SlotHold, TargetPool},
    },
    banyansill_core::{gateway::AttemptEnd, position::LogPosition, transaction::TransactionStatus},
    banyansill_target::{StatementAnswer, StatementProtocol, TargetRequest},
    std::{pin::pin, rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Time for a rollback whose answer nobody waits for; a connection that takes longer is closed.
const ROLLBACK_LIMIT: Duration = Duration::from_secs(1);

/// Time without an answer after which a fresh connection is tried; most statements take a tenth.
const SUSPECT_AFTER: Duration = Duration::from_millis(300);

/// A connection that one session uses; dropping the lease frees a clean one and closes any other.
#[derive(Debug)]
pub(crate) struct TargetLease<P>
where
    P: StatementProtocol,
{
    pub(crate) pooled: PooledConnection<P>,
    hold: SlotHold<P>,
}

impl<P> TargetLease<P>
where
    P: StatementProtocol,
{
    pub(super) const fn new(pooled: PooledConnection<P>, hold: SlotHold<P>) -> Self {
        Self { pooled, hold }
    }

    /// Returns the pool that the connection belongs to.
    pub(crate) const fn pool(&self) -> &Rc<TargetPool<P>> {
        &self.hold.pool
    }

    /// Sends a request and returns its answer; keeps the time that the target took.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptEnd::Lost`] if no whole answer came.
    pub(crate) async fn run(
        &mut self,
        request: TargetRequest<'_>,
    ) -> Result<StatementAnswer, AttemptEnd> {
        let pool = Rc::clone(&self.hold.pool);
        let begun = pool.now();
        let mut answered = pin!(self.pooled.connection.run(request));
        let result = match timeout(SUSPECT_AFTER, &mut answered).await {
            Ok(result) => result,
            Err(_) => {
                pool.probe();
                answered.await
            }
        };
        match result {
            Ok(answer) => {
                let now = pool.now();
                pool.note_answer(now.since(begun), &answer, now);
                self.hold.ran = Some(now.since(begun));
                self.pooled.used = now;
                Ok(answer)
            }
            Err(error) => {
                log::debug!("target {}: {error}", pool.target);
                pool.probe();
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
        match answer {
            Ok(answer) => match &answer.outcome {
                Ok(_) if answer.status == TransactionStatus::InTransaction => Ok(answer),
                Ok(_) => Err(AttemptEnd::NotSent),
                Err((error, _)) => Err(AttemptEnd::Reported(*error)),
            },
            Err(_) => Err(AttemptEnd::NotSent),
        }
    }

    /// Counts the time of a transaction as unknown: it depends on the caller.
    pub(crate) const fn forget_time(&mut self) {
        self.hold.ran = None;
    }

    /// Rolls the transaction back and frees the connection, without waiting for it.
    pub(crate) fn roll_back(mut self) {
        if self.pooled.connection.is_clean() {
            return;
        }
        tokio::task::spawn_local(async move {
            let rollback = self.pooled.connection.run(TargetRequest::Rollback);
            // A connection without a whole answer is not clean and is closed, which rolls back too.
            let _ = timeout(ROLLBACK_LIMIT, rollback).await;
        });
    }
}

impl<P> Drop for TargetLease<P>
where
    P: StatementProtocol,
{
    fn drop(&mut self) {
        let closed = PooledConnection::closed(self.hold.pool.protocol().clone());
        let pooled = std::mem::replace(&mut self.pooled, closed);
        self.hold.pool.put_back(pooled);
    }
}
