//! Driver of the replicated log: a task that owns the log machine, a thread that writes and syncs, and one
//! stream per peer.

mod bootstrap;
mod convert;
mod disk_thread;
mod driver;
mod handle;
mod members;
mod peers;
mod requests;
mod service;
mod settings;

pub use {
    handle::ReplicaHandle,
    members::{MemberError, MemberStatus},
    service::{ReplicaService, server_builder},
    settings::{InitialMember, ReplicaError, ReplicaSettings, SNAPSHOT_ENTRIES},
};
