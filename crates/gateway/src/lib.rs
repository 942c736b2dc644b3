//! Entry for database groups whose servers fence themselves: sessions of callers, connections to targets, and
//! connections that are relayed for other entries.
//!
//! It needs no node lease: the log position that is sent with a read guarantees its freshness, and a server that
//! is no longer the primary refuses writes. Groups without such servers use `banyansill-entry`.

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
mod team_access;
mod uneven;

pub use process::{GatewayError, GatewayHandle, spawn};
