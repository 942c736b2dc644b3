//! Conversions between the messages of a grant and the gRPC protocol between entries.

use {
    crate::link::{
        GrantAccess, GrantRequest, LinkFailure, LinkInput, LinkOutput, TransactionStatus,
    },
    banyansill_core::{failure::FailureKind, time::Micros},
    banyansill_wire::v1::{self, broker_input::Input, broker_output::Output},
};

pub(super) fn request_to_wire(request: &GrantRequest) -> v1::GrantRequest {
    let access = match request.access {
        GrantAccess::Read => v1::Access::Read,
        GrantAccess::Write => v1::Access::Write,
    };
    v1::GrantRequest {
        database: request.database.to_string(),
        server: request.server.to_string(),
        epoch: request.epoch,
        term: request.term,
        kind: request.kind.to_string(),
        application: request.application.to_string(),
        floor: request.floor.map(Into::into),
        access: access.into(),
        // At least one millisecond, because zero would mean that no time is left.
        deadline_ms: millis(request.deadline).max(1),
        estimate_us: request.estimate.map_or(0, |estimate| estimate.0),
        replica_ack: request.replica_ack,
        priority: request.priority,
        fingerprint: request.fingerprint,
        max_age_ms: request.max_age.map(millis),
    }
}

pub(super) fn request_from_wire(request: v1::GrantRequest) -> GrantRequest {
    let access = match request.access() {
        v1::Access::Write => GrantAccess::Write,
        v1::Access::Read | v1::Access::Unspecified => GrantAccess::Read,
    };
    GrantRequest {
        access,
        database: request.database.into(),
        server: request.server.into(),
        epoch: request.epoch,
        term: request.term,
        kind: request.kind.into(),
        application: request.application.into(),
        floor: request.floor.map(Into::into),
        max_age: request.max_age_ms.map(|age| Micros::from_millis(age.into())),
        deadline: Micros::from_millis(request.deadline_ms.into()),
        estimate: (request.estimate_us > 0).then_some(Micros(request.estimate_us)),
        replica_ack: request.replica_ack,
        priority: request.priority,
        fingerprint: request.fingerprint,
    }
}

pub(super) fn input_to_wire(input: LinkInput) -> v1::BrokerInput {
    let input = match input {
        LinkInput::Data(data) => Input::Data(data),
        LinkInput::Cancel => Input::Cancel(v1::CancelRequest {}),
        LinkInput::Taint => Input::Taint(v1::TaintNotice {}),
        LinkInput::Release => Input::Release(v1::ReleaseRequest {}),
    };
    v1::BrokerInput { input: Some(input) }
}

/// Returns the message of a session, or `None` for one that is invalid in a running grant.
pub(super) fn input_from_wire(input: v1::BrokerInput) -> Option<LinkInput> {
    match input.input? {
        Input::Open(_) => None,
        Input::Data(data) => Some(LinkInput::Data(data)),
        Input::Cancel(_) => Some(LinkInput::Cancel),
        Input::Taint(_) => Some(LinkInput::Taint),
        Input::Release(_) => Some(LinkInput::Release),
    }
}

pub(super) fn output_to_wire(output: LinkOutput) -> v1::BrokerOutput {
    let output = match output {
        LinkOutput::Granted { waited } => Output::Granted(v1::GrantReply { waited_us: waited.0 }),
        LinkOutput::Data(data) => Output::Data(data),
        LinkOutput::Ready { status, position } => {
            let status = match status {
                TransactionStatus::Idle => v1::TransactionStatus::Idle,
                TransactionStatus::InTransaction => v1::TransactionStatus::InTransaction,
                TransactionStatus::Failed => v1::TransactionStatus::Failed,
            };
            let position = position.map(Into::into);
            Output::Ready(v1::ReadyNotice { status: status.into(), position })
        }
        LinkOutput::Refused(failure) => Output::Refused(failure_to_wire(failure)),
        LinkOutput::Lost(failure) => Output::Lost(failure_to_wire(failure)),
    };
    v1::BrokerOutput { output: Some(output) }
}

/// Returns the broker's message, or `None` for one that this version does not know.
pub(super) fn output_from_wire(output: v1::BrokerOutput) -> Option<LinkOutput> {
    let output = match output.output? {
        Output::Granted(reply) => LinkOutput::Granted { waited: Micros(reply.waited_us) },
        Output::Data(data) => LinkOutput::Data(data),
        Output::Ready(notice) => {
            let status = match notice.status() {
                v1::TransactionStatus::Idle => TransactionStatus::Idle,
                v1::TransactionStatus::InTransaction => TransactionStatus::InTransaction,
                v1::TransactionStatus::Failed => TransactionStatus::Failed,
                v1::TransactionStatus::Unspecified => return None,
            };
            LinkOutput::Ready { status, position: notice.position.map(Into::into) }
        }
        Output::Refused(notice) => {
            LinkOutput::Refused(failure_from_wire(notice, FailureKind::Unreachable))
        }
        Output::Lost(notice) => {
            LinkOutput::Lost(failure_from_wire(notice, FailureKind::ConnectionLost))
        }
    };
    Some(output)
}

fn failure_to_wire(failure: LinkFailure) -> v1::FailureNotice {
    v1::FailureNotice {
        kind: failure.kind.name().to_owned(),
        retry_after_ms: millis(failure.retry_after),
        detail: failure.detail,
    }
}

fn failure_from_wire(notice: v1::FailureNotice, unknown: FailureKind) -> LinkFailure {
    LinkFailure {
        kind: FailureKind::from_name(&notice.kind).unwrap_or(unknown),
        retry_after: Micros::from_millis(notice.retry_after_ms.into()),
        detail: notice.detail,
    }
}

fn millis(span: Micros) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
