//! Connections to targets: one pool per target, leases of its connections.

mod connection;
mod lease;
mod opening;
mod target;

pub(crate) use {
    connection::{PooledConnection, PreparedShape, SessionValues},
    lease::TargetLease,
    opening::OpenPlan,
    target::{LeaseFailure, LeaseWish, TargetPool},
};
