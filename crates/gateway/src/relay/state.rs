//! Conversion of the session state of a connection.

use {
    crate::pool::{PreparedShape, SessionValues},
    banyansill_core::collections::FastMap,
    banyansill_target::StatementAccess,
    banyansill_wire::directory_v1 as v1,
};

/// Names of the statements prepared on a connection.
pub(crate) type PreparedNames = FastMap<PreparedShape, String>;

pub(super) fn to_wire(values: &SessionValues, prepared: &PreparedNames) -> v1::ConnectionState {
    let mut state = v1::ConnectionState::default();
    for (name, value) in values {
        state.values.push(v1::SessionValue { name: name.clone(), value: value.clone() });
    }
    for (shape, name) in prepared {
        state.prepared.push(v1::PreparedStatement {
            name: name.clone(),
            writes: shape.access == StatementAccess::Write,
            shape: shape.shape.clone(),
        });
    }
    state
}

pub(super) fn from_wire(state: v1::ConnectionState) -> (SessionValues, PreparedNames) {
    let mut values = SessionValues::new();
    for value in state.values {
        values.insert(value.name, value.value);
    }
    let mut prepared = PreparedNames::default();
    for statement in state.prepared {
        let access = if statement.writes { StatementAccess::Write } else { StatementAccess::Read };
        prepared.insert(PreparedShape { access, shape: statement.shape }, statement.name);
    }
    (values, prepared)
}
