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
    opening::OpenPlan,
    slot::SlotWish,
    target::{LeaseFailure, LeaseWish, TargetPool},
};
