//! Decisions of banyansill as plain state machines.
//!
//! Nothing here opens a socket, reads a clock or awaits. Time and random numbers are passed in, so
//! that tests drive every machine on virtual time.

pub mod broker;
pub mod cluster;
pub mod collections;
pub mod consensus;
pub mod detector;
pub mod event;
pub mod failure;
pub mod floor;
pub mod machine;
pub mod names;
pub mod position;
pub mod promotion;
pub mod queue;
pub mod retry;
pub mod route;
pub mod sheet;
pub mod statement;
pub mod time;
