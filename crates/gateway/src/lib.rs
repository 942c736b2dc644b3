//! Entry for database groups whose servers fence themselves: callers' sessions, connections to
//! targets, and connections lent to other entries.
//!
//! It needs no lease: the position that a read is sent with decides its freshness, and a server that
//! has lost the lead refuses writes. Groups without such servers use `banyansill-entry`.

mod attempt;
mod follow;
mod gateway;
mod marks;
mod pool;
mod process;
mod read;
mod relay;
mod session;
pub mod settings;

pub use process::{GatewayError, GatewayHandle, spawn};
