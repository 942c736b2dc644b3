//! Conversion of session state and target errors to and from their wire form.

use {
    crate::pool::{LeaseStart, PreparedShape, SessionValues, TransactionStart},
    banyansill_core::{collections::FastMap, gateway::TargetError},
    banyansill_target::StatementAccess,
    banyansill_wire::directory_v1 as v1,
};

/// Names of the statements that are prepared on a connection, by shape.
pub(crate) type PreparedNames = FastMap<PreparedShape, String>;

pub(super) fn values_to_wire(values: &SessionValues) -> Vec<v1::SessionValue> {
    let mut wire = Vec::new();
    for (name, value) in values {
        wire.push(v1::SessionValue { name: name.clone(), value: value.clone() });
    }
    wire
}

pub(super) fn values_from_wire(wire: Vec<v1::SessionValue>) -> SessionValues {
    let mut values = SessionValues::new();
    for value in wire {
        values.insert(value.name, value.value);
    }
    values
}

pub(super) fn to_wire(values: &SessionValues, prepared: &PreparedNames) -> v1::ConnectionState {
    let mut state =
        v1::ConnectionState { values: values_to_wire(values), ..v1::ConnectionState::default() };
    for (shape, name) in prepared {
        state.prepared.push(prepared_to_wire(shape, name));
    }
    state
}

pub(super) fn from_wire(state: v1::ConnectionState) -> (SessionValues, PreparedNames) {
    let values = values_from_wire(state.values);
    let mut prepared = PreparedNames::default();
    for statement in state.prepared {
        let (shape, name) = prepared_from_wire(statement);
        prepared.insert(shape, name);
    }
    (values, prepared)
}

pub(super) fn start_to_wire(start: &LeaseStart) -> v1::LeaseStart {
    v1::LeaseStart {
        values: values_to_wire(&start.values),
        prepare: start.prepare.as_ref().map(|shape| prepared_to_wire(shape, "")),
        begin: start.begin.map(|TransactionStart { read_only, floor }| v1::TransactionStart {
            read_only,
            floor: floor.map(Into::into),
        }),
    }
}

pub(super) fn start_from_wire(start: v1::LeaseStart) -> LeaseStart {
    LeaseStart {
        values: values_from_wire(start.values),
        prepare: start.prepare.map(|statement| prepared_from_wire(statement).0),
        begin: start.begin.map(|begin| TransactionStart {
            read_only: begin.read_only,
            floor: begin.floor.map(Into::into),
        }),
    }
}

fn prepared_to_wire(shape: &PreparedShape, name: &str) -> v1::PreparedStatement {
    v1::PreparedStatement {
        name: name.to_owned(),
        writes: shape.access == StatementAccess::Write,
        shape: shape.shape.clone(),
    }
}

fn prepared_from_wire(statement: v1::PreparedStatement) -> (PreparedShape, String) {
    let access = if statement.writes { StatementAccess::Write } else { StatementAccess::Read };
    (PreparedShape { access, shape: statement.shape }, statement.name)
}

pub(super) const fn fault_to_wire(error: TargetError) -> v1::TargetFault {
    match error {
        TargetError::Busy => v1::TargetFault::Busy,
        TargetError::UnknownStatement => v1::TargetFault::UnknownStatement,
        TargetError::Lagging => v1::TargetFault::Lagging,
        TargetError::ReadOnly => v1::TargetFault::ReadOnly,
        TargetError::Misrouted => v1::TargetFault::Misrouted,
        TargetError::TooManyConnections => v1::TargetFault::TooManyConnections,
        TargetError::Aborted => v1::TargetFault::Aborted,
        TargetError::Failed => v1::TargetFault::Failed,
        TargetError::TimedOut => v1::TargetFault::TimedOut,
        TargetError::InDoubt => v1::TargetFault::InDoubt,
        TargetError::Malformed => v1::TargetFault::Malformed,
    }
}

/// Returns the failure that a target reported, or `None` if it reported none.
pub(super) const fn fault_from_wire(fault: v1::TargetFault) -> Option<TargetError> {
    match fault {
        v1::TargetFault::None => None,
        v1::TargetFault::Busy => Some(TargetError::Busy),
        v1::TargetFault::UnknownStatement => Some(TargetError::UnknownStatement),
        v1::TargetFault::Lagging => Some(TargetError::Lagging),
        v1::TargetFault::ReadOnly => Some(TargetError::ReadOnly),
        v1::TargetFault::Misrouted => Some(TargetError::Misrouted),
        v1::TargetFault::TooManyConnections => Some(TargetError::TooManyConnections),
        v1::TargetFault::Aborted => Some(TargetError::Aborted),
        v1::TargetFault::Failed => Some(TargetError::Failed),
        v1::TargetFault::TimedOut => Some(TargetError::TimedOut),
        v1::TargetFault::InDoubt => Some(TargetError::InDoubt),
        v1::TargetFault::Malformed => Some(TargetError::Malformed),
    }
}
