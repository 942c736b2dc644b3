//! Reads outside transactions at one target, on a connection of this entry or of another one.

use {
    crate::{
        attempt::{AttemptResult, FailedAttempt, StatementBody, judge, run_body},
        pool::{LeaseOptions, SessionValues, SlotOptions, TargetLease, TargetPool},
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

/// What makes the answer of a read fresh enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadProof {
    /// The target's log has this position.
    Position(LogPosition),
    /// The target leads: the read runs inside a transaction that only a primary begins.
    Lead,
}

/// Read of a caller.
#[derive(Clone, Debug)]
pub(crate) struct ReadCall {
    /// Caller's identifier.
    pub(crate) id: Bytes,
    pub(crate) body: StatementBody,
    /// Values of the caller's session.
    pub(crate) values: SessionValues,
    pub(crate) proof: ReadProof,
    /// Database of the session.
    pub(crate) database: SharedName,
    /// Priority of its route.
    pub(crate) priority: u32,
    /// When the read stops waiting for a connection and a slot.
    pub(crate) patience: Micros,
    /// When its time is over.
    pub(crate) deadline: Micros,
    /// Whether another entry may be asked if this one cannot reach the target.
    pub(crate) detour: bool,
}

impl ReadCall {
    pub(crate) const fn slot(&self) -> SlotOptions<'_> {
        let Self { id, database, priority, patience, .. } = self;
        SlotOptions { request: id, database, priority: *priority, deadline: *patience }
    }
}

/// Runs a read at one target.
pub(crate) async fn read_at<P>(pool: &Rc<TargetPool<P>>, call: &ReadCall) -> AttemptResult
where
    P: StatementProtocol,
{
    match pool.lenders(call.detour) {
        Some(lenders) => pool.read_relayed(&lenders, call).await,
        None => read_here(pool, call).await,
    }
}

/// Runs a read on a connection of this entry.
pub(crate) async fn read_here<P>(pool: &Rc<TargetPool<P>>, call: &ReadCall) -> AttemptResult
where
    P: StatementProtocol,
{
    let wish = LeaseOptions {
        slot: call.slot(),
        values: &call.values,
        trusted_idle: Micros(u64::MAX),
        transaction: false,
        detour: call.detour,
    };
    let mut lease = pool.lease(&wish).await.map_err(FailedAttempt::unleased)?;
    let left = call.deadline.since(pool.now()).as_duration();
    let result = timeout(left, run(pool, &mut lease, call)).await;
    // An answer that is still to come is awaited, and an open transaction rolled back.
    lease.clean_up();
    result.unwrap_or_else(|_| Err(FailedAttempt::new(AttemptEnd::Lost, FailureKind::RunTimeout)))
}

async fn run<P>(
    pool: &TargetPool<P>,
    lease: &mut TargetLease<P>,
    call: &ReadCall,
) -> Result<StatementAnswer, FailedAttempt>
where
    P: StatementProtocol,
{
    let unreachable = |end| FailedAttempt::new(end, FailureKind::Unreachable);
    lease.pooled.apply_values(&call.values).await.map_err(unreachable)?;
    let floor = match call.proof {
        ReadProof::Position(position) => Some(position),
        ReadProof::Lead => {
            lease.begin(false, None).await.map_err(|end| match end {
                AttemptEnd::Reported(error) => FailedAttempt::new(end, error.failure()),
                _ => unreachable(end),
            })?;
            None
        }
    };
    let asked = pool.now();
    let answer = judge(run_body(lease, &call.id, &call.body, floor).await)?;
    if call.proof == ReadProof::Lead {
        pool.record_primary_position(asked, answer.position);
    }
    Ok(answer)
}
