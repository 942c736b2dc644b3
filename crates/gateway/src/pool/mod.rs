//! Connections to targets: one pool per target, from which sessions lease connections.

mod connection;
mod idle;
mod lease;
mod opening;
mod paths;
mod slot;
mod start;
mod state;
mod target;

pub(crate) use {
    connection::{PooledConnection, PreparedShape, SessionValues},
    lease::TargetLease,
    opening::ConnectRequest,
    slot::SlotOptions,
    start::{LeaseStart, TransactionStart},
    state::TargetPaths,
    target::{ConnectionUser, LeaseFailure, LeaseOptions, TargetPool},
};
