//! Stand-in for one server of a database group.
//!
//! It speaks the PostgreSQL protocol over tables in memory and takes part in a group with terms, log
//! positions, asynchronous replication with a settable lag and promotion. Several servers run in one
//! process. The listeners are tokio sockets: a session waits for slots, locks and timers that other
//! tasks share, which the single-threaded services of `ntex` cannot hold across threads.

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
