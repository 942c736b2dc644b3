//! Connections that entries use for each other.
//!
//! An entry without a share in a target's connections, or without a path to the target, leases one of
//! another entry. Bytes pass through unchanged; the session state that a connection carries travels
//! with the lease.

mod client;
mod server;
mod state;

pub(crate) use {
    client::{RelayClients, RelayHandle},
    server::{RelayInbox, RelayService},
    state::PreparedNames,
};
