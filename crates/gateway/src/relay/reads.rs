//! Reads that one entry runs for another on its own connection.

use {
    super::{client::RelayClients, server::relay_pool, state},
    crate::{
        attempt::{FailedAttempt, StatementBody},
        gateway::{Gateway, GatewayCore},
        pool::{ConnectionUser, LeaseFailure, PreparedShape},
        read::{FreshnessProof, ReadCall, read_directly},
    },
    banyansill_core::{
        directory::ProcessHost,
        failure::FailureKind,
        gateway::{AttemptEnd, RelayAttempt},
        names::SharedName,
        time::Micros,
        transaction::TransactionStatus,
    },
    banyansill_target::{StatementAccess, StatementAnswer, StatementProtocol},
    banyansill_wire::directory_v1::{
        self as v1, relay_client::RelayClient, relayed_read::Body, relayed_read_reply::Outcome,
    },
    std::rc::Rc,
    tokio::{sync::mpsc, time::timeout},
    tonic::Status,
};

/// Part of the deadline that is reserved for the response to travel back; regions are 20 ms apart.
const RELAY_RESPONSE_MARGIN: Micros = Micros::from_millis(30);

/// Entries that relay reads to a target.
#[derive(Clone, Debug)]
pub(crate) struct RelayList {
    pub(crate) entries: Vec<ProcessHost>,
    /// Whether they stand in for this entry's own path to the target, which failed.
    pub(crate) detour: bool,
}

/// Outcome of a read that was sent to another entry.
enum RelayedOutcome {
    /// The target responded.
    Answered(StatementAnswer),
    /// The entry refused the read; it was not sent to the target.
    Refused(LeaseFailure),
    /// The read was sent to the target, but no complete response arrived.
    Lost,
    /// The entry did not respond.
    Unresponsive(String),
}

impl RelayClients {
    /// Runs a read through the first entry that accepts it.
    ///
    /// # Errors
    ///
    /// Returns how the last attempt ended; a successful result may still report a failure of the target.
    pub(crate) async fn read<P>(
        &self,
        core: &GatewayCore<P>,
        relays: &RelayList,
        name: (&SharedName, &SharedName),
        call: &ReadCall,
    ) -> Result<StatementAnswer, FailedAttempt>
    where
        P: StatementProtocol,
    {
        let mut last = FailedAttempt::new(AttemptEnd::NotSent, FailureKind::Unreachable);
        let now = core.clock.now();
        let mut selection = self.health.borrow().select(&relays.entries, relays.detour, now);
        while let Some(attempt) =
            selection.next_attempt(call.queue_deadline.since(core.clock.now()))
        {
            let host = &attempt.entry.host;
            match self.request_read(core, name, call, &attempt).await {
                RelayedOutcome::Unresponsive(reason) => {
                    self.record_failure(&attempt.entry, &reason, core.clock.now());
                    selection.record_unresponsive();
                    continue;
                }
                RelayedOutcome::Answered(answer) => {
                    self.health.borrow_mut().record_response(host);
                    return Ok(answer);
                }
                RelayedOutcome::Refused(failure) => last = FailedAttempt::no_connection(failure),
                RelayedOutcome::Lost => {
                    return Err(FailedAttempt::new(AttemptEnd::Lost, FailureKind::ConnectionLost));
                }
            }
            self.health.borrow_mut().record_response(host);
            selection.record_refusal();
        }
        Err(last)
    }

    async fn request_read<P>(
        &self,
        core: &GatewayCore<P>,
        name: (&SharedName, &SharedName),
        call: &ReadCall,
        attempt: &RelayAttempt,
    ) -> RelayedOutcome
    where
        P: StatementProtocol,
    {
        let channel = match self.channel(&attempt.entry.address) {
            Ok(channel) => channel,
            Err(error) => return RelayedOutcome::Unresponsive(error.to_string()),
        };
        let request = to_wire(name, call, attempt.wait, core.clock.now());
        let mut client = RelayClient::new(channel);
        let head = timeout(attempt.response_timeout.as_duration(), client.read(request)).await;
        let mut replies = match head {
            Ok(Ok(head)) => head.into_inner(),
            Ok(Err(status)) => {
                self.channels.borrow_mut().remove(&attempt.entry.address);
                return RelayedOutcome::Unresponsive(status.to_string());
            }
            Err(_) => return RelayedOutcome::Unresponsive("no response in time".to_owned()),
        };
        let reply = replies.message().await;
        match reply.ok().flatten().and_then(|reply| reply.outcome) {
            Some(Outcome::Answer(answer)) => RelayedOutcome::Answered(answer_from_wire(answer)),
            Some(Outcome::Refused(refusal)) => RelayedOutcome::Refused(LeaseFailure {
                kind: FailureKind::from_name(&refusal.kind).unwrap_or(FailureKind::Unreachable),
                retry_after: Micros::from_millis(refusal.retry_after_ms.into()),
            }),
            Some(Outcome::Lost(_)) | None => RelayedOutcome::Lost,
        }
    }
}

