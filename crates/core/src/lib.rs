//! Decision logic of banyansill as state machines without I/O.
//!
//! Nothing in this crate opens a socket, reads a clock or awaits. Time and random numbers are
//! passed in, so that tests can run every state machine on virtual time.

pub mod broker;
pub mod change;
pub mod cluster;
pub mod collections;
pub mod compression;
pub mod consensus;
pub mod detector;
pub mod directory;
pub mod event;
pub mod failure;
pub mod floor;
pub mod gateway;
pub mod hidden;
pub mod log_rate_limit;
pub mod names;
pub mod position;
pub mod promotion;
pub mod queue;
pub mod retry;
pub mod route;
pub mod sheet;
pub mod state_machine;
#[cfg(feature = "sql")]
pub mod statement;
pub mod team_limit;
pub mod time;
pub mod transaction;
