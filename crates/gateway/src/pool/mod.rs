//! Connections to targets: one pool per target, leases of its connections.

mod connection;
mod lease;
mod opening;
mod slot;
mod state;
mod target;

pub(crate) use {
    connection::{PooledConnection, PreparedShape, SessionValues},
    lease::TargetLease,
    opening::ConnectRequest,
    slot::SlotOptions,
    target::{LeaseFailure, LeaseOptions, TargetPool},
};