/// Read of another entry, to be run on the thread of the pools.
#[derive(Debug)]
pub(crate) struct RelayedReadCall {
    pub(super) request: v1::RelayedRead,
    pub(super) reply: mpsc::Sender<Result<v1::RelayedReadReply, Status>>,
}

impl RelayedReadCall {
    pub(super) async fn serve<P>(self, gateway: Rc<Gateway<P>>)
    where
        P: StatementProtocol,
    {
        let outcome = match relay_pool(&gateway, &self.request.group, &self.request.target) {
            Ok(pool) => match from_wire(self.request, gateway.now()) {
                Some(call) => match read_directly(&pool, &call).await {
                    Ok(answer) => Outcome::Answer(answer_to_wire(answer)),
                    Err(failed) => failure_to_wire(failed),
                },
                None => {
                    Outcome::Refused(refusal(&LeaseFailure::new(FailureKind::ProtocolViolation)))
                }
            },
            Err(failure) => Outcome::Refused(refusal(&failure)),
        };
        // The other entry may no longer be waiting.
        let _ = self.reply.send(Ok(v1::RelayedReadReply { outcome: Some(outcome) })).await;
    }
}

/// Converts a failure to its wire form.
pub(super) fn refusal(failure: &LeaseFailure) -> v1::LeaseRefusal {
    let retry_after_ms = u32::try_from(failure.retry_after.as_millis()).unwrap_or(u32::MAX);
    v1::LeaseRefusal { kind: failure.kind.name().to_owned(), retry_after_ms }
}

fn to_wire(
    (group, target): (&SharedName, &SharedName),
    call: &ReadCall,
    wait: Micros,
    now: Micros,
) -> v1::RelayedRead {
    let millis = |span: Micros| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    let body = match &call.body {
        StatementBody::Text(text) => Body::Text(text.clone()),
        StatementBody::Prepared { shape, arguments } => Body::Prepared(v1::PreparedRead {
            shape: shape.shape.clone(),
            arguments: arguments.clone(),
        }),
    };
    let floor = match call.proof {
        FreshnessProof::Position(position) => Some(position.into()),
        FreshnessProof::Primary => None,
    };
    v1::RelayedRead {
        group: group.to_string(),
        target: target.to_string(),
        database: call.database.to_string(),
        priority: call.priority,
        wait_ms: millis(wait),
        left_ms: millis(call.deadline.since(now).since(RELAY_RESPONSE_MARGIN)),
        id: call.id.clone(),
        body: Some(body),
        floor,
        values: state::values_to_wire(&call.values),
        team: call.team.to_string(),
    }
}

fn from_wire(request: v1::RelayedRead, now: Micros) -> Option<ReadCall> {
    let body = match request.body? {
        Body::Text(text) => StatementBody::Text(text),
        Body::Prepared(prepared) => StatementBody::Prepared {
            shape: PreparedShape { access: StatementAccess::Read, shape: prepared.shape },
            arguments: prepared.arguments,
        },
    };
    let proof = match request.floor {
        Some(position) => FreshnessProof::Position(position.into()),
        None => FreshnessProof::Primary,
    };
    Some(ReadCall {
        id: request.id,
        body,
        values: state::values_from_wire(request.values),
        proof,
        database: request.database.into(),
        team: request.team.into(),
        priority: request.priority,
        queue_deadline: now + Micros::from_millis(request.wait_ms.into()),
        deadline: now + Micros::from_millis(request.left_ms.into()),
        detour: false,
        user: ConnectionUser::Peer,
    })
}

fn answer_to_wire(answer: StatementAnswer) -> v1::ReadAnswer {
    let (fault, text) = match answer.outcome {
        Ok(signature) => (v1::TargetFault::None, signature),
        Err((error, detail)) => (state::fault_to_wire(error), detail),
    };
    v1::ReadAnswer {
        rows: answer.rows,
        fault: fault.into(),
        text,
        position: answer.position.map(Into::into),
    }
}

fn answer_from_wire(answer: v1::ReadAnswer) -> StatementAnswer {
    let outcome = match state::fault_from_wire(answer.fault()) {
        None => Ok(answer.text),
        Some(error) => Err((error, answer.text)),
    };
    StatementAnswer {
        rows: answer.rows,
        outcome,
        status: TransactionStatus::Idle,
        position: answer.position.map(Into::into),
    }
}

fn failure_to_wire(failed: FailedAttempt) -> Outcome {
    match failed.end {
        AttemptEnd::NotSent => {
            let FailedAttempt { failure, .. } = failed;
            let failure = LeaseFailure { kind: failure.kind, retry_after: failure.retry_after };
            Outcome::Refused(refusal(&failure))
        }
        AttemptEnd::Reported(error) => Outcome::Answer(v1::ReadAnswer {
            rows: Vec::new(),
            fault: state::fault_to_wire(error).into(),
            text: failed.failure.detail,
            position: failed.position.map(Into::into),
        }),
        AttemptEnd::Lost => Outcome::Lost(v1::ReadLost {}),
    }
}
