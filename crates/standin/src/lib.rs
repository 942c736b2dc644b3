//! Stand-in for one server of a database group.
//!
//! It speaks the PostgreSQL protocol over tables in memory and takes part in a group with terms, log
//! positions, asynchronous replication with a settable lag and promotion. Several servers run in one
//! process. The listeners are tokio sockets: a session waits for slots, locks and timers that other
//! tasks share, which the single-threaded services of `ntex` cannot hold across threads.
//!
//! Transactions read a snapshot. A write of a row that has changed since fails with 40001, unless
//! nothing was read before; then the statement starts again on newer data. Statements on data take a
//! slot while they execute, but not while they wait for a lock. Transaction control, settings,
//! `group_status()` and the other functions of the group take none, so that the state of a server
//! can be asked for while every slot is taken.

mod announce;
mod error;
mod group;
mod locks;
mod replication;
mod server;
mod session;
pub mod settings;
mod shared;
mod sql;
mod store;
mod table;
mod value;

pub use server::{ServerHandle, spawn};
