//! Connections to targets: one pool per target, from which sessions lease connections.

mod connection;
mod idle;
mod lease;
mod opening;
mod paths;
mod slot;
mod state;
mod target;

pub(crate) use {
    connection::{PooledConnection, PreparedShape, SessionValues},
    lease::TargetLease,
    opening::ConnectRequest,
    slot::SlotOptions,
    state::TargetPaths,
    target::{ConnectionUser, LeaseFailure, LeaseOptions, TargetPool},
};
