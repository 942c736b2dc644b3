//! Reads outside transactions on one target, over a connection of this entry or of another one.

use {
    crate::{
        attempt::{AttemptResult, FailedAttempt, StatementBody, attempt_result, run_body},
        pool::{ConnectionUser, LeaseOptions, SessionValues, SlotOptions, TargetLease, TargetPool},
    },
    banyansill_core::{
        failure::FailureKind, gateway::AttemptEnd, names::SharedName, position::LogPosition,
        time::Micros,
    },
    banyansill_target::{StatementAnswer, StatementProtocol},
    bytes::Bytes,
    std::rc::Rc,
    tokio::time::timeout,
};

/// Condition that proves that the result of a read is fresh enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FreshnessProof {
    /// The target's log has reached this position.
    Position(LogPosition),
    /// The target is the primary: the read runs inside a read-write transaction, which only a primary begins.
    Primary,
}

/// Read of a caller.
#[derive(Clone, Debug)]
pub(crate) struct ReadCall {
    /// Identifier that the caller gave to the request.
    pub(crate) id: Bytes,
    pub(crate) body: StatementBody,
    /// Values of the caller's session.
    pub(crate) values: SessionValues,
    pub(crate) proof: FreshnessProof,
    /// Database of the session.
    pub(crate) database: SharedName,
    /// Team of the session; empty if it has none.
    pub(crate) team: SharedName,
    /// Priority of the route.
    pub(crate) priority: u32,
    /// Time until which the read waits for a connection and a slot.
    pub(crate) queue_deadline: Micros,
    /// Time by which the read must end.
    pub(crate) deadline: Micros,
    /// Whether another entry may relay the read if this one cannot reach the target.
    pub(crate) detour: bool,
    pub(crate) user: ConnectionUser,
}

impl ReadCall {
    pub(crate) const fn slot(&self) -> SlotOptions<'_> {
        let Self { id, database, team, priority, queue_deadline, .. } = self;
        SlotOptions { request: id, database, team, priority: *priority, deadline: *queue_deadline }
    }
}

/// Runs a read on one target, over this entry's own connection or through a relay.
pub(crate) async fn read_on<P>(pool: &Rc<TargetPool<P>>, call: &ReadCall) -> AttemptResult
where
    P: StatementProtocol,
{
    match pool.lenders(&call.team, call.detour) {
        Some(relays) => pool.read_relayed(&relays, call).await,
        None => read_directly(pool, call).await,
    }
}

/// Runs a read over a connection of this entry.
pub(crate) async fn read_directly<P>(pool: &Rc<TargetPool<P>>, call: &ReadCall) -> AttemptResult
where
    P: StatementProtocol,
{
    let lease_request = LeaseOptions {
        slot: call.slot(),
        values: &call.values,
        prepare: None,
        begin: None,
        trusted_idle: Micros(u64::MAX),
        transaction: false,
        detour: call.detour,
        user: call.user,
    };
    let mut lease = pool.lease(&lease_request).await.map_err(FailedAttempt::no_connection)?;
    let left = call.deadline.since(pool.now()).as_duration();
    let mut sent = false;
    let result = timeout(left, run(pool, &mut lease, call, &mut sent)).await;
    // Awaits an outstanding response and rolls back an open transaction.
    lease.clean_up();
    result.unwrap_or_else(|_| Err(FailedAttempt::timed_out(sent)))
}

async fn run<P>(
    pool: &TargetPool<P>,
    lease: &mut TargetLease<P>,
    call: &ReadCall,
    sent: &mut bool,
) -> Result<StatementAnswer, FailedAttempt>
where
    P: StatementProtocol,
{
    let unreachable = |end| FailedAttempt::new(end, FailureKind::Unreachable);
    lease.pooled.apply_values(&call.values).await.map_err(unreachable)?;
    let floor = match call.proof {
        FreshnessProof::Position(position) => Some(position),
        FreshnessProof::Primary => {
            lease.begin(false, None).await.map_err(|end| match end {
                AttemptEnd::Reported(error) => FailedAttempt::new(end, error.failure()),
                _ => unreachable(end),
            })?;
            None
        }
    };
    let sent_at = pool.now();
    let answer = attempt_result(run_body(lease, &call.id, &call.body, floor, sent).await)?;
    if call.proof == FreshnessProof::Primary {
        pool.record_primary_position(sent_at, answer.position);
    }
    Ok(answer)
}
