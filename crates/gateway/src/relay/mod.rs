//! Relay between entries: connections and reads that an entry runs for other entries.
//!
//! An entry without a share of a target's connections, or without a path to the target, leases a connection of
//! another entry. Bytes are forwarded unchanged; the session state of the connection is transferred with the
//! lease. Single reads are sent as one request instead: a lease costs one more round trip and three times as many
//! messages. Writes use a lease, so that an entry that stopped responding never leaves the outcome of a write
//! unknown.

mod admission;
mod client;
mod reads;
mod server;
mod state;

pub(crate) use {
    client::{RelayClients, RelayHandle},
    reads::RelayList,
    server::{RelayInbox, RelayService},
    state::PreparedNames,
};
