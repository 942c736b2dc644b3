//! Connections that entries use for each other.
//!
//! An entry without a share in a target's connections, or without a path to the target, leases one of
//! another entry. Bytes pass through unchanged; the session state that a connection carries travels
//! with the lease. Single reads travel as one request instead: a lease costs a round trip more and three
//! times the messages. Writes take the lease, so that an entry that has gone silent never leaves the outcome
//! of a write unknown.

mod client;
mod reads;
mod server;
mod state;

pub(crate) use {
    client::{RelayClients, RelayHandle},
    reads::LenderList,
    server::{RelayInbox, RelayService},
    state::PreparedNames,
};
